// Package burn computes how fast services consume their error budgets.
//
// An objective says which percentage of requests must be good: answered without an
// error, with the first byte and the gaps between tokens in time. The rest is the
// error budget. A burn rate of 1 consumes the budget exactly by the end of the
// objective's period; a burn rate of 10 consumes it ten times as fast.
package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// Sample holds the measurements of one request.
type Sample interface {
	// At returns when the request arrived.
	At() time.Time
	// Service returns the service that the request was sent to.
	Service() string
	// Team returns the caller's team.
	Team() string
	// DataCentre returns the data centre of the entry that received the request.
	DataCentre() string
	// Outcome returns whether the request has run.
	Outcome() retry.Outcome
	// Code returns the error code that the caller received, empty if there was none.
	Code() string
	// First returns the time until the first byte of the response.
	First() time.Duration
	// Gap returns the longest time between two chunks of the response.
	Gap() time.Duration
}

// callerGone is the code of requests that were cancelled by their callers. They
// aren't counted, since they say nothing about the service.
const callerGone = "caller_gone"

// Windows are the periods over which burn rates are reported.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Count counts requests, and those that were not good by reason. A bad request
// counts once, for the first reason that applies in the order of the fields.
type Count struct {
	requests      int
	refused       int
	failed        int
	lateFirstByte int
	lateTokenGap  int
}

// Requests returns the total number of requests.
func (c Count) Requests() int { return c.requests }

// Refused returns the number of requests that failed without having run.
func (c Count) Refused() int { return c.refused }

// Failed returns the number of requests that failed otherwise.
func (c Count) Failed() int { return c.failed }

// LateFirstByte returns the number of requests whose first byte was late.
func (c Count) LateFirstByte() int { return c.lateFirstByte }

// LateTokenGap returns the number of requests with too long a gap between tokens.
func (c Count) LateTokenGap() int { return c.lateTokenGap }

// Bad returns the number of requests that were not good.
func (c Count) Bad() int { return c.refused + c.failed + c.lateFirstByte + c.lateTokenGap }

func (c *Count) add(sample Sample, objectives config.Objectives) {
	c.requests++
	switch {
	case sample.Code() != "" && sample.Outcome() == retry.OutcomeNotRun:
		c.refused++
	case sample.Code() != "":
		c.failed++
	case sample.First() > objectives.FirstToken():
		c.lateFirstByte++
	case sample.Gap() > objectives.TokenGap():
		c.lateTokenGap++
	}
}

// Row is the burn rate of a service over one window, for all its requests or for
// those of one team or data centre.
type Row struct {
	service    string
	team       string
	dataCentre string
	window     time.Duration
	count      Count
	burnRate   float64
}

// Service returns the service.
func (r Row) Service() string { return r.service }

// Team returns the team, empty for all.
func (r Row) Team() string { return r.team }

// DataCentre returns the data centre, empty for all.
func (r Row) DataCentre() string { return r.dataCentre }

// Window returns the period that the row covers.
func (r Row) Window() time.Duration { return r.window }

// Count returns the counts of requests.
func (r Row) Count() Count { return r.count }

// BurnRate returns how fast the error budget is consumed; 1 is the highest rate that
// the objective allows.
func (r Row) BurnRate() float64 { return r.burnRate }

// key identifies a row of the report.
type key struct {
	service    string
	team       string
	dataCentre string
	window     time.Duration
}

// Compute returns the burn rates of each service in cfg at now, in total, by team
// and by data centre, sorted.
func Compute[S Sample](cfg *config.Config, samples []S, now time.Time) []Row {
	counts := make(map[key]*Count)
	for _, service := range cfg.Services() {
		for _, window := range Windows {
			counts[key{service: service.Name(), window: window}] = &Count{}
		}
	}
	for _, sample := range samples {
		service, ok := cfg.Service(sample.Service())
		if !ok || sample.Code() == callerGone {
			continue
		}
		for _, window := range Windows {
			if age := now.Sub(sample.At()); age < 0 || age >= window {
				continue
			}
			for _, k := range keysOf(sample, window) {
				if counts[k] == nil {
					counts[k] = &Count{}
				}
				counts[k].add(sample, service.Objectives())
			}
		}
	}
	return rowsOf(cfg, counts)
}

// keysOf returns the keys of the rows that count sample in a window.
func keysOf(sample Sample, window time.Duration) []key {
	return []key{
		{service: sample.Service(), window: window},
		{service: sample.Service(), team: sample.Team(), window: window},
		{service: sample.Service(), dataCentre: sample.DataCentre(), window: window},
	}
}

// rowsOf returns the sorted rows of the report.
func rowsOf(cfg *config.Config, counts map[key]*Count) []Row {
	var rows []Row
	for k, count := range counts {
		service, _ := cfg.Service(k.service)
		rows = append(rows, Row{
			service:    k.service,
			team:       k.team,
			dataCentre: k.dataCentre,
			window:     k.window,
			count:      *count,
			burnRate:   rateOf(*count, service.Objectives().GoodPercent()),
		})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.service, b.service),
			cmp.Compare(a.dataCentre, b.dataCentre),
			cmp.Compare(a.team, b.team),
			cmp.Compare(a.window, b.window),
		)
	})
	return rows
}

// rateOf returns the share of bad requests divided by the share that the objective
// allows.
func rateOf(count Count, goodPercent int) float64 {
	if count.requests == 0 {
		return 0
	}
	bad := float64(count.Bad()) / float64(count.requests)
	return bad / (1 - float64(goodPercent)/100)
}

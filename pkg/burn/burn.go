// Package burn works out how fast services use up what their objectives allow.
//
// An objective says which share of requests must be good: answered, with the
// first byte and the gaps between tokens in time. The rest is the budget. A burn
// of 1 uses the budget up just at the end of the objective's time; a burn of 10
// does so ten times as fast.
package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// Sample is one request.
type Sample interface {
	// At returns when the request arrived.
	At() time.Time
	// Service returns the service that it was for.
	Service() string
	// Team returns the caller's team.
	Team() string
	// DataCentre returns the data centre of the entry that took it.
	DataCentre() string
	// Outcome returns whether it has run.
	Outcome() retry.Outcome
	// Code returns the code of the error that the caller got, empty if none.
	Code() string
	// First returns the time until the first byte of the answer.
	First() time.Duration
	// Gap returns the longest time between two pieces of the answer.
	Gap() time.Duration
}

// callerGone is the code of requests that their callers gave up, which say
// nothing about the service.
const callerGone = "caller_gone"

// Windows are the times over which burn is reported.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Count is how many requests were good, and why the others were not. A request
// counts as bad once, for the first reason in this order.
type Count struct {
	requests int
	refused  int
	failed   int
	first    int
	gap      int
}

// Requests returns the number of all requests.
func (c Count) Requests() int { return c.requests }

// Refused returns the number of requests that were refused and have not run.
func (c Count) Refused() int { return c.refused }

// Failed returns the number of requests that ended with another error.
func (c Count) Failed() int { return c.failed }

// LateFirstByte returns the number of requests whose first byte came late.
func (c Count) LateFirstByte() int { return c.first }

// LateTokenGap returns the number of requests with a long gap between tokens.
func (c Count) LateTokenGap() int { return c.gap }

// Bad returns the number of requests that were not good.
func (c Count) Bad() int { return c.refused + c.failed + c.first + c.gap }

func (c *Count) add(sample Sample, objectives config.Objectives) {
	c.requests++
	switch {
	case sample.Code() != "" && sample.Outcome() == retry.OutcomeNotRun:
		c.refused++
	case sample.Code() != "":
		c.failed++
	case sample.First() > objectives.FirstToken():
		c.first++
	case sample.Gap() > objectives.TokenGap():
		c.gap++
	}
}

// Row is the burn of a service over one window: of all its requests, or of
// those of one team or data centre.
type Row struct {
	service    string
	team       string
	dataCentre string
	window     time.Duration
	count      Count
	burn       float64
}

// Service returns the service.
func (r Row) Service() string { return r.service }

// Team returns the team, empty for all.
func (r Row) Team() string { return r.team }

// DataCentre returns the data centre, empty for all.
func (r Row) DataCentre() string { return r.dataCentre }

// Window returns the time that the row covers.
func (r Row) Window() time.Duration { return r.window }

// Count returns how the requests ended.
func (r Row) Count() Count { return r.count }

// BurnRate returns how fast the budget is used up, where 1 is just as fast as it
// may be.
func (r Row) BurnRate() float64 { return r.burn }

// key tells the rows of a report apart.
type key struct {
	service    string
	team       string
	dataCentre string
	window     time.Duration
}

// Compute returns the burn of each service in cfg at now, by team and by data
// centre, in order.
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

func keysOf(sample Sample, window time.Duration) []key {
	return []key{
		{service: sample.Service(), window: window},
		{service: sample.Service(), team: sample.Team(), window: window},
		{service: sample.Service(), dataCentre: sample.DataCentre(), window: window},
	}
}

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
			burn:       rate(*count, service.Objectives().GoodPercent()),
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

// rate returns the bad share in relation to the share that may be bad.
func rate(count Count, goodPercent int) float64 {
	if count.requests == 0 {
		return 0
	}
	bad := float64(count.Bad()) / float64(count.requests)
	return bad / (1 - float64(goodPercent)/100)
}

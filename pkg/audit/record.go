package audit

import (
	"strings"
	"time"

	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/retry"
	"github.com/lentilstand/lentilstand/pkg/route"
)

// Record is one request with its attempts.
type Record struct {
	request    string
	at         time.Time
	team       string
	service    string
	asked      string
	dataCentre string
	session    string
	outcome    retry.Outcome
	code       string
	attempts   []Attempt
	first      time.Duration
	gap        time.Duration
}

// NewRecord returns the record of a request that arrived at an entry in
// dataCentre. Asked is the model or path that the caller named.
func NewRecord(request string, at time.Time, team, service, asked, dataCentre, session string) Record {
	return Record{
		request:    request,
		at:         at,
		team:       team,
		service:    service,
		asked:      asked,
		dataCentre: dataCentre,
		session:    session,
	}
}

// WithOutcome returns the record with its attempts, what the caller was told, and the
// code of the error that it got, if any.
func (r Record) WithOutcome(attempts []Attempt, outcome retry.Outcome, code string) Record {
	r.attempts = attempts
	r.outcome = outcome
	r.code = code
	return r
}

// WithTiming returns the record with the time until the first byte of the answer and
// the longest time between two of its pieces.
func (r Record) WithTiming(first, gap time.Duration) Record {
	r.first = first
	r.gap = gap
	return r
}

// DataCentre returns the data centre of the entry that took the request.
func (r Record) DataCentre() string { return r.dataCentre }

// Outcome returns what the caller was told.
func (r Record) Outcome() retry.Outcome { return r.outcome }

// Code returns the code of the error that the caller got, empty if none.
func (r Record) Code() string { return r.code }

// First returns the time until the first byte of the answer.
func (r Record) First() time.Duration { return r.first }

// Gap returns the longest time between two pieces of the answer.
func (r Record) Gap() time.Duration { return r.gap }

// Request returns the request's name.
func (r Record) Request() string { return r.request }

// At returns when the request arrived.
func (r Record) At() time.Time { return r.at }

// Team returns the caller's team.
func (r Record) Team() string { return r.team }

// Service returns the service that the request was for.
func (r Record) Service() string { return r.service }

// Attempts returns the attempts in order.
func (r Record) Attempts() []Attempt { return r.attempts }

// Attempt is one attempt and the inputs of the decision that led to it.
type Attempt struct {
	endpoint      string
	state         retry.State
	version       uint64
	pending       string
	pendingNumber uint64
	seed          uint64
	loads         map[string]route.Load
}

// NewAttempt returns an attempt at an endpoint by rules, loads and seed.
func NewAttempt(endpoint string, rules route.Rules, loads map[string]route.Load, seed uint64) Attempt {
	a := Attempt{endpoint: endpoint, version: rules.Head().Number(), seed: seed, loads: loads}
	if pending := rules.Pending(); pending != nil {
		a.pending = pending.Hash()
		a.pendingNumber = pending.Number()
	}
	return a
}

// WithState returns the attempt with what became of it.
func (a Attempt) WithState(state retry.State) Attempt {
	a.state = state
	return a
}

// Endpoint returns where the attempt went.
func (a Attempt) Endpoint() string { return a.endpoint }

// Version returns the version that was in force for the entry.
func (a Attempt) Version() uint64 { return a.version }

// The states of an endpoint in a recorded load.
const (
	loadUsable = iota
	loadNotReady
	loadLeaving
)

// unreadable stands for bytes of a caller's that are no text.
const unreadable = "\uFFFD"

func toWire(r Record) *wirepb.AuditRecord {
	wire := &wirepb.AuditRecord{
		Request:    r.request,
		AtMs:       r.at.UnixMilli(),
		Team:       r.team,
		Service:    r.service,
		Asked:      strings.ToValidUTF8(r.asked, unreadable),
		DataCentre: r.dataCentre,
		Session:    strings.ToValidUTF8(r.session, unreadable),
		Outcome:    string(r.outcome),
		Code:       r.code,
		FirstMs:    uint32(r.first.Milliseconds()),
		GapMs:      uint32(r.gap.Milliseconds()),
	}
	for _, a := range r.attempts {
		attempt := &wirepb.AuditAttempt{
			Endpoint:      a.endpoint,
			State:         uint32(a.state),
			Version:       a.version,
			Pending:       a.pending,
			PendingNumber: a.pendingNumber,
			Seed:          a.seed,
		}
		for name, load := range a.loads {
			attempt.Loads = append(attempt.Loads, loadToWire(name, load))
		}
		wire.Attempts = append(wire.Attempts, attempt)
	}
	return wire
}

func loadToWire(name string, load route.Load) *wirepb.AuditLoad {
	state := loadUsable
	switch {
	case load.IsLeaving():
		state = loadLeaving
	case !load.Usable():
		state = loadNotReady
	}
	return &wirepb.AuditLoad{
		Endpoint: name,
		Capacity: uint32(load.Capacity()),
		Busy:     uint32(load.Busy()),
		State:    uint32(state),
		Cached:   load.IsCached(),
	}
}

func fromWire(wire *wirepb.AuditRecord) Record {
	r := Record{
		request:    wire.GetRequest(),
		at:         time.UnixMilli(wire.GetAtMs()),
		team:       wire.GetTeam(),
		service:    wire.GetService(),
		asked:      wire.GetAsked(),
		dataCentre: wire.GetDataCentre(),
		session:    wire.GetSession(),
		outcome:    retry.Outcome(wire.GetOutcome()),
		code:       wire.GetCode(),
		first:      time.Duration(wire.GetFirstMs()) * time.Millisecond,
		gap:        time.Duration(wire.GetGapMs()) * time.Millisecond,
	}
	for _, attempt := range wire.GetAttempts() {
		a := Attempt{
			endpoint:      attempt.GetEndpoint(),
			state:         retry.State(attempt.GetState()),
			version:       attempt.GetVersion(),
			pending:       attempt.GetPending(),
			pendingNumber: attempt.GetPendingNumber(),
			seed:          attempt.GetSeed(),
			loads:         make(map[string]route.Load, len(attempt.GetLoads())),
		}
		for _, load := range attempt.GetLoads() {
			a.loads[load.GetEndpoint()] = loadFromWire(load)
		}
		r.attempts = append(r.attempts, a)
	}
	return r
}

func loadFromWire(wire *wirepb.AuditLoad) route.Load {
	var options []route.LoadOption
	switch wire.GetState() {
	case loadNotReady:
		options = append(options, route.NotReady())
	case loadLeaving:
		options = append(options, route.Leaving())
	}
	if wire.GetCached() {
		options = append(options, route.Cached())
	}
	return route.NewLoad(int(wire.GetCapacity()), int(wire.GetBusy()), options...)
}

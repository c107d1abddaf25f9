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
	requestID   string
	arrivedAt   time.Time
	team        string
	service     string
	modelOrPath string
	dataCentre  string
	session     string
	outcome     retry.Outcome
	code        string
	attempts    []Attempt
	firstByte   time.Duration
	maxGap      time.Duration
}

// NewRecord returns the record of a request that arrived at an entry in
// dataCentre. ModelOrPath is what the caller requested.
func NewRecord(requestID string, arrivedAt time.Time, team, service, modelOrPath, dataCentre, session string) Record {
	return Record{
		requestID:   requestID,
		arrivedAt:   arrivedAt,
		team:        team,
		service:     service,
		modelOrPath: modelOrPath,
		dataCentre:  dataCentre,
		session:     session,
	}
}

// WithOutcome returns the record with its attempts, the outcome that the caller
// received and, if it received an error, the error's code.
func (r Record) WithOutcome(attempts []Attempt, outcome retry.Outcome, code string) Record {
	r.attempts = attempts
	r.outcome = outcome
	r.code = code
	return r
}

// WithTiming returns the record with the time to the first byte of the response and
// the longest time between two of its chunks.
func (r Record) WithTiming(firstByte, maxGap time.Duration) Record {
	r.firstByte = firstByte
	r.maxGap = maxGap
	return r
}

// DataCentre returns the data centre of the entry that received the request.
func (r Record) DataCentre() string { return r.dataCentre }

// Outcome returns the outcome that the caller received.
func (r Record) Outcome() retry.Outcome { return r.outcome }

// Code returns the code of the error that the caller received, empty if none.
func (r Record) Code() string { return r.code }

// First returns the time to the first byte of the response.
func (r Record) First() time.Duration { return r.firstByte }

// Gap returns the longest time between two chunks of the response.
func (r Record) Gap() time.Duration { return r.maxGap }

// Request returns the request's ID.
func (r Record) Request() string { return r.requestID }

// At returns when the request arrived.
func (r Record) At() time.Time { return r.arrivedAt }

// Team returns the caller's team.
func (r Record) Team() string { return r.team }

// Service returns the service that was requested.
func (r Record) Service() string { return r.service }

// Attempts returns the attempts in the order in which they were made.
func (r Record) Attempts() []Attempt { return r.attempts }

// Attempt is one attempt with the inputs of the routing decision behind it.
type Attempt struct {
	endpoint      string
	state         retry.State
	version       uint64
	pendingHash   string
	pendingNumber uint64
	seed          uint64
	loads         map[string]route.Load
}

// NewAttempt returns an attempt at an endpoint that was decided by the rules, loads
// and seed.
func NewAttempt(endpoint string, rules route.Rules, loads map[string]route.Load, seed uint64) Attempt {
	a := Attempt{endpoint: endpoint, version: rules.Head().Number(), seed: seed, loads: loads}
	if pending := rules.Pending(); pending != nil {
		a.pendingHash = pending.Hash()
		a.pendingNumber = pending.Number()
	}
	return a
}

// WithState returns the attempt with its result.
func (a Attempt) WithState(state retry.State) Attempt {
	a.state = state
	return a
}

// Endpoint returns the endpoint that the attempt was sent to.
func (a Attempt) Endpoint() string { return a.endpoint }

// Version returns the version that was in force at the entry.
func (a Attempt) Version() uint64 { return a.version }

// The states of an endpoint in a recorded load. They are stored as these numbers.
const (
	loadUsable = iota
	loadNotReady
	loadLeaving
)

// replacement replaces invalid UTF-8 in strings from callers, which protobuf
// wouldn't encode.
const replacement = "\uFFFD"

func toWire(r Record) *wirepb.AuditRecord {
	wire := &wirepb.AuditRecord{
		Request:    r.requestID,
		AtMs:       r.arrivedAt.UnixMilli(),
		Team:       r.team,
		Service:    r.service,
		Asked:      strings.ToValidUTF8(r.modelOrPath, replacement),
		DataCentre: r.dataCentre,
		Session:    strings.ToValidUTF8(r.session, replacement),
		Outcome:    string(r.outcome),
		Code:       r.code,
		FirstMs:    uint32(r.firstByte.Milliseconds()),
		GapMs:      uint32(r.maxGap.Milliseconds()),
	}
	for _, a := range r.attempts {
		attempt := &wirepb.AuditAttempt{
			Endpoint:      a.endpoint,
			State:         uint32(a.state),
			Version:       a.version,
			Pending:       a.pendingHash,
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
		requestID:   wire.GetRequest(),
		arrivedAt:   time.UnixMilli(wire.GetAtMs()),
		team:        wire.GetTeam(),
		service:     wire.GetService(),
		modelOrPath: wire.GetAsked(),
		dataCentre:  wire.GetDataCentre(),
		session:     wire.GetSession(),
		outcome:     retry.Outcome(wire.GetOutcome()),
		code:        wire.GetCode(),
		firstByte:   time.Duration(wire.GetFirstMs()) * time.Millisecond,
		maxGap:      time.Duration(wire.GetGapMs()) * time.Millisecond,
	}
	for _, attempt := range wire.GetAttempts() {
		a := Attempt{
			endpoint:      attempt.GetEndpoint(),
			state:         retry.State(attempt.GetState()),
			version:       attempt.GetVersion(),
			pendingHash:   attempt.GetPending(),
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

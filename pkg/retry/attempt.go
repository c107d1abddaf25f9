// Package retry decides whether a request may be tried again.
//
// A Log keeps what is known of each attempt at a request. It answers the two
// questions that a balancer must not get wrong: whether the request has provably
// not run, and whether one more attempt is safe. A Budget bounds how many
// retries are made for how many successes, so that an outage never multiplies
// the load.
package retry

// State is what is known of one attempt.
type State int

// The states of an attempt.
const (
	// Unsent says that nothing of the request has left the process.
	Unsent State = iota
	// Sent says that the request has left, and nothing more is known yet.
	Sent
	// Refused says that the other side has confirmed that the attempt has not
	// run and never will.
	Refused
	// Run says that the attempt has run and its answer came.
	Run
	// Unknown says that the request has left and that nobody can tell any more
	// whether it ran.
	Unknown
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Unsent:
		return "unsent"
	case Sent:
		return "sent"
	case Refused:
		return "refused"
	case Run:
		return "run"
	default:
		return "unknown"
	}
}

// Outcome is what a caller may be told of a whole request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun says that the request has not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRun says that the request has run.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Log is the record of the attempts at one request. The zero value is ready to
// use. It is not safe for concurrent use.
type Log struct {
	attempts []Attempt
}

// Attempt is one entry of a Log.
type Attempt struct {
	endpoint string
	state    State
}

// Endpoint returns where the attempt went.
func (a Attempt) Endpoint() string { return a.endpoint }

// State returns what is known of the attempt.
func (a Attempt) State() State { return a.state }

// Begin adds an unsent attempt at an endpoint.
func (l *Log) Begin(endpoint string) {
	l.attempts = append(l.attempts, Attempt{endpoint: endpoint})
}

// SetState sets the state of the newest attempt.
func (l *Log) SetState(state State) {
	l.attempts[len(l.attempts)-1].state = state
}

// Attempts returns the attempts in order.
func (l *Log) Attempts() []Attempt { return l.attempts }

// Sent returns how many attempts have left the process.
func (l *Log) Sent() int {
	count := 0
	for _, attempt := range l.attempts {
		if attempt.state != Unsent {
			count++
		}
	}
	return count
}

// Tried returns the endpoints of all attempts, for the next one to avoid.
func (l *Log) Tried() []string {
	endpoints := make([]string, 0, len(l.attempts))
	for _, attempt := range l.attempts {
		endpoints = append(endpoints, attempt.endpoint)
	}
	return endpoints
}

// Outcome returns what may be said of the request. It says "not run" only if
// that is proved of every attempt.
func (l *Log) Outcome() Outcome {
	outcome := OutcomeNotRun
	for _, attempt := range l.attempts {
		switch attempt.state {
		case Run:
			return OutcomeRun
		case Sent, Unknown:
			outcome = OutcomeUnknown
		}
	}
	return outcome
}

// MayRetry reports whether one more attempt is safe: always while nothing has
// run, and otherwise only for requests that may run more than once.
func (l *Log) MayRetry(repeatable bool) bool {
	return repeatable || l.Outcome() == OutcomeNotRun
}

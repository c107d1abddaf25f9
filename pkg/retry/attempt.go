// Package retry decides whether a request may be retried.
//
// A Log records the attempts to execute a request. It tells whether the request has
// provably not been executed, and whether another attempt is safe. A Budget limits
// retries to a share of successful requests, so that retries don't multiply the load
// during an outage.
package retry

// State is the state of an attempt, as far as it is known.
type State int

// The states of an attempt.
const (
	// Unsent means that no part of the request has been sent.
	Unsent State = iota
	// Sent means that sending the request has begun, and that no response has arrived
	// yet. If sending fails, the other side may have received the request nevertheless.
	Sent
	// Refused means that the other side has confirmed that it has not executed the
	// request and will not.
	Refused
	// Run means that the request is being or was executed, as its response has begun to
	// arrive.
	Run
	// Unknown means that the request was sent, and that it can no longer be determined
	// whether it was executed.
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

// Outcome is the outcome of a request over all its attempts, as reported to the caller.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that the request has not been executed and will not be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRun means that the request was executed.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// Log records the attempts to execute one request. The zero value is ready to use. It is
// not safe for concurrent use.
type Log struct {
	attempts []Attempt
}

// Attempt is one attempt to execute a request at an endpoint.
type Attempt struct {
	endpoint string
	state    State
}

// Endpoint returns the endpoint that the attempt was made at.
func (a Attempt) Endpoint() string { return a.endpoint }

// State returns the state of the attempt.
func (a Attempt) State() State { return a.state }

// Begin adds an attempt at an endpoint, in state Unsent.
func (l *Log) Begin(endpoint string) {
	l.attempts = append(l.attempts, Attempt{endpoint: endpoint})
}

// SetState sets the state of the last attempt.
func (l *Log) SetState(state State) {
	l.attempts[len(l.attempts)-1].state = state
}

// Attempts returns the attempts in order.
func (l *Log) Attempts() []Attempt { return l.attempts }

// Sent returns the number of attempts that are no longer in state Unsent.
func (l *Log) Sent() int {
	count := 0
	for _, attempt := range l.attempts {
		if attempt.state != Unsent {
			count++
		}
	}
	return count
}

// Tried returns the endpoints of all attempts, so that the next attempt can avoid them.
func (l *Log) Tried() []string {
	endpoints := make([]string, 0, len(l.attempts))
	for _, attempt := range l.attempts {
		endpoints = append(endpoints, attempt.endpoint)
	}
	return endpoints
}

// Outcome returns the outcome of the request. It is OutcomeNotRun only if every attempt
// has provably not been executed.
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

// MayRetry reports whether another attempt is safe. It is if the request has provably
// not been executed, or if it is repeatable, that is, may be executed more than once.
func (l *Log) MayRetry(repeatable bool) bool {
	return repeatable || l.Outcome() == OutcomeNotRun
}

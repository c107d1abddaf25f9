package sched

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// HoldCause tells why a request is held back though an endpoint may have room.
type HoldCause string

// The causes.
const (
	// HeldByLevel means that the entries admit only more urgent requests now.
	HeldByLevel HoldCause = "level"
	// HeldByReserve means that the free slots are kept for more urgent requests.
	HeldByReserve HoldCause = "reserve"
	// HeldByPass means that the passes would take longer than the gap target allows.
	HeldByPass HoldCause = "pass"
)

// holdReasons are the reasons that callers and logs get.
var holdReasons = map[HoldCause]string{
	HeldByLevel:   "only more urgent requests are admitted",
	HeldByReserve: "the free slots are kept for more urgent requests",
	HeldByPass:    "the response would take those of others over their gap target",
}

// hold describes why a request is held back, with the inputs of the decision. The zero value is
// that of a request that isn't.
type hold struct {
	cause HoldCause
	// slots is the number of the group's slots, and capacity how many requests may run there.
	slots, capacity float64
	// inFlight is the estimated number of requests there, and reserve how many slots are kept.
	inFlight, reserve float64
	// predicted is the predicted pass time with the request, zero if it isn't known.
	predicted time.Duration
}

// heldError is the error of a request that was held back.
type heldError struct {
	cause HoldCause
	// err is ErrFull for a request that was refused at once, ErrQueueTimeout for one that was
	// queued.
	err error
}

func (e heldError) Error() string { return e.err.Error() + ": " + holdReasons[e.cause] }

// Unwrap returns ErrFull or ErrQueueTimeout.
func (e heldError) Unwrap() error { return e.err }

// withHold returns the error of a request that was held back, or err if it wasn't.
func (h hold) withHold(err error) error {
	if h.cause == "" {
		return err
	}
	return heldError{cause: h.cause, err: err}
}

// holdsPerSecond is how many requests that were held back an entry logs in each second and
// service. The request log has the cause of each one that was refused.
const holdsPerSecond = 5

// holdLog counts the requests that were held back, and limits how many are logged. The zero value
// is ready to use.
type holdLog struct {
	counts map[HoldCause]int64
	since  time.Time
	logged int
	// omitted is the number of requests that weren't logged since the last one that was.
	omitted int
}

// count counts a request, and reports whether it may be logged.
func (l *holdLog) count(cause HoldCause, now time.Time) bool {
	if l.counts == nil {
		l.counts = make(map[HoldCause]int64)
	}
	l.counts[cause]++
	if now.Sub(l.since) >= time.Second {
		l.since, l.logged = now, 0
	}
	if l.logged >= holdsPerSecond {
		l.omitted++
		return false
	}
	l.logged++
	return true
}

// recordHold counts and logs a request that was held back when it arrived, and was then queued or
// refused. The caller must hold s.mu.
func (s *Service) recordHold(req Request, held hold, refused error, now time.Time) {
	if held.cause == "" || !s.holds.count(held.cause, now) {
		return
	}
	measured := time.Duration(0)
	if s.passes.estimator != nil {
		measured = s.passes.estimator.Measured()
	}
	event.RequestHeldBack.Log(s.logger, zap.String("request", req.ID), zap.String("service", s.name),
		zap.String("cause", string(held.cause)), zap.Int("priority", req.Priority), zap.Bool("retry", req.ClientRetry),
		zap.Bool("queued", refused == nil), zap.Int("waiting", len(s.waiting)), zap.Duration("max_wait", req.MaxWait),
		zap.Float64("slots", held.slots), zap.Float64("capacity", held.capacity), zap.Float64("in_flight", held.inFlight),
		zap.Float64("reserve", held.reserve), zap.Float64("level", float64(s.agreement.Level())),
		zap.Int("heard", s.agreement.Heard()), zap.Duration("predicted_pass", held.predicted), zap.Duration("measured_pass", measured),
		zap.Int("left_out", s.holds.omitted))
	s.holds.omitted = 0
}

// HeldBack returns how many requests were held back when they arrived, by cause.
func (s *Service) HeldBack() map[HoldCause]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.holds.counts)
}

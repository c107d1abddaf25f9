package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// Rate limit of the request log.
const (
	// logPerSecond is the sustained rate of logged requests; an entry at the design
	// size serves ten requests a second.
	logPerSecond = 60
	// logBurst is the capacity of the token bucket.
	logBurst = 240
	// omittedPeriod is how often the number of omitted requests is logged.
	omittedPeriod = time.Second
)

// requestLog logs one line per request, limited by a token bucket.
type requestLog struct {
	logger *zap.Logger

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	omitted    int
	reportedAt time.Time
}

func newRequestLog(logger *zap.Logger) *requestLog {
	return &requestLog{logger: logger, tokens: logBurst}
}

// write logs a finished request if the rate limit permits. The last quarter of the
// bucket is reserved for requests that were not served.
func (l *requestLog) write(served bool, fields ...zap.Field) {
	l.mu.Lock()
	now := time.Now()
	if !l.refilledAt.IsZero() {
		l.tokens = min(logBurst, l.tokens+now.Sub(l.refilledAt).Seconds()*logPerSecond)
	}
	l.refilledAt = now
	if l.tokens < 1 || (served && l.tokens < logBurst/4) {
		l.omitted++
		l.mu.Unlock()
		return
	}
	l.tokens--
	l.mu.Unlock()
	event.RequestDecided.Log(l.logger, fields...)
}

// flush logs the number of requests that were omitted since the last report.
func (l *requestLog) flush(now time.Time) {
	l.mu.Lock()
	omitted := l.omitted
	if omitted == 0 || now.Sub(l.reportedAt) < omittedPeriod {
		l.mu.Unlock()
		return
	}
	l.omitted, l.reportedAt = 0, now
	l.mu.Unlock()
	event.RequestsUnlogged.Log(l.logger, zap.Int("left_out", omitted))
}

package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// Bounds of the log of requests.
const (
	// logPerSecond is how many requests are logged one by one in a second, on
	// average: an entry at the size to design for takes ten.
	logPerSecond = 60
	// logBurst is how many more may come at once.
	logBurst = 240
	// unloggedPeriod is how often the number of those left out is logged.
	unloggedPeriod = time.Second
)

// requestLog writes one line for each request, within a bound.
type requestLog struct {
	logger *zap.Logger

	mu       sync.Mutex
	room     float64
	filled   time.Time
	left     int
	reported time.Time
}

func newRequestLog(logger *zap.Logger) *requestLog {
	return &requestLog{logger: logger, room: logBurst}
}

// write logs a decided request. Those that weren't served go first: they use the
// last part of the room, which served ones leave.
func (l *requestLog) write(served bool, fields ...zap.Field) {
	l.mu.Lock()
	now := time.Now()
	if !l.filled.IsZero() {
		l.room = min(logBurst, l.room+now.Sub(l.filled).Seconds()*logPerSecond)
	}
	l.filled = now
	if l.room < 1 || (served && l.room < logBurst/4) {
		l.left++
		l.mu.Unlock()
		return
	}
	l.room--
	l.mu.Unlock()
	event.RequestDecided.Log(l.logger, fields...)
}

// flush logs how many requests were left out.
func (l *requestLog) flush(now time.Time) {
	l.mu.Lock()
	left := l.left
	if left == 0 || now.Sub(l.reported) < unloggedPeriod {
		l.mu.Unlock()
		return
	}
	l.left, l.reported = 0, now
	l.mu.Unlock()
	event.RequestsUnlogged.Log(l.logger, zap.Int("left_out", left))
}

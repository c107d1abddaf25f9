package event

import (
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of a log that never blocks.
const (
	// logBufferBytes is what may wait for a slow reader of the log.
	logBufferBytes = 512 << 10
	// logFlushPeriod is how often lines are written out.
	logFlushPeriod = 50 * time.Millisecond
)

// lossyWriter writes lines on the side. Lines that find its buffer full are left
// out and counted, so that no process waits for its log.
type lossyWriter struct {
	target *os.File

	mu      sync.Mutex
	pending []byte
	lost    int
	wake    chan struct{}
	writing bool
}

func newLossyWriter(target *os.File) *lossyWriter {
	w := &lossyWriter{target: target, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes a line.
func (w *lossyWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > logBufferBytes {
		w.lost++
		return len(line), nil
	}
	if len(w.pending) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Sync waits a short while until what was taken is written.
func (w *lossyWriter) Sync() error {
	for range 10 {
		w.mu.Lock()
		empty := len(w.pending) == 0 && !w.writing
		w.mu.Unlock()
		if empty {
			return nil
		}
		time.Sleep(logFlushPeriod / 2)
	}
	return nil
}

func (w *lossyWriter) run() {
	for range w.wake {
		time.Sleep(logFlushPeriod)
		w.mu.Lock()
		lines, lost := w.pending, w.lost
		w.pending, w.lost, w.writing = nil, 0, true
		w.mu.Unlock()
		if lost > 0 {
			lines = append(lines, lostLine(lost)...)
		}
		// A log that can't be written has nowhere to say so.
		_, _ = w.target.Write(lines)
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}
}

// lostLine says how many lines were left out.
func lostLine(lost int) []byte {
	encoder := zapcore.NewJSONEncoder(encoderConfig())
	buffer, err := encoder.EncodeEntry(
		zapcore.Entry{Level: LinesLost.level, Time: time.Now(), Message: LinesLost.name},
		[]zapcore.Field{zap.Int("event", LinesLost.number), zap.Int("left_out", lost)})
	if err != nil {
		return nil
	}
	return buffer.Bytes()
}

func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	return config
}

// NewLossyLogger returns a logger that writes JSON lines at level and above to
// the standard output, each with the role and the name of the process, and never
// blocks: lines that can't be written in time are counted instead.
func NewLossyLogger(level zapcore.Level, role, name string) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), newLossyWriter(os.Stdout), level)
	return zap.New(core, zap.Fields(zap.String("role", role), zap.String("name", name)))
}

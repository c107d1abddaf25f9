package event

import (
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of a lossyWriter.
const (
	// logBufferBytes is the maximum number of bytes buffered for a slow reader of
	// the log.
	logBufferBytes = 512 << 10
	// logFlushInterval is how long lines are collected before they are written.
	logFlushInterval = 50 * time.Millisecond
)

// lossyWriter writes log lines asynchronously. It drops and counts lines while
// its buffer is full, so that a slow reader of the log never blocks the process.
type lossyWriter struct {
	target *os.File

	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	writing bool
}

func newLossyWriter(target *os.File) *lossyWriter {
	w := &lossyWriter{target: target, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full. It never fails.
func (w *lossyWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > logBufferBytes {
		w.dropped++
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

// Sync waits until the buffered lines are written, for at most five flush
// intervals.
func (w *lossyWriter) Sync() error {
	for range 10 {
		w.mu.Lock()
		empty := len(w.pending) == 0 && !w.writing
		w.mu.Unlock()
		if empty {
			return nil
		}
		time.Sleep(logFlushInterval / 2)
	}
	return nil
}

func (w *lossyWriter) run() {
	for range w.wake {
		time.Sleep(logFlushInterval)
		w.mu.Lock()
		batch, dropped := w.pending, w.dropped
		w.pending, w.dropped, w.writing = nil, 0, true
		w.mu.Unlock()
		if dropped > 0 {
			batch = append(batch, linesLostEntry(dropped)...)
		}
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.target.Write(batch)
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}
}

// linesLostEntry returns a log entry with the number of dropped lines.
func linesLostEntry(dropped int) []byte {
	encoder := zapcore.NewJSONEncoder(encoderConfig())
	buffer, err := encoder.EncodeEntry(
		zapcore.Entry{Level: LinesLost.level, Time: time.Now(), Message: LinesLost.name},
		[]zapcore.Field{zap.Int("event", LinesLost.number), zap.Int("left_out", dropped)})
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
// standard output, each with the role and the name of the process. It never
// blocks: lines that do not fit in its buffer are dropped and counted.
func NewLossyLogger(level zapcore.Level, role, name string) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), newLossyWriter(os.Stdout), level)
	return zap.New(core, zap.Fields(zap.String("role", role), zap.String("name", name)))
}

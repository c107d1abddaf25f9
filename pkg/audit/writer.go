package audit

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// Bounds of a Writer.
const (
	// Prefix is the beginning of the keys of all batches.
	Prefix = "audit/"
	// maxHeld is how many records a writer holds while the service is away;
	// what comes then is counted as dropped.
	maxHeld = 20_000
	// maxBatch is how many records one batch holds.
	maxBatch = 4_000
)

// Store is what a Writer needs of the key-value service.
type Store interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
}

// batchKey returns the key of a batch. Slashes in the entry's name would make
// other levels of keys.
func batchKey(entry string, sequence uint64) string {
	return fmt.Sprintf("%s%s/%010d", Prefix, strings.ReplaceAll(entry, "/", "."), sequence)
}

// Writer collects the records of one run of an entry. Use NewWriter. It is safe
// for concurrent use.
type Writer struct {
	store Store
	entry string
	now   func() time.Time

	mu      sync.Mutex
	held    []Record
	dropped uint64

	writing  sync.Mutex
	sequence uint64
	previous []byte
	unsent   *wirepb.AuditBatch
}

// NewWriter returns a writer of the records of a run of an entry, which is
// named by the entry's name and incarnation.
func NewWriter(store Store, entry string) *Writer {
	return &Writer{store: store, entry: entry, now: time.Now}
}

// Add takes a record. It never waits; where too many are held already the
// record is counted as dropped.
func (w *Writer) Add(record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.held) >= maxHeld {
		w.dropped++
		return
	}
	w.held = append(w.held, record)
}

// Held returns how many records wait to be written.
func (w *Writer) Held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held)
}

// Open writes the first batch, which is empty. The entry must not serve before
// it has succeeded.
func (w *Writer) Open(ctx context.Context) error {
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.sequence > 0 {
		return nil
	}
	return w.write(ctx, false)
}

// Flush writes what is held, if anything.
func (w *Writer) Flush(ctx context.Context) error {
	w.writing.Lock()
	defer w.writing.Unlock()
	for w.unsent != nil || w.Held() > 0 {
		if err := w.write(ctx, false); err != nil {
			return err
		}
	}
	return nil
}

// Close writes what is held and says that no more comes.
func (w *Writer) Close(ctx context.Context) error {
	if err := w.Flush(ctx); err != nil {
		return err
	}
	w.writing.Lock()
	defer w.writing.Unlock()
	return w.write(ctx, true)
}

// take makes the next batch of what is held.
func (w *Writer) take(last bool) *wirepb.AuditBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := min(maxBatch, len(w.held))
	batch := &wirepb.AuditBatch{
		Entry:     w.entry,
		Sequence:  w.sequence,
		Previous:  w.previous,
		WrittenMs: w.now().UnixMilli(),
		Dropped:   w.dropped,
		Last:      last,
	}
	for _, record := range w.held[:count] {
		batch.Records = append(batch.Records, toWire(record))
	}
	w.held = append([]Record(nil), w.held[count:]...)
	w.dropped = 0
	return batch
}

// write writes the next batch. After an error the same batch is written again,
// so an answer that was lost makes no duplicate.
func (w *Writer) write(ctx context.Context, last bool) error {
	if w.unsent == nil {
		w.unsent = w.take(last)
	}
	packed, err := pack(w.unsent)
	if err != nil {
		return err
	}
	key := batchKey(w.entry, w.sequence)
	_, err = w.store.Put(ctx, key, packed, 0, 0)
	if errors.Is(err, store.ErrConflict) {
		err = w.isWritten(ctx, key, packed)
	}
	if err != nil {
		return err
	}
	w.previous = sumOf(packed)
	w.sequence++
	w.unsent = nil
	return nil
}

// sumOf returns the hash by which the next batch names this one.
func sumOf(packed []byte) []byte {
	sum := sha256.Sum256(packed)
	return sum[:]
}

// isWritten returns nil if the key holds what was to be written.
func (w *Writer) isWritten(ctx context.Context, key string, packed []byte) error {
	snapshot, err := w.store.Read(ctx, key)
	if err != nil {
		return err
	}
	pair, ok := snapshot.Get(key)
	if !ok || string(pair.Value()) != string(packed) {
		return eris.Errorf("the key %s holds another batch", key)
	}
	return nil
}

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
)

func pack(batch *wirepb.AuditBatch) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		return nil, eris.Wrap(err, "can't encode a batch")
	}
	return encoder.EncodeAll(encoded, nil), nil
}

func unpack(packed []byte) (*wirepb.AuditBatch, error) {
	encoded, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, eris.Wrap(err, "can't unpack a batch")
	}
	batch := &wirepb.AuditBatch{}
	if err := proto.Unmarshal(encoded, batch); err != nil {
		return nil, eris.Wrap(err, "can't decode a batch")
	}
	return batch, nil
}

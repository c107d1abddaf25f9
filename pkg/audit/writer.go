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
	// batchRecords is how many records one batch holds.
	batchRecords = 1000
	// maxSealed is how many packed batches a writer holds while the service is
	// away; records that come then are counted as dropped.
	maxSealed = 20
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

// Writer collects the records of one run of an entry. Full batches are packed at
// once, so that little is held while the service is away. Use NewWriter. It is
// safe for concurrent use.
type Writer struct {
	store Store
	entry string
	now   func() time.Time

	writing sync.Mutex

	mu       sync.Mutex
	held     []Record
	dropped  uint64
	sealed   []sealedBatch
	sequence uint64
	previous []byte
}

// sealedBatch is a packed batch that waits to be written.
type sealedBatch struct {
	key    string
	packed []byte
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
	if len(w.held) >= batchRecords {
		if len(w.sealed) >= maxSealed {
			w.dropped++
			return
		}
		w.seal(false)
	}
	w.held = append(w.held, record)
}

// Buffered returns how many records wait to be written.
func (w *Writer) Buffered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held) + len(w.sealed)*batchRecords
}

// Open writes the first batch, which is empty. The entry must not serve before
// it has succeeded.
func (w *Writer) Open(ctx context.Context) error {
	w.mu.Lock()
	if w.sequence == 0 {
		w.seal(false)
	}
	w.mu.Unlock()
	return w.writeSealed(ctx)
}

// Flush writes what is held, if anything.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	if len(w.held) > 0 {
		w.seal(false)
	}
	w.mu.Unlock()
	return w.writeSealed(ctx)
}

// Close writes what is held and says that no more comes.
func (w *Writer) Close(ctx context.Context) error {
	w.mu.Lock()
	w.seal(true)
	w.mu.Unlock()
	return w.writeSealed(ctx)
}

// seal packs what is held into the next batch. The caller holds the lock.
func (w *Writer) seal(last bool) {
	batch := &wirepb.AuditBatch{
		Entry:     w.entry,
		Sequence:  w.sequence,
		Previous:  w.previous,
		WrittenMs: w.now().UnixMilli(),
		Dropped:   w.dropped,
		Last:      last,
	}
	for _, record := range w.held {
		batch.Records = append(batch.Records, toWire(record))
	}
	packed := pack(batch)
	w.sealed = append(w.sealed, sealedBatch{key: batchKey(w.entry, w.sequence), packed: packed})
	w.previous = sumOf(packed)
	w.sequence++
	w.held = nil
	w.dropped = 0
}

// writeSealed writes the sealed batches in order. After an error the same
// batches are written again, so an answer that was lost makes no duplicate.
func (w *Writer) writeSealed(ctx context.Context) error {
	w.writing.Lock()
	defer w.writing.Unlock()
	for {
		first, ok := w.firstSealed()
		if !ok {
			return nil
		}
		_, err := w.store.Put(ctx, first.key, first.packed, 0, 0)
		if errors.Is(err, store.ErrConflict) {
			err = w.isWritten(ctx, first.key, first.packed)
		}
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.sealed = w.sealed[1:]
		w.mu.Unlock()
	}
}

func (w *Writer) firstSealed() (sealedBatch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.sealed) == 0 {
		return sealedBatch{}, false
	}
	return w.sealed[0], true
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

// pack encodes and compresses a batch, all of whose fields can be encoded.
func pack(batch *wirepb.AuditBatch) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		panic("audit: a batch can't be encoded: " + err.Error())
	}
	return encoder.EncodeAll(encoded, nil)
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

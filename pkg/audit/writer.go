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

const (
	// Prefix is the prefix of the keys of all batches.
	Prefix = "audit/"
	// batchRecords is the greatest number of records in a batch.
	batchRecords = 1000
	// maxPending is how many encoded batches a writer holds while the service is
	// unavailable. With that many pending and another batch full, further records
	// are dropped and counted.
	maxPending = 20
)

// Store is the part of the key-value service that a Writer uses.
type Store interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
}

// batchKey returns the key of a batch. It replaces the slashes in the name of the
// run, which would add levels to the key.
func batchKey(run string, sequence uint64) string {
	return fmt.Sprintf("%s%s/%010d", Prefix, strings.ReplaceAll(run, "/", "."), sequence)
}

// Writer collects the records of one run of an entry. A full batch is compressed at
// once to limit the memory that it takes while the service is unavailable. Use
// NewWriter. It is safe for concurrent use.
type Writer struct {
	store Store
	run   string
	now   func() time.Time

	// writeMu keeps the batches in order while they are written.
	writeMu sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	buffered []Record
	dropped  uint64
	pending  []encodedBatch
	sequence uint64
	previous []byte
}

// encodedBatch is a batch that is ready to be written.
type encodedBatch struct {
	key   string
	value []byte
}

// NewWriter returns a writer of the records of one run of an entry. Run is the
// entry's name with the incarnation of the run.
func NewWriter(store Store, run string) *Writer {
	return &Writer{store: store, run: run, now: time.Now}
}

// Add buffers a record. It never blocks; if too many records are waiting, the
// record is dropped and counted.
func (w *Writer) Add(record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered) >= batchRecords {
		if len(w.pending) >= maxPending {
			w.dropped++
			return
		}
		w.closeBatch(false)
	}
	w.buffered = append(w.buffered, record)
}

// Buffered returns how many records are waiting to be written, with each pending
// batch counted as full.
func (w *Writer) Buffered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffered) + len(w.pending)*batchRecords
}

// Open writes the first batch, which is empty. The entry must not serve before
// Open has succeeded, so that a run that lost all its records is still known.
func (w *Writer) Open(ctx context.Context) error {
	w.mu.Lock()
	if w.sequence == 0 {
		w.closeBatch(false)
	}
	w.mu.Unlock()
	return w.writePending(ctx)
}

// Flush writes the pending batches and all buffered records.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	if len(w.buffered) > 0 {
		w.closeBatch(false)
	}
	w.mu.Unlock()
	return w.writePending(ctx)
}

// Close writes the pending batches and all buffered records, in a batch that is
// marked as the last of the run.
func (w *Writer) Close(ctx context.Context) error {
	w.mu.Lock()
	w.closeBatch(true)
	w.mu.Unlock()
	return w.writePending(ctx)
}

// closeBatch encodes the buffered records as the next batch. The caller must hold
// w.mu.
func (w *Writer) closeBatch(last bool) {
	batch := &wirepb.AuditBatch{
		Entry:     w.run,
		Sequence:  w.sequence,
		Previous:  w.previous,
		WrittenMs: w.now().UnixMilli(),
		Dropped:   w.dropped,
		Last:      last,
	}
	for _, record := range w.buffered {
		batch.Records = append(batch.Records, toWire(record))
	}
	value := encodeBatch(batch)
	w.pending = append(w.pending, encodedBatch{key: batchKey(w.run, w.sequence), value: value})
	w.previous = hashOf(value)
	w.sequence++
	w.buffered = nil
	w.dropped = 0
}

// writePending writes the pending batches in order. After an error the next call
// writes the same batch to the same key again, so a lost response causes no
// duplicate.
func (w *Writer) writePending(ctx context.Context) error {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	for {
		first, ok := w.firstPending()
		if !ok {
			return nil
		}
		_, err := w.store.Put(ctx, first.key, first.value, 0, 0)
		if errors.Is(err, store.ErrConflict) {
			err = w.verifyWritten(ctx, first.key, first.value)
		}
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.pending = w.pending[1:]
		w.mu.Unlock()
	}
}

func (w *Writer) firstPending() (encodedBatch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) == 0 {
		return encodedBatch{}, false
	}
	return w.pending[0], true
}

// hashOf returns the hash of an encoded batch, which the next batch holds.
func hashOf(value []byte) []byte {
	hash := sha256.Sum256(value)
	return hash[:]
}

// verifyWritten returns an error unless the key holds the given value.
func (w *Writer) verifyWritten(ctx context.Context, key string, value []byte) error {
	snapshot, err := w.store.Read(ctx, key)
	if err != nil {
		return err
	}
	pair, ok := snapshot.Get(key)
	if !ok || string(pair.Value()) != string(value) {
		return eris.Errorf("the key %s holds another batch", key)
	}
	return nil
}

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
)

// encodeBatch encodes and compresses a batch. It panics on an error, which can't
// occur because every field of a batch can be encoded.
func encodeBatch(batch *wirepb.AuditBatch) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		panic("audit: a batch can't be encoded: " + err.Error())
	}
	return encoder.EncodeAll(encoded, nil)
}

func decodeBatch(value []byte) (*wirepb.AuditBatch, error) {
	encoded, err := decoder.DecodeAll(value, nil)
	if err != nil {
		return nil, eris.Wrap(err, "can't decompress a batch")
	}
	batch := &wirepb.AuditBatch{}
	if err := proto.Unmarshal(encoded, batch); err != nil {
		return nil, eris.Wrap(err, "can't decode a batch")
	}
	return batch, nil
}

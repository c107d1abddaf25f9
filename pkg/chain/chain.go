// Package chain stores the history of configuration versions in the key-value
// service as a hash chain.
//
// Each version has an immutable record with its patch. The first version and every
// sixty-fourth after it also have a snapshot of the whole configuration. The keys of
// records and snapshots contain the version's hash, so a rejected version never
// replaces an accepted one with the same number. The key "live/head" refers to the
// version in force and is changed by compare-and-swap only. A process that knows a
// version reads only the records after it, which is cheap, and verifies each hash.
//
// A service that recovers from a copy may lose versions. Restore writes one of them again
// with a snapshot of its own, so that it and the versions after it can be loaded though
// records before it are missing.
package chain

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// Keys in the key-value service.
const (
	// HeadKey is the key of the reference to the version in force.
	HeadKey = "live/head"
	// PendingKey is the key of the reference to the staged version.
	PendingKey = "live/pending"

	recordPrefix   = "config/record/"
	snapshotPrefix = "config/snapshot/"
)

// snapshotInterval is the number of versions from one snapshot to the next.
const snapshotInterval = 64

// RecordKey returns the key of a version's record.
func RecordKey(number uint64, hash string) string { return recordKeyPrefix(number) + hash }

// recordKeyPrefix returns the key prefix of all records with a number: the accepted
// one and the rejected ones.
func recordKeyPrefix(number uint64) string { return fmt.Sprintf("%s%012d-", recordPrefix, number) }

func snapshotKey(number uint64, hash string) string {
	return fmt.Sprintf("%s%012d-%s", snapshotPrefix, number, hash)
}

// lastSnapshot returns the number of the newest version up to number that has a
// snapshot.
func lastSnapshot(number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return (number-1)/snapshotInterval*snapshotInterval + 1
}

// ErrNoVersion is returned if there is no configuration yet.
var ErrNoVersion = eris.New("there is no configuration yet")

// Reader is the part of the key-value service's client that reads the history.
type Reader interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
}

// Writer is the part of the key-value service's client that writes the history.
type Writer interface {
	Reader
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
}

// Ref refers to a version, the one in force or the staged one, and lists the
// entries that vote on the next one.
//
// Each staged version gets a new term. A commit keeps that term; an abort writes
// the head again with the next one. Of two references the one with the higher term
// is newer. Version numbers grow only with accepted patches.
type Ref struct {
	term     uint64
	number   uint64
	hash     string
	voters   []string
	by       string
	revision uint64
}

// NewRef returns a reference to a version, with its term and voters. By is the
// name of the process that sets it.
func NewRef(term, number uint64, hash string, voters []string, by string) Ref {
	return Ref{term: term, number: number, hash: hash, voters: voters, by: by}
}

// Term returns the term, zero for the zero Ref.
func (r Ref) Term() uint64 { return r.term }

// Number returns the version number.
func (r Ref) Number() uint64 { return r.number }

// Hash returns the version's hash.
func (r Ref) Hash() string { return r.hash }

// Voters returns the names of the entries that vote, in order. The caller must not
// modify the slice.
func (r Ref) Voters() []string { return r.voters }

// By returns the name of the process that created the reference. A commit keeps the
// name of the staged reference, an abort that of the head.
func (r Ref) By() string { return r.by }

// Revision returns the revision of the key that the reference was read from.
func (r Ref) Revision() uint64 { return r.revision }

// refJSON is the JSON encoding of a Ref.
type refJSON struct {
	Term   uint64   `json:"term"`
	Number uint64   `json:"number"`
	Hash   string   `json:"hash"`
	Voters []string `json:"voters,omitempty"`
	By     string   `json:"by,omitempty"`
}

// Encode returns the reference as JSON, without its revision.
func (r Ref) Encode() []byte {
	encoded, err := json.Marshal(refJSON{Term: r.term, Number: r.number, Hash: r.hash, Voters: r.voters, By: r.by})
	if err != nil {
		panic("chain: failed to encode a reference: " + err.Error())
	}
	return encoded
}

// DecodeRef decodes a reference that Encode has encoded.
func DecodeRef(data []byte) (Ref, error) {
	var encoding refJSON
	if err := json.Unmarshal(data, &encoding); err != nil {
		return Ref{}, eris.Wrap(err, "failed to decode a reference")
	}
	return Ref{term: encoding.Term, number: encoding.Number, hash: encoding.Hash, voters: encoding.Voters, by: encoding.By}, nil
}

// RefIn decodes the reference at a key of a snapshot. It returns the zero Ref if
// the key doesn't exist.
func RefIn(snapshot store.Snapshot, key string) (Ref, error) {
	pair, ok := snapshot.Get(key)
	if !ok {
		return Ref{}, nil
	}
	ref, err := DecodeRef(pair.Value())
	if err != nil {
		return Ref{}, eris.Wrapf(err, "at key %s", key)
	}
	ref.revision = pair.Revision()
	return ref, nil
}

// ReadHead returns the reference to the version in force. It fails with
// ErrNoVersion if there is none.
func ReadHead(ctx context.Context, reader Reader) (Ref, error) {
	snapshot, err := reader.Read(ctx, HeadKey)
	if err != nil {
		return Ref{}, err
	}
	ref, err := RefIn(snapshot, HeadKey)
	if err != nil {
		return Ref{}, err
	}
	if ref.number == 0 {
		return Ref{}, ErrNoVersion
	}
	return ref, nil
}

// Load returns the version that ref refers to. From is a version that the caller
// already has, or nil. If ref is at most snapshotInterval versions ahead of it, only
// the records after it are read, unless it was rejected.
func Load(ctx context.Context, reader Reader, ref Ref, from *config.Version) (*config.Version, error) {
	base := lastSnapshot(ref.number)
	if from != nil && from.Number() <= ref.number && from.Number()+snapshotInterval >= ref.number {
		version, err := loadAfter(ctx, reader, ref, from)
		if err == nil {
			return version, nil
		}
		if !eris.Is(err, config.ErrChainBroken) {
			return nil, err
		}
		// From isn't an ancestor, so it was rejected.
	}
	records, err := readBack(ctx, reader, ref, base)
	if err != nil {
		return nil, err
	}
	return loadFromSnapshot(ctx, reader, records, base)
}

// loadFromSnapshot returns the version of the last of the records, which should begin with that
// of the version base. If earlier ones are missing, it begins with a version that was restored.
func loadFromSnapshot(ctx context.Context, reader Reader, records []config.Record, base uint64) (*config.Version, error) {
	for i, record := range records {
		version, err := loadSnapshot(ctx, reader, record.Number(), record.Hash())
		switch {
		case err == nil:
			return applyRecords(version, records[i+1:])
		case !eris.Is(err, store.ErrNotFound) || record.Number() == base:
			return nil, err
		}
	}
	return nil, missingRecord(records, base)
}

// missingRecord returns the error of a history that lacks a record.
func missingRecord(found []config.Record, last uint64) error {
	if len(found) > 0 {
		last = found[0].Number() - 1
	}
	return eris.Wrapf(config.ErrChainBroken, "the record of version %d is missing", last)
}

// loadAfter returns the version that ref refers to by applying the records after
// from. It fails with config.ErrChainBroken if from isn't an ancestor.
func loadAfter(ctx context.Context, reader Reader, ref Ref, from *config.Version) (*config.Version, error) {
	if ref.number == from.Number() {
		if ref.hash != from.Hash() {
			return nil, config.ErrChainBroken
		}
		return from, nil
	}
	records, err := History(ctx, reader, ref, from.Number()+1)
	if err != nil {
		return nil, err
	}
	return applyRecords(from, records)
}

// applyRecords returns the version after version and all records.
func applyRecords(version *config.Version, records []config.Record) (*config.Version, error) {
	for _, record := range records {
		next, err := version.ApplyRecord(record)
		if err != nil {
			return nil, err
		}
		version = next
	}
	return version, nil
}

func loadSnapshot(ctx context.Context, reader Reader, number uint64, hash string) (*config.Version, error) {
	key := snapshotKey(number, hash)
	snapshot, err := reader.Read(ctx, key)
	if err != nil {
		return nil, err
	}
	pair, ok := snapshot.Get(key)
	if !ok {
		return nil, eris.Wrapf(store.ErrNotFound, "the snapshot of version %d", number)
	}
	return config.DecodeSnapshot(pair.Value())
}

// History returns the records of the versions from first up to the one that ref
// refers to, in order. It follows the hashes of the parents backwards from ref.
func History(ctx context.Context, reader Reader, ref Ref, first uint64) ([]config.Record, error) {
	records, err := readBack(ctx, reader, ref, first)
	if err != nil {
		return nil, err
	}
	if ref.number >= first && (len(records) == 0 || records[0].Number() > max(first, 1)) {
		return nil, missingRecord(records, ref.number)
	}
	return records, nil
}

// readBack returns the records from first up to ref like History, but only those after the
// last missing one.
func readBack(ctx context.Context, reader Reader, ref Ref, first uint64) ([]config.Record, error) {
	var records []config.Record
	number, hash := ref.number, ref.hash
	for number >= first && number > 0 {
		lowest := max(first, lastSnapshot(number))
		batch, err := readRecords(ctx, reader, lowest, number)
		if err != nil {
			return nil, err
		}
		for ; number >= lowest; number-- {
			record, ok := batch[hash]
			if !ok || record.Number() != number {
				slices.Reverse(records)
				return records, nil
			}
			records = append(records, record)
			hash = record.Parent()
		}
	}
	slices.Reverse(records)
	return records, nil
}

// readRecords returns all records with numbers from first to last, by hash.
func readRecords(ctx context.Context, reader Reader, first, last uint64) (map[string]config.Record, error) {
	var prefixes []string
	for number := first; number <= last; number++ {
		prefixes = append(prefixes, recordKeyPrefix(number))
	}
	snapshot, err := reader.Read(ctx, prefixes...)
	if err != nil {
		return nil, err
	}
	records := make(map[string]config.Record, len(snapshot.Pairs()))
	for _, pair := range snapshot.Pairs() {
		record, err := config.DecodeRecord(pair.Value())
		if err != nil {
			return nil, err
		}
		records[record.Hash()] = record
	}
	return records, nil
}

// VersionAt returns the version with the given number in the history that ends with
// head.
func VersionAt(ctx context.Context, reader Reader, head Ref, number uint64) (*config.Version, error) {
	if number == 0 || number > head.number {
		return nil, eris.Errorf("there is no version %d; the newest is %d", number, head.number)
	}
	records, err := readBack(ctx, reader, head, lastSnapshot(number))
	if err != nil {
		return nil, err
	}
	end := slices.IndexFunc(records, func(record config.Record) bool { return record.Number() == number })
	if end < 0 {
		return nil, missingRecord(records, head.number)
	}
	return loadFromSnapshot(ctx, reader, records[:end+1], lastSnapshot(number))
}

// WriteVersion writes the record of a version, and its snapshot if it has one. It
// may be retried after an error.
func WriteVersion(ctx context.Context, writer Writer, version *config.Version) error {
	if lastSnapshot(version.Number()) == version.Number() {
		key := snapshotKey(version.Number(), version.Hash())
		if err := writeOnce(ctx, writer, key, version.EncodeSnapshot()); err != nil {
			return err
		}
	}
	key := RecordKey(version.Number(), version.Hash())
	return writeOnce(ctx, writer, key, version.Record().Encode())
}

// Restore writes the record of a version and a snapshot, unless the version can be loaded. It
// may be retried after an error.
func Restore(ctx context.Context, writer Writer, version *config.Version) error {
	ref := Ref{number: version.Number(), hash: version.Hash()}
	_, err := Load(ctx, writer, ref, nil)
	if err == nil || (!eris.Is(err, config.ErrChainBroken) && !eris.Is(err, store.ErrNotFound)) {
		return err
	}
	if err := writeOnce(ctx, writer, snapshotKey(ref.number, ref.hash), version.EncodeSnapshot()); err != nil {
		return err
	}
	return writeOnce(ctx, writer, RecordKey(ref.number, ref.hash), version.Record().Encode())
}

// writeOnce writes an immutable key. If the key already exists, its value is the
// same, since the key contains the hash.
func writeOnce(ctx context.Context, writer Writer, key string, value []byte) error {
	_, err := writer.Put(ctx, key, value, 0, 0)
	if eris.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// Init writes the first version of the configuration. It fails with
// store.ErrConflict if there is one already.
func Init(ctx context.Context, writer Writer, first *config.Version, by string) error {
	if err := WriteVersion(ctx, writer, first); err != nil {
		return err
	}
	_, err := writer.Put(ctx, HeadKey, NewRef(1, first.Number(), first.Hash(), nil, by).Encode(), 0, 0)
	return err
}

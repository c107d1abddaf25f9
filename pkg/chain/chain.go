// Package chain keeps the history of configuration versions in the key-value
// service and reads it back.
//
// Each version is an immutable record with its patch; every sixty-fourth, and
// the first, has a snapshot of the whole configuration too. The keys of both
// hold the version's hash, so that a rejected version never stands in the place
// of an accepted one with its number. The key "live/head" names the version in
// force and is changed by compare-and-swap only. A process follows the head
// record by record, which is cheap, and checks every hash on the way.
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

// The keys of the history.
const (
	// HeadKey is the key of the head.
	HeadKey = "live/head"
	// PendingKey is the key of the staged version.
	PendingKey = "live/pending"

	recordPrefix   = "config/record/"
	snapshotPrefix = "config/snapshot/"
)

// snapshotEvery is the distance between two snapshots, in versions.
const snapshotEvery = 64

// RecordKey returns the key of a version's record.
func RecordKey(number uint64, hash string) string { return recordsOf(number) + hash }

// recordsOf returns the prefix of the records with a number: the accepted one
// and those that were rejected.
func recordsOf(number uint64) string { return fmt.Sprintf("%s%012d-", recordPrefix, number) }

func snapshotKey(number uint64, hash string) string {
	return fmt.Sprintf("%s%012d-%s", snapshotPrefix, number, hash)
}

// snapshotOf returns the newest version up to number that has a snapshot.
func snapshotOf(number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return (number-1)/snapshotEvery*snapshotEvery + 1
}

// ErrNoVersion says that there is no configuration yet.
var ErrNoVersion = eris.New("there is no configuration yet")

// Reader is what reading the history needs of the key-value service.
type Reader interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
}

// Writer is what writing the history needs of the key-value service.
type Writer interface {
	Reader
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
}

// Ref names a version, the one in force or the one that is staged, and the
// entries that have a vote on what comes next.
//
// Terms count what was staged and decided. A mark with a higher term is newer;
// the numbers of versions grow with accepted patches only.
type Ref struct {
	term     uint64
	number   uint64
	hash     string
	voters   []string
	by       string
	revision uint64
}

// NewRef returns the mark of a version with a term and the entries that have a
// vote, set by the process of the given name.
func NewRef(term, number uint64, hash string, voters []string, by string) Ref {
	return Ref{term: term, number: number, hash: hash, voters: voters, by: by}
}

// Term returns the mark's term, zero if there is no mark.
func (m Ref) Term() uint64 { return m.term }

// Number returns the version's number.
func (m Ref) Number() uint64 { return m.number }

// Hash returns the version's hash.
func (m Ref) Hash() string { return m.hash }

// Voters returns the entries that have a vote, in order. The caller must not
// change the slice.
func (m Ref) Voters() []string { return m.voters }

// By returns the name of the process that set the mark.
func (m Ref) By() string { return m.by }

// Revision returns the revision of the key that holds the mark.
func (m Ref) Revision() uint64 { return m.revision }

// wireMark is the JSON shape of a Mark.
type wireMark struct {
	Term   uint64   `json:"term"`
	Number uint64   `json:"number"`
	Hash   string   `json:"hash"`
	Voters []string `json:"voters,omitempty"`
	By     string   `json:"by,omitempty"`
}

// Encode returns the mark as JSON, without its revision.
func (m Ref) Encode() []byte {
	encoded, err := json.Marshal(wireMark{Term: m.term, Number: m.number, Hash: m.hash, Voters: m.voters, By: m.by})
	if err != nil {
		panic("chain: a mark can't be encoded: " + err.Error())
	}
	return encoded
}

// DecodeRef reads a mark that Encode wrote.
func DecodeRef(data []byte) (Ref, error) {
	var wire wireMark
	if err := json.Unmarshal(data, &wire); err != nil {
		return Ref{}, eris.Wrap(err, "can't read a mark")
	}
	return Ref{term: wire.Term, number: wire.Number, hash: wire.Hash, voters: wire.Voters, by: wire.By}, nil
}

// RefIn returns the mark at a key of a snapshot, the zero Mark if there is
// none.
func RefIn(snapshot store.Snapshot, key string) (Ref, error) {
	pair, ok := snapshot.Get(key)
	if !ok {
		return Ref{}, nil
	}
	mark, err := DecodeRef(pair.Value())
	if err != nil {
		return Ref{}, eris.Wrapf(err, "the key %s", key)
	}
	mark.revision = pair.Revision()
	return mark, nil
}

// ReadHead returns the mark of the version in force. It fails with ErrNoVersion if
// there is none.
func ReadHead(ctx context.Context, reader Reader) (Ref, error) {
	snapshot, err := reader.Read(ctx, HeadKey)
	if err != nil {
		return Ref{}, err
	}
	mark, err := RefIn(snapshot, HeadKey)
	if err != nil {
		return Ref{}, err
	}
	if mark.number == 0 {
		return Ref{}, ErrNoVersion
	}
	return mark, nil
}

// Load returns the version that mark names. From is a version that is known
// already, or nil; records are read from there on if it is near enough.
func Load(ctx context.Context, reader Reader, mark Ref, from *config.Version) (*config.Version, error) {
	base := snapshotOf(mark.number)
	if from != nil && from.Number() <= mark.number && from.Number()+snapshotEvery >= mark.number {
		version, err := loadAfter(ctx, reader, mark, from)
		if err == nil {
			return version, nil
		}
		if !eris.Is(err, config.ErrChainBroken) {
			return nil, err
		}
		// The known version is not an ancestor, so it was a rejected one.
	}
	records, err := History(ctx, reader, mark, base)
	if err != nil {
		return nil, err
	}
	version, err := loadSnapshot(ctx, reader, base, records[0].Hash())
	if err != nil {
		return nil, err
	}
	return followAll(version, records[1:])
}

func loadAfter(ctx context.Context, reader Reader, mark Ref, from *config.Version) (*config.Version, error) {
	if mark.number == from.Number() {
		if mark.hash != from.Hash() {
			return nil, config.ErrChainBroken
		}
		return from, nil
	}
	records, err := History(ctx, reader, mark, from.Number()+1)
	if err != nil {
		return nil, err
	}
	return followAll(from, records)
}

func followAll(version *config.Version, records []config.Record) (*config.Version, error) {
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

// History returns the records of the versions from first up to the one that
// mark names, in order. It goes back from the mark along the parents' hashes.
func History(ctx context.Context, reader Reader, mark Ref, first uint64) ([]config.Record, error) {
	var records []config.Record
	number, hash := mark.number, mark.hash
	for number >= first && number > 0 {
		lowest := max(first, snapshotOf(number))
		batch, err := readRecords(ctx, reader, lowest, number)
		if err != nil {
			return nil, err
		}
		for ; number >= lowest; number-- {
			record, ok := batch[hash]
			if !ok || record.Number() != number {
				return nil, eris.Wrapf(config.ErrChainBroken, "the record of version %d is missing", number)
			}
			records = append(records, record)
			hash = record.Parent()
		}
	}
	slices.Reverse(records)
	return records, nil
}

// readRecords reads all records with numbers from first to last, by hash.
func readRecords(ctx context.Context, reader Reader, first, last uint64) (map[string]config.Record, error) {
	var prefixes []string
	for number := first; number <= last; number++ {
		prefixes = append(prefixes, recordsOf(number))
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

// VersionAt returns the version of the given number from the history that head ends.
func VersionAt(ctx context.Context, reader Reader, head Ref, number uint64) (*config.Version, error) {
	if number == 0 || number > head.number {
		return nil, eris.Errorf("there is no version %d; the newest is %d", number, head.number)
	}
	records, err := History(ctx, reader, head, snapshotOf(number))
	if err != nil {
		return nil, err
	}
	version, err := loadSnapshot(ctx, reader, records[0].Number(), records[0].Hash())
	if err != nil {
		return nil, err
	}
	return followAll(version, records[1:number-records[0].Number()+1])
}

// WriteVersion writes a version's record, and its snapshot if it has one. It
// may be called again after an error.
func WriteVersion(ctx context.Context, writer Writer, version *config.Version) error {
	if snapshotOf(version.Number()) == version.Number() {
		key := snapshotKey(version.Number(), version.Hash())
		if err := writeOnce(ctx, writer, key, version.EncodeSnapshot()); err != nil {
			return err
		}
	}
	key := RecordKey(version.Number(), version.Hash())
	return writeOnce(ctx, writer, key, version.Record().Encode())
}

// writeOnce writes an immutable key. Where it is there already it holds the
// same, since its hash is part of the key.
func writeOnce(ctx context.Context, writer Writer, key string, value []byte) error {
	_, err := writer.Put(ctx, key, value, 0, 0)
	if eris.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// Init makes a configuration the first version. It fails with
// store.ErrConflict if there is one already.
func Init(ctx context.Context, writer Writer, first *config.Version, by string) error {
	if err := WriteVersion(ctx, writer, first); err != nil {
		return err
	}
	_, err := writer.Put(ctx, HeadKey, NewRef(1, first.Number(), first.Hash(), nil, by).Encode(), 0, 0)
	return err
}

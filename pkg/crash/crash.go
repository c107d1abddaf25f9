// Package crash records requests that crash the endpoints which run them, so that
// entries can isolate or block a request that callers send again and again.
//
// A request is identified by its fingerprint. When an endpoint crashes, all requests
// that ran on it are isolated, including harmless ones. An isolated request runs alone
// on an endpoint. If that endpoint crashes too, the request is blocked; if the request
// completes alone, its record is deleted. The records are in the key-value service, so
// that all entries share them, with leases, so that no request is blocked for ever. If the
// service recovers from a copy that lacks records, those who know them write them again.
package crash

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/store"
)

// Prefix is the key prefix of all records.
const Prefix = "live/crash/"

// TTL is how long a record is kept after the last crash.
const TTL = time.Hour

// crashesToBlock is the number of crashes that block a request which never ran alone.
// So many can occur if several entries send it before they know of each other's crashes.
const crashesToBlock = 3

// State says whether a request may run.
type State int

// The states of a request.
const (
	// Clear means that the request may run without restrictions.
	Clear State = iota
	// Isolated means that the request may run, but only alone on an endpoint.
	Isolated
	// Blocked means that the request must not run.
	Blocked
)

// Record counts the endpoint crashes while a request ran.
type Record struct {
	crashes int
	// crashesAlone counts the crashes while the request ran alone.
	crashesAlone int
	// position is that of the stored record, of revision zero if there is none.
	position store.Position
}

// State returns the state of the record's request. The zero Record is clear.
func (r Record) State() State {
	switch {
	case r.crashesAlone > 0 || r.crashes >= crashesToBlock:
		return Blocked
	case r.crashes > 0:
		return Isolated
	default:
		return Clear
	}
}

// Crashes returns the number of endpoint crashes while the request ran.
func (r Record) Crashes() int { return r.crashes }

// Position returns the position of the store at which the record was written, of revision zero if
// it is not stored.
func (r Record) Position() store.Position { return r.position }

// Covers reports whether the record has all crashes of another one of the same request.
func (r Record) Covers(other Record) bool {
	return r.crashes >= other.crashes && r.crashesAlone >= other.crashesAlone
}

// Merge returns the record with the crashes of another one, each counted once.
func (r Record) Merge(other Record) Record {
	r.crashes, r.crashesAlone = max(r.crashes, other.crashes), max(r.crashesAlone, other.crashesAlone)
	return r
}

// recordJSON is the JSON form of a Record.
type recordJSON struct {
	Crashes int `json:"deaths"`
	Alone   int `json:"alone"`
}

func (r Record) encode() []byte {
	encoded, err := json.Marshal(recordJSON{Crashes: r.crashes, Alone: r.crashesAlone})
	if err != nil {
		panic("crash: a record can't be encoded: " + err.Error())
	}
	return encoded
}

func decode(pair store.Pair, era uint64) (Record, error) {
	var decoded recordJSON
	if err := json.Unmarshal(pair.Value(), &decoded); err != nil {
		return Record{}, eris.Wrapf(err, "can't decode key %s", pair.Key())
	}
	return Record{crashes: decoded.Crashes, crashesAlone: decoded.Alone, position: store.At(era, pair.Revision())}, nil
}

// Records returns the records in a snapshot by fingerprint. It leaves out records that
// can't be decoded.
func Records(snapshot store.Snapshot) map[string]Record {
	records := make(map[string]Record)
	for _, pair := range snapshot.Pairs() {
		fingerprint, ok := strings.CutPrefix(pair.Key(), Prefix)
		if !ok {
			continue
		}
		if record, err := decode(pair, snapshot.Position().Era()); err == nil {
			records[fingerprint] = record
		}
	}
	return records
}

// Store is the part of the key-value service that this package uses.
type Store interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// maxAttempts bounds how often an update is attempted if other entries update the same
// record.
const maxAttempts = 8

// RecordCrash adds an endpoint crash to a request's record and returns the record. The
// parameter alone says that the endpoint ran no other request. RecordCrash returns
// store.ErrConflict if other entries update the record in each of maxAttempts attempts.
func RecordCrash(ctx context.Context, s Store, fingerprint string, alone bool) (Record, error) {
	return update(ctx, s, fingerprint, func(record Record) Record {
		record.crashes++
		if alone {
			record.crashesAlone++
		}
		return record
	})
}

// Restore writes a record again that the service has lost, in addition to what it has, and
// returns the record. It fails like RecordCrash.
func Restore(ctx context.Context, s Store, fingerprint string, lost Record) (Record, error) {
	stored, err := read(ctx, s, Prefix+fingerprint)
	if err != nil || stored.Covers(lost) {
		return stored, err
	}
	return update(ctx, s, fingerprint, func(record Record) Record { return record.Merge(lost) })
}

// update changes the record of a request.
func update(ctx context.Context, s Store, fingerprint string, change func(Record) Record) (Record, error) {
	key := Prefix + fingerprint
	lease, err := s.Grant(ctx, TTL)
	if err != nil {
		return Record{}, err
	}
	for range maxAttempts {
		record, err := read(ctx, s, key)
		if err != nil {
			return Record{}, err
		}
		record = change(record)
		revision, err := s.Put(ctx, key, record.encode(), record.position.Revision(), lease)
		if err == nil {
			record.position = store.At(record.position.Era(), revision)
			return record, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return Record{}, err
		}
	}
	return Record{}, store.ErrConflict
}

// DeleteRecord deletes the record of a request that has completed alone.
func DeleteRecord(ctx context.Context, s Store, fingerprint string) error {
	key := Prefix + fingerprint
	record, err := read(ctx, s, key)
	if err != nil || record.position.Revision() == 0 {
		return err
	}
	return s.Delete(ctx, key, record.position.Revision())
}

// read returns the record at key, or the zero Record if there is none.
func read(ctx context.Context, s Store, key string) (Record, error) {
	snapshot, err := s.Read(ctx, key)
	if err != nil {
		return Record{}, err
	}
	pair, ok := snapshot.Get(key)
	era := snapshot.Position().Era()
	if !ok {
		return Record{position: store.At(era, 0)}, nil
	}
	return decode(pair, era)
}

// Package crash finds requests that kill the endpoints which run them, and whose
// callers send them again and again.
//
// A request is known by its fingerprint. When an endpoint dies, all that ran on
// it are isolated, the innocent ones too: an isolated request runs alone. If the
// endpoint dies again the request is blocked, and if it completes it is clear.
// Records are in the key-value service, so that all entries know them, on leases,
// so that nothing is blocked for ever.
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

// Prefix is the beginning of the keys of all records.
const Prefix = "live/crash/"

// TTL is how long a record lasts after its last death.
const TTL = time.Hour

// deathsInCompany is how many deaths block a request that never ran alone,
// which happens if several entries send it before they know of each other.
const deathsInCompany = 3

// State is whether a request may run.
type State int

// The states of a request.
const (
	// Clear says that nothing is held against the request.
	Clear State = iota
	// Isolated says that the request may run, but alone.
	Isolated
	// Blocked says that the request must not run.
	Blocked
)

// Record is what is held against a request.
type Record struct {
	deaths   int
	alone    int
	revision uint64
}

// State returns what the record says. The zero Record is clear.
func (r Record) State() State {
	switch {
	case r.alone > 0 || r.deaths >= deathsInCompany:
		return Blocked
	case r.deaths > 0:
		return Isolated
	default:
		return Clear
	}
}

// Crashes returns how many endpoints died while they ran the request.
func (r Record) Crashes() int { return r.deaths }

// wireCrash is the JSON shape of a Record.
type wireCrash struct {
	Deaths int `json:"deaths"`
	Alone  int `json:"alone"`
}

func (r Record) encode() []byte {
	encoded, err := json.Marshal(wireCrash{Deaths: r.deaths, Alone: r.alone})
	if err != nil {
		panic("crash: a record can't be encoded: " + err.Error())
	}
	return encoded
}

func decode(pair store.Pair) (Record, error) {
	var wire wireCrash
	if err := json.Unmarshal(pair.Value(), &wire); err != nil {
		return Record{}, eris.Wrapf(err, "the key %s can't be read", pair.Key())
	}
	return Record{deaths: wire.Deaths, alone: wire.Alone, revision: pair.Revision()}, nil
}

// Records returns the records in a snapshot by fingerprint. Keys that can't be
// read are left out.
func Records(snapshot store.Snapshot) map[string]Record {
	records := make(map[string]Record)
	for _, pair := range snapshot.Pairs() {
		fingerprint, ok := strings.CutPrefix(pair.Key(), Prefix)
		if !ok {
			continue
		}
		if record, err := decode(pair); err == nil {
			records[fingerprint] = record
		}
	}
	return records
}

// Store is what records need of the key-value service.
type Store interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// maxTries bounds how often an update is tried against others.
const maxTries = 8

// RecordCrash adds a death to a request's record and returns the record. Alone says
// that the endpoint ran nothing else.
func RecordCrash(ctx context.Context, s Store, fingerprint string, alone bool) (Record, error) {
	key := Prefix + fingerprint
	lease, err := s.Grant(ctx, TTL)
	if err != nil {
		return Record{}, err
	}
	for range maxTries {
		record, err := read(ctx, s, key)
		if err != nil {
			return Record{}, err
		}
		record.deaths++
		if alone {
			record.alone++
		}
		record.revision, err = s.Put(ctx, key, record.encode(), record.revision, lease)
		if err == nil {
			return record, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return Record{}, err
		}
	}
	return Record{}, store.ErrConflict
}

// DeleteRecord removes the record of a request that has completed alone.
func DeleteRecord(ctx context.Context, s Store, fingerprint string) error {
	key := Prefix + fingerprint
	record, err := read(ctx, s, key)
	if err != nil || record.revision == 0 {
		return err
	}
	return s.Delete(ctx, key, record.revision)
}

func read(ctx context.Context, s Store, key string) (Record, error) {
	snapshot, err := s.Read(ctx, key)
	if err != nil {
		return Record{}, err
	}
	pair, ok := snapshot.Get(key)
	if !ok {
		return Record{}, nil
	}
	return decode(pair)
}

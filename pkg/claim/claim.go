// Package claim implements at-most-once execution of requests that must not be
// repeated, across all entries, endpoints and restarts.
//
// Before an entry sends such a request it claims the request's idempotency key in
// the key-value service. The first writer of the key owns the claim; no other entry
// sends the request. When the request has run, its outcome replaces the claim, and
// duplicates are answered with that outcome. If the owner crashes, the claim
// remains: the outcome is unknown, and the request is never run again.
//
// A claim costs one write and its outcome another; a duplicate costs a failed write
// and a read.
//
// A service that recovers from a copy begins a new era and may have lost the latest claims
// and outcomes. Each process writes those again that it remembers, and claims nothing for
// SettleTime, so that the others can. What was claimed by a process that no longer runs is
// lost with the service's copy.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/store"
)

// Errors of Claims.
var (
	// ErrKeyReused is returned if the key was claimed for a different request.
	ErrKeyReused = eris.New("the idempotency key was used with another request")
	// ErrAlreadyClaimed is returned if the key was claimed before. The record that
	// is returned with it describes that claim.
	ErrAlreadyClaimed = eris.New("the idempotency key is claimed")
)

// Parameters of claims.
const (
	// Retention is the minimum time, from the claim on, for which the claim and then
	// its outcome are kept.
	Retention = 24 * time.Hour
	// leaseRenewal is how long a lease is used for new claims.
	leaseRenewal = time.Hour
	// maxOutcomeBytes is the maximum size of a body that is stored with an outcome.
	maxOutcomeBytes = 64 << 10
	// prefix is the key prefix of all claims.
	prefix = "claim/"
)

// Store is the part of the key-value service's client that claims use.
type Store interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
	Watch(ctx context.Context, since store.Position, wait time.Duration, prefixes ...string) (store.Snapshot, error)
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Era returns the newest era that the service has named.
	Era() uint64
}

// Field is a header field of an outcome.
type Field struct {
	name  string
	value string
}

// NewField returns a header field.
func NewField(name, value string) Field { return Field{name: name, value: value} }

// Name returns the field's name.
func (f Field) Name() string { return f.name }

// Value returns the field's value.
func (f Field) Value() string { return f.value }

// Outcome is the response to a request that has run.
type Outcome struct {
	status      int
	fields      []Field
	body        []byte
	bodyOmitted bool
}

// NewOutcome returns the outcome of a request that has run. A body of more than
// 64 KiB is omitted.
func NewOutcome(status int, fields []Field, body []byte) Outcome {
	if len(body) > maxOutcomeBytes {
		return Outcome{status: status, fields: fields, bodyOmitted: true}
	}
	return Outcome{status: status, fields: fields, body: body}
}

// Status returns the HTTP status of the response.
func (o Outcome) Status() int { return o.status }

// Fields returns the header fields of the response.
func (o Outcome) Fields() []Field { return o.fields }

// Body returns the body of the response.
func (o Outcome) Body() []byte { return o.body }

// BodyOmitted reports whether the body was too large to be stored.
func (o Outcome) BodyOmitted() bool { return o.bodyOmitted }

// Record is the stored state of an idempotency key. The token identifies the call of
// Acquire that wrote it.
type Record struct {
	token       string
	owner       string
	fingerprint string
	done        bool
	outcome     Outcome
	// position is that of the stored record.
	position store.Position
}

// Owner returns the name of the process that claimed the key.
func (r Record) Owner() string { return r.owner }

// Done reports whether the request has run and its outcome is known.
func (r Record) Done() bool { return r.done }

// Outcome returns the outcome of a request that has run. It is only valid if Done
// returns true.
func (r Record) Outcome() Outcome { return r.outcome }

// Fingerprint returns the digest of a request. It serves to detect an idempotency
// key that is used for different requests.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + "\x00" + path + "\x00"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// Claims acquires claims for one process. It is safe for concurrent use.
type Claims struct {
	store Store
	owner string
	now   func() time.Time

	mu           sync.Mutex
	lease        uint64
	leaseGranted time.Time
	// era is the one in which the lease was granted. Nothing is claimed before settledAt.
	era       uint64
	settledAt time.Time
	memory    memory
}

// New returns a Claims for the process with the name owner.
func New(store Store, owner string) *Claims {
	return &Claims{store: store, owner: owner, now: time.Now, memory: newMemory()}
}

// Key returns the key in the key-value service for a team's idempotency key. It
// hashes the idempotency key, so any text makes a valid key.
func Key(team, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + idempotencyKey))
	return prefix + hex.EncodeToString(sum[:])
}

// Claim is an idempotency key that this process has claimed.
type Claim struct {
	claims *Claims
	key    string
	record Record
}

// Acquire claims a team's idempotency key for the request with the fingerprint. If
// the key was claimed before, it fails with ErrAlreadyClaimed or ErrKeyReused and
// returns the existing record. After any other error it is uncertain whether the
// key is claimed, and the request must not be sent. The error is store.ErrUnavailable for
// SettleTime from the begin of an era.
func (c *Claims) Acquire(ctx context.Context, team, idempotencyKey, fingerprint string) (*Claim, Record, error) {
	if !c.isSettled() {
		return nil, Record{}, errUnsettled
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return nil, Record{}, err
	}
	record := Record{token: uuid.NewString(), owner: c.owner, fingerprint: fingerprint}
	key := Key(team, idempotencyKey)
	record.position, err = c.create(ctx, key, record, lease)
	if err == nil {
		return c.settle(ctx, &Claim{claims: c, key: key, record: record})
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUncertain) {
		return nil, Record{}, err
	}
	existing, lookupErr := c.lookup(ctx, key)
	if lookupErr != nil {
		return nil, Record{}, errors.Join(err, lookupErr)
	}
	if existing.token == record.token {
		return c.settle(ctx, &Claim{claims: c, key: key, record: existing})
	}
	if existing.fingerprint != fingerprint {
		return nil, existing, ErrKeyReused
	}
	return nil, existing, ErrAlreadyClaimed
}

// create writes a new record. If the response is lost it retries once; if the first
// write took effect, the retry conflicts and the caller recognizes its own record
// by the token.
func (c *Claims) create(ctx context.Context, key string, record Record, lease uint64) (store.Position, error) {
	revision, err := c.store.Put(ctx, key, encodeRecord(record), 0, lease)
	if errors.Is(err, store.ErrUncertain) {
		revision, err = c.store.Put(ctx, key, encodeRecord(record), 0, lease)
	}
	if errors.Is(err, store.ErrLeaseExpired) {
		c.dropLease(lease)
	}
	return store.At(c.store.Era(), revision), err
}

// currentLease returns the lease for new claims and renews it when it is older than
// leaseRenewal. A lease lasts so long that a claim made at the end of that time is
// still kept for Retention.
func (c *Claims) currentLease(ctx context.Context) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginEra()
	if c.lease != 0 && c.now().Sub(c.leaseGranted) < leaseRenewal {
		return c.lease, nil
	}
	granted := c.now()
	lease, err := c.store.Grant(ctx, Retention+leaseRenewal)
	if err != nil {
		return 0, err
	}
	c.lease, c.leaseGranted = lease, granted
	return lease, nil
}

// dropLease makes the next claim use a new lease.
func (c *Claims) dropLease(lease uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = 0
	}
}

// Lookup returns the record of a team's idempotency key. It fails with
// store.ErrNotFound if the key isn't claimed, and with store.ErrUnavailable if that can't be
// said yet in a new era.
func (c *Claims) Lookup(ctx context.Context, team, idempotencyKey string) (Record, error) {
	record, err := c.lookup(ctx, Key(team, idempotencyKey))
	if errors.Is(err, store.ErrNotFound) && !c.isSettled() {
		return Record{}, errUnsettled
	}
	return record, err
}

func (c *Claims) lookup(ctx context.Context, key string) (Record, error) {
	snapshot, err := c.store.Read(ctx, key)
	if err != nil {
		return Record{}, err
	}
	return recordIn(snapshot, key)
}

// recordIn decodes the record of a key in a snapshot.
func recordIn(snapshot store.Snapshot, key string) (Record, error) {
	pair, ok := snapshot.Get(key)
	if !ok {
		return Record{}, store.ErrNotFound
	}
	return decodeRecord(pair, snapshot.Position().Era())
}

// Await waits until the request of a claimed key has run, for at most wait. It
// returns the current record. It fails with store.ErrNotFound if the claim was released; that
// a recovered service doesn't have it doesn't show that.
func (c *Claims) Await(ctx context.Context, team, idempotencyKey string, record Record, wait time.Duration) (Record, error) {
	if record.done {
		return record, nil
	}
	key := Key(team, idempotencyKey)
	snapshot, err := c.store.Watch(ctx, record.position, wait, key)
	if err != nil {
		return record, err
	}
	if snapshot.IsUnchanged() {
		return record, nil
	}
	current, err := recordIn(snapshot, key)
	if errors.Is(err, store.ErrNotFound) && snapshot.Position().Era() != record.position.Era() {
		return record, nil
	}
	return current, err
}

// Complete replaces the claim by the outcome. If the service has lost the claim, it writes
// the outcome anew.
func (c *Claim) Complete(ctx context.Context, outcome Outcome) error {
	done := c.record
	done.done = true
	done.outcome = outcome
	c.claims.remember(c.key, done, false)
	position, err := c.claims.replace(ctx, c.key, done)
	if err == nil {
		c.record = done
		c.record.position = position
	}
	return err
}

// replace writes a record in place of the one of the same claim. After an error it reads the
// record: only the claim's owner writes the key, so a record with the claim's token and an
// outcome shows that the write took effect although its response was lost.
func (c *Claims) replace(ctx context.Context, key string, record Record) (store.Position, error) {
	const maxTries = 3
	expected := record.position.Revision()
	if record.position.Era() != c.store.Era() {
		// The revision may be that of another claim by now.
		expected = 0
	}
	var err error
	for range maxTries {
		var lease, revision uint64
		if lease, err = c.currentLease(ctx); err != nil {
			return store.Position{}, err
		}
		era := c.store.Era()
		revision, err = c.store.Put(ctx, key, encodeRecord(record), expected, lease)
		switch {
		case err == nil && c.store.Era() == era:
			return store.At(era, revision), nil
		case err == nil:
			// The lease may be another client's.
			expected, err = revision, errUnsettled
			continue
		}
		if errors.Is(err, store.ErrLeaseExpired) {
			c.dropLease(lease)
			continue
		}
		existing, readErr := c.lookup(ctx, key)
		switch {
		case errors.Is(readErr, store.ErrNotFound):
			expected = 0
		case readErr != nil:
			return store.Position{}, err
		case existing.token != record.token:
			return store.Position{}, errClaimedAgain
		case existing.done == record.done:
			return existing.position, nil
		case existing.done:
			return store.Position{}, err
		default:
			expected = existing.position.Revision()
		}
	}
	return store.Position{}, err
}

// Release deletes the claim of a request that has provably not run, so the key can
// be used again.
func (c *Claim) Release(ctx context.Context) error {
	c.claims.remember(c.key, c.record, true)
	return c.claims.release(ctx, c.key, c.record)
}

func (c *Claims) release(ctx context.Context, key string, record Record) error {
	err := errUnsettled
	if record.position.Era() == c.store.Era() {
		err = c.store.Delete(ctx, key, record.position.Revision())
	}
	if err == nil {
		return nil
	}
	existing, readErr := c.lookup(ctx, key)
	switch {
	case errors.Is(readErr, store.ErrNotFound) || (readErr == nil && existing.token != record.token):
		return nil
	case readErr == nil && existing.position != record.position:
		// A recovered service has the claim at another revision.
		return c.store.Delete(ctx, key, existing.position.Revision())
	}
	return err
}

// recordJSON is the JSON encoding of a Record.
type recordJSON struct {
	Token       string      `json:"token"`
	Owner       string      `json:"owner"`
	Fingerprint string      `json:"fingerprint"`
	Done        bool        `json:"done,omitempty"`
	Status      int         `json:"status,omitempty"`
	Fields      []fieldJSON `json:"fields,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	Cut         bool        `json:"cut,omitempty"`
}

// fieldJSON is the JSON encoding of a Field.
type fieldJSON struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func encodeRecord(record Record) []byte {
	encoding := recordJSON{
		Token:       record.token,
		Owner:       record.owner,
		Fingerprint: record.fingerprint,
		Done:        record.done,
		Status:      record.outcome.status,
		Body:        record.outcome.body,
		Cut:         record.outcome.bodyOmitted,
	}
	for _, field := range record.outcome.fields {
		encoding.Fields = append(encoding.Fields, fieldJSON{Name: field.name, Value: field.value})
	}
	encoded, err := json.Marshal(encoding)
	if err != nil {
		panic("claim: failed to encode a record: " + err.Error())
	}
	return encoded
}

func decodeRecord(pair store.Pair, era uint64) (Record, error) {
	var encoding recordJSON
	if err := json.Unmarshal(pair.Value(), &encoding); err != nil {
		return Record{}, eris.Wrapf(err, "failed to decode the claim %s", pair.Key())
	}
	record := Record{
		token:       encoding.Token,
		owner:       encoding.Owner,
		fingerprint: encoding.Fingerprint,
		done:        encoding.Done,
		outcome:     Outcome{status: encoding.Status, body: encoding.Body, bodyOmitted: encoding.Cut},
		position:    store.At(era, pair.Revision()),
	}
	for _, field := range encoding.Fields {
		record.outcome.fields = append(record.outcome.fields, NewField(field.Name, field.Value))
	}
	return record, nil
}

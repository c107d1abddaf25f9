// Package claim makes requests that must not be repeated run at most once, over
// all entries, endpoints and restarts.
//
// Before such a request is sent its idempotency key is claimed in the key-value
// service: the first writer of the key owns it, and nobody else sends. When the
// request has run its outcome takes the claim's place, and duplicates get that
// outcome. A claim whose owner died stays: its outcome is unknown, and nobody
// runs the request again.
//
// A claim costs one write, and its outcome one more; a duplicate costs one write
// that fails and one read.
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
	// ErrKeyReused says that the key stands for a different request.
	ErrKeyReused = eris.New("the idempotency key was used with another request")
	// ErrAlreadyClaimed says that the key is claimed already; the record tells by what.
	ErrAlreadyClaimed = eris.New("the idempotency key is claimed")
)

// Lifetimes of claims.
const (
	// Retention is how long a claim and its outcome last at least.
	Retention = 24 * time.Hour
	// leaseRenewal is how long one lease takes up new claims.
	leaseRenewal = time.Hour
	// maxOutcomeBytes bounds the body that is kept with an outcome.
	maxOutcomeBytes = 64 << 10
	// prefix is the beginning of the keys of all claims.
	prefix = "claim/"
)

// Store is what claims need of the key-value service.
type Store interface {
	Read(ctx context.Context, prefixes ...string) (store.Snapshot, error)
	Watch(ctx context.Context, since uint64, wait time.Duration, prefixes ...string) (store.Snapshot, error)
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// Field is one header field of an outcome.
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

// Outcome is the answer of a request that has run.
type Outcome struct {
	status int
	fields []Field
	body   []byte
	cut    bool
}

// NewOutcome returns the outcome of a request that has run. A body above 64 KiB
// isn't kept.
func NewOutcome(status int, fields []Field, body []byte) Outcome {
	if len(body) > maxOutcomeBytes {
		return Outcome{status: status, fields: fields, cut: true}
	}
	return Outcome{status: status, fields: fields, body: body}
}

// Status returns the HTTP status of the answer.
func (o Outcome) Status() int { return o.status }

// Fields returns the header fields of the answer.
func (o Outcome) Fields() []Field { return o.fields }

// Body returns the body of the answer.
func (o Outcome) Body() []byte { return o.body }

// BodyOmitted reports whether the body was too large to be kept.
func (o Outcome) BodyOmitted() bool { return o.cut }

// Record is what the key-value service holds of a key.
type Record struct {
	token       string
	owner       string
	fingerprint string
	done        bool
	outcome     Outcome
	revision    uint64
}

// Owner returns the process that claimed the key.
func (r Record) Owner() string { return r.owner }

// Done reports whether the request has run and its outcome is known.
func (r Record) Done() bool { return r.done }

// Outcome returns the outcome of a request that is Done.
func (r Record) Outcome() Outcome { return r.outcome }

// Fingerprint returns the digest of a request, by which a key that is used for
// two different requests is found.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + "\x00" + path + "\x00"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// Claims takes and settles claims for one process. It is safe for concurrent
// use.
type Claims struct {
	store Store
	owner string
	now   func() time.Time

	mu        sync.Mutex
	lease     uint64
	leaseMade time.Time
}

// New returns the claims of the process that calls itself owner.
func New(store Store, owner string) *Claims {
	return &Claims{store: store, owner: owner, now: time.Now}
}

// Key returns the key in the key-value service of a team's idempotency key. It
// is hashed, so that callers' keys of any form make a valid key.
func Key(team, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + idempotencyKey))
	return prefix + hex.EncodeToString(sum[:])
}

// Claim is a key that this process owns.
type Claim struct {
	claims *Claims
	key    string
	record Record
	lease  uint64
}

// Acquire claims a team's idempotency key for the request with the fingerprint. If
// somebody has claimed it before, the error is ErrTaken or ErrOtherRequest and
// the record tells what is known. Any other error means that nothing is claimed
// for sure and the request must not be sent.
func (c *Claims) Acquire(ctx context.Context, team, idempotencyKey, fingerprint string) (*Claim, Record, error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return nil, Record{}, err
	}
	record := Record{token: uuid.NewString(), owner: c.owner, fingerprint: fingerprint}
	key := Key(team, idempotencyKey)
	record.revision, err = c.create(ctx, key, record, lease)
	if err == nil {
		return &Claim{claims: c, key: key, record: record, lease: lease}, record, nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUncertain) {
		return nil, Record{}, err
	}
	held, lookupErr := c.lookup(ctx, key)
	if lookupErr != nil {
		return nil, Record{}, errors.Join(err, lookupErr)
	}
	if held.token == record.token {
		return &Claim{claims: c, key: key, record: held, lease: lease}, held, nil
	}
	if held.fingerprint != fingerprint {
		return nil, held, ErrKeyReused
	}
	return nil, held, ErrAlreadyClaimed
}

// create writes a new record. Where the answer is lost it writes once more: the
// token in the record tells whether an earlier write took effect.
func (c *Claims) create(ctx context.Context, key string, record Record, lease uint64) (uint64, error) {
	revision, err := c.store.Put(ctx, key, encodeRecord(record), 0, lease)
	if errors.Is(err, store.ErrUncertain) {
		return c.store.Put(ctx, key, encodeRecord(record), 0, lease)
	}
	if errors.Is(err, store.ErrLeaseExpired) {
		c.dropLease(lease)
	}
	return revision, err
}

func (c *Claims) currentLease(ctx context.Context) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease != 0 && c.now().Sub(c.leaseMade) < leaseRenewal {
		return c.lease, nil
	}
	made := c.now()
	lease, err := c.store.Grant(ctx, Retention+leaseRenewal)
	if err != nil {
		return 0, err
	}
	c.lease, c.leaseMade = lease, made
	return lease, nil
}

func (c *Claims) dropLease(lease uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = 0
	}
}

// Lookup returns what is known of a team's idempotency key. It fails with
// store.ErrNotFound if the key is not claimed.
func (c *Claims) Lookup(ctx context.Context, team, idempotencyKey string) (Record, error) {
	return c.lookup(ctx, Key(team, idempotencyKey))
}

func (c *Claims) lookup(ctx context.Context, key string) (Record, error) {
	snapshot, err := c.store.Read(ctx, key)
	if err != nil {
		return Record{}, err
	}
	return recordIn(snapshot, key)
}

func recordIn(snapshot store.Snapshot, key string) (Record, error) {
	pair, ok := snapshot.Get(key)
	if !ok {
		return Record{}, store.ErrNotFound
	}
	return decodeRecord(pair)
}

// Await waits until the request of a claimed key is done, and at the latest for
// wait. It returns what is known then.
func (c *Claims) Await(ctx context.Context, team, idempotencyKey string, record Record, wait time.Duration) (Record, error) {
	if record.done {
		return record, nil
	}
	key := Key(team, idempotencyKey)
	snapshot, err := c.store.Watch(ctx, record.revision, wait, key)
	if err != nil {
		return record, err
	}
	if snapshot.IsUnchanged() {
		return record, nil
	}
	return recordIn(snapshot, key)
}

// Complete puts the outcome in the claim's place. It tries again where an answer
// is lost, since only the claim's owner writes its key.
func (c *Claim) Complete(ctx context.Context, outcome Outcome) error {
	done := c.record
	done.done = true
	done.outcome = outcome
	revision, err := c.claims.store.Put(ctx, c.key, encodeRecord(done), c.record.revision, c.lease)
	if err == nil {
		c.record = done
		c.record.revision = revision
		return nil
	}
	held, readErr := c.claims.lookup(ctx, c.key)
	if readErr == nil && held.token == c.record.token && held.done {
		c.record = held
		return nil
	}
	return err
}

// Release gives up the claim of a request that has provably not run, so that
// the key can be used again.
func (c *Claim) Release(ctx context.Context) error {
	err := c.claims.store.Delete(ctx, c.key, c.record.revision)
	if err == nil {
		return nil
	}
	held, readErr := c.claims.lookup(ctx, c.key)
	if errors.Is(readErr, store.ErrNotFound) || (readErr == nil && held.token != c.record.token) {
		return nil
	}
	return err
}

// wireClaim is the JSON shape of a Record.
type wireClaim struct {
	Token       string      `json:"token"`
	Owner       string      `json:"owner"`
	Fingerprint string      `json:"fingerprint"`
	Done        bool        `json:"done,omitempty"`
	Status      int         `json:"status,omitempty"`
	Fields      []wireField `json:"fields,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	Cut         bool        `json:"cut,omitempty"`
}

type wireField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func encodeRecord(record Record) []byte {
	wire := wireClaim{
		Token:       record.token,
		Owner:       record.owner,
		Fingerprint: record.fingerprint,
		Done:        record.done,
		Status:      record.outcome.status,
		Body:        record.outcome.body,
		Cut:         record.outcome.cut,
	}
	for _, field := range record.outcome.fields {
		wire.Fields = append(wire.Fields, wireField{Name: field.name, Value: field.value})
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		panic("claim: a record can't be encoded: " + err.Error())
	}
	return encoded
}

func decodeRecord(pair store.Pair) (Record, error) {
	var wire wireClaim
	if err := json.Unmarshal(pair.Value(), &wire); err != nil {
		return Record{}, eris.Wrapf(err, "the claim %s can't be read", pair.Key())
	}
	record := Record{
		token:       wire.Token,
		owner:       wire.Owner,
		fingerprint: wire.Fingerprint,
		done:        wire.Done,
		outcome:     Outcome{status: wire.Status, body: wire.Body, cut: wire.Cut},
		revision:    pair.Revision(),
	}
	for _, field := range wire.Fields {
		record.outcome.fields = append(record.outcome.fields, NewField(field.Name, field.Value))
	}
	return record, nil
}

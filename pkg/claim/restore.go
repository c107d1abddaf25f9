package claim

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/store"
)

// SettleTime is how long after the begin of an era nothing is claimed. Processes learn of an
// era, and write their claims again, within about a second of the service's return.
const SettleTime = 2 * time.Second

// Limits of what a process remembers of its claims.
const (
	// memorySpan is how long a claim is remembered after its last write. The copies from which
	// the service recovers are some seconds old.
	memorySpan = time.Minute
	// maxRemembered limits the claims. The oldest go first.
	maxRemembered = 1 << 14
	// maxRememberedBytes limits the bodies of outcomes. Those beyond it are omitted.
	maxRememberedBytes = 4 << 20
)

var (
	errUnsettled = eris.Wrap(store.ErrUnavailable, "the service has recovered from a copy, and claims are being written again")
	// errClaimedAgain is returned if the service lost a claim and another process made it again.
	errClaimedAgain = eris.New("the service has lost the claim, and the key was claimed again")
)

// isSettled reports whether keys may be claimed in the service's era. It discards the lease of
// an earlier era, whose number may be another client's by now.
func (c *Claims) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginEra()
	return !c.now().Before(c.settledAt)
}

// beginEra notices a new era. The caller holds the lock.
func (c *Claims) beginEra() {
	era := c.store.Era()
	if era == c.era {
		return
	}
	if c.era != 0 {
		c.lease = 0
		c.settledAt = c.now().Add(SettleTime)
	}
	c.era = era
}

// settle returns a claim that was just made, unless the call has shown a new era. The service
// may then have lost an earlier claim of the key.
func (c *Claims) settle(ctx context.Context, made *Claim) (*Claim, Record, error) {
	if !c.isSettled() {
		return nil, Record{}, errors.Join(errUnsettled, made.Release(ctx))
	}
	c.remember(made.key, made.record, false)
	return made, made.record, nil
}

// Restore writes the claims and outcomes again that the process remembers, and releases those
// that it has released, if the service has begun a new era since the last call that succeeded.
// It may be retried after an error.
func (c *Claims) Restore(ctx context.Context) error {
	c.mu.Lock()
	c.beginEra()
	era := c.era
	pending := c.memory.before(era, c.now())
	c.mu.Unlock()
	var lost error
	for _, key := range pending {
		switch err := c.restore(ctx, key, era); {
		case errors.Is(err, errClaimedAgain):
			lost = err
		case err != nil:
			return err
		}
	}
	return lost
}

// restore writes or releases one claim again.
func (c *Claims) restore(ctx context.Context, key string, era uint64) error {
	c.mu.Lock()
	known, ok := c.memory.claims[key]
	c.mu.Unlock()
	if !ok {
		return nil
	}
	var err error
	if known.released {
		err = c.release(ctx, key, known.record)
	} else {
		_, err = c.replace(ctx, key, known.record)
	}
	if err != nil && !errors.Is(err, errClaimedAgain) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.memory.claims[key]; current != nil {
		current.era = max(current.era, era)
	}
	return err
}

// remember keeps a record that is about to be written, or released.
func (c *Claims) remember(key string, record Record, released bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.add(key, remembered{record: record, released: released, era: record.position.Era(), at: c.now()})
}

// remembered is a claim as its owner knows it.
type remembered struct {
	record   Record
	released bool
	// era is the latest one in which the service had it.
	era uint64
	at  time.Time
}

// memory holds the claims of the last memorySpan.
type memory struct {
	claims map[string]*remembered
	// order has the keys by the time of their last write.
	order []written
	bytes int
}

type written struct {
	key string
	at  time.Time
}

func newMemory() memory { return memory{claims: make(map[string]*remembered)} }

// add adds a claim in place of what is known of its key.
func (m *memory) add(key string, claim remembered) {
	m.remove(key)
	m.expire(claim.at)
	for len(m.claims) >= maxRemembered {
		m.removeOldest()
	}
	if size := len(claim.record.outcome.body); m.bytes+size > maxRememberedBytes {
		claim.record.outcome.body, claim.record.outcome.bodyOmitted = nil, true
	}
	m.bytes += len(claim.record.outcome.body)
	m.claims[key] = &claim
	m.order = append(m.order, written{key: key, at: claim.at})
}

func (m *memory) remove(key string) {
	if known := m.claims[key]; known != nil {
		m.bytes -= len(known.record.outcome.body)
		delete(m.claims, key)
	}
}

// removeOldest removes the first of order, unless its key has been written since.
func (m *memory) removeOldest() {
	first := m.order[0]
	m.order = m.order[1:]
	if known := m.claims[first.key]; known != nil && known.at.Equal(first.at) {
		m.remove(first.key)
	}
}

func (m *memory) expire(now time.Time) {
	for len(m.order) > 0 && now.Sub(m.order[0].at) > memorySpan {
		m.removeOldest()
	}
}

// before returns the keys of the claims that the service last had before an era.
func (m *memory) before(era uint64, now time.Time) []string {
	m.expire(now)
	var keys []string
	for _, first := range m.order {
		if known := m.claims[first.key]; known != nil && known.at.Equal(first.at) && known.era < era {
			keys = append(keys, first.key)
		}
	}
	return keys
}

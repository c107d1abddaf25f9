package edge

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// Timing of the registration.
const (
	// memberTTL is the lease of an entry's registration, renewed every memberRenewal.
	memberTTL     = 3 * time.Second
	memberRenewal = time.Second
	// readyPollPeriod is how often an entry that doesn't accept requests yet checks whether
	// it has to register.
	readyPollPeriod = 20 * time.Millisecond
	// endTimeout limits how long the end of the registration may take. A call that isn't
	// answered within revokeTimeout is repeated.
	endTimeout    = time.Second
	revokeTimeout = 400 * time.Millisecond
)

// registration is the key by which an entry is a member, attached to a lease.
//
// A call that gets no answer may be carried out seconds later. The key is therefore written
// only on condition of its last revision, and always with the lease that the entry renews: a
// late write either finds the key as it should be, or its lease has ended. That a lease is
// renewed doesn't show that the key is there: the entry looks for it in its view.
//
// A store that recovers from a copy gives out leases and revisions again. The entry therefore begins
// anew in each era, with a lease and a value of that era, and without a revision of another one.
type registration struct {
	entry *Entry
	// writes counts the writes of the key by result.
	writes meter.Counter

	mu sync.Mutex
	// lease is zero if the entry has none. Each lease has a value of its own, by which its
	// key is told from those of earlier leases and processes.
	lease uint64
	value []byte
	// written is the revision at which the store had the value, zero if that isn't known.
	written uint64
	// era is that of the lease and of written.
	era   uint64
	ended bool
}

func newRegistration(e *Entry, metrics *meter.Meter) *registration {
	return &registration{
		entry: e, writes: metrics.Counter("lentilstand_registrations", "Writes of the key by which the entry is a member, by result.", "result"),
	}
}

// run keeps the entry registered while it is ready, until ctx ends.
func (r *registration) run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.entry.NotReadyReason() != "" {
			sleep(ctx, readyPollPeriod)
			continue
		}
		r.mu.Lock()
		err := r.renew(ctx)
		r.mu.Unlock()
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		sleep(ctx, memberRenewal)
	}
}

// renew renews the lease, or gets one if there is none, and writes the key unless it is there.
// The caller holds the lock.
func (r *registration) renew(ctx context.Context) error {
	if r.ended {
		return nil
	}
	e := r.entry
	if era := e.store.Era(); era != r.era {
		if r.lease != 0 {
			event.MemberLost.Log(e.logger, zap.Uint64("lease", r.lease), zap.String("reason", "the store has begun a new era"), zap.Uint64("era", era))
		}
		r.lease, r.written, r.era = 0, 0, era
	}
	if r.lease != 0 {
		err := e.store.KeepAlive(ctx, r.lease)
		if err != nil && !eris.Is(err, store.ErrLeaseExpired) {
			return err
		}
		if err != nil {
			event.MemberLost.Log(e.logger, zap.Uint64("lease", r.lease), zap.String("reason", "the lease has expired"))
			r.lease = 0
		}
	}
	if r.lease == 0 {
		lease, err := e.store.Grant(ctx, memberTTL)
		if err != nil {
			return err
		}
		settings := e.settings.Load()
		member := table.NewMember(settings.Name(), settings.DataCentre(), settings.ListenAddress(), settings.PeerAddress())
		_, r.value = platform.MemberPair(member, strconv.FormatUint(rand.Uint64(), 36))
		r.lease, r.written = lease, 0
	}
	if e.store.Era() != r.era {
		// A call of above has shown a new era.
		return errNewEra
	}
	return r.write(ctx)
}

// errNewEra is returned if the store has begun a new era since the last renewal.
var errNewEra = eris.New("the store has begun a new era")

// key returns the entry's key.
func (r *registration) key() string {
	key, _ := platform.MemberPair(table.NewMember(r.entry.settings.Load().Name(), "", "", ""), "")
	return key
}

// write writes the key unless the view has it or doesn't reach as far as the last write. The
// caller holds the lock.
func (r *registration) write(ctx context.Context) error {
	key := r.key()
	pair, found, position := r.entry.storeSyncer.lookup(key)
	if position.Era() != r.era {
		if r.written != 0 {
			return nil
		}
		return r.writeAfterRead(ctx, key)
	}
	revision := position.Revision()
	if found && bytes.Equal(pair.Value(), r.value) {
		r.confirm(pair.Revision(), "seen")
		return nil
	}
	if r.written > revision {
		return nil
	}
	if r.written != 0 {
		event.MemberLost.Log(r.entry.logger, zap.Uint64("lease", r.lease), zap.String("reason", "the store doesn't have the registration any more"),
			zap.Uint64("revision", revision))
		r.written = 0
	}
	expected := uint64(0)
	if found {
		expected = pair.Revision()
	}
	written, err := r.entry.store.Put(ctx, key, r.value, expected, r.lease)
	if eris.Is(err, store.ErrConflict) {
		// The view is behind, or a write that got no answer has been carried out.
		return r.writeAfterRead(ctx, key)
	}
	return r.handleResult(written, err)
}

// writeAfterRead reads the key, and writes it unless the store has the value. The caller
// holds the lock.
func (r *registration) writeAfterRead(ctx context.Context, key string) error {
	snapshot, err := r.entry.store.Read(ctx, key)
	switch {
	case err != nil:
		return err
	case snapshot.Position().Era() != r.era:
		return errNewEra
	}
	pair, found := snapshot.Get(key)
	if found && bytes.Equal(pair.Value(), r.value) {
		r.confirm(pair.Revision(), "found")
		return nil
	}
	expected := uint64(0)
	if found {
		expected = pair.Revision()
	}
	return r.handleResult(r.entry.store.Put(ctx, key, r.value, expected, r.lease))
}

// handleResult handles the result of a write. The caller holds the lock.
func (r *registration) handleResult(written uint64, err error) error {
	switch {
	case err == nil && r.entry.store.Era() != r.era:
		return errNewEra
	case err == nil:
		r.confirm(written, "written")
	case eris.Is(err, store.ErrLeaseExpired):
		r.lease = 0
		r.writes.Add(1, "lease_expired")
	default:
		r.writes.Add(1, "unknown")
	}
	return err
}

// confirm records that the store had the value at a revision. The caller holds the lock.
func (r *registration) confirm(revision uint64, source string) {
	if r.written == 0 {
		r.writes.Add(1, source)
		event.MemberJoined.Log(r.entry.logger, zap.Uint64("lease", r.lease), zap.Uint64("revision", revision), zap.String("source", source))
	}
	r.written = revision
}

// end ends the lease, so that directories stop listing the entry. A write of the key that is
// carried out later finds no lease.
func (r *registration) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if r.lease == 0 || r.era != r.entry.store.Era() {
		// A lease of an earlier era may be another client's by now.
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	for {
		err := r.revoke(ctx)
		if err == nil || eris.Is(err, store.ErrLeaseExpired) {
			return
		}
		if ctx.Err() != nil {
			event.StoreUnreachable.Log(r.entry.logger, zap.String("reason", "the registration's lease could not be revoked; it will expire"), event.Error(err))
			return
		}
		sleep(ctx, retryDelay)
	}
}

// revoke ends the lease by one call.
func (r *registration) revoke(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	return r.entry.store.Revoke(ctx, r.lease)
}

package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/claim"
	"github.com/lentilstand/lentilstand/pkg/crash"
	"github.com/lentilstand/lentilstand/pkg/store"
)

const (
	// crashWriteTimeout bounds writing or deleting a crash record.
	crashWriteTimeout = 2 * time.Second
	// maxLocalCrashes limits the crashes that wait to be written to the store. One crash
	// makes all requests of an endpoint suspect.
	maxLocalCrashes = 1024
)

// crashTracker tracks the requests that crashed endpoints. Shared holds the records
// from the key-value store. Local holds the crashes that this entry observed and
// has not written to the store, for example because it is unreachable. Lost holds the
// records that the store had, and lacks since it has recovered from a copy.
type crashTracker struct {
	store  crash.Store
	logger *zap.Logger

	mu     sync.RWMutex
	shared map[string]crash.Record
	local  map[string]localCrash
	lost   map[string]lostCrash
}

// lostCrash is a record that the store has lost.
type lostCrash struct {
	record crash.Record
	// writing is set while the record is being written again.
	writing bool
}

// localCrash is a crash that isn't in the store.
type localCrash struct {
	// alone is set if the request was the only one on the endpoint.
	alone bool
	at    time.Time
	// writing is set while the crash is being written.
	writing bool
}

func newCrashTracker(s crash.Store, logger *zap.Logger) *crashTracker {
	return &crashTracker{store: s, logger: logger, local: make(map[string]localCrash), lost: make(map[string]lostCrash)}
}

// addLocal adds a crash that is about to be written. If there are maxLocalCrashes, the
// oldest one is evicted, preferably one that other requests may have caused.
func (c *crashTracker) addLocal(fingerprint string, alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, isKnown := c.local[fingerprint]
	if !isKnown && len(c.local) >= maxLocalCrashes {
		victim := ""
		for other, l := range c.local {
			if v, found := c.local[victim]; !found || v.alone && !l.alone || v.alone == l.alone && l.at.Before(v.at) {
				victim = other
			}
		}
		delete(c.local, victim)
	}
	c.local[fingerprint] = localCrash{alone: known.alone || alone, at: time.Now(), writing: true}
}

// retryWrites writes the crashes that couldn't be written before, and drops those that are
// as old as the store keeps them. It is called when the store has responded.
func (c *crashTracker) retryWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for fingerprint, l := range c.local {
		switch state := c.shared[fingerprint].State(); {
		case l.writing:
		case time.Since(l.at) >= crash.TTL, state == crash.Blocked, state == crash.Isolated && !l.alone:
			// If the answer to the write was lost, the store shows that it succeeded.
			delete(c.local, fingerprint)
		default:
			l.writing = true
			c.local[fingerprint] = l
			go c.write(fingerprint, l.alone)
		}
	}
	for fingerprint, l := range c.lost {
		if !l.writing {
			l.writing = true
			c.lost[fingerprint] = l
			go c.restore(fingerprint, l.record)
		}
	}
}

// restore writes a lost record again, and keeps it for retryWrites if that fails.
func (c *crashTracker) restore(fingerprint string, lost crash.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	record, err := crash.Restore(ctx, c.store, fingerprint, lost)
	c.mu.Lock()
	defer c.mu.Unlock()
	l, isLost := c.lost[fingerprint]
	switch {
	case !isLost:
	case err != nil || !record.Covers(l.record):
		l.writing = false
		c.lost[fingerprint] = l
	default:
		delete(c.lost, fingerprint)
		c.share(fingerprint, record)
	}
}

// share adds a record that was written. The caller must hold c.mu.
func (c *crashTracker) share(fingerprint string, record crash.Record) {
	if c.shared == nil {
		c.shared = make(map[string]crash.Record)
	}
	c.shared[fingerprint] = record
}

// update replaces the shared records with those in the snapshot, except those that this entry
// has written since. Records of an earlier era that the snapshot lacks are lost.
func (c *crashTracker) update(snapshot store.Snapshot) {
	records := crash.Records(snapshot)
	c.mu.Lock()
	defer c.mu.Unlock()
	for fingerprint, record := range c.shared {
		switch {
		case record.Position().After(snapshot.Position()):
			records[fingerprint] = record
		case record.Position().Era() < snapshot.Position().Era() && !records[fingerprint].Covers(record):
			l := c.lost[fingerprint]
			l.record = l.record.Merge(record)
			c.lost[fingerprint] = l
		}
	}
	c.shared = records
}

// isEmpty reports whether there are no crash records.
func (c *crashTracker) isEmpty() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.shared) == 0 && len(c.local) == 0 && len(c.lost) == 0
}

// state returns whether the request with the fingerprint may run, must run alone
// or is blocked.
func (c *crashTracker) state(fingerprint string) crash.State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	state := max(c.shared[fingerprint].State(), c.lost[fingerprint].record.State())
	if l, ok := c.local[fingerprint]; ok && time.Since(l.at) < crash.TTL {
		state = max(state, crash.Isolated)
		if l.alone {
			state = crash.Blocked
		}
	}
	return state
}

// reportCrash records that an endpoint crashed while it ran the request. Alone
// reports that it ran no other request, so that this one caused the crash.
func (c *crashTracker) reportCrash(fingerprint string, alone bool) {
	c.addLocal(fingerprint, alone)
	c.write(fingerprint, alone)
}

// write writes a local crash to the store, and keeps it for retryWrites if that fails.
func (c *crashTracker) write(fingerprint string, alone bool) {
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	record, err := crash.RecordCrash(ctx, c.store, fingerprint, alone)
	event.RequestIsolated.Log(c.logger,
		zap.String("fingerprint", fingerprint),
		zap.Bool("alone", alone),
		zap.Int("deaths", record.Crashes()),
		event.Error(err))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if l, ok := c.local[fingerprint]; ok {
			l.writing = false
			c.local[fingerprint] = l
		}
		return
	}
	delete(c.local, fingerprint)
	c.share(fingerprint, record)
}

// clear deletes the record of a request that completed while it ran alone.
func (c *crashTracker) clear(fingerprint string) {
	c.mu.Lock()
	delete(c.local, fingerprint)
	delete(c.shared, fingerprint)
	delete(c.lost, fingerprint)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	// A record that can't be deleted expires with its lease.
	_ = crash.DeleteRecord(ctx, c.store, fingerprint)
}

// fingerprint returns the digest that identifies the request in crash records.
func (r *inflightRequest) fingerprint() string {
	request := r.exchange.Request()
	return claim.Fingerprint(request.Method, r.service.Name()+request.URL.RequestURI(), r.body)
}

// crashState returns whether the request may run. It avoids computing the
// fingerprint while there are no crash records.
func (r *inflightRequest) crashState() crash.State {
	if r.entry.crashes.isEmpty() {
		return crash.Clear
	}
	return r.entry.crashes.state(r.fingerprint())
}

// blockedError returns the error for a request that crashed endpoints.
func (r *inflightRequest) blockedError() *apierr.Error {
	return apierr.New(http.StatusUnprocessableEntity, "request_crashes_endpoints",
		"this request crashed endpoints and is rejected for an hour", apierr.WithOutcome(r.log.Outcome()))
}

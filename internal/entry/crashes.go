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

// crashWriteTimeout bounds writing or deleting a crash record.
const crashWriteTimeout = 2 * time.Second

// crashTracker tracks the requests that crashed endpoints. Shared holds the records
// from the key-value store. Local holds the crashes that this entry observed and
// has not written to the store, for example because it is unreachable; the value
// is true if the request was the only one on the endpoint.
type crashTracker struct {
	store  crash.Store
	logger *zap.Logger

	mu     sync.RWMutex
	shared map[string]crash.Record
	local  map[string]bool
}

func newCrashTracker(s crash.Store, logger *zap.Logger) *crashTracker {
	return &crashTracker{store: s, logger: logger, local: make(map[string]bool)}
}

// update replaces the shared records with those in the snapshot.
func (c *crashTracker) update(snapshot store.Snapshot) {
	records := crash.Records(snapshot)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared = records
}

// isEmpty reports whether there are no crash records.
func (c *crashTracker) isEmpty() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.shared) == 0 && len(c.local) == 0
}

// state returns whether the request with the fingerprint may run, must run alone
// or is blocked.
func (c *crashTracker) state(fingerprint string) crash.State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	state := c.shared[fingerprint].State()
	if blocked, ok := c.local[fingerprint]; ok {
		state = max(state, crash.Isolated)
		if blocked {
			state = crash.Blocked
		}
	}
	return state
}

// reportCrash records that an endpoint crashed while it ran the request. Alone
// reports that it ran no other request, so that this one caused the crash.
func (c *crashTracker) reportCrash(fingerprint string, alone bool) {
	c.mu.Lock()
	c.local[fingerprint] = c.local[fingerprint] || alone
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	record, err := crash.RecordCrash(ctx, c.store, fingerprint, alone)
	event.RequestIsolated.Log(c.logger,
		zap.String("fingerprint", fingerprint),
		zap.Bool("alone", alone),
		zap.Int("deaths", record.Crashes()),
		event.Error(err))
	if err == nil {
		c.mu.Lock()
		delete(c.local, fingerprint)
		if c.shared == nil {
			c.shared = make(map[string]crash.Record)
		}
		c.shared[fingerprint] = record
		c.mu.Unlock()
	}
}

// clear deletes the record of a request that completed while it ran alone.
func (c *crashTracker) clear(fingerprint string) {
	c.mu.Lock()
	delete(c.local, fingerprint)
	delete(c.shared, fingerprint)
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

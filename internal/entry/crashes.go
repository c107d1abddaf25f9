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

// crashBound bounds the writing of a record of a crash.
const crashBound = 2 * time.Second

// crashes knows the requests that endpoints have died of: from the key-value
// service, and from this entry's own experience while the service is away.
type crashes struct {
	store  crash.Store
	logger *zap.Logger

	mu     sync.RWMutex
	shared map[string]crash.Record
	own    map[string]bool
}

func newCrashes(s crash.Store, logger *zap.Logger) *crashes {
	return &crashes{store: s, logger: logger, own: make(map[string]bool)}
}

// update takes over what the key-value service shows.
func (c *crashes) update(snapshot store.Snapshot) {
	records := crash.Records(snapshot)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared = records
}

// isEmpty reports whether nothing is held against any request.
func (c *crashes) isEmpty() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.shared) == 0 && len(c.own) == 0
}

// state returns what is held against a request.
func (c *crashes) state(fingerprint string) crash.State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	state := c.shared[fingerprint].State()
	if blocked, ok := c.own[fingerprint]; ok {
		state = max(state, crash.Isolated)
		if blocked {
			state = crash.Blocked
		}
	}
	return state
}

// death notes that an endpoint died of a request, perhaps.
func (c *crashes) death(fingerprint string, alone bool) {
	c.mu.Lock()
	c.own[fingerprint] = c.own[fingerprint] || alone
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), crashBound)
	defer cancel()
	record, err := crash.RecordCrash(ctx, c.store, fingerprint, alone)
	event.RequestIsolated.Log(c.logger,
		zap.String("fingerprint", fingerprint),
		zap.Bool("alone", alone),
		zap.Int("deaths", record.Crashes()),
		event.Error(err))
	if err == nil {
		c.mu.Lock()
		delete(c.own, fingerprint)
		if c.shared == nil {
			c.shared = make(map[string]crash.Record)
		}
		c.shared[fingerprint] = record
		c.mu.Unlock()
	}
}

// clear clears a request that has completed alone.
func (c *crashes) clear(fingerprint string) {
	c.mu.Lock()
	delete(c.own, fingerprint)
	delete(c.shared, fingerprint)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), crashBound)
	defer cancel()
	// A record that can't be removed now lapses with its lease.
	_ = crash.DeleteRecord(ctx, c.store, fingerprint)
}

// fingerprint returns the digest by which the request is known.
func (f *inflight) fingerprint() string {
	request := f.exchange.Request()
	return claim.Fingerprint(request.Method, f.service.Name()+request.URL.RequestURI(), f.body)
}

// crashState returns whether the request may run. While nothing is held against
// any request, the digest isn't worked out.
func (f *inflight) crashState() crash.State {
	if f.entry.crashes.isEmpty() {
		return crash.Clear
	}
	return f.entry.crashes.state(f.fingerprint())
}

// blocked refuses a request that endpoints have died of.
func (f *inflight) blocked() *apierr.Error {
	return apierr.New(http.StatusUnprocessableEntity, "request_crashes_endpoints",
		"endpoints have died of this request; it is refused for an hour", apierr.WithOutcome(f.log.Outcome()))
}

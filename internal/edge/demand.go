package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/demand"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

const (
	// demandResendInterval is the least time between two demands to the same agent.
	demandResendInterval = time.Second
	// demandSenders is the expected number of entries that send an agent the demand when it
	// reports to lack it.
	demandSenders = 4
	// demandLogInterval is the least time between two log entries about demands that were
	// refused or couldn't be written.
	demandLogInterval = 10 * time.Second
)

// demands stores the demand for experts that leaders of groups send, and sends the stored
// one to agents that lack it.
type demands struct {
	entry   *Entry
	handled meter.Counter

	mu      sync.Mutex
	writers map[string]*demand.Writer
	// sentAt has when an agent was last sent the demand, by host.
	sentAt map[netip.Addr]time.Time
	// failedAt is when a call to the store last failed.
	failedAt time.Time
	loggedAt time.Time
}

func newDemands(e *Entry, metrics *meter.Meter) *demands {
	return &demands{
		entry: e, writers: make(map[string]*demand.Writer), sentAt: make(map[netip.Addr]time.Time),
		handled: metrics.Counter("lentilstand_demands", "Demands for experts that were received from leaders, refused, written to the store, not written, or sent to agents.", "result"),
	}
}

// groupAt returns the service whose ranks have one on a host, nil if there is none.
func groupAt(view *mirror.View, host netip.Addr) (found *table.Service) {
	if view.Table() == nil {
		return nil
	}
	view.Table().Services(func(service *table.Service) {
		if service.Engine() == nil || found != nil {
			return
		}
		for _, endpoint := range view.Endpoints(service.Name()) {
			if endpoint.Address().Addr() == host {
				found = service
				return
			}
		}
	})
	return found
}

// receive handles a demand that a leader has sent.
func (d *demands) receive(from netip.AddrPort, message *wirepb.Demand) {
	service := groupAt(d.entry.view.Load(), from.Addr())
	if service == nil {
		return
	}
	received, err := demand.New(int(message.GetSets()), int(message.GetExperts()), message.GetWeights())
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || !received.Fits(service.Engine().Sets, service.Engine().Experts) {
		d.handled.Add(1, "refused")
		if d.mayLog(time.Now()) {
			event.DemandRefused.Log(d.entry.logger, zap.String("service", service.Name()), zap.Stringer("agent", from), event.Error(err))
		}
		return
	}
	d.handled.Add(1, "received")
	if d.writers[service.Name()] == nil {
		d.writers[service.Name()] = &demand.Writer{}
	}
	d.writers[service.Name()].Offer(received, float64(message.GetChoices()))
}

// mayLog reports whether the last log entry is demandLogInterval ago. The caller holds the
// lock.
func (d *demands) mayLog(now time.Time) bool {
	if now.Sub(d.loggedAt) < demandLogInterval {
		return false
	}
	d.loggedAt = now
	return true
}

// storeFailed records that a call to the store has failed.
func (d *demands) storeFailed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt = now
}

// flush writes the demands that are due.
func (d *demands) flush(ctx context.Context) {
	view, now := d.entry.view.Load(), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, writer := range d.writers {
		if next := writer.Next(view.Demand(service), d.failedAt, now); next != nil {
			d.entry.background.Go(func() { d.write(ctx, demand.NewStored(service, next)) })
		}
	}
}

// reoffer offers the demands of a view once more, from before the store recovered from a copy that may
// lack them. Of many entries, demandSenders do.
func (d *demands) reoffer(view *mirror.View) {
	if view.Table() == nil || rand.Float64()*float64(len(view.Members())) >= demandSenders {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	view.Table().Services(func(service *table.Service) {
		stored := view.Demand(service.Name())
		if stored == nil || service.Engine() == nil || !stored.Fits(service.Engine().Sets, service.Engine().Experts) {
			return
		}
		if d.writers[service.Name()] == nil {
			d.writers[service.Name()] = &demand.Writer{}
		}
		d.writers[service.Name()].Restore(stored)
	})
}

// write writes a demand to the store, on condition of the one in the view. A write that is carried
// out late therefore doesn't replace a newer demand.
func (d *demands) write(ctx context.Context, stored demand.Stored) {
	key, value := platform.DemandPair(stored)
	expected := uint64(0)
	pair, found, position := d.entry.storeSyncer.lookup(key)
	if found {
		expected = pair.Revision()
	}
	if position.Era() != d.entry.store.Era() {
		// The revision may have been given out again.
		d.handled.Add(1, "not_written")
		return
	}
	_, err := d.entry.store.Put(ctx, key, value, expected, 0)
	if err == nil {
		d.handled.Add(1, "written")
		event.DemandStored.Log(d.entry.logger, zap.String("service", stored.Service()), zap.Int("bytes", len(value)))
		return
	}
	d.handled.Add(1, "not_written")
	d.storeFailed(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mayLog(time.Now()) {
		event.DemandUnstored.Log(d.entry.logger, zap.String("service", stored.Service()), event.Error(err))
	}
}

// answer sends the stored demand to an agent whose load says that it lacks it. Of many
// entries, demandSenders do.
func (d *demands) answer(from netip.AddrPort, load *wirepb.Load) {
	if load.GetDemandKnown() || rand.Float64()*float64(load.GetEntries()) >= demandSenders {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.sentAt[from.Addr()]) < demandResendInterval {
		return
	}
	view := d.entry.view.Load()
	service := groupAt(view, from.Addr())
	if service == nil {
		return
	}
	// An agent is also looked up at most once in demandResendInterval.
	d.sentAt[from.Addr()] = now
	stored := view.Demand(service.Name())
	if !stored.Fits(service.Engine().Sets, service.Engine().Experts) {
		return
	}
	d.handled.Add(1, "sent")
	d.entry.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
		Sets: uint32(stored.Sets()), Experts: uint32(stored.Experts()), Weights: stored.Weights(),
	}}}, from)
}

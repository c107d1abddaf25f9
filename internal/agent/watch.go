package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// Parameters of polling the endpoint's load.
const (
	pollInterval   = 100 * time.Millisecond
	pollTimeout    = 500 * time.Millisecond
	maxLoadBytes   = 64 << 10
	maxFailedPolls = 2 // consecutive failures after which the endpoint is not ready
	loadPath       = "/load"
	endpointScheme = "http://"
)

// endpointLoad is the state that the endpoint reports.
type endpointLoad struct {
	epoch    string
	ready    bool
	leaving  bool
	capacity int
	model    string
}

// wireLoad is the JSON encoding of an endpointLoad.
type wireLoad struct {
	Epoch    string `json:"epoch"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Capacity int    `json:"capacity"`
	Version  string `json:"model_version"`
}

// watchEndpoint polls the endpoint's load until ctx is done.
func (a *Agent) watchEndpoint(ctx context.Context) {
	defer a.wg.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	failures := 0
	for {
		load, err := a.fetchLoad(ctx)
		if err != nil {
			failures++
		} else {
			failures = 0
			a.observeLoad(load)
		}
		if failures >= maxFailedPolls {
			a.setReady(false)
		}
		a.setDown(errors.Is(err, syscall.ECONNREFUSED))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// fetchJSON gets a path of the endpoint and decodes at most limit bytes of JSON
// into dest.
func (a *Agent) fetchJSON(ctx context.Context, path string, limit int64, dest any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpointScheme+a.settings.EndpointAddress()+path, nil)
	if err != nil {
		return eris.Wrapf(err, "cannot get %s from the endpoint", path)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "cannot get %s from the endpoint", path)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, limit)).Decode(dest); err != nil {
		return eris.Wrapf(err, "cannot decode the response of the endpoint to GET %s", path)
	}
	return nil
}

func (a *Agent) fetchLoad(ctx context.Context) (endpointLoad, error) {
	var wire wireLoad
	if err := a.fetchJSON(ctx, loadPath, maxLoadBytes, &wire); err != nil {
		return endpointLoad{}, err
	}
	return endpointLoad{
		epoch:    wire.Epoch,
		ready:    wire.Ready,
		leaving:  wire.Leaving,
		capacity: wire.Capacity,
		model:    wire.Version,
	}, nil
}

func (a *Agent) observeLoad(load endpointLoad) {
	limit := a.settings.Capacity()
	if load.capacity > 0 {
		limit = min(limit, load.capacity)
	}
	a.slowStart.SetLimit(limit)
	if a.slowStart.ObserveEpoch(load.epoch) {
		event.EndpointCold.Log(a.logger, zap.String("epoch", load.epoch))
	}
	a.mu.Lock()
	a.epoch = load.epoch
	a.model = load.model
	a.mu.Unlock()
	if load.leaving {
		a.Leave()
	}
	a.setReady(load.ready)
}

// setReady records the endpoint's readiness and applies the capacity.
func (a *Agent) setReady(ready bool) {
	a.mu.Lock()
	changed := a.ready != ready
	a.ready = ready
	a.mu.Unlock()
	a.applyCapacity()
	if !changed {
		return
	}
	if ready {
		event.EndpointReady.Log(a.logger)
	} else {
		event.EndpointNotReady.Log(a.logger)
	}
	a.notify()
}

// setDown records whether the endpoint's host refuses connections.
func (a *Agent) setDown(down bool) {
	a.mu.Lock()
	changed := a.down != down
	a.down = down
	a.mu.Unlock()
	if changed {
		a.notify()
	}
}

// applyCapacity sets the limiter to the capacity of the slow start, or to 0 if
// the endpoint is not ready.
func (a *Agent) applyCapacity() {
	a.mu.Lock()
	ready := a.ready
	a.mu.Unlock()
	capacity := 0
	if ready {
		capacity = a.slowStart.Capacity()
	}
	if a.limiter.Usage().Capacity() != capacity {
		a.limiter.SetCapacity(capacity)
		a.notify()
	}
}

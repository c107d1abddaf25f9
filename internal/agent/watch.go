package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// How the endpoint is watched.
const (
	pollInterval  = 100 * time.Millisecond
	pollTimeout   = 500 * time.Millisecond
	maxLoadBytes  = 64 << 10
	failedPolls   = 2
	loadPath      = "/load"
	endpointProto = "http://"
)

// endpointLoad is what the endpoint reports of itself.
type endpointLoad struct {
	epoch    string
	ready    bool
	leaving  bool
	capacity int
	model    string
}

// wireLoad is the JSON shape of an endpointLoad.
type wireLoad struct {
	Epoch    string `json:"epoch"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Capacity int    `json:"capacity"`
	Version  string `json:"model_version"`
}

// watchEndpoint asks the endpoint for its load until ctx ends.
func (a *Agent) watchEndpoint(ctx context.Context) {
	defer a.wait.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	failures := 0
	for {
		load, err := a.pollLoad(ctx)
		if err != nil {
			failures++
		} else {
			failures = 0
			a.observeLoad(load)
		}
		if failures >= failedPolls {
			a.setReady(false)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollJSON asks the endpoint for what it reports at a path, which may have up to
// limit bytes.
func (a *Agent) pollJSON(ctx context.Context, path string, limit int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpointProto+a.settings.EndpointAddress()+path, nil)
	if err != nil {
		return eris.Wrapf(err, "can't ask the endpoint for %s", path)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "can't ask the endpoint for %s", path)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, limit)).Decode(into); err != nil {
		return eris.Wrapf(err, "can't read what the endpoint reports at %s", path)
	}
	return nil
}

func (a *Agent) pollLoad(ctx context.Context) (endpointLoad, error) {
	var wire wireLoad
	if err := a.pollJSON(ctx, loadPath, maxLoadBytes, &wire); err != nil {
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
	a.ramp.SetLimit(limit)
	if a.ramp.ObserveEpoch(load.epoch) {
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

// setReady opens or closes the gate with the endpoint's readiness.
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

// applyCapacity sets the gate to what the ramp allows.
func (a *Agent) applyCapacity() {
	a.mu.Lock()
	ready := a.ready
	a.mu.Unlock()
	capacity := 0
	if ready {
		capacity = a.ramp.Capacity()
	}
	if a.gate.Usage().Capacity() != capacity {
		a.gate.SetCapacity(capacity)
		a.notify()
	}
}

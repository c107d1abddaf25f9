package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// How the host list is read.
const (
	hostPoll     = time.Second
	hostTimeout  = time.Second
	maxHostBytes = 4 << 20
	stateLeaving = "leaving"
)

// hostWatch follows the platform's host list, which shows hosts that leave.
type hostWatch struct {
	address string
	client  *http.Client

	mu      sync.RWMutex
	leaving map[string]bool
}

// newHostWatch returns a watch of the host list at address; an empty address
// means that there is none.
func newHostWatch(address string) *hostWatch {
	return &hostWatch{address: address, client: &http.Client{Timeout: hostTimeout}}
}

// run reads the list over and over until ctx ends.
func (h *hostWatch) run(ctx context.Context) {
	defer h.client.CloseIdleConnections()
	for h.address != "" && ctx.Err() == nil {
		// A list that can't be read leaves the last one in force.
		if leaving, err := h.read(ctx); err == nil {
			h.mu.Lock()
			h.leaving = leaving
			h.mu.Unlock()
		}
		pauseUnless(ctx, hostPoll)
	}
}

// wireHosts is the JSON shape of the host list.
type wireHosts struct {
	Hosts []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"hosts"`
}

func (h *hostWatch) read(ctx context.Context) (map[string]bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+"/hosts", nil)
	if err != nil {
		return nil, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var wire wireHosts
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHostBytes)).Decode(&wire); err != nil {
		return nil, err
	}
	leaving := make(map[string]bool)
	for _, host := range wire.Hosts {
		if host.State == stateLeaving {
			leaving[host.Name] = true
		}
	}
	return leaving, nil
}

// isLeaving reports whether the list shows a host as leaving.
func (h *hostWatch) isLeaving(host string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return host != "" && h.leaving[host]
}

func sortEndpoints(endpoints []StatusEndpoint) {
	slices.SortFunc(endpoints, func(a, b StatusEndpoint) int { return cmp.Compare(a.Name, b.Name) })
}

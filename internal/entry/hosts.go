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

	"github.com/lentilstand/lentilstand/internal/strict"
)

// Parameters for polling the host list.
const (
	hostPollInterval = time.Second
	hostTimeout      = time.Second
	maxHostListBytes = 4 << 20
	// maxHostHeadBytes limits the head of the response.
	maxHostHeadBytes = 64 << 10
	stateLeaving     = "leaving"
)

// hostWatcher polls the platform's host list for hosts that are leaving.
type hostWatcher struct {
	address string
	client  *http.Client

	mu      sync.RWMutex
	leaving map[string]bool
}

// newHostWatcher returns a watcher for the host list at address. If address is
// empty, no host counts as leaving.
func newHostWatcher(address string) *hostWatcher {
	return &hostWatcher{address: address, client: &http.Client{
		Timeout: hostTimeout, Transport: strict.NewTransport(&http.Transport{MaxResponseHeaderBytes: maxHostHeadBytes}),
	}}
}

// run polls the list until ctx is done.
func (w *hostWatcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for w.address != "" && ctx.Err() == nil {
		// On an error the last list remains in effect.
		if leaving, err := w.fetch(ctx); err == nil {
			w.mu.Lock()
			w.leaving = leaving
			w.mu.Unlock()
		}
		sleep(ctx, hostPollInterval)
	}
}

// wireHosts is the JSON shape of the host list.
type wireHosts struct {
	Hosts []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"hosts"`
}

func (w *hostWatcher) fetch(ctx context.Context) (map[string]bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+"/hosts", nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var wire wireHosts
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHostListBytes)).Decode(&wire); err != nil {
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

// isLeaving reports whether the host list marks a host as leaving.
func (w *hostWatcher) isLeaving(host string) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return host != "" && w.leaving[host]
}

func sortEndpoints(endpoints []StatusEndpoint) {
	slices.SortFunc(endpoints, func(a, b StatusEndpoint) int { return cmp.Compare(a.Name, b.Name) })
}

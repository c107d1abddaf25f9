package stand

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Host is one line of the host list.
type Host struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// The states of a host.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// HostList is a stand-in of the platform's host list, which shows changes late.
// Use NewHosts.
type HostList struct {
	lag time.Duration
	mux *http.ServeMux

	mu      sync.Mutex
	changes []hostChange
}

type hostChange struct {
	at   time.Time
	host Host
	gone bool
}

// NewHostList returns an empty list that shows a change after lag.
func NewHostList(lag time.Duration) *HostList {
	h := &HostList{lag: lag, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /hosts", h.list)
	h.mux.HandleFunc("POST /hosts", h.change)
	return h
}

// ServeHTTP answers one call.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Set changes the state of a host; an empty state removes it.
func (h *HostList) Set(name, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change := hostChange{at: time.Now(), host: Host{Name: name, State: state}, gone: state == ""}
	h.changes = append(h.changes, change)
}

// List returns the hosts as the list shows them now.
func (h *HostList) List() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := []Host{}
	shown := time.Now().Add(-h.lag)
	for _, change := range h.changes {
		if change.at.After(shown) {
			continue
		}
		hosts = slices.DeleteFunc(hosts, func(host Host) bool { return host.Name == change.host.Name })
		if !change.gone {
			hosts = append(hosts, change.host)
		}
	}
	return hosts
}

func (h *HostList) list(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, map[string]any{"hosts": h.List()})
}

func (h *HostList) change(w http.ResponseWriter, r *http.Request) {
	var host Host
	if ReadJSON(w, r, &host) {
		h.Set(host.Name, host.State)
		WriteJSON(w, host)
	}
}

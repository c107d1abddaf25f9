package stand

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Host is one entry of the host list.
type Host struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// States of a host.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// HostList is a stand-in for the platform's host list, which shows changes with a
// delay. Use NewHostList.
type HostList struct {
	lag time.Duration
	mux *http.ServeMux

	mu      sync.Mutex
	changes []hostChange
}

type hostChange struct {
	at      time.Time
	host    Host
	removed bool
}

// NewHostList returns an empty list that shows each change after lag.
func NewHostList(lag time.Duration) *HostList {
	h := &HostList{lag: lag, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /hosts", h.list)
	h.mux.HandleFunc("POST /hosts", h.change)
	return h
}

// ServeHTTP implements http.Handler.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Set sets the state of a host. An empty state removes the host.
func (h *HostList) Set(name, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change := hostChange{at: time.Now(), host: Host{Name: name, State: state}, removed: state == ""}
	h.changes = append(h.changes, change)
}

// List returns the hosts that are currently visible: all changes older than the
// lag.
func (h *HostList) List() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := []Host{}
	visibleUntil := time.Now().Add(-h.lag)
	for _, change := range h.changes {
		if change.at.After(visibleUntil) {
			continue
		}
		hosts = slices.DeleteFunc(hosts, func(host Host) bool { return host.Name == change.host.Name })
		if !change.removed {
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

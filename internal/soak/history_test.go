package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The platform's bounds that the checks use, as of the users' sites.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	rollback    = 8 * 250 * time.Millisecond
	graceBound  = 8 * time.Second
	recoverIn   = 12 * time.Second
	// slack covers that this machine runs everything at once.
	slack = 500 * time.Millisecond
)

// asked is a request as its caller sent it, and what the caller got.
type asked struct {
	id, path, body string
	entry          *daemon
	at, end        time.Time
	status         int
	header         http.Header
	answer         string
	// unsent says that no connection was made, err that no whole answer came.
	unsent bool
	err    error
	// calm says that nothing unplanned touched the entry, the endpoints or their
	// agents lately; stopping that the entry had got SIGTERM.
	calm, stopping bool
}

func (a *asked) once() bool {
	return strings.HasPrefix(a.path, "/book/") || strings.HasPrefix(a.path, "/once/")
}

func (a *asked) isStream() bool {
	return strings.HasPrefix(a.path, "/draft/") || strings.HasPrefix(a.path, "/once/")
}

func (a *asked) served() bool { return a.err == nil && a.status == http.StatusOK }

// history holds what was asked, and the findings of checks.
type history struct {
	site *site

	mu       sync.Mutex
	asked    map[string]*asked
	count    int
	findings []string
}

func newHistory(s *site) *history { return &history{site: s, asked: make(map[string]*asked)} }

func (h *history) find(rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings = append(h.findings, rule+": "+fmt.Sprintf(format, args...))
}

// caller sends requests one after the other over connections that it keeps.
type caller struct {
	history   *history
	client    *http.Client
	addresses []string
	until     time.Time
	failed    map[string]time.Time
}

func (h *history) newCaller() *caller {
	dialer := net.Dialer{Timeout: time.Second}
	return &caller{history: h, failed: make(map[string]time.Time), client: &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4},
	}}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	paths := []string{"/book/1", "/check/2?x=%2F", "/draft/3", "/draft/4", "/once/5"}
	for ctx.Err() == nil {
		if entry := c.pick(); entry != nil {
			got := c.ask(entry, paths[rand.IntN(len(paths))], "key")
			if got.err != nil {
				c.failed[entry.front] = time.Now()
			}
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

// pick returns an entry that the directory names.
func (c *caller) pick() *daemon {
	entries := c.history.site.entries
	if time.Now().After(c.until) {
		e := entries[rand.IntN(len(entries))]
		if addresses := c.resolve(e); len(addresses) > 0 {
			c.addresses, c.until = addresses, time.Now().Add(time.Second)
		}
	}
	var usable []*daemon
	for _, e := range entries {
		for _, address := range c.addresses {
			if address == e.front && time.Since(c.failed[address]) > time.Second {
				usable = append(usable, e)
			}
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rand.IntN(len(usable))]
}

func (c *caller) resolve(e *daemon) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+e.directory+"/lentilstand/resolve?name=club.example&region=r&zone=a", nil)
	if err != nil {
		return nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var told struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&told) != nil {
		return nil
	}
	return told.Addresses
}

// ask sends one request and takes down what comes of it.
func (c *caller) ask(entry *daemon, path, key string) *asked {
	h := c.history
	a := &asked{path: path, entry: entry, at: time.Now()}
	h.mu.Lock()
	h.count++
	a.id = fmt.Sprintf("request-%d", h.count)
	a.body = "body of " + a.id
	h.asked[a.id] = a
	h.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.front+path, bytes.NewReader([]byte(a.body)))
	if err != nil {
		panic(err)
	}
	// The transport must not send a request again by itself.
	request.GetBody = nil
	request.Host = "club.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Lentilstand-Request-Id", a.id)
	request.Header.Set("Lentilstand-Deadline-Ms", "3000")
	if a.isStream() {
		request.Header.Set("Lentilstand-Token-Counts", "100,40")
	}
	got := asked{}
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		got.status, got.header = response.StatusCode, response.Header
		var content []byte
		content, err = io.ReadAll(response.Body)
		got.answer = string(content)
	}
	var dial *net.OpError
	got.unsent = errors.As(err, &dial) && dial.Op == "dial"
	got.err, got.end = err, time.Now()
	h.note(a, got)
	if a.served() {
		h.checkAnswer(a)
	}
	return a
}

// note takes down what came of a request, and how calm it was around it.
func (h *history) note(a *asked, got asked) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.status, a.header, a.answer, a.unsent, a.err, a.end = got.status, got.header, got.answer, got.unsent, got.err, got.end
	calm := func(at time.Time) bool { return a.at.Sub(at) > contact }
	unplanned, stopped, _ := a.entry.lastDisturbed()
	replicas, _ := h.site.lastShaken()
	a.calm = calm(unplanned) && calm(replicas)
	for _, agent := range h.site.agents {
		at, _, _ := agent.lastDisturbed()
		a.calm = a.calm && calm(at)
	}
	a.stopping = a.end.Sub(stopped) < graceBound+time.Second
}

// checkAnswer checks a success.
func (h *history) checkAnswer(a *asked) {
	seal, id := a.header.Get("Lentilstand-Response-Seal"), a.header.Get("Lentilstand-Request-Id")
	replica, sealed := strings.CutPrefix(seal, "seal-")
	switch {
	case !sealed || id != a.id:
		h.find("MIXED", "%s got an answer to %q sealed %q", a.id, id, seal)
	case a.isStream():
		var want strings.Builder
		for event := 1; event <= events; event++ {
			fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", event, event)
		}
		if a.answer != want.String() {
			h.find("ORDER", "%s got a stream of %d bytes with a piece missing, doubled or out of turn", a.id, len(a.answer))
		}
	case a.answer != "answer of "+replica && a.answer != "unframed":
		h.find("MIXED", "%s got %q sealed by %s", a.id, a.answer, replica)
	}
}

// probe asks an entry with the newest version's key, and with the one before it.
func (h *history) probe(ctx context.Context, e *daemon) {
	c := h.newCaller()
	defer c.client.CloseIdleConnections()
	served := make(map[int]time.Time)
	lastBoot := 0
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		version, acked := h.site.newest()
		unplanned, stopped, boot := e.lastDisturbed()
		if boot != lastBoot {
			served, lastBoot = make(map[int]time.Time), boot
		}
		_, store := h.site.lastShaken()
		inTouch := time.Since(unplanned) > contact && time.Since(store) > contact && time.Since(stopped) > graceBound+contact
		newer := c.ask(e, "/check/probe", versionKey(version))
		older := c.ask(e, "/check/probe", versionKey(version-1))
		if now, _ := h.site.newest(); now != version {
			continue
		}
		if _, _, after := e.lastDisturbed(); after != boot {
			continue
		}
		due := inTouch && newer.at.Sub(acked) > configApply+slack
		first, has := served[version]
		switch {
		case newer.status == http.StatusUnauthorized && due:
			h.find("CONFIG", "%s refuses version %d %v after its acknowledgement (%s)", e.name, version, newer.at.Sub(acked), newer.id)
		case newer.status == http.StatusUnauthorized && has && newer.at.Sub(first) > rollback:
			h.find("CONFIG", "%s went back behind version %d (%s)", e.name, version, newer.id)
		case older.served() && (due || has && older.at.Sub(first) > rollback):
			h.find("CONFIG", "%s runs by version %d, %v after version %d (%s)", e.name, version-1, older.at.Sub(acked), version, older.id)
		}
		if newer.served() && !has {
			served[version] = newer.end
		}
	}
}

// check holds what replicas ran against what was asked, at the end.
func (h *history) check() {
	runs := make(map[string]int)
	for _, replica := range h.site.allReplicas() {
		for _, seen := range replica.Requests() {
			id := seen.Header.Get("Lentilstand-Request-Id")
			runs[id]++
			a := h.asked[id]
			switch {
			case a == nil:
				h.find("UNASKED", "a replica ran %q", id)
			case seen.Target != a.path || seen.Body != a.body || seen.Method != http.MethodPost ||
				seen.Header.Get("Lentilstand-Tenant") != "rowers" || seen.Header.Get("Authorization") != "":
				h.find("UNASKED", "a replica ran %s as %s %s", id, seen.Method, seen.Target)
			}
		}
	}
	cut := 0
	for id, a := range h.asked {
		switch {
		case a.once() && runs[id] > 1:
			h.find("TWICE", "%s (%s) ran %d times", id, a.path, runs[id])
		case runs[id] > 2:
			h.find("BUDGET", "%s (%s) ran %d times", id, a.path, runs[id])
		case a.once() && runs[id] > 0 && (a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable):
			h.find("REFUSED", "%s (%s) was refused with %d and ran", id, a.path, a.status)
		}
		if runs[id] == 0 || a.err == nil || a.unsent || !a.calm || a.end.Sub(a.at) > 3*time.Second {
			continue
		}
		if cut++; a.stopping {
			h.find("LOST", "%s (%s) at %s ran and was cut after %v: %v", id, a.path, a.entry.name, a.end.Sub(a.at), a.err)
		}
	}
	if cut > 3 {
		h.find("LOST", "%d requests ran and were cut while nothing was disturbed", cut)
	}
	for _, wrong := range h.site.group.Violations() {
		h.find("MAP", "%s", wrong)
	}
}

// settled reports whether callers are served again: nine in ten of those who asked
// after a moment, fifty at least.
func (h *history) settled(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, served := 0, 0
	for _, a := range h.asked {
		if a.at.After(since) && !a.end.IsZero() && !strings.HasSuffix(a.path, "probe") {
			all++
			if a.served() {
				served++
			}
		}
	}
	return all >= 50 && served*10 >= all*9
}

// Package memory accounts for the memory and the descriptors that the connections of a process
// hold, so that clients can't take more than the host has.
//
// A process has one Account. Each connection from outside is a Holder of it, which grows with
// what the connection makes the process keep: the parsed head, the body, the response that isn't
// taken yet. If a limit would be exceeded, the account evicts holders: first those that make no
// progress, then those that hold more than the one that needs room. A holder whose request is
// being handled is never evicted. If that isn't enough, the one that needs room is refused.
//
// The costs are estimates. The account's limit is therefore a part of the host's memory, and the
// runtime's memory limit makes the garbage collector keep the rest (see LimitHeap).
package memory

import (
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
)

const (
	megabyte = 1 << 20
	// defaultMemoryMB is assumed if neither the settings nor the operating system limit the
	// memory. It is capped at the memory of the machine.
	defaultMemoryMB = 1024
	// baseMB is the resident memory of an entry or an agent that serves few connections.
	baseMB = 40
	// programMB is the part of baseMB that the heap limit leaves: pages of the program itself, and
	// what is allocated while the garbage collector works. 24 MB left no margin in tests.
	programMB = 36
	// accountShare is the part of the memory above baseMB that connections may hold. The other
	// part is for garbage, buffers of the runtime and errors of the estimates. With 0.5, the peak
	// came within 5 MB of the memory of a host of 96 MB.
	accountShare = 0.4
	// minLimit is what connections may hold at least: one request with the largest body, which
	// takes twice its size. It matters for hosts with little more than baseMB.
	minLimit = 10 << 20
	// maxBodyBytes limits the sizes of the large bodies of all requests together.
	maxBodyBytes = 32 << 20
	// bodyShare is the part of the account that large bodies may take.
	bodyShare = 0.75
	// inboundShare and outboundShare are the parts of the descriptors for connections from
	// outside and to endpoints. A request in progress has one of each. The rest is for connections
	// that are being closed (see closingShare), listeners, files, the store and sessions to agents.
	inboundShare  = 0.4
	outboundShare = 0.375
	// StallTimeout is how long a holder makes no progress before it counts as stalled.
	StallTimeout = 2 * time.Second
	// progressBytes is what a holder must receive within StallTimeout to make progress. It is 2
	// KB/s, less than any working connection has.
	progressBytes = 4 << 10
	// reserveShare is the part of a limit that an eviction frees in addition to what is needed,
	// so that not every connection of a flood causes one.
	reserveShare = 1.0 / 16
	// closingShare is the part of a limit by which evicted holders may exceed it until their
	// connections have been closed.
	closingShare = 0.25
	// logInterval is the interval between log entries of the same reason.
	logInterval = time.Second
)

// Reason is why a client was refused or cut off.
type Reason string

// Reasons.
const (
	// ReasonMemory means that the account had no room.
	ReasonMemory Reason = "memory"
	// ReasonBodies means that the large bodies of other requests took all room for them.
	ReasonBodies Reason = "bodies"
	// ReasonDescriptors means that too many connections were open.
	ReasonDescriptors Reason = "descriptors"
	// ReasonHead means that a head was too large.
	ReasonHead Reason = "head"
	// ReasonBody means that a body was too large.
	ReasonBody Reason = "body"
	// ReasonMalformed means that the bytes could not be parsed.
	ReasonMalformed Reason = "malformed"
	// ReasonSession means that the bytes on an internal port did not follow the protocol.
	ReasonSession Reason = "session"
	// ReasonFrame means that a frame was too large or malformed.
	ReasonFrame Reason = "frame"
	// ReasonEndpoint means that an endpoint sent a head or an event that was too large.
	ReasonEndpoint Reason = "endpoint"
)

// event returns the event by which a reason is logged.
func (r Reason) event() event.Event {
	switch r {
	case ReasonHead, ReasonBody:
		return event.RequestTooLarge
	case ReasonMalformed:
		return event.RequestMalformed
	case ReasonSession:
		return event.SessionRefused
	case ReasonFrame:
		return event.FrameRefused
	default:
		return event.ClientsLimited
	}
}

// Account is the account of a process. Use New.
type Account struct {
	limit, bodyLimit int64
	conns, outbound  int
	heapLimit        int64

	mu sync.Mutex
	// used and bodies are what holders that aren't evicted have, closing what the others have.
	used, bodies, closing int64
	holders               map[*Holder]bool
	evicted, dialed       int
	logger                *zap.Logger
	limited               meter.Counter
	observed              bool
	reasons               map[Reason]*reasonLog
}

// reasonLog limits the log entries of a reason.
type reasonLog struct {
	last    time.Time
	leftOut int64
}

// New returns the account of a process on a host with the given limits. Zero stands for the limit
// of the process as the operating system has it, or else for a default.
func New(memoryMB, descriptors int) *Account {
	a := &Account{holders: make(map[*Holder]bool), reasons: make(map[Reason]*reasonLog), logger: zap.NewNop()}
	if memoryMB > 0 {
		a.heapLimit = int64(max(memoryMB-programMB, memoryMB/2)) * megabyte
	} else {
		memoryMB = systemMemoryMB()
	}
	a.limit = max(minLimit, int64(accountShare*float64(memoryMB-baseMB)*megabyte))
	a.bodyLimit = min(maxBodyBytes, int64(bodyShare*float64(a.limit)))
	descriptors = systemDescriptors(descriptors)
	a.conns, a.outbound = int(float64(descriptors)*inboundShare), int(float64(descriptors)*outboundShare)
	return a
}

// systemMemoryMB returns the limit on the address space of the process if it has one, otherwise
// the smaller of defaultMemoryMB and the memory of the machine.
func systemMemoryMB() int {
	memory := uint64(defaultMemoryMB)
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		memory = min(memory, info.Totalram*uint64(info.Unit)/megabyte)
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_AS, &limit); err == nil {
		memory = min(memory, limit.Cur/megabyte)
	}
	return int(memory)
}

// systemDescriptors returns the smaller of a limit, unless it is zero, and that of the process.
func systemDescriptors(limit int) int {
	const unlimited = 1 << 20
	current := uint64(unlimited)
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil {
		current = min(current, system.Cur)
	}
	if limit > 0 {
		current = min(current, uint64(limit))
	}
	return int(current)
}

// LimitHeap sets the memory limit of the Go runtime if the settings give the memory of the host.
func (a *Account) LimitHeap() {
	if a.heapLimit > 0 {
		debug.SetMemoryLimit(a.heapLimit)
	}
}

// Observe makes the account log to logger and report metrics to m. It must be called before the
// first use of the account.
func (a *Account) Observe(logger *zap.Logger, m *meter.Meter) {
	a.logger, a.observed = logger, true
	a.limited = m.Counter("lentilstand_limited", "Clients and endpoints that were refused or cut off, by the limit.", "reason")
	m.Gauge("lentilstand_account", "Estimated bytes that connections hold, their limits, and the number of connections.", "what",
		func(report func(int64, string)) {
			a.mu.Lock()
			defer a.mu.Unlock()
			report(a.used, "used_bytes")
			report(a.closing, "closing_bytes")
			report(a.bodies, "body_bytes")
			report(a.limit, "limit_bytes")
			report(int64(len(a.holders)), "connections")
			report(int64(a.conns), "max_connections")
			report(int64(a.dialed), "outbound_connections")
		})
}

// Limit returns the number of bytes that connections may hold.
func (a *Account) Limit() int64 { return a.limit }

// Conns returns the number of connections from outside that may be open.
func (a *Account) Conns() int { return a.conns }

// Used returns the bytes that connections hold, and the number of connections.
func (a *Account) Used() (bytes int64, conns int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used + a.closing, len(a.holders)
}

// Count counts clients that were refused or cut off, and logs one entry for each reason and
// logInterval.
func (a *Account) Count(reason Reason, fields ...zap.Field) { a.countN(reason, 1, fields...) }

func (a *Account) countN(reason Reason, n int64, fields ...zap.Field) {
	if a.observed {
		a.limited.Add(n, string(reason))
	}
	a.mu.Lock()
	log := a.reasons[reason]
	if log == nil {
		log = &reasonLog{}
		a.reasons[reason] = log
	}
	log.leftOut += n
	count, due := log.leftOut, time.Since(log.last) >= logInterval
	if due {
		log.last, log.leftOut = time.Now(), 0
	}
	a.mu.Unlock()
	if due {
		reason.event().Log(a.logger, append(fields, zap.String("reason", string(reason)), zap.Int64("count", count))...)
	}
}

// Dial takes a descriptor for a connection to an endpoint, and reports whether there is one.
func (a *Account) Dial() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dialed >= a.outbound {
		return false
	}
	a.dialed++
	return true
}

// Hangup returns a descriptor that Dial has taken.
func (a *Account) Hangup() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dialed--
}

// Borrow takes bytes that belong to no connection from outside, and reports whether there was room.
func (a *Account) Borrow(bytes int64) bool {
	a.mu.Lock()
	var evicted []*Holder
	if a.used+bytes > a.limit {
		evicted = a.evict(&Holder{account: a}, demand{bytes: a.used + bytes - a.limit + a.reserve(), need: bytes})
	}
	ok := a.fits(bytes)
	if ok {
		a.used += bytes
	}
	a.mu.Unlock()
	a.finishEviction(ReasonMemory, evicted)
	if !ok {
		a.Count(ReasonMemory)
	}
	return ok
}

// Return returns bytes that Borrow has taken.
func (a *Account) Return(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= bytes
	a.clamp()
}

// State is what a holder's connection does.
type State int32

// States.
const (
	// Receiving means that a request is being received, or the first one of the connection is
	// awaited.
	Receiving State = iota
	// Idle means that the connection waits for its next request.
	Idle
	// Handling means that a request is being handled. The holder isn't evicted.
	Handling
	// Writing means that a write of a response has not returned.
	Writing
	// Closing means that the connection only waits for its client to read the last response.
	Closing
)

// Holder is what a connection holds. Use Account.Open.
type Holder struct {
	account *Account
	onEvict func()
	state   atomic.Int32
	// progress is when the holder last made progress, in nanoseconds since started.
	progress atomic.Int64
	// received counts bytes since the last progress. It is used by the connection's reader only.
	received int
	evicted  atomic.Bool

	// The fields below are protected by the account's lock.
	base, bytes, body int64
	closed            bool
}

// started is the origin of times of progress, so that they are monotonic.
var started = time.Now()

// Open adds a connection that holds base bytes. It returns nil if there is no room. OnEvict is
// called without locks when the holder is evicted; it must not block.
func (a *Account) Open(base int64, onEvict func()) *Holder {
	h := &Holder{account: a, onEvict: onEvict, base: base, bytes: base}
	h.touch()
	a.mu.Lock()
	var evicted []*Holder
	reason := Reason("")
	if len(a.holders)-a.evicted >= a.conns {
		reason = ReasonDescriptors
		evicted = a.evict(h, demand{conns: 1 + int(reserveShare*float64(a.conns))})
	}
	if a.used+base > a.limit {
		reason = ReasonMemory
		evicted = append(evicted, a.evict(h, demand{bytes: a.used + base - a.limit + a.reserve(), need: base})...)
	}
	open := len(a.holders)-a.evicted < a.conns && float64(len(a.holders)) < float64(a.conns)*(1+closingShare) && a.fits(base)
	if open {
		a.holders[h] = true
		a.used += base
	}
	a.mu.Unlock()
	a.finishEviction(reason, evicted)
	if !open {
		a.Count(reason)
		return nil
	}
	return h
}

func (a *Account) reserve() int64 { return int64(reserveShare * float64(a.limit)) }

// fits reports whether bytes more may be used.
func (a *Account) fits(bytes int64) bool {
	return a.used+bytes <= a.limit && float64(a.used+a.closing+bytes) <= float64(a.limit)*(1+closingShare)
}

func (a *Account) finishEviction(reason Reason, evicted []*Holder) {
	for _, one := range evicted {
		one.onEvict()
	}
	if len(evicted) > 0 {
		a.countN(reason, int64(len(evicted)))
	}
}

// Grow adds bytes, and reports whether there was room. A holder that was evicted gets none.
func (h *Holder) Grow(bytes int64) bool {
	return h.grow(bytes, false)
}

// Charge is like Grow but adds the bytes in any case. It is for responses, which exist already.
func (h *Holder) Charge(bytes int64) { h.grow(bytes, true) }

func (h *Holder) grow(bytes int64, force bool) bool {
	a := h.account
	a.mu.Lock()
	if h.evicted.Load() || h.closed {
		if force && !h.closed {
			h.bytes += bytes
			a.closing += bytes
		}
		a.mu.Unlock()
		return false
	}
	var evicted []*Holder
	if a.used+bytes > a.limit {
		evicted = a.evict(h, demand{bytes: a.used + bytes - a.limit + a.reserve(), need: bytes})
	}
	ok := force || a.fits(bytes)
	if ok {
		h.bytes += bytes
		a.used += bytes
	}
	a.mu.Unlock()
	a.finishEviction(ReasonMemory, evicted)
	if !ok {
		a.Count(ReasonMemory)
	}
	return ok
}

// Reserve sets the size of the large body that the holder receives, and reports whether the bodies
// of all holders have room for it. Only holders without progress are evicted for it.
func (h *Holder) Reserve(size int64) bool {
	a := h.account
	a.mu.Lock()
	missing := size - h.body
	if missing <= 0 {
		a.mu.Unlock()
		return true
	}
	if h.evicted.Load() || h.closed {
		a.mu.Unlock()
		return false
	}
	var evicted []*Holder
	if short := a.bodies + missing - a.bodyLimit; short > 0 {
		evicted = a.evict(h, demand{body: short})
	}
	ok := a.bodies+missing <= a.bodyLimit
	if ok {
		a.bodies += missing
		h.body += missing
	} else {
		// The request is rejected. Its part is free at once, so that others aren't rejected too.
		a.bodies -= h.body
		h.body = 0
	}
	a.mu.Unlock()
	a.finishEviction(ReasonBodies, evicted)
	if !ok {
		a.Count(ReasonBodies)
	}
	return ok
}

// Release returns all bytes beyond the base, at the end of a request.
func (h *Holder) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.release(h.bytes - h.base)
}

// Shrink returns some of the bytes beyond the base.
func (h *Holder) Shrink(bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.bytes -= bytes
	if h.evicted.Load() {
		a.closing -= bytes
	} else {
		a.used -= bytes
	}
	a.clamp()
}

// release returns bytes and the body. The account must be locked.
func (h *Holder) release(bytes int64) {
	a := h.account
	h.bytes -= bytes
	if h.evicted.Load() {
		a.closing -= bytes
	} else {
		a.used -= bytes
		a.bodies -= h.body
	}
	h.body = 0
	a.clamp()
}

// clamp sets negative sums to zero, which only a bug causes. The account must be locked.
func (a *Account) clamp() {
	if a.used < 0 || a.closing < 0 || a.bodies < 0 {
		event.AccountCorrected.Log(a.logger, zap.Int64("used", a.used), zap.Int64("closing", a.closing), zap.Int64("bodies", a.bodies))
		a.used, a.closing, a.bodies = max(0, a.used), max(0, a.closing), max(0, a.bodies)
	}
}

// Close ends the holder, when its connection has been closed. Further calls do nothing.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.release(h.bytes)
	if h.evicted.Load() {
		a.evicted--
	}
	delete(a.holders, h)
}

// IsEvicted reports whether the holder was evicted. Its connection must be closed.
func (h *Holder) IsEvicted() bool { return h.evicted.Load() }

// SetState sets what the connection does, which counts as progress.
func (h *Holder) SetState(state State) {
	h.state.Store(int32(state))
	h.touch()
}

// Begin sets the state to Handling and reports true, unless the holder was evicted. A request must
// not be handled after that, since its response could not be sent.
func (h *Holder) Begin() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.evicted.Load() {
		return false
	}
	h.SetState(Handling)
	return true
}

// Received counts bytes that have arrived.
func (h *Holder) Received(bytes int) {
	if h.received += bytes; h.received >= progressBytes {
		h.received = 0
		h.touch()
	}
}

func (h *Holder) touch() { h.progress.Store(int64(time.Since(started))) }

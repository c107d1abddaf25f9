package memory

import (
	"cmp"
	"slices"
	"time"
)

// demand is what an eviction has to free.
type demand struct {
	bytes, body int64
	conns       int
	// need is the number of bytes that the newcomer asks for. It is less than bytes, which has a
	// reserve.
	need int64
}

// isMet reports whether nothing is left to free.
func (d demand) isMet() bool { return d.bytes <= 0 && d.body <= 0 && d.conns <= 0 }

// rank is the order in which holders are evicted; lower ranks go first.
type rank int

const (
	// stalled holders have made no progress in the middle of a request or a response.
	stalled rank = iota
	// larger holders have more than the one that needs room.
	larger
	// idle holders wait for their next request.
	idle
	// fresh holders are receiving a request. They make room for new connections only, since a
	// crowd of new connections could otherwise keep all others out.
	fresh
	// spared holders stay.
	spared
)

// candidate is a holder with the order of its eviction.
type candidate struct {
	holder   *Holder
	rank     rank
	progress int64
}

// evict evicts holders until d is met, and returns them. The account must be locked. Newcomer is
// the holder that needs room, which isn't evicted itself.
func (a *Account) evict(newcomer *Holder, d demand) []*Holder {
	now := int64(time.Since(started))
	candidates := make([]candidate, 0, len(a.holders))
	for h := range a.holders {
		if h == newcomer || h.evicted.Load() || (d.body > 0 && h.body == 0) {
			continue
		}
		one := candidate{holder: h, progress: h.progress.Load()}
		one.rank = rankOf(h, newcomer, d, now-one.progress >= int64(StallTimeout))
		if one.rank != spared {
			candidates = append(candidates, one)
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		if x.rank == idle || x.rank == fresh {
			return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.progress, y.progress))
		}
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.holder.bytes, x.holder.bytes), cmp.Compare(x.progress, y.progress))
	})
	var evicted []*Holder
	for _, one := range candidates {
		if d.isMet() {
			break
		}
		h := one.holder
		d.bytes -= h.bytes
		d.body -= h.body
		d.conns--
		a.used -= h.bytes
		a.closing += h.bytes
		a.bodies -= h.body
		h.body = 0
		h.evicted.Store(true)
		a.evicted++
		evicted = append(evicted, h)
	}
	return evicted
}

// rankOf returns the rank of a holder that isn't evicted yet.
func rankOf(h, newcomer *Holder, d demand, isStalled bool) rank {
	state := State(h.state.Load())
	opening := newcomer.base > 0 && !newcomer.account.holders[newcomer]
	switch {
	case state == Handling:
		return spared
	case state == Closing, isStalled && state != Idle:
		return stalled
	case d.body > 0:
		return spared
	case state == Idle:
		return idle
	case h.bytes > max(newcomer.bytes+d.need, 2*h.base) && state != Writing:
		return larger
	case opening && state == Receiving:
		return fresh
	default:
		return spared
	}
}

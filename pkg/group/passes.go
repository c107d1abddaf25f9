package group

import "time"

// passMeter measures the duration of passes from when they are seen to begin.
type passMeter struct {
	startedAt time.Time
	// first and last are the first and the last pass that began after startedAt, zero if
	// none did. Last is the pass at startedAt until then.
	first, last     uint64
	firstAt, lastAt time.Time
}

// newPassMeter returns a meter of the passes after the given one.
func newPassMeter(pass uint64, now time.Time) passMeter {
	return passMeter{startedAt: now, last: pass}
}

// observe records the newest pass.
func (m *passMeter) observe(pass uint64, now time.Time) {
	if pass <= m.last {
		return
	}
	if m.first == 0 {
		m.first, m.firstAt = pass, now
	}
	m.last, m.lastAt = pass, now
}

// estimate returns the duration of a pass. The average of an earlier time is used unless
// enough passes have begun, or one has taken longer than the average, as when a rank has
// become slow or the group has just opened.
func (m *passMeter) estimate(average time.Duration, now time.Time) time.Duration {
	longest := now.Sub(m.startedAt)
	if m.first != 0 {
		longest = max(m.firstAt.Sub(m.startedAt), now.Sub(m.lastAt))
		if span := m.lastAt.Sub(m.firstAt); span >= minPassWindow {
			average = span / time.Duration(m.last-m.first)
		}
	}
	if longest >= minPassWindow {
		return max(average, longest)
	}
	return average
}

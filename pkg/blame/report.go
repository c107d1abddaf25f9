package blame

import (
	"slices"
	"time"
)

// Limits of the exchange of reports.
const (
	// newsTTL is how long each export contains a suspect after its record changed.
	newsTTL = 2 * time.Second
	// probeTolerance is the difference up to which the ages of a probe in two reports are
	// the same, so that reports of one probe don't count as news again and again.
	probeTolerance = 100 * time.Millisecond
	// maxReports limits the reports of one export.
	maxReports = 24
)

// Crash is the crash of an endpoint while it held a request with a suspect part.
type Crash struct {
	incarnation uint64
	age         time.Duration
	companions  []Part
}

// NewCrash returns a crash of an endpoint incarnation, given by the hash of its name.
// Companions are other parts of the request.
func NewCrash(incarnation uint64, age time.Duration, companions ...Part) Crash {
	return Crash{incarnation: incarnation, age: age, companions: companions}
}

// Incarnation returns the hash of the incarnation's name.
func (c Crash) Incarnation() uint64 { return c.incarnation }

// Age returns the time since the crash.
func (c Crash) Age() time.Duration { return c.age }

// Companions returns other parts of the request.
func (c Crash) Companions() []Part { return c.companions }

// Report is what an entry knows about a suspect part. Ages, unlike times, don't depend on
// the clocks of hosts.
type Report struct {
	part     Part
	crashes  []Crash
	answered time.Duration
	proven   bool
	probed   time.Duration
	isProbed bool
	blocked  bool
}

// NewReport returns a report on a part that no endpoint has answered.
func NewReport(part Part, crashes ...Crash) Report {
	return Report{part: part, crashes: crashes}
}

// WithAnswer returns the report of a part that was last answered some time ago.
func (r Report) WithAnswer(age time.Duration) Report {
	r.answered, r.proven = age, true
	return r
}

// WithProbe returns the report of a part that is blocked and that an entry last probed some
// time ago.
func (r Report) WithProbe(age time.Duration) Report {
	r.probed, r.isProbed = age, true
	return r
}

// WithBlock returns the report of an entry that blocks the part.
func (r Report) WithBlock() Report {
	r.blocked = true
	return r
}

// Part returns the part.
func (r Report) Part() Part { return r.part }

// Crashes returns the crashes.
func (r Report) Crashes() []Crash { return r.crashes }

// Answer returns the time since the part was last answered, and whether it was.
func (r Report) Answer() (age time.Duration, proven bool) { return r.answered, r.proven }

// Probe returns the time since the part was last probed, and whether it was since its last
// crash.
func (r Report) Probe() (age time.Duration, probed bool) { return r.probed, r.isProbed }

// Blocked reports whether the entry blocks the part.
func (r Report) Blocked() bool { return r.blocked }

// Export returns reports on the parts whose record has changed recently.
func (t *Tracker) Export(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports(false, now)
}

// ExportAll returns reports on all suspect parts, for entries that have just started or
// that have missed the news.
func (t *Tracker) ExportAll(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports(true, now)
}

// reports returns reports on the parts whose record has changed recently, or on all, the most
// suspicious first. The caller holds t.mu.
func (t *Tracker) reports(all bool, now time.Time) []Report {
	t.updateBlocked(now)
	var reports []Report
	for _, part := range t.rank() {
		s := t.suspects[part]
		if !all && now.Sub(s.changedAt) >= newsTTL {
			continue
		}
		report := NewReport(part)
		for incarnation, crash := range s.crashes {
			report.crashes = append(report.crashes, NewCrash(incarnation, now.Sub(crash.at), slices.Clone(crash.companions)...))
		}
		if answered, proven := t.answers.last(part); proven {
			report = report.WithAnswer(now.Sub(answered))
		}
		if s.probedAt.After(s.lastCrash()) {
			report = report.WithProbe(now.Sub(s.probedAt))
		}
		if s.blocked {
			report = report.WithBlock()
		}
		if reports = append(reports, report); len(reports) >= maxReports {
			break
		}
	}
	return reports
}

// Merge adds the reports of another entry.
func (t *Tracker) Merge(reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		if age, proven := report.Answer(); proven {
			t.addAnswer(report.part, now.Add(-age), now)
		}
		for _, crash := range report.crashes {
			at := now.Add(-crash.age)
			if answered, _ := t.answers.last(report.part); at.After(answered) && crash.age < blockTTL {
				t.addCrash(report.part, crash.incarnation, at, crash.companions, now)
			}
		}
		s := t.suspects[report.part]
		if s == nil {
			continue
		}
		s.vetted = s.vetted || report.blocked
		if age, probed := report.Probe(); probed {
			if at := now.Add(-age); at.After(s.probedAt.Add(probeTolerance)) {
				s.probedAt, s.changedAt = at, now
			}
		}
	}
	t.updateBlocked(now)
}

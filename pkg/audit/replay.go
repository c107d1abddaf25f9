package audit

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/route"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// liveBound is how old the newest batch of a run may be while the run counts as
// going on.
const liveBound = time.Minute

// Kind is what a Finding is about.
type Kind string

// The kinds of findings.
const (
	// KindMisrouted is a request that went elsewhere than the rules said.
	KindMisrouted Kind = "elsewhere"
	// KindGap is a place where records are missing or can't be trusted.
	KindGap Kind = "gap"
)

// Finding is one thing that an audit has found.
type Finding struct {
	kind    Kind
	entry   string
	request string
	message string
}

// Kind returns what the finding is about.
func (f Finding) Kind() Kind { return f.kind }

// Request returns the request, empty for a gap.
func (f Finding) Request() string { return f.request }

// String returns the finding on one line.
func (f Finding) String() string {
	if f.request == "" {
		return fmt.Sprintf("%s: entry %s: %s", f.kind, f.entry, f.message)
	}
	return fmt.Sprintf("%s: entry %s: request %s: %s", f.kind, f.entry, f.request, f.message)
}

// Report is the outcome of an audit.
type Report struct {
	findings []Finding
	requests int
	attempts int
	batches  int
}

// Findings returns what was found, empty if every request went where the rules
// said and no record is missing.
func (r *Report) Findings() []Finding { return r.findings }

// Requests returns how many requests were replayed.
func (r *Report) Requests() int { return r.requests }

// Attempts returns how many decisions were made again.
func (r *Report) Attempts() int { return r.attempts }

// Batches returns how many batches were read.
func (r *Report) Batches() int { return r.batches }

func (r *Report) add(kind Kind, entry, request, format string, args ...any) {
	r.findings = append(r.findings, Finding{kind: kind, entry: entry, request: request, message: fmt.Sprintf(format, args...)})
}

// TimeRange is the time that an audit covers.
type TimeRange struct {
	since time.Time
	until time.Time
}

// NewTimeRange returns the time from since up to and without until.
func NewTimeRange(since, until time.Time) TimeRange { return TimeRange{since: since, until: until} }

func (s TimeRange) holds(at time.Time) bool { return !at.Before(s.since) && at.Before(s.until) }

// Replay reads all batches and makes the decisions of the span again. Now tells
// which runs may still be going on.
func Replay(ctx context.Context, reader chain.Reader, span TimeRange, now time.Time) (*Report, error) {
	snapshot, err := reader.Read(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	head, err := chain.ReadHead(ctx, reader)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	versions := &versionCache{reader: reader, head: head, byNumber: make(map[uint64]*config.Version), staged: make(map[string]*config.Version)}
	for _, run := range runsOf(snapshot, report) {
		run.check(report, now)
		for _, batch := range run.batches {
			for _, wire := range batch.GetRecords() {
				record := fromWire(wire)
				if !span.holds(record.at) {
					continue
				}
				report.requests++
				if err := replayRecord(ctx, report, versions, batch.GetEntry(), record); err != nil {
					return nil, err
				}
			}
		}
	}
	return report, nil
}

// Records returns all records of the span that can be read.
func Records(ctx context.Context, reader chain.Reader, span TimeRange) ([]Record, error) {
	snapshot, err := reader.Read(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, run := range runsOf(snapshot, &Report{}) {
		for _, batch := range run.batches {
			for _, wire := range batch.GetRecords() {
				if record := fromWire(wire); span.holds(record.at) {
					records = append(records, record)
				}
			}
		}
	}
	return records, nil
}

// run is what is kept of one run of an entry, in order.
type run struct {
	entry   string
	batches []*wirepb.AuditBatch
	sums    [][]byte
}

// runsOf sorts the batches by run. Those that can't be read are gaps.
func runsOf(snapshot store.Snapshot, report *Report) []*run {
	byEntry := make(map[string]*run)
	var runs []*run
	for _, pair := range snapshot.Pairs() {
		batch, err := unpack(pair.Value())
		if err != nil {
			report.add(KindGap, pair.Key(), "", "the batch can't be read: %v", err)
			continue
		}
		report.batches++
		if pair.Key() != batchKey(batch.GetEntry(), batch.GetSequence()) {
			report.add(KindGap, batch.GetEntry(), "", "batch %d stands at the key %s", batch.GetSequence(), pair.Key())
			continue
		}
		r, ok := byEntry[batch.GetEntry()]
		if !ok {
			r = &run{entry: batch.GetEntry()}
			byEntry[batch.GetEntry()] = r
			runs = append(runs, r)
		}
		r.batches = append(r.batches, batch)
		r.sums = append(r.sums, sumOf(pair.Value()))
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.entry, b.entry) })
	return runs
}

// check finds batches that are missing, changed or out of order, and a run that
// ended without its last batch.
func (r *run) check(report *Report, now time.Time) {
	var previous []byte
	expected := uint64(0)
	for i, batch := range r.batches {
		switch {
		case batch.GetSequence() != expected:
			report.add(KindGap, r.entry, "", "batches %d to %d are missing", expected, batch.GetSequence()-1)
		case string(batch.GetPrevious()) != string(previous):
			report.add(KindGap, r.entry, "", "batch %d doesn't follow from the one before", batch.GetSequence())
		}
		if batch.GetDropped() > 0 {
			report.add(KindGap, r.entry, "", "%d records were dropped before batch %d", batch.GetDropped(), batch.GetSequence())
		}
		expected = batch.GetSequence() + 1
		previous = r.sums[i]
	}
	newest := r.batches[len(r.batches)-1]
	written := time.UnixMilli(newest.GetWrittenMs())
	if !newest.GetLast() && now.Sub(written) > liveBound {
		report.add(KindGap, r.entry, "", "the run ended without its last batch; records after %s may be missing",
			written.UTC().Format(time.RFC3339))
	}
}

// versionCache holds the versions that records name.
type versionCache struct {
	reader   chain.Reader
	head     chain.Ref
	byNumber map[uint64]*config.Version
	staged   map[string]*config.Version
}

func (c *versionCache) at(ctx context.Context, number uint64) (*config.Version, error) {
	if version, ok := c.byNumber[number]; ok {
		return version, nil
	}
	version, err := chain.VersionAt(ctx, c.reader, c.head, number)
	if err != nil {
		return nil, err
	}
	c.byNumber[number] = version
	return version, nil
}

// stagedAt returns a version that was staged, whether it was accepted or not.
func (c *versionCache) stagedAt(ctx context.Context, base *config.Version, number uint64, hash string) (*config.Version, error) {
	if version, ok := c.staged[hash]; ok {
		return version, nil
	}
	version, err := chain.Load(ctx, c.reader, chain.NewRef(0, number, hash, nil, ""), base)
	if err != nil {
		return nil, err
	}
	c.staged[hash] = version
	return version, nil
}

// candidates is how many of the endpoints in a decision's order an entry asks.
const candidates = 2

// replayRecord makes the decision of each attempt again.
func replayRecord(ctx context.Context, report *Report, versions *versionCache, entry string, record Record) error {
	var failed []string
	for _, attempt := range record.attempts {
		report.attempts++
		rules, problem, err := rulesOf(ctx, versions, attempt)
		if err != nil {
			return err
		}
		if problem != "" {
			report.add(KindMisrouted, entry, record.request, "%s", problem)
			continue
		}
		if problem := judge(rules, record, attempt, failed); problem != "" {
			report.add(KindMisrouted, entry, record.request, "%s", problem)
		}
		failed = append(failed, attempt.endpoint)
	}
	return nil
}

// rulesOf returns the rules that an attempt was made by. A version that isn't
// in the history is a problem of the record; an error means that the history
// can't be read.
func rulesOf(ctx context.Context, versions *versionCache, attempt Attempt) (route.Rules, string, error) {
	if attempt.version == 0 || attempt.version > versions.head.Number() {
		return route.Rules{}, fmt.Sprintf("there is no version %d", attempt.version), nil
	}
	head, err := versions.at(ctx, attempt.version)
	if err != nil {
		return route.Rules{}, "", err
	}
	if attempt.pending == "" {
		return route.NewRules(head, nil), "", nil
	}
	pending, err := versions.stagedAt(ctx, head, attempt.pendingNumber, attempt.pending)
	if eris.Is(err, config.ErrChainBroken) {
		return route.Rules{}, fmt.Sprintf("there was no staged version %s", attempt.pending), nil
	}
	if err != nil {
		return route.Rules{}, "", err
	}
	return route.NewRules(head, pending), "", nil
}

// judge returns what is wrong with where an attempt went.
func judge(rules route.Rules, record Record, attempt Attempt, failed []string) string {
	team, ok := rules.Config().Team(record.team)
	if !ok || !rules.MayUse(team, record.service) {
		return fmt.Sprintf("team %q may not use service %q by version %d", record.team, record.service, attempt.version)
	}
	request := route.NewRequest(record.service, record.dataCentre, route.WithSession(record.session), route.WithExcluded(failed...))
	decision := route.Decide(rules, attempt.loads, request, attempt.seed)
	order := decision.Endpoints()
	for i, endpoint := range order {
		if endpoint.Name() != attempt.endpoint {
			continue
		}
		if i < candidates {
			return ""
		}
		return fmt.Sprintf("went to %q, which is number %d by version %d", attempt.endpoint, i+1, attempt.version)
	}
	return fmt.Sprintf("went to %q, which version %d doesn't allow", attempt.endpoint, attempt.version)
}

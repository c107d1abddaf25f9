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

// maxBatchAge is the greatest age of a run's newest batch at which the run is
// taken to be still active. An older run without a last batch is a gap.
const maxBatchAge = time.Minute

// Kind is the kind of a Finding.
type Kind string

// The kinds of findings.
const (
	// KindMisrouted is a request that was sent to an endpoint that its recorded
	// inputs don't allow, or whose team or versions don't fit the history.
	KindMisrouted Kind = "elsewhere"
	// KindGap means that records are missing or have been changed.
	KindGap Kind = "gap"
)

// Finding is a problem that an audit detected.
type Finding struct {
	kind Kind
	// entry is the name of the run, or the key of a batch that can't be decoded.
	entry   string
	request string
	message string
}

// Kind returns the kind of the finding.
func (f Finding) Kind() Kind { return f.kind }

// Request returns the request's ID, empty for a gap.
func (f Finding) Request() string { return f.request }

// String returns the finding on one line.
func (f Finding) String() string {
	if f.request == "" {
		return fmt.Sprintf("%s: entry %s: %s", f.kind, f.entry, f.message)
	}
	return fmt.Sprintf("%s: entry %s: request %s: %s", f.kind, f.entry, f.request, f.message)
}

// Report is the result of an audit.
type Report struct {
	findings []Finding
	requests int
	attempts int
	batches  int
}

// Findings returns the findings, empty if the rules allow every attempt and no
// records are missing.
func (r *Report) Findings() []Finding { return r.findings }

// Requests returns how many requests were replayed.
func (r *Report) Requests() int { return r.requests }

// Attempts returns how many decisions were replayed.
func (r *Report) Attempts() int { return r.attempts }

// Batches returns how many batches were read.
func (r *Report) Batches() int { return r.batches }

func (r *Report) add(kind Kind, entry, request, format string, args ...any) {
	r.findings = append(r.findings, Finding{kind: kind, entry: entry, request: request, message: fmt.Sprintf(format, args...)})
}

// TimeRange is the range of arrival times that an audit covers.
type TimeRange struct {
	since time.Time
	until time.Time
}

// NewTimeRange returns the range from since, inclusive, to until, exclusive.
func NewTimeRange(since, until time.Time) TimeRange { return TimeRange{since: since, until: until} }

func (r TimeRange) contains(at time.Time) bool { return !at.Before(r.since) && at.Before(r.until) }

// Replay reads all batches and replays the decisions of the requests that arrived
// in the time range. Now determines which runs may still be active.
func Replay(ctx context.Context, reader chain.Reader, timeRange TimeRange, now time.Time) (*Report, error) {
	snapshot, err := reader.Read(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	head, err := chain.ReadHead(ctx, reader)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	versions := &versionCache{reader: reader, head: head, byNumber: make(map[uint64]*config.Version), staged: make(map[string]*config.Version), missing: make(map[uint64]bool)}
	for _, run := range groupByRun(snapshot, report) {
		run.verify(report, now)
		for _, batch := range run.batches {
			for _, wire := range batch.GetRecords() {
				record := fromWire(wire)
				if !timeRange.contains(record.arrivedAt) {
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

// Records returns the records of all requests that arrived in the time range, leaving
// out the batches that can't be decoded or are stored under a wrong key.
func Records(ctx context.Context, reader chain.Reader, timeRange TimeRange) ([]Record, error) {
	snapshot, err := reader.Read(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, run := range groupByRun(snapshot, &Report{}) {
		for _, batch := range run.batches {
			for _, wire := range batch.GetRecords() {
				if record := fromWire(wire); timeRange.contains(record.arrivedAt) {
					records = append(records, record)
				}
			}
		}
	}
	return records, nil
}

// run holds the batches of one run of an entry, in order, and their hashes.
type run struct {
	name    string
	batches []*wirepb.AuditBatch
	hashes  [][]byte
}

// groupByRun decodes the batches of a snapshot and groups them by run. A batch that
// can't be decoded is reported as a gap.
func groupByRun(snapshot store.Snapshot, report *Report) []*run {
	byName := make(map[string]*run)
	var runs []*run
	for _, pair := range snapshot.Pairs() {
		batch, err := decodeBatch(pair.Value())
		if err != nil {
			report.add(KindGap, pair.Key(), "", "the batch can't be read: %v", err)
			continue
		}
		report.batches++
		if pair.Key() != batchKey(batch.GetEntry(), batch.GetSequence()) {
			report.add(KindGap, batch.GetEntry(), "", "batch %d is stored under the key %s", batch.GetSequence(), pair.Key())
			continue
		}
		r, ok := byName[batch.GetEntry()]
		if !ok {
			r = &run{name: batch.GetEntry()}
			byName[batch.GetEntry()] = r
			runs = append(runs, r)
		}
		r.batches = append(r.batches, batch)
		r.hashes = append(r.hashes, hashOf(pair.Value()))
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.name, b.name) })
	return runs
}

// verify reports batches that are missing, changed or out of order, and a run that
// ended without its last batch.
func (r *run) verify(report *Report, now time.Time) {
	var previous []byte
	expected := uint64(0)
	for i, batch := range r.batches {
		switch {
		case batch.GetSequence() != expected:
			report.add(KindGap, r.name, "", "batches %d to %d are missing", expected, batch.GetSequence()-1)
		case string(batch.GetPrevious()) != string(previous):
			report.add(KindGap, r.name, "", "batch %d doesn't follow from the one before", batch.GetSequence())
		}
		if batch.GetDropped() > 0 {
			report.add(KindGap, r.name, "", "%d records were dropped before batch %d", batch.GetDropped(), batch.GetSequence())
		}
		expected = batch.GetSequence() + 1
		previous = r.hashes[i]
	}
	newest := r.batches[len(r.batches)-1]
	written := time.UnixMilli(newest.GetWrittenMs())
	if !newest.GetLast() && now.Sub(written) > maxBatchAge {
		report.add(KindGap, r.name, "", "the run ended without its last batch; records after %s may be missing",
			written.UTC().Format(time.RFC3339))
	}
}

// versionCache caches the versions that records refer to.
type versionCache struct {
	reader   chain.Reader
	head     chain.Ref
	byNumber map[uint64]*config.Version
	staged   map[string]*config.Version
	// missing has the versions that the service has lost.
	missing map[uint64]bool
}

// errVersionLost is returned for a version in the history that can't be loaded.
var errVersionLost = eris.New("the version is missing from the history")

func (c *versionCache) at(ctx context.Context, number uint64) (*config.Version, error) {
	if version, ok := c.byNumber[number]; ok {
		return version, nil
	}
	if c.missing[number] {
		return nil, errVersionLost
	}
	version, err := chain.VersionAt(ctx, c.reader, c.head, number)
	if eris.Is(err, config.ErrChainBroken) {
		return nil, eris.Wrap(errVersionLost, err.Error())
	}
	if err != nil {
		return nil, err
	}
	c.byNumber[number] = version
	return version, nil
}

// stagedAt returns a version that was staged, whether or not it came into force.
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

// candidates is how many endpoints, from the start of a decision's order, an entry
// asks for a credit.
const candidates = 2

// replayRecord replays the decision of each attempt of a record.
func replayRecord(ctx context.Context, report *Report, versions *versionCache, entry string, record Record) error {
	var failed []string
	for _, attempt := range record.attempts {
		report.attempts++
		rules, problem, err := rulesFor(ctx, versions, attempt)
		if eris.Is(err, errVersionLost) {
			if !versions.missing[attempt.version] {
				versions.missing[attempt.version] = true
				report.add(KindGap, entry, "", "version %d is missing from the history; the requests under it can't be replayed", attempt.version)
			}
			failed = append(failed, attempt.endpoint)
			continue
		}
		if err != nil {
			return err
		}
		if problem != "" {
			report.add(KindMisrouted, entry, record.requestID, "%s", problem)
			continue
		}
		if problem := verifyAttempt(rules, record, attempt, failed); problem != "" {
			report.add(KindMisrouted, entry, record.requestID, "%s", problem)
		}
		failed = append(failed, attempt.endpoint)
	}
	return nil
}

// rulesFor returns the rules that an attempt was decided by. If its version isn't in
// the history, rulesFor returns a description of the problem; an error means that
// the history can't be read.
func rulesFor(ctx context.Context, versions *versionCache, attempt Attempt) (route.Rules, string, error) {
	if attempt.version == 0 || attempt.version > versions.head.Number() {
		return route.Rules{}, fmt.Sprintf("there is no version %d", attempt.version), nil
	}
	head, err := versions.at(ctx, attempt.version)
	if err != nil {
		return route.Rules{}, "", err
	}
	if attempt.pendingHash == "" {
		return route.NewRules(head, nil), "", nil
	}
	pending, err := versions.stagedAt(ctx, head, attempt.pendingNumber, attempt.pendingHash)
	if eris.Is(err, config.ErrChainBroken) {
		return route.Rules{}, fmt.Sprintf("there was no staged version %s", attempt.pendingHash), nil
	}
	if err != nil {
		return route.Rules{}, "", err
	}
	return route.NewRules(head, pending), "", nil
}

// verifyAttempt decides again where an attempt may be sent. It describes what is
// wrong with the recorded endpoint, and returns an empty string if nothing is.
func verifyAttempt(rules route.Rules, record Record, attempt Attempt, failed []string) string {
	team, ok := rules.Config().Team(record.team)
	if !ok || !rules.MayUse(team, record.service) {
		return fmt.Sprintf("team %q may not use service %q under version %d", record.team, record.service, attempt.version)
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
		return fmt.Sprintf("went to %q, which is number %d in the order under version %d", attempt.endpoint, i+1, attempt.version)
	}
	return fmt.Sprintf("went to %q, which version %d doesn't allow", attempt.endpoint, attempt.version)
}

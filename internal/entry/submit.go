package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/diag"
	"github.com/lentilstand/lentilstand/pkg/quorum"
)

// submitBound is how long a submission may take in all.
const submitBound = 30 * time.Second

// The results of a submission.
const (
	ResultAccepted = "accepted"
	ResultRejected = "rejected"
	ResultConflict = "conflict"
	ResultUnknown  = "unknown"
	ResultPassed   = "passed"
)

// PatchResult is what became of a submitted patch.
type PatchResult struct {
	Result   string       `json:"result"`
	Version  uint64       `json:"version,omitempty"`
	Hash     string       `json:"hash,omitempty"`
	Findings []string     `json:"findings,omitempty"`
	Changed  []Difference `json:"changed,omitempty"`
	Message  string       `json:"message,omitempty"`
	Settle   string       `json:"settle,omitempty"`
}

// Difference is an object that has changed since a patch's base.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// DiffConfigs returns the differences of two configurations in the shape in
// which operators see them.
func DiffConfigs(before, after *config.Config) []Difference {
	var differences []Difference
	for _, d := range config.Diff(before, after) {
		differences = append(differences, Difference{
			Kind:   d.Kind(),
			Name:   d.Name(),
			Before: d.Before(),
			After:  d.After(),
		})
	}
	return differences
}

// order is a patch as an operator has sent it.
type order struct {
	patch         *config.Patch
	allowUnserved bool
}

func readOrder(exchange *webio.Exchange) (order, *PatchResult) {
	query := exchange.Request().URL.Query()
	var options []config.PatchOption
	if base := query.Get("base"); base != "" {
		number, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			return order{}, &PatchResult{Result: ResultRejected, Findings: []string{"the base must be a version number"}}
		}
		options = append(options, config.WithBase(number))
	}
	file := query.Get("file")
	if file == "" {
		file = "patch"
	}
	patch, err := config.ParsePatch(file, exchange.Body(), options...)
	if err != nil {
		return order{}, rejectedBy(err)
	}
	return order{patch: patch, allowUnserved: query.Get("allow_unserved") == "true"}, nil
}

func rejectedBy(err error) *PatchResult {
	rejected := &PatchResult{Result: ResultRejected}
	var findings *diag.Error
	if eris.As(err, &findings) {
		for _, finding := range findings.Findings() {
			rejected.Findings = append(rejected.Findings, finding.String())
		}
		return rejected
	}
	rejected.Findings = []string{err.Error()}
	return rejected
}

// submitPatch answers POST /patches.
func (e *Entry) submitPatch(exchange *webio.Exchange) {
	e.answerOrder(exchange, e.acceptor.submit)
}

// checkPatch answers POST /patches/check.
func (e *Entry) checkPatch(exchange *webio.Exchange) {
	e.answerOrder(exchange, e.acceptor.check)
}

func (e *Entry) answerOrder(exchange *webio.Exchange, carryOut func(context.Context, order) *PatchResult) {
	if len(exchange.Body()) == 0 {
		apierr.New(http.StatusBadRequest, "empty_patch", "the body must be a patch").Reply(exchange)
		return
	}
	given, rejected := readOrder(exchange)
	if rejected != nil {
		admin.ReplyJSON(exchange, http.StatusUnprocessableEntity, rejected)
		return
	}
	// The submission goes on if the operator hangs up.
	ctx, cancel := context.WithTimeout(context.Background(), submitBound)
	defer cancel()
	result := carryOut(ctx, given)
	admin.ReplyJSON(exchange, statusOf(result), result)
}

func statusOf(submission *PatchResult) int {
	switch submission.Result {
	case ResultAccepted, ResultPassed:
		return http.StatusOK
	case ResultConflict:
		return http.StatusConflict
	case ResultUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusUnprocessableEntity
	}
}

// prepared is a version that an order makes of the one in force.
type prepared struct {
	view quorum.View
	last chain.Ref
	next *config.Version
}

// prepare reads the marks, waits until nothing is staged, and makes the next
// version. What it returns as a Submission ends the order.
func (a *acceptor) prepare(ctx context.Context, given order) (prepared, *PatchResult) {
	view, last, err := a.quietMarks(ctx)
	if err != nil {
		return prepared{}, &PatchResult{Result: ResultRejected, Message: "nothing was changed", Findings: []string{err.Error()}}
	}
	head, err := chain.Load(ctx, a.kv, view.Head(), a.knownHead())
	if err != nil {
		return prepared{}, &PatchResult{Result: ResultRejected, Message: "nothing was changed", Findings: []string{err.Error()}}
	}
	if given.patch.Base() != head.Number() {
		return prepared{}, a.conflict(ctx, given.patch.Base(), view.Head(), head)
	}
	next, err := head.ApplyPatch(given.patch, time.Now())
	if err != nil {
		return prepared{}, rejectedBy(err)
	}
	if findings := newlyUnserved(head.Config(), next.Config()); len(findings) > 0 && !given.allowUnserved {
		return prepared{}, &PatchResult{
			Result:   ResultRejected,
			Findings: findings,
			Message:  "submit with --allow-unserved if this is meant",
		}
	}
	return prepared{view: view, last: last, next: next}, nil
}

// newlyUnserved returns the findings about services that the change leaves
// without endpoints.
func newlyUnserved(before, after *config.Config) []string {
	known := make(map[string]bool)
	for _, message := range before.UnservedServices() {
		known[message] = true
	}
	var findings []string
	for _, message := range after.UnservedServices() {
		if !known[message] {
			findings = append(findings, message)
		}
	}
	return findings
}

func (a *acceptor) knownHead() *config.Version {
	a.follower.mu.Lock()
	defer a.follower.mu.Unlock()
	return a.follower.head
}

// quietMarks reads the marks, and waits for the decision if one is staged.
func (a *acceptor) quietMarks(ctx context.Context) (quorum.View, chain.Ref, error) {
	for {
		view, last, err := a.marks(ctx)
		if err != nil || !view.HasPending() {
			return view, last, err
		}
		if ctx.Err() != nil {
			return view, last, eris.Errorf("version %d is staged and not decided yet", view.Pending().Number())
		}
		pauseUnless(ctx, settlePause)
	}
}

// conflict tells what has changed since the base of a patch.
func (a *acceptor) conflict(ctx context.Context, base uint64, mark chain.Ref, head *config.Version) *PatchResult {
	result := &PatchResult{
		Result:  ResultConflict,
		Version: head.Number(),
		Message: "the patch is based on version " + strconv.FormatUint(base, 10) + ", but version " +
			strconv.FormatUint(head.Number(), 10) + " is in force",
	}
	before, err := chain.VersionAt(ctx, a.kv, mark, base)
	if err == nil {
		result.Changed = DiffConfigs(before.Config(), head.Config())
	}
	return result
}

// check tells what submitting a patch would find, without changing anything.
func (a *acceptor) check(ctx context.Context, given order) *PatchResult {
	ready, ending := a.prepare(ctx, given)
	if ending != nil {
		return ending
	}
	return &PatchResult{Result: ResultPassed, Version: ready.next.Number()}
}

// submit brings a patch into force everywhere or rejects it. Where another
// change was staged at the same time, such as one of the voters, it tries again;
// if that change was a patch, the base isn't in force any more.
func (a *acceptor) submit(ctx context.Context, given order) *PatchResult {
	for {
		ready, ending := a.prepare(ctx, given)
		if ending != nil {
			return ending
		}
		err := a.bring(ctx, ready)
		if eris.Is(err, errLostRace) && ctx.Err() == nil {
			continue
		}
		return outcome(ready.next, err)
	}
}

// bring writes a version, stages it and brings it to a decision.
func (a *acceptor) bring(ctx context.Context, ready prepared) error {
	if err := a.writeVersion(ctx, ready.next); err != nil {
		return err
	}
	view, err := a.stage(ctx, ready.view, ready.last, ready.next, ready.view.Head().Voters())
	if err != nil {
		return err
	}
	return a.decide(ctx, view, time.Now())
}

// outcome turns the end of an acceptance into what the operator is told.
func outcome(next *config.Version, err error) *PatchResult {
	switch {
	case err == nil:
		return &PatchResult{Result: ResultAccepted, Version: next.Number(), Hash: next.Hash()}
	case eris.Is(err, errUnsettled):
		return &PatchResult{
			Result:  ResultUnknown,
			Version: next.Number(),
			Hash:    next.Hash(),
			Message: err.Error(),
			Settle:  "lentilstand patch settle " + strconv.FormatUint(next.Number(), 10) + " " + next.Hash(),
		}
	default:
		return &PatchResult{
			Result:   ResultRejected,
			Message:  "the version was not put in force",
			Findings: []string{strings.TrimSpace(err.Error())},
		}
	}
}

// writeVersion writes a version's record and tries again where an answer was
// lost, which is safe since its keys never change.
func (a *acceptor) writeVersion(ctx context.Context, version *config.Version) error {
	const tries = 3
	var err error
	for range tries {
		if err = chain.WriteVersion(ctx, a.kv, version); err == nil {
			return nil
		}
		pauseUnless(ctx, settlePause)
	}
	return err
}

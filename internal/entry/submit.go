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

// submitTimeout bounds the handling of a submitted patch.
const submitTimeout = 30 * time.Second

// The values of PatchResult.Result.
const (
	ResultAccepted = "accepted"
	ResultRejected = "rejected"
	ResultConflict = "conflict"
	ResultUnknown  = "unknown"
	ResultPassed   = "passed"
)

// PatchResult is the response to a submitted or checked patch.
type PatchResult struct {
	Result   string       `json:"result"`
	Version  uint64       `json:"version,omitempty"`
	Hash     string       `json:"hash,omitempty"`
	Findings []string     `json:"findings,omitempty"`
	Changed  []Difference `json:"changed,omitempty"`
	Message  string       `json:"message,omitempty"`
	Settle   string       `json:"settle,omitempty"`
}

// Difference describes an object that differs between two configurations.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// DiffConfigs returns the differences between two configurations in the form that
// is reported to operators.
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

// patchRequest is a patch sent by an operator.
type patchRequest struct {
	patch         *config.Patch
	allowUnserved bool
}

func parsePatchRequest(exchange *webio.Exchange) (patchRequest, *PatchResult) {
	query := exchange.Request().URL.Query()
	var options []config.PatchOption
	if base := query.Get("base"); base != "" {
		number, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			return patchRequest{}, &PatchResult{Result: ResultRejected, Findings: []string{"the base must be a version number"}}
		}
		options = append(options, config.WithBase(number))
	}
	file := query.Get("file")
	if file == "" {
		file = "patch"
	}
	patch, err := config.ParsePatch(file, exchange.Body(), options...)
	if err != nil {
		return patchRequest{}, rejection(err)
	}
	return patchRequest{patch: patch, allowUnserved: query.Get("allow_unserved") == "true"}, nil
}

func rejection(err error) *PatchResult {
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

// submitPatch handles POST /patches.
func (e *Entry) submitPatch(exchange *webio.Exchange) {
	e.servePatch(exchange, e.coordinator.submit)
}

// checkPatch handles POST /patches/check.
func (e *Entry) checkPatch(exchange *webio.Exchange) {
	e.servePatch(exchange, e.coordinator.check)
}

func (e *Entry) servePatch(exchange *webio.Exchange, handle func(context.Context, patchRequest) *PatchResult) {
	if len(exchange.Body()) == 0 {
		apierr.New(http.StatusBadRequest, "empty_patch", "the body must be a patch").Reply(exchange)
		return
	}
	request, rejected := parsePatchRequest(exchange)
	if rejected != nil {
		admin.ReplyJSON(exchange, http.StatusUnprocessableEntity, rejected)
		return
	}
	// The patch is processed to the end even if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	result := handle(ctx, request)
	admin.ReplyJSON(exchange, httpStatus(result), result)
}

func httpStatus(result *PatchResult) int {
	switch result.Result {
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

// preparedVersion is the version that results from applying a patch, and the refs
// it is based on.
type preparedVersion struct {
	view        quorum.View
	lastPending chain.Ref
	next        *config.Version
}

// prepare waits until no version is pending and applies the patch to the current
// version. A non-nil PatchResult is the final response.
func (c *coordinator) prepare(ctx context.Context, request patchRequest) (preparedVersion, *PatchResult) {
	view, lastPending, err := c.awaitNoPending(ctx)
	if err != nil {
		return preparedVersion{}, &PatchResult{Result: ResultRejected, Message: "nothing was changed", Findings: []string{err.Error()}}
	}
	head, err := chain.Load(ctx, c.kv, view.Head(), c.knownHead())
	if err != nil {
		return preparedVersion{}, &PatchResult{Result: ResultRejected, Message: "nothing was changed", Findings: []string{err.Error()}}
	}
	if request.patch.Base() != head.Number() {
		return preparedVersion{}, c.conflictResult(ctx, request.patch.Base(), view.Head(), head)
	}
	next, err := head.ApplyPatch(request.patch, time.Now())
	if err != nil {
		return preparedVersion{}, rejection(err)
	}
	if findings := newlyUnserved(head.Config(), next.Config()); len(findings) > 0 && !request.allowUnserved {
		return preparedVersion{}, &PatchResult{
			Result:   ResultRejected,
			Findings: findings,
			Message:  "submit with --allow-unserved if this is meant",
		}
	}
	return preparedVersion{view: view, lastPending: lastPending, next: next}, nil
}

// newlyUnserved returns findings for the services that have no endpoint after the
// change, except for those that had none before.
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

func (c *coordinator) knownHead() *config.Version {
	c.follower.mu.Lock()
	defer c.follower.mu.Unlock()
	return c.follower.head
}

// awaitNoPending waits until no version is pending and the store has what the entries know,
// and returns the refs.
func (c *coordinator) awaitNoPending(ctx context.Context) (quorum.View, chain.Ref, error) {
	for {
		view, lastPending, err := c.readRefs(ctx)
		isOlder := eris.Is(err, errOlderRefs)
		if !isOlder && (err != nil || !view.HasPending()) {
			return view, lastPending, err
		}
		if ctx.Err() != nil && isOlder {
			return view, lastPending, err
		}
		if ctx.Err() != nil {
			return view, lastPending, eris.Errorf("version %d is staged and still undecided", view.Pending().Number())
		}
		sleep(ctx, retryInterval)
	}
}

// conflictResult returns the response for a patch whose base is not the current
// version, with the differences between the two.
func (c *coordinator) conflictResult(ctx context.Context, base uint64, ref chain.Ref, head *config.Version) *PatchResult {
	result := &PatchResult{
		Result:  ResultConflict,
		Version: head.Number(),
		Message: "the patch is based on version " + strconv.FormatUint(base, 10) + ", but version " +
			strconv.FormatUint(head.Number(), 10) + " is in force",
	}
	before, err := chain.VersionAt(ctx, c.kv, ref, base)
	if err == nil {
		result.Changed = DiffConfigs(before.Config(), head.Config())
	}
	return result
}

// check validates a patch without applying it.
func (c *coordinator) check(ctx context.Context, request patchRequest) *PatchResult {
	prepared, failed := c.prepare(ctx, request)
	if failed != nil {
		return failed
	}
	return &PatchResult{Result: ResultPassed, Version: prepared.next.Number()}
}

// submit commits a patch on all entries or rejects it. If another change was staged
// concurrently, it tries again. That succeeds after a change of voters; after another
// patch, the base is no longer current and the result is a conflict.
func (c *coordinator) submit(ctx context.Context, request patchRequest) *PatchResult {
	for {
		prepared, failed := c.prepare(ctx, request)
		if failed != nil {
			return failed
		}
		err := c.commit(ctx, prepared)
		if eris.Is(err, errConcurrentChange) && ctx.Err() == nil {
			continue
		}
		return patchResult(prepared.next, err)
	}
}

// commit writes a version, stages it and runs its round.
func (c *coordinator) commit(ctx context.Context, prepared preparedVersion) error {
	if err := c.writeVersion(ctx, prepared.next); err != nil {
		return err
	}
	view, err := c.stage(ctx, prepared.view, prepared.lastPending, prepared.next, prepared.view.Head().Voters())
	if err != nil {
		return err
	}
	return c.runRound(ctx, view, time.Now())
}

// patchResult returns the response for the outcome of a commit.
func patchResult(next *config.Version, err error) *PatchResult {
	switch {
	case err == nil:
		return &PatchResult{Result: ResultAccepted, Version: next.Number(), Hash: next.Hash()}
	case eris.Is(err, errUndecided):
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

// writeVersion writes a version's record. Retrying after a lost response is safe
// because the keys of a version are immutable.
func (c *coordinator) writeVersion(ctx context.Context, version *config.Version) error {
	const maxTries = 3
	var err error
	for range maxTries {
		if err = chain.WriteVersion(ctx, c.kv, version); err == nil {
			return nil
		}
		sleep(ctx, retryInterval)
	}
	return err
}

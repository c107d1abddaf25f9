package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/quorum"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// Timing of the commit protocol.
const (
	// roundTimeout is how long a staged version waits for a majority of the
	// voters before it is aborted.
	roundTimeout = 10 * time.Second
	// roundPollInterval is how often a round checks whether it can be decided.
	roundPollInterval = 20 * time.Millisecond
	// resolveTimeout bounds the search for the outcome of a write whose response
	// was lost.
	resolveTimeout = 10 * time.Second
	// retryInterval is the pause between two reads or write attempts.
	retryInterval = 200 * time.Millisecond
	// takeoverDelay is how long a version may stay pending before another entry
	// takes over its round. Each voter waits takeoverRankDelay longer than the
	// one before it in the list.
	takeoverDelay     = 12 * time.Second
	takeoverRankDelay = 2 * time.Second
)

// Errors of a commit.
var (
	// errConcurrentChange reports that another version was staged or decided
	// in the meantime.
	errConcurrentChange = eris.New("another change was staged concurrently")
	// errNoMajority reports that fewer than a majority of the voters
	// acknowledged the version.
	errNoMajority = eris.New("no majority of the entries acknowledged the version")
	// errUndecided reports that the outcome of the round is unknown.
	errUndecided = eris.New("it is unknown whether the version is in force")
	// errOlderRefs reports that the key-value store shows older refs than this entry
	// knows. They are no base for a change.
	errOlderRefs = eris.New("the store shows an older version than the entries know")
)

// coordinator stages versions and commits or aborts them. It writes the head and
// pending refs in the key-value store.
type coordinator struct {
	follower *follower
	kv       chain.Writer
	name     string
	logger   *zap.Logger

	mu           sync.Mutex
	deciding     bool
	pendingSince time.Time
	pendingTerm  uint64
}

func newCoordinator(f *follower, kv chain.Writer, name string, logger *zap.Logger) *coordinator {
	return &coordinator{follower: f, kv: kv, name: name, logger: logger}
}

// readRefs reads the head and pending refs from the key-value store. It fails with
// errOlderRefs if they are older than those that the entry knows.
func (c *coordinator) readRefs(ctx context.Context) (quorum.View, chain.Ref, error) {
	snapshot, err := c.kv.Read(ctx, chain.HeadKey, chain.PendingKey)
	if err != nil {
		return quorum.View{}, chain.Ref{}, err
	}
	head, err := chain.RefIn(snapshot, chain.HeadKey)
	if err != nil {
		return quorum.View{}, chain.Ref{}, err
	}
	pending, err := chain.RefIn(snapshot, chain.PendingKey)
	if err != nil {
		return quorum.View{}, chain.Ref{}, err
	}
	if head.Number() == 0 {
		return quorum.View{}, chain.Ref{}, chain.ErrNoVersion
	}
	view := quorum.NewView(head, pending)
	if c.follower.knowsNewer(view) {
		return quorum.View{}, chain.Ref{}, errOlderRefs
	}
	return view, pending, nil
}

// stage writes the pending ref for a version and its voters. View and lastPending
// are the refs as last read; the write fails if the pending ref has changed since.
// It returns the view that includes the new ref.
func (c *coordinator) stage(ctx context.Context, view quorum.View, lastPending chain.Ref, version *config.Version, voters []string) (quorum.View, error) {
	term := max(view.Head().Term(), lastPending.Term()) + 1
	ref := chain.NewRef(term, version.Number(), version.Hash(), voters, c.name)
	_, err := c.kv.Put(ctx, chain.PendingKey, ref.Encode(), lastPending.Revision(), 0)
	if eris.Is(err, store.ErrConflict) {
		return quorum.View{}, errConcurrentChange
	}
	if err == nil {
		return quorum.NewView(view.Head(), ref), nil
	}
	if eris.Is(err, store.ErrUnavailable) {
		return quorum.View{}, err
	}
	return c.confirmStaged(ctx, ref)
}

// confirmStaged determines whether a ref was staged after its write returned no
// definite result.
func (c *coordinator) confirmStaged(ctx context.Context, ref chain.Ref) (quorum.View, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		view, lastPending, err := c.readRefs(ctx)
		switch {
		case err != nil:
		case sameRef(lastPending, ref):
			return view, nil
		case lastPending.Term() >= ref.Term() || view.Head().Term() >= ref.Term():
			return quorum.View{}, errConcurrentChange
		}
		sleep(ctx, retryInterval)
	}
	return quorum.View{}, errUndecided
}

func sameRef(a, b chain.Ref) bool {
	return a.Term() == b.Term() && a.Hash() == b.Hash() && a.By() == b.By() && slices.Equal(a.Voters(), b.Voters())
}

// runRound waits until the pending ref can be committed or must be aborted, and
// writes the decision. It returns nil if the version is committed.
func (c *coordinator) runRound(ctx context.Context, view quorum.View, written time.Time) error {
	c.setDeciding(true)
	defer c.setDeciding(false)
	round := quorum.NewRound(quorum.DefaultTiming(), view, written, roundTimeout)
	wake(c.follower.pollNow)
	ticker := time.NewTicker(roundPollInterval)
	defer ticker.Stop()
	for {
		if c.isDecided(round) {
			return c.readOutcome(ctx, round)
		}
		switch c.decideRound(round) {
		case quorum.DecisionCommit:
			return c.writeHead(ctx, round, round.CommitRef())
		case quorum.DecisionAbort:
			// Once the abort is written, nobody holds the pending ref any more.
			missing := c.unacknowledged(round)
			if err := c.writeHead(ctx, round, round.AbortRef()); err != nil {
				return err
			}
			return eris.Wrapf(errNoMajority, "no acknowledgement from %v", missing)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errUndecided
		}
	}
}

// isDecided reports whether the entry knows a head of the round's term or a later one.
func (c *coordinator) isDecided(round *quorum.Round) bool {
	c.follower.mu.Lock()
	defer c.follower.mu.Unlock()
	return c.follower.node.View().Head().Term() >= round.Pending().Term()
}

// readOutcome reads the outcome of a round that another entry has decided. It returns nil if
// the version is committed.
func (c *coordinator) readOutcome(ctx context.Context, round *quorum.Round) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		view, _, err := c.readRefs(ctx)
		if err == nil && view.Head().Term() >= round.Pending().Term() {
			return checkDecided(view.Head(), round.CommitRef())
		}
		sleep(ctx, retryInterval)
	}
	return errUndecided
}

// decideRound evaluates the round against the acknowledgements received so far.
func (c *coordinator) decideRound(round *quorum.Round) quorum.Decision {
	c.follower.mu.Lock()
	defer c.follower.mu.Unlock()
	return round.Decide(c.follower.node, time.Now())
}

// unacknowledged returns the voters that have not acknowledged the pending ref.
func (c *coordinator) unacknowledged(round *quorum.Round) []string {
	c.follower.mu.Lock()
	defer c.follower.mu.Unlock()
	return round.Unacknowledged(c.follower.node)
}

func (c *coordinator) setDeciding(deciding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deciding = deciding
}

func (c *coordinator) isDeciding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deciding
}

// writeHead makes ref the head. If the write conflicts or its result is lost, it
// reads the head back to determine the outcome.
//
// The refs are read again first, since a store that recovers from a copy gives out revisions
// again: the head is written over that of the round only, and beside the staged ref. If the
// store has lost that, the followers write it again.
func (c *coordinator) writeHead(ctx context.Context, round *quorum.Round, ref chain.Ref) error {
	writeCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for writeCtx.Err() == nil {
		view, lastPending, err := c.readRefs(writeCtx)
		switch {
		case err != nil:
		case view.Head().Term() >= round.Pending().Term():
			return checkDecided(view.Head(), ref)
		case view.Head().Term() == round.Head().Term() && sameRef(lastPending, round.Pending()):
			if _, err = c.kv.Put(writeCtx, chain.HeadKey, ref.Encode(), view.Head().Revision(), 0); err == nil {
				wake(c.follower.pollNow)
				return nil
			}
		}
		sleep(writeCtx, retryInterval)
	}
	return errUndecided
}

// checkDecided returns nil if head is equivalent to ref, and
// errConcurrentChange otherwise.
func checkDecided(head, ref chain.Ref) error {
	if head.Term() == ref.Term() && head.Hash() == ref.Hash() {
		return nil
	}
	return errConcurrentChange
}

// takeOverStalled completes rounds that are left pending, for example because the
// entry that staged the version has died. It runs until ctx is done.
func (c *coordinator) takeOverStalled(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Second)
		if c.shouldTakeOver(time.Now()) {
			c.takeOver(ctx)
		}
	}
}

// shouldTakeOver reports whether a version has been pending long enough that this
// entry, by its rank among the voters, should complete the round.
func (c *coordinator) shouldTakeOver(now time.Time) bool {
	c.follower.mu.Lock()
	pending := c.follower.node.View().Pending()
	rank := max(0, slices.Index(pending.Voters(), c.follower.node.Self()))
	c.follower.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending.Term() != c.pendingTerm {
		c.pendingTerm = pending.Term()
		c.pendingSince = now
	}
	delay := takeoverDelay + time.Duration(rank)*takeoverRankDelay
	return pending.Term() > 0 && !c.deciding && now.Sub(c.pendingSince) > delay
}

func (c *coordinator) takeOver(ctx context.Context) {
	view, _, err := c.readRefs(ctx)
	if err != nil || !view.HasPending() {
		return
	}
	if err := c.runRound(ctx, view, time.Now()); err != nil {
		c.logger.Debug("taking over a staged version failed", event.Error(err))
	}
}

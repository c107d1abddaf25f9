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

// How a staged version is brought to a decision.
const (
	// roundBound is how long a staged version waits for a majority.
	roundBound = 10 * time.Second
	// roundPoll is how often a round looks whether it can be decided.
	roundPoll = 20 * time.Millisecond
	// settleBound is how long a decision whose answer was lost is looked for.
	settleBound = 10 * time.Second
	// settlePause is the pause between two looks.
	settlePause = 200 * time.Millisecond
	// helpAfter is how long a staged version may stand before another entry
	// takes its round over, and helpStep what each rank adds.
	helpAfter = 12 * time.Second
	helpStep  = 2 * time.Second
)

// Errors of an acceptance.
var (
	// errLostRace says that another version was staged or decided meanwhile.
	errLostRace = eris.New("another change was staged at the same time")
	// errNoMajority says that too few entries could be told of the version.
	errNoMajority = eris.New("no majority of the entries could be told of the version")
	// errUnsettled says that it isn't known what became of the version.
	errUnsettled = eris.New("it isn't known whether the version is in force")
)

// acceptor stages versions and brings them into force.
type acceptor struct {
	follower *follower
	kv       chain.Writer
	name     string
	logger   *zap.Logger

	mu        sync.Mutex
	busy      bool
	stagedAt  time.Time
	stagedFor uint64
}

func newAcceptor(f *follower, kv chain.Writer, name string, logger *zap.Logger) *acceptor {
	return &acceptor{follower: f, kv: kv, name: name, logger: logger}
}

// marks reads both marks from the service.
func (a *acceptor) marks(ctx context.Context) (quorum.View, chain.Ref, error) {
	snapshot, err := a.kv.Read(ctx, chain.HeadKey, chain.PendingKey)
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
	return quorum.NewView(head, pending), pending, nil
}

// stage writes the pending mark that names a version and its voters. The marks
// are those that were read before. It returns the view with the mark in it.
func (a *acceptor) stage(ctx context.Context, view quorum.View, last chain.Ref, version *config.Version, voters []string) (quorum.View, error) {
	term := max(view.Head().Term(), last.Term()) + 1
	mark := chain.NewRef(term, version.Number(), version.Hash(), voters, a.name)
	_, err := a.kv.Put(ctx, chain.PendingKey, mark.Encode(), last.Revision(), 0)
	if eris.Is(err, store.ErrConflict) {
		return quorum.View{}, errLostRace
	}
	if err == nil {
		return quorum.NewView(view.Head(), mark), nil
	}
	if eris.Is(err, store.ErrUnavailable) {
		return quorum.View{}, err
	}
	return a.findStaged(ctx, mark)
}

// findStaged looks whether a mark whose writing had no answer has been staged.
func (a *acceptor) findStaged(ctx context.Context, mark chain.Ref) (quorum.View, error) {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	for ctx.Err() == nil {
		view, last, err := a.marks(ctx)
		switch {
		case err != nil:
		case sameMark(last, mark):
			return view, nil
		case last.Term() >= mark.Term() || view.Head().Term() >= mark.Term():
			return quorum.View{}, errLostRace
		}
		pauseUnless(ctx, settlePause)
	}
	return quorum.View{}, errUnsettled
}

func sameMark(a, b chain.Ref) bool {
	return a.Term() == b.Term() && a.Hash() == b.Hash() && a.By() == b.By() && slices.Equal(a.Voters(), b.Voters())
}

// decide watches over a staged mark until it is in force or given up. It
// returns nil if it is in force.
func (a *acceptor) decide(ctx context.Context, view quorum.View, written time.Time) error {
	a.setBusy(true)
	defer a.setBusy(false)
	round := quorum.NewRound(quorum.DefaultTiming(), view, written, roundBound)
	kick(a.follower.askNow)
	ticker := time.NewTicker(roundPoll)
	defer ticker.Stop()
	for {
		switch a.judge(round) {
		case quorum.DecisionCommit:
			return a.write(ctx, round, round.CommitMark())
		case quorum.DecisionAbort:
			if err := a.write(ctx, round, round.AbortMark()); err != nil {
				return err
			}
			return eris.Wrapf(errNoMajority, "no word from %v", a.missing(round))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errUnsettled
		}
	}
}

// judge asks the round what to do. The round also ends when somebody else has
// decided it, which write finds out.
func (a *acceptor) judge(round *quorum.Round) quorum.Decision {
	a.follower.mu.Lock()
	defer a.follower.mu.Unlock()
	if a.follower.node.View().Head().Term() >= round.Pending().Term() {
		return quorum.DecisionCommit
	}
	return round.Decide(a.follower.node, time.Now())
}

// missing returns the voters that couldn't be told.
func (a *acceptor) missing(round *quorum.Round) []string {
	a.follower.mu.Lock()
	defer a.follower.mu.Unlock()
	return round.Unacknowledged(a.follower.node)
}

func (a *acceptor) setBusy(busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy = busy
}

func (a *acceptor) isBusy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy
}

// write makes mark the head, and finds out what is in force where another
// process was faster or the answer was lost.
func (a *acceptor) write(ctx context.Context, round *quorum.Round, mark chain.Ref) error {
	deadline, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	for deadline.Err() == nil {
		_, err := a.kv.Put(deadline, chain.HeadKey, mark.Encode(), round.Head().Revision(), 0)
		if err == nil {
			kick(a.follower.askNow)
			return nil
		}
		if !eris.Is(err, store.ErrUnavailable) {
			view, _, readErr := a.marks(deadline)
			if readErr == nil && view.Head().Term() >= round.Pending().Term() {
				return decidedAs(view.Head(), mark)
			}
		}
		pauseUnless(deadline, settlePause)
	}
	return errUnsettled
}

// decidedAs returns nil if the head is what the mark would have made it.
func decidedAs(head, mark chain.Ref) error {
	if head.Term() == mark.Term() && head.Hash() == mark.Hash() {
		return nil
	}
	return errLostRace
}

// run takes over staged versions that nobody brings to a decision, since the
// entry that began has died.
func (a *acceptor) run(ctx context.Context) {
	for ctx.Err() == nil {
		pauseUnless(ctx, time.Second)
		if a.shouldHelp(time.Now()) {
			a.help(ctx)
		}
	}
}

// shouldHelp reports whether a staged version has stood for so long that it is
// this entry's turn to decide it.
func (a *acceptor) shouldHelp(now time.Time) bool {
	a.follower.mu.Lock()
	pending := a.follower.node.View().Pending()
	rank := max(0, slices.Index(pending.Voters(), a.follower.node.Self()))
	a.follower.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if pending.Term() != a.stagedFor {
		a.stagedFor = pending.Term()
		a.stagedAt = now
	}
	patience := helpAfter + time.Duration(rank)*helpStep
	return pending.Term() > 0 && !a.busy && now.Sub(a.stagedAt) > patience
}

func (a *acceptor) help(ctx context.Context) {
	view, _, err := a.marks(ctx)
	if err != nil || !view.HasPending() {
		return
	}
	if err := a.decide(ctx, view, time.Now()); err != nil {
		a.logger.Debug("helping a staged version has failed", event.Error(err))
	}
}

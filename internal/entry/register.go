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
	"github.com/lentilstand/lentilstand/pkg/member"
	"github.com/lentilstand/lentilstand/pkg/quorum"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/platform"
)

// How membership is kept.
const (
	// memberTTL is how long a member's lease lasts without being renewed.
	memberTTL = 10 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 3 * time.Second
	// registerPause is the least time between two writes of the member's key.
	registerPause = 100 * time.Millisecond
	// joinAfter and partAfter are how long the members must differ from the
	// voters before a change of voters is staged: a join is urgent, and a loss
	// may be a lease that is just being made anew.
	joinAfter = 100 * time.Millisecond
	partAfter = 5 * time.Second
	// proposeStep is what each rank adds, so that entries don't race.
	proposeStep = 400 * time.Millisecond
	// proposePoll is how often members and voters are compared.
	proposePoll = 100 * time.Millisecond
	// resignBound bounds the goodbye of an entry that stops.
	resignBound = 3 * time.Second
)

// registrar keeps the entry's own key among the members, and sees to it that
// the voters become those members.
type registrar struct {
	entry *Entry
	kv    *platform.Store
	voter string
	again chan struct{}

	mu       sync.Mutex
	lease    uint64
	revision uint64
	written  string
	resigned bool
	since    map[string]time.Time
}

func newRegistrar(e *Entry, voter string) *registrar {
	return &registrar{
		entry: e,
		kv:    e.kv,
		voter: voter,
		again: make(chan struct{}, 1),
		since: make(map[string]time.Time),
	}
}

// update makes the registrar write the member's key soon.
func (r *registrar) update() { kick(r.again) }

// run keeps the member's key and the voters until ctx ends.
func (r *registrar) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Add(1)
	go func() {
		defer wait.Done()
		r.keepVoters(ctx)
	}()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.entry.follower.changes()
		r.register(ctx)
		pauseUnless(ctx, registerPause)
		select {
		case <-ticker.C:
			r.renew(ctx)
		case <-changed:
		case <-r.again:
		case <-ctx.Done():
		}
	}
}

// self returns what the member's key should hold.
func (r *registrar) self() member.Member {
	e := r.entry
	m := member.New(e.settings.Name(), e.incarnation[:8], e.settings.DataCentre(), e.callers.Address(), e.peers.Address())
	e.follower.mu.Lock()
	m = m.WithVersion(e.follower.node.View().Head().Number())
	e.follower.mu.Unlock()
	if e.leaving.Load() {
		m = m.WithLeaving()
	}
	return m
}

// register writes the member's key if it doesn't hold what it should.
func (r *registrar) register(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	value := string(r.self().Encode())
	if value == r.written || r.resigned {
		return
	}
	// A run that serves must show in the records, even if it dies soon.
	if err := r.entry.records.Open(ctx); err != nil {
		return
	}
	if r.lease == 0 {
		lease, err := r.kv.Grant(ctx, memberTTL)
		if err != nil {
			return
		}
		r.lease = lease
	}
	key := member.Key(r.entry.settings.Name())
	revision, err := r.kv.Put(ctx, key, []byte(value), r.revision, r.lease)
	switch {
	case err == nil:
		r.logJoin()
		r.revision = revision
		r.written = value
	case eris.Is(err, store.ErrLeaseExpired):
		r.lost()
	case eris.Is(err, store.ErrConflict), eris.Is(err, store.ErrUncertain):
		r.reread(ctx, key)
	}
}

func (r *registrar) logJoin() {
	if r.written == "" {
		event.MemberJoined.Log(r.entry.logger, zap.String("voter", r.voter))
	}
}

// lost forgets a lease that has lapsed. The caller holds the lock.
func (r *registrar) lost() {
	event.MemberLost.Log(r.entry.logger, zap.String("voter", r.voter))
	r.lease = 0
	r.written = ""
	r.update()
}

// reread finds the revision of the member's key, which an earlier run of the
// process or a lost answer may have changed. The caller holds the lock.
func (r *registrar) reread(ctx context.Context, key string) {
	snapshot, err := r.kv.Read(ctx, key)
	if err != nil {
		return
	}
	pair, _ := snapshot.Get(key)
	r.revision = pair.Revision()
	r.update()
}

func (r *registrar) renew(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == 0 || r.resigned {
		return
	}
	if err := r.kv.KeepAlive(ctx, r.lease); eris.Is(err, store.ErrLeaseExpired) {
		r.lost()
	}
}

// keepVoters stages a change of the voters when they differ from the members.
func (r *registrar) keepVoters(ctx context.Context) {
	for ctx.Err() == nil {
		pauseUnless(ctx, proposePoll)
		if voters := r.proposal(time.Now()); voters != nil {
			r.propose(ctx, voters)
		}
	}
}

// proposal returns the voters that should be staged now, nil if none.
func (r *registrar) proposal(now time.Time) []string {
	f := r.entry.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	view := f.node.View()
	if !f.reachable || view.Head().Term() == 0 || view.HasPending() || r.entry.acceptor.isBusy() {
		return nil
	}
	var present []string
	for _, m := range f.members {
		present = append(present, m.Voter())
	}
	slices.Sort(present)
	wanted := r.ripe(present, view.Head().Voters(), now)
	rank := slices.Index(present, r.voter)
	if rank < 0 || wanted == nil {
		return nil
	}
	wait := time.Duration(rank) * proposeStep
	if now.Sub(r.oldest(wanted, view.Head().Voters())) < wait {
		return nil
	}
	return wanted
}

// ripe returns the voters with those changes that have stood long enough, nil
// if there are none.
func (r *registrar) ripe(present, voters []string, now time.Time) []string {
	differing := make(map[string]bool)
	wanted := slices.Clone(voters)
	for _, voter := range present {
		if slices.Contains(voters, voter) {
			continue
		}
		differing[voter] = true
		if r.stood(voter, now) >= joinAfter {
			wanted = append(wanted, voter)
		}
	}
	for _, voter := range voters {
		if slices.Contains(present, voter) {
			continue
		}
		differing[voter] = true
		if r.stood(voter, now) >= partAfter {
			wanted = slices.DeleteFunc(wanted, func(v string) bool { return v == voter })
		}
	}
	for voter := range r.since {
		if !differing[voter] {
			delete(r.since, voter)
		}
	}
	slices.Sort(wanted)
	if slices.Equal(wanted, voters) || len(wanted) == 0 {
		return nil
	}
	return wanted
}

// stood returns how long a voter has differed.
func (r *registrar) stood(voter string, now time.Time) time.Duration {
	if _, ok := r.since[voter]; !ok {
		r.since[voter] = now
	}
	return now.Sub(r.since[voter])
}

// oldest returns since when the oldest of the wanted changes has stood.
func (r *registrar) oldest(wanted, voters []string) time.Time {
	var oldest time.Time
	for voter, since := range r.since {
		changes := slices.Contains(wanted, voter) != slices.Contains(voters, voter)
		if changes && (oldest.IsZero() || since.Before(oldest)) {
			oldest = since
		}
	}
	return oldest
}

// propose stages the version in force with other voters.
func (r *registrar) propose(ctx context.Context, voters []string) {
	a := r.entry.acceptor
	view, last, err := a.marks(ctx)
	if err != nil || view.HasPending() {
		return
	}
	head := a.knownHead()
	if head == nil || head.Hash() != view.Head().Hash() {
		return
	}
	staged, err := a.stage(ctx, view, last, head, voters)
	if err != nil {
		return
	}
	if err := a.decide(ctx, staged, time.Now()); err != nil {
		r.entry.logger.Debug("a change of voters has failed", event.Error(err))
	}
}

// resign gives up the vote and the member's key of an entry that stops, so that
// the others need not wait for it.
func (r *registrar) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignBound)
	defer cancel()
	r.mu.Lock()
	r.resigned = true
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		_ = r.kv.Revoke(ctx, lease)
	}
	view, last, err := r.entry.acceptor.marks(ctx)
	if err != nil || view.HasPending() || !slices.Contains(view.Head().Voters(), r.voter) {
		return
	}
	r.resignVote(ctx, view, last)
}

func (r *registrar) resignVote(ctx context.Context, view quorum.View, last chain.Ref) {
	rest := slices.DeleteFunc(slices.Clone(view.Head().Voters()), func(voter string) bool { return voter == r.voter })
	a := r.entry.acceptor
	head := a.knownHead()
	if head == nil || head.Hash() != view.Head().Hash() {
		return
	}
	staged, err := a.stage(ctx, view, last, head, rest)
	if err == nil {
		_ = a.decide(ctx, staged, time.Now())
	}
}

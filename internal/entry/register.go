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

// Timing of membership.
const (
	// memberTTL is the time to live of a member's lease.
	memberTTL = 10 * time.Second
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 3 * time.Second
	// minRegisterInterval is the minimum time between two writes of the member key.
	minRegisterInterval = 100 * time.Millisecond
	// addVoterDelay and removeVoterDelay are how long the members must differ from
	// the voters before a change of voters is staged. Adding a voter is urgent. A
	// member that disappears may only be replacing an expired lease.
	addVoterDelay    = 100 * time.Millisecond
	removeVoterDelay = 5 * time.Second
	// proposeRankDelay is the additional delay per rank of the entry, so that
	// entries don't propose the same change concurrently.
	proposeRankDelay = 400 * time.Millisecond
	// voterPollInterval is how often members and voters are compared.
	voterPollInterval = 100 * time.Millisecond
	// resignTimeout bounds the removal of an entry that shuts down.
	resignTimeout = 3 * time.Second
)

// registrar maintains the entry's member key in the key-value store, and proposes
// changes of the voters to match the members.
//
// A store that recovers from a copy gives out leases and revisions again. The entry therefore
// registers anew in each era, with a lease of that era.
type registrar struct {
	entry           *Entry
	kv              *platform.Store
	voter           string
	updateRequested chan struct{}

	mu       sync.Mutex
	lease    uint64
	revision uint64
	// era is that of the lease, the revision and the written value.
	era          uint64
	writtenValue string
	resigned     bool
	differsSince map[string]time.Time
}

func newRegistrar(e *Entry, voter string) *registrar {
	return &registrar{
		entry:           e,
		kv:              e.kv,
		voter:           voter,
		updateRequested: make(chan struct{}, 1),
		differsSince:    make(map[string]time.Time),
	}
}

// update triggers a write of the member key.
func (r *registrar) update() { wake(r.updateRequested) }

// run maintains the member key and the voters until ctx is done.
func (r *registrar) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.reconcileVoters(ctx)
	}()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.entry.follower.changes()
		r.register(ctx)
		sleep(ctx, minRegisterInterval)
		select {
		case <-ticker.C:
			r.keepAlive(ctx)
		case <-changed:
		case <-r.updateRequested:
		case <-ctx.Done():
		}
	}
}

// self returns the member that the entry's key should describe.
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

// register writes the member key if it is out of date.
func (r *registrar) register(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beginEra()
	value := string(r.self().Encode())
	if value == r.writtenValue || r.resigned {
		return
	}
	// Open the audit records first: an incarnation that serves requests must
	// appear in them even if it dies early.
	if err := r.entry.records.Open(ctx); err != nil {
		return
	}
	r.beginEra()
	if r.lease == 0 {
		lease, err := r.kv.Grant(ctx, memberTTL)
		if err != nil {
			return
		}
		r.lease = lease
	}
	if r.kv.Era() != r.era {
		// A call of above has shown a new era.
		r.update()
		return
	}
	key := member.Key(r.entry.settings.Name())
	revision, err := r.kv.Put(ctx, key, []byte(value), r.revision, r.lease)
	switch {
	case r.kv.Era() != r.era:
		r.update()
	case err == nil:
		r.logJoin()
		r.revision = revision
		r.writtenValue = value
	case eris.Is(err, store.ErrLeaseExpired):
		r.leaseExpired()
	case eris.Is(err, store.ErrConflict), eris.Is(err, store.ErrUncertain):
		r.refreshRevision(ctx, key)
	}
}

// beginEra discards what belongs to an earlier era of the store. The caller must hold r.mu.
func (r *registrar) beginEra() {
	era := r.kv.Era()
	if era == r.era {
		return
	}
	if r.lease != 0 {
		event.MemberLost.Log(r.entry.logger, zap.String("voter", r.voter), zap.String("reason", "the store has begun a new era"), zap.Uint64("era", era))
	}
	r.lease, r.revision, r.writtenValue, r.era = 0, 0, "", era
}

func (r *registrar) logJoin() {
	if r.writtenValue == "" {
		event.MemberJoined.Log(r.entry.logger, zap.String("voter", r.voter))
	}
}

// leaseExpired discards the expired lease and triggers a new registration. The
// caller must hold r.mu.
func (r *registrar) leaseExpired() {
	event.MemberLost.Log(r.entry.logger, zap.String("voter", r.voter))
	r.lease = 0
	r.writtenValue = ""
	r.update()
}

// refreshRevision reads the revision of the member key, which an earlier
// incarnation of the process or a write with a lost response may have changed. The
// caller must hold r.mu.
func (r *registrar) refreshRevision(ctx context.Context, key string) {
	snapshot, err := r.kv.Read(ctx, key)
	if err != nil {
		return
	}
	pair, _ := snapshot.Get(key)
	r.revision = pair.Revision()
	r.update()
}

func (r *registrar) keepAlive(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beginEra()
	if r.lease == 0 || r.resigned {
		return
	}
	if err := r.kv.KeepAlive(ctx, r.lease); eris.Is(err, store.ErrLeaseExpired) {
		r.leaseExpired()
	}
}

// reconcileVoters proposes a change of the voters when they differ from the
// members.
func (r *registrar) reconcileVoters(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, voterPollInterval)
		if voters := r.nextVoters(time.Now()); voters != nil {
			r.proposeVoters(ctx, voters)
		}
	}
}

// nextVoters returns the voters that this entry should propose now, or nil.
func (r *registrar) nextVoters(now time.Time) []string {
	f := r.entry.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	view := f.node.View()
	if !f.reachable || view.Head().Term() == 0 || view.HasPending() || r.entry.coordinator.isDeciding() {
		return nil
	}
	var present []string
	for _, m := range f.members {
		present = append(present, m.Voter())
	}
	slices.Sort(present)
	wanted := r.settledVoters(present, view.Head().Voters(), now)
	rank := slices.Index(present, r.voter)
	if rank < 0 || wanted == nil {
		return nil
	}
	wait := time.Duration(rank) * proposeRankDelay
	if now.Sub(r.oldestChange(wanted, view.Head().Voters())) < wait {
		return nil
	}
	return wanted
}

// settledVoters returns the voters with those differences applied that have
// persisted for addVoterDelay or removeVoterDelay, or nil if there are none.
func (r *registrar) settledVoters(present, voters []string, now time.Time) []string {
	differing := make(map[string]bool)
	wanted := slices.Clone(voters)
	for _, voter := range present {
		if slices.Contains(voters, voter) {
			continue
		}
		differing[voter] = true
		if r.differingFor(voter, now) >= addVoterDelay {
			wanted = append(wanted, voter)
		}
	}
	for _, voter := range voters {
		if slices.Contains(present, voter) {
			continue
		}
		differing[voter] = true
		if r.differingFor(voter, now) >= removeVoterDelay {
			wanted = slices.DeleteFunc(wanted, func(v string) bool { return v == voter })
		}
	}
	for voter := range r.differsSince {
		if !differing[voter] {
			delete(r.differsSince, voter)
		}
	}
	slices.Sort(wanted)
	if slices.Equal(wanted, voters) || len(wanted) == 0 {
		return nil
	}
	return wanted
}

// differingFor returns how long the voter has been among only the members or only
// the voters.
func (r *registrar) differingFor(voter string, now time.Time) time.Duration {
	if _, ok := r.differsSince[voter]; !ok {
		r.differsSince[voter] = now
	}
	return now.Sub(r.differsSince[voter])
}

// oldestChange returns the time of the oldest difference among the wanted changes.
func (r *registrar) oldestChange(wanted, voters []string) time.Time {
	var oldest time.Time
	for voter, since := range r.differsSince {
		changes := slices.Contains(wanted, voter) != slices.Contains(voters, voter)
		if changes && (oldest.IsZero() || since.Before(oldest)) {
			oldest = since
		}
	}
	return oldest
}

// proposeVoters stages the current version with different voters.
func (r *registrar) proposeVoters(ctx context.Context, voters []string) {
	c := r.entry.coordinator
	view, lastPending, err := c.readRefs(ctx)
	if err != nil || view.HasPending() {
		return
	}
	head := c.knownHead()
	if head == nil || head.Hash() != view.Head().Hash() {
		return
	}
	staged, err := c.stage(ctx, view, lastPending, head, voters)
	if err != nil {
		return
	}
	if err := c.runRound(ctx, staged, time.Now()); err != nil {
		r.entry.logger.Debug("changing the voters failed", event.Error(err))
	}
}

// resign removes the member key and the vote of an entry that shuts down, so that
// the other entries don't wait for its acknowledgements.
func (r *registrar) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	r.mu.Lock()
	r.resigned = true
	r.beginEra()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		_ = r.kv.Revoke(ctx, lease)
	}
	view, lastPending, err := r.entry.coordinator.readRefs(ctx)
	if err != nil || view.HasPending() || !slices.Contains(view.Head().Voters(), r.voter) {
		return
	}
	r.removeSelfVote(ctx, view, lastPending)
}

func (r *registrar) removeSelfVote(ctx context.Context, view quorum.View, lastPending chain.Ref) {
	remaining := slices.DeleteFunc(slices.Clone(view.Head().Voters()), func(voter string) bool { return voter == r.voter })
	c := r.entry.coordinator
	head := c.knownHead()
	if head == nil || head.Hash() != view.Head().Hash() {
		return
	}
	staged, err := c.stage(ctx, view, lastPending, head, remaining)
	if err == nil {
		_ = c.runRound(ctx, staged, time.Now())
	}
}

package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilstand/lentilstand/pkg/admit"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// queues holds the queue of each service.
type queues struct {
	mu     sync.Mutex
	queues map[string]*admit.Queue
}

func newQueues() *queues { return &queues{queues: make(map[string]*admit.Queue)} }

// reservingPerEndpoint is how many requests for each of a service's endpoints
// may look for a credit at a time; the others wait their turn.
const reservingPerEndpoint = 2

// of returns the queue of a service with the limits that are in force.
func (q *queues) of(service config.Service, endpoints int) *admit.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	width := endpoints * reservingPerEndpoint
	queue, ok := q.queues[service.Name()]
	if !ok {
		queue = admit.NewQueue(service.Queue(), width)
		q.queues[service.Name()] = queue
		return queue
	}
	queue.Configure(service.Queue(), width)
	return queue
}

func (q *queues) each(visit func(service string, requests int, bytes int64)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, queue := range q.queues {
		requests, bytes := queue.Length()
		visit(service, requests, bytes)
	}
}

func (q *queues) reportRequests(report func(n int64, value string)) {
	q.each(func(service string, requests int, _ int64) { report(int64(requests), service) })
}

func (q *queues) reportBytes(report func(n int64, value string)) {
	q.each(func(service string, _ int, bytes int64) { report(bytes, service) })
}

const teamShards = 16

// teamLimits counts what each team has in progress, in shards by team.
type teamLimits struct {
	shards [teamShards]teamShard
}

// teamShard holds the counts of some of the teams.
type teamShard struct {
	mu    sync.Mutex
	teams map[string]*teamUse
}

// teamUse is what one team has in progress.
type teamUse struct {
	active int
	held   int64
}

func newTeamLimits() *teamLimits {
	limits := &teamLimits{}
	for i := range limits.shards {
		limits.shards[i].teams = make(map[string]*teamUse)
	}
	return limits
}

func (l *teamLimits) shard(team string) *teamShard {
	return &l.shards[xxhash.Sum64String(team)%teamShards]
}

// use returns a team's counts. The caller holds the shard's lock.
func (s *teamShard) use(team string) *teamUse {
	use, ok := s.teams[team]
	if !ok {
		use = &teamUse{}
		s.teams[team] = use
	}
	return use
}

// enter counts a request of a team. It reports false if the team has as many
// as it may have.
func (l *teamLimits) enter(team config.Team) bool {
	shard := l.shard(team.Name())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	use := shard.use(team.Name())
	if use.active >= team.MaxActive() {
		return false
	}
	use.active++
	return true
}

func (l *teamLimits) leave(team config.Team) {
	shard := l.shard(team.Name())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.use(team.Name()).active--
}

// hold counts bytes of an answer that the team's reader has not taken yet.
func (l *teamLimits) hold(team string, bytes int64) {
	shard := l.shard(team)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.use(team).held += bytes
}

func (l *teamLimits) each(visit func(team string, use teamUse)) {
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		for team, use := range shard.teams {
			visit(team, *use)
		}
		shard.mu.Unlock()
	}
}

func (l *teamLimits) reportHeld(report func(n int64, value string)) {
	l.each(func(team string, use teamUse) { report(use.held, team) })
}

func (l *teamLimits) reportActive(report func(n int64, value string)) {
	l.each(func(team string, use teamUse) { report(int64(use.active), team) })
}

package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilstand/lentilstand/pkg/admit"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// serviceQueues holds the request queue of each service.
type serviceQueues struct {
	mu        sync.Mutex
	byService map[string]*admit.Queue
}

func newServiceQueues() *serviceQueues {
	return &serviceQueues{byService: make(map[string]*admit.Queue)}
}

// reservationsPerEndpoint is the number of requests per endpoint of a service that
// may try to reserve a credit concurrently. Further requests stay queued.
const reservationsPerEndpoint = 2

// forService returns the queue of a service, configured with the current limits.
func (q *serviceQueues) forService(service config.Service, endpoints int) *admit.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	maxReserving := endpoints * reservationsPerEndpoint
	queue, ok := q.byService[service.Name()]
	if !ok {
		queue = admit.NewQueue(service.Queue(), maxReserving)
		q.byService[service.Name()] = queue
		return queue
	}
	queue.Configure(service.Queue(), maxReserving)
	return queue
}

func (q *serviceQueues) each(visit func(service string, requests int, bytes int64)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, queue := range q.byService {
		requests, bytes := queue.Length()
		visit(service, requests, bytes)
	}
}

func (q *serviceQueues) reportRequests(report func(n int64, value string)) {
	q.each(func(service string, requests int, _ int64) { report(int64(requests), service) })
}

func (q *serviceQueues) reportBytes(report func(n int64, value string)) {
	q.each(func(service string, _ int, bytes int64) { report(bytes, service) })
}

const teamShards = 16

// teamLimits tracks the usage of each team, sharded by team name to reduce lock
// contention.
type teamLimits struct {
	shards [teamShards]teamShard
}

// teamShard holds the usage of the teams in one shard.
type teamShard struct {
	mu    sync.Mutex
	teams map[string]*teamUsage
}

// teamUsage counts a team's active requests and the response bytes held for its
// callers.
type teamUsage struct {
	active int
	held   int64
}

func newTeamLimits() *teamLimits {
	limits := &teamLimits{}
	for i := range limits.shards {
		limits.shards[i].teams = make(map[string]*teamUsage)
	}
	return limits
}

func (l *teamLimits) shard(team string) *teamShard {
	return &l.shards[xxhash.Sum64String(team)%teamShards]
}

// usage returns a team's counts. The caller must hold s.mu.
func (s *teamShard) usage(team string) *teamUsage {
	usage, ok := s.teams[team]
	if !ok {
		usage = &teamUsage{}
		s.teams[team] = usage
	}
	return usage
}

// acquire counts a request of a team. It returns false if the team has reached its
// limit of concurrent requests.
func (l *teamLimits) acquire(team config.Team) bool {
	shard := l.shard(team.Name())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	usage := shard.usage(team.Name())
	if usage.active >= team.MaxActive() {
		return false
	}
	usage.active++
	return true
}

func (l *teamLimits) release(team config.Team) {
	shard := l.shard(team.Name())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.usage(team.Name()).active--
}

// addHeldBytes counts response bytes that the team's callers have not read yet.
func (l *teamLimits) addHeldBytes(team string, bytes int64) {
	shard := l.shard(team)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.usage(team).held += bytes
}

func (l *teamLimits) each(visit func(team string, usage teamUsage)) {
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		for team, usage := range shard.teams {
			visit(team, *usage)
		}
		shard.mu.Unlock()
	}
}

func (l *teamLimits) reportHeld(report func(n int64, value string)) {
	l.each(func(team string, usage teamUsage) { report(usage.held, team) })
}

func (l *teamLimits) reportActive(report func(n int64, value string)) {
	l.each(func(team string, usage teamUsage) { report(int64(usage.active), team) })
}

package sched

// maxTeams bounds the number of teams whose turns are kept. Teams that aren't behind others lose
// nothing when they are forgotten.
const maxTeams = 4096

// teamTurns schedules queued requests of one kind by stride scheduling: each request that is sent
// adds one to the count of its team, and the team with the smallest count is next.
type teamTurns struct {
	counts map[string]float64
	// current is the count of the team that was last taken from the queue. A team that had
	// no requests for a while starts there.
	current float64
}

// at returns the count of a team.
func (t *teamTurns) at(team string) float64 { return max(t.current, t.counts[team]) }

// take counts a request of a team that was sent from the queue.
func (t *teamTurns) take(team string) {
	if t.counts == nil || len(t.counts) >= maxTeams {
		t.counts = make(map[string]float64)
	}
	t.current = t.at(team)
	t.counts[team] = t.current + 1
}

// kindTurns holds the turns of teams by the kind of request. The zero value is ready to use.
type kindTurns map[kind]*teamTurns

// precedes reports whether the team of req has its turn before that of other, which is of the
// same kind.
func (k kindTurns) precedes(req, other Request) bool {
	turns := k[req.kind()]
	return turns != nil && turns.at(req.Team) < turns.at(other.Team)
}

// take counts a request that was sent from the queue.
func (k *kindTurns) take(req Request) {
	if *k == nil {
		*k = make(kindTurns)
	}
	turns := (*k)[req.kind()]
	if turns == nil {
		turns = &teamTurns{}
		(*k)[req.kind()] = turns
	}
	turns.take(req.Team)
}

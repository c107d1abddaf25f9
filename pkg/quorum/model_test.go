package quorum

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/chain"
)

// The model runs the production Node and Round against a key-value service that
// holds two refs. Time advances in ticks. The invariant: an entry that takes new
// work enforces the version that is in force at that moment.

const (
	tick         = time.Second
	maxReadTicks = 2
	maxAckTicks  = 1
	// ageCap bounds the ages in the key of a state; all greater ages behave the same.
	ageCap = maxReadTicks + 2
)

func modelTiming() Timing { return NewTiming(maxReadTicks*tick, maxAckTicks*tick, 0) }

// mutant breaks one rule of the protocol, to show that the checks detect it.
type mutant string

const (
	noMutant mutant = ""
	// noWait commits as soon as a majority knows the pending ref.
	noWait mutant = "no wait"
	// noMajority commits after the wait without a majority.
	noMajority mutant = "no majority"
	// anyView counts the acknowledgements of peers that hold another view.
	anyView mutant = "any view"
	// sameVoter lets a restarted entry vote under the name of its earlier run.
	sameVoter mutant = "same voter"
	// headOnly makes entries enforce only the head, not the pending version.
	headOnly mutant = "head only"
)

// model is one state of the whole system.
type model struct {
	mutant      mutant
	now         time.Time
	head        chain.Ref
	pending     chain.Ref
	nodes       []*Node
	restarted   int
	round       *Round
	coordinator int
	staged      int
	limits      modelLimits
	responses   []response
}

// modelLimits bounds the events of a model so that its state space is finite.
type modelLimits struct {
	stages       int
	restarts     int
	voterChanges bool
}

// response is the result of a read, or a peer's acknowledgement, that is in
// flight. For a read peer is empty.
type response struct {
	to        int
	view      View
	sentAt    time.Time
	peer      string
	currentAt time.Time
}

func newModel(voters int, limits modelLimits, broken mutant) *model {
	m := &model{mutant: broken, now: time.Unix(1000, 0), limits: limits}
	var names []string
	for i := range voters {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	m.head = chain.NewRef(1, 1, "v1", names, "")
	for _, name := range names {
		node := NewNode(name, modelTiming())
		node.Learn(NewView(m.head, chain.Ref{}), m.now)
		m.nodes = append(m.nodes, node)
	}
	return m
}

func (m *model) clone() *model {
	c := *m
	c.nodes = nil
	for _, node := range m.nodes {
		n := *node
		n.acks = maps.Clone(node.acks)
		c.nodes = append(c.nodes, &n)
	}
	if m.round != nil {
		round := *m.round
		c.round = &round
	}
	c.responses = slices.Clone(m.responses)
	return &c
}

func (m *model) view() View { return NewView(m.head, m.pending) }

func (m *model) tick() { m.now = m.now.Add(tick) }

// read makes a node read the service without delay.
func (m *model) read(i int) { m.nodes[i].Learn(m.view(), m.now) }

// ackFrom returns the acknowledgement that node j would send to node i now.
func (m *model) ackFrom(i, j int) response {
	node := m.nodes[j]
	return response{to: i, view: node.view, sentAt: m.now, peer: node.self, currentAt: node.currentAt}
}

// deliver makes a node process a response, as the daemon does.
func (m *model) deliver(r response) {
	node := m.nodes[r.to]
	if r.peer == "" {
		node.Learn(r.view, r.sentAt)
		return
	}
	if r.view.Terms().NewerThan(node.view.Terms()) && !r.currentAt.IsZero() {
		node.Learn(r.view, r.currentAt)
	}
	terms := r.view.Terms()
	if m.mutant == anyView {
		terms = node.view.Terms()
	}
	node.RecordAck(r.peer, terms, r.sentAt, r.currentAt)
}

func (m *model) canStage() bool { return !m.view().HasPending() && m.staged < m.limits.stages }

// stage writes a pending ref, with the given node as the coordinator of its round.
// With changeVoters it stages the version in force with the voters that
// changedVoters returns.
func (m *model) stage(coordinator int, changeVoters bool) {
	m.staged++
	term := max(m.head.Term(), m.pending.Term()) + 1
	number, hash, voters := m.head.Number()+1, fmt.Sprintf("v%d", term), m.head.Voters()
	if changeVoters {
		number, hash, voters = m.head.Number(), m.head.Hash(), m.changedVoters()
	}
	m.pending = chain.NewRef(term, number, hash, voters, "")
	m.round = NewRound(modelTiming(), m.view(), m.now, time.Hour)
	m.coordinator = coordinator
}

// changedVoters returns the names of the running nodes or, if exactly these are
// the voters already, the same without the first.
func (m *model) changedVoters() []string {
	var names []string
	for _, node := range m.nodes {
		names = append(names, node.self)
	}
	if slices.Equal(names, m.head.Voters()) {
		return names[1:]
	}
	return names
}

func (m *model) decide() Decision {
	if m.round == nil || m.head.Term() >= m.round.pending.Term() {
		return DecisionWait
	}
	node := m.nodes[m.coordinator]
	hasSeen := func(voter string) bool { return node.HasSeen(voter, m.round.staged) }
	switch m.mutant {
	case noWait:
		if isMajority(m.round.head.Voters(), hasSeen) {
			return DecisionCommit
		}
		return DecisionWait
	case noMajority:
		if m.now.After(m.round.writtenAt.Add(maxReadTicks * tick)) {
			return DecisionCommit
		}
		return DecisionWait
	}
	return m.round.Decide(node, m.now)
}

func (m *model) commit() { m.head = m.round.CommitRef() }
func (m *model) abort()  { m.head = m.round.AbortRef() }

func (m *model) restart(i int) {
	m.restarted++
	name := fmt.Sprintf("r%d", m.restarted)
	if m.mutant == sameVoter {
		name = m.nodes[i].self
	}
	m.nodes[i] = NewNode(name, modelTiming())
	if m.mutant == sameVoter {
		m.nodes[i].Learn(NewView(chain.NewRef(1, 1, "v1", m.head.Voters(), ""), chain.Ref{}), time.Unix(0, 0))
	}
	if m.coordinator == i {
		m.round = nil
	}
	m.responses = slices.DeleteFunc(m.responses, func(r response) bool { return r.to == i })
}

// violation describes how the state breaks the invariant, empty if it doesn't.
func (m *model) violation() string {
	for _, node := range m.nodes {
		if !node.ServeState(m.now).MayServe() {
			continue
		}
		enforced := node.view.head.Hash() == m.head.Hash()
		if m.mutant != headOnly && node.view.pending.Hash() == m.head.Hash() {
			enforced = true
		}
		if !enforced {
			return fmt.Sprintf("%s is %s and serves by version %s while %s is in force", node.self,
				node.ServeState(m.now), node.view.head.Hash(), m.head.Hash())
		}
	}
	return ""
}

// serving returns how many nodes take new work.
func (m *model) serving() int {
	count := 0
	for _, node := range m.nodes {
		if node.ServeState(m.now).MayServe() {
			count++
		}
	}
	return count
}

func (m *model) age(at time.Time) int {
	if at.IsZero() {
		return ageCap
	}
	return min(ageCap, int(m.now.Sub(at)/tick))
}

// key identifies the state by everything but the absolute time, so that states
// that differ only in time are explored once.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d/%s%v %d/%s%v k%d", m.staged, m.head.Term(), m.head.Hash(), m.head.Voters(),
		m.pending.Term(), m.pending.Hash(), m.pending.Voters(), m.coordinator)
	if m.round != nil {
		fmt.Fprintf(&b, " w%d", m.age(m.round.writtenAt))
		if !m.round.majorityAt.IsZero() {
			fmt.Fprintf(&b, "m%d", m.age(m.round.majorityAt))
		}
	}
	for _, node := range m.nodes {
		fmt.Fprintf(&b, "|%s %v %d", node.self, node.view.Terms(), m.age(node.currentAt))
		for _, peer := range slices.Sorted(maps.Keys(node.acks)) {
			fmt.Fprintf(&b, " %s%v%d", peer, node.acks[peer].terms, m.age(node.acks[peer].at))
		}
	}
	return b.String()
}

// successors returns every state that one event can lead to.
func (m *model) successors() []*model {
	var next []*model
	step := func(change func(*model)) {
		c := m.clone()
		change(c)
		next = append(next, c)
	}
	step((*model).tick)
	for i := range m.nodes {
		step(func(c *model) { c.read(i) })
		for j := range m.nodes {
			if i != j {
				step(func(c *model) { c.deliver(c.ackFrom(i, j)) })
			}
		}
		if m.restarted < m.limits.restarts {
			step(func(c *model) { c.restart(i) })
		}
	}
	if m.canStage() {
		step(func(c *model) { c.stage(0, false) })
		if m.limits.voterChanges {
			step(func(c *model) { c.stage(0, true) })
		}
	}
	if m.decide() == DecisionCommit {
		step((*model).commit)
	}
	if m.round != nil && m.head.Term() < m.round.pending.Term() {
		step((*model).abort)
	}
	return next
}

// explore visits states breadth first until all are visited, maxStates is reached
// or the invariant is violated. Complete reports whether all were visited.
func explore(start *model, maxStates int) (states int, complete bool, violation string) {
	visited := map[string]bool{start.key(): true}
	queue := []*model{start}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, next := range state.successors() {
			if problem := next.violation(); problem != "" {
				return len(visited), false, problem
			}
			key := next.key()
			if visited[key] {
				continue
			}
			if len(visited) >= maxStates {
				return len(visited), false, ""
			}
			visited[key] = true
			queue = append(queue, next)
		}
	}
	return len(visited), true, ""
}

func TestSmallModelsExhaustively(t *testing.T) {
	testCases := []struct {
		name      string
		voters    int
		limits    modelLimits
		maxStates int
		complete  bool
	}{
		{name: "two voters, one stage", voters: 2, limits: modelLimits{stages: 1}, maxStates: 400_000, complete: true},
		{name: "two voters, two stages", voters: 2, limits: modelLimits{stages: 2}, maxStates: 30_000},
		{name: "two voters, voter changes", voters: 2, limits: modelLimits{stages: 2, voterChanges: true}, maxStates: 30_000},
		{name: "three voters, one stage", voters: 3, limits: modelLimits{stages: 1}, maxStates: 30_000},
		{name: "three voters, restart", voters: 3, limits: modelLimits{stages: 1, restarts: 1, voterChanges: true}, maxStates: 30_000},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			states, complete, violation := explore(newModel(tc.voters, tc.limits, noMutant), tc.maxStates)
			t.Logf("%d states, complete: %t", states, complete)
			require.Empty(t, violation)
			require.Equal(t, tc.complete, complete)
		})
	}
}

// walk applies random events; responses may be lost, delayed and reordered. Served
// counts the nodes that serve after each step, and servedInOutage those of them
// that serve while the service is down.
func walk(t *rapid.T, m *model, steps int) (violation string, served, servedInOutage int) {
	up := true
	cut := make(map[[2]int]bool)
	for range steps {
		switch rapid.IntRange(0, 20).Draw(t, "event") {
		case 0, 1:
			m.tick()
		case 3:
			up = rapid.Bool().Draw(t, "service up")
		case 4:
			a, b := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "a"), rapid.IntRange(0, len(m.nodes)-1).Draw(t, "b")
			cut[[2]int{a, b}] = rapid.Bool().Draw(t, "cut")
		case 5, 6, 14, 15, 16:
			if i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "reader"); up {
				m.responses = append(m.responses, response{to: i, view: m.view(), sentAt: m.now})
			}
		case 7, 8, 9, 17, 18, 19:
			i, j := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "requester"), rapid.IntRange(0, len(m.nodes)-1).Draw(t, "responder")
			if i != j && !cut[[2]int{i, j}] && m.nodes[j].view.head.Term() > 0 {
				m.responses = append(m.responses, m.ackFrom(i, j))
			}
		case 10:
			if up && m.canStage() {
				m.stage(rapid.IntRange(0, len(m.nodes)-1).Draw(t, "coordinator"), rapid.IntRange(0, 3).Draw(t, "change voters") == 0)
			}
		case 11:
			switch {
			case up && m.decide() == DecisionCommit:
				m.commit()
			case up && m.round != nil && m.head.Term() < m.round.pending.Term() && rapid.IntRange(0, 9).Draw(t, "abort") == 0:
				m.abort()
			case up && m.round == nil && m.view().HasPending():
				m.round = NewRound(modelTiming(), m.view(), m.now, time.Hour)
			}
		case 12:
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				m.restart(rapid.IntRange(0, len(m.nodes)-1).Draw(t, "restarted"))
			}
		default:
		}
		m.deliverSome(t)
		if violation := m.violation(); violation != "" {
			return violation, served, servedInOutage
		}
		served += m.serving()
		if !up {
			servedInOutage += m.serving()
		}
	}
	return "", served, servedInOutage
}

// deliverSome delivers some of the responses in flight and drops others. The rest
// stay in flight, so that later responses overtake them.
func (m *model) deliverSome(t *rapid.T) {
	inFlight := m.responses[:0]
	arrived := []response{}
	for _, r := range m.responses {
		switch rapid.IntRange(0, 5).Draw(t, "delivery") {
		case 0:
		case 1:
			inFlight = append(inFlight, r)
		default:
			arrived = append(arrived, r)
		}
	}
	m.responses = inFlight
	for _, r := range arrived {
		m.deliver(r)
	}
}

func TestRandomWalks(t *testing.T) {
	served, servedInOutage := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(3, 5).Draw(t, "voters"), modelLimits{stages: 1000, voterChanges: true}, noMutant)
		violation, s, o := walk(t, m, 300)
		served += s
		servedInOutage += o
		if violation != "" {
			t.Fatal(violation)
		}
	})
	t.Logf("served %d node-steps, %d of them while the service was down", served, servedInOutage)
	require.Positive(t, servedInOutage, "nodes must keep serving through an outage of the service")
}

func TestMutantsAreCaught(t *testing.T) {
	testCases := []struct {
		mutant mutant
		limits modelLimits
	}{
		{mutant: noWait, limits: modelLimits{stages: 1}},
		{mutant: noMajority, limits: modelLimits{stages: 1}},
		{mutant: anyView, limits: modelLimits{stages: 1}},
		{mutant: headOnly, limits: modelLimits{stages: 1}},
	}
	for _, tc := range testCases {
		t.Run(string(tc.mutant), func(t *testing.T) {
			_, _, violation := explore(newModel(3, tc.limits, tc.mutant), 1_000_000)
			require.NotEmpty(t, violation)
			t.Log(violation)
		})
	}
}

// restartAfterAck runs the history that requires a restarted process to be another
// voter: a node acknowledges the pending ref, which is committed because of it,
// restarts without its state and then acknowledges the old view to a third node.
func restartAfterAck(m *model) string {
	m.stage(0, false)
	m.read(0)
	m.read(1)
	m.deliver(m.ackFrom(0, 1))
	for m.decide() != DecisionCommit {
		m.tick()
	}
	m.commit()
	m.restart(1)
	m.deliver(m.ackFrom(2, 1))
	return m.violation()
}

func TestRestartedVoterHasNoVote(t *testing.T) {
	limits := modelLimits{stages: 1, restarts: 1}
	require.Empty(t, restartAfterAck(newModel(3, limits, noMutant)))
	require.NotEmpty(t, restartAfterAck(newModel(3, limits, sameVoter)))
}

// TestMain fixes the seed and the number of the random walks, so that each run
// checks the same ones, unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	isSet := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if !isSet[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

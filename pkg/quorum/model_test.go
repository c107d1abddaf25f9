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

// The model runs real Nodes and Rounds against a key-value service of two marks.
// Time goes in ticks. The claim: an entry that takes new work obeys the version
// that is in force at that moment.

const (
	tick         = time.Second
	freshTicks   = 2
	outwordTicks = 1
	agesCap      = freshTicks + 2
)

func modelTiming() Timing { return NewTiming(freshTicks*tick, outwordTicks*tick, 0) }

// mutant breaks one rule of the protocol, to show that the check can fail.
type mutant string

const (
	noMutant mutant = ""
	// noWait commits as soon as a majority knows.
	noWait mutant = "no wait"
	// noMajority commits after the wait without a majority.
	noMajority mutant = "no majority"
	// anyView counts the words of peers that hold another view.
	anyView mutant = "any view"
	// sameVoter lets a restarted entry confirm by the vote of its earlier run.
	sameVoter mutant = "same voter"
	// headOnly doesn't make entries obey the pending version.
	headOnly mutant = "head only"
)

// model is one state of the whole system.
type model struct {
	mutant  mutant
	now     time.Time
	head    chain.Ref
	pending chain.Ref
	nodes   []*Node
	runs    int
	round   *Round
	keeper  int
	staged  int
	limits  modelLimits
	answers []answer
}

// modelLimits bounds a model so that its states are finite.
type modelLimits struct {
	stages   int
	restarts int
	changes  bool
}

// answer is a read or a peer's word that is still on its way.
type answer struct {
	to     int
	view   View
	sent   time.Time
	peer   string
	readAt time.Time
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
	c.answers = slices.Clone(m.answers)
	return &c
}

func (m *model) view() View { return NewView(m.head, m.pending) }

func (m *model) tick() { m.now = m.now.Add(tick) }

// read lets a node read the service at once.
func (m *model) read(i int) { m.nodes[i].Learn(m.view(), m.now) }

// word returns what node j would tell node i now.
func (m *model) word(i, j int) answer {
	node := m.nodes[j]
	return answer{to: i, view: node.view, sent: m.now, peer: node.self, readAt: node.freshAt}
}

// deliver lets a node take in an answer, as the daemon does.
func (m *model) deliver(a answer) {
	node := m.nodes[a.to]
	if a.peer == "" {
		node.Learn(a.view, a.sent)
		return
	}
	if a.view.Terms().NewerThan(node.view.Terms()) && !a.readAt.IsZero() {
		node.Learn(a.view, a.readAt)
	}
	terms := a.view.Terms()
	if m.mutant == anyView {
		terms = node.view.Terms()
	}
	node.RecordAck(a.peer, terms, a.sent, a.readAt)
}

func (m *model) canStage() bool { return !m.view().HasPending() && m.staged < m.limits.stages }

// stage writes a pending mark; the keeper watches over it. Where voters change,
// the last one loses its vote or a new run of it gets one.
func (m *model) stage(keeper int, changeVoters bool) {
	m.staged++
	term := max(m.head.Term(), m.pending.Term()) + 1
	number, hash, voters := m.head.Number()+1, fmt.Sprintf("v%d", term), m.head.Voters()
	if changeVoters {
		number, hash, voters = m.head.Number(), m.head.Hash(), m.otherVoters()
	}
	m.pending = chain.NewRef(term, number, hash, voters, "")
	m.round = NewRound(modelTiming(), m.view(), m.now, time.Hour)
	m.keeper = keeper
}

// otherVoters returns the names of the present runs but for the first of the
// voters if nothing else differs.
func (m *model) otherVoters() []string {
	var names []string
	for _, node := range m.nodes {
		names = append(names, node.self)
	}
	if slices.Equal(names, m.head.Voters()) {
		return names[1:]
	}
	return names
}

func (m *model) verdict() Decision {
	if m.round == nil || m.head.Term() >= m.round.pending.Term() {
		return DecisionWait
	}
	node := m.nodes[m.keeper]
	knows := func(voter string) bool { return node.HasSeen(voter, m.round.pending.Term()) }
	switch m.mutant {
	case noWait:
		if isMajority(m.round.head.Voters(), knows) {
			return DecisionCommit
		}
		return DecisionWait
	case noMajority:
		if m.now.After(m.round.written.Add(freshTicks * tick)) {
			return DecisionCommit
		}
		return DecisionWait
	}
	return m.round.Decide(node, m.now)
}

func (m *model) commit()  { m.head = m.round.CommitMark() }
func (m *model) abandon() { m.head = m.round.AbortMark() }

func (m *model) restart(i int) {
	m.runs++
	name := fmt.Sprintf("r%d", m.runs)
	if m.mutant == sameVoter {
		name = m.nodes[i].self
	}
	m.nodes[i] = NewNode(name, modelTiming())
	if m.mutant == sameVoter {
		m.nodes[i].Learn(NewView(chain.NewRef(1, 1, "v1", m.head.Voters(), ""), chain.Ref{}), time.Unix(0, 0))
	}
	if m.keeper == i {
		m.round = nil
	}
	m.answers = slices.DeleteFunc(m.answers, func(a answer) bool { return a.to == i })
}

// violation returns what is wrong with the state, if anything.
func (m *model) violation() string {
	for _, node := range m.nodes {
		if !node.ServeState(m.now).MayServe() {
			continue
		}
		obeys := node.view.head.Hash() == m.head.Hash()
		if m.mutant != headOnly && node.view.pending.Hash() == m.head.Hash() {
			obeys = true
		}
		if !obeys {
			return fmt.Sprintf("%s serves as %s by %s while %s is in force", node.self,
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
		return agesCap
	}
	return min(agesCap, int(m.now.Sub(at)/tick))
}

// key describes the state without the absolute time.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d/%s%v %d/%s%v k%d", m.staged, m.head.Term(), m.head.Hash(), m.head.Voters(),
		m.pending.Term(), m.pending.Hash(), m.pending.Voters(), m.keeper)
	if m.round != nil {
		fmt.Fprintf(&b, " w%d", m.age(m.round.written))
		if !m.round.majority.IsZero() {
			fmt.Fprintf(&b, "m%d", m.age(m.round.majority))
		}
	}
	for _, node := range m.nodes {
		fmt.Fprintf(&b, "|%s %v %d", node.self, node.view.Terms(), m.age(node.freshAt))
		for _, peer := range slices.Sorted(maps.Keys(node.acks)) {
			fmt.Fprintf(&b, " %s%v%d", peer, node.acks[peer].terms, m.age(node.acks[peer].at))
		}
	}
	return b.String()
}

// successors returns every state that one event leads to.
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
				step(func(c *model) { c.deliver(c.word(i, j)) })
			}
		}
		if m.runs < m.limits.restarts {
			step(func(c *model) { c.restart(i) })
		}
	}
	if m.canStage() {
		step(func(c *model) { c.stage(0, false) })
		if m.limits.changes {
			step(func(c *model) { c.stage(0, true) })
		}
	}
	if m.verdict() == DecisionCommit {
		step((*model).commit)
	}
	if m.round != nil && m.head.Term() < m.round.pending.Term() {
		step((*model).abandon)
	}
	return next
}

// explore visits states breadth first until all are visited or the bound is
// reached. It returns the first violation.
func explore(start *model, bound int) (states int, whole bool, violation string) {
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
			if len(visited) >= bound {
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
		name   string
		voters int
		limits modelLimits
		bound  int
		whole  bool
	}{
		{name: "two voters, one stage", voters: 2, limits: modelLimits{stages: 1}, bound: 400_000, whole: true},
		{name: "two voters, two stages", voters: 2, limits: modelLimits{stages: 2}, bound: 30_000},
		{name: "two voters, changes of voters", voters: 2, limits: modelLimits{stages: 2, changes: true}, bound: 30_000},
		{name: "three voters, one stage", voters: 3, limits: modelLimits{stages: 1}, bound: 30_000},
		{name: "three voters, restart", voters: 3, limits: modelLimits{stages: 1, restarts: 1, changes: true}, bound: 30_000},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			states, whole, violation := explore(newModel(tc.voters, tc.limits, noMutant), tc.bound)
			t.Logf("%d states, whole %t", states, whole)
			require.Empty(t, violation)
			require.Equal(t, tc.whole, whole)
		})
	}
}

// walk makes random events, with answers that are lost, late and out of order.
func walk(t *rapid.T, m *model, steps int) (violation string, served, outage int) {
	up := true
	linked := make(map[[2]int]bool)
	for range steps {
		switch rapid.IntRange(0, 20).Draw(t, "event") {
		case 0, 1:
			m.tick()
		case 3:
			up = rapid.Bool().Draw(t, "service up")
		case 4:
			a, b := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "a"), rapid.IntRange(0, len(m.nodes)-1).Draw(t, "b")
			linked[[2]int{a, b}] = rapid.Bool().Draw(t, "cut")
		case 5, 6, 14, 15, 16:
			if i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "reader"); up {
				m.answers = append(m.answers, answer{to: i, view: m.view(), sent: m.now})
			}
		case 7, 8, 9, 17, 18, 19:
			i, j := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "asker"), rapid.IntRange(0, len(m.nodes)-1).Draw(t, "asked")
			if i != j && !linked[[2]int{i, j}] && m.nodes[j].view.head.Term() > 0 {
				m.answers = append(m.answers, m.word(i, j))
			}
		case 10:
			if up && m.canStage() {
				m.stage(rapid.IntRange(0, len(m.nodes)-1).Draw(t, "keeper"), rapid.IntRange(0, 3).Draw(t, "kind") == 0)
			}
		case 11:
			switch {
			case up && m.verdict() == DecisionCommit:
				m.commit()
			case up && m.round != nil && m.head.Term() < m.round.pending.Term() && rapid.IntRange(0, 9).Draw(t, "abandon") == 0:
				m.abandon()
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
			return violation, served, outage
		}
		served += m.serving()
		if !up {
			outage += m.serving()
		}
	}
	return "", served, outage
}

// deliverSome delivers some of the answers on their way, in any order, and
// loses some.
func (m *model) deliverSome(t *rapid.T) {
	kept := m.answers[:0]
	arrived := []answer{}
	for _, a := range m.answers {
		switch rapid.IntRange(0, 5).Draw(t, "fate") {
		case 0:
		case 1:
			kept = append(kept, a)
		default:
			arrived = append(arrived, a)
		}
	}
	m.answers = kept
	for _, a := range arrived {
		m.deliver(a)
	}
}

func TestRandomWalks(t *testing.T) {
	served, outage := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(3, 5).Draw(t, "voters"), modelLimits{stages: 1000, changes: true}, noMutant)
		violation, s, o := walk(t, m, 300)
		served += s
		outage += o
		if violation != "" {
			t.Fatal(violation)
		}
	})
	t.Logf("served %d node-steps, %d of them while the service was down", served, outage)
	require.Positive(t, outage, "an outage alone must not stop service")
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

// rejoin is the history that shows why a restarted process is another voter:
// one that has promised to obey the pending version forgets it, and confirms
// the old one.
func rejoin(m *model) string {
	m.stage(0, false)
	m.read(0)
	m.read(1)
	m.deliver(m.word(0, 1))
	for m.verdict() != DecisionCommit {
		m.tick()
	}
	m.commit()
	m.restart(1)
	m.deliver(m.word(2, 1))
	return m.violation()
}

func TestRestartedVoterHasNoVote(t *testing.T) {
	limits := modelLimits{stages: 1, restarts: 1}
	require.Empty(t, rejoin(newModel(3, limits, noMutant)))
	require.NotEmpty(t, rejoin(newModel(3, limits, sameVoter)))
}

// TestMain makes the random walks the same in each run, unless flags say
// otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

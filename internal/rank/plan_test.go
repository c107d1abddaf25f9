package rank

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/group"
	"github.com/lentilstand/lentilstand/platform"
)

// TestTheCurrentMapIsOneVersion guards against a current map that is mixed from two
// versions, which no rank has. That happens if the leader has reports of a switch
// from only some ranks, while rank 1 still reports its previous experts.
func TestTheCurrentMapIsOneVersion(t *testing.T) {
	before, after := [][][]int{{{0, 1}, {2, 3}}}, [][][]int{{{2, 0}, {1, 3}}}
	mixed := [][][]int{{{2, 0}}, {{2, 3}}}
	complete := [][][]int{{{2, 0}}, {{1, 3}}}
	testCases := []struct {
		name     string
		state    platform.RankState
		ordered  bool
		maps     [2]uint64
		reported [][][]int
		want     [][][]int
	}{
		{name: "initial map", state: platform.RankState{Size: 2}, reported: mixed, want: [][][]int{{{0, 2}, {1, 3}}}},
		{name: "ordered to prepare", state: platform.RankState{Size: 2, Map: 8}, ordered: true, maps: [2]uint64{8, 7}, reported: mixed, want: after},
		{name: "reported", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 8}, reported: complete, want: after},
		{name: "reports of two versions", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 7}, reported: mixed},
		{name: "an older epoch", state: platform.RankState{Size: 2, Map: 8, Epoch: 2}, maps: [2]uint64{8, 8}, reported: complete},
		{name: "a rank hasn't reported its experts", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 8}, reported: [][][]int{{{2, 0}}, nil}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			a := &Agent{state: tc.state, shape: mapShape{sets: 1, experts: 4, slots: 2}}
			a.plans.add(7, before)
			if tc.ordered {
				a.plans.add(8, after)
			}
			l := &leader{agent: a, experts: tc.reported, views: []group.View{{Map: tc.maps[0]}, {Map: tc.maps[1]}}}
			require.Equal(t, tc.want, l.currentMap())
		})
	}
}

// TestAgentsThatDoNotKnowTheMapInUseGetTheWholeNewOne guards against agents that are
// sent only changes to a map that they don't know, as after a restart of all
// processes or while they still know an older map.
func TestAgentsThatDoNotKnowTheMapInUseGetTheWholeNewOne(t *testing.T) {
	testCases := []struct {
		name     string
		known    knownMap
		base     [][][]int
		attempts int
		want     bool
	}{
		{name: "the agent knows the map in use", known: knownMap{version: 7, known: true}, base: [][][]int{{{0}}}},
		{name: "the agent has restarted", known: knownMap{version: 7}, base: [][][]int{{{0}}}, want: true},
		{name: "the agent has reported an older map", known: knownMap{version: 6, known: true}, base: [][][]int{{{0}}}, want: true},
		{name: "changes were lost", known: knownMap{version: 7, known: true}, base: [][][]int{{{0}}}, attempts: fullMapAfter, want: true},
		{name: "the leader doesn't know the base of the changes", known: knownMap{version: 7, known: true}, want: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			l := &leader{base: tc.base, baseVersion: 7, knownMaps: []knownMap{{}, tc.known}}
			require.Equal(t, tc.want, l.needsFullMap(1, tc.attempts))
		})
	}
}

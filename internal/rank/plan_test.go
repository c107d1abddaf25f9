package rank

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/group"
	"github.com/lentilstand/lentilstand/platform"
)

// TestTheCurrentMapIsOneVersion has a leader that hears of a switch from some of
// its ranks only: rank 1 still shows the experts that it had before.
func TestTheCurrentMapIsOneVersion(t *testing.T) {
	before, after := [][][]int{{{0, 1}, {2, 3}}}, [][][]int{{{2, 0}, {1, 3}}}
	mixed := [][][]int{{{2, 0}}, {{2, 3}}}
	whole := [][][]int{{{2, 0}}, {{1, 3}}}
	testCases := []struct {
		name     string
		state    platform.RankState
		told     bool
		maps     [2]uint64
		reported [][][]int
		want     [][][]int
	}{
		{name: "map 0", state: platform.RankState{Size: 2}, reported: mixed, want: [][][]int{{{0, 2}, {1, 3}}}},
		{name: "told", state: platform.RankState{Size: 2, Map: 8}, told: true, maps: [2]uint64{8, 7}, reported: mixed, want: after},
		{name: "reported", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 8}, reported: whole, want: after},
		{name: "two versions", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 7}, reported: mixed},
		{name: "an older epoch", state: platform.RankState{Size: 2, Map: 8, Epoch: 2}, maps: [2]uint64{8, 8}, reported: whole},
		{name: "a rank that didn't tell", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 8}, reported: [][][]int{{{2, 0}}, nil}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			a := &Agent{state: tc.state, shape: shape{sets: 1, experts: 4, places: 2}}
			a.plans.add(7, before)
			if tc.told {
				a.plans.add(8, after)
			}
			l := &lead{agent: a, experts: tc.reported, views: []group.View{{Map: tc.maps[0]}, {Map: tc.maps[1]}}}
			require.Equal(t, tc.want, l.current())
		})
	}
}

// TestAgentsThatDoNotKnowTheMapInUseGetTheWholeNewOne has agents that started anew, as
// after a kill of all processes, beside others that know an older map.
func TestAgentsThatDoNotKnowTheMapInUseGetTheWholeNewOne(t *testing.T) {
	testCases := []struct {
		name  string
		known knownMap
		base  [][][]int
		times int
		want  bool
	}{
		{name: "it knows the map in use", known: knownMap{version: 7, ok: true}, base: [][][]int{{{0}}}},
		{name: "it has started anew", known: knownMap{version: 7}, base: [][][]int{{{0}}}, want: true},
		{name: "it has told of an older map", known: knownMap{version: 6, ok: true}, base: [][][]int{{{0}}}, want: true},
		{name: "changes were lost", known: knownMap{version: 7, ok: true}, base: [][][]int{{{0}}}, times: wholeAfter, want: true},
		{name: "the leader can't tell the changes", known: knownMap{version: 7, ok: true}, want: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			l := &lead{base: tc.base, baseVersion: 7, known: []knownMap{{}, tc.known}}
			require.Equal(t, tc.want, l.getsWhole(1, tc.times))
		})
	}
}

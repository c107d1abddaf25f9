package belief_test

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/belief"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// decode reads test items: "table" holds a version, "endpoint/ID" an address, a
// start in seconds and a state, "evacuate/DC" anything, "member/NAME" anything.
func decode(pair store.Pair) (any, error) {
	kind, name, _ := strings.Cut(pair.Key(), "/")
	value := string(pair.Value())
	switch kind {
	case "table":
		version, err := strconv.ParseUint(value, 10, 64)
		return table.New(table.Spec{Version: version}), err
	case "endpoint":
		fields := strings.Fields(value)
		if len(fields) != 3 {
			return nil, eris.New("no endpoint")
		}
		start, err := strconv.Atoi(fields[1])
		return table.NewEndpoint(table.EndpointSpec{
			ID: name, Service: "s", DataCentre: "a", Address: netip.MustParseAddrPort(fields[0]),
			Start: time.Unix(int64(start), 0), Draining: fields[2] == "draining",
		}), err
	case "evacuate":
		return table.NewEvacuation(name), nil
	case "member":
		return table.NewMember(name, "a", "1.1.1.1:1", "1.1.1.1:2"), nil
	}
	return nil, eris.New("a foreign key")
}

var at = time.Unix(1000, 0)

func pair(key, value string, revision uint64) store.Pair {
	return store.NewPair(key, []byte(value), revision)
}

func ids(p *belief.Picture) []string {
	var names []string
	for _, endpoint := range p.Endpoints("s") {
		names = append(names, endpoint.ID())
	}
	return names
}

func TestAnEndpointThatStartedLastHasItsAddress(t *testing.T) {
	s := belief.New(decode)
	s.Replace(store.NewSnapshot([]store.Pair{
		pair("endpoint/old", "10.0.0.1:80 5 ready", 7), pair("endpoint/new", "10.0.0.1:80 9 ready", 6), pair("endpoint/other", "10.0.0.2:80 1 ready", 5),
	}, 7), at, false)
	require.Equal(t, []string{"new", "other"}, ids(s.Picture()))
	s.Apply([]store.Change{store.Removed("endpoint/new", 8)}, 8, at, false)
	require.Equal(t, []string{"old", "other"}, ids(s.Picture()))
}

func TestEntriesThatLapsedUnseenHaveAGrace(t *testing.T) {
	s := belief.New(decode)
	s.Replace(store.NewSnapshot([]store.Pair{
		pair("endpoint/ready", "10.0.0.1:80 1 ready", 2), pair("endpoint/leaving", "10.0.0.2:80 1 draining", 3), pair("evacuate/a", "", 4),
	}, 4), at, false)
	s.Replace(store.NewSnapshot(nil, 9), at, true)
	require.Equal(t, []string{"ready"}, ids(s.Picture()), "one that was leaving is gone")
	require.False(t, s.Picture().Evacuated("a"))
	require.Empty(t, s.Pairs(), "peers aren't told of what may be gone")
	require.False(t, s.Expire(at.Add(belief.LapseGrace)))
	require.True(t, s.Expire(at.Add(belief.LapseGrace+time.Millisecond)))
	require.Empty(t, ids(s.Picture()))
	s.Apply([]store.Change{store.Written(pair("endpoint/ready", "10.0.0.1:80 1 ready", 10))}, 10, at, false)
	require.Equal(t, []string{"ready"}, ids(s.Picture()))
}

func TestUnreadableItemsAreFindings(t *testing.T) {
	s := belief.New(decode)
	s.Apply([]store.Change{store.Written(pair("endpoint/x", "bad", 1)), store.Written(pair("endpoint/y", "10.0.0.1:80 1 ready", 2))}, 2, at, false)
	require.Equal(t, []string{"y"}, ids(s.Picture()))
	findings := s.TakeFindings()
	require.Len(t, findings, 1)
	require.Equal(t, "endpoint/x", findings[0].Key())
	require.Empty(t, s.TakeFindings())
}

// history is what the store held at each revision.
type history struct {
	states []map[string]store.Pair
}

// write appends a revision that sets or removes a key.
func (h *history) write(key, value string, remove bool) {
	next := make(map[string]store.Pair)
	if len(h.states) > 0 {
		for k, p := range h.states[len(h.states)-1] {
			next[k] = p
		}
	}
	if remove {
		delete(next, key)
	} else {
		next[key] = pair(key, value, uint64(len(h.states)+1))
	}
	h.states = append(h.states, next)
}

func (h *history) revision() uint64 { return uint64(len(h.states)) }

func (h *history) snapshot(revision uint64) store.Snapshot {
	var pairs []store.Pair
	for _, p := range h.states[revision-1] {
		pairs = append(pairs, p)
	}
	return store.NewSnapshot(pairs, revision)
}

// changes returns what a watch shows from after to revision: the last change of
// each key, also of those that came and went in between.
func (h *history) changes(after, revision uint64) []store.Change {
	var changes []store.Change
	before, now := make(map[string]bool), h.states[revision-1]
	for at := max(after, 1); at <= revision; at++ {
		for key := range h.states[at-1] {
			before[key] = true
		}
	}
	for _, p := range now {
		if p.Revision() > after {
			changes = append(changes, store.Written(p))
		}
	}
	for key := range before {
		if _, ok := now[key]; !ok {
			changes = append(changes, store.Removed(key, revision))
		}
	}
	return changes
}

// TestNoSourceTakesThePictureBack lets two processes learn from the store's full
// reads, from watches, and from each other, all late and out of turn. The picture
// never holds less than any news that it has taken in.
func TestNoSourceTakesThePictureBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		h.write("table", "1", false)
		states := []*belief.State{belief.New(decode), belief.New(decode)}
		versions := make([]uint64, len(states))
		version := 1
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				version += rapid.IntRange(1, 3).Draw(t, "uneven")
				h.write("table", strconv.Itoa(version), false)
			case 1:
				name := "endpoint/" + strconv.Itoa(rapid.IntRange(1, 4).Draw(t, "endpoint"))
				h.write(name, "10.0.0."+name[len(name)-1:]+":80 1 ready", rapid.Bool().Draw(t, "gone"))
			case 2:
				which := rapid.IntRange(0, 1).Draw(t, "reader")
				read := rapid.Uint64Range(1, h.revision()).Draw(t, "as of")
				states[which].Replace(h.snapshot(read), at, false)
			case 3:
				which := rapid.IntRange(0, 1).Draw(t, "watcher")
				after := states[which].Revision()
				to := rapid.Uint64Range(after, h.revision()).Draw(t, "up to")
				if to > after {
					states[which].Apply(h.changes(after, to), to, at, false)
				}
			case 4:
				which := rapid.IntRange(0, 1).Draw(t, "peer")
				from, own := states[1-which], states[which]
				if changes, ok := from.Since(own.Revision()); ok && from.Revision() > own.Revision() {
					own.Apply(changes, from.Revision(), at, false)
				}
			case 5:
				which := rapid.IntRange(0, 1).Draw(t, "peer")
				from, own := states[1-which], states[which]
				own.Replace(store.NewSnapshot(from.Pairs(), from.Revision()), at, false)
			}
			for i, s := range states {
				if s.Revision() == 0 {
					continue
				}
				now := h.states[s.Revision()-1]
				shown := s.Picture().Table()
				require.NotNil(t, shown)
				require.GreaterOrEqual(t, shown.Version(), versions[i], "the table went back")
				versions[i] = shown.Version()
				require.Equal(t, string(now["table"].Value()), strconv.FormatUint(shown.Version(), 10))
				count := 0
				for key := range now {
					if strings.HasPrefix(key, "endpoint/") {
						count++
					}
				}
				require.Len(t, ids(s.Picture()), count, "endpoints as of revision %d", s.Revision())
			}
		}
	})
}

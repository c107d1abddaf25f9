package mirror_test

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// decode decodes test pairs: the value of "table" is a version, of "endpoint/ID" an
// address, a start time in seconds and a state. The values of "evacuate/DC" and
// "member/NAME" are ignored.
func decode(pair store.Pair) (any, error) {
	kind, name, _ := strings.Cut(pair.Key(), "/")
	value := string(pair.Value())
	switch kind {
	case "table":
		version, err := strconv.ParseUint(value, 10, 64)
		return table.New(table.Spec{Version: version, Services: []*table.Service{table.NewService(table.ServiceSpec{Name: "s"})}}), err
	case "endpoint":
		fields := strings.Fields(value)
		if len(fields) != 3 {
			return nil, eris.New("malformed endpoint")
		}
		seconds, err := strconv.Atoi(fields[1])
		return table.NewEndpoint(table.EndpointSpec{
			ID: name, Service: "s", DataCentre: "a", Address: netip.MustParseAddrPort(fields[0]),
			Start: time.Unix(int64(seconds), 0), Draining: fields[2] == "draining",
		}), err
	case "evacuate":
		return table.NewEvacuation(name), nil
	case "member":
		return table.NewMember(name, "a", "1.1.1.1:1", "1.1.1.1:2"), nil
	}
	return nil, eris.New("unknown key")
}

// start is the initial time of the tests.
var start = time.Unix(1000, 0)

func pair(key, value string, revision uint64) store.Pair {
	return store.NewPair(key, []byte(value), revision)
}

// ids returns the IDs of the endpoints in a view.
func ids(view *mirror.View) []string {
	var names []string
	for _, endpoint := range view.Endpoints("s") {
		names = append(names, endpoint.ID())
	}
	return names
}

// TestNewestEndpointWinsAddress checks that only the endpoint that started last at an
// address is in the view, until it is removed.
func TestNewestEndpointWinsAddress(t *testing.T) {
	s := mirror.New(decode)
	s.Replace(store.NewSnapshot([]store.Pair{
		pair("endpoint/old", "10.0.0.1:80 5 ready", 7), pair("endpoint/new", "10.0.0.1:80 9 ready", 6), pair("endpoint/other", "10.0.0.2:80 1 ready", 5),
	}, 7), start, start)
	require.Equal(t, []string{"new", "other"}, ids(s.View()))
	s.Apply([]store.Change{store.Removed("endpoint/new", 8)}, 8, start, start)
	require.Equal(t, []string{"old", "other"}, ids(s.View()))
}

// TestExpiryGrace checks that an endpoint whose key expired while the store couldn't be
// watched stays in the view for ExpiryGrace, unless it was draining.
func TestExpiryGrace(t *testing.T) {
	s := mirror.New(decode)
	s.Replace(store.NewSnapshot([]store.Pair{
		pair("endpoint/ready", "10.0.0.1:80 1 ready", 2), pair("endpoint/leaving", "10.0.0.2:80 1 draining", 3), pair("evacuate/a", "", 4),
	}, 4), start, start)
	s.Replace(store.NewSnapshot(nil, 9), start, start.Add(mirror.ExpiryGrace))
	require.Equal(t, []string{"ready"}, ids(s.View()), "a draining endpoint has no grace")
	require.False(t, s.View().Evacuated("a"))
	require.Empty(t, s.Pairs(), "keys in their grace aren't sent to peers")
	require.False(t, s.Expire(start.Add(mirror.ExpiryGrace)))
	require.True(t, s.Expire(start.Add(mirror.ExpiryGrace+time.Millisecond)))
	require.Empty(t, ids(s.View()))
	s.Apply([]store.Change{store.Written(pair("endpoint/ready", "10.0.0.1:80 1 ready", 10))}, 10, start, start)
	require.Equal(t, []string{"ready"}, ids(s.View()))
}

// TestGraceEndsWithTheOutageGrace guards against requests to an endpoint that leaves
// soon after the store has returned: its removal in the grace period must not begin
// another one.
func TestGraceEndsWithTheOutageGrace(t *testing.T) {
	s := mirror.New(decode)
	graceUntil := start.Add(mirror.ExpiryGrace)
	s.Replace(store.NewSnapshot([]store.Pair{pair("endpoint/leaving", "10.0.0.1:80 1 ready", 2)}, 4), start, graceUntil)
	removedAt := graceUntil.Add(-100 * time.Millisecond)
	s.Apply([]store.Change{store.Removed("endpoint/leaving", 5)}, 5, removedAt, graceUntil)
	require.Equal(t, []string{"leaving"}, ids(s.View()))
	require.True(t, s.Expire(graceUntil.Add(time.Millisecond)))
	require.Empty(t, ids(s.View()))
}

// TestLateRemovalKeepsNewerOne has the removals of a key arrive in the wrong order, and then
// an older write of it from a peer. The key must stay removed.
func TestLateRemovalKeepsNewerOne(t *testing.T) {
	s := mirror.New(decode)
	s.Apply([]store.Change{store.Removed("endpoint/x", 9), store.Removed("endpoint/x", 6)}, 9, start, start)
	s.Apply([]store.Change{store.Written(pair("endpoint/x", "10.0.0.1:80 1 ready", 8))}, 9, start, start)
	require.Empty(t, ids(s.View()))
}

// TestUndecodablePairsAreFindings checks that a pair that can't be decoded is reported
// once, and that the other pairs are applied.
func TestUndecodablePairsAreFindings(t *testing.T) {
	s := mirror.New(decode)
	s.Apply([]store.Change{store.Written(pair("endpoint/x", "bad", 1)), store.Written(pair("endpoint/y", "10.0.0.1:80 1 ready", 2))}, 2, start, start)
	require.Equal(t, []string{"y"}, ids(s.View()))
	findings := s.DrainFindings()
	require.Len(t, findings, 1)
	require.Equal(t, "endpoint/x", findings[0].Key())
	require.Empty(t, s.DrainFindings())
}

// decodeForeign decodes endpoints whose values are a service, an address, a start time in
// seconds and a data centre, and tables whose values are a version and the names of services.
func decodeForeign(pair store.Pair) (any, error) {
	kind, name, _ := strings.Cut(pair.Key(), "/")
	fields := strings.Fields(string(pair.Value()))
	switch kind {
	case "table":
		spec := table.Spec{}
		var err error
		spec.Version, err = strconv.ParseUint(fields[0], 10, 64)
		for _, service := range fields[1:] {
			spec.Services = append(spec.Services, table.NewService(table.ServiceSpec{Name: service}))
		}
		return table.New(spec), err
	case "member":
		return table.NewMember(name, "a", fields[0], "2.2.2.2:2"), nil
	}
	seconds, err := strconv.Atoi(fields[2])
	return table.NewEndpoint(table.EndpointSpec{
		ID: name, Service: fields[0], Address: netip.MustParseAddrPort(fields[1]), Start: time.Unix(int64(seconds), 0), DataCentre: fields[3],
	}), err
}

// TestForeignEndpointsTakeNoAddress guards against endpoints of another writer that displace a
// service's own endpoint from its address, or that stand for an entry.
func TestForeignEndpointsTakeNoAddress(t *testing.T) {
	testCases := []struct{ name, foreign string }{
		{"a service that no configuration names", "archive 1.1.1.1:1 1001 a"},
		{"a start far ahead", "s 1.1.1.1:1 900000 a"},
		{"a start far ahead in another service", "other 1.1.1.1:1 900000 a"},
		{"a data centre that isn't known", "s 1.1.1.1:1 1001 nowhere"},
		{"the address of this entry", "s 3.3.3.3:3 1001 a"},
		{"the address of another entry", "s 4.4.4.4:4 1001 a"},
		{"the address at which another entry hears the others", "s 2.2.2.2:2 1001 a"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := mirror.New(decodeForeign)
			s.SetSite([]netip.AddrPort{netip.MustParseAddrPort("3.3.3.3:3")}, []string{"a", "b"})
			s.Replace(store.NewSnapshot([]store.Pair{
				pair("table", "1 s other", 1), pair("endpoint/own", "s 1.1.1.1:1 1000 a", 2), pair("member/e", "4.4.4.4:4", 3),
				pair("endpoint/foreign", tc.foreign, 4),
			}, 4), start, time.Time{})
			require.Equal(t, []string{"own"}, ids(s.View()))
			require.Empty(t, s.View().Endpoints("other"))
			require.Contains(t, s.View().Ignored(), "endpoint/foreign")
			require.NotContains(t, s.View().Ignored(), "endpoint/own")
		})
	}
}

// TestServicesComeAndGoWithTheTable guards against an endpoint that stays ignored though a
// later table names its service, and one that stays in use though a later table doesn't.
func TestServicesComeAndGoWithTheTable(t *testing.T) {
	s := mirror.New(decodeForeign)
	apply := func(revision uint64, pairs ...store.Pair) {
		var changes []store.Change
		for _, p := range pairs {
			changes = append(changes, store.Written(p))
		}
		s.Apply(changes, revision, start, time.Time{})
	}
	apply(2, pair("endpoint/own", "s 1.1.1.1:1 1000 a", 1), pair("endpoint/later", "later 1.1.1.1:2 1000 a", 2))
	apply(3, pair("table", "1 s", 3))
	require.Equal(t, []string{"own"}, ids(s.View()))
	require.Empty(t, s.View().Endpoints("later"))
	apply(4, pair("table", "2 s later", 4))
	require.Len(t, s.View().Endpoints("later"), 1)
	require.Empty(t, s.View().Ignored())
	apply(5, pair("table", "3 later", 5))
	require.Empty(t, ids(s.View()))
	require.Len(t, s.View().Endpoints("later"), 1)
}

// TestHeldStateOfLatePeerDoesNotUndoRemoval guards against an endpoint or an evacuation that comes back
// since a process that was away has not seen its removal in the new era.
func TestHeldStateOfLatePeerDoesNotUndoRemoval(t *testing.T) {
	for _, away := range []time.Duration{30 * time.Second, 90 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			pairs := []store.Pair{pair("endpoint/1", "10.0.0.1:80 1 ready", 20), pair("evacuate/a", "", 21)}
			present, late := mirror.New(decode), mirror.New(decode)
			for _, s := range []*mirror.State{present, late} {
				s.Replace(store.SnapshotAt(pairs, store.At(1, 150)), start, start)
			}
			present.Replace(store.SnapshotAt(pairs, store.At(2, 100)), start, start)
			present.Apply([]store.Change{store.Removed("endpoint/1", 110), store.Removed("evacuate/a", 111)}, 111, start, start)
			now := start.Add(away)
			present.Expire(now)
			late.Replace(store.SnapshotAt(nil, store.At(2, 111)), now, now)
			present.MergeHeld(late.Held(), now)
			require.Empty(t, ids(present.View()))
			require.False(t, present.View().Evacuated("a"))
		})
	}
}

// TestLeavingWithEarlierStartIsObeyed guards against requests to an endpoint that says after a recovery
// that it leaves, but whose clock was set back before it started.
func TestLeavingWithEarlierStartIsObeyed(t *testing.T) {
	s := mirror.New(decode)
	s.Replace(store.SnapshotAt([]store.Pair{pair("endpoint/1", "10.0.0.1:80 9 ready", 150)}, store.At(1, 150)), start, start)
	s.Replace(store.SnapshotAt([]store.Pair{pair("endpoint/1", "10.0.0.1:80 5 ready", 20)}, store.At(2, 100)), start, start)
	s.Apply([]store.Change{store.Written(pair("endpoint/1", "10.0.0.1:80 7 draining", 160))}, 160, start, start)
	for _, endpoint := range s.View().Endpoints("s") {
		require.True(t, endpoint.Draining())
	}
}

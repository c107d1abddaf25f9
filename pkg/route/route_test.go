package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/route"
)

// baseConfig configures a service with three endpoints, two in data centres of one region
// and one in another region.
const baseConfig = `{
  "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}, {"name": "c", "region": "s"}],
  "services": [{"name": "lm", "kind": "model", "repeatable": true}],
  "models": [{"name": "lm", "service": "lm"}],
  "teams": [{"name": "t", "key_sha256": "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}],
  "endpoints": [
    {"name": "e1", "service": "lm", "data_centre": "a", "address": "127.0.0.1:1"},
    {"name": "e2", "service": "lm", "data_centre": "b", "address": "127.0.0.1:2"},
    {"name": "e3", "service": "lm", "data_centre": "c", "address": "127.0.0.1:3"}
  ]
}`

func newVersion(t testing.TB) *config.Version {
	cfg, err := config.Parse("f", []byte(baseConfig))
	require.NoError(t, err)
	return config.NewFirstVersion(cfg, time.Unix(0, 0))
}

func withPatch(t testing.TB, v *config.Version, change string) *config.Version {
	patch, err := config.ParsePatch("p", []byte(`{"who": "a", "why": "b", `+change+`}`), config.WithBase(v.Number()))
	require.NoError(t, err)
	next, err := v.ApplyPatch(patch, time.Unix(1, 0))
	require.NoError(t, err)
	return next
}

func names(d route.Decision) []string {
	var all []string
	for _, e := range d.Endpoints() {
		all = append(all, e.Name())
	}
	return all
}

func TestDecide(t *testing.T) {
	free := func(names ...string) map[string]route.Load {
		loads := make(map[string]route.Load)
		for _, name := range names {
			loads[name] = route.NewLoad(4, 0)
		}
		return loads
	}
	out := `"set": {"data_centres": [{"name": "a", "region": "r", "out": true}]}`
	testCases := []struct {
		name    string
		head    string
		pending string
		loads   map[string]route.Load
		want    []string
		reason  route.Reason
	}{
		{name: "all", loads: free("e1", "e2", "e3"), want: []string{"e1", "e2", "e3"}, reason: route.ReasonWeighted},
		{name: "none has reported", reason: route.ReasonNoneReady},
		{
			name: "not ready and leaving", loads: map[string]route.Load{
				"e1": route.NewLoad(4, 0, route.NotReady()), "e2": route.NewLoad(4, 0, route.Leaving()), "e3": route.NewLoad(4, 0),
			},
			want: []string{"e3"}, reason: route.ReasonWeighted,
		},
		{name: "data centre out", head: out, loads: free("e1", "e2"), want: []string{"e2"}, reason: route.ReasonWeighted},
		{name: "data centre out in the staged version", pending: out, loads: free("e1", "e2"), want: []string{"e2"}, reason: route.ReasonWeighted},
		{
			name: "endpoint leaving", head: `"set": {"endpoints": [{"name": "e2", "service": "lm", "data_centre": "b", "address": "127.0.0.1:2", "leaving": true}]}`,
			loads: free("e1", "e2"), want: []string{"e1"}, reason: route.ReasonWeighted,
		},
		{
			name: "address changes in the staged version", pending: `"set": {"endpoints": [{"name": "e2", "service": "lm", "data_centre": "b", "address": "127.0.0.1:9"}]}`,
			loads: free("e1", "e2"), want: []string{"e1"}, reason: route.ReasonWeighted,
		},
		{name: "nothing in service", head: `"delete": {"endpoints": ["e1", "e2", "e3"]}`, loads: free("e1"), reason: route.ReasonNoEndpoint},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			head := newVersion(t)
			if tc.head != "" {
				head = withPatch(t, head, tc.head)
			}
			var pending *config.Version
			if tc.pending != "" {
				pending = withPatch(t, head, tc.pending)
			}
			decision := route.Decide(route.NewRules(head, pending), tc.loads, route.NewRequest("lm", "a"), 1)
			require.ElementsMatch(t, tc.want, names(decision))
			require.Equal(t, tc.reason, decision.Reason())
		})
	}
}

// TestStaleReportsSpreadRequests checks that entries with the same stale load report
// choose endpoints in proportion to free capacity. If they all chose the least
// loaded endpoint, they would overload it.
func TestStaleReportsSpreadRequests(t *testing.T) {
	rules := route.NewRules(newVersion(t), nil)
	loads := map[string]route.Load{"e1": route.NewLoad(10, 2), "e2": route.NewLoad(10, 0), "e3": route.NewLoad(10, 9)}
	first := make(map[string]int)
	const entries = 1000
	for seed := range uint64(entries) {
		first[names(route.Decide(rules, loads, route.NewRequest("lm", "x"), seed))[0]]++
	}
	require.InDelta(t, entries*8/19, first["e1"], 60)
	require.InDelta(t, entries*10/19, first["e2"], 60)
	require.InDelta(t, entries*1/19, first["e3"], 30)
}

func TestSessionAffinity(t *testing.T) {
	rules := route.NewRules(newVersion(t), nil)
	loads := map[string]route.Load{"e1": route.NewLoad(10, 5), "e2": route.NewLoad(10, 5), "e3": route.NewLoad(10, 5)}
	for n := range 20 {
		session := route.WithSession(fmt.Sprint("session ", n))
		preferred := names(route.Decide(rules, loads, route.NewRequest("lm", "a", session), 1))[0]
		for seed := range uint64(20) {
			decision := route.Decide(rules, loads, route.NewRequest("lm", "a", session), seed)
			require.Equal(t, preferred, names(decision)[0])
			require.Equal(t, route.ReasonSession, decision.Reason())
		}
		full := map[string]route.Load{"e1": loads["e1"], "e2": loads["e2"], "e3": loads["e3"]}
		full[preferred] = route.NewLoad(10, 10)
		moved := names(route.Decide(rules, full, route.NewRequest("lm", "a", session), 1))[0]
		require.NotEqual(t, preferred, moved, "a session moves away from a full endpoint")
	}
}

func TestCachedEndpointIsPreferred(t *testing.T) {
	rules := route.NewRules(newVersion(t), nil)
	session := route.WithSession("s")
	loads := map[string]route.Load{"e1": route.NewLoad(10, 5), "e2": route.NewLoad(10, 5), "e3": route.NewLoad(10, 5)}
	preferred := names(route.Decide(rules, loads, route.NewRequest("lm", "a", session), 1))[0]
	for _, name := range []string{"e1", "e2", "e3"} {
		if name == preferred {
			continue
		}
		loadsWithCache := map[string]route.Load{"e1": loads["e1"], "e2": loads["e2"], "e3": loads["e3"]}
		loadsWithCache[name] = route.NewLoad(10, 5, route.Cached())
		decision := route.Decide(rules, loadsWithCache, route.NewRequest("lm", "a", session), 1)
		require.Equal(t, name, names(decision)[0])
		require.Equal(t, route.ReasonCached, decision.Reason())
		loadsWithCache[name] = route.NewLoad(10, 10, route.Cached())
		decision = route.Decide(rules, loadsWithCache, route.NewRequest("lm", "a", session), 1)
		require.Equal(t, preferred, names(decision)[0], "a full endpoint isn't preferred for its cache")
	}
}

func TestExcludedEndpointsComeLast(t *testing.T) {
	rules := route.NewRules(newVersion(t), nil)
	loads := map[string]route.Load{"e1": route.NewLoad(10, 0), "e2": route.NewLoad(10, 9), "e3": route.NewLoad(10, 9)}
	for seed := range uint64(100) {
		order := names(route.Decide(rules, loads, route.NewRequest("lm", "a", route.WithExcluded("e1")), seed))
		require.Equal(t, "e1", order[2])
	}
}

func BenchmarkDecide(b *testing.B) {
	rules := route.NewRules(newVersion(b), nil)
	loads := map[string]route.Load{"e1": route.NewLoad(10, 2), "e2": route.NewLoad(10, 0), "e3": route.NewLoad(10, 9)}
	request := route.NewRequest("lm", "a", route.WithSession("s"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			route.Decide(rules, loads, request, 1)
		}
	})
}

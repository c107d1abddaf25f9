package audit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/retry"
	"github.com/lentilstand/lentilstand/pkg/route"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// service is a key-value service at hand.
type service struct {
	kv *stand.KV
}

func (s *service) Read(_ context.Context, prefixes ...string) (store.Snapshot, error) {
	return s.kv.Read(prefixes), nil
}

func (s *service) Put(_ context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	return s.kv.Put(key, value, expect, lease)
}

func (s *service) Delete(_ context.Context, key string, expect uint64) error {
	return s.kv.Delete(key, expect)
}

const audited = `{
  "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "services": [{"name": "lm", "kind": "model", "repeatable": true}],
  "models": [{"name": "lm", "service": "lm"}],
  "teams": [{"name": "t", "key_sha256": "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}],
  "endpoints": [
    {"name": "e1", "service": "lm", "data_centre": "a", "address": "127.0.0.1:1"},
    {"name": "e2", "service": "lm", "data_centre": "b", "address": "127.0.0.1:2"},
    {"name": "e3", "service": "lm", "data_centre": "b", "address": "127.0.0.1:3"},
    {"name": "e4", "service": "lm", "data_centre": "b", "address": "127.0.0.1:4"}
  ]
}`

const writer = "entry-1/x"

// recorded returns a service with two versions, of which the second takes data
// centre a out, and the records of requests by both in three batches.
func recorded(t *testing.T) *service {
	ctx := context.Background()
	s := &service{kv: stand.NewKV()}
	cfg, err := config.Parse("f", []byte(audited))
	require.NoError(t, err)
	first := config.NewFirstVersion(cfg, time.Unix(0, 0))
	require.NoError(t, chain.Init(ctx, s, first, "test"))
	patch, err := config.ParsePatch("p", []byte(`{"base": 1, "who": "x", "why": "y", "set": {"data_centres": [{"name": "a", "region": "r", "out": true}]}}`))
	require.NoError(t, err)
	second, err := first.ApplyPatch(patch, time.Unix(1, 0))
	require.NoError(t, err)
	require.NoError(t, chain.WriteVersion(ctx, s, second))
	pair, _ := s.kv.Read([]string{chain.HeadKey}).Get(chain.HeadKey)
	_, err = s.Put(ctx, chain.HeadKey, chain.NewRef(2, 2, second.Hash(), nil, "test").Encode(), pair.Revision(), 0)
	require.NoError(t, err)

	w := NewWriter(s, writer)
	require.NoError(t, w.Open(ctx))
	loads := map[string]route.Load{"e1": route.NewLoad(4, 0), "e2": route.NewLoad(4, 1), "e3": route.NewLoad(4, 3), "e4": route.NewLoad(4, 0)}
	for i, rules := range []route.Rules{route.NewRules(first, second), route.NewRules(second, nil)} {
		for n := range 20 {
			seed := uint64(100*i + n)
			request := route.NewRequest("lm", "a", route.WithSession("s"))
			chosen := route.Decide(rules, loads, request, seed).Endpoints()[0].Name()
			record := NewRecord(fmt.Sprintf("request-%d-%d", i, n), time.Unix(int64(1000+n), 0), "t", "lm", "lm", "a", "s")
			attempt := NewAttempt(chosen, rules, loads, seed).WithState(retry.Run)
			w.Add(record.WithOutcome([]Attempt{attempt}, retry.OutcomeRun, ""))
		}
		require.NoError(t, w.Flush(ctx))
	}
	require.NoError(t, w.Close(ctx))
	return s
}

func replay(t *testing.T, s *service) *Report {
	t.Helper()
	report, err := Replay(context.Background(), s, NewTimeRange(time.Unix(0, 0), time.Unix(5000, 0)), time.Now().Add(time.Hour))
	require.NoError(t, err)
	return report
}

// tamper changes a batch in place. Resealed also mends the hashes of the later
// batches, as a careful forger would.
func tamper(t *testing.T, s *service, sequence uint64, resealed bool, change func(*wirepb.AuditBatch)) {
	t.Helper()
	var previous []byte
	for n := sequence; n <= 3; n++ {
		pair, ok := s.kv.Read([]string{batchKey(writer, n)}).Get(batchKey(writer, n))
		require.True(t, ok)
		batch, err := unpack(pair.Value())
		require.NoError(t, err)
		if n == sequence {
			change(batch)
		} else {
			batch.Previous = previous
		}
		packed := pack(batch)
		_, err = s.kv.Put(pair.Key(), packed, pair.Revision(), 0)
		require.NoError(t, err)
		if !resealed {
			return
		}
		previous = sumOf(packed)
	}
}

func TestReplay(t *testing.T) {
	testCases := []struct {
		name string
		harm func(t *testing.T, s *service)
		kind Kind
		text string
	}{
		{name: "true records", harm: func(*testing.T, *service) {}},
		{name: "another endpoint", kind: KindMisrouted, text: `went to "e1", which version 2 doesn't allow`, harm: func(t *testing.T, s *service) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) { b.Records[3].Attempts[0].Endpoint = "e1" })
		}},
		{name: "an endpoint that was not drawn", kind: KindMisrouted, text: "which is number", harm: func(t *testing.T, s *service) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) {
				for _, record := range b.Records {
					record.Attempts[0].Endpoint = "e3"
				}
			})
		}},
		{name: "another version", kind: KindMisrouted, text: "there is no version 9", harm: func(t *testing.T, s *service) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) { b.Records[3].Attempts[0].Version = 9 })
		}},
		{name: "another team", kind: KindMisrouted, text: `team "x" may not use`, harm: func(t *testing.T, s *service) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) { b.Records[3].Team = "x" })
		}},
		{name: "a staged version that never was", kind: KindMisrouted, text: "there was no staged version", harm: func(t *testing.T, s *service) {
			tamper(t, s, 1, true, func(b *wirepb.AuditBatch) { b.Records[0].Attempts[0].Pending = "feed" })
		}},
		{name: "a changed batch", kind: KindGap, text: "doesn't follow", harm: func(t *testing.T, s *service) {
			tamper(t, s, 1, false, func(b *wirepb.AuditBatch) { b.Records[3].Session = "other" })
		}},
		{name: "swapped records", kind: KindGap, text: "doesn't follow", harm: func(t *testing.T, s *service) {
			tamper(t, s, 1, false, func(b *wirepb.AuditBatch) { b.Records[3], b.Records[4] = b.Records[4], b.Records[3] })
		}},
		{name: "a record left out", kind: KindGap, text: "doesn't follow", harm: func(t *testing.T, s *service) {
			tamper(t, s, 1, false, func(b *wirepb.AuditBatch) { b.Records = b.Records[1:] })
		}},
		{name: "a batch left out", kind: KindGap, text: "batches 1 to 1 are missing", harm: func(t *testing.T, s *service) {
			drop(t, s, 1)
		}},
		{name: "the last batch left out", kind: KindGap, text: "ended without its last batch", harm: func(t *testing.T, s *service) {
			drop(t, s, 3)
		}},
		{name: "rubbish", kind: KindGap, text: "can't be read", harm: func(t *testing.T, s *service) {
			pair, _ := s.kv.Read([]string{batchKey(writer, 1)}).Get(batchKey(writer, 1))
			_, err := s.kv.Put(pair.Key(), []byte("x"), pair.Revision(), 0)
			require.NoError(t, err)
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := recorded(t)
			tc.harm(t, s)
			report := replay(t, s)
			if tc.kind == "" {
				require.Empty(t, report.Findings())
				require.Equal(t, 40, report.Requests())
				return
			}
			require.NotEmpty(t, report.Findings())
			require.Equal(t, tc.kind, report.Findings()[0].Kind())
			require.Contains(t, report.Findings()[0].String(), tc.text)
		})
	}
}

func drop(t *testing.T, s *service, sequence uint64) {
	t.Helper()
	pair, ok := s.kv.Read([]string{batchKey(writer, sequence)}).Get(batchKey(writer, sequence))
	require.True(t, ok)
	require.NoError(t, s.kv.Delete(pair.Key(), pair.Revision()))
}

func TestWriterCountsWhatItDrops(t *testing.T) {
	ctx := context.Background()
	s := recorded(t)
	w := NewWriter(s, "entry-2/y")
	require.NoError(t, w.Open(ctx))
	for range (maxSealed+1)*batchRecords + 5 {
		w.Add(Record{})
	}
	require.NoError(t, w.Close(ctx))
	report := replay(t, s)
	require.Len(t, report.Findings(), 1)
	require.Contains(t, report.Findings()[0].String(), "5 records were dropped")
}

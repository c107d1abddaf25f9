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

// memoryStore is a key-value service in memory.
type memoryStore struct {
	kv *stand.KV
}

func (s *memoryStore) Read(_ context.Context, prefixes ...string) (store.Snapshot, error) {
	return s.kv.Read(prefixes), nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	return s.kv.Put(key, value, expect, lease)
}

func (s *memoryStore) Delete(_ context.Context, key string, expect uint64) error {
	return s.kv.Delete(key, expect)
}

const auditedConfig = `{
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

const runName = "entry-1/x"

// newRecordedStore returns a store with two versions, of which the second takes
// data centre a out of service, and with the records of requests under both. The
// run has four batches: the empty first one, one per version, and the last.
func newRecordedStore(t *testing.T) *memoryStore {
	ctx := context.Background()
	s := &memoryStore{kv: stand.NewKV()}
	cfg, err := config.Parse("f", []byte(auditedConfig))
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

	w := NewWriter(s, runName)
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

func replay(t *testing.T, s *memoryStore) *Report {
	t.Helper()
	report, err := Replay(context.Background(), s, NewTimeRange(time.Unix(0, 0), time.Unix(5000, 0)), time.Now().Add(time.Hour))
	require.NoError(t, err)
	return report
}

// tamper changes a batch in place. With rehash it also updates the hashes in the
// later batches, so that the hash chain stays valid.
func tamper(t *testing.T, s *memoryStore, sequence uint64, rehash bool, change func(*wirepb.AuditBatch)) {
	t.Helper()
	var previous []byte
	for n := sequence; n <= 3; n++ {
		pair, ok := s.kv.Read([]string{batchKey(runName, n)}).Get(batchKey(runName, n))
		require.True(t, ok)
		batch, err := decodeBatch(pair.Value())
		require.NoError(t, err)
		if n == sequence {
			change(batch)
		} else {
			batch.Previous = previous
		}
		value := encodeBatch(batch)
		_, err = s.kv.Put(pair.Key(), value, pair.Revision(), 0)
		require.NoError(t, err)
		if !rehash {
			return
		}
		previous = hashOf(value)
	}
}

func TestReplay(t *testing.T) {
	testCases := []struct {
		name    string
		corrupt func(t *testing.T, s *memoryStore)
		kind    Kind
		text    string
	}{
		{name: "unchanged records", corrupt: func(*testing.T, *memoryStore) {}},
		{name: "another endpoint", kind: KindMisrouted, text: `went to "e1", which version 2 doesn't allow`, corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) { b.Records[3].Attempts[0].Endpoint = "e1" })
		}},
		{name: "an endpoint too far down the order", kind: KindMisrouted, text: "which is number", corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) {
				for _, record := range b.Records {
					record.Attempts[0].Endpoint = "e3"
				}
			})
		}},
		{name: "unknown version", kind: KindMisrouted, text: "there is no version 9", corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) { b.Records[3].Attempts[0].Version = 9 })
		}},
		{name: "unknown team", kind: KindMisrouted, text: `team "x" may not use`, corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 2, true, func(b *wirepb.AuditBatch) { b.Records[3].Team = "x" })
		}},
		{name: "unknown staged version", kind: KindMisrouted, text: "there was no staged version", corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 1, true, func(b *wirepb.AuditBatch) { b.Records[0].Attempts[0].Pending = "feed" })
		}},
		{name: "a changed batch", kind: KindGap, text: "doesn't follow from the one before", corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 1, false, func(b *wirepb.AuditBatch) { b.Records[3].Session = "other" })
		}},
		{name: "swapped records", kind: KindGap, text: "doesn't follow from the one before", corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 1, false, func(b *wirepb.AuditBatch) { b.Records[3], b.Records[4] = b.Records[4], b.Records[3] })
		}},
		{name: "a removed record", kind: KindGap, text: "doesn't follow from the one before", corrupt: func(t *testing.T, s *memoryStore) {
			tamper(t, s, 1, false, func(b *wirepb.AuditBatch) { b.Records = b.Records[1:] })
		}},
		{name: "a missing batch", kind: KindGap, text: "batches 1 to 1 are missing", corrupt: func(t *testing.T, s *memoryStore) {
			deleteBatch(t, s, 1)
		}},
		{name: "the last batch missing", kind: KindGap, text: "ended without its last batch", corrupt: func(t *testing.T, s *memoryStore) {
			deleteBatch(t, s, 3)
		}},
		{name: "undecodable batch", kind: KindGap, text: "can't be read", corrupt: func(t *testing.T, s *memoryStore) {
			pair, _ := s.kv.Read([]string{batchKey(runName, 1)}).Get(batchKey(runName, 1))
			_, err := s.kv.Put(pair.Key(), []byte("x"), pair.Revision(), 0)
			require.NoError(t, err)
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newRecordedStore(t)
			tc.corrupt(t, s)
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

func deleteBatch(t *testing.T, s *memoryStore, sequence uint64) {
	t.Helper()
	pair, ok := s.kv.Read([]string{batchKey(runName, sequence)}).Get(batchKey(runName, sequence))
	require.True(t, ok)
	require.NoError(t, s.kv.Delete(pair.Key(), pair.Revision()))
}

func TestWriterCountsDroppedRecords(t *testing.T) {
	ctx := context.Background()
	s := newRecordedStore(t)
	w := NewWriter(s, "entry-2/y")
	require.NoError(t, w.Open(ctx))
	for range (maxPending+1)*batchRecords + 5 {
		w.Add(Record{})
	}
	require.NoError(t, w.Close(ctx))
	report := replay(t, s)
	require.Len(t, report.Findings(), 1)
	require.Contains(t, report.Findings()[0].String(), "5 records were dropped")
}

// TestLostVersionIsAGap guards against an audit that fails as a whole because the service has
// recovered from a copy without one of the versions.
func TestLostVersionIsAGap(t *testing.T) {
	ctx := context.Background()
	s := newRecordedStore(t)
	head, err := chain.ReadHead(ctx, s)
	require.NoError(t, err)
	newest, err := chain.Load(ctx, s, head, nil)
	require.NoError(t, err)
	for _, pair := range s.kv.Read([]string{"config/"}).Pairs() {
		require.NoError(t, s.kv.Delete(pair.Key(), pair.Revision()))
	}
	require.NoError(t, chain.Restore(ctx, s, newest))
	report := replay(t, s)
	require.Equal(t, 40, report.Requests())
	require.Len(t, report.Findings(), 1, "one finding for the version, not for each request")
	require.Equal(t, KindGap, report.Findings()[0].Kind())
	require.Contains(t, report.Findings()[0].String(), "version 1")
}

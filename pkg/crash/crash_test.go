package crash_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/crash"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// kvStore is a crash.Store in memory.
type kvStore struct {
	kv *stand.KV
}

func (s kvStore) Read(_ context.Context, prefixes ...string) (store.Snapshot, error) {
	return s.kv.Read(prefixes), nil
}

func (s kvStore) Put(_ context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	return s.kv.Put(key, value, expect, lease)
}

func (s kvStore) Delete(_ context.Context, key string, expect uint64) error {
	return s.kv.Delete(key, expect)
}

func (s kvStore) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	return s.kv.Grant(ttl), nil
}

// TestStates checks the state of a request after a number of crashes, some of them while
// it ran alone.
func TestStates(t *testing.T) {
	testCases := []struct {
		name    string
		crashes []bool
		want    crash.State
	}{
		{"no crash", nil, crash.Clear},
		{"one shared crash", []bool{false}, crash.Isolated},
		{"two shared crashes", []bool{false, false}, crash.Isolated},
		{"three shared crashes", []bool{false, false, false}, crash.Blocked},
		{"a crash alone", []bool{false, true}, crash.Blocked},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := kvStore{stand.NewKV()}
			for _, alone := range tc.crashes {
				_, err := crash.RecordCrash(context.Background(), s, "f", alone)
				require.NoError(t, err)
			}
			require.Equal(t, tc.want, crash.Records(s.kv.Read([]string{crash.Prefix}))["f"].State())
			require.NoError(t, crash.DeleteRecord(context.Background(), s, "f"))
			require.Empty(t, crash.Records(s.kv.Read([]string{crash.Prefix})))
		})
	}
}

func ExampleRecordCrash() {
	ctx, s := context.Background(), kvStore{stand.NewKV()}
	record, _ := crash.RecordCrash(ctx, s, "fingerprint", false)
	fmt.Println(record.State() == crash.Isolated)
	record, _ = crash.RecordCrash(ctx, s, "fingerprint", true)
	fmt.Println(record.State() == crash.Blocked)
	// Output:
	// true
	// true
}

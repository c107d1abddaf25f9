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

// service is a key-value service at hand.
type service struct {
	kv *stand.KV
}

func (s service) Read(_ context.Context, prefixes ...string) (store.Snapshot, error) {
	return s.kv.Read(prefixes), nil
}

func (s service) Put(_ context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	return s.kv.Put(key, value, expect, lease)
}

func (s service) Delete(_ context.Context, key string, expect uint64) error {
	return s.kv.Delete(key, expect)
}

func (s service) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	return s.kv.Grant(ttl), nil
}

func TestStates(t *testing.T) {
	testCases := []struct {
		name   string
		deaths []bool
		want   crash.State
	}{
		{"nothing happened", nil, crash.Clear},
		{"one death in company", []bool{false}, crash.Isolated},
		{"two deaths in company", []bool{false, false}, crash.Isolated},
		{"three deaths in company", []bool{false, false, false}, crash.Blocked},
		{"a death alone", []bool{false, true}, crash.Blocked},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := service{stand.NewKV()}
			for _, alone := range tc.deaths {
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
	ctx, s := context.Background(), service{stand.NewKV()}
	record, _ := crash.RecordCrash(ctx, s, "fingerprint", false)
	fmt.Println(record.State() == crash.Isolated)
	record, _ = crash.RecordCrash(ctx, s, "fingerprint", true)
	fmt.Println(record.State() == crash.Blocked)
	// Output:
	// true
	// true
}

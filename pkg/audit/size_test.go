package audit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/retry"
	"github.com/lentilstand/lentilstand/pkg/route"
)

// TestBatchSize measures the encoded size of a record for a service with 37
// endpoints, that is 860 replicas over 23 models, in a batch of 100 requests. A
// batch must stay well below the largest value of the key-value service: below
// 100 kB here, a full batch, which has ten times as many records, fits into 1 MiB.
func TestBatchSize(t *testing.T) {
	const records, endpoints = 100, 37
	w := NewWriter(nil, "entry-1/x")
	random := rand.New(rand.NewPCG(1, 1))
	for range records {
		loads := make(map[string]route.Load, endpoints)
		for e := range endpoints {
			loads[fmt.Sprintf("model-7-replica-%d", e)] = route.NewLoad(16, random.IntN(17))
		}
		attempt := Attempt{endpoint: "model-7-replica-3", version: 1100, seed: random.Uint64(), loads: loads}.WithState(retry.Run)
		record := NewRecord(uuid.NewString(), time.Now(), "team-1234", "model-7", "model-7", "dc-1", "1k2j3h4g5f6d")
		w.Add(record.WithOutcome([]Attempt{attempt}, retry.OutcomeRun, ""))
	}
	w.closeBatch(false)
	value := w.pending[0].value
	t.Logf("%d bytes per record", len(value)/records)
	require.Less(t, len(value), 100_000)
}

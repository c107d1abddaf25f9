package soak_test

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// write is a write of a key by its owner, or a removal if value is nil.
type write struct {
	key   string
	value []byte
	// version is the version of a configuration, zero for other keys.
	version int
}

// writes makes the writes of the operator and the replicas.
type writes struct {
	kv *stand.KV

	mu      sync.Mutex
	version int
	// acked is when the last write of each key was acknowledged.
	acked map[string]time.Time
}

func newWrites(kv *stand.KV) *writes { return &writes{kv: kv, acked: make(map[string]time.Time)} }

// commit makes a write.
func (w *writes) commit(next write) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var txn stand.Txn
	if next.value == nil {
		txn.Remove(next.key)
	} else {
		txn.Put(next.key, next.value, 0)
	}
	if _, err := w.kv.Commit(txn); err != nil {
		return err
	}
	w.version = max(w.version, next.version)
	w.acked[next.key] = time.Now()
	return nil
}

// latestVersion returns the newest configuration version and when it was acknowledged.
func (w *writes) latestVersion() (version int, ackedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.acked["op/config"]
}

// TestVersionsCountOnceTheyAreWritten guards against probes that expect entries to obey a version
// before it is written.
func TestVersionsCountOnceTheyAreWritten(t *testing.T) {
	s := &site{t: t, spec: defaultSpec(), kv: stand.NewKV()}
	s.writes = newWrites(s.kv)
	s.writeNextConfig()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2000 {
			s.writeNextConfig()
		}
	}()
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		default:
		}
		version, _ := s.writes.latestVersion()
		pair, found := s.kv.Read([]string{"op/config"}).Get("op/config")
		require.True(t, found)
		var written struct{ Version int }
		require.NoError(t, json.Unmarshal(pair.Value(), &written))
		require.LessOrEqual(t, version, written.Version)
	}
}

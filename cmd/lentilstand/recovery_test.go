package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/platform"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// TestOlderStoreSettlesNothing guards against an operator who is told that a version was rejected,
// or that votes were removed, by what a store shows that has lost the newest version.
func TestOlderStoreSettlesNothing(t *testing.T) {
	ctx := context.Background()
	kv := stand.NewKV()
	server := httptest.NewServer(fakes.NewStore(kv))
	defer server.Close()
	status := `{"version": 2, "hash": "h2"}`
	entryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, status) }))
	defer entryServer.Close()
	client := platform.NewStore(server.Listener.Addr().String(), "test")
	defer client.Close()
	cfg, err := config.Parse("f", []byte(`{"data_centres": [{"name": "a", "region": "r"}]}`))
	require.NoError(t, err)
	first := config.NewFirstVersion(cfg, time.Unix(0, 0))
	require.NoError(t, chain.WriteVersion(ctx, client, first))
	_, err = client.Put(ctx, chain.HeadKey, chain.NewRef(1, 1, first.Hash(), []string{"a/1", "b/1"}, "test").Encode(), 0, 0)
	require.NoError(t, err)
	settings := filepath.Join(t.TempDir(), "operator.jsonc")
	text := fmt.Sprintf(`{"key_value": %q, "entries": [%q]}`, server.Listener.Addr(), entryServer.Listener.Addr())
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))

	var stdout, stderr bytes.Buffer
	settle := &patchCommand{Settings: settings, Settle: &patchSettle{Number: 2, Hash: "h2"}}
	require.Equal(t, exitUnknown, settle.run(ctx, &stdout, &stderr), stdout.String())
	remove := &votersCommand{Settings: settings, Remove: &votersRemove{Voters: []string{"b/1"}, ConfirmDead: true}}
	require.NotEqual(t, exitOK, remove.run(ctx, &stdout, &stderr), "the entries write their newer head again")

	status = fmt.Sprintf(`{"version": 1, "hash": %q}`, first.Hash())
	require.Equal(t, exitFailed, settle.run(ctx, &stdout, &stderr))
	require.Contains(t, stdout.String(), "rejected")
	require.Equal(t, exitOK, remove.run(ctx, &stdout, &stderr), stderr.String())
}

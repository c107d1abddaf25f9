package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/config"
)

const keyHash = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"

const smallConfig = `{
  "data_centres": [{"name": "ebensee", "region": "at-upper"}, {"name": "gmunden", "region": "at-upper"}],
  "services": [{"name": "skiff-lm", "kind": "model", "repeatable": true}],
  "models": [{"name": "skiff", "service": "skiff-lm"}],
  "teams": [{"name": "rowers", "key_sha256": "` + keyHash + `"}],
  "endpoints": [{"name": "skiff-1", "service": "skiff-lm", "data_centre": "gmunden", "address": "127.0.0.1:7"}]
}`

func parse(t testing.TB, text string) *config.Config {
	cfg, err := config.Parse("f", []byte(text))
	require.NoError(t, err)
	return cfg
}

func TestParseFindings(t *testing.T) {
	testCases := []struct {
		name    string
		old     string
		changed string
		want    string
	}{
		{"unknown service of an endpoint", `"service": "skiff-lm", "data_centre"`, `"service": "x", "data_centre"`, `f:6:17: endpoint "skiff-1" belongs to service "x", which doesn't exist`},
		{"unknown data centre", `"data_centre": "gmunden"`, `"data_centre": "x"`, `endpoint "skiff-1" is in data centre "x", which doesn't exist`},
		{"invalid address", `127.0.0.1:7`, `localhost:7`, `must be an IP address and a port`},
		{"model of an unknown service", `"name": "skiff", "service": "skiff-lm"`, `"name": "skiff", "service": "x"`, `model "skiff" belongs to service "x"`},
		{"invalid key hash", keyHash, `abc`, `key_sha256 must be 64`},
		{"unknown kind", `"kind": "model"`, `"kind": "x"`, `must be one of`},
		{"duplicate name", `{"name": "ebensee"`, `{"name": "gmunden"`, `data_centres: duplicate name "gmunden"`},
		{"name with a slash", `{"name": "ebensee"`, `{"name": "a/b"`, `must not contain blanks, slashes`},
		{"unknown field", `"repeatable": true`, `"repeatable": true, "colour": 3`, `unknown field "colour"`},
		{"reserved path prefix", `{"name": "skiff-lm", "kind": "model", "repeatable": true}`, `{"name": "skiff-lm", "kind": "plain", "path_prefix": "/v1/x"}`, `path_prefix "/v1/x" is within /v1, which is reserved`},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			require.Contains(t, smallConfig, tc.old)
			_, err := config.Parse("f", []byte(strings.Replace(smallConfig, tc.old, tc.changed, 1)))
			require.ErrorContains(t, err, tc.want)
		})
	}
}

func TestExampleConfigurationsRoundTrip(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/configuration.jsonc")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		cfg, err := config.Parse(file, data)
		require.NoError(t, err)
		require.Len(t, cfg.Endpoints(), 15)
		again := parse(t, string(cfg.Encode()))
		require.Equal(t, cfg.Encode(), again.Encode())
	}
}

func TestPatchAndChain(t *testing.T) {
	first := config.NewFirstVersion(parse(t, smallConfig), time.Unix(0, 0))
	patch, err := config.ParsePatch("p", []byte(`{"base": 1, "who": "anna", "why": "maintenance",
		"set": {"data_centres": [{"name": "gmunden", "region": "at-upper", "out": true}]}, "delete": {"data_centres": ["ebensee"]}}`))
	require.NoError(t, err)
	second, err := first.ApplyPatch(patch, time.Unix(60, 0))
	require.NoError(t, err)
	require.Equal(t, first.Hash(), second.Parent())
	require.Equal(t, []string{`service "skiff-lm" would have no endpoint that can take requests`}, second.Config().UnservedServices())
	require.Len(t, config.Diff(first.Config(), second.Config()), 2)

	record, err := config.DecodeRecord(second.Record().Encode())
	require.NoError(t, err)
	followed, err := first.ApplyRecord(record)
	require.NoError(t, err)
	require.Equal(t, second.Hash(), followed.Hash())

	forged, err := config.DecodeRecord([]byte(strings.Replace(string(second.Record().Encode()), "anna", "emma", 1)))
	require.NoError(t, err)
	_, err = first.ApplyRecord(forged)
	require.ErrorIs(t, err, config.ErrChainBroken)

	text := config.RevertPatch(first.Config(), second.Config(), 2, "anna", "back")
	back, err := config.ParsePatch("revert", text)
	require.NoError(t, err)
	third, err := second.ApplyPatch(back, time.Unix(120, 0))
	require.NoError(t, err)
	require.Equal(t, first.Config().Encode(), third.Config().Encode())

	snapshot, err := config.DecodeSnapshot(second.EncodeSnapshot())
	require.NoError(t, err)
	require.Equal(t, second.Hash(), snapshot.Hash())
	_, err = config.DecodeSnapshot([]byte(strings.Replace(string(second.EncodeSnapshot()), "127.0.0.1:7", "127.0.0.1:8", 1)))
	require.ErrorIs(t, err, config.ErrChainBroken)
}

func TestPatchFindings(t *testing.T) {
	first := config.NewFirstVersion(parse(t, smallConfig), time.Unix(0, 0))
	testCases := []struct {
		name string
		text string
		want string
	}{
		{"other base", `{"base": 2, "who": "a", "why": "b"}`, "based on version 2"},
		{"deletes an unknown object", `{"base": 1, "who": "a", "why": "b", "delete": {"teams": ["x"]}}`, `can't delete "x" from teams: it doesn't exist`},
		{"deletes an object in use", `{"base": 1, "who": "a", "why": "b", "delete": {"services": ["skiff-lm"]}}`, `belongs to service "skiff-lm", which doesn't exist`},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			patch, err := config.ParsePatch("p", []byte(tc.text))
			require.NoError(t, err)
			_, err = first.ApplyPatch(patch, time.Now())
			require.ErrorContains(t, err, tc.want)
		})
	}
}

func ExampleParsePatch() {
	_, err := config.ParsePatch("patch.jsonc", []byte(`{
  // A patch says who made it and why.
  "base": 7,
  "who": "anna",
  "sett": {}
}`))
	fmt.Println(err)
	// Output:
	// patch.jsonc:1:1: field "why" is missing
	// patch.jsonc:5:11: unknown field "sett"
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallConfig))
	f.Add([]byte(`{"teams": [{"name": "\u0000"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := config.Parse("f", text)
		if err != nil {
			return
		}
		again, err := config.Parse("f", cfg.Encode())
		require.NoError(t, err)
		require.Equal(t, cfg.Encode(), again.Encode())
	})
}

package probe_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/probe"
)

// TestMeasuresReportAllFields runs each measure briefly and checks the format of its
// results and report. The figures of a brief run aren't meaningful.
func TestMeasuresReportAllFields(t *testing.T) {
	for _, name := range probe.Names() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			var out, page bytes.Buffer
			run := probe.NewRun(&out, 1, true)
			require.NoError(t, run.Measure(ctx, name))
			lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
			require.NotEmpty(t, lines)
			for _, line := range lines {
				var fields map[string]any
				require.NoError(t, json.Unmarshal(line, &fields), string(line))
				for _, field := range []string{"measure", "unit", "baseline", "value", "target", "seed", "seconds", "command"} {
					require.Contains(t, fields, field)
				}
			}
			require.NoError(t, run.WriteReport(&page))
			require.NotContains(t, page.String(), "src=", "the page must be self-contained")
		})
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/audit"
	"github.com/lentilstand/lentilstand/platform"
)

// auditTimeout limits a read from the key-value service by an audit or a report.
// Such a read may be large.
const auditTimeout = time.Minute

// auditCommand replays the recorded requests of a time range against the history
// of configuration versions and prints what does not match.
type auditCommand struct {
	Settings string    `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`
	Since    time.Time `arg:"--since" placeholder:"TIME" help:"start of the time range, such as 2026-12-04T05:00:00Z"`
	Until    time.Time `arg:"--until" placeholder:"TIME" help:"end of the time range; defaults to now"`
}

func (c *auditCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	now := time.Now()
	until := c.Until
	if until.IsZero() {
		until = now
	}
	if !until.After(c.Since) {
		fmt.Fprintln(stderr, "error: --until must be after --since")
		return exitUsage
	}
	kv := platform.NewStore(settings.KeyValueAddress(), "operator", platform.WithTimeout(auditTimeout))
	defer kv.Close()
	report, err := audit.Replay(ctx, kv, audit.NewTimeRange(c.Since, until), now)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	for _, finding := range report.Findings() {
		fmt.Fprintln(stdout, finding)
	}
	fmt.Fprintf(stdout, "audit: %d requests, %d decisions, %d batches, %d findings\n",
		report.Requests(), report.Attempts(), report.Batches(), len(report.Findings()))
	if len(report.Findings()) > 0 {
		return exitFailed
	}
	return exitOK
}

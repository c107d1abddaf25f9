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

// auditTimeout bounds a read of the key-value service by an audit, which may be
// large.
const auditTimeout = time.Minute

// auditCommand replays records.
type auditCommand struct {
	Settings string    `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`
	Since    time.Time `arg:"--since" placeholder:"TIME" help:"the beginning of the span, such as 2026-12-04T05:00:00Z"`
	Until    time.Time `arg:"--until" placeholder:"TIME" help:"the end of the span; now if it isn't given"`
}

func (c *auditCommand) run(ctx context.Context, out, errs io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	now := time.Now()
	until := c.Until
	if until.IsZero() {
		until = now
	}
	if !until.After(c.Since) {
		fmt.Fprintln(errs, "error: --until must be after --since")
		return exitUsage
	}
	kv := platform.NewStore(settings.KeyValueAddress(), "operator", platform.WithTimeout(auditTimeout))
	defer kv.Close()
	report, err := audit.Replay(ctx, kv, audit.NewTimeRange(c.Since, until), now)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	for _, finding := range report.Findings() {
		fmt.Fprintln(out, finding)
	}
	fmt.Fprintf(out, "audit: %d requests, %d decisions, %d batches, %d findings\n",
		report.Requests(), report.Attempts(), report.Batches(), len(report.Findings()))
	if len(report.Findings()) > 0 {
		return exitFailed
	}
	return exitOK
}

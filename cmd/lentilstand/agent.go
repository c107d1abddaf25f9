package main

import (
	"context"
	"fmt"
	"io"

	"github.com/lentilstand/lentilstand/internal/agent"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/prefs"
)

// agentCommand runs an agent.
type agentCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

func (c *agentCommand) run(ctx context.Context, out, errs io.Writer) int {
	settings, err := prefs.LoadAgent(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	if c.Check {
		fmt.Fprintln(out, "the settings are in order")
		return exitOK
	}
	logger := event.NewLogger(settings.LogLevel(), "agent", settings.Name())
	defer func() { _ = logger.Sync() }()
	a, err := agent.New(settings, logger)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return runDaemon(ctx, a, settings.StopBound(), errs)
}

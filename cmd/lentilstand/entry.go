package main

import (
	"context"
	"fmt"
	"io"

	"github.com/lentilstand/lentilstand/internal/edge"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/prefs"
)

// entryCommand runs an entry until it is stopped.
type entryCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	Platform bool   `arg:"--platform" help:"run on the platform: read the routing table from its store and send requests directly to endpoints"`
}

func (c *entryCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	if c.Platform {
		return c.runOnPlatform(ctx, stdout, stderr)
	}
	settings, err := prefs.LoadEntry(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	if c.Check {
		fmt.Fprintln(stdout, "the settings are in order")
		return exitOK
	}
	logger := event.NewLogger(settings.LogLevel(), "entry", settings.Name())
	defer func() { _ = logger.Sync() }()
	e, err := entry.New(settings, logger)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return runDaemon(ctx, e, settings.StopTimeout(), stderr)
}

// runOnPlatform runs an entry with settings that the platform has rendered, and
// reloads them whenever they change.
func (c *entryCommand) runOnPlatform(ctx context.Context, stdout, stderr io.Writer) int {
	signals := notifyHangup()
	settings, err := prefs.LoadEdge(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	if c.Check {
		fmt.Fprintln(stdout, "the settings are in order")
		return exitOK
	}
	logger := event.NewLossyLogger(settings.LogLevel(), "entry", settings.Name())
	defer func() { _ = logger.Sync() }()
	e, err := edge.New(settings, logger)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	stop := watchSettings(c.Settings, logger, signals, func() error {
		settings, err := prefs.LoadEdge(c.Settings)
		if err == nil {
			e.Reload(settings)
		}
		return err
	})
	defer stop()
	return runDaemon(ctx, e, settings.StopTimeout(), stderr)
}

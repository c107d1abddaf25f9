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

// entryCommand runs an entry.
type entryCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	Platform bool   `arg:"--platform" help:"run on the platform: by the routing table in its store, straight to endpoints"`
}

func (c *entryCommand) run(ctx context.Context, out, errs io.Writer) int {
	if c.Platform {
		return c.runOnPlatform(ctx, out, errs)
	}
	settings, err := prefs.LoadEntry(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	if c.Check {
		fmt.Fprintln(out, "the settings are in order")
		return exitOK
	}
	logger := event.NewLogger(settings.LogLevel(), "entry", settings.Name())
	defer func() { _ = logger.Sync() }()
	e, err := entry.New(settings, logger)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return runDaemon(ctx, e, settings.StopTimeout(), errs)
}

// runOnPlatform runs an entry by settings that the platform has filled in.
func (c *entryCommand) runOnPlatform(ctx context.Context, out, errs io.Writer) int {
	signals := hangups()
	settings, err := prefs.LoadEdge(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	if c.Check {
		fmt.Fprintln(out, "the settings are in order")
		return exitOK
	}
	logger := event.NewLossyLogger(settings.LogLevel(), "entry", settings.Name())
	defer func() { _ = logger.Sync() }()
	e, err := edge.New(settings, logger)
	if err != nil {
		fmt.Fprintln(errs, err)
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
	return runDaemon(ctx, e, settings.StopTimeout(), errs)
}

package main

import (
	"context"
	"fmt"
	"io"

	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/prefs"
)

// entryCommand runs an entry.
type entryCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

func (c *entryCommand) run(ctx context.Context, out, errs io.Writer) int {
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
	return runDaemon(ctx, e, settings.StopBound(), errs)
}

package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/lentilstand/lentilstand/internal/agent"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/rank"
)

// agentCommand runs an agent.
type agentCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	Platform bool   `arg:"--platform" help:"run on the platform: beside one rank of a model group"`
}

func (c *agentCommand) run(ctx context.Context, out, errs io.Writer) int {
	if c.Platform {
		return c.runOnPlatform(ctx, out, errs)
	}
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
	return runDaemon(ctx, a, settings.StopTimeout(), errs)
}

// rankStopBound bounds the stop of an agent, in which nothing of a request runs.
const rankStopBound = 2 * time.Second

// runOnPlatform runs an agent by settings that the platform has filled in.
func (c *agentCommand) runOnPlatform(ctx context.Context, out, errs io.Writer) int {
	signals := hangups()
	settings, err := prefs.LoadRank(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	if c.Check {
		fmt.Fprintln(out, "the settings are in order")
		return exitOK
	}
	logger := event.NewLossyLogger(settings.LogLevel(), "agent", settings.Name())
	defer func() { _ = logger.Sync() }()
	a, err := rank.New(settings, logger)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	stop := watchSettings(c.Settings, logger, signals, func() error {
		_, err := prefs.LoadRank(c.Settings)
		if err == nil {
			event.SettingsReloaded.Log(logger)
		}
		return err
	})
	defer stop()
	return runDaemon(ctx, a, rankStopBound, errs)
}

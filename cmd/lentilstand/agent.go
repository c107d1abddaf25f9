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

// agentCommand runs the agent of an endpoint until it is stopped.
type agentCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	Platform bool   `arg:"--platform" help:"run on the platform, as the agent of one rank of a model group"`
}

func (c *agentCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	if c.Platform {
		return c.runOnPlatform(ctx, stdout, stderr)
	}
	settings, err := prefs.LoadAgent(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	if c.Check {
		fmt.Fprintln(stdout, "the settings are in order")
		return exitOK
	}
	logger := event.NewLogger(settings.LogLevel(), "agent", settings.Name())
	defer func() { _ = logger.Sync() }()
	a, err := agent.New(settings, logger)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return runDaemon(ctx, a, settings.StopTimeout(), stderr)
}

// rankStopTimeout limits the shutdown of an agent on the platform. No request passes
// through such an agent, so it has nothing to drain.
const rankStopTimeout = 2 * time.Second

// runOnPlatform runs the agent of a rank with settings that the platform has
// rendered, and validates them again whenever they change.
func (c *agentCommand) runOnPlatform(ctx context.Context, stdout, stderr io.Writer) int {
	signals := notifyHangup()
	settings, err := prefs.LoadRank(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	if c.Check {
		fmt.Fprintln(stdout, "the settings are in order")
		return exitOK
	}
	logger := event.NewLossyLogger(settings.LogLevel(), "agent", settings.Name())
	defer func() { _ = logger.Sync() }()
	a, err := rank.New(settings, logger)
	if err != nil {
		fmt.Fprintln(stderr, err)
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
	return runDaemon(ctx, a, rankStopTimeout, stderr)
}

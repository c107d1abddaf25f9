package main

import (
	"context"
	"fmt"
	"io"
	"time"
)

// daemon is a long-running server: an entry or an agent.
type daemon interface {
	// Start opens the listeners and serves requests in the background.
	Start() error
	// Stop drains the requests in flight and shuts down. It returns the number of
	// requests that were aborted because ctx ended first.
	Stop(ctx context.Context) int
}

// runDaemon runs a daemon until ctx ends and then stops it gracefully within
// timeout. It fails if requests had to be aborted.
func runDaemon(ctx context.Context, d daemon, timeout time.Duration, stderr io.Writer) int {
	if err := d.Start(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if d.Stop(stopCtx) > 0 {
		return exitFailed
	}
	return exitOK
}

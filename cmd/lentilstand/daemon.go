package main

import (
	"context"
	"fmt"
	"io"
	"time"
)

// daemon is a role that runs until it is told to stop.
type daemon interface {
	// Start begins to listen and to serve.
	Start() error
	// Stop ends gracefully and returns how many requests were cut off at the end
	// of ctx.
	Stop(ctx context.Context) int
}

// runDaemon runs a daemon until ctx ends and then gives it the bound to stop
// gracefully.
func runDaemon(ctx context.Context, d daemon, bound time.Duration, errs io.Writer) int {
	if err := d.Start(); err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if d.Stop(bounded) > 0 {
		return exitFailed
	}
	return exitOK
}

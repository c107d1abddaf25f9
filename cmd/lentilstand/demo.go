package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/lentilstand/lentilstand/internal/demo"
)

// demoTimeout limits the whole demonstration.
const demoTimeout = 60 * time.Second

// demoCommand runs every role and stand-in in one process and prints each step.
type demoCommand struct{}

func (c *demoCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := demo.Run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

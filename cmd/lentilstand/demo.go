package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/lentilstand/lentilstand/internal/demo"
)

// demoTimeout bounds the demonstration.
const demoTimeout = 60 * time.Second

// demoCommand runs everything in one process and shows what happens.
type demoCommand struct{}

func (c *demoCommand) run(ctx context.Context, out, errs io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := demo.Run(ctx, out); err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}

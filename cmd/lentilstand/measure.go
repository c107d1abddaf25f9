package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/lentilstand/lentilstand/internal/probe"
)

// measureCommand runs measures.
type measureCommand struct {
	Names  []string `arg:"positional" placeholder:"NAME" help:"the measures to run; all if none is named"`
	Seed   uint64   `arg:"--seed" default:"1" help:"seed of everything that is drawn at random"`
	Brief  bool     `arg:"--brief" help:"a small run that shows the shape only"`
	Report string   `arg:"--report" placeholder:"FILE" help:"write an HTML report with plots"`
}

// Epilogue is shown below the help of the command.
func (measureCommand) Epilogue() string {
	return "measures: " + strings.Join(probe.Names(), ", ")
}

func (c *measureCommand) run(ctx context.Context, out, errs io.Writer) int {
	names := c.Names
	if len(names) == 0 {
		names = probe.Names()
	}
	measures := probe.NewRun(out, c.Seed, c.Brief)
	for _, name := range names {
		if err := measures.Measure(ctx, name); err != nil {
			fmt.Fprintln(errs, err)
			return exitFailed
		}
	}
	if c.Report == "" {
		return exitOK
	}
	file, err := os.Create(c.Report)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	err = measures.WriteReport(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}

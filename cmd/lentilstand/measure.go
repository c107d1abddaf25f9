package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/lentilstand/lentilstand/internal/probe"
)

// measureCommand runs benchmarks by name and optionally writes a report.
type measureCommand struct {
	Names  []string `arg:"positional" placeholder:"NAME" help:"measures to run; all by default"`
	Seed   uint64   `arg:"--seed" default:"1" help:"seed of all random choices"`
	Brief  bool     `arg:"--brief" help:"run a reduced workload; its figures are only indicative"`
	Report string   `arg:"--report" placeholder:"FILE" help:"write an HTML report with plots"`
}

// Epilogue returns the text that --help prints last.
func (measureCommand) Epilogue() string {
	return "measures: " + strings.Join(probe.Names(), ", ")
}

func (c *measureCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	names := c.Names
	if len(names) == 0 {
		names = probe.Names()
	}
	measures := probe.NewRun(stdout, c.Seed, c.Brief)
	for _, name := range names {
		if err := measures.Measure(ctx, name); err != nil {
			fmt.Fprintln(stderr, err)
			return exitFailed
		}
	}
	if c.Report == "" {
		return exitOK
	}
	file, err := os.Create(c.Report)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	err = measures.WriteReport(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

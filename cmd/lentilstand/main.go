// Command lentilstand is a load balancer for expert-parallel model groups: the
// daemons, the operators' commands, the stand-ins for external systems and a
// demonstration, one subcommand each.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// The exit codes of all commands. exitConflict and exitUnknown are the outcomes of
// submitting a patch.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// command is a parsed first-level subcommand. run returns the exit code.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) int
}

// arguments is the command line as go-arg parses it.
type arguments struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"accept requests from callers and forward them to endpoints"`
	Agent   *agentCommand   `arg:"subcommand:agent" help:"run beside an endpoint and enforce its admission limits"`
	Patch   *patchCommand   `arg:"subcommand:patch" help:"change the numbered configuration and inspect its history"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show members, versions and endpoints"`
	Voters  *votersCommand  `arg:"subcommand:voters" help:"list the voting entries, and remove the votes of dead processes"`
	StandIn *standInCommand `arg:"subcommand:stand-in" help:"run a stand-in for an external system"`
	Audit   *auditCommand   `arg:"subcommand:audit" help:"replay the recorded requests against the history of versions"`
	Report  *reportCommand  `arg:"subcommand:report" help:"generate reports"`
	Measure *measureCommand `arg:"subcommand:measure" help:"measure the system against baselines"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run every role in one process and print each step"`
}

// Description returns the text that --help prints first.
func (arguments) Description() string {
	return "lentilstand balances load over expert-parallel model groups and the services beside them."
}

func main() { os.Exit(runMain()) }

// runMain runs the program until it ends or receives SIGINT or SIGTERM, and
// returns the exit code.
func runMain() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// execute parses the arguments and runs the subcommand that they select.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "lentilstand"}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return exitUsage
	}
	selected := parsed.selected()
	if selected == nil {
		parser.WriteHelp(stderr)
		return exitUsage
	}
	return selected.run(ctx, stdout, stderr)
}

// selected returns the selected first-level subcommand, or nil if there is none.
func (a *arguments) selected() command {
	switch {
	case a.Entry != nil:
		return a.Entry
	case a.Agent != nil:
		return a.Agent
	case a.Patch != nil:
		return a.Patch
	case a.Status != nil:
		return a.Status
	case a.Voters != nil:
		return a.Voters
	case a.StandIn != nil:
		return a.StandIn
	case a.Audit != nil:
		return a.Audit
	case a.Report != nil:
		return a.Report
	case a.Measure != nil:
		return a.Measure
	case a.Demo != nil:
		return a.Demo
	}
	return nil
}

// reportInvalidInput prints why a settings, configuration or patch file was
// rejected, and returns exitUsage.
func reportInvalidInput(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, err)
	return exitUsage
}

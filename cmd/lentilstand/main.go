// Command lentilstand is a load balancer for expert-parallel model groups: the
// daemons, the operators' commands, the stand-ins of outside systems and a
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

// The exit codes of all commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// command is a subcommand with its arguments.
type command interface {
	run(ctx context.Context, out, errs io.Writer) int
}

// arguments are the arguments of the program.
type arguments struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"take callers' requests and send them to endpoints"`
	Agent   *agentCommand   `arg:"subcommand:agent" help:"stand beside an endpoint and limit what it is given"`
	Patch   *patchCommand   `arg:"subcommand:patch" help:"change the numbered configuration and look at its history"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show members, versions and endpoints"`
	Voters  *votersCommand  `arg:"subcommand:voters" help:"show who has a vote, and remove the votes of dead processes"`
	StandIn *standInCommand `arg:"subcommand:stand-in" help:"run a stand-in of an outside system"`
	Audit   *auditCommand   `arg:"subcommand:audit" help:"replay the records of requests against the history of versions"`
	Report  *reportCommand  `arg:"subcommand:report" help:"make reports"`
	Measure *measureCommand `arg:"subcommand:measure" help:"measure the system against baselines"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run everything in one process and show what happens"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "lentilstand balances load over expert-parallel model groups and the services beside them."
}

func main() { os.Exit(mainCode()) }

// mainCode runs the program and returns its exit code.
func mainCode() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// execute parses the arguments and runs the subcommand that they name.
func execute(ctx context.Context, args []string, out, errs io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "lentilstand"}, &parsed)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(errs, parser.SubcommandNames()...)
		fmt.Fprintln(errs, "error:", err)
		return exitUsage
	}
	chosen := parsed.chosen()
	if chosen == nil {
		parser.WriteHelp(errs)
		return exitUsage
	}
	return chosen.run(ctx, out, errs)
}

// chosen returns the first-level subcommand that was given, nil if none was.
func (a *arguments) chosen() command {
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

// badSettings prints what is wrong with the settings.
func badSettings(errs io.Writer, err error) int {
	fmt.Fprintln(errs, err)
	return exitUsage
}

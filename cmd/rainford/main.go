// Command rainford is the command line tool of the operators. It reads and changes the
// configuration of the traffic steering system, shows the status of its instances, and
// explains from their logs how requests ended.
//
// An instance is a running gateway. A hall is a group of instances and targets in one
// building, and a region consists of one or more halls. A target is a server that runs
// requests. A client account is the party that a request belongs to.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/table"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// app holds the streams that all subcommands read and write.
type app struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// errUsage reports wrong arguments or flags. The program then exits with exitUsage.
type errUsage struct{ text string }

// Error implements error.
func (e errUsage) Error() string { return e.text }

func usagef(format string, args ...any) error { return errUsage{fmt.Sprintf(format, args...)} }

func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	root := a.group("rainford", "rainford <command> [flags] [arguments]", "steer traffic by the operators' table",
		a.tableCommand(), a.serviceCommand(), a.regionCommand(), a.blocksCommand(),
		a.drainCommand(true), a.drainCommand(false), a.statusCommand(), a.watchCommand(),
		a.auditCommand(), a.lookupCommand(), a.seatsCommand(), a.holdCommand(), a.rolloutCommand(), a.explainCommand(), a.demoCommand(), a.versionCommand())
	root.Options = nil
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	}
	if errors.Is(err, flag.ErrHelp) && slices.ContainsFunc(args, isHelpFlag) {
		return exitOK
	}
	return a.exit(err)
}

// isHelpFlag reports whether an argument requests help. Printing help on request is a
// success, while printing it because a command is missing is a usage error.
func isHelpFlag(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help"
}

// exit prints err and returns the exit code for it. A configuration that already has the
// requested content is not an error.
func (a *app) exit(err error) int {
	var usage errUsage
	var findings table.Findings
	var broken errInvariantsBroken
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(a.stderr, usage.text)
		return exitUsage
	case errors.As(err, &findings):
		fmt.Fprintln(a.stderr, err)
		fmt.Fprintf(a.stderr, "findings: %d; nothing was changed\n", len(findings))
		return exitUsage
	case errors.Is(err, config.ErrNoChange):
		fmt.Fprintln(a.stderr, "nothing to change")
		return exitOK
	case errors.As(err, &broken):
		return exitFailure
	default:
		fmt.Fprintln(a.stderr, err)
		return exitFailure
	}
}

// command returns a subcommand whose flags can also be set by environment variables with
// the prefix RAINFORD_.
func (a *app) command(name, usage, help string, fs *flag.FlagSet, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	fs.SetOutput(a.stderr)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("RAINFORD")},
		Exec:       exec,
	}
}

// group returns a command that only has subcommands.
func (a *app) group(name, usage, help string, subs ...*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.stderr)
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  usage,
		ShortHelp:   help,
		FlagSet:     fs,
		Subcommands: subs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%s: unknown command %q; see %s -h", name, args[0], name)
			}
			return flag.ErrHelp
		},
	}
}

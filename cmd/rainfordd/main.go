// Command rainfordd runs one instance of the traffic steering system, or a process that
// answers look-ups beside instances. It has three modes. The first two differ in the platform, the
// external service that stores the configuration and the list of instances:
//
//   - By default, it runs an entry instance, package node, on a platform with one service for
//     objects of any key.
//   - With "gateway" as the first argument, it runs a gateway, package gateway, on a platform
//     whose store lists objects by kind.
//   - With "lookup" as the first argument, it answers the look-ups of clients from the responses of
//     gateways, package resolver.
//
// The program logs to standard error in the first mode and to standard output in the others.
// It stops on SIGTERM and SIGINT.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/table"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == gatewayCommand {
		os.Exit(runGateway(args[1:], os.Stdout, os.Stderr))
	}
	if len(args) > 0 && args[0] == lookupCommand {
		os.Exit(runLookup(args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(run(args, os.Stderr))
}

// run runs an entry instance until a signal stops it, and returns the exit code.
func run(args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	config, err := readSettings(args, stderr)
	if err != nil {
		return settingsExit(err, stderr)
	}
	n, err := node.New(*config)
	if err != nil {
		config.Log.Error("start failed", "error", err.Error())
		return exitFailure
	}
	err = n.Run(ctx)
	if err != nil {
		config.Log.Error("run failed", "error", err.Error())
		return exitFailure
	}
	return exitOK
}

// settingsExit prints an error of the settings, unless help was requested, and returns the exit code.
func settingsExit(err error, stderr io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	return exitUsage
}

// readSettings reads the flags and the environment variables with the prefix RAINFORD_. It
// checks all settings and returns all findings together as one error.
func readSettings(args []string, stderr io.Writer) (*node.Config, error) {
	c := node.Defaults()
	fs := flag.NewFlagSet("rainfordd", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&c.Name, "name", "", "name of the instance")
	fs.StringVar(&c.Region, "region", "", "region of the instance")
	fs.StringVar(&c.Hall, "hall", "", "hall of the instance")
	fs.StringVar(&c.CallerAddr, "listen", "", "IP:PORT for callers")
	fs.StringVar(&c.HopAddr, "hop-listen", "", "IP:PORT for requests of other instances")
	fs.StringVar(&c.PeerAddr, "peer-listen", "", "IP:PORT for messages of other instances")
	fs.StringVar(&c.AdminAddr, "admin-listen", "", "IP:PORT for operators: status, health and metrics")
	fs.StringVar(&c.Platform, "platform", "", "base URL of the platform's service")
	fs.StringVar(&c.Secret, "secret", "", "secret that all instances share")
	bootstrap := fs.String("bootstrap", "", "peer addresses to try while the platform does not answer, comma separated")
	fs.DurationVar(&c.LookupTTL, "lookup-ttl", c.LookupTTL, "how long callers may keep a look-up")
	fs.DurationVar(&c.MaxDrainTime, "drain-max", c.MaxDrainTime, "longest planned stop; 0 waits for every request")
	fs.DurationVar(&c.Heartbeat, "heartbeat", c.Heartbeat, "time between heartbeats")
	fs.DurationVar(&c.DefaultDeadline, "default-deadline", c.DefaultDeadline, "deadline of requests that give none")
	fs.DurationVar(&c.MaxDeadline, "max-deadline", c.MaxDeadline, "longest deadline of a request")
	fs.DurationVar(&c.StallTimeout, "stall", c.StallTimeout, "time after which a transfer that does not move is ended")
	fs.Float64Var(&c.ClaimWriteRate, "claim-writes", c.ClaimWriteRate, "platform writes a second that all instances together use for claims")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("RAINFORD"))
	if err != nil {
		return nil, err
	}
	c.Bootstrap = splitList(*bootstrap)
	findings := c.Check()
	log, err := newLog(*level, stderr)
	if err != nil {
		findings = append(findings, table.Finding{Field: "log-level", Message: err.Error()})
	}
	if fs.NArg() > 0 {
		findings = append(findings, table.Finding{Message: "unexpected argument " + fs.Arg(0)})
	}
	c.Log = log
	return &c, findings.Err()
}

// splitList splits text at commas. It trims white space and drops empty parts.
func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// newLog returns a logger that writes lines of JSON to w, from the given level on.
func newLog(level string, w io.Writer) (*slog.Logger, error) {
	var l slog.Level
	err := l.UnmarshalText([]byte(level))
	if err != nil {
		return nil, fmt.Errorf("%q: want debug, info, warn or error", level)
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})), nil
}

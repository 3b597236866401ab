// Command rainfordsoak runs the gateway program as several processes, injects faults, and
// checks the guarantees that the documentation gives to users. It prints one report in JSON
// for each seed and exits with 1 if a guarantee was violated.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/rainford/rainford/internal/soak"
)

// Exit codes.
const (
	exitOK     = 0
	exitBroken = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the soak test once for each seed and returns the exit code. An interrupt ends the
// current run, and no further one begins.
func run(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("rainfordsoak", flag.ContinueOnError)
	fs.SetOutput(stderr)
	seed := fs.Uint64("seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "how many seeds, one after the other")
	duration := fs.Duration("duration", 20*time.Second, "length of the run of a seed")
	processes := fs.Int("processes", 6, "instances")
	clients := fs.Int("clients", 24, "clients")
	program := fs.String("program", "bin/rainfordd", "the gateway program")
	only := fs.String("only", "", "the one kind of faults to inject, all if it is empty")
	keep := fs.String("keep", "", "folder for the logs")
	quiet := fs.Bool("quiet", false, "no line for each fault")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("RAINFORDSOAK"))
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil || fs.NArg() > 0 {
		fmt.Fprintln(stderr, "rainfordsoak: invalid arguments:", err, fs.Args())
		return exitUsage
	}
	var progress io.Writer = stderr
	if *quiet {
		progress = io.Discard
	}
	if _, err := os.Stat(*program); err != nil {
		fmt.Fprintf(stderr, "rainfordsoak: %v\nbuild it first: go build -o bin/ ./cmd/...\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code := exitOK
	for i := range *seeds {
		report, err := soak.Run(ctx, soak.Options{Seed: *seed + uint64(i), Duration: *duration, Program: *program,
			Instances: *processes, Clients: *clients, Only: soak.FaultKind(*only), Keep: *keep, Progress: progress})
		if err != nil {
			fmt.Fprintln(stderr, "rainfordsoak:", err)
			return exitUsage
		}
		_ = json.NewEncoder(stdout).Encode(report)
		if len(report.Broken) > 0 {
			code = exitBroken
		}
		if ctx.Err() != nil {
			break
		}
	}
	return code
}

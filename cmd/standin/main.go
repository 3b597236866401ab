// Command standin runs a simulated platform or a simulated target as a process, for tests and
// for manual trials of the system. The platform is the external service that stores the
// configuration, and a target is a server that runs requests.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/internal/standin/platformstore"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "standin platform|target [flags]",
		Subcommands: []*ffcli.Command{platformCommand(), targetCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// platformCommand returns the command that runs the platform's object service.
func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:7000", "address of the service")
	control := fs.String("control", "127.0.0.1:7001", "address that sets faults and tells counts")
	limits := platformstore.DefaultLimits
	fs.IntVar(&limits.Writes, "writes", limits.Writes, "writes a second; 0 is no limit")
	fs.IntVar(&limits.Reads, "reads", limits.Reads, "reads a second; 0 is no limit")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "run the platform's object service in memory",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			server := platformstore.NewServer(platformstore.NewStore(), limits)
			return serve(ctx, endpoint{*listen, server.Handler()}, endpoint{*control, server.ControlHandler()})
		},
	}
}

// targetCommand returns the command that runs a target.
func targetCommand() *ffcli.Command {
	fs := flag.NewFlagSet("target", flag.ExitOnError)
	id := fs.String("id", "target", "name of the target")
	listen := fs.String("listen", "127.0.0.1:7100", "address of the service")
	control := fs.String("control", "127.0.0.1:7101", "address that changes settings and tells what ran")
	settings := backend.Settings{Shed: true}
	fs.IntVar(&settings.Slots, "slots", 6, "requests run at a time")
	fs.DurationVar(&settings.ServiceTime, "service-time", 20*time.Millisecond, "time of a request")
	fs.IntVar(&settings.ColdRuns, "cold-runs", 0, "requests after the start that take longer")
	fs.Float64Var(&settings.ColdFactor, "cold-factor", 1, "how many times as long the first of them takes")
	return &ffcli.Command{
		Name:       "target",
		ShortUsage: "standin target [flags]",
		ShortHelp:  "run one target",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			server := backend.NewServer(*id, settings, backend.NewRuns())
			return serve(ctx, endpoint{*listen, server.Handler()}, endpoint{*control, server.ControlHandler()})
		},
	}
}

// serve serves the service and its control interface until ctx ends or one of the two servers
// fails. It prints the addresses that it listens on as one line of JSON.
func serve(ctx context.Context, service, control endpoint) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	addrs := make([]string, 0, 2)
	for _, e := range []endpoint{service, control} {
		ln, err := net.Listen("tcp", e.addr)
		if err != nil {
			return fmt.Errorf("standin: %w", err)
		}
		addrs = append(addrs, ln.Addr().String())
		server := &http.Server{Handler: e.handler, ReadHeaderTimeout: 5 * time.Second}
		go func() { cancel(server.Serve(ln)) }()
		defer func() { _ = server.Close() }()
	}
	fmt.Printf("{\"service\":%q,\"control\":%q}\n", addrs[0], addrs[1])
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// endpoint is a handler and the address that it is served at, as HOST:PORT.
type endpoint struct {
	addr    string
	handler http.Handler
}

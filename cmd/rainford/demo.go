package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/internal/demo"
)

// errInvariantsBroken reports that the demo broke invariants. The demo's report, which is
// printed before, lists them.
type errInvariantsBroken struct{ count int }

// Error implements error.
func (e errInvariantsBroken) Error() string { return fmt.Sprintf("%d invariants were broken", e.count) }

func (a *app) demoCommand() *ffcli.Command {
	fs := newFlags("rainford demo")
	c := &commonFlags{}
	c.registerJSON(fs)
	estate := fs.String("estate", "estatedesk", "whose sizes to run: estatedesk or pampa")
	duration := fs.Duration("duration", 10*time.Second, "how long to send requests")
	rate := fs.Float64("rate", 600, "requests a second")
	targets := fs.Int("targets", 0, "most targets of each service; 0 runs all")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	gateways := fs.Bool("gateway", false, "run gateways on a store of objects; -estate, -targets and -seed do not count")
	return a.command("demo", "rainford demo [-gateway] [-estate NAME] [-duration D] [-json]", "run a whole estate in one process on loopback and report", fs, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("demo takes no arguments")
		}
		size, err := demo.ByName(*estate)
		if err != nil {
			return usagef("%v", err)
		}
		if *duration < time.Second || *rate <= 0 {
			return usagef("demo: -duration must be at least 1s and -rate must be above 0")
		}
		if *gateways {
			report, err := demo.RunGateways(ctx, demo.GatewayOptions{Duration: *duration, Rate: min(*rate, maxGatewayRate), Progress: a.stderr})
			if err != nil {
				return err
			}
			return a.printReport(c, report, len(report.Broken))
		}
		for i := range size.Services {
			if *targets > 0 {
				size.Services[i].Targets = min(size.Services[i].Targets, *targets)
			}
		}
		report, err := demo.Run(ctx, demo.RunOptions{Estate: size, Duration: *duration, Rate: *rate, Seed: *seed, Progress: a.stderr})
		if err != nil {
			return err
		}
		return a.printReport(c, report, len(report.Broken))
	})
}

// maxGatewayRate is the highest rate, in requests per second, that the few targets of the
// gateways' demo can serve.
const maxGatewayRate = 300

// printer is a report that can print itself as a table.
type printer interface {
	Print(w io.Writer) error
}

// printReport prints a demo's report. It returns errInvariantsBroken if broken is above 0.
func (a *app) printReport(c *commonFlags, report printer, broken int) error {
	var err error
	if c.json {
		err = a.printJSON(report)
	} else {
		err = report.Print(a.stdout)
	}
	if err != nil {
		return err
	}
	if broken > 0 {
		return errInvariantsBroken{broken}
	}
	return nil
}

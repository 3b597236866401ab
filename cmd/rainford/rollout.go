package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/rollout"
)

// defaultRolloutTime is for how long a rollout may go on where nothing else is said.
const defaultRolloutTime = 10 * time.Minute

// rolloutCommand orders that versions of services are brought in, and shows what becomes of the orders.
func (a *app) rolloutCommand() *ffcli.Command {
	return a.group("rollout", "rainford rollout <start|status|abort>", "bring a new version of a service in step by step",
		a.rolloutStartCommand(), a.rolloutStatusCommand(), a.rolloutAbortCommand())
}

func (a *app) rolloutStartCommand() *ffcli.Command {
	fs := newFlags("rainford rollout start")
	c := &common{}
	c.register(fs)
	duration := fs.Duration("duration", defaultRolloutTime, "time within which the requests are to be moved")
	return a.command("start", "rainford rollout start [-duration TIME] SERVICE VERSION",
		"have a service's requests moved to its targets of a version, and back if that version is bad", fs, func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usagef("rollout start takes a service and a version")
			}
			if *duration <= 0 {
				return usagef("-duration must be positive")
			}
			store, err := c.objects()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.timeout)
			defer cancel()
			return a.startRollout(ctx, store, rollout.Order{Service: args[0], Version: args[1], Duration: *duration})
		})
}

// startRollout gives an order, in place of one that has ended.
func (a *app) startRollout(ctx context.Context, store *platform.Store, o rollout.Order) error {
	held, found, err := rolloutOf(ctx, store, o.Service)
	if err != nil {
		return err
	}
	if found && !held.State.IsFinal() {
		return fmt.Errorf("version %s of %s is being brought in: wait for its end, or say rainford rollout abort %s first", held.Version, o.Service, o.Service)
	}
	if found {
		if err := store.Remove(ctx, gateway.KindRollouts, o.Service); err != nil {
			return err
		}
	}
	if err := store.OrderRollout(ctx, o); err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "version %s of %s is to be brought in within %v\n", o.Version, o.Service, o.Duration)
	return nil
}

func (a *app) rolloutStatusCommand() *ffcli.Command {
	fs := newFlags("rainford rollout status")
	c := &common{}
	c.register(fs)
	return a.command("status", "rainford rollout status [-json]", "list the orders to bring versions in, and what has become of them", fs, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("rollout status takes no arguments")
		}
		store, err := c.objects()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		all, err := store.Rollouts(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return a.printJSON(all)
		}
		tw := tabwriter.NewWriter(a.stdout, 2, 8, 2, ' ', 0)
		for _, r := range all {
			fmt.Fprintf(tw, "%s\tversion %s\t%s\twithin %v\n", r.Service, r.Version, stateName(r.State), r.Duration)
		}
		return tw.Flush()
	})
}

func (a *app) rolloutAbortCommand() *ffcli.Command {
	fs := newFlags("rainford rollout abort")
	c := &common{}
	c.register(fs)
	return a.command("abort", "rainford rollout abort SERVICE", "take the order to bring a version in back: its targets get nothing any more", fs, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("rollout abort takes a service")
		}
		store, err := c.objects()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		held, found, err := rolloutOf(ctx, store, args[0])
		switch {
		case err != nil:
			return err
		case !found:
			return fmt.Errorf("no version of %s is ordered", args[0])
		case held.State.IsFinal():
			return fmt.Errorf("the rollout of version %s of %s has ended: %s", held.Version, held.Service, stateName(held.State))
		}
		if err := store.Remove(ctx, gateway.KindRollouts, args[0]); err != nil {
			return err
		}
		fmt.Fprintf(a.stdout, "version %s of %s is not brought in any more\n", held.Version, held.Service)
		return nil
	})
}

// objects returns the client of a platform whose store is one of objects by kind: the other has no targets
// that name a version.
func (c *common) objects() (*platform.Store, error) {
	addr, ok := strings.CutPrefix(c.platform, objectsScheme)
	if !ok {
		return nil, usagef("-platform must be " + objectsScheme + "IP:PORT: targets tell their versions only there")
	}
	return platform.NewStore(addr), nil
}

// rolloutOf returns the order for a service, false if there is none.
func rolloutOf(ctx context.Context, store *platform.Store, service string) (rollout.Record, bool, error) {
	all, err := store.Rollouts(ctx)
	if err != nil {
		return rollout.Record{}, false, err
	}
	i := slices.IndexFunc(all, func(r rollout.Record) bool { return r.Service == service })
	if i < 0 {
		return rollout.Record{}, false, nil
	}
	return all[i], true, nil
}

// stateName names the state of an order, also of one that nobody has taken up yet.
func stateName(s rollout.State) string {
	if s == "" {
		return "ordered"
	}
	return string(s)
}

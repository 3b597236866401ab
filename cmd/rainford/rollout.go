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

// defaultRolloutTime is the default of -duration, the time within which a rollout shifts all
// requests to the new version.
const defaultRolloutTime = 10 * time.Minute

// rolloutCommand returns the commands that order, list and abort rollouts of new versions of
// services.
func (a *app) rolloutCommand() *ffcli.Command {
	return a.group("rollout", "rainford rollout <start|status|abort>", "bring a new version of a service in step by step",
		a.rolloutStartCommand(), a.rolloutStatusCommand(), a.rolloutAbortCommand())
}

func (a *app) rolloutStartCommand() *ffcli.Command {
	fs := newFlags("rainford rollout start")
	c := &commonFlags{}
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

// startRollout stores the rollout order o. It replaces an earlier order for the service if that
// rollout has ended, and returns an error if it is still in progress.
func (a *app) startRollout(ctx context.Context, store *platform.Store, o rollout.Order) error {
	current, found, err := findRollout(ctx, store, o.Service)
	if err != nil {
		return err
	}
	if found && !current.State.IsFinal() {
		return fmt.Errorf("the rollout of version %s of %s is still in progress: wait for its end, or run rainford rollout abort %s first", current.Version, o.Service, o.Service)
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
	c := &commonFlags{}
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
	c := &commonFlags{}
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
		current, found, err := findRollout(ctx, store, args[0])
		switch {
		case err != nil:
			return err
		case !found:
			return fmt.Errorf("there is no rollout order for service %s", args[0])
		case current.State.IsFinal():
			return fmt.Errorf("the rollout of version %s of %s has ended: %s", current.Version, current.Service, stateName(current.State))
		}
		if err := store.Remove(ctx, gateway.KindRollouts, args[0]); err != nil {
			return err
		}
		fmt.Fprintf(a.stdout, "version %s of %s is not brought in any more\n", current.Version, current.Service)
		return nil
	})
}

// objects returns a client of a platform whose store lists objects by kind. Rollouts need such
// a platform, because only its objects state the versions of the targets.
func (c *commonFlags) objects() (*platform.Store, error) {
	addr, ok := strings.CutPrefix(c.platform, objectsScheme)
	if !ok {
		return nil, usagef("-platform must be " + objectsScheme + "IP:PORT: only there do targets announce their versions")
	}
	return platform.NewStore(addr), nil
}

// findRollout returns the rollout order for a service. It returns false if there is none.
func findRollout(ctx context.Context, store *platform.Store, service string) (rollout.Record, bool, error) {
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

// stateName returns the name of the state of a rollout. The state is empty until an instance
// has started the rollout.
func stateName(s rollout.State) string {
	if s == "" {
		return "ordered"
	}
	return string(s)
}

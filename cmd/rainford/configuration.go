package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/table"
)

// editTable makes one change of the configuration by f and prints it. The audit trail
// records the command that makes the change.
func (a *app) editTable(ctx context.Context, c *commonFlags, command string, f func(*table.Table) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client := c.client()
	editor, err := c.editor(client, command)
	if err != nil {
		return err
	}
	change, err := editor.Edit(ctx, f)
	if err != nil {
		return err
	}
	return a.printChange(c, change)
}

func (a *app) serviceCommand() *ffcli.Command {
	set := newFlags("rainford service set")
	c := &commonFlags{}
	c.register(set)
	c.registerOperator(set)
	once := set.Bool("once", false, "operations of the service run at most once")
	floor := set.Int("floor", 0, "percentage of each hall's slots kept for the own region's requests")
	setCmd := a.command("set", "rainford service set [-once] [-floor N] NAME", "create or change a service", set, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("service set takes one name")
		}
		service := table.Service{Name: args[0], NonIdempotent: *once, Reserve: *floor}
		return a.editTable(ctx, c, "service set "+args[0], func(t *table.Table) error {
			for i := range t.Services {
				if t.Services[i].Name == service.Name {
					t.Services[i] = service
					return nil
				}
			}
			t.Services = append(t.Services, service)
			return nil
		})
	})
	remove := newFlags("rainford service remove")
	rc := &commonFlags{}
	rc.register(remove)
	rc.registerOperator(remove)
	removeCmd := a.command("remove", "rainford service remove NAME", "remove a service without rows", remove, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("service remove takes one name")
		}
		return a.editTable(ctx, rc, "service remove "+args[0], func(t *table.Table) error {
			for i := range t.Services {
				if t.Services[i].Name == args[0] {
					t.Services = append(t.Services[:i], t.Services[i+1:]...)
					return nil
				}
			}
			return fmt.Errorf("no service %q", args[0])
		})
	})
	return a.group("service", "rainford service <set|remove>", "create and change services", setCmd, removeCmd)
}

func (a *app) regionCommand() *ffcli.Command {
	set := newFlags("rainford region set")
	c := &commonFlags{}
	c.register(set)
	c.registerOperator(set)
	setCmd := a.command("set", "rainford region set NAME HALL…", "create a region or change its halls", set, func(ctx context.Context, args []string) error {
		if len(args) < 2 {
			return usagef("region set takes a name and at least one hall")
		}
		region := table.Region{Name: args[0], Halls: args[1:]}
		return a.editTable(ctx, c, "region set "+strings.Join(args, " "), func(t *table.Table) error {
			for i := range t.Regions {
				if t.Regions[i].Name == region.Name {
					t.Regions[i] = region
					return nil
				}
			}
			t.Regions = append(t.Regions, region)
			return nil
		})
	})
	return a.group("region", "rainford region set", "create regions and set their halls", setCmd)
}

func (a *app) blocksCommand() *ffcli.Command {
	fs := newFlags("rainford blocks apply")
	c := &commonFlags{}
	c.register(fs)
	apply := a.command("apply", "rainford blocks apply FILE", "replace the table of client blocks by a CSV file with the header block,hall", fs, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("blocks apply takes one file")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		f, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		blocks, err := lookup.ReadBlocks(f)
		if err != nil {
			return err
		}
		err = lookup.StoreBlocks(ctx, c.client(), blocks)
		if err != nil {
			return err
		}
		if c.json {
			return a.printJSON(map[string]int{"blocks": len(blocks)})
		}
		fmt.Fprintf(a.stdout, "%d blocks stored\n", len(blocks))
		return nil
	})
	return a.group("blocks", "rainford blocks apply", "set the blocks of client addresses", apply)
}

func (a *app) drainCommand(on bool) *ffcli.Command {
	name, help := "drain", "take a region, a hall or a target out of use"
	if !on {
		name, help = "undrain", "take a drained region, hall or target back into use"
	}
	fs := newFlags("rainford " + name)
	c := &commonFlags{}
	c.register(fs)
	c.registerOperator(fs)
	return a.command(name, "rainford "+name+" [-who NAME] [-json] region|hall|target NAME", help, fs, func(ctx context.Context, args []string) error {
		if len(args) != 2 {
			return usagef("%s takes a scope (region, hall or target) and a name", name)
		}
		d := table.Drain{Scope: table.DrainScope(args[0]), Name: args[1]}
		return a.editTable(ctx, c, name+" "+strings.Join(args, " "), func(t *table.Table) error {
			t.SetDrain(d, on)
			return nil
		})
	})
}

// seatsCommand returns the command that frees the seats of a hall. A seat entitles an
// instance to a fixed share of the hall's caps. If all instances of a hall die at once,
// their replacements cannot find out whether the former instances still use the seats, so
// that an operator has to confirm that they have ended.
func (a *app) seatsCommand() *ffcli.Command {
	fs := newFlags("rainford seats release")
	c := &commonFlags{}
	c.register(fs)
	confirmed := fs.Bool("instances-are-dead", false, "confirm that every former instance of the hall has ended")
	release := a.command("release", "rainford seats release -instances-are-dead HALL", "free all seats of a hall whose former instances have all ended", fs, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("seats release takes one hall")
		}
		if !*confirmed {
			return usagef("an instance that still runs would exceed its caps: make sure that all former instances have ended, then add -instances-are-dead")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		client := c.client()
		key := node.RosterPrefix + args[0]
		obj, err := client.Get(ctx, key)
		if errors.Is(err, objectstore.ErrNotFound) {
			return fmt.Errorf("hall %q has no roster", args[0])
		}
		if err != nil {
			return err
		}
		var roster seat.Roster
		err = decode(obj, &roster)
		if err != nil {
			return err
		}
		_, err = client.Put(ctx, key, obj.Version, roster.Cleared())
		if err != nil {
			return err
		}
		if c.json {
			return a.printJSON(map[string]int{"released": len(roster.Seats)})
		}
		fmt.Fprintf(a.stdout, "%d seats of %s released\n", len(roster.Seats), args[0])
		return nil
	})
	return a.group("seats", "rainford seats release", "free the seats of a lost hall", release)
}

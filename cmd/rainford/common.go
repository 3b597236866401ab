package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/platform"
)

// commonFlags holds the flags that several subcommands share. The platform is the external
// service that stores the configuration and the list of instances.
type commonFlags struct {
	platform string
	operator string
	json     bool
	timeout  time.Duration
}

const defaultTimeout = 15 * time.Second

func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// register adds the flags of subcommands that connect to the platform.
func (c *commonFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&c.platform, "platform", "http://127.0.0.1:7000", "base URL of the platform's service, or objects://IP:PORT")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to try")
	c.registerJSON(fs)
}

func (c *commonFlags) registerJSON(fs *flag.FlagSet) {
	fs.BoolVar(&c.json, "json", false, "print JSON")
}

// registerOperator adds the flag that names the operator. Subcommands that change the
// configuration need it for the audit trail.
func (c *commonFlags) registerOperator(fs *flag.FlagSet) {
	fs.StringVar(&c.operator, "who", os.Getenv("USER"), "operator's name for the audit trail")
}

// objectsScheme is the prefix of the address of a platform whose store lists objects by
// kind, such as servers and rollouts.
const objectsScheme = "objects://"

// client returns a client of the platform that the -platform flag names.
func (c *commonFlags) client() objectstore.Service {
	if addr, ok := strings.CutPrefix(c.platform, objectsScheme); ok {
		return platform.NewObjects(addr)
	}
	return objectstore.NewClient(c.platform, 0)
}

// editor returns an editor of the configuration. The audit trail records the operator and the
// command that makes the change. Without an operator, editor returns a usage error.
func (c *commonFlags) editor(client objectstore.Service, command string) (*config.Editor, error) {
	if c.operator == "" {
		return nil, usagef("the operator's name is missing: the audit trail needs -who or RAINFORD_WHO")
	}
	return &config.Editor{Store: client, Operator: c.operator, Command: command, NewID: newID, Now: time.Now}, nil
}

// newID returns a random identifier of a change.
func newID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// readDocument reads the accepted configuration. It returns an empty document if the
// platform has none.
func readDocument(ctx context.Context, client objectstore.Service) (*config.Document, error) {
	obj, err := client.Get(ctx, config.Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return &config.Document{}, nil
	}
	if err != nil {
		return nil, err
	}
	return config.Decode(obj.Value)
}

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printChange prints an accepted change with the cells that it changed.
func (a *app) printChange(c *commonFlags, change config.Change) error {
	if c.json {
		return a.printJSON(change)
	}
	fmt.Fprintf(a.stdout, "version %d accepted: %s\n", change.Number, change.Command)
	for _, cell := range change.Cells {
		fmt.Fprintf(a.stdout, "  %s: %s -> %s\n", cell.Cell, orNone(cell.Before), orNone(cell.After))
	}
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

func (a *app) versionCommand() *ffcli.Command {
	fs := newFlags("rainford version")
	c := &commonFlags{}
	c.registerJSON(fs)
	return a.command("version", "rainford version [-json]", "print the version of the program", fs, func(context.Context, []string) error {
		version := "devel"
		if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
			version = info.Main.Version
		}
		if c.json {
			return a.printJSON(map[string]string{"version": version})
		}
		fmt.Fprintln(a.stdout, version)
		return nil
	})
}

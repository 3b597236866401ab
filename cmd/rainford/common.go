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

// common are the flags of subcommands that talk to the platform.
type common struct {
	platform string
	who      string
	json     bool
	timeout  time.Duration
}

const defaultTimeout = 15 * time.Second

func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

func (c *common) register(fs *flag.FlagSet) {
	fs.StringVar(&c.platform, "platform", "http://127.0.0.1:7000", "base URL of the platform's service, or objects://IP:PORT")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to try")
	c.registerJSON(fs)
}

func (c *common) registerJSON(fs *flag.FlagSet) {
	fs.BoolVar(&c.json, "json", false, "print JSON")
}

// registerWho adds the flag of subcommands that change the configuration.
func (c *common) registerWho(fs *flag.FlagSet) {
	fs.StringVar(&c.who, "who", os.Getenv("USER"), "operator's name for the audit trail")
}

// objectsScheme begins the address of a platform whose store is one of objects
// by kind.
const objectsScheme = "objects://"

func (c *common) client() objectstore.Service {
	if addr, ok := strings.CutPrefix(c.platform, objectsScheme); ok {
		return platform.NewObjects(addr)
	}
	return objectstore.NewClient(c.platform, 0)
}

// editor returns an editor for the audit trail's who and what.
func (c *common) editor(client objectstore.Service, what string) (*config.Editor, error) {
	if c.who == "" {
		return nil, usagef("say who you are with -who or RAINFORD_WHO: the audit trail needs it")
	}
	return &config.Editor{Store: client, Operator: c.who, Command: what, NewID: newID, Now: time.Now}, nil
}

func newID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// document reads the accepted configuration.
func document(ctx context.Context, client objectstore.Service) (*config.Document, error) {
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

// accepted prints an accepted change.
func (a *app) accepted(c *common, change config.Change) error {
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
	c := &common{}
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

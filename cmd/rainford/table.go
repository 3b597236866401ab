package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rainford/rainford/table"
)

func (a *app) tableCommand() *ffcli.Command {
	return a.group("table", "rainford table <get|check|apply|set> [flags] [arguments]", "read and change the table",
		a.tableGet(), a.tableCheck(), a.tableApply(), a.tableSet())
}

// versionHeader begins the first line of an exported table, and the number of the version
// follows. It names the version that edits of the file are based on, so that table apply can
// detect conflicting changes.
const versionHeader = "# rainford table version "

var versionHeaderPattern = regexp.MustCompile(`^# rainford table version (\d+)`)

func (a *app) tableGet() *ffcli.Command {
	fs := newFlags("rainford table get")
	c := &commonFlags{}
	c.register(fs)
	return a.command("get", "rainford table get [-json]", "print the table as CSV", fs, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("table get takes no arguments")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		doc, err := readDocument(ctx, c.client())
		if err != nil {
			return err
		}
		if c.json {
			return a.printJSON(struct {
				Version int64       `json:"version"`
				Table   table.Table `json:"table"`
			}{doc.Number, doc.Table})
		}
		fmt.Fprintf(a.stdout, "%s%d\n", versionHeader, doc.Number)
		return table.WriteCSV(a.stdout, doc.Table.Rows)
	})
}

// exportedSheet is a table that was read from a file.
type exportedSheet struct {
	*table.Sheet
	// base is the version that the file was exported from, or -1 if the file does not
	// name it.
	base int64
}

// readSheet reads a table from the file path, or from standard input if path is -. If the form
// of the table has faults, it returns the sheet together with them as table.Findings.
func (a *app) readSheet(path string) (*exportedSheet, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(io.LimitReader(a.stdin, table.MaxCSVBytes))
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	out := &exportedSheet{base: -1}
	if m := versionHeaderPattern.FindSubmatch(raw); m != nil {
		out.base, _ = strconv.ParseInt(string(m[1]), 10, 64)
	}
	out.Sheet, err = table.ReadCSV(bytes.NewReader(raw))
	return out, err
}

// checkSheet returns all findings on a sheet together: the findings on its form, given as
// formErr, and those on its content, checked against the regions and services of the table
// against. A formErr of another type is returned as it is.
func checkSheet(s *exportedSheet, formErr error, against *table.Table) error {
	findings, ok := formErr.(table.Findings)
	if formErr != nil && !ok {
		return formErr
	}
	next := against.Clone()
	next.Rows = s.Rows
	return append(findings, table.Check(next, s.Sheet)...).Err()
}

// tableFromRows returns a table without rows, with the regions and services that rows name.
func tableFromRows(rows []table.Row) *table.Table {
	t := &table.Table{}
	regions, services := make(map[string]bool), make(map[string]bool)
	for _, row := range rows {
		if !services[row.Service] {
			services[row.Service] = true
			t.Services = append(t.Services, table.Service{Name: row.Service})
		}
		for _, region := range []string{row.From, row.To} {
			if !regions[region] {
				regions[region] = true
				t.Regions = append(t.Regions, table.Region{Name: region, Halls: []string{region}})
			}
		}
	}
	return t
}

func (a *app) tableCheck() *ffcli.Command {
	fs := newFlags("rainford table check")
	c := &commonFlags{}
	c.register(fs)
	offline := fs.Bool("offline", false, "ask no platform: take the regions and services to be those that the rows name")
	return a.command("check", "rainford table check [-json] [-offline] FILE", "check a table without changing anything; FILE may be -", fs, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("table check takes one file")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		s, formErr := a.readSheet(args[0])
		if s == nil {
			return formErr
		}
		against := tableFromRows(s.Rows)
		if !*offline {
			doc, err := readDocument(ctx, c.client())
			if err != nil {
				return err
			}
			against = &doc.Table
		}
		err := checkSheet(s, formErr, against)
		if c.json {
			findings, _ := err.(table.Findings)
			if findings == nil {
				findings = table.Findings{}
			}
			if err := a.printJSON(map[string]any{"rows": len(s.Rows), "findings": findings}); err != nil {
				return err
			}
			return err
		}
		if err == nil {
			fmt.Fprintf(a.stdout, "%d rows, no findings\n", len(s.Rows))
		}
		return err
	})
}

func (a *app) tableApply() *ffcli.Command {
	fs := newFlags("rainford table apply")
	c := &commonFlags{}
	c.register(fs)
	c.registerOperator(fs)
	base := fs.Int64("base", -1, "version that the file was made from, if the file does not say")
	return a.command("apply", "rainford table apply [-base N] [-who NAME] [-json] FILE", "replace the rows by those of a file; FILE may be -", fs, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usagef("table apply takes one file")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		s, formErr := a.readSheet(args[0])
		if s == nil {
			return formErr
		}
		if *base >= 0 {
			s.base = *base
		}
		if s.base < 0 {
			return usagef("%s does not name the version that it was made from: export it with table get, or set -base", args[0])
		}
		client := c.client()
		doc, err := readDocument(ctx, client)
		if err != nil {
			return err
		}
		if err := checkSheet(s, formErr, &doc.Table); err != nil {
			return err
		}
		editor, err := c.editor(client, "table apply "+args[0])
		if err != nil {
			return err
		}
		change, err := editor.Replace(ctx, s.base, func(t *table.Table) error {
			t.Rows = s.Rows
			return nil
		}, s.Sheet)
		if err != nil {
			return err
		}
		return a.printChange(c, change)
	})
}

func (a *app) tableSet() *ffcli.Command {
	fs := newFlags("rainford table set")
	c := &commonFlags{}
	c.register(fs)
	c.registerOperator(fs)
	return a.command("set", "rainford table set [-who NAME] [-json] SERVICE FROM TO CELL=VALUE…", "change cells of one row: weight, cap, shift, ramp", fs, func(ctx context.Context, args []string) error {
		if len(args) < 4 {
			return usagef("table set takes a service, from, to and at least one CELL=VALUE")
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		client := c.client()
		editor, err := c.editor(client, "table set "+strings.Join(args, " "))
		if err != nil {
			return err
		}
		change, err := editor.Edit(ctx, func(t *table.Table) error { return setCells(t, args) })
		if err != nil {
			return err
		}
		return a.printChange(c, change)
	})
}

// setCells changes cells of one row of t. The arguments are the service, from, to and at least
// one CELL=VALUE. A row that does not exist is added, with no cap and a full shift.
func setCells(t *table.Table, args []string) error {
	row := table.Row{Service: args[0], From: args[1], To: args[2], Cap: table.NoCap, Shift: table.FullShift}
	for _, r := range t.Rows {
		if r.Key() == row.Key() {
			row = r
		}
	}
	for _, arg := range args[3:] {
		cell, value, ok := strings.Cut(arg, "=")
		if !ok {
			return usagef("%q: want CELL=VALUE", arg)
		}
		next, err := table.SetCell(row, cell, value)
		if err != nil {
			return err
		}
		row = next
	}
	t.SetRow(row)
	return nil
}

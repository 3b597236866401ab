package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/logqueue"
	"github.com/rainford/rainford/table"
)

// lookupCommand is the first argument of a call that runs a process that answers look-ups.
const lookupCommand = "lookup"

// The setting by which both modes derive the look-up address of an instance from another address of
// it, for platforms whose templates can't add.
const (
	lookupPortOffsetName  = "lookup-port-offset"
	lookupPortOffsetUsage = "number that is added to the port of the look-up address of instances, 0 for none"
	maxPort               = 1<<16 - 1
)

// lookupSettings are the settings of a process that answers look-ups. Addresses have the form
// IP:PORT.
type lookupSettings struct {
	// listen is the address for clients, and adminListen that for metrics, empty for none.
	listen, adminListen string
	// instance is the look-up address of the instance of the same machine, after the offset of the
	// port has been added.
	instance   string
	portOffset int
	logLevel   string
	file       string
}

// runLookup answers look-ups until a signal stops it, and returns the exit code. SIGHUP changes
// nothing but is logged.
func runLookup(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s, err := readLookupSettings(args, stderr)
	if err != nil {
		return settingsExit(err, stderr)
	}
	queue := logqueue.New(stdout)
	defer queue.Close()
	log, err := newLog(s.logLevel, queue)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	go logIgnoredReloads(hup, log)
	server, err := newLookupServer(s, clock.Real(), log)
	if err == nil {
		err = server.run(ctx)
	}
	if err != nil {
		log.Error("run failed", "error", err.Error())
		return exitFailure
	}
	return exitOK
}

// logIgnoredReloads logs each signal from hup.
func logIgnoredReloads(hup <-chan os.Signal, log *slog.Logger) {
	for range hup {
		log.Warn("reload refused", "error", "all settings of rainfordd lookup need a restart")
	}
}

// readLookupSettings reads the flags, the environment variables with the prefix RAINFORD_ and the
// settings file. It checks all settings and returns all findings together as one error.
func readLookupSettings(args []string, stderr io.Writer) (*lookupSettings, error) {
	s := &lookupSettings{}
	fs := flag.NewFlagSet("rainfordd lookup", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.file, "node-file", "", "file of settings, one \"name value\" a line")
	fs.StringVar(&s.listen, "listen", "", "IP:PORT for look-ups of clients")
	fs.StringVar(&s.instance, "instance", "", "IP:PORT for look-ups of the instance of this machine; all instances use this port")
	fs.IntVar(&s.portOffset, lookupPortOffsetName, 0, lookupPortOffsetUsage)
	fs.StringVar(&s.adminListen, "admin-listen", "", "IP:PORT for metrics, empty for none")
	fs.StringVar(&s.logLevel, "log-level", "info", "debug, info, warn or error")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("RAINFORD"),
		ff.WithConfigFileFlag("node-file"), ff.WithConfigFileParser(ff.PlainParser))
	if err != nil {
		return nil, err
	}
	findings := s.complete()
	if fs.NArg() > 0 {
		findings = append(findings, table.Finding{Message: "unexpected argument " + fs.Arg(0)})
	}
	return s, findings.Err()
}

// complete derives the address of the instance, checks all settings and returns the findings.
func (s *lookupSettings) complete() table.Findings {
	var findings table.Findings
	for _, named := range []struct {
		field, value string
		required     bool
	}{
		{"listen", s.listen, true},
		{"instance", s.instance, true},
		{"admin-listen", s.adminListen, false},
	} {
		_, err := netip.ParseAddrPort(named.value)
		if err != nil && (named.required || named.value != "") {
			findings = append(findings, table.Finding{Field: named.field, Message: "want IP:PORT"})
		}
	}
	var offsetFindings table.Findings
	s.instance, offsetFindings = offsetPort(s.instance, s.portOffset)
	findings = append(findings, offsetFindings...)
	if addr, err := netip.ParseAddrPort(s.instance); err == nil {
		switch {
		case addr.Port() == 0 || addr.Addr().IsUnspecified():
			findings = append(findings, table.Finding{Field: "instance", Message: "is no address that can be connected to"})
		case s.instance == s.listen:
			findings = append(findings, table.Finding{Field: "instance", Message: "is the own address, see listen"})
		}
	}
	var level slog.Level
	if level.UnmarshalText([]byte(s.logLevel)) != nil {
		findings = append(findings, table.Finding{Field: "log-level", Message: "want debug, info, warn or error"})
	}
	return findings
}

// offsetPort returns addr, which has the form IP:PORT, with offset added to the port. An address of
// another form is returned unchanged. The findings concern the offset.
func offsetPort(addr string, offset int) (string, table.Findings) {
	finding := func(message string) table.Findings {
		return table.Findings{{Field: lookupPortOffsetName, Message: message}}
	}
	if offset == 0 {
		return addr, nil
	}
	if offset < 0 {
		return addr, finding("must not be negative")
	}
	host, text, err := net.SplitHostPort(addr)
	port, portErr := strconv.Atoi(text)
	if err != nil || portErr != nil {
		return addr, nil
	}
	switch {
	case port == 0:
		return addr, finding("can't be added to port 0")
	case port+offset > maxPort || offset > maxPort:
		return addr, finding(fmt.Sprintf("leads to a port over %d", maxPort))
	}
	return net.JoinHostPort(host, strconv.Itoa(port+offset)), nil
}

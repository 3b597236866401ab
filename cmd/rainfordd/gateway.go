package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/logqueue"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/table"
)

// gatewayCommand is the first argument of a call that runs a gateway.
const gatewayCommand = "gateway"

// targetDialer opens the connections to targets if it is set. Only a build for the fault soak sets it.
var targetDialer forward.Dialer

// defaultLogRate is the default limit on log lines for requests, in lines per second.
const defaultLogRate = 100

// gatewaySettings holds the configuration of package gateway and the settings that only this
// program uses.
type gatewaySettings struct {
	gateway.Config
	store    string
	seedIPs  string
	peers    string
	halls    string
	logLevel string
	logRate  int
	file     string
	// lookupPortOffset is added to the port of LookupListen.
	lookupPortOffset int
}

// runGateway runs a gateway until a signal stops it, and returns the exit code. SIGHUP reloads
// the settings. The log is written by a queue, so that a blocked standard output does not
// block requests.
func runGateway(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s, err := readGatewaySettings(args, stderr)
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
	s.Log = slog.New(logqueue.NewHandler(log.Handler(), logqueue.Limit{Message: gateway.RequestMessage, PerSecond: s.logRate}))
	s.Clock = clock.Real()
	s.TargetDialer = targetDialer
	g, err := gateway.New(s.Config, platform.NewStore(s.store), platform.Codec{}, platform.Headers())
	if err != nil {
		s.Log.Error("start failed", "error", err.Error())
		return exitFailure
	}
	go reloadOnSignal(hup, args, g)
	err = g.Run(ctx)
	if err != nil {
		s.Log.Error("run failed", "error", err.Error())
		return exitFailure
	}
	return exitOK
}

// reloadOnSignal reads the settings again on each signal from hup and applies them to g. Invalid
// settings are logged and change nothing.
func reloadOnSignal(hup <-chan os.Signal, args []string, g *gateway.Gateway) {
	for range hup {
		s, err := readGatewaySettings(args, io.Discard)
		if err != nil {
			g.ReloadFailed(err)
			continue
		}
		g.Reload(s.Config)
	}
}

// readGatewaySettings reads the flags, the environment variables with the prefix RAINFORD_ and
// the settings file. It checks all settings and returns all findings together as one error.
func readGatewaySettings(args []string, stderr io.Writer) (*gatewaySettings, error) {
	s := &gatewaySettings{Config: gateway.Defaults()}
	fs := flag.NewFlagSet("rainfordd gateway", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.file, "node-file", "", "file of settings, one \"name value\" a line")
	fs.StringVar(&s.Name, "name", "", "name of the instance")
	fs.StringVar(&s.Region, "region", "", "region of the instance")
	fs.StringVar(&s.Hall, "hall", "", "hall of the instance")
	fs.StringVar(&s.halls, "halls", "", "all halls with their regions: HALL=REGION, comma separated")
	fs.StringVar(&s.Listen, "listen", "", "IP:PORT for requests of clients")
	fs.StringVar(&s.LookupListen, "lookup-listen", "", "IP:PORT for look-ups of clients")
	fs.IntVar(&s.lookupPortOffset, lookupPortOffsetName, 0, lookupPortOffsetUsage)
	fs.StringVar(&s.ReadyListen, "ready-listen", "", "IP:PORT for readiness checks")
	fs.StringVar(&s.PeerListen, "peer-listen", "", "IP:PORT for messages of other instances")
	fs.StringVar(&s.AdminListen, "admin-listen", "", "IP:PORT for metrics")
	fs.StringVar(&s.AdvertiseFront, "advertise-front", "", "IP:PORT that clients are told of instead of listen")
	fs.StringVar(&s.AdvertisePeer, "advertise-peer", "", "IP:PORT that other instances are told of instead of peer-listen")
	fs.StringVar(&s.store, "store", "", "IP:PORT of the platform's store")
	fs.StringVar(&s.seedIPs, "seeds", "", "addresses of other instances, comma separated; the port is that of peer-listen")
	fs.StringVar(&s.peers, "peers", "", "peer addresses of other instances, comma separated, where ports differ")
	fs.BoolVar(&s.FirstStart, "first-start", false, "the whole system starts for the first time")
	fs.DurationVar(&s.ForgetAfter, "forget-after", s.ForgetAfter, "how long an instance may be silent before its entry in the store is removed")
	fs.DurationVar(&s.Grace, "grace", s.Grace, "longest planned stop")
	fs.DurationVar(&s.LookupTTL, "lookup-ttl", s.LookupTTL, "how long clients may keep a look-up")
	fs.Float64Var(&s.RetryRatio, "retry-ratio", s.RetryRatio, "repeats of all instances together, as a ratio of the requests")
	fs.Float64Var(&s.RetrySlack, "retry-slack", s.RetrySlack, "repeats of all instances together on top of the ratio, in a window")
	fs.Float64Var(&s.ShiftMost, "shift-most", s.ShiftMost, "largest part of a region's requests that may change region within 2 s")
	fs.DurationVar(&s.Limits.Window, "limit-window", s.Limits.Window, "window of the promise on limits of client accounts")
	fs.Float64Var(&s.Limits.Overshoot, "limit-over", s.Limits.Overshoot, "part of a limit that may be admitted beyond it in a window")
	fs.Float64Var(&s.Limits.Slack, "limit-slack", s.Limits.Slack, "requests of an account that may be admitted beyond that in a window")
	fs.Float64Var(&s.Rollouts.Share, "canary-share", s.Rollouts.Share, "part of a service's requests that a version that is brought in by order and turns out to be bad may get, 0 if there are no such orders")
	fs.Float64Var(&s.Rollouts.Slack, "canary-slack", s.Rollouts.Slack, "requests that such a version may get on top of that")
	fs.Float64Var(&s.CPUCores, "cpu-cores", s.CPUCores, "cores that the instance may use, a fraction too, 0 if unknown; clients are divided over instances by it")
	fs.Float64Var(&s.CPUShare, "cpu-share", s.CPUShare, "part of cpu-cores that the instance may use, 0 for all of them")
	fs.Float64Var(&s.LinkMbps, "link-mbps", s.LinkMbps, "bandwidth of the instance's link in Mbit/s, 0 if unknown; clients are divided over instances by it")
	fs.IntVar(&s.LogSample, "log-sample", s.LogSample, "one in how many ordinary successes is logged, 0 for none")
	fs.IntVar(&s.logRate, "log-rate", defaultLogRate, "most lines a second on requests; what is dropped is counted and told")
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

// complete derives the settings that are given as lists, checks all settings and returns the
// findings.
func (s *gatewaySettings) complete() table.Findings {
	var findings table.Findings
	s.RegionOf = make(map[string]string)
	for _, pair := range splitList(s.halls) {
		hall, region, ok := strings.Cut(pair, "=")
		if !ok || hall == "" || region == "" {
			findings = append(findings, table.Finding{Field: "halls", Message: pair + ": want HALL=REGION"})
			continue
		}
		s.RegionOf[hall] = region
	}
	s.Seeds = peerAddrs(splitList(s.seedIPs), s.PeerListen)
	s.Seeds = append(s.Seeds, splitList(s.peers)...)
	if s.store == "" {
		findings = append(findings, table.Finding{Field: "store", Message: "is missing"})
	}
	var offsetFindings table.Findings
	s.LookupListen, offsetFindings = offsetPort(s.LookupListen, s.lookupPortOffset)
	findings = append(findings, offsetFindings...)
	if s.lookupPortOffset != 0 && (s.LookupListen == s.PeerListen || s.LookupListen == s.AdminListen) {
		findings = append(findings, table.Finding{Field: lookupPortOffsetName, Message: "leads to " + s.LookupListen + ", which is the address for other instances or operators"})
	}
	return append(findings, s.Check()...)
}

// peerAddrs returns the peer addresses of the instances at the IP addresses seeds. All of them
// listen on the port of peerListen, the own peer address, which is left out of the result. A
// port in a seed is ignored. Without a port in peerListen the result is empty.
func peerAddrs(seeds []string, peerListen string) []string {
	_, port, ok := cutLast(peerListen, ':')
	if !ok {
		return nil
	}
	var out []string
	for _, seed := range seeds {
		host, _, ok := cutLast(seed, ':')
		if !ok {
			host = seed
		}
		if addr := host + ":" + port; addr != peerListen {
			out = append(out, addr)
		}
	}
	return out
}

// cutLast splits text around the last sep. If there is none, it returns text, "" and false.
func cutLast(text string, sep byte) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, sep)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}

package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// touchSources reads the state of each source file of the module, so that go test does not
// reuse a cached result after a change of the program.
func touchSources(t *testing.T) {
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.Stat(path)
		return err
	})
	require.NoError(t, err)
}

func build(t *testing.T) string {
	touchSources(t)
	program := filepath.Join(t.TempDir(), "rainfordd")
	cmd := exec.Command("go", "build", "-tags", "soaklinks", "-o", program, "github.com/rainford/rainford/cmd/rainfordd")
	cmd.Stderr = os.Stderr
	require.NoError(t, cmd.Run())
	return program
}

// TestShortSoak runs one seed.
func TestShortSoak(t *testing.T) {
	report, err := Run(context.Background(), Options{Seed: 3, Duration: 10 * time.Second, Program: build(t),
		Instances: 5, Clients: 10, Progress: io.Discard})
	require.NoError(t, err)
	require.Empty(t, report.Broken)
	require.Greater(t, report.Requests, 200)
}

// kept selects the run of the recorded seeds, which takes minutes.
var kept = flag.Bool("kept", false, "play the seeds of testdata/seeds.txt")

// TestKeptSeeds runs each recorded seed, all of which have failed before. Without the flag
// kept it only parses the list.
func TestKeptSeeds(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "seeds.txt"))
	require.NoError(t, err)
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var seed uint64
		var length string
		_, err := fmt.Sscan(line, &seed, &length)
		require.NoError(t, err, line)
		duration, err := time.ParseDuration(length)
		require.NoError(t, err, line)
		if !*kept {
			continue
		}
		report, err := Run(context.Background(), Options{Seed: seed, Duration: duration, Program: build(t),
			Instances: 6, Clients: 24, Progress: io.Discard})
		require.NoError(t, err)
		require.Empty(t, report.Broken, line)
	}
}

func TestPlanFollowsItsSeed(t *testing.T) {
	require.Equal(t, Plan(7, time.Minute), Plan(7, time.Minute))
	require.NotEqual(t, Plan(7, time.Minute), Plan(8, time.Minute))
	kinds := map[FaultKind]bool{}
	for seed := range uint64(40) {
		for _, f := range Plan(seed, time.Minute) {
			kinds[f.Kind] = true
			require.Less(t, f.At, time.Minute)
		}
	}
	require.Len(t, kinds, len(baseKinds)+len(silenceKinds)+len(entryKinds)+3+3+1+1+2, "each kind of fault is drawn")
}

// TestProxyModes checks that each mode that forwards bytes leaves them unchanged, and that
// bytes held by a mode are forwarded once the mode changes.
func TestProxyModes(t *testing.T) {
	server, err := origin.Start("i-1", "read", "a1", 3)
	require.NoError(t, err)
	defer server.Close()
	p, err := newProxy(server.Addr())
	require.NoError(t, err)
	defer p.close()
	body := bytes.Repeat([]byte("x"), 50_000)
	send := func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.addr()+"/", bytes.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Request-Id", "q")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	for _, mode := range []Mode{Pass, Delay, Trickle} {
		p.set(mode)
		require.NoError(t, send())
	}
	for _, mode := range []Mode{Stall, StallUp, StallDown} {
		p.set(mode)
		time.AfterFunc(100*time.Millisecond, func() { p.set(Pass) })
		require.NoError(t, send())
	}
	runs := server.Runs()
	require.Len(t, runs, 6)
	for _, run := range runs {
		require.Equal(t, body, run.Body)
	}
	p.set(Stall)
	time.AfterFunc(50*time.Millisecond, p.reset)
	require.Error(t, send())
}

// TestOracleDetectsEachViolation checks that the oracle reports each rule's violation, given
// the observations that a faulty system would cause.
func TestOracleDetectsEachViolation(t *testing.T) {
	in := &instance{name: "n1"}
	ok := func(id string) result {
		return result{status: 200, header: http.Header{"Server-Signature": {"s"}}, body: "answer of i-1 to " + id}
	}
	arrive := func(o *oracle, a *attempt, change func(*origin.Arrival)) {
		v := origin.Arrival{Server: &origin.Server{ID: "i-1", Service: a.service(), Zone: "a1"}, At: time.Now(), Executed: true,
			Run: origin.Run{ID: a.id, Method: a.method, URI: a.uri}}
		if change != nil {
			change(&v)
		}
		o.arrived(v)
	}
	leaving := func(id string) result {
		return result{status: 200, header: http.Header{"Server-Signature": {"sig.i-1"}, "Server-Leaving": {"1"}}, body: "answer of i-1 to " + id}
	}
	refused := result{status: 503, header: http.Header{}}
	cases := map[string]func(o *oracle){
		"": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			arrive(o, a, nil)
			o.finish(a, ok(a.id))
		},
		"MIXED": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			o.finish(a, ok("another"))
		},
		"UNASKED": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			arrive(o, a, func(v *origin.Arrival) { v.URI = "/read" })
		},
		"TWICE": func(o *oracle) {
			a := o.begin(in, "POST", "/pay/1", nil)
			arrive(o, a, nil)
			arrive(o, a, nil)
		},
		"REFUSED": func(o *oracle) {
			a := o.begin(in, "POST", "/pay/1", nil)
			arrive(o, a, nil)
			o.finish(a, refused)
		},
		"ROUTE": func(o *oracle) {
			a := o.begin(in, "POST", "/pay/1", nil)
			arrive(o, a, func(v *origin.Arrival) { v.Server.Service = "read" })
		},
		"HOME": func(o *oracle) {
			a := o.begin(in, "GET", "/home/1", nil)
			arrive(o, a, func(v *origin.Arrival) { v.Server.Zone = "b1" })
		},
		"DENIED": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			o.finish(a, result{status: 404, header: http.Header{}})
		},
		"DRAIN": func(o *oracle) {
			o.draining["i-1"] = time.Now().Add(-drainTimeout - time.Second)
			arrive(o, o.begin(in, "GET", "/read/1", nil), nil)
		},
		"EVAC": func(o *oracle) {
			o.evacuated["a1"] = time.Now().Add(-evacuateTime - time.Second)
			arrive(o, o.begin(in, "GET", "/read/1", nil), nil)
		},
		"GONE": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			a.leftAt = time.Now().Add(-time.Second)
			arrive(o, a, nil)
		},
		"CONFIG": func(o *oracle) {
			o.versionAt[2] = time.Now().Add(-time.Minute)
			a := o.begin(in, "GET", "/v2/", nil)
			a.probe = 2
			o.finish(a, result{status: 404, header: http.Header{}})
		},
		"TIMEOUT": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			a.at = a.at.Add(-routeTimeout - time.Second)
			o.finish(a, refused)
		},
		"LOST": func(o *oracle) {
			o.stopping["n1"] = time.Now()
			a := o.begin(in, "GET", "/read/1", nil)
			arrive(o, a, nil)
			o.finish(a, result{err: io.EOF})
		},
		"FAILBACK": func(o *oracle) {
			o.servers["i-1"] = &server{Server: &origin.Server{ID: "i-1"}, coldUntil: time.Now().Add(time.Minute)}
			for range warmupRate*3/2 + 6 {
				arrive(o, o.begin(in, "GET", "/read/1", nil), nil)
			}
		},
		"BUDGET": func(o *oracle) {
			for range 66 {
				a := o.begin(in, "GET", "/read/1", nil)
				arrive(o, a, nil)
				arrive(o, a, func(v *origin.Arrival) { v.Executed = false })
				arrive(o, a, func(v *origin.Arrival) { v.Executed = false })
			}
			o.budget()
		},
		"DRAIN by header": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			arrive(o, a, nil)
			o.finish(a, leaving(a.id))
			o.undisturbedSince["n1"] = time.Now().Add(time.Minute)
			next := o.begin(in, "GET", "/read/1", nil)
			next.at = a.doneAt.Add(drainTimeout + time.Millisecond)
			arrive(o, next, nil)
		},
		"NEWS": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			arrive(o, a, nil)
			o.finish(a, leaving(a.id))
			next := o.begin(&instance{name: "n2"}, "GET", "/read/1", nil)
			next.at = a.doneAt.Add(propagationTime + time.Millisecond)
			arrive(o, next, nil)
		},
		"BUDGET by back-off": func(o *oracle) {
			asked := time.Now()
			arrive(o, o.begin(in, "GET", "/read/1", nil), func(v *origin.Arrival) { v.Executed, v.RetryAfter = false, time.Minute })
			for i := range maxDuringBackoff + 1 {
				arrive(o, o.begin(in, "GET", "/read/1", nil), func(v *origin.Arrival) { v.At = asked.Add(backoffGrace + time.Duration(i+1)*time.Second) })
			}
		},
		"KEY": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			arrive(o, a, func(v *origin.Arrival) { v.Header = http.Header{"Credential": {"k"}} })
		},
		"KEY removed": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			a.key = "taken"
			o.keys.until["taken"] = time.Now().Add(-configApply - time.Second)
			arrive(o, a, nil)
		},
		"UNASKED account": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			arrive(o, a, func(v *origin.Arrival) { v.Header = http.Header{"Tenant": {"forged"}} })
		},
		"DENIED key": func(o *oracle) {
			a := o.begin(in, "GET", "/read/1", nil)
			a.key = o.keys.use("free")
			o.keys.since[a.key] = time.Now().Add(-time.Minute)
			o.finish(a, result{status: 401, header: http.Header{}})
		},
		"LIMIT": func(o *oracle) {
			for range 60 {
				a := o.begin(in, "GET", "/read/1", nil)
				a.account = "hot"
				arrive(o, a, func(v *origin.Arrival) { v.Header = http.Header{"Tenant": {"hot"}} })
			}
			o.limits()
		},
		"ENDS": func(o *oracle) { o.ended("n1", false, io.EOF) },
		"STOP": func(o *oracle) {
			o.stopping["n1"] = time.Now().Add(-grace - 2*time.Second)
			o.ended("n1", true, nil)
		},
	}
	for rule, bring := range cases {
		t.Run("rule "+rule, func(t *testing.T) {
			o := newOracle(newKeyring())
			o.undisturbedSince["n1"] = time.Now().Add(-time.Minute)
			bring(o)
			if rule == "" {
				require.Empty(t, o.violations)
				return
			}
			require.NotEmpty(t, o.violations)
			require.Equal(t, strings.Fields(rule)[0], o.violations[0].Rule)
		})
	}
}

// TestExcusedSignals checks that the oracle does not report requests sent soon after a signal,
// nor those of an instance that was restarted, paused or disturbed since.
func TestExcusedSignals(t *testing.T) {
	in := &instance{name: "n1"}
	server := &origin.Server{ID: "i-1", Service: "read", Zone: "a1"}
	for name, excuse := range map[string]func(o *oracle, asked time.Time, late *attempt){
		"soon":      func(_ *oracle, _ time.Time, late *attempt) { late.at = time.Now() },
		"restarted": func(o *oracle, _ time.Time, late *attempt) { o.runs["n1"], late.run = 1, 1 },
		"paused": func(o *oracle, asked time.Time, _ *attempt) {
			o.pausedUntil["n1"] = asked.Add(time.Second)
			o.undisturbedSince["n1"] = asked.Add(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOracle(newKeyring())
			a := o.begin(in, "GET", "/read/1", nil)
			asked := time.Now()
			o.arrived(origin.Arrival{Server: server, At: asked, Run: origin.Run{ID: a.id}, RetryAfter: time.Minute})
			o.finish(a, result{status: 200, header: http.Header{"Server-Signature": {"sig.i-1"}, leavingHeader: {"1"}}, body: " to " + a.id})
			for range maxDuringBackoff + 1 {
				late := o.begin(in, "GET", "/read/1", nil)
				late.at = asked.Add(2 * drainTimeout)
				excuse(o, asked, late)
				at := asked.Add(2 * drainTimeout)
				if name == "soon" {
					at = asked.Add(backoffGrace)
				}
				o.arrived(origin.Arrival{Server: server, At: at, Executed: true, Run: origin.Run{ID: late.id, Method: "GET", URI: "/read/1"}})
			}
			require.Empty(t, o.violations)
		})
	}
}

// TestTimeoutOverSilencedConnection checks that the oracle does not report the time-out of a
// request that a client sent over a connection silenced before, because the instance never
// received it, and does report one over a connection opened later.
func TestTimeoutOverSilencedConnection(t *testing.T) {
	for _, c := range []struct {
		opened time.Duration
		broken int
	}{{-time.Second, 0}, {time.Second, 1}} {
		o := newOracle(newKeyring())
		in := &instance{name: "n0"}
		silenced := time.Now().Add(-time.Minute)
		o.silencedAt["n0"] = silenced
		a := o.begin(in, http.MethodGet, "/read/1", nil)
		require.True(t, a.connected)
		a.at = time.Now().Add(-routeTimeout - time.Second)
		o.noteConnection(a, silenced.Add(c.opened))
		o.finish(a, result{err: context.DeadlineExceeded})
		require.Len(t, o.violations, c.broken)
	}
}

package soak

import (
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// addAttempts adds first attempts of clients that were sent at a time, of which some were served.
func addAttempts(o *oracle, name string, at time.Time, all, served int) (out []*attempt) {
	for i := range all {
		a := o.begin(&instance{name: name}, http.MethodGet, "/read/1", nil)
		a.at, a.doneAt, a.result.status = at, at.Add(time.Millisecond), http.StatusServiceUnavailable
		if i < served {
			a.result.status = http.StatusOK
		}
		out = append(out, a)
	}
	return out
}

// TestJudgeHallCut checks that a cut of the links to another hall breaks HALL if clients at the cut
// instances were served less than nine tenths as often as the others and more than a few failed there.
func TestJudgeHallCut(t *testing.T) {
	for _, c := range []struct {
		name           string
		served, others int
		broken         bool
	}{
		{name: "all served", served: 200, others: 300},
		{name: "nine tenths", served: 180, others: 300},
		{name: "less than nine tenths", served: 179, others: 300, broken: true},
		{name: "the others fail too", served: 150, others: 240},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newKeyring())
			now := time.Now()
			addAttempts(o, "n1", now.Add(-time.Second), 200, c.served)
			addAttempts(o, "n2", now.Add(-time.Second), 300, c.others)
			o.judgeCut(&linkCut{from: now.Add(-8 * time.Second), until: now, hall: true, instances: map[string]bool{"n1": true}})
			require.Equal(t, c.broken, len(o.violations) > 0, "%v", o.violations)
			require.Equal(t, 1, o.checks["HALL"])
		})
	}
}

// TestJudgeOutage checks that a hall without power breaks POWER if its clients are served less than two
// thirds as often as before, relative to other clients, and that the first four seconds do not count.
func TestJudgeOutage(t *testing.T) {
	for _, c := range []struct {
		name                         string
		early, own, others, ownAtAll int
		disturbed                    bool
		broken, unjudged             bool
	}{
		{name: "all served", own: 200, others: 600, ownAtAll: 200},
		{name: "two thirds", own: 134, others: 600, ownAtAll: 200},
		{name: "less than two thirds", own: 133, others: 600, ownAtAll: 200, broken: true},
		{name: "only the first seconds", early: 200, others: 600, ownAtAll: 200, broken: true},
		{name: "the others get less too", own: 67, others: 300, ownAtAll: 200},
		{name: "the others get more", own: 134, others: 900, ownAtAll: 200},
		{name: "few requests before", others: 600, ownAtAll: 30, unjudged: true},
		{name: "another hall disturbed", others: 600, ownAtAll: 200, disturbed: true, unjudged: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newKeyring())
			now := time.Now()
			lost := &outage{hall: "a1", from: now.Add(-8 * time.Second), until: now, instances: map[string]bool{"n1": true}}
			o.disturbed("n1", now)
			if c.disturbed {
				o.disturbed("n2", now.Add(-time.Second))
			}
			add := func(hall string, at time.Time, n int) {
				for _, a := range addAttempts(o, "n2", at, n, n) {
					a.clientHall = hall
				}
				for _, a := range addAttempts(o, "n2", at, 10, 0) {
					a.clientHall = hall
				}
			}
			add("a1", lost.from.Add(-time.Second), c.ownAtAll)
			add("b1", lost.from.Add(-time.Second), 600)
			add("a1", lost.from.Add(time.Second), c.early)
			add("a1", now.Add(-time.Second), c.own)
			add("b1", now.Add(-time.Second), c.others)
			o.judgeOutage(lost)
			require.Equal(t, c.broken, len(o.violations) > 0, "%v", o.violations)
			require.Equal(t, c.unjudged, o.checks["POWER"] == 0)
		})
	}
}

// TestPowerOff checks that a proxy without power neither answers nor closes connections, open or new,
// although its server has ended, and that connections work after the power is back.
func TestPowerOff(t *testing.T) {
	server, err := origin.Start("i-1", "read", "a1", 3)
	require.NoError(t, err)
	p, err := newProxy(server.Addr())
	require.NoError(t, err)
	defer p.close()
	client := &http.Client{Transport: &http.Transport{}}
	get := func(within time.Duration) error {
		client.Timeout = within
		req, err := http.NewRequest(http.MethodGet, "http://"+p.addr()+"/", nil)
		require.NoError(t, err)
		req.Header.Set("Request-Id", "q")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.Body.Close()
	}
	require.NoError(t, get(time.Second))
	p.powerOff()
	server.Close()
	for range 2 {
		err = get(100 * time.Millisecond)
		require.True(t, os.IsTimeout(err), "%v", err)
	}
	next, err := origin.Start("i-1", "read", "a1", 3)
	require.NoError(t, err)
	defer next.Close()
	p.mu.Lock()
	p.target = next.Addr()
	p.mu.Unlock()
	p.powerOn()
	require.NoError(t, get(time.Second))
}

package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// endingMark is in the path of a request that crashes each server that runs it.
	endingMark = "/ending/"
	// endingEvery is the interval at which the sender repeats such a request. A sender of
	// bursts alternates between sending and pausing, each for endingPause.
	endingEvery = 50 * time.Millisecond
	endingPause = 1500 * time.Millisecond
	// endedFor is the time from the crash of a server until its entry is removed and another
	// server replaces it.
	endedFor = 3 * time.Second
	// surelyKnown is the number of servers that may crash under a request before connected
	// instances must stop sending it. lateSends is the number of later arrivals from connected
	// instances that the check permits, counted from the contact time after that crash.
	surelyKnown = 3
	lateSends   = 3
)

// serverCrashes records the servers that crashed under one request.
type serverCrashes struct {
	at []time.Time
	// late is the number of arrivals that count against lateSends.
	late int
}

func crashesServer(uri string) bool { return strings.Contains(uri, endingMark) }

// sendCrashing repeatedly sends a request that crashes each server that runs it, each time to
// a random instance. The variant selects a read, a non-idempotent operation with one body, or
// a read in bursts.
func (r *runner) sendCrashing(f Fault) {
	s := r.site
	caller := newClient(s, places[f.Which%len(places)], accounts[len(accounts)-1], uint64(f.Which))
	method, uri, body := http.MethodGet, "/read"+endingMark+strconv.Itoa(f.How), []byte(nil)
	if f.How%3 == 1 {
		method, uri, body = http.MethodPost, "/pay"+endingMark+strconv.Itoa(f.How), []byte("the same")
	}
	bursts := f.How%3 == 2
	end := time.Now().Add(f.For)
	rnd := rand.New(rand.NewPCG(uint64(f.How), 5))
	r.wg.Go(func() {
		for time.Now().Before(end) {
			if bursts && time.Now().UnixMilli()/endingPause.Milliseconds()%2 == 1 {
				time.Sleep(endingEvery)
				continue
			}
			in := s.instances[rnd.IntN(len(s.instances))]
			r.wg.Go(func() { caller.attemptCrashing(in, method, uri, body) })
			time.Sleep(endingEvery)
		}
	})
}

// attemptCrashing sends one request that crashes its server.
func (c *client) attemptCrashing(in *instance, method, uri string, body []byte) {
	a := c.site.oracle.begin(in, method, uri, body)
	a.account, a.key, a.hot = c.account.name, c.site.keys.use(c.account.name), true
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(c.noteConn(ctx, a), method, "http://"+in.front.addr()+uri, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Credential", a.key)
	req.Header.Set("Affinity-Key", "0")
	req.Header.Set("Timeout-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		c.site.oracle.finish(a, result{err: err})
		return
	}
	_ = resp.Body.Close()
	c.site.oracle.finish(a, result{status: resp.StatusCode, header: resp.Header})
}

// crashUnder stops a server that ran such a request, and starts another server in its place
// after endedFor.
func (s *site) crashUnder(srv *server) {
	if !s.markGone(srv) {
		return
	}
	srv.proxy.close()
	srv.Close()
	time.AfterFunc(endedFor, func() {
		s.store.Remove("servers", srv.ID)
		_, _ = s.addServer(srv.Service, srv.place, true)
	})
}

// noteCrash records that a server crashed under a request.
func (o *oracle) noteCrash(uri string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endings[uri]
	if e == nil {
		e = &serverCrashes{}
		o.endings[uri] = e
	}
	e.at = append(e.at, time.Now())
}

// judgeCrashing checks that connected instances stop sending a request once surelyKnown
// servers have crashed under it. The caller holds mu.
func (o *oracle) judgeCrashing(a *attempt, v origin.Arrival) {
	e := o.endings[a.uri]
	if e == nil || len(e.at) < surelyKnown {
		return
	}
	o.checks["ENDING"]++
	if v.At.Sub(e.at[surelyKnown-1]) <= contact || !o.connected(a.instance, v.At) {
		return
	}
	e.late++
	if e.late == lateSends+1 {
		o.violated("BUDGET", "%s was sent to servers %d times, %.2f s after the third server had crashed under it; %d crashed in all",
			a.uri, e.late, v.At.Sub(e.at[surelyKnown-1]).Seconds(), len(e.at))
	}
}

// endedInAll returns the number of servers that crashed under each such request.
func (o *oracle) endedInAll() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]int)
	for uri, e := range o.endings {
		out[uri] = len(e.at)
	}
	return out
}

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
	// crashMark is in the path of a request that crashes each server that runs it.
	crashMark = "/ending/"
	// crashInterval is the interval at which the sender repeats such a request. A sender of
	// bursts alternates between sending and pausing, each for burstTime.
	crashInterval = 50 * time.Millisecond
	burstTime     = 1500 * time.Millisecond
	// replaceAfter is the time from the crash of a server until its entry is removed and
	// another server replaces it.
	replaceAfter = 3 * time.Second
	// crashesBeforeStop is the number of servers that may crash under a request before
	// connected instances must stop sending it. maxLateArrivals is the number of later
	// arrivals from connected instances that the check permits, counted from the contact time
	// after that crash.
	crashesBeforeStop = 3
	maxLateArrivals   = 3
)

// serverCrashes records the servers that crashed under one request.
type serverCrashes struct {
	at []time.Time
	// late is the number of arrivals that count against maxLateArrivals.
	late int
}

func crashesServer(uri string) bool { return strings.Contains(uri, crashMark) }

// sendCrashing repeatedly sends a request that crashes each server that runs it, each time to
// a random instance. The variant selects a read, a non-idempotent operation with one body, or
// a read in bursts.
func (r *runner) sendCrashing(f Fault) {
	s := r.site
	caller := newClient(s, places[f.Which%len(places)], accounts[len(accounts)-1], uint64(f.Which))
	method, uri, body := http.MethodGet, "/read"+crashMark+strconv.Itoa(f.How), []byte(nil)
	if f.How%3 == 1 {
		method, uri, body = http.MethodPost, "/pay"+crashMark+strconv.Itoa(f.How), []byte("the same")
	}
	bursts := f.How%3 == 2
	end := time.Now().Add(f.For)
	rnd := rand.New(rand.NewPCG(uint64(f.How), 5))
	r.wg.Go(func() {
		for time.Now().Before(end) {
			if bursts && time.Now().UnixMilli()/burstTime.Milliseconds()%2 == 1 {
				time.Sleep(crashInterval)
				continue
			}
			in := s.instances[rnd.IntN(len(s.instances))]
			r.wg.Go(func() { caller.attemptCrashing(in, method, uri, body) })
			time.Sleep(crashInterval)
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
// after replaceAfter.
func (s *site) crashUnder(srv *server) {
	if !s.markGone(srv) {
		return
	}
	srv.proxy.close()
	srv.Close()
	time.AfterFunc(replaceAfter, func() {
		s.store.Remove("servers", srv.ID)
		_, _ = s.addServer(srv.Service, srv.place, true)
	})
}

// noteCrash records that a server crashed under a request.
func (o *oracle) noteCrash(uri string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.crashes[uri]
	if e == nil {
		e = &serverCrashes{}
		o.crashes[uri] = e
	}
	e.at = append(e.at, time.Now())
}

// judgeCrashing checks that connected instances stop sending a request once crashesBeforeStop
// servers have crashed under it. The caller holds mu.
func (o *oracle) judgeCrashing(a *attempt, v origin.Arrival) {
	e := o.crashes[a.uri]
	if e == nil || len(e.at) < crashesBeforeStop {
		return
	}
	o.checks["ENDING"]++
	if v.At.Sub(e.at[crashesBeforeStop-1]) <= contact || !o.senderConnected(o.senderOf(a, v.At), v.At) {
		return
	}
	e.late++
	if e.late == maxLateArrivals+1 {
		o.violated("BUDGET", "%s was sent to servers %d times, %.2f s after the third server had crashed under it; %d crashed in all",
			a.uri, e.late, v.At.Sub(e.at[crashesBeforeStop-1]).Seconds(), len(e.at))
	}
}

// crashCounts returns the number of servers that crashed under each such request.
func (o *oracle) crashCounts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]int)
	for uri, e := range o.crashes {
		out[uri] = len(e.at)
	}
	return out
}

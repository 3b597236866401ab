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
	// endingMark is in the path of requests that end each server that runs them.
	endingMark = "/ending/"
	// endingEvery is the time between two such requests of their caller, and endingPause
	// that between its bursts, which are as long.
	endingEvery = 50 * time.Millisecond
	endingPause = 1500 * time.Millisecond
	// endedFor is how long a server that has ended is away.
	endedFor = 3 * time.Second
	// surelyKnown is the number of servers that end under a request before instances are
	// held to what they could know, and lateSends how often it may be sent by those that
	// are in touch, later than they could know it.
	surelyKnown = 3
	lateSends   = 3
)

// serverCrashes are the servers that ended under one request.
type serverCrashes struct {
	at []time.Time
	// late are the arrivals that count against lateSends.
	late int
}

func crashesServer(uri string) bool { return strings.Contains(uri, endingMark) }

// sendCrashing sends a request that ends each server that runs it again and again, to any
// instance: a read, an operation with one body, or bursts of a read.
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

// attemptCrashing sends one of these requests.
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

// crashUnder ends a server that has run such a request, and has another one take its place.
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

// noteCrash notes the end of a server under a request.
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

// judgeCrashing checks that a request under which several servers have ended is no longer sent
// by instances that could know it. The caller holds mu.
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
		o.violated("BUDGET", "%s was sent to servers %d times, %.2f s after the third had ended under it; %d ended in all",
			a.uri, e.late, v.At.Sub(e.at[surelyKnown-1]).Seconds(), len(e.at))
	}
}

// endedInAll returns how many servers ended under each such request.
func (o *oracle) endedInAll() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]int)
	for uri, e := range o.endings {
		out[uri] = len(e.at)
	}
	return out
}

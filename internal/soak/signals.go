package soak

import (
	"net/http"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// propagationTime is the time within which all connected instances must learn that a
	// server is leaving, counted from when one of them passed the header on.
	propagationTime = time.Second
	// backoffGrace allows for the requests in flight when a server asks an instance to back
	// off. maxDuringBackoff is the number of requests that may arrive later during the
	// back-off.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// leavingHeader is the header by which a server announces that it is leaving.
const leavingHeader = "Server-Leaving"

// retryAfters are the values of Retry-After that servers send when they reject requests.
var retryAfters = []time.Duration{time.Second, 2 * time.Second, 1500 * time.Millisecond, 3 * time.Second}

// malformedHeaders are header lines whose signals are malformed or not permitted.
var malformedHeaders = []string{
	"Server-Leaving: soon\r\n",
	"Server-Leaving: \r\n",
	"Server-Leaving: 0\r\n",
	"Retry-After: 60\r\n",
	"Retry-After: -3\r\nServer-Leaving: true\r\n",
	"Retry-After: Fri, 31 Dec 2999 23:59:59 GMT\r\n",
}

// serverSignals holds the signals that servers have sent to instances in headers.
type serverSignals struct {
	// passedOn holds, by server and instance, when the instance first passed on an answer in
	// which the server announced that it is leaving.
	passedOn map[string]map[string]notice
	// backoffs holds the back-offs that servers have requested, by server and instance.
	backoffs map[string]map[string][]*backoffRequest
	// limits holds the servers that have announced a rate limit, by server.
	limits map[string]*limited
}

// notice is a signal that one process of an instance received or passed on.
type notice struct {
	at  time.Time
	run int
	// connected reports whether the instance was connected at the time.
	connected bool
}

// backoffRequest is a back-off requested from an instance, with the requests that arrived
// during it.
type backoffRequest struct {
	notice
	until    time.Time
	arrivals int
}

func newWords() serverSignals {
	return serverSignals{passedOn: make(map[string]map[string]notice), backoffs: make(map[string]map[string][]*backoffRequest), limits: make(map[string]*limited)}
}

// forget removes the signals of a server, because a new incarnation uses its ID.
func (w *serverSignals) forget(server string) {
	delete(w.passedOn, server)
	delete(w.backoffs, server)
	delete(w.limits, server)
}

// announceLeaving has a server leave by its header alone, while its entry still states that it
// is ready. In half of the variants the store does not answer meanwhile. The server continues
// to serve until it stops.
func (r *runner) announceLeaving(srv *server, f Fault) {
	s := r.site
	if !s.markGone(srv) {
		return
	}
	_, _ = s.addServer(srv.Service, srv.place, true)
	srv.SetExtraHeaders(func(*http.Request) string { return leavingHeader + ": 1\r\n" })
	if f.How%2 == 0 {
		r.storeFault(Fault{Kind: StoreDown, How: 1, For: f.For}, time.Now().Add(f.For))
	}
	if f.How%3 == 0 {
		// The entry changes, but still states that the server is ready.
		r.later(f.For/2, func() { s.record(srv, objects.Ready) })
	}
	r.later(drainTimeout+2*time.Second, func() {
		s.store.Remove(objects.KindServers, srv.ID)
		srv.Close()
	})
}

// requestBackoff has servers reject all requests for the time of the fault with a Retry-After
// header: one server, the servers of its service in its hall, or all servers of its service.
func (r *runner) requestBackoff(srv *server, f Fault) {
	delay := retryAfters[f.How%len(retryAfters)]
	until := time.Now().Add(f.For)
	for _, other := range r.site.present() {
		sameHall := other.Zone == srv.Zone
		sameService := other.Service == srv.Service
		switch f.How / len(retryAfters) % 3 {
		case 0:
			if other != srv {
				continue
			}
		case 1:
			if !sameHall || !sameService {
				continue
			}
		default:
			if !sameService {
				continue
			}
		}
		other.SetRetryAfter(until, delay)
	}
}

// sendMalformedHeaders has a server add invalid signals to its answers.
func (r *runner) sendMalformedHeaders(srv *server, f Fault) {
	if !r.site.isPresent(srv) {
		return
	}
	lines := malformedHeaders[f.How%len(malformedHeaders)]
	srv.SetExtraHeaders(func(*http.Request) string { return lines })
	r.later(f.For, func() {
		if r.site.isPresent(srv) {
			srv.SetExtraHeaders(nil)
		}
	})
}

// present returns the servers that have not left or crashed.
func (s *site) present() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*server
	for _, srv := range s.servers {
		if !srv.gone {
			out = append(out, srv)
		}
	}
	return out
}

func (s *site) isPresent(srv *server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !srv.gone
}

// noteLeaving records that an instance has passed on an answer in which its server announces
// that it is leaving. The caller holds mu.
func (o *oracle) noteLeaving(a *attempt, r result) {
	server, signed := strings.CutPrefix(r.header.Get("Server-Signature"), "sig.")
	if r.err != nil || !signed || r.header.Get(leavingHeader) != "1" || a.run != o.runs[a.instance] {
		return
	}
	by := o.signals.passedOn[server]
	if by == nil {
		by = make(map[string]notice)
		o.signals.passedOn[server] = by
	}
	first, known := by[a.instance]
	if !known || first.run != a.run {
		by[a.instance] = notice{at: a.doneAt, run: a.run, connected: o.connected(a.instance, a.doneAt)}
	}
}

// judgeSignals checks an arrival by the signals of its server, and records the back-off that
// the server requests with it. The caller holds mu.
func (o *oracle) judgeSignals(a *attempt, v origin.Arrival) {
	if o.senderOf(a, v.At) == "" {
		return
	}
	o.judgeDeparture(a, v)
	o.judgeLimit(a, v)
	o.judgeBackoffs(a, v)
	if v.RetryAfter == 0 {
		return
	}
	by := o.signals.backoffs[v.Server.ID]
	if by == nil {
		by = make(map[string][]*backoffRequest)
		o.signals.backoffs[v.Server.ID] = by
	}
	by[a.instance] = append(by[a.instance], &backoffRequest{notice: notice{at: v.At, run: a.run}, until: v.At.Add(v.RetryAfter)})
}

// judgeDeparture checks which requests reach a server that has announced that it is leaving.
// An instance that has passed the announcement on, connected or not, may have sent them at
// most drainTimeout later, and any other connected instance at most propagationTime later. The
// caller holds mu.
func (o *oracle) judgeDeparture(a *attempt, v origin.Arrival) {
	for instance, seen := range o.signals.passedOn[v.Server.ID] {
		self := instance == a.instance && seen.run == a.run && !o.pausedUntil[instance].After(seen.at)
		other := seen.connected && o.undisturbedSince[instance].Before(seen.at) && o.connected(a.instance, v.At)
		switch {
		case self:
			o.checks["WORD"]++
			if a.at.Sub(seen.at) > drainTimeout {
				o.violated("DRAIN", "%s from %s reached %s, sent %.2f s after %s had passed on that it is leaving", a.id, a.instance, v.Server.ID, a.at.Sub(seen.at).Seconds(), instance)
			}
		case instance != a.instance && other:
			o.checks["NEWS"]++
			if a.at.Sub(seen.at) > propagationTime {
				o.violated("NEWS", "%s from %s reached %s, sent %.2f s after %s had passed on that it is leaving", a.id, a.instance, v.Server.ID, a.at.Sub(seen.at).Seconds(), instance)
			}
		}
	}
}

// judgeBackoffs checks that an instance honors the back-off that a server requested from it.
// The caller holds mu.
func (o *oracle) judgeBackoffs(a *attempt, v origin.Arrival) {
	for _, backoff := range o.signals.backoffs[v.Server.ID][a.instance] {
		since := v.At.Sub(backoff.at)
		if since <= backoffGrace || !v.At.Before(backoff.until) || backoff.run != a.run || !o.undisturbedSince[a.instance].Before(backoff.at) {
			continue
		}
		o.checks["REST"]++
		backoff.arrivals++
		if backoff.arrivals == maxDuringBackoff+1 {
			o.violated("BUDGET", "%s got %d requests from %s within a back-off of %.1f s, %s arrived %.2f s after the back-off was requested", v.Server.ID, backoff.arrivals, a.instance,
				backoff.until.Sub(backoff.at).Seconds(), a.id, since.Seconds())
		}
	}
}

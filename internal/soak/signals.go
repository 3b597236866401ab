package soak

import (
	"net/http"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// propagationTime is within how long all instances in touch are to know what a server has told
	// one of them.
	propagationTime = time.Second
	// backoffGrace is for requests that are on their way when a server asks for rest, and
	// mostInRest the number of those that may come later.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// leavingHeader is by which a server says that it leaves.
const leavingHeader = "Server-Leaving"

// retryAfters are what servers that turn requests away ask for.
var retryAfters = []time.Duration{time.Second, 2 * time.Second, 1500 * time.Millisecond, 3 * time.Second}

// malformedHeaders are header lines that say nothing that a server may say.
var malformedHeaders = []string{
	"Server-Leaving: soon\r\n",
	"Server-Leaving: \r\n",
	"Server-Leaving: 0\r\n",
	"Retry-After: 60\r\n",
	"Retry-After: -3\r\nServer-Leaving: true\r\n",
	"Retry-After: Fri, 31 Dec 2999 23:59:59 GMT\r\n",
}

// serverSignals are what servers have said of themselves to instances.
type serverSignals struct {
	// passedOn is when an instance passed on the first answer of a server that says that it
	// leaves, by server and instance, with the run of the instance.
	passedOn map[string]map[string]notice
	// backoffs are those that servers have asked instances for, by server and instance.
	backoffs map[string]map[string][]*backoffRequest
	// limits are of the servers that have named one.
	limits map[string]*limited
}

// notice is a word to one run of an instance.
type notice struct {
	at  time.Time
	run int
	// connected says that the instance was in touch at the time.
	connected bool
}

// backoffRequest is a rest that was asked of an instance, with the requests that came all the same.
type backoffRequest struct {
	notice
	until    time.Time
	arrivals int
}

func newWords() serverSignals {
	return serverSignals{passedOn: make(map[string]map[string]notice), backoffs: make(map[string]map[string][]*backoffRequest), limits: make(map[string]*limited)}
}

// forget forgets what a server has said: another one has its ID.
func (w *serverSignals) forget(server string) {
	delete(w.passedOn, server)
	delete(w.backoffs, server)
	delete(w.limits, server)
}

// announceLeaving has a server leave by its own word alone, its entry saying that it serves, beside a
// store that is silent or not. It serves on, and ends.
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
		// Its entry changes, and says again that it serves.
		r.later(f.For/2, func() { s.record(srv, objects.Ready) })
	}
	r.later(drainTimeout+2*time.Second, func() {
		s.store.Remove(objects.KindServers, srv.ID)
		srv.Close()
	})
}

// requestBackoff has one server, those of a hall, or all of a service turn away everything for a
// while, and ask for rest.
func (r *runner) requestBackoff(srv *server, f Fault) {
	asks := retryAfters[f.How%len(retryAfters)]
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
		other.SetRetryAfter(until, asks)
	}
}

// sendMalformedHeaders has a server say things of itself that it may not, or that mean nothing.
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

// present returns the servers that are present.
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

// noteLeaving notes that an instance has passed on an answer in which its server says that it
// leaves. The caller holds mu.
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

// judgeSignals checks an arrival by what its server has said of itself. The caller holds mu.
func (o *oracle) judgeSignals(a *attempt, v origin.Arrival) {
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

// judgeDeparture checks that a server that has said that it leaves gets nothing from who has
// passed that on, in touch or not, and nothing from others in touch once they can know it.
func (o *oracle) judgeDeparture(a *attempt, v origin.Arrival) {
	for instance, word := range o.signals.passedOn[v.Server.ID] {
		own := instance == a.instance && word.run == a.run && !o.frozenAt[instance].After(word.at)
		both := word.connected && o.quietSince[instance].Before(word.at) && o.connected(a.instance, v.At)
		switch {
		case own:
			o.checks["WORD"]++
			if a.at.Sub(word.at) > drainTimeout {
				o.violated("DRAIN", "%s from %s reached %s, sent %.2f s after %s had passed on that it leaves", a.id, a.instance, v.Server.ID, a.at.Sub(word.at).Seconds(), instance)
			}
		case instance != a.instance && both:
			o.checks["NEWS"]++
			if a.at.Sub(word.at) > propagationTime {
				o.violated("NEWS", "%s from %s reached %s, sent %.2f s after %s had passed on that it leaves", a.id, a.instance, v.Server.ID, a.at.Sub(word.at).Seconds(), instance)
			}
		}
	}
}

// judgeBackoffs checks that a server that has asked an instance for rest gets it.
func (o *oracle) judgeBackoffs(a *attempt, v origin.Arrival) {
	for _, rest := range o.signals.backoffs[v.Server.ID][a.instance] {
		since := v.At.Sub(rest.at)
		if since <= backoffGrace || !v.At.Before(rest.until) || rest.run != a.run || !o.quietSince[a.instance].Before(rest.at) {
			continue
		}
		o.checks["REST"]++
		rest.arrivals++
		if rest.arrivals == maxDuringBackoff+1 {
			o.violated("BUDGET", "%s got %d requests from %s within a rest of %.1f s, %s %.2f s after it asked for it", v.Server.ID, rest.arrivals, a.instance,
				rest.until.Sub(rest.at).Seconds(), a.id, since.Seconds())
		}
	}
}

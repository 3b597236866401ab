package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// limitHeader is the header in which a server announces the number of requests per second
	// that it accepts.
	limitHeader = "Server-Limit"
	// limitSpan is the window in which requests are counted. The first window begins once the
	// contact time has passed since the server announced its limit. limitGrace allows for the
	// requests that an instance has in flight when it learns of the limit.
	limitSpan  = 4 * time.Second
	limitGrace = 500 * time.Millisecond
	// announcedFactor and announcedSlack bound the requests in a window: announcedFactor times
	// the limit, plus announcedSlack.
	announcedFactor = 1.5
	announcedSlack  = 5
	// minLimitTime is the shortest time for which a server announces a limit.
	minLimitTime = 9 * time.Second
	// lowerLimitTime is the time within which instances must comply with a lowered limit.
	lowerLimitTime = 2 * time.Second
)

// limitScripts are sequences of limits, in requests per second. Most are below the roughly two
// requests per second that a server receives otherwise. A server announces each value for an
// equal part of the time or, if the sequence has at least manyValues values, another value
// with each answer.
var limitScripts = [][]float64{{0.5}, {0.1}, {0.25}, {1}, {4, 0.2}, {0.5, 0.45, 0.55, 0.5, 0.48, 0.52, 0.5, 0.47}, {0.2, 4}}

// manyValues is the length of a sequence from which each answer announces another value.
const manyValues = 8

// limited records a server that announces a limit, and the arrivals from instances that have
// passed the limit on.
type limited struct {
	mu      sync.Mutex
	from    time.Time
	until   time.Time
	script  []float64
	answers int
	// announcedAt is when the server last announced the limit. The server's extra headers may
	// have been replaced since.
	announcedAt time.Time

	// toldBy holds, for each instance, when it first passed on an answer with the limit.
	toldBy   map[string]notice
	arrivals []time.Time
	// reported is set once a violation is recorded, so that each server's violation is
	// recorded only once.
	reported bool
}

// now returns the limit to announce at a time, and false if the server announces none.
func (l *limited) now(at time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Before(l.from) || !at.Before(l.until) {
		return 0, false
	}
	l.answers++
	l.announcedAt = at
	if len(l.script) >= manyValues {
		return l.script[l.answers%len(l.script)], true
	}
	part := float64(at.Sub(l.from)) / float64(l.until.Sub(l.from))
	return l.script[int(part*float64(len(l.script)))], true
}

// active reports whether the server announced its limit within the second before at.
func (l *limited) active(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return at.Sub(l.announcedAt) < time.Second
}

// highest returns the highest limit that applies to the window that ends at the given time. A
// value counts unless its time ended more than lowerLimitTime before the window begins. Values
// not yet announced count too.
func (l *limited) highest(at time.Time) float64 {
	highest := 0.0
	for i, value := range l.script {
		ends := l.until
		if len(l.script) < manyValues {
			ends = l.from.Add(l.until.Sub(l.from) * time.Duration(i+1) / time.Duration(len(l.script)))
		}
		if ends.Add(lowerLimitTime).After(at.Add(-limitSpan)) {
			highest = max(highest, value)
		}
	}
	return highest
}

// announceLimits has servers announce limits for the time of the fault: one server, the
// servers of its service in its hall, or all servers of its service.
func (r *runner) announceLimits(srv *server, f Fault) {
	script := limitScripts[f.How%len(limitScripts)]
	from := time.Now()
	for _, other := range r.site.present() {
		same := other == srv
		switch f.How / len(limitScripts) % 4 {
		case 2:
			same = other.Zone == srv.Zone && other.Service == srv.Service
		case 3:
			same = other.Service == srv.Service
		}
		if same {
			r.announceLimit(other, &limited{from: from, until: from.Add(f.For), script: script, toldBy: make(map[string]notice)})
		}
	}
}

func (r *runner) announceLimit(srv *server, l *limited) {
	o := r.site.oracle
	o.mu.Lock()
	o.signals.limits[srv.ID] = l
	o.mu.Unlock()
	srv.SetExtraHeaders(func(*http.Request) string {
		value, ok := l.now(time.Now())
		if !ok {
			return ""
		}
		return fmt.Sprintf("%s: %g\r\n", limitHeader, value)
	})
}

// noteLimit records that an instance has passed on an answer with the limit of its server. The
// caller holds mu.
func (o *oracle) noteLimit(a *attempt, r result) {
	server, signed := strings.CutPrefix(r.header.Get("Server-Signature"), "sig.")
	l := o.signals.limits[server]
	if r.err != nil || !signed || l == nil || r.header.Get(limitHeader) == "" || a.run != o.runs[a.instance] {
		return
	}
	first, known := l.toldBy[a.instance]
	if !known || first.run != a.run {
		l.toldBy[a.instance] = notice{at: a.doneAt, run: a.run}
	}
}

// judgeLimit checks that the requests from all instances that know a server's limit stay
// within it together. Requests of an instance that was restarted, paused or disturbed since it
// learned of the limit do not count. The caller holds mu.
func (o *oracle) judgeLimit(a *attempt, v origin.Arrival) {
	l := o.signals.limits[v.Server.ID]
	if l == nil || !v.At.Before(l.until) || !l.active(v.At) {
		return
	}
	seen, known := l.toldBy[a.instance]
	if !known || seen.run != a.run || v.At.Sub(seen.at) <= limitGrace || !o.undisturbedSince[a.instance].Before(seen.at) {
		return
	}
	for len(l.arrivals) > 0 && v.At.Sub(l.arrivals[0]) >= limitSpan {
		l.arrivals = l.arrivals[1:]
	}
	l.arrivals = append(l.arrivals, v.At)
	if v.At.Sub(l.from) < contact+limitSpan {
		// The window must begin after the contact time.
		return
	}
	o.checks["NAMED LIMIT"]++
	allowed := announcedFactor*limitSpan.Seconds()*l.highest(v.At) + announcedSlack
	if float64(len(l.arrivals)) > allowed && !l.reported {
		l.reported = true
		o.violated("NAMED LIMIT", "%s got %d requests in %v from instances that knew its limit, %.0f allowed, %.1f s after it announced the limit", v.Server.ID, len(l.arrivals), limitSpan, allowed, v.At.Sub(l.from).Seconds())
	}
}

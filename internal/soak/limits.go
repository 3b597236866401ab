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
	// limitHeader is by which a server names how many requests a second it takes.
	limitHeader = "Server-Limit"
	// limitSpan is the span in which requests are counted, from contact after a server first
	// named its limit on, and limitGrace is for what an instance has on its way when it is told.
	limitSpan  = 4 * time.Second
	limitGrace = 500 * time.Millisecond
	// namedOver and namedSlack are how much more than the limit may come in a window.
	namedOver  = 1.5
	namedSlack = 5
	// limitLasts is the least time for which a server names a limit.
	limitLasts = 9 * time.Second
	// lowerWithin is within how long a lower limit is to be kept.
	lowerWithin = 2 * time.Second
)

// limitScripts are what servers name one after the other, less than the two or so a second that they
// get otherwise: each value for a part of the time, or,
// where there are many, one with each answer.
var limitScripts = [][]float64{{0.5}, {0.1}, {0.25}, {1}, {4, 0.2}, {0.5, 0.45, 0.55, 0.5, 0.48, 0.52, 0.5, 0.47}, {0.2, 4}}

// manyValues is the number of values of a script from which on each answer names another one.
const manyValues = 8

// limited is a server that names a limit, with what came from instances that it had told.
type limited struct {
	mu      sync.Mutex
	from    time.Time
	until   time.Time
	script  []float64
	answers int
	// namedAt is when the server last named it: another word may have taken its place.
	namedAt time.Time

	// told is when an instance first passed on the limit.
	told map[string]said
	came []time.Time
	// broke says that the rule was broken: it is told once.
	broke bool
}

// now returns what the server names at a time, false if nothing.
func (l *limited) now(at time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Before(l.from) || !at.Before(l.until) {
		return 0, false
	}
	l.answers++
	l.namedAt = at
	if len(l.script) >= manyValues {
		return l.script[l.answers%len(l.script)], true
	}
	part := float64(at.Sub(l.from)) / float64(l.until.Sub(l.from))
	return l.script[int(part*float64(len(l.script)))], true
}

// goesOn tells whether the server still names a limit at a time at which a request arrives.
func (l *limited) goesOn(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return at.Sub(l.namedAt) < time.Second
}

// highest returns the highest limit that the server named in a window that ends at a time.
func (l *limited) highest(at time.Time) float64 {
	highest := 0.0
	for i, value := range l.script {
		ends := l.until
		if len(l.script) < manyValues {
			ends = l.from.Add(l.until.Sub(l.from) * time.Duration(i+1) / time.Duration(len(l.script)))
		}
		if ends.Add(lowerWithin).After(at.Add(-limitSpan)) {
			highest = max(highest, value)
		}
	}
	return highest
}

// nameLimits has one server, those of a hall, or all of a service name limits for a while.
func (r *runner) nameLimits(srv *server, f Fault) {
	script := limitScripts[f.How%len(limitScripts)]
	from := time.Now()
	for _, other := range r.site.there() {
		same := other == srv
		switch f.How / len(limitScripts) % 4 {
		case 2:
			same = other.Zone == srv.Zone && other.Service == srv.Service
		case 3:
			same = other.Service == srv.Service
		}
		if same {
			r.nameLimit(other, &limited{from: from, until: from.Add(f.For), script: script, told: make(map[string]said)})
		}
	}
}

func (r *runner) nameLimit(srv *server, l *limited) {
	o := r.site.oracle
	o.mu.Lock()
	o.words.limits[srv.ID] = l
	o.mu.Unlock()
	srv.SetExtraHeaders(func(*http.Request) string {
		value, ok := l.now(time.Now())
		if !ok {
			return ""
		}
		return fmt.Sprintf("%s: %g\r\n", limitHeader, value)
	})
}

// hearLimit notes that an instance has passed on an answer in which its server names a limit. The
// caller holds mu.
func (o *oracle) hearLimit(a *attempt, r result) {
	server, signed := strings.CutPrefix(r.header.Get("Server-Signature"), "sig.")
	l := o.words.limits[server]
	if r.err != nil || !signed || l == nil || r.header.Get(limitHeader) == "" || a.run != o.runs[a.instance] {
		return
	}
	first, known := l.told[a.instance]
	if !known || first.run != a.run {
		l.told[a.instance] = said{at: a.doneAt, run: a.run}
	}
}

// judgeLimit checks that what the instances send together that a server has told its limit stays
// within it. A restart, freeze or cut of an instance since excuses that instance. The caller holds
// mu.
func (o *oracle) judgeLimit(a *attempt, v origin.Arrival) {
	l := o.words.limits[v.Server.ID]
	if l == nil || !v.At.Before(l.until) || !l.goesOn(v.At) {
		return
	}
	word, told := l.told[a.instance]
	if !told || word.run != a.run || v.At.Sub(word.at) <= limitGrace || !o.quietSince[a.instance].Before(word.at) {
		return
	}
	for len(l.came) > 0 && v.At.Sub(l.came[0]) >= limitSpan {
		l.came = l.came[1:]
	}
	l.came = append(l.came, v.At)
	if v.At.Sub(l.from) < contact+limitSpan {
		// The window has to begin after contact.
		return
	}
	o.checks["NAMED LIMIT"]++
	allowed := namedOver*limitSpan.Seconds()*l.highest(v.At) + namedSlack
	if float64(len(l.came)) > allowed && !l.broke {
		l.broke = true
		o.broken("NAMED LIMIT", "%s got %d requests in %v from instances that it had told, %.0f allowed, %.1f s after it named its limit", v.Server.ID, len(l.came), limitSpan, allowed, v.At.Sub(l.from).Seconds())
	}
}

package soak

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/standin/origin"
)

// Violation is one failed check.
type Violation struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// oracle checks the run by what clients and servers observe.
type oracle struct {
	keys       *keyring
	mu         sync.Mutex
	start      time.Time
	nextID     int
	attempts   map[string]*attempt
	violations []Violation
	checks     map[string]int

	// undisturbedSince holds, for each instance, when its last disturbance ended or will end.
	undisturbedSince map[string]time.Time
	stopping         map[string]time.Time
	runs             map[string]int
	versionAt        map[int]time.Time
	newest           int
	// seen holds the highest configuration version seen in force at the current process of
	// each instance.
	seen      map[string]int
	draining  map[string]time.Time
	evacuated map[string]time.Time
	coldSends map[string][]time.Time
	servers   map[string]*server
	// silencedAt holds when the client connections of each instance were last silenced.
	silencedAt map[string]time.Time
	// crashes holds the crashes under each request, by the request's URI.
	crashes map[string]*serverCrashes
	signals serverSignals
	// versions are the rollouts of the run.
	versions []*versionCheck
	// restoredAt is when the store was last restored from a copy.
	restoredAt time.Time
	// pausedUntil holds when the last pause of each instance ended or will end.
	pausedUntil map[string]time.Time
	// linkCuts are the cuts of links to servers.
	linkCuts []*linkCut
	// cutResults tell, for each cut of all links, how many first attempts were served.
	cutResults []string
}

func newOracle(keys *keyring) *oracle {
	return &oracle{
		keys: keys, start: time.Now(), attempts: make(map[string]*attempt), checks: make(map[string]int),
		undisturbedSince: make(map[string]time.Time), stopping: make(map[string]time.Time), runs: make(map[string]int),
		versionAt: make(map[int]time.Time), seen: make(map[string]int), draining: make(map[string]time.Time),
		evacuated: make(map[string]time.Time), coldSends: make(map[string][]time.Time), servers: make(map[string]*server), crashes: make(map[string]*serverCrashes), silencedAt: make(map[string]time.Time),
		signals: newWords(), pausedUntil: make(map[string]time.Time),
	}
}

// violated records a violation of a rule. The caller holds mu.
func (o *oracle) violated(rule, format string, args ...any) {
	o.violations = append(o.violations, Violation{Rule: rule, At: time.Since(o.start), Detail: fmt.Sprintf(format, args...)})
}

// disturbed records that an instance is disturbed until the given time.
func (o *oracle) disturbed(name string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until.After(o.undisturbedSince[name]) {
		o.undisturbedSince[name] = until
	}
}

// paused records that an instance is paused until the given time.
func (o *oracle) paused(name string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until.After(o.pausedUntil[name]) {
		o.pausedUntil[name] = until
	}
}

// killed records that an instance is killed. A planned stop in progress no longer counts as
// one.
func (o *oracle) killed(name string, until time.Time) {
	o.disturbed(name, until)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.stopping, name)
}

func (o *oracle) configured(version int, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versionAt[version], o.newest = at, version
}

// requiredVersion returns the newest configuration version that must be in force at every
// connected instance.
func (o *oracle) requiredVersion(now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for v := o.newest; v > 1; v-- {
		if now.Sub(o.versionAt[v]) >= configApply {
			return v
		}
	}
	return 1
}

func (o *oracle) watchServer(s *server) {
	o.mu.Lock()
	o.servers[s.ID] = s
	o.signals.forget(s.ID)
	o.mu.Unlock()
	s.SetObserver(o.arrived)
}

// connected reports whether an instance has been undisturbed for at least the contact time.
// The caller holds mu.
func (o *oracle) connected(name string, at time.Time) bool {
	return at.Sub(o.undisturbedSince[name]) >= contact
}

// begin records an attempt before it is sent.
func (o *oracle) begin(in *instance, method, uri string, body []byte) *attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	a := &attempt{id: fmt.Sprintf("q%06d", o.nextID), method: method, uri: uri, digest: sha256.Sum256(body), at: time.Now()}
	if in != nil {
		a.instance = in.name
		a.run = o.runs[in.name]
		a.connected = o.connected(in.name, a.at)
	}
	o.attempts[a.id] = a
	return a
}

// silenced records that the open client connections of an instance no longer carry data.
func (o *oracle) silenced(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silencedAt[name] = time.Now()
}

// noteConnection records when the connection of an attempt was opened.
func (o *oracle) noteConnection(a *attempt, opened time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.connAt = opened
}

// canCarry reports whether the connection of an attempt can have carried it. A client that
// reuses an idle connection does not notice at once that the connection was silenced. The
// caller holds mu.
func (o *oracle) canCarry(a *attempt) bool {
	return a.connAt.IsZero() || a.connAt.After(o.silencedAt[a.instance])
}

func (o *oracle) left(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.leftAt = time.Now()
}

// arrived checks a request that reaches a server.
func (o *oracle) arrived(v origin.Arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks["UNASKED"]++
	a := o.attempts[v.ID]
	if a == nil {
		o.violated("UNASKED", "server %s got a request with the unknown id %q", v.Server.ID, v.ID)
		return
	}
	if v.Executed && (v.Method != a.method || v.URI != a.uri || sha256.Sum256(v.Body) != a.digest) {
		o.violated("UNASKED", "%s was changed in transit: %s %s, %d bytes", a.id, v.Method, v.URI, len(v.Body))
	}
	a.arrivals = append(a.arrivals, arrival{server: v.Server.ID, hall: v.Server.Zone, at: v.At, ran: v.Executed})
	o.judgeRouting(a, v)
	o.judgeAccount(a, v)
	o.judgeTimes(a, v)
	o.judgeSlowStart(v)
	o.judgeCrashing(a, v)
	o.judgeSignals(a, v)
	o.judgeExposure(a, v)
}

// judgeRouting checks the service, the home region and at-most-once execution. The caller
// holds mu.
func (o *oracle) judgeRouting(a *attempt, v origin.Arrival) {
	o.checks["ROUTE"]++
	if v.Server.Service != a.service() {
		o.violated("ROUTE", "%s %s was run by service %s", a.id, a.uri, v.Server.Service)
	}
	if strings.HasPrefix(a.uri, "/home/") && !strings.HasPrefix(v.Server.Zone, "a") {
		o.violated("HOME", "%s arrived in hall %s", a.id, v.Server.Zone)
	}
	ran := 0
	servers := make(map[string]bool)
	for _, arrival := range a.arrivals {
		if arrival.ran {
			ran++
			servers[arrival.server] = true
		}
	}
	o.checks["TWICE"]++
	if !a.retryable() && ran > 1 {
		o.violated("TWICE", "%s %s ran %d times", a.id, a.uri, ran)
	}
	if len(servers) > 2 {
		o.violated("BUDGET", "%s ran at %d servers", a.id, len(servers))
	}
	if v.Executed && isRejection(a.result.status) && !a.retryable() {
		o.violated("REFUSED", "%s was answered %d and then ran", a.id, a.result.status)
	}
}

// judgeTimes checks the time bounds for draining servers, evacuated halls and requests that
// their client canceled. The caller holds mu.
func (o *oracle) judgeTimes(a *attempt, v origin.Arrival) {
	touched := o.senderConnected(o.senderOf(a, v.At), v.At)
	if at, ok := o.draining[v.Server.ID]; ok && touched {
		o.checks["DRAIN"]++
		if v.At.Sub(at) > drainTimeout {
			o.violated("DRAIN", "%s from %s reached %s %.2f s after it began to drain", a.id, a.instance, v.Server.ID, v.At.Sub(at).Seconds())
		}
	}
	if at, ok := o.evacuated[v.Server.Zone]; ok && touched {
		o.checks["EVAC"]++
		if v.At.Sub(at) > evacuateTime {
			o.violated("EVAC", "%s from %s reached hall %s %.2f s after its evacuation", a.id, a.instance, v.Server.Zone, v.At.Sub(at).Seconds())
		}
	}
	if !a.leftAt.IsZero() && touched {
		o.checks["GONE"]++
		if v.At.Sub(a.leftAt) > 500*time.Millisecond {
			o.violated("GONE", "%s reached %s %.2f s after its client had left", a.id, v.Server.ID, v.At.Sub(a.leftAt).Seconds())
		}
	}
}

// judgeSlowStart checks the number of requests that a server in slow start receives within any
// second. The caller holds mu.
func (o *oracle) judgeSlowStart(v origin.Arrival) {
	s := o.servers[v.Server.ID]
	if s == nil || s.coldUntil.IsZero() || v.At.After(s.coldUntil) {
		return
	}
	o.checks["FAILBACK"]++
	sends := o.coldSends[s.ID]
	for len(sends) > 0 && v.At.Sub(sends[0]) >= time.Second {
		sends = sends[1:]
	}
	sends = append(sends, v.At)
	o.coldSends[s.ID] = sends
	if len(sends) > warmupRate*3/2+5 {
		o.violated("FAILBACK", "cold server %s got %d requests in a second", s.ID, len(sends))
	}
}

func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// finish checks the result of an attempt that its client received.
func (o *oracle) finish(a *attempt, r result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.doneAt, a.result = time.Now(), r
	ran := 0
	for _, arrival := range a.arrivals {
		if arrival.ran {
			ran++
		}
	}
	o.judgeAnswer(a, r, ran)
	o.noteLeaving(a, r)
	o.noteLimit(a, r)
	o.judgeConfig(a, r)
	o.judgeCompletion(a, r, ran)
}

// judgeAnswer checks that an answer belongs to its request and agrees with what servers
// executed. The caller holds mu.
func (o *oracle) judgeAnswer(a *attempt, r result, ran int) {
	if r.err != nil {
		return
	}
	o.checks["MIXED"]++
	switch {
	case r.status == http.StatusOK && r.header.Get("Server-Signature") == "":
		o.violated("MIXED", "%s got a success without a signature", a.id)
	case r.status == http.StatusOK && !strings.HasSuffix(r.body, " to "+a.id):
		o.violated("MIXED", "%s got the body %.40q", a.id, r.body)
	case isRejection(r.status) && ran > 0 && !a.retryable():
		o.violated("REFUSED", "%s was answered %d and had run", a.id, r.status)
	case o.mayBeUnauthorized(a, r.status):
	case r.status/100 == 4 && !isRejection(r.status) && a.probe == 0 && r.header.Get("Server-Signature") == "":
		o.violated("DENIED", "%s %s got %d from %s", a.id, a.uri, r.status, a.instance)
	}
}

// judgeConfig checks that an instance applies each configuration version in time and does not
// revert to an earlier one. The caller holds mu.
func (o *oracle) judgeConfig(a *attempt, r result) {
	if a.probe == 0 || r.err != nil || a.run != o.runs[a.instance] {
		return
	}
	o.checks["CONFIG"]++
	if r.status != http.StatusNotFound {
		if r.status != http.StatusServiceUnavailable && a.probe > o.seen[a.instance] {
			o.seen[a.instance] = a.probe
		}
		return
	}
	if a.connected {
		o.violated("CONFIG", "%s does not have version %d, %.2f s after it was written", a.instance, a.probe, a.at.Sub(o.versionAt[a.probe]).Seconds())
	}
	if a.probe <= o.seen[a.instance] && a.probe > o.newest-20 {
		o.violated("CONFIG", "%s reverted to a version before %d", a.instance, a.probe)
	}
}

// judgeCompletion checks the time-out of a request, and that a planned stop cuts no request.
// The caller holds mu.
func (o *oracle) judgeCompletion(a *attempt, r result, ran int) {
	took := a.doneAt.Sub(a.at)
	if a.connected && o.connected(a.instance, a.doneAt) && a.leftAt.IsZero() && o.canCarry(a) {
		o.checks["TIMEOUT"]++
		if took > routeTimeout+500*time.Millisecond {
			o.violated("TIMEOUT", "%s %s took %.2f s at %s", a.id, a.uri, took.Seconds(), a.instance)
		}
	}
	at, stopping := o.stopping[a.instance]
	if !stopping || a.run != o.runs[a.instance] || !a.leftAt.IsZero() || r.err == nil || ran == 0 {
		return
	}
	o.checks["LOST"]++
	if at.Sub(o.undisturbedSince[a.instance]) >= contact && a.at.Sub(at) < 3*time.Second && took < routeTimeout {
		o.violated("LOST", "%s %s was cut by the planned stop of %s: %v", a.id, a.uri, a.instance, r.err)
	}
}

// ended records that a process of an instance has exited, and checks the exit.
func (o *oracle) ended(name string, expected bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks["ENDS"]++
	if !expected {
		o.violated("ENDS", "a process of %s exited unexpectedly: %v", name, err)
	}
	if at, ok := o.stopping[name]; ok {
		if err != nil {
			o.violated("STOP", "%s ended its planned stop with %v", name, err)
		}
		if now := time.Now(); now.After(o.stopDeadline(name, at)) {
			o.violated("STOP", "%s took %.2f s to stop", name, now.Sub(at).Seconds())
		}
		delete(o.stopping, name)
	}
	o.runs[name]++
	o.seen[name] = 0
}

// stopSlack is the time that a process has to end after its grace period, or after a pause beyond it.
const stopSlack = time.Second

// stopDeadline returns the time by which an instance must have ended that was asked to stop at the given
// time. A paused process can't end before it continues. The caller holds mu.
func (o *oracle) stopDeadline(name string, asked time.Time) time.Time {
	deadline := asked.Add(grace + stopSlack)
	resumed := o.pausedUntil[name].Add(stopSlack)
	if resumed.After(deadline) {
		return resumed
	}
	return deadline
}

// budget checks the retry budget over the whole run. For each service and window, arrivals
// beyond the first of each request may number at most a fifth of the requests sent in the
// largest of three windows, plus a slack. The three are that window, the one before it and the
// one shifted back by half a window.
func (o *oracle) budget() {
	const window, ratio, slack = 10 * time.Second, 0.2, 64
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, service := range services {
		var sent, repeated []time.Time
		for _, a := range o.attempts {
			if a.service() != service {
				continue
			}
			sent = append(sent, a.at)
			for _, arrival := range a.arrivals[min(1, len(a.arrivals)):] {
				repeated = append(repeated, arrival.at)
			}
		}
		for _, end := range repeated {
			o.checks["BUDGET"]++
			repeats := countWithin(repeated, end.Add(-window), end)
			most := max(countWithin(sent, end.Add(-window), end), countWithin(sent, end.Add(-2*window), end.Add(-window)), countWithin(sent, end.Add(-3*window/2), end.Add(-window/2)))
			if float64(repeats) > ratio*float64(most)+slack {
				o.violated("BUDGET", "service %s got %d repeats for %d requests", service, repeats, most)
				break
			}
		}
	}
}

func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// served returns the number of client attempts sent since a time that were answered with 200,
// and the number of those that count. Probes, requests of hot accounts, and canceled and
// unfinished attempts do not count.
func (o *oracle) served(after time.Time) (served, all int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.attempts {
		if a.probe > 0 || a.hot || a.at.Before(after) || !a.leftAt.IsZero() || a.doneAt.IsZero() {
			continue
		}
		all++
		if a.result.err == nil && a.result.status == http.StatusOK {
			served++
		}
	}
	return served, all
}

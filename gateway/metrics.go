package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/telemetry"
	"github.com/rainford/rainford/upstream"
)

// metrics holds the instance's metrics. docs/OPERATIONS.md lists them.
type metrics struct {
	telemetry *telemetry.Metrics

	requests        *telemetry.Counter
	refusals        *telemetry.Counter
	attempts        *telemetry.Counter
	retries         *telemetry.Counter
	coldAttempts    *telemetry.Counter
	selfReports     *telemetry.Counter
	permits         *telemetry.Counter
	storeReads      *telemetry.Counter
	deltaRequests   *telemetry.Counter
	replicasDiffer  *telemetry.Counter
	targetCrashes   *telemetry.Counter
	targetReports   *telemetry.Counter
	handovers       *telemetry.Counter
	hedges          *telemetry.Counter
	hedgesWithheld  *telemetry.Counter
	silentTargets   *telemetry.Counter
	refusedEntries  *telemetry.Counter
	rolloutAttempts *telemetry.Counter
	lookupAddresses *telemetry.Counter
	requestDuration *telemetry.Histogram
	queueDuration   *telemetry.Histogram
	attemptDuration *telemetry.Histogram
}

// Results of a delta request, as label values.
const (
	deltaRequestAnswered   = "answered"
	deltaRequestUnanswered = "unanswered"
)

// Results of a read of the store, as label values.
const (
	readOK          = "ok"
	readFailed      = "failed"
	readHistoryGone = "history-gone"
	readBehind      = "behind"
	readMissed      = "missed"
)

// Outcomes of hedges, as label values.
const (
	hedgeWon    = "won"
	hedgeLost   = "lost"
	hedgeFailed = "failed"
)

// newMetrics registers the metrics of an instance.
func newMetrics(g *Gateway) (*metrics, error) {
	t, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	m := &metrics{telemetry: t}
	return m, errors.Join(m.counters(), m.histograms(), m.gauges(g), m.poolGauges(g.pools))
}

// counters registers the counters.
func (m *metrics) counters() error {
	var errs []error
	counter := func(to **telemetry.Counter, name, description string, labels ...string) {
		c, err := m.telemetry.Counter(name, description, labels...)
		*to = c
		errs = append(errs, err)
	}
	counter(&m.requests, "rainford.requests", "Requests of clients, by the region of the target that answered.", "service", "kind", "region", "outcome")
	counter(&m.refusals, "rainford.refusals", "Requests that no target answered, by what decided it.", "service", "reason")
	counter(&m.attempts, "rainford.attempts", "Attempts at targets, by what became of them.", "service", "region", "outcome")
	counter(&m.retries, "rainford.repeats", "Attempts after the first one of a request.", "service")
	counter(&m.coldAttempts, "rainford.cold.attempts", "Attempts at targets that are cold.", "service")
	counter(&m.selfReports, "rainford.target.words", "Answers in which a target spoke of itself, by what it said.", "service", "word")
	counter(&m.permits, "rainford.permits", "Requests of accounts with a limit, by what became of their permit.", "result")
	counter(&m.storeReads, "rainford.store.reads", "Reads of the store, by what became of them.", "kind", "result")
	counter(&m.deltaRequests, "rainford.questions", "Questions to other instances for changes that this one lacks, by what became of them.", "kind", "result")
	counter(&m.replicasDiffer, "rainford.replicas.differ", "Messages of other instances that hold other objects as of the same position of the store.", "kind")
	counter(&m.refusedEntries, "rainford.entries.refused", "Entries of the store that could not be taken, by the field at fault.", "kind", "field")
	counter(&m.rolloutAttempts, "rainford.rollout.attempts", "Attempts at targets of a service that a version is brought in of, by version.", "service", "version", "outcome")
	counter(&m.targetCrashes, "rainford.target.ends", "Targets that ended while they had requests of this instance.")
	counter(&m.hedges, "rainford.hedges", "Second attempts that were sent while the first had no response, by what became of them.", "service", "outcome")
	counter(&m.silentTargets, "rainford.silent.targets", "Targets that did not respond for long and could not be connected to.", "hall")
	counter(&m.hedgesWithheld, "rainford.hedges.withheld", "Requests that were due for a hedge and got none, by reason.", "service", "reason")
	counter(&m.handovers, "rainford.handovers", "Requests handed over to another instance, by direction and what became of them.", "direction", "outcome")
	counter(&m.lookupAddresses, "rainford.lookup.addresses", "Addresses in responses to look-ups, by where the instance is, as seen from the client.", "composition", "place")
	counter(&m.targetReports, "rainford.target.reports", "Reports on targets that instances pass to each other, by direction and content.", "direction", "content")
	return errors.Join(errs...)
}

// histograms registers the histograms, all in seconds.
func (m *metrics) histograms() error {
	var errs []error
	histogram := func(to **telemetry.Histogram, name, description string) {
		h, err := m.telemetry.Histogram(name, description, "service")
		*to = h
		errs = append(errs, err)
	}
	histogram(&m.requestDuration, "rainford.request.duration", "Time from the arrival of a request to the end of its answer.")
	histogram(&m.queueDuration, "rainford.queue.duration", "Time that a request waited here for a target.")
	histogram(&m.attemptDuration, "rainford.attempt.duration", "Time from the sending of an attempt to the end of its answer.")
	return errors.Join(errs...)
}

// gauges registers the gauges of the instance itself.
func (m *metrics) gauges(g *Gateway) error {
	var errs []error
	gauge := func(name, description string, read func() int64) {
		errs = append(errs, m.telemetry.Gauge(name, description, read))
	}
	gauge("rainford.config.version", "Version of the configuration in force, 0 before the first.", func() int64 {
		if r := g.router.Load(); r != nil {
			return int64(r.Config().Version)
		}
		return 0
	})
	gauge("rainford.targets.refused", "Listed entries of targets that name no target to use.", func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int64(len(g.targetList.refused))
	})
	gauge("rainford.requests.held", "Requests, by content, that are held back because targets end under them.", g.quarantine.suspectCount)
	gauge("rainford.requests.in_flight", "Requests of clients in flight.", g.inFlight.Load)
	gauge("rainford.requests.ahead", "Requests in flight that were read before those ahead of them on their connections were answered.",
		func() int64 { requests, _ := g.pipeliningUsage(); return requests })
	gauge("rainford.requests.ahead.held", "Bytes of answers to such requests that wait for those ahead.",
		func() int64 { _, held := g.pipeliningUsage(); return held })
	gauge("rainford.targets.lost", "1 while this instance reaches no target, else 0.", func() int64 {
		return oneIf(g.reach.isLost())
	})
	gauge("rainford.isolated", "1 while this instance is cut off from everything outside its hall, else 0.", func() int64 {
		return oneIf(g.isIsolated(g.clock.Now()))
	})
	gauge("rainford.overloaded", "1 while timers of this instance fire late, since its processor has a queue, else 0.", func() int64 {
		if g.overloaded.Load() {
			return 1
		}
		return 0
	})
	gauge("rainford.store.era", "Latest era of the store that its answers name, 0 if they name none, -1 before the first.", g.store.Era)
	gauge("rainford.store.calls", "Calls made to the store.", g.store.Calls)
	gauge("rainford.peer.sent", "Bytes sent to other instances.", func() int64 { sent, _, _ := g.mesh.Traffic(); return sent })
	gauge("rainford.peer.received", "Bytes received from other instances.", func() int64 { _, received, _ := g.mesh.Traffic(); return received })
	errs = append(errs,
		m.telemetry.Gauges("rainford.rollout.share", "Part of the requests that this instance sends to targets of a version that is brought in.",
			[]string{"service", "version"}, func(observe func(float64, ...string)) {
				for _, r := range g.rollouts.statuses(g.clock.Now()) {
					observe(r.Share, r.Service, r.Version)
				}
			}),
		m.telemetry.Gauges("rainford.news.age.seconds", "Time since the store or another instance was last heard, -1 before.", nil,
			func(observe func(float64, ...string)) { observe(g.contactAge(g.clock.Now()).Seconds()) }),
		m.telemetry.Gauges("rainford.replica.revision", "Revision that is held of each kind of object.", []string{"kind"}, g.observeRevisions),
		m.telemetry.Gauges("rainford.account.use", "What is asked of the parts of limits that this instance owns, over the part, of the accounts that ask most.",
			[]string{"account"}, g.accountPermits.observeUtilization),
		m.telemetry.Gauges("rainford.halls.lost", "1 for each hall of whose targets this instance reaches none while it reaches others, else 0.", []string{"hall"},
			func(observe func(float64, ...string)) {
				for hall := range g.config.RegionOf {
					observe(float64(oneIf(g.hasLostHall(hall))), hall)
				}
			}),
		m.telemetry.Gauges("rainford.members", "Instances by state in this instance's view.", []string{"state"}, g.observeMembers))
	return errors.Join(errs...)
}

// oneIf returns 1 if set is true, and 0 otherwise.
func oneIf(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// hasLostHall reports whether this instance has lost its links to a hall while it reaches other targets.
func (g *Gateway) hasLostHall(hall string) bool {
	return !g.reach.isLost() && g.reach.halls.isLost(hall)
}

// pipeliningUsage returns the number of pipelined requests in flight whose predecessors are still
// unanswered, and the bytes of their buffered responses.
func (g *Gateway) pipeliningUsage() (requests, held int64) {
	if g.clientListener == nil {
		return 0, 0
	}
	return g.clientListener.Usage()
}

// poolGauges registers the gauges of each service's pool of targets.
func (m *metrics) poolGauges(ps *pools) error {
	return errors.Join(
		m.telemetry.Gauges("rainford.repeats.left", "Attempts after the first one that the budget allows now.", []string{"service"},
			ps.observe(func(p *pool, emit emit) { emit(p.retryBudget.Available()) })),
		m.telemetry.Gauges("rainford.queue.length", "Requests that wait here for a target.", []string{"service"},
			ps.observe(func(p *pool, emit emit) { emit(float64(p.upstream.Waiting())) })),
		m.telemetry.Gauges("rainford.targets", "Targets by hall and state.", []string{"service", "hall", "state"},
			ps.observe(func(p *pool, emit emit) {
				for group, n := range p.upstream.TargetCounts(p.clock.Now()) {
					emit(float64(n.Targets), group.Hall, string(group.State))
				}
			})),
		m.telemetry.Gauges("rainford.targets.limited", "Targets that name how many requests they take, by hall.", []string{"service", "hall"},
			ps.observe(func(p *pool, emit emit) {
				halls := make(map[string]int)
				for _, l := range p.upstream.LimitedTargets(p.clock.Now()) {
					halls[l.Hall]++
				}
				for hall, n := range halls {
					emit(float64(n), hall)
				}
			})),
		m.telemetry.Gauges("rainford.attempts.in_flight", "Attempts in flight by the target's hall.", []string{"service", "hall"},
			ps.observe(func(p *pool, emit emit) {
				inFlight := make(map[string]int)
				for group, n := range p.upstream.TargetCounts(p.clock.Now()) {
					inFlight[group.Hall] += n.InFlight
				}
				for hall, n := range inFlight {
					emit(float64(n), hall)
				}
			})))
}

// emit reports a value of one service. Values are those of the labels after the service.
type emit func(value float64, values ...string)

// observe returns a callback for a gauge that calls read for each pool, with the pool locked.
func (ps *pools) observe(read func(*pool, emit)) func(observe func(float64, ...string)) {
	return func(observe func(float64, ...string)) {
		ps.mu.RLock()
		defer ps.mu.RUnlock()
		for service, p := range ps.pools {
			p.mu.Lock()
			read(p, func(value float64, values ...string) {
				observe(value, append([]string{service}, values...)...)
			})
			p.mu.Unlock()
		}
	}
}

// observeRevisions reports the revision of each replica.
func (g *Gateway) observeRevisions(observe func(float64, ...string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for kind, replica := range g.replicas {
		observe(float64(replica.Position().Revision), string(kind))
	}
}

// observeMembers reports the number of members in each state.
func (g *Gateway) observeMembers(observe func(float64, ...string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := make(map[string]int)
	for _, s := range g.view.All(g.clock.Now()) {
		states[string(s.State)]++
	}
	for state, n := range states {
		observe(float64(n), state)
	}
}

// request counts a client's request, its retries and its result, and records its duration.
func (m *metrics) request(ex *exchange, status int, reason string, took time.Duration) {
	kind, region := "", ""
	if ex.route != nil {
		kind = string(ex.route.Kind)
	}
	if len(ex.attempts) > 0 {
		region = ex.attempts[len(ex.attempts)-1].Region
		m.retries.Add(int64(len(ex.attempts)-1), ex.service)
	}
	m.requests.Add(1, ex.service, kind, region, outcomeClass(status))
	m.requestDuration.Record(took.Seconds(), ex.service)
	if reason != reasonAnswered {
		m.refusals.Add(1, ex.service, reason)
	}
}

// attempt counts an attempt at a target and the target's self-report, and records the duration.
func (m *metrics) attempt(service string, target upstream.Choice, r upstream.Result) {
	m.attempts.Add(1, service, target.Region, r.Outcome.String())
	m.attemptDuration.Record(r.Latency.Seconds(), service)
	if target.Cold {
		m.coldAttempts.Add(1, service)
	}
	m.selfReport(service, r.SelfReport)
}

// cohortNames are the label values of a rollout's cohorts, by whether the targets have the new
// version. The names of versions are not used as label values, which bounds their number.
var cohortNames = map[bool]string{false: "old", true: "new"}

// rolloutAttempt counts an attempt at a target during a rollout of its service.
func (m *metrics) rolloutAttempt(service string, isNew bool, r upstream.Result) {
	m.rolloutAttempts.Add(1, service, cohortNames[isNew], r.Outcome.String())
}

// Contents of a target's self-report, as label values.
const (
	selfReportLeaving   = "leaves"
	selfReportBackoff   = "rests"
	selfReportLimited   = "limited"
	selfReportMalformed = "unreadable"
)

// selfReport counts what a target has reported about itself with a response.
func (m *metrics) selfReport(service string, w availability.SelfReport) {
	if w.Leaving {
		m.selfReports.Add(1, service, selfReportLeaving)
	}
	if w.Backoff > 0 {
		m.selfReports.Add(1, service, selfReportBackoff)
	}
	if w.HasLimit {
		m.selfReports.Add(1, service, selfReportLimited)
	}
	if len(w.Malformed) > 0 {
		m.selfReports.Add(1, service, selfReportMalformed)
	}
}

// storeRead counts a read of the store, by kind and result.
func (m *metrics) storeRead(kind feed.Kind, err error) {
	result := readOK
	switch {
	case errors.Is(err, ErrHistoryGone):
		result = readHistoryGone
	case err != nil:
		result = readFailed
	}
	m.storeReads.Add(1, string(kind), result)
}

// Directions of handovers, as label values.
const (
	handoverOut = "out"
	handoverIn  = "in"
)

// handover counts a request that was handed over to another instance, or by it.
func (m *metrics) handover(direction string, outcome retry.Outcome) {
	m.handovers.Add(1, direction, outcome.String())
}

// Directions and contents of reports on targets, as label values.
const (
	reportSent     = "sent"
	reportReceived = "received"
	reportDown     = "down"
	reportBusy     = "busy"
)

// reports counts reports on targets that were sent to, or received from, another instance.
func (m *metrics) reports(direction string, reports upstream.TargetReports) {
	for _, r := range reports {
		content := reportBusy
		if r.Down {
			content = reportDown
		}
		m.targetReports.Add(1, direction, content)
	}
}

// deltaRequest counts a delta request, by kind and result.
func (m *metrics) deltaRequest(kind feed.Kind, result string) {
	m.deltaRequests.Add(1, string(kind), result)
}

// Places of instances as seen from a client, as label values.
const (
	placeSameHall    = "same-hall"
	placeSameRegion  = "same-region"
	placeOtherRegion = "other-region"
)

// lookup counts the addresses that clients have received by a response.
func (m *metrics) lookup(c *cachedLookup) {
	for place, n := range map[string]int{placeSameHall: c.SameHall, placeSameRegion: c.SameRegion, placeOtherRegion: c.OtherRegion} {
		if n > 0 {
			m.lookupAddresses.Add(c.served*int64(n), string(c.Composition), place)
		}
	}
}

func (m *metrics) handler() http.Handler { return m.telemetry.Handler() }

// routeName returns the name of a route, or "" if r is nil.
func routeName(r *catalog.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

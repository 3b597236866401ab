package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/route"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

// Fleet provides the routing table in force and the state of the other instances. Its methods
// are called for every request.
type Fleet interface {
	// Plan returns the compiled table in force, or nil if there is none yet.
	Plan() *table.Plan
	// Candidates returns the rows of a service with the own region as origin, and the states of
	// their destinations.
	Candidates(service string) []route.Candidate
	// HallOpen reports whether the own hall accepts new requests.
	HallOpen() bool
	// Hops returns the instances through which the targets of a region can be reached, without
	// this instance and those in avoid. The result busy reports whether instances were left out
	// because they refused requests recently.
	Hops(region, service string, avoid map[string]bool) (hops []Hop, busy bool)
	// RecordSent records that a request was sent to an instance. RecordAnswered records that a
	// request ran, with its latency. RecordDeclined records that the instance refused a
	// request, and the time to wait before the next one.
	RecordSent(instance, service string)
	RecordAnswered(service, region string, latency time.Duration)
	RecordDeclined(instance, service string, wait time.Duration)
}

// Hop is an instance to which a request can be forwarded.
type Hop struct {
	route.Peer
	Addr string
	Hall string
}

// Caps enforces the caps of routing rows. If a request is not admitted, Admit returns the time
// until a unit of the cap may be available.
type Caps interface {
	Admit(row table.Row) (share.Admission, time.Duration)
}

// Claims records claims of operations that must run at most once.
type Claims interface {
	// Acquire claims a key for an attempt. It returns when the reply is known or ctx has ended.
	// If it returns an error, the attempt holds no claim and never will.
	Acquire(ctx context.Context, attempt OperationAttempt) (claim.Reply, error)
	// Finish and Release record the end of an attempt. They return at once, and the claim is
	// updated in the background.
	Finish(attempt OperationAttempt, status int)
	Release(attempt OperationAttempt)
}

// OperationAttempt is an attempt at an operation that must run at most once.
type OperationAttempt struct {
	Key       string
	CreatedAt time.Time
	// Owner identifies the attempt. It is unique.
	Owner string
	// Number is the number that the caller gave the attempt.
	Number int
}

// Observer receives the outcome and the latency of each request.
type Observer interface {
	Observe(service string, outcome retry.Outcome, reason protocol.Reason, latency time.Duration)
}

// Config holds the settings of an Entry.
type Config struct {
	Instance string
	Region   string
	Fleet    Fleet
	Caps     Caps
	Claims   Claims
	Hall     *Hall
	Observer Observer
	Log      *slog.Logger
	// Chooser orders the rows and selects hops at random. It must be safe for concurrent use.
	Chooser Chooser
	// DefaultDeadline applies to requests without a deadline of their own. MaxDeadline bounds
	// the deadline of every request. StallTimeout ends a transfer without progress.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	StallTimeout    time.Duration
	// Dial opens the connections to targets and other instances, if it is not nil.
	Dial Dialer
}

// Chooser makes the random choices for a request: the order of the routing rows, the index of
// the instance to forward to (negative if there is none), and the random variation of retry
// times.
type Chooser interface {
	Order(candidates []route.Candidate) []table.Row
	Pick(peers []route.Peer) int
	Jitter(d time.Duration) time.Duration
}

// Constants that operators cannot set.
const (
	// localQueueTimeout bounds the wait for a slot in the own hall before other instances and
	// rows are tried. It is shorter than the time to reach another region.
	localQueueTimeout = 30 * time.Millisecond
	// homeQueueTimeout bounds the wait for a slot in the own hall after all rows have been
	// tried. A longer wait would not increase the number of requests served, only their
	// latency.
	homeQueueTimeout = time.Second
	// hopQueueTimeout bounds the wait for a slot of a forwarded request. A wait there is
	// cheaper than a refusal, which would have to travel back.
	hopQueueTimeout = 100 * time.Millisecond
	// The part of the deadline that is reserved for returning the response is the deadline
	// divided by returnTimeDivisor, but at most maxReturnTime.
	returnTimeDivisor = 20
	maxReturnTime     = 100 * time.Millisecond
	maxAttempts       = 4
	// maxInFlight bounds the requests in flight at an instance.
	maxInFlight   = 8192
	maxHops       = 2
	statusRefused = http.StatusServiceUnavailable
)

// Entry serves the requests of callers and those that other instances forward.
type Entry struct {
	config      Config
	transports  *Transports
	callerStage Stage
	hopStage    Stage

	// inFlight counts the requests in flight.
	inFlight atomic.Int64

	mu     sync.Mutex
	budget retry.Budget
}

// New returns an Entry. All fields of config but Dial must be set.
func New(config Config) *Entry {
	e := &Entry{config: config, transports: NewTransports(config.Dial)}
	e.callerStage = pipe(e.serveCaller, e.log, e.deadline, e.classify, e.claim)
	e.hopStage = pipe(e.serveHop, e.log, e.deadline, e.classifyHop)
	return e
}

// Close closes the idle connections to targets and other instances.
func (e *Entry) Close() { e.transports.Close() }

// CallerHandler serves the requests of callers under protocol.CallPath.
func (e *Entry) CallerHandler() http.Handler { return e.handler(e.callerStage, false) }

// HopHandler serves the requests that other instances forward.
func (e *Entry) HopHandler() http.Handler { return e.handler(e.hopStage, true) }

func (e *Entry) handler(stage Stage, hop bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ex := &Exchange{w: w, r: r, FromHop: hop, Start: time.Now(), body: newBody(r)}
		w.Header().Set(protocol.HeaderInstance, e.config.Instance)
		defer e.inFlight.Add(-1)
		res := notRun(statusRefused, protocol.ReasonCapacity, "too many requests at this instance", e.jitter(time.Second))
		if e.inFlight.Add(1) <= maxInFlight {
			res = stage(ex)
		}
		res = ex.adjustForEarlier(res)
		switch {
		case res.Incomplete:
			ex.breakOff()
		case !res.ResponseSent:
			if hop && res.Outcome == retry.NotRun {
				w.Header().Set(protocol.HeaderNotRun, protocol.FlagSet)
			}
			ex.writeRefusal(res)
		}
	})
}

// log sets the request ID. When the request has ended, it reports the result to the observer and
// logs it.
func (e *Entry) log(next Stage) Stage {
	return func(ex *Exchange) Result {
		ex.ID = ex.r.Header.Get(protocol.HeaderRequestID)
		if !validID(ex.ID) {
			ex.ID = newID()
		}
		ex.w.Header().Set(protocol.HeaderRequestID, ex.ID)
		res := next(ex)
		latency := time.Since(ex.Start)
		if !ex.FromHop {
			e.config.Observer.Observe(ex.Service.Name, res.Outcome, res.Reason, latency)
		}
		level := slog.LevelDebug
		if res.Incomplete || res.Outcome == retry.Unknown {
			level = slog.LevelWarn
		}
		e.config.Log.Log(ex.r.Context(), level, "request",
			"request_id", ex.ID,
			"service", ex.Service.Name,
			"hop", ex.FromHop,
			"to", ex.destination,
			"target", ex.target,
			"outcome", res.Outcome.String(),
			"status", res.Status,
			"reason", string(res.Reason),
			"detail", res.Detail,
			"tries", ex.attempts,
			"broken", res.Incomplete,
			"ms", float64(latency.Microseconds())/1000,
		)
		return res
	}
}

const maxIDBytes = 64

func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || r == '"' {
			return false
		}
	}
	return true
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// deadline sets the deadline of the exchange.
func (e *Entry) deadline(next Stage) Stage {
	return func(ex *Exchange) Result {
		remaining := protocol.Deadline(ex.r.Header)
		if remaining == 0 {
			remaining = e.config.DefaultDeadline
		}
		remaining = min(remaining, e.config.MaxDeadline)
		// The deadline includes the time to return the response.
		remaining -= min(remaining/returnTimeDivisor, maxReturnTime)
		ex.Deadline = ex.Start.Add(remaining)
		return next(ex)
	}
}

// classify determines the service of a request and checks its operation key.
func (e *Entry) classify(next Stage) Stage {
	return func(ex *Exchange) Result {
		ex.OriginRegion = e.config.Region
		res, ok := e.findService(ex)
		if !ok {
			return res
		}
		if !ex.Service.NonIdempotent {
			return next(ex)
		}
		ex.Key = ex.r.Header.Get(protocol.HeaderIdempotencyKey)
		if _, err := claim.ParseKey(ex.Key, time.Now()); err != nil {
			return notRun(http.StatusBadRequest, protocol.ReasonBadRequest, err.Error(), 0)
		}
		return next(ex)
	}
}

// classifyHop determines the service of a request that another instance has already checked.
func (e *Entry) classifyHop(next Stage) Stage {
	return func(ex *Exchange) Result {
		ex.OriginRegion = ex.r.Header.Get(protocol.HeaderOriginRegion)
		res, ok := e.findService(ex)
		if !ok {
			return res
		}
		return next(ex)
	}
}

func (e *Entry) findService(ex *Exchange) (Result, bool) {
	ex.plan = e.config.Fleet.Plan()
	if ex.plan == nil {
		return notRun(http.StatusServiceUnavailable, protocol.ReasonNotReady, "no table in force yet", e.jitter(time.Second)), false
	}
	rest, ok := strings.CutPrefix(ex.r.URL.EscapedPath(), protocol.CallPath)
	if !ok {
		return notRun(http.StatusNotFound, protocol.ReasonBadRequest, "want "+protocol.CallPath+"SERVICE/…", 0), false
	}
	name, path, _ := strings.Cut(rest, "/")
	ex.Path = "/" + path
	ex.Service, ok = ex.plan.Service(name)
	if !ok {
		return notRun(http.StatusNotFound, protocol.ReasonNoService, "no service "+strconv.Quote(name), 0), false
	}
	return Result{}, true
}

// claim acquires the claim of an operation that must run at most once, and records the end of
// the attempt.
func (e *Entry) claim(next Stage) Stage {
	return func(ex *Exchange) Result {
		if !ex.Service.NonIdempotent {
			return next(ex)
		}
		attempt := newOperationAttempt(ex)
		ctx, cancel := context.WithDeadline(ex.r.Context(), ex.Deadline)
		reply, err := e.config.Claims.Acquire(ctx, attempt)
		cancel()
		if err != nil {
			return notRun(statusRefused, protocol.ReasonClaimsUnavailable, err.Error(), e.jitter(time.Second))
		}
		if reply.Result != claim.Granted {
			return e.claimConflict(reply)
		}
		ex.claimHeld = true
		res := next(ex)
		switch res.Outcome {
		case retry.Ran:
			e.config.Claims.Finish(attempt, res.Status)
		case retry.NotRun:
			e.config.Claims.Release(attempt)
		}
		return res
	}
}

func newOperationAttempt(ex *Exchange) OperationAttempt {
	made, _ := claim.ParseKey(ex.Key, ex.Start)
	number, err := strconv.Atoi(ex.r.Header.Get(protocol.HeaderAttempt))
	if err != nil || number < 1 {
		number = 1
	}
	return OperationAttempt{Key: ex.Key, CreatedAt: made, Owner: newID(), Number: number}
}

// claimConflict returns the result of an attempt that did not get the claim, because of another
// attempt at the same operation.
func (e *Entry) claimConflict(reply claim.Reply) Result {
	var res Result
	switch reply.Result {
	case claim.AlreadyDone:
		res = unknown(protocol.ReasonAlreadyDone, "an earlier attempt was answered", 0)
		res.Outcome = retry.Ran
		res.EarlierStatus = reply.Status
	case claim.Superseded:
		res = unknown(protocol.ReasonSuperseded, "a later attempt was refused since", 0)
	default:
		res = unknown(protocol.ReasonInProgress, "an earlier attempt may have run or be running", e.jitter(2*time.Second))
	}
	res.Status = http.StatusConflict
	return res
}

func (e *Entry) jitter(d time.Duration) time.Duration { return e.config.Chooser.Jitter(d) }

// mayRetry reports whether another attempt is allowed. If so, it takes the attempt from the
// retry budget.
func (e *Entry) mayRetry(ex *Exchange, outcome retry.Outcome) bool {
	if ex.attempts >= maxAttempts || !ex.body.replayable() || !time.Now().Before(ex.Deadline) {
		return false
	}
	if !retry.Allowed(outcome, !ex.Service.NonIdempotent) || ex.r.Context().Err() != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Spend()
}

func (e *Entry) recordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.Success()
}

// earliestRetry returns the refusal with the shorter time to wait before a retry.
func earliestRetry(a, b Result) Result {
	if retryRank(b) < retryRank(a) {
		return b
	}
	return a
}

func retryRank(r Result) int64 {
	if r.Status == 0 {
		return math.MaxInt64
	}
	return int64(r.RetryAfter)
}

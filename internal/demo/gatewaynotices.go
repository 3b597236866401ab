package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// refusalTime is the time for which a target refuses all requests, and backOff the
	// Retry-After that it sends with each refusal.
	refusalTime = 1500 * time.Millisecond
	backOff     = 500 * time.Millisecond
	// maxDuringBackOff is the number of requests from one instance that may reach a target
	// during the back-off time that it requested, after the one that it refused.
	maxDuringBackOff = 2
)

// busiest returns the targets by descending number of received requests. The requests of a
// route use only a few objects, so that some targets receive almost no requests.
func (e *gatewayEstate) busiest() []*origin.Server {
	e.observer.mu.Lock()
	defer e.observer.mu.Unlock()
	out := slices.Clone(e.targets)
	slices.SortStableFunc(out, func(a, b *origin.Server) int { return cmp.Compare(e.observer.byTarget[b], e.observer.byTarget[a]) })
	return out
}

// leaveByNotice makes a target announce its departure in its responses while its entry in the
// store still says that it serves. Requests that reach it later than propagationTime after the
// first such response count as violations.
func (e *gatewayEstate) leaveByNotice(ctx context.Context, t *origin.Server) error {
	var once sync.Once
	announced := make(chan struct{})
	t.SetExtraHeaders(func(*http.Request) string {
		once.Do(func() { close(announced) })
		return "Server-Leaving: 1\r\n"
	})
	select {
	case <-announced:
	case <-time.After(noticeTimeout):
		return fmt.Errorf("%s: %w", t.ID, errNoRequest)
	case <-ctx.Done():
	}
	e.observer.forbid(func(other *origin.Server) bool { return other == t }, time.Now().Add(propagationTime))
	return nil
}

// noticeTimeout is the longest time that a target waits for a request whose response can
// announce its departure.
const noticeTimeout = 10 * time.Second

// errNoRequest reports that a target received no request within noticeTimeout.
var errNoRequest = errors.New("target received no request")

// requestBackOff makes a target refuse all requests with a Retry-After for refusalTime, and
// returns the number of requests that it refused.
func (e *gatewayEstate) requestBackOff(ctx context.Context, t *origin.Server) int {
	before := e.observer.turnedAway()
	t.SetRetryAfter(time.Now().Add(refusalTime), backOff)
	pause.For(ctx, refusalTime)
	return e.observer.turnedAway() - before
}

// maxTurnedAway returns the largest number of requests that a target refuses in refusalTime if
// the instances respect its back-off times.
func (e *gatewayEstate) maxTurnedAway() int {
	periods := int(refusalTime/backOff) + 1
	return periods * len(e.instances) * (1 + maxDuringBackOff)
}

// turnedAway returns the number of requests that targets refused with a back-off time.
func (o *observer) turnedAway() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rested
}

// reportBackOff adds a violation to the report if the instances didn't respect the back-off
// times of a target.
func (e *gatewayEstate) reportBackOff(r *GatewayReport) {
	if most := e.maxTurnedAway(); r.Rested > most {
		r.Broken = append(r.Broken, fmt.Sprintf("a target that asked for rest got %d requests, %d at most", r.Rested, most))
	}
}

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
	// refusalTime is how long a target turns away all it gets, and asksFor the rest that it asks
	// for each time.
	refusalTime = 1500 * time.Millisecond
	backOff     = 500 * time.Millisecond
	// maxDuringBackOff is the number of requests that may reach a target from an instance in a rest
	// that it asked for, after the one that it turned away.
	maxDuringBackOff = 2
)

// busiest returns the targets, those that have had the most requests so far first. Requests of one
// route have an object each, so that some targets get next to none.
func (e *gatewayEstate) busiest() []*origin.Server {
	e.observer.mu.Lock()
	defer e.observer.mu.Unlock()
	out := slices.Clone(e.targets)
	slices.SortStableFunc(out, func(a, b *origin.Server) int { return cmp.Compare(e.observer.byTarget[b], e.observer.byTarget[a]) })
	return out
}

// leaveByNotice has a target say in its answers that it leaves, its entry in the store saying that it
// serves, and forbids what reaches it once all can know.
func (e *gatewayEstate) leaveByNotice(ctx context.Context, t *origin.Server) error {
	var once sync.Once
	heard := make(chan struct{})
	t.SetExtraHeaders(func(*http.Request) string {
		once.Do(func() { close(heard) })
		return "Server-Leaving: 1\r\n"
	})
	select {
	case <-heard:
	case <-time.After(noticeTimeout):
		return fmt.Errorf("%s: %w", t.ID, errNoRequest)
	case <-ctx.Done():
	}
	e.observer.forbid(func(other *origin.Server) bool { return other == t }, time.Now().Add(propagationTime))
	return nil
}

// noticeTimeout is how long a target may get nothing before it can't tell anybody that it leaves.
const noticeTimeout = 10 * time.Second

// errNoRequest says that a target got no request to say something to.
var errNoRequest = errors.New("a target got no request")

// requestBackOff has a target turn away all it gets for a while and ask for requestBackOff, and returns how many
// requests it turned away.
func (e *gatewayEstate) requestBackOff(ctx context.Context, t *origin.Server) int {
	before := e.observer.turnedAway()
	t.SetRetryAfter(time.Now().Add(refusalTime), backOff)
	pause.For(ctx, refusalTime)
	return e.observer.turnedAway() - before
}

// maxTurnedAway is the number of requests that a target may turn away in tiredFor if its rests
// are kept.
func (e *gatewayEstate) maxTurnedAway() int {
	rests := int(refusalTime/backOff) + 1
	return rests * len(e.instances) * (1 + maxDuringBackOff)
}

// turnedAway returns the number of requests that targets turned away as they rest.
func (o *observer) turnedAway() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rested
}

// reportBackOff judges what reached targets that had spoken of themselves.
func (e *gatewayEstate) reportBackOff(r *GatewayReport) {
	if most := e.maxTurnedAway(); r.Rested > most {
		r.Broken = append(r.Broken, fmt.Sprintf("a target that asked for rest got %d requests, %d at most", r.Rested, most))
	}
}

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
	// tiredFor is how long a target turns away all it gets, and asksFor the rest that it asks
	// for each time.
	tiredFor = 1500 * time.Millisecond
	asksFor  = 500 * time.Millisecond
	// mostInRest is the number of requests that may reach a target from an instance in a rest
	// that it asked for, after the one that it turned away.
	mostInRest = 2
)

// busiest returns the targets, those that have had the most requests so far first. Requests of one
// route have an object each, so that some targets get next to none.
func (e *gatewayEstate) busiest() []*origin.Server {
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()
	out := slices.Clone(e.targets)
	slices.SortStableFunc(out, func(a, b *origin.Server) int { return cmp.Compare(e.seen.byTarget[b], e.seen.byTarget[a]) })
	return out
}

// leaveByWord has a target say in its answers that it leaves, its entry in the store saying that it
// serves, and forbids what reaches it once all can know.
func (e *gatewayEstate) leaveByWord(ctx context.Context, t *origin.Server) error {
	var once sync.Once
	heard := make(chan struct{})
	t.SetExtraHeaders(func(*http.Request) string {
		once.Do(func() { close(heard) })
		return "Server-Leaving: 1\r\n"
	})
	select {
	case <-heard:
	case <-time.After(heardWithin):
		return fmt.Errorf("%s: %w", t.ID, errNotHeard)
	case <-ctx.Done():
	}
	e.seen.forbid(func(other *origin.Server) bool { return other == t }, time.Now().Add(settled))
	return nil
}

// heardWithin is how long a target may get nothing before it can't tell anybody that it leaves.
const heardWithin = 10 * time.Second

// errNotHeard says that a target got no request to say something to.
var errNotHeard = errors.New("a target got no request")

// rest has a target turn away all it gets for a while and ask for rest, and returns how many
// requests it turned away.
func (e *gatewayEstate) rest(ctx context.Context, t *origin.Server) int {
	before := e.seen.turnedAway()
	t.SetRetryAfter(time.Now().Add(tiredFor), asksFor)
	pause.For(ctx, tiredFor)
	return e.seen.turnedAway() - before
}

// mostTurnedAway is the number of requests that a target may turn away in tiredFor if its rests
// are kept.
func (e *gatewayEstate) mostTurnedAway() int {
	rests := int(tiredFor/asksFor) + 1
	return rests * len(e.instances) * (1 + mostInRest)
}

// turnedAway returns the number of requests that targets turned away as they rest.
func (o *observer) turnedAway() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rested
}

// reportWords judges what reached targets that had spoken of themselves.
func (e *gatewayEstate) reportWords(r *GatewayReport) {
	if most := e.mostTurnedAway(); r.Rested > most {
		r.Broken = append(r.Broken, fmt.Sprintf("a target that asked for rest got %d requests, %d at most", r.Rested, most))
	}
}

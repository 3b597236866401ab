package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// endingPath is that of a request that ends each target that runs it.
	endingPath = "/read/1/ends-targets"
	// endingSends is how often it is sent, and endingEvery the time between.
	endingSends = 40
	endingEvery = 20 * time.Millisecond
	// mostEnded is the largest number of targets that may end under it.
	mostEnded = 6
)

// sendEnding sends a request that ends each target that runs it to the instances in turn, and
// returns how many targets ended. Others take their place afterwards.
func (e *gatewayEstate) sendEnding(ctx context.Context) (int, error) {
	var mu sync.Mutex
	var ended []*origin.Server
	for _, t := range e.targets {
		t.SetCrash(func(r *http.Request) bool { return strings.HasPrefix(r.RequestURI, endingPath) }, func(origin.Run) {
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, t)
		})
	}
	for i := range endingSends {
		in := e.instances[i%len(e.instances)]
		sendTo(ctx, in.config.Listen, estateKey, fmt.Sprint("ending-", i), http.MethodGet, endingPath, nil)
		pause.For(ctx, endingEvery)
	}
	mu.Lock()
	defer mu.Unlock()
	e.targets = slices.DeleteFunc(e.targets, func(t *origin.Server) bool { return slices.Contains(ended, t) })
	for _, t := range ended {
		e.store.Remove(objects.KindServers, t.ID)
		err := e.startTarget(t.ID+"-again", t.Service, t.Zone)
		if err != nil {
			return len(ended), err
		}
	}
	return len(ended), nil
}

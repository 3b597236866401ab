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
	// crashPath is the path of the request that crashes each target that runs it.
	crashPath = "/read/1/ends-targets"
	// crashSends is the number of times that the request is sent, and crashInterval
	// the time between two of them.
	crashSends    = 40
	crashInterval = 20 * time.Millisecond
	// maxCrashes is the largest number of targets that the request may crash before
	// the instances have quarantined it.
	maxCrashes = 6
)

// sendCrashing sends a request that crashes each target that runs it to the instances in
// turn, and returns the number of targets that crashed. It starts a new target in place of
// each of them.
func (e *gatewayEstate) sendCrashing(ctx context.Context) (int, error) {
	var mu sync.Mutex
	var crashed []*origin.Server
	for _, t := range e.targets {
		t.SetCrash(func(r *http.Request) bool { return strings.HasPrefix(r.RequestURI, crashPath) }, func(origin.Run) {
			mu.Lock()
			defer mu.Unlock()
			crashed = append(crashed, t)
		})
	}
	for i := range crashSends {
		in := e.instances[i%len(e.instances)]
		sendTo(ctx, in.config.Listen, estateKey, fmt.Sprint("ending-", i), http.MethodGet, crashPath, nil)
		pause.For(ctx, crashInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	e.targets = slices.DeleteFunc(e.targets, func(t *origin.Server) bool { return slices.Contains(crashed, t) })
	for _, t := range crashed {
		e.store.Remove(objects.KindServers, t.ID)
		err := e.startTarget(t.ID+"-again", t.Service, t.Zone)
		if err != nil {
			return len(crashed), err
		}
	}
	return len(crashed), nil
}

package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/platform"
)

// observer records the requests that reach the targets.
type observer struct {
	mu sync.Mutex
	// runs counts the runs of each request, by its ID.
	runs map[string]int
	// forbidden reports whether a target must not receive requests after since, and
	// forbiddenArrivals counts the requests that it received nevertheless.
	forbidden         func(*origin.Server) bool
	since             time.Time
	forbiddenArrivals int
	// byHall and byTarget count the requests that arrived, including refused ones.
	byHall   map[string]int
	byTarget map[*origin.Server]int
	// keysSeen counts the requests that carried their client's key, and busy holds the
	// arrival times of the executed requests of the client account with a rate limit.
	keysSeen int
	busy     []time.Time
	// rested counts the requests that targets refused with a back-off time.
	rested int
}

func newObserver() *observer {
	return &observer{runs: make(map[string]int), byHall: make(map[string]int), byTarget: make(map[*origin.Server]int)}
}

// arrived records the arrival of a request at a target.
func (o *observer) arrived(a origin.Arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Executed {
		o.runs[a.ID]++
	}
	o.byHall[a.Server.Zone]++
	o.byTarget[a.Server]++
	if a.RetryAfter > 0 {
		o.rested++
	}
	o.recordAccount(a)
	if o.forbidden != nil && o.forbidden(a.Server) && a.At.After(o.since) {
		o.forbiddenArrivals++
	}
}

// forbid makes every arrival after since at one of the targets count as a violation.
func (o *observer) forbid(targets func(*origin.Server) bool, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forbidden, o.since = targets, since
}

// allow ends the effect of forbid.
func (o *observer) allow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forbidden = nil
}

// clientResponse is the outcome of a request as its client observed it. Its status is
// 0 if the client got no response.
type clientResponse struct {
	id string
	// nonIdempotent marks a request that must run at most once.
	nonIdempotent bool
	status        int
	// complete means that the body arrived to its end and belongs to this request.
	complete bool
	took     time.Duration
}

// sendTo sends a request to the instance at addr. id identifies the request in the
// responses and at the targets.
func sendTo(ctx context.Context, addr, key, id, method, path string, body []byte) clientResponse {
	began := time.Now()
	a := clientResponse{id: id}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	headers := platform.Headers()
	req.Host = gatewayHost
	req.Header.Set(headers.RequestID, id)
	req.Header.Set(headers.Credential, key)
	req.Header.Set(headers.Key, "object-"+id[len(id)-1:])
	req.Header.Set(headers.Deadline, "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	a.status, a.took = resp.StatusCode, time.Since(began)
	a.complete = err == nil && strings.HasSuffix(string(raw), " to "+id)
	return a
}

// gatewayLoad sends requests to all instances in turn, including instances that shut
// down or have ended, and records the responses.
type gatewayLoad struct {
	estate  *gatewayEstate
	options GatewayOptions
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu      sync.Mutex
	answers []clientResponse
}

func newGatewayLoad(e *gatewayEstate, options GatewayOptions) *gatewayLoad {
	return &gatewayLoad{estate: e, options: options}
}

func (l *gatewayLoad) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / l.options.Rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				l.group.Add(1)
				go l.request(n)
			}
		}
	}()
}

// request sends request number n. Each fifth request must run at most once, and each
// twentieth is an upload with a large body.
func (l *gatewayLoad) request(n int) {
	defer l.group.Done()
	const onceEvery, uploadEvery, uploadBytes = 5, 20, 60_000
	in := l.estate.instances[n%len(l.estate.instances)]
	id := fmt.Sprint("r", n)
	method, path, body := http.MethodGet, "/read/1/", []byte(nil)
	switch {
	case n%uploadEvery == 0:
		method, path, body = http.MethodPost, "/upload/", make([]byte, uploadBytes)
	case n%onceEvery == 0:
		method, path, body = http.MethodPost, "/pay/", []byte("receipt")
	}
	a := sendTo(context.Background(), in.config.Listen, keyOf(n), id, method, path, body)
	a.nonIdempotent = method == http.MethodPost
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

func (l *gatewayLoad) stop() {
	l.cancel()
	l.group.Wait()
}

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

// observer notes what reaches the targets.
type observer struct {
	mu   sync.Mutex
	runs map[string]int
	// forbidden names targets that are to get nothing from since on.
	forbidden func(*origin.Server) bool
	since     time.Time
	late      int
	byHall    map[string]int
	byTarget  map[*origin.Server]int
	// keysSeen counts the requests that came with their key, and busy are the runs of the
	// account with a limit.
	keysSeen int
	busy     []time.Time
	// rested counts the requests that targets turned away as they rest.
	rested int
}

func newObserver() *observer {
	return &observer{runs: make(map[string]int), byHall: make(map[string]int), byTarget: make(map[*origin.Server]int)}
}

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
	o.noteAccount(a)
	if o.forbidden != nil && o.forbidden(a.Server) && a.At.After(o.since) {
		o.late++
	}
}

func (o *observer) forbid(targets func(*origin.Server) bool, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forbidden, o.since = targets, since
}

func (o *observer) allow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forbidden = nil
}

// answered is what a client got.
type answered struct {
	id     string
	once   bool
	status int
	whole  bool
	took   time.Duration
}

// sendTo sends one request of a client to an instance.
func sendTo(ctx context.Context, addr, key, id, method, path string, body []byte) answered {
	began := time.Now()
	a := answered{id: id}
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
	a.whole = err == nil && strings.HasSuffix(string(raw), " to "+id)
	return a
}

// gatewayLoad sends requests to the instances in turn, those of stopping ones
// included until they are gone.
type gatewayLoad struct {
	estate  *gatewayEstate
	options GatewayOptions
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu      sync.Mutex
	answers []answered
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

// request sends the request of a number. Each fifth must run at most once, and each
// twentieth has a large body.
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
	a.once = method == http.MethodPost
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

func (l *gatewayLoad) stop() {
	l.cancel()
	l.group.Wait()
}

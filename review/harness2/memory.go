package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// memoryLimit is the memoryMb of the settings: a process that goes over it is killed.
	memoryLimit = 284 << 20
	// uploadBytes is the length of an upload, less than a third of maxBodyBytes.
	uploadBytes = 18 << 20
	// uploadInterval is the time between two uploads to an instance.
	uploadInterval = 330 * time.Millisecond
	// slowFor is how long two fifths of the servers are slow.
	slowFor = 9 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// memory lets clients upload bodies within the limits of the configuration while two fifths of the servers turn
// slow. A process that goes over its memory is killed and started again.
func memory(dir string, trouble bool) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer w.close()
	w.configure(7, map[string]objects.Route{
		"r-pay":  {Host: host, PathPrefix: "/pay/", RouteType: "non_idempotent", Timeout: "4000ms", TargetLatency: "600ms", Priority: 1, Service: "ledger", MaxAttempts: 2},
		"r-scan": {Host: host, PathPrefix: "/scan/", RouteType: "upload", Timeout: "4000ms", TargetLatency: "600ms", Priority: 1, Service: "docs", MaxAttempts: 2},
	}, []string{"ledger", "docs"}, objects.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"})
	var docs []*server
	for i := range 10 {
		zone := []string{zoneA, zoneB}[i%2]
		for _, service := range []string{"ledger", "docs"} {
			s, err := w.startServer(fmt.Sprintf("i-%s-%d", service, i), service, zone, 9, 700*time.Millisecond)
			if err != nil {
				return exitNotRun
			}
			if service == "docs" {
				docs = append(docs, s)
			}
		}
	}
	if err := w.startInstances(zoneA, zoneA, zoneB, zoneB); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	m := &memoryCase{w: w, limit: memoryLimit, body: bytes.Repeat([]byte("scan"), uploadBytes/4)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for n, in := range w.instances {
		running.Go(func() { m.supervise(ctx, in) })
		for c := range 6 {
			running.Go(func() { m.pay(ctx, n, c, in) })
		}
		running.Go(func() { m.uploads(ctx, n, in, &running) })
	}
	time.Sleep(20 * time.Second)
	if trouble {
		for _, s := range docs[:len(docs)*2/5] {
			w.record("server %s: works %d times as long from now on", s.id, slowFactor)
			s.slow.Store(true)
		}
	}
	time.Sleep(slowFor)
	for _, s := range docs {
		s.slow.Store(false)
	}
	w.record("servers: work as before")
	time.Sleep(5 * time.Second)
	cancel()
	running.Wait()
	m.tellMemory()
	w.record("result: %d payments and %d uploads answered, %d payments were running at a server and got no answer", m.paid.Load(), m.uploaded.Load(), m.lost.Load())
	fmt.Printf("paid %d, uploaded %d, lost %d\n", m.paid.Load(), m.uploaded.Load(), m.lost.Load())
	switch {
	case m.paid.Load() == 0 || m.uploaded.Load() == 0:
		return exitNotRun
	case m.lost.Load() > 3:
		return exitBroken
	default:
		return exitHeld
	}
}

// memoryCase is the state of the case.
type memoryCase struct {
	w *world
	// limit is the memory of an instance in bytes.
	limit                int64
	body                 []byte
	paid, uploaded, lost atomic.Int64
}

// tellMemory tells how often each instance was over its memory.
func (m *memoryCase) tellMemory() {
	for _, in := range m.w.instances {
		m.w.record("instance %s: %d times over its memory, at most %d MB", in.name, in.ends, in.largest>>20)
		fmt.Printf("%s: over %d, most %d MB\n", in.name, in.ends, in.largest>>20)
	}
}

// supervise kills the process of an instance when it goes over its memory, and starts it again.
func (m *memoryCase) supervise(ctx context.Context, in *instance) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		now, peak := in.memory()
		in.largest = max(in.largest, peak)
		if now <= m.limit {
			continue
		}
		in.ends++
		m.w.record("platform: %s has %d MB, over its %d MB", in.name, now>>20, m.limit>>20)
		in.signal(syscall.SIGKILL)
		<-in.ended
		time.Sleep(restartDelay)
		if err := in.start(in.seeds, false); err != nil {
			m.w.record("platform: %s not started: %v", in.name, err)
			return
		}
	}
}

// pay sends payments over a kept connection, one after the other. A payment is lost if the instance has taken it from
// a kept connection, a server has run it, and the instance has closed the connection with no answer. The client's
// own time-out doesn't count, nor a request to a process that has started less than contact before.
func (m *memoryCase) pay(ctx context.Context, n, c int, in *instance) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("pay-%d-%d-%d", n, c, i)
		inTouch := time.Since(time.Unix(0, in.startedAt.Load())) > contact
		kept := false
		status, err := m.send(client, in, "/pay/rent", id, strings.NewReader("rent "+id), &kept)
		var timeout net.Error
		isTimeout := errors.As(err, &timeout) && timeout.Timeout()
		switch {
		case status == http.StatusOK && err == nil:
			m.paid.Add(1)
		case err != nil && !isTimeout && kept && inTouch && m.w.hasRun(id):
			m.lost.Add(1)
			m.w.record("BROKEN: %s by %s has run and got no answer: %v", id, in.name, err)
			time.Sleep(200 * time.Millisecond)
		default:
			m.w.record("client: %s by %s: status %d, kept %v, in touch %v, %v", id, in.name, status, kept, inTouch, err)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// uploads begins uploads at an even rate, whether or not the earlier ones have ended.
func (m *memoryCase) uploads(ctx context.Context, n int, in *instance, running *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 4 * time.Second}
	ticker := time.NewTicker(uploadInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		running.Go(func() {
			id := fmt.Sprintf("scan-%d-%d", n, i)
			status, err := m.send(client, in, "/scan/lease", id, bytes.NewReader(m.body), new(bool))
			if status == http.StatusOK {
				m.uploaded.Add(1)
				return
			}
			m.w.record("client: %s by %s: status %d, %v", id, in.name, status, err)
		})
	}
}

// send sends one request and returns the status, or 0 without an answer. It sets kept if the connection was open
// before.
func (m *memoryCase) send(client *http.Client, in *instance, path, id string, body io.Reader, kept *bool) (int, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { *kept = info.Reused }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost, "http://"+in.front()+path, body)
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", "4000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

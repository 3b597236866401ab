package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/protocol"
)

// Kind is the kind of a stream's requests.
type Kind int

// The kinds of requests.
const (
	// Read is a small idempotent request.
	Read Kind = iota
	// Operate is a non-idempotent request. It has a body of Stream.Bytes and an idempotency key.
	Operate
	// Upload is a request with a body of Stream.Bytes.
	Upload
	// Download is a request for a response body of Stream.Bytes.
	Download
)

// Stream is a flow of requests of one kind for one service.
type Stream struct {
	Service string
	Kind    Kind
	// Rate is the mean number of requests per second.
	Rate float64
	// Bytes is the size of the body of a request or a response, depending on Kind.
	Bytes int
	// Timeout is the longest time for one attempt, including the response body.
	Timeout time.Duration
	Client  *caller.Client
	// MaxRetries is the largest number of retries of a request, with the same key. A request is
	// retried after a refusal or an unknown outcome if the error states when to retry.
	MaxRetries int
	// DuplicateFraction is the fraction of requests, in [0, 1], of which a duplicate with the
	// same key is sent at the same time. It is meant for requests of the kind Operate.
	DuplicateFraction float64
}

// maxInFlight is the largest number of requests of one stream in flight. Requests beyond it are not
// sent, and are counted in Stats.Skipped.
const maxInFlight = 2000

// Stats are the results for one service. Each request is counted once, by its last attempt.
// Duplicates are not counted.
type Stats struct {
	// Requests counts all requests that have ended.
	Requests int64
	// OK counts requests with a correct response, and those whose operation turned out to be done
	// already.
	OK int64
	// NotRun counts requests that certainly were not run.
	NotRun int64
	// Unknown counts requests that may or may not have run, and those that failed with any other
	// error.
	Unknown int64
	// Corrupt counts responses that were complete by their framing but had a wrong status or
	// wrong content, such as a truncated body.
	Corrupt int64
	// Broken counts responses whose body could not be read to its end. They are also counted in
	// Unknown.
	Broken int64
	// Skipped counts requests that were not sent because too many were in flight.
	Skipped int64
	// Reasons counts the requests that failed with a reason of the protocol, by reason.
	Reasons map[protocol.Reason]int64
	// NotRunKeys are the idempotency keys of the requests counted in NotRun that have one.
	NotRunKeys []string
	// Latency holds the latencies of the requests counted in OK, in microseconds.
	Latency *hdrhistogram.Histogram
	// RefusalLatency holds the latencies of the requests counted in NotRun, in microseconds.
	RefusalLatency *hdrhistogram.Histogram
}

// The range and the precision of the histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

func newStats() *Stats {
	return &Stats{
		Reasons:        make(map[protocol.Reason]int64),
		Latency:        hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		RefusalLatency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

// Generator runs streams and collects their results by service. It is safe for concurrent use.
type Generator struct {
	mu    sync.Mutex
	stats map[string]*Stats
	wg    sync.WaitGroup
	// blobs holds the bodies that have been generated, by size.
	blobs map[int][]byte
}

// NewGenerator returns a generator that has no results yet.
func NewGenerator() *Generator {
	return &Generator{stats: make(map[string]*Stats), blobs: make(map[int][]byte)}
}

// Stats returns the results for a service. They change while requests to the service are in flight,
// so that they can be read without a data race only after Wait.
func (g *Generator) Stats(service string) *Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statsOf(service)
}

// OK returns the number of requests to a service that have succeeded so far. It may be called while
// requests are in flight.
func (g *Generator) OK(service string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statsOf(service).OK
}

// statsOf returns the results for a service, and creates them if there are none. The caller holds mu.
func (g *Generator) statsOf(service string) *Stats {
	if g.stats[service] == nil {
		g.stats[service] = newStats()
	}
	return g.stats[service]
}

// update calls f with the results for a service while it holds mu.
func (g *Generator) update(service string, f func(*Stats)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.statsOf(service))
}

// Run starts the requests of a stream until ctx is done. It draws their start times from source.
// Requests that are in flight when Run returns continue; Wait waits for them.
func (g *Generator) Run(ctx context.Context, s Stream, source rand.Source) {
	if s.Rate <= 0 {
		return
	}
	rnd := rand.New(source)
	slots := make(chan struct{}, maxInFlight)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second)))
		if !pause.Until(ctx, next) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			g.update(s.Service, func(st *Stats) { st.Skipped++ })
			continue
		}
		start := next
		duplicated := rnd.Float64() < s.DuplicateFraction
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			defer func() { <-slots }()
			g.send(s, start, duplicated)
		}()
	}
}

// Wait waits for the requests in flight.
func (g *Generator) Wait() { g.wg.Wait() }

// errInvalid means that a response was complete by its framing but had a wrong status or wrong
// content.
var errInvalid = errors.New("load: complete response with wrong status or content")

// errIncomplete means that reading a response body failed before its end.
var errIncomplete = errors.New("load: response body ended early")

// send sends a request of the stream with its retries, and its duplicate if duplicated is set, and
// records the result. Latency is measured from start.
func (g *Generator) send(s Stream, start time.Time, duplicated bool) {
	req, want := g.request(s)
	if duplicated {
		// The request and its duplicate stand for attempts by independent clients. Neither
		// knows the outcome of the other, so both are marked as having an earlier attempt of
		// unknown outcome.
		req.EarlierUnknown = true
		duplicate := req
		duplicate.FirstAttempt = duplicateAttempt
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			_ = g.attempt(s, duplicate, want)
		}()
	}
	var err error
	for attempt := range s.MaxRetries + 1 {
		req.FirstAttempt = 10*attempt + 1
		err = g.attempt(s, req, want)
		wait, retry := RetryAfter(err)
		if !retry || attempt == s.MaxRetries {
			break
		}
		var unknown *caller.UnknownError
		req.EarlierUnknown = req.EarlierUnknown || errors.As(err, &unknown)
		time.Sleep(wait)
	}
	latency := time.Since(start).Microseconds()
	g.update(s.Service, func(st *Stats) { st.record(err, req.Key, latency) })
}

// duplicateAttempt is the attempt number of a duplicate. It is higher than the number of the first
// attempt, 1, and lower than those of the retries, which start at 11.
const duplicateAttempt = 5

// RetryAfter returns the delay after which an error of package caller asks for a retry, and whether
// it asks for one.
func RetryAfter(err error) (time.Duration, bool) {
	var notRun *caller.NotRunError
	if errors.As(err, &notRun) {
		return notRun.RetryAfter, notRun.RetryAfter > 0
	}
	var unknown *caller.UnknownError
	if errors.As(err, &unknown) {
		return unknown.RetryAfter, unknown.RetryAfter > 0
	}
	return 0, false
}

// record counts one request with the error of its last attempt, its idempotency key, if it has one,
// and its latency in microseconds.
func (st *Stats) record(err error, key string, micros int64) {
	st.Requests++
	var notRun *caller.NotRunError
	var unknown *caller.UnknownError
	var done *caller.DoneError
	if errors.As(err, &notRun) {
		st.Reasons[notRun.Reason]++
	}
	if errors.As(err, &unknown) {
		st.Reasons[unknown.Reason]++
	}
	switch {
	case err == nil || errors.As(err, &done):
		st.OK++
		_ = st.Latency.RecordValue(micros)
	case errors.As(err, &notRun):
		st.NotRun++
		_ = st.RefusalLatency.RecordValue(micros)
		if key != "" {
			st.NotRunKeys = append(st.NotRunKeys, key)
		}
	case errors.Is(err, errInvalid):
		st.Corrupt++
	case errors.Is(err, errIncomplete):
		st.Broken++
		st.Unknown++
	default:
		st.Unknown++
	}
}

// request returns a new request of the stream, and the SHA-256 that its response has to prove: of
// the response body for a Download, and of the request body, in the receipt, for the other kinds.
func (g *Generator) request(s Stream) (caller.Request, string) {
	req := caller.Request{Service: s.Service, Method: http.MethodGet, Path: "/item"}
	switch s.Kind {
	case Operate, Upload:
		req.Method = http.MethodPost
		data := g.blob(s.Bytes)
		req.BytesBody(data)
		req.Path = "/receipt"
		if s.Kind == Operate {
			req.Key = caller.NewKey()
		}
		return req, digest(data)
	case Download:
		req.Path = "/blob/" + strconv.Itoa(s.Bytes)
		return req, digest(g.blob(s.Bytes))
	default:
		return req, digest(nil)
	}
}

// blob returns the body of the given size. The same size always gives the same bytes.
func (g *Generator) blob(size int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blobs[size] == nil {
		g.blobs[size] = backend.Blob(size)
	}
	return g.blobs[size]
}

// digest returns the SHA-256 of data in hexadecimal.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// attempt sends a request once through the client, which may try several instances, and checks the
// response. want is the expected SHA-256.
func (g *Generator) attempt(s Stream, req caller.Request, want string) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	resp, err := s.Client.Do(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Join(errIncomplete, err)
	}
	return checkResponse(s.Kind, resp.StatusCode, body, want)
}

// checkResponse checks the status of a response, and compares the SHA-256 that it proves with want.
func checkResponse(kind Kind, status int, body []byte, want string) error {
	if status != http.StatusOK {
		return errors.Join(errInvalid, errors.New("HTTP status "+strconv.Itoa(status)))
	}
	if kind == Download {
		if digest(body) != want {
			return errInvalid
		}
		return nil
	}
	var receipt struct {
		SHA256 string `json:"sha256"`
	}
	err := json.NewDecoder(bytes.NewReader(body)).Decode(&receipt)
	if err != nil || receipt.SHA256 != want {
		return errors.Join(errInvalid, err)
	}
	return nil
}

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

// The kinds.
const (
	// Read is a small request that may be retried.
	Read Kind = iota
	// Operate is an operation that must not run twice.
	Operate
	// Upload sends a body of Stream.Bytes.
	Upload
	// Download reads an answer of Stream.Bytes.
	Download
)

// Stream is a flow of requests of one kind for one service.
type Stream struct {
	Service string
	Kind    Kind
	// Rate is the mean number of requests a second.
	Rate    float64
	Bytes   int
	Timeout time.Duration
	Client  *caller.Client
	// MaxRetries asks again with the same key after an unknown outcome or a
	// refusal, up to this many times, when told to come back.
	MaxRetries int
	// DuplicateFraction is the part of the operations that are sent a second time with
	// the same key at the same moment, as attempt 2.
	DuplicateFraction float64
}

// maxInFlight bounds the requests of one stream that are under way. Arrivals
// beyond it are counted as Skipped.
const maxInFlight = 2000

// Stats are the results for one service.
type Stats struct {
	Requests int64
	OK       int64
	NotRun   int64
	Unknown  int64
	// Corrupt counts answers that were short or wrong yet looked whole.
	Corrupt int64
	// Broken counts answers that visibly broke midway.
	Broken  int64
	Skipped int64
	// Reasons counts the requests that were not answered, by reason.
	Reasons map[protocol.Reason]int64
	// NotRunKeys are the operations whose last word was "not run".
	NotRunKeys []string
	// Latency holds the latencies of good answers in microseconds.
	Latency *hdrhistogram.Histogram
	// Slowest refusal, in microseconds, counts requests given up.
	RefusalLatency *hdrhistogram.Histogram
}

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

// Generator runs streams and gathers their results by service.
type Generator struct {
	mu    sync.Mutex
	stats map[string]*Stats
	wg    sync.WaitGroup
	blobs map[int][]byte
}

// NewGenerator returns a generator without results.
func NewGenerator() *Generator {
	return &Generator{stats: make(map[string]*Stats), blobs: make(map[int][]byte)}
}

// Stats returns the results for a service.
func (g *Generator) Stats(service string) *Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statsOf(service)
}

// OK returns the number of good answers for a service so far.
func (g *Generator) OK(service string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statsOf(service).OK
}

func (g *Generator) statsOf(service string) *Stats {
	if g.stats[service] == nil {
		g.stats[service] = newStats()
	}
	return g.stats[service]
}

func (g *Generator) update(service string, f func(*Stats)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.statsOf(service))
}

// Run starts the stream's requests until ctx ends. Source gives the arrival
// times. Requests under way go on: see Wait.
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

// Wait waits for the requests under way.
func (g *Generator) Wait() { g.wg.Wait() }

// errInvalid means that an answer was whole by its framing and yet not right.
var errInvalid = errors.New("load: wrong answer")

// errIncomplete means that an answer broke midway.
var errIncomplete = errors.New("load: answer broke")

// send makes send request, and asks again as the stream says.
func (g *Generator) send(s Stream, start time.Time, duplicated bool) {
	req, want := g.request(s)
	if duplicated {
		// The second copy comes from elsewhere and knows nothing of the
		// first: for both the other's end is unknown.
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

// duplicateAttempt numbers the attempt of a copy: after the first, before any that
// asks again.
const duplicateAttempt = 5

// RetryAfter returns when to come back after an error, and whether to.
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

// request builds a request and the SHA-256 that its answer must show.
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

func (g *Generator) blob(size int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blobs[size] == nil {
		g.blobs[size] = backend.Blob(size)
	}
	return g.blobs[size]
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

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

// checkResponse compares an answer with what it must show.
func checkResponse(kind Kind, status int, body []byte, want string) error {
	if status != http.StatusOK {
		return errors.Join(errInvalid, errors.New("status "+strconv.Itoa(status)))
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

package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/protocol"
)

// fakeInstance is an HTTP server that stands in for an instance and counts its calls.
type fakeInstance struct {
	*httptest.Server
	lookups atomic.Int64
	calls   atomic.Int64
	// lookupResponse returns the response to a look-up, and serve handles a call.
	lookupResponse func() lookup.Response
	serve          func(w http.ResponseWriter, r *http.Request)
}

func newFakeInstance(t testing.TB) *fakeInstance {
	e := &fakeInstance{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.LookupPath, func(w http.ResponseWriter, _ *http.Request) {
		e.lookups.Add(1)
		_ = json.NewEncoder(w).Encode(e.lookupResponse())
	})
	mux.HandleFunc(protocol.CallPath, func(w http.ResponseWriter, r *http.Request) {
		e.calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		e.serve(w, r)
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeInstance) addr() string { return e.Listener.Addr().String() }

func lookupResponseOf(ttl time.Duration, instances ...*fakeInstance) func() lookup.Response {
	return func() lookup.Response {
		a := lookup.Response{TTLMillis: ttl.Milliseconds()}
		for i, e := range instances {
			a.Instances = append(a.Instances, lookup.Instance{ID: fmt.Sprint(i), Addr: e.addr()})
		}
		return a
	}
}

func ran(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(protocol.HeaderOutcome, "ran")
	w.Header().Set(protocol.HeaderTarget, "t1")
	_, _ = io.WriteString(w, "ok")
}

func refusal(outcome string, reason protocol.Reason, wait time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(protocol.HeaderOutcome, outcome)
		protocol.SetRetryAfter(w.Header(), wait)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(protocol.Refusal{Outcome: outcome, Reason: reason, EarlierStatus: 201})
	}
}

func newClient(t testing.TB, instances ...*fakeInstance) *caller.Client {
	var bootstrap []string
	for _, e := range instances {
		bootstrap = append(bootstrap, e.addr())
	}
	c, err := caller.New(caller.Config{Bootstrap: bootstrap, Timeout: 10 * time.Second})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func do(c *caller.Client, key string) (string, error) {
	resp, err := c.Do(context.Background(), caller.Request{Service: "s", Method: http.MethodPost, Path: "/x", Key: key})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestLookupIsCached(t *testing.T) {
	e := newFakeInstance(t)
	e.lookupResponse, e.serve = lookupResponseOf(time.Hour, e), ran
	c := newClient(t, e)
	for range 5 {
		body, err := do(c, "")
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, e.lookups.Load())
	require.EqualValues(t, 5, e.calls.Load())
}

func TestFailsOverToNextInstance(t *testing.T) {
	down, e := newFakeInstance(t), newFakeInstance(t)
	e.lookupResponse, e.serve = lookupResponseOf(time.Hour, down, e), ran
	down.Close()
	c := newClient(t, e)
	for range 3 {
		_, err := do(c, caller.NewKey())
		require.NoError(t, err, "a request that was never sent may be sent to another instance, with or without a key")
	}
}

func TestNoInstanceAnswersLookup(t *testing.T) {
	e := newFakeInstance(t)
	e.lookupResponse, e.serve = lookupResponseOf(time.Minute, e), ran
	c := newClient(t, e)
	_, err := do(c, "")
	require.NoError(t, err)
	down := newFakeInstance(t)
	down.Close()
	client, err := caller.New(caller.Config{Bootstrap: []string{down.addr()}})
	require.NoError(t, err)
	_, err = do(client, "")
	var notRun *caller.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, protocol.ReasonUnreachable, notRun.Reason)
	require.Positive(t, notRun.RetryAfter)
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name  string
		serve func(http.ResponseWriter, *http.Request)
		key   bool
		calls int64
		check func(t *testing.T, err error)
	}{
		{"refusal with a retry time is final", refusal("not-run", protocol.ReasonCap, 1500*time.Millisecond), false, 1, func(t *testing.T, err error) {
			var e *caller.NotRunError
			require.ErrorAs(t, err, &e)
			require.Equal(t, 1500*time.Millisecond, e.RetryAfter)
		}},
		{"request with a key is not repeated after a lost response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true, 1, func(t *testing.T, err error) {
			var e *caller.UnknownError
			require.ErrorAs(t, err, &e)
		}},
		{"request without a key is repeated after a lost response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, 2, func(t *testing.T, err error) {
			var e *caller.UnknownError
			require.ErrorAs(t, err, &e)
		}},
		{"earlier attempt done", refusal("ran", protocol.ReasonAlreadyDone, 0), true, 1, func(t *testing.T, err error) {
			var e *caller.DoneError
			require.ErrorAs(t, err, &e)
			require.Equal(t, 201, e.Status)
		}},
		{"unknown outcome", refusal("unknown", protocol.ReasonInProgress, time.Second), true, 1, func(t *testing.T, err error) {
			var e *caller.UnknownError
			require.ErrorAs(t, err, &e)
			require.Equal(t, time.Second, e.RetryAfter)
		}},
		{"response without an outcome means unknown", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, true, 1, func(t *testing.T, err error) {
			var e *caller.UnknownError
			require.ErrorAs(t, err, &e)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := newFakeInstance(t), newFakeInstance(t)
			a.lookupResponse, a.serve, b.serve = lookupResponseOf(time.Hour, a, b), c.serve, c.serve
			key := ""
			if c.key {
				key = caller.NewKey()
			}
			_, err := do(newClient(t, a), key)
			c.check(t, err)
			require.Equal(t, c.calls, a.calls.Load()+b.calls.Load())
		})
	}
}

// TestUnreachableAfterUnknownAttempt checks that Do returns an *UnknownError if no instance can be
// reached and an earlier attempt at the operation ended unknown. A *NotRunError would be wrong, since
// the earlier attempt may have run.
func TestUnreachableAfterUnknownAttempt(t *testing.T) {
	down, e := newFakeInstance(t), newFakeInstance(t)
	e.lookupResponse = lookupResponseOf(time.Hour, down)
	down.Close()
	c := newClient(t, e)
	req := caller.Request{Service: "s", Method: http.MethodPost, Path: "/x", Key: caller.NewKey()}
	_, err := c.Do(context.Background(), req)
	var notRun *caller.NotRunError
	require.ErrorAs(t, err, &notRun)
	req.EarlierUnknown, req.FirstAttempt = true, 10
	_, err = c.Do(context.Background(), req)
	var unknown *caller.UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Positive(t, unknown.RetryAfter)
}

func TestTruncatedResponseIsError(t *testing.T) {
	e := newFakeInstance(t)
	e.lookupResponse = lookupResponseOf(time.Hour, e)
	e.serve = func(w http.ResponseWriter, r *http.Request) {
		ran(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := do(newClient(t, e), "")
	require.Error(t, err)
}

func ExampleClient_Do() {
	c, err := caller.New(caller.Config{Bootstrap: []string{"127.0.0.1:1"}, Timeout: time.Second})
	if err != nil {
		fmt.Println(err)
		return
	}
	req := caller.Request{Service: "ledger", Method: http.MethodPost, Path: "/receipts", Key: caller.NewKey()}
	req.BytesBody([]byte("rent"))
	_, err = c.Do(context.Background(), req)
	var notRun *caller.NotRunError
	if errors.As(err, &notRun) {
		fmt.Println("not run, retry after", notRun.RetryAfter)
	}
	// Output: not run, retry after 1s
}

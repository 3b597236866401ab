package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/protocol"
)

// blockOf returns the block of loopback addresses of the hall with index n.
func blockOf(n int, hall string) lookup.Block {
	return lookup.Block{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(40 + n), 0, 0}), 16), Hall: hall}
}

// caller returns a client whose local address is in the block of a hall.
func (s *system) caller(hall int) *caller.Client {
	var bootstrap []string
	for _, in := range s.listed() {
		bootstrap = append(bootstrap, in.CallerAddr)
	}
	c, err := caller.New(caller.Config{
		Bootstrap: bootstrap,
		LocalAddr: &net.TCPAddr{IP: net.IPv4(127, byte(40+hall), 0, 1)},
		Timeout:   15 * time.Second,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	return c
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func upload(service, key string, data []byte) caller.Request {
	req := caller.Request{Service: service, Method: http.MethodPost, Path: "/scan", Key: key}
	req.BytesBody(data)
	return req
}

// TestWholePath sends requests from a client in each hall through all processes. It checks
// the result of the lookup, and uploads, downloads and operations that run at most once.
func TestWholePath(t *testing.T) {
	s := newSystem(t, 1, 50)
	for hall := range s.halls {
		client := s.caller(hall)
		answer, err := client.Lookup(context.Background(), reads)
		require.NoError(t, err)
		require.Equal(t, s.halls[hall], answer.HomeHall)
		require.Equal(t, s.halls[hall], answer.Instances[0].Hall, "the home hall comes first")
		require.Len(t, answer.Instances, len(s.instances))
		checkUpload(t, client, 5<<20)
		checkDownload(t, client, 7<<20)
		checkOnce(t, s, client)
	}
}

func checkUpload(t *testing.T, client *caller.Client, size int) {
	t.Helper()
	data := backend.Blob(size)
	resp, err := client.Do(context.Background(), upload(reads, "", data))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		SHA256 string
		Bytes  int
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	require.Equal(t, size, answer.Bytes)
	require.Equal(t, digest(data), answer.SHA256)
}

func checkDownload(t *testing.T, client *caller.Client, size int) {
	t.Helper()
	resp, err := client.Do(context.Background(), caller.Request{Service: reads, Path: "/blob/" + strconv.Itoa(size)})
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, digest(backend.Blob(size)), digest(body))
}

// checkOnce runs an operation and retries it with the same key. The retry must report that
// the operation has succeeded, and the operation must have run once.
func checkOnce(t *testing.T, s *system, client *caller.Client) {
	t.Helper()
	req := upload(pays, caller.NewKey(), []byte("rent"))
	resp, err := client.Do(context.Background(), req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	req.FirstAttempt = 10
	var done *caller.DoneError
	require.Eventually(t, func() bool {
		req.FirstAttempt++
		_, err := client.Do(context.Background(), req)
		require.Error(t, err)
		return errorsAs(err, &done)
	}, 5*time.Second, 100*time.Millisecond)
	require.Equal(t, http.StatusOK, done.Status)
	require.Equal(t, 1, s.runs()[req.Key])
}

func errorsAs[T error](err error, target *T) bool { return errors.As(err, target) }

// TestPlatformDown checks that reads are served during an outage of the platform, that an
// operation that must run at most once is refused with a retry time and doesn't run, that
// operations succeed after the outage, and that all instances then stop gracefully.
func TestPlatformDown(t *testing.T) {
	s := newSystem(t, 1, 50)
	client := s.caller(0)
	s.faults(platformstore.Faults{Down: true})
	checkUpload(t, client, 1000)
	began := time.Now()
	_, err := client.Do(context.Background(), upload(pays, caller.NewKey(), []byte("rent")))
	var notRun *caller.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, protocol.ReasonClaimsUnavailable, notRun.Reason)
	require.Positive(t, notRun.RetryAfter)
	require.Empty(t, s.runs())
	t.Logf("operation refused after %.2f s", time.Since(began).Seconds())
	s.faults(platformstore.Faults{})
	checkOnce(t, s, client)
	for name, p := range s.instances {
		code, took := p.terminate(t)
		require.Zero(t, code, name)
		t.Logf("%s stopped after %.2f s", name, took.Seconds())
	}
}

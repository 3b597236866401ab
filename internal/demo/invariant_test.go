package demo

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
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/internal/load"
	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/table"
)

// versionWatch polls the versions that the instances apply and detects a version that
// decreases.
type versionWatch struct {
	cluster *Cluster
	stop    chan struct{}
	done    chan struct{}
	fell    bool
}

func watchVersions(c *Cluster) *versionWatch {
	w := &versionWatch{cluster: c, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *versionWatch) run() {
	defer close(w.done)
	seen := make(map[string]int64)
	for {
		for _, in := range w.cluster.Instances() {
			id, version := in.Node.Instance().ID, in.Version()
			w.fell = w.fell || version < seen[id]
			seen[id] = version
		}
		select {
		case <-w.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// end stops the polling and reports whether a version decreased.
func (w *versionWatch) end() bool {
	close(w.stop)
	<-w.done
	return w.fell
}

// setWeight changes the weight of the first row and returns the new version.
func (c *Cluster) setWeight(t *testing.T, n int) int64 {
	t.Helper()
	change, err := c.Editor("weight").Edit(context.Background(), func(tab *table.Table) error {
		tab.Rows[0].Weight = n
		return nil
	})
	require.NoError(t, err)
	return change.Number
}

// requireInForce checks that a version comes into force at every instance within a minute.
func (c *Cluster) requireInForce(t *testing.T, what string, number int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	began := time.Now()
	require.NoError(t, c.AwaitVersion(ctx, number), what)
	t.Logf("%s: in force everywhere after %.3f s", what, time.Since(began).Seconds())
}

// TestConfigurationThroughFaults injects the platform's failures (partitioned halls, stale
// reads, lost replies, an outage) and checks that each accepted change comes into force at
// every instance and that no instance ever returns to an older version.
func TestConfigurationThroughFaults(t *testing.T) {
	c := startCluster(t, Options{Estate: small(2)})
	w := watchVersions(c)
	c.requireInForce(t, "no fault", c.setWeight(t, 11))

	c.Links["accra-1"].SetFaults(platformstore.Faults{Down: true})
	c.requireInForce(t, "one hall partitioned from the platform", c.setWeight(t, 12))
	c.SetFaults(platformstore.Faults{})

	c.SetFaults(platformstore.Faults{StaleReads: true})
	_, err := c.Editor("stale").Edit(context.Background(), func(tab *table.Table) error {
		tab.Rows[0].Weight = 13
		return nil
	})
	var conflict *config.ConflictError
	require.ErrorAs(t, err, &conflict, "an edit of a cell that is based on its value before the last change")
	change, err := c.Editor("stale").Edit(context.Background(), func(tab *table.Table) error {
		tab.Rows[1].Weight = 13
		return nil
	})
	require.NoError(t, err)
	c.requireInForce(t, "stale reads", change.Number)
	c.SetFaults(platformstore.Faults{})
	c.SetFaults(platformstore.Faults{LoseReplies: 1})
	c.requireInForce(t, "lost reply", c.setWeight(t, 14))

	for _, hall := range c.Estate.AllHalls()[1:] {
		c.Links[hall].SetFaults(platformstore.Faults{Down: true})
	}
	number := c.setWeight(t, 15)
	c.requireInForce(t, "all halls but one partitioned from the platform", number)
	c.SetFaults(platformstore.Faults{Down: true})

	self := c.Instances()[0].Node.Instance()
	peers := []string{c.Instances()[1].Node.Instance().PeerAddr, c.Instances()[5].Node.Instance().PeerAddr}
	c.options.Change = func(cfg *node.Config) { cfg.Bootstrap = peers }
	late, err := c.StartInstance(self.Region, self.Hall, "late")
	require.NoError(t, err)
	c.requireInForce(t, "an instance that starts while the platform is down", number)
	require.Eventually(t, func() bool { return late.Status().Ready }, time.Minute, 10*time.Millisecond)

	c.SetFaults(platformstore.Faults{})
	c.requireInForce(t, "after the outage", c.setWeight(t, 16))
	require.False(t, w.end(), "an instance returned to an older version")
}

// TestNotReadyWithoutTable checks that an instance that reaches neither the platform nor
// peers reports itself as not ready and refuses requests immediately.
func TestNotReadyWithoutTable(t *testing.T) {
	c := startCluster(t, Options{Estate: small(1)})
	c.Links["accra-1"].SetFaults(platformstore.Faults{Down: true})
	lone, err := c.StartInstance("accra", "accra-1", "lone")
	require.NoError(t, err)
	addrs := lone.Node.Instance()
	resp, err := http.Get("http://" + addrs.AdminAddr + node.ReadyPath)
	require.NoError(t, err)
	body, _ := io.ReadAll(resp.Body)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, string(body), "no table in force yet")
	resp, err = http.Get("http://" + addrs.CallerAddr + "/v1/call/listings/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// slowBody returns at most chunk bytes from each Read, after a pause.
type slowBody struct {
	*bytes.Reader
	chunk int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	return b.Reader.Read(p[:min(len(p), b.chunk)])
}

func (b *slowBody) Close() error { return nil }

// slowUpload sends data over about the given duration and checks the digest in the
// response. It retries when the request was refused with a Retry-After.
func slowUpload(client *caller.Client, service string, data []byte, over time.Duration) error {
	const chunks = 100
	req := caller.Request{Service: service, Method: http.MethodPost, Path: "/scan", Length: int64(len(data))}
	req.Body = func() (io.ReadCloser, error) {
		return &slowBody{bytes.NewReader(data), len(data)/chunks + 1, over / chunks}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	resp, err := client.Do(ctx, req)
	for err != nil {
		wait, comeBack := load.RetryAfter(err)
		var notRun *caller.NotRunError
		if !comeBack || !errors.As(err, &notRun) {
			return err
		}
		time.Sleep(wait)
		resp, err = client.Do(ctx, req)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct{ SHA256 string }
	err = json.NewDecoder(resp.Body).Decode(&answer)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(data)
	if answer.SHA256 != hex.EncodeToString(sum[:]) {
		return errors.New("wrong digest")
	}
	return nil
}

// TestLeavingTarget drains one target in the routing table and marks another as leaving in
// the platform's target list, both with long uploads in flight. The health endpoints of
// both keep reporting success. Neither target may receive new requests after 5 s, and no
// upload may be cut off.
func TestLeavingTarget(t *testing.T) {
	estate := small(1)
	estate.Services[0].Targets = 12
	c := startCluster(t, Options{Estate: estate})
	clients := c.callersOf(t, 1)
	service := c.Estate.Services[0].Name
	generator := load.NewGenerator()
	ctx, cancel := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for i, client := range clients {
		s := load.Stream{Service: service, Kind: load.Read, Rate: 60, Timeout: 5 * time.Second, Client: client}
		loads.Add(1)
		go func() { defer loads.Done(); generator.Run(ctx, s, rand.NewPCG(1, uint64(i))) }()
	}
	uploads := make(chan error, 24)
	for _, client := range clients {
		for range 4 {
			go func() { uploads <- slowUpload(client, service, backend.Blob(300_000), 6*time.Second) }()
		}
	}
	var leaving []*Target
	for _, region := range c.Estate.Regions[:2] {
		for _, target := range c.Targets(region) {
			if target.Service == service {
				target.Server.UpdateSettings(func(s *backend.Settings) { s.AlwaysHealthy = true })
				leaving = append(leaving, target)
				break
			}
		}
	}
	for _, target := range leaving {
		// Only a target that gets requests can show that it gets no more.
		require.Eventually(t, func() bool { return !target.Server.LastStart().IsZero() }, 20*time.Second, 10*time.Millisecond, "the target had no work at all")
	}
	began := time.Now()
	_, err := c.Editor("drain").Edit(context.Background(), func(tab *table.Table) error {
		tab.SetDrain(table.Drain{Scope: table.ScopeTarget, Name: leaving[0].ID}, true)
		return nil
	})
	require.NoError(t, err)
	leaving[1].Leaving = true
	require.NoError(t, c.PublishTargets(context.Background(), leaving[1].Hall))
	for range cap(uploads) {
		require.NoError(t, <-uploads, "an upload was cut")
	}
	cancel()
	loads.Wait()
	generator.Wait()
	for _, target := range leaving {
		last := target.Server.LastStart().Sub(began)
		t.Logf("%s: last new request %.3f s after the drain", target.ID, last.Seconds())
		require.Less(t, last, 5*time.Second)
	}
	st := generator.Stats(service)
	t.Logf("%d requests, %d ok, %d not run, %d unknown, %d of them broken, %d corrupt, %v", st.Requests, st.OK, st.NotRun, st.Unknown, st.Broken, st.Corrupt, st.Reasons)
	require.Zero(t, st.Broken+st.Unknown+st.Corrupt)
}

// uploadTime is longer than the time for which a stopping instance keeps accepting requests,
// so that uploads are in flight when it shuts down.
const uploadTime = 8 * time.Second

// TestRollingRestart replaces every instance under load, while uploads of several seconds
// are in flight and clients use outdated lookup results. No request may be cut off.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, Options{Estate: small(1)})
	// A second attempt would hide that the first one was cut off.
	clients := c.callersOf(t, 1)
	reads, pays := c.Estate.Services[0].Name, c.Estate.Services[1].Name
	generator := load.NewGenerator()
	ctx, cancel := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for i, client := range clients {
		for j, s := range []load.Stream{
			{Service: reads, Kind: load.Read, Rate: 30, Timeout: 5 * time.Second, Client: client},
			{Service: reads, Kind: load.Download, Rate: 2, Bytes: 400_000, Timeout: 10 * time.Second, Client: client},
			{Service: pays, Kind: load.Operate, Rate: 5, Bytes: 200, Timeout: 5 * time.Second, Client: client, MaxRetries: 2},
		} {
			loads.Add(1)
			go func() { defer loads.Done(); generator.Run(ctx, s, rand.NewPCG(2, uint64(10*i+j))) }()
		}
	}
	var uploads sync.WaitGroup
	var mu sync.Mutex
	sent := 0
	for i := range 2 * len(clients) {
		uploads.Add(1)
		go func() {
			defer uploads.Done()
			// The uploads are staggered, so that some of them always have far to go.
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			for ctx.Err() == nil {
				err := slowUpload(clients[i%len(clients)], reads, backend.Blob(200_000), uploadTime)
				mu.Lock()
				sent++
				mu.Unlock()
				if err != nil {
					t.Errorf("upload: %v", err)
				}
			}
		}()
	}
	c.replaceAll(t)
	cancel()
	loads.Wait()
	generator.Wait()
	uploads.Wait()
	for _, service := range []string{reads, pays} {
		st := generator.Stats(service)
		t.Logf("%s: %d requests, %d ok, %d not run, %d unknown, %d broken, %v", service, st.Requests, st.OK, st.NotRun, st.Unknown, st.Broken, st.Reasons)
		require.Zero(t, st.Broken+st.Unknown+st.Corrupt, "requests cut")
	}
	require.Zero(t, c.Runs.Duplicates())
	t.Logf("%d uploads of %s, none cut", sent, uploadTime)
}

// replaceAll replaces all instances, three at a time.
func (c *Cluster) replaceAll(t *testing.T) {
	all := c.Instances()
	for from := 0; from < len(all); from += 3 {
		var wg sync.WaitGroup
		for _, in := range all[from:min(from+3, len(all))] {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				took, err := c.Replace(ctx, in)
				if err != nil {
					t.Errorf("replace: %v", err)
				}
				t.Logf("%s stopped after %.2f s", in.Node.Instance().ID, took.Seconds())
			}()
		}
		wg.Wait()
	}
}

// TestWholeAnswers makes targets break off responses and clients cancel requests, and
// checks the digest of every response that appears complete.
func TestWholeAnswers(t *testing.T) {
	c := startCluster(t, Options{Estate: small(1)})
	for _, target := range c.Targets("") {
		target.Server.UpdateSettings(func(s *backend.Settings) { s.DropAfter = 0.2 })
	}
	service := c.Estate.Services[2].Name
	generator := load.NewGenerator()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var loads sync.WaitGroup
	for i, client := range c.callers(t) {
		for j, s := range []load.Stream{
			{Service: service, Kind: load.Download, Rate: 10, Bytes: 300_000 + 1000*i, Timeout: 5 * time.Second, Client: client},
			{Service: service, Kind: load.Upload, Rate: 10, Bytes: 100_000 + 1000*i, Timeout: 5 * time.Second, Client: client},
			{Service: service, Kind: load.Download, Rate: 10, Bytes: 2_000_000, Timeout: 8 * time.Millisecond, Client: client},
		} {
			loads.Add(1)
			go func() { defer loads.Done(); generator.Run(ctx, s, rand.NewPCG(3, uint64(10*i+j))) }()
		}
	}
	loads.Wait()
	generator.Wait()
	st := generator.Stats(service)
	t.Logf("%d requests, %d ok, %d visibly broken, %d not run, %d wrong or short yet whole", st.Requests, st.OK, st.Broken, st.NotRun, st.Corrupt)
	require.Zero(t, st.Corrupt)
	require.Positive(t, st.Broken)
	require.Positive(t, st.OK)
}

// patientTimeout is a timeout that no request reaches, even on a machine under load. An
// attempt that times out has an unknown outcome, which would not indicate a target that
// exceeds its slots.
const patientTimeout = 20 * time.Second

// TestNoTargetOverSlots offers 1.5 times the capacity of the targets and then halves the
// actual capacity of one region's targets. No target may ever receive more concurrent
// requests than its slots.
func TestNoTargetOverSlots(t *testing.T) {
	estate := small(2)
	estate.Services = estate.Services[:1]
	estate.Services[0].Time = 60 * time.Millisecond
	c := startCluster(t, Options{Estate: estate})
	service := estate.Services[0]
	capacity := float64(service.Targets*service.Slots) / service.Time.Seconds()
	generator := load.NewGenerator()
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var loads sync.WaitGroup
	clients := c.callers(t)
	for i, client := range clients {
		s := load.Stream{Service: service.Name, Kind: load.Read, Rate: 1.5 * capacity / float64(len(clients)), Timeout: patientTimeout, Client: client}
		loads.Add(1)
		go func() { defer loads.Done(); generator.Run(ctx, s, rand.NewPCG(4, uint64(i))) }()
	}
	time.Sleep(3 * time.Second)
	for _, target := range c.Targets(c.Estate.Regions[0]) {
		target.Server.UpdateSettings(func(s *backend.Settings) { s.Slots /= 2 })
	}
	loads.Wait()
	generator.Wait()
	for _, target := range c.Targets("") {
		require.LessOrEqual(t, target.Server.PeakRequests(), target.Slots, target.ID)
	}
	st := generator.Stats(service.Name)
	t.Logf("capacity %.0f/s, offered %.0f/s for 6 s: %d requests, %d ok, %d not run %v; refusals p50 %.1f ms p99 %.1f ms",
		capacity, 1.5*capacity, st.Requests, st.OK, st.NotRun, st.Reasons,
		float64(st.RefusalLatency.ValueAtQuantile(50))/1000, float64(st.RefusalLatency.ValueAtQuantile(99))/1000)
	require.Zero(t, st.Unknown)
}

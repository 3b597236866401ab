package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/load"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/table"
)

// startLoad sends a stream from a client in each hall until ctx ends. The returned group is done
// when all streams have ended.
func (s *system) startLoad(ctx context.Context, g *load.Generator, stream load.Stream) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range s.halls {
		stream.Client = s.caller(i)
		wg.Add(1)
		go func(st load.Stream) {
			defer wg.Done()
			g.Run(ctx, st, rand.NewPCG(7, uint64(i)))
		}(stream)
	}
	return &wg
}

// admissions returns the times, in Unix nanoseconds and sorted, at which the processes
// admitted requests to a row, read from their logs. The processes must have ended.
func admissions(t *testing.T, processes []*process, row string) []int64 {
	var out []int64
	for _, p := range processes {
		scanner := bufio.NewScanner(bytes.NewReader(p.log.Bytes()))
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			var line struct {
				Msg  string `json:"msg"`
				Row  string `json:"row"`
				AtNs int64  `json:"at_ns"`
			}
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Msg == "admitted" && line.Row == row {
				out = append(out, line.AtNs)
			}
		}
		require.NoError(t, scanner.Err())
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// worstWindow returns the largest number of times in any sliding window of
// table.CapWindow. Times before since don't count.
func worstWindow(times []int64, since time.Time) int {
	first := sort.Search(len(times), func(i int) bool { return times[i] >= since.UnixNano() })
	times = times[first:]
	worst, from := 0, 0
	for i, t := range times {
		for t >= times[from]+table.CapWindow.Nanoseconds() {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}

// TestCapWithProcesses checks that a row's cap holds in every window while the offered load
// is far higher. It suspends and resumes an instance, kills and replaces another, injects an
// outage of the platform, and then lowers the cap.
func TestCapWithProcesses(t *testing.T) {
	const limit, lower = 24, 9
	s := newSystemAt(t, 2, limit, "debug")
	change := s.edit("lean south", func(tab *table.Table) {
		for i, r := range tab.Rows {
			if r.From != r.To {
				tab.Rows[i].Weight = 900
			}
		}
	})
	all := make([]*process, 0, 16)
	for _, p := range s.instances {
		all = append(all, p)
	}
	s.awaitVersion(change.Number)
	g := load.NewGenerator()
	ctx, cancel := context.WithCancel(context.Background())
	wg := s.startLoad(ctx, g, load.Stream{Service: reads, Kind: load.Read, Rate: 60, Timeout: 2 * time.Second})

	paused, killed := s.instances["north-1-1"], s.instances["north-2-1"]
	require.NoError(t, paused.Process.Signal(syscall.SIGSTOP))
	time.Sleep(time.Second)
	require.NoError(t, killed.Process.Kill())
	s.instances["north-2-1"] = s.startInstance("north", "north-2", "north-2-1b")
	all = append(all, s.instances["north-2-1"])
	time.Sleep(16 * time.Second)
	require.NoError(t, paused.Process.Signal(syscall.SIGCONT))
	time.Sleep(2 * time.Second)
	s.faults(platformstore.Faults{Down: true})
	time.Sleep(4 * time.Second)
	s.faults(platformstore.Faults{})
	change = s.edit("lower", func(tab *table.Table) {
		for i, r := range tab.Rows {
			if r.From != r.To {
				tab.Rows[i].Cap = lower
			}
		}
	})
	took := s.awaitVersion(change.Number)
	lowered := time.Now().Add(table.CapWindow)
	time.Sleep(4 * time.Second)
	cancel()
	wg.Wait()
	g.Wait()
	for _, p := range all {
		_ = p.Process.Kill()
		<-p.ended
	}
	for _, row := range []string{"reads north>south", "reads south>north"} {
		times := admissions(t, all, row)
		worst, after := worstWindow(times, time.Time{}), worstWindow(times, lowered)
		t.Logf("%s: %d admitted, worst window %d of %d, after lowering %d of %d", row, len(times), worst, limit, after, lower)
		require.LessOrEqual(t, worst, limit)
		require.LessOrEqual(t, after, lower)
		require.Greater(t, worst, limit/2, "the load never came near the cap")
	}
	t.Logf("lower cap in force everywhere after %.3f s", took.Seconds())
}

// TestAtMostOnceWithProcesses kills instances while they forward operations, which the
// clients then retry. No operation may run twice, and none may run that was reported as
// not run.
func TestAtMostOnceWithProcesses(t *testing.T) {
	s := newSystem(t, 2, 50)
	g := load.NewGenerator()
	ctx, cancel := context.WithCancel(context.Background())
	wg := s.startLoad(ctx, g, load.Stream{Service: pays, Kind: load.Operate, Rate: 30, Bytes: 100, Timeout: 2 * time.Second, MaxRetries: 3, DuplicateFraction: 0.2})
	for i := range 4 {
		time.Sleep(time.Second)
		region := regions[i%2]
		hall := hallsOf(region)[i/2]
		name := hall + "-1"
		require.NoError(t, s.instances[name].Process.Kill())
		s.instances[name] = s.startInstance(region, hall, fmt.Sprintf("%s-%d", name, i))
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	g.Wait()
	runs := s.runs()
	st := g.Stats(pays)
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	t.Logf("%d operations, %d ok, %d not run, %d unknown, %v; 4 instances killed; %d ran, %d twice", st.Requests, st.OK, st.NotRun, st.Unknown, st.Reasons, len(runs), twice)
	require.Zero(t, twice)
	for _, key := range st.NotRunKeys {
		require.Zero(t, runs[key], "operation %s ran although it was reported as not run", key)
	}
	require.Positive(t, st.OK)
}

// TestHallCutOff injects an outage of the platform and suspends every instance outside one
// hall. The targets of that hall must keep serving its clients, and requests must succeed
// after the outage.
func TestHallCutOff(t *testing.T) {
	s := newSystem(t, 1, 50)
	client := s.caller(0)
	checkUpload(t, client, 1000)
	s.faults(platformstore.Faults{Down: true})
	for name, p := range s.instances {
		if name != "north-1-1" {
			require.NoError(t, p.Process.Signal(syscall.SIGSTOP))
		}
	}
	served := 0
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		resp, err := client.Do(ctx, upload(reads, "", []byte("x")))
		cancel()
		if err == nil {
			served++
			_ = resp.Body.Close()
		}
	}
	t.Logf("isolated hall: %d of 40 requests served", served)
	require.Greater(t, served, 20)
	for _, p := range s.instances {
		require.NoError(t, p.Process.Signal(syscall.SIGCONT))
	}
	s.faults(platformstore.Faults{})
	s.awaitReady()
	checkOnce(t, s, client)
}

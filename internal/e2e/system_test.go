package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/table"
)

// programs is the directory of the programs that TestMain builds.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// touchSources calls os.Stat for every Go source file of the module. The go command caches
// test results by the files that a test accesses. Without these calls it would not notice
// changes of the programs under test.
func touchSources() error {
	return filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.Stat(path)
		return err
	})
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rainford-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	build := exec.Command("go", "build", "-o", dir, "github.com/rainford/rainford/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// process is a running program under test.
type process struct {
	*exec.Cmd
	// service and control are the addresses of a stand-in.
	service string
	control string
	log     *bytes.Buffer
	ended   chan struct{}
}

// start starts a program and kills it at the end of the test. If the test has failed, the log
// of an instance is printed.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(filepath.Join(programs, name), args...), log: &bytes.Buffer{}, ended: make(chan struct{})}
	p.Stderr = p.log
	out, err := p.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.Start())
	if name == "standin" {
		p.readAddrs(t, out)
	}
	go func() {
		_, _ = io.Copy(io.Discard, out)
		_ = p.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		<-p.ended
		if t.Failed() && name == "rainfordd" {
			t.Logf("%s: %s", strings.Join(args, " "), p.log.String())
		}
	})
	return p
}

// readAddrs reads the addresses that a stand-in prints at its start.
func (p *process) readAddrs(t *testing.T, out io.Reader) {
	line, err := bufio.NewReader(out).ReadBytes('\n')
	require.NoError(t, err, p.log.String())
	var addrs struct{ Service, Control string }
	require.NoError(t, json.Unmarshal(line, &addrs))
	p.service, p.control = addrs.Service, addrs.Control
}

// terminate sends SIGTERM and returns the exit code of the process and the time until it
// ended.
func (p *process) terminate(t *testing.T) (int, time.Duration) {
	t.Helper()
	began := time.Now()
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
	case <-time.After(time.Minute):
		t.Fatal("process did not end within a minute of SIGTERM")
	}
	return p.ProcessState.ExitCode(), time.Since(began)
}

// system is a deployment of separate processes: two regions with two halls each.
type system struct {
	t         *testing.T
	platform  *process
	client    *objectstore.Client
	targets   map[string][]*process
	lists     map[string]*node.TargetList
	instances map[string]*process
	halls     []string
	perHall   int
	logLevel  string
}

const anyPort = "127.0.0.1:0"

var regions = []string{"north", "south"}

func hallsOf(region string) []string { return []string{region + "-1", region + "-2"} }

// The services of the tests. Requests for reads may be retried; those for pays must run at
// most once.
const (
	reads = "reads"
	pays  = "pays"
)

// testTable returns the routing table of the tests. limit is the cap of the rows between
// different regions.
func testTable(limit int) *table.Table {
	t := &table.Table{Services: []table.Service{{Name: reads, Reserve: 20}, {Name: pays, NonIdempotent: true, Reserve: 20}}}
	for _, r := range regions {
		t.Regions = append(t.Regions, table.Region{Name: r, Halls: hallsOf(r)})
		for _, s := range t.Services {
			for _, to := range regions {
				row := table.Row{Service: s.Name, From: r, To: to, Weight: 90, Cap: table.NoCap, Shift: 100}
				if to != r {
					row.Weight, row.Cap = 10, limit
				}
				t.Rows = append(t.Rows, row)
			}
		}
	}
	return t
}

// newSystem starts a system whose instances log warnings and errors.
func newSystem(t *testing.T, perHall int, limit int) *system {
	return newSystemAt(t, perHall, limit, "warn")
}

// newSystemAt starts a system with perHall instances in each hall, the given cap between
// regions, and a log level, and waits until all instances are ready.
func newSystemAt(t *testing.T, perHall int, limit int, logLevel string) *system {
	require.NoError(t, touchSources())
	s := &system{t: t, logLevel: logLevel, targets: make(map[string][]*process), lists: make(map[string]*node.TargetList), instances: make(map[string]*process), perHall: perHall}
	s.platform = start(t, "standin", "platform", "-listen", anyPort, "-control", anyPort)
	s.client = objectstore.NewClient("http://"+s.platform.service, 0)
	t.Cleanup(s.client.Close)
	want := testTable(limit)
	s.edit("start", func(tab *table.Table) { *tab = *want })
	var blocks []lookup.Block
	for i, r := range regions {
		for j, hall := range hallsOf(r) {
			s.halls = append(s.halls, hall)
			blocks = append(blocks, blockOf(2*i+j, hall))
			for _, service := range []string{reads, pays} {
				s.addTarget(hall, service)
			}
			s.publish(hall)
		}
	}
	require.NoError(t, lookup.StoreBlocks(context.Background(), s.client, blocks))
	for _, r := range regions {
		for _, hall := range hallsOf(r) {
			for i := range perHall {
				s.startInstance(r, hall, fmt.Sprintf("%s-%d", hall, i+1))
			}
		}
	}
	s.awaitReady()
	return s
}

func (s *system) addTarget(hall, service string) {
	id := fmt.Sprintf("%s-%s-%d", service, hall, len(s.targets[hall]))
	p := start(s.t, "standin", "target", "-id", id, "-listen", anyPort, "-control", anyPort, "-slots", "8", "-service-time", "10ms")
	s.targets[hall] = append(s.targets[hall], p)
	if s.lists[hall] == nil {
		s.lists[hall] = &node.TargetList{}
	}
	s.lists[hall].Targets = append(s.lists[hall].Targets, node.Target{ID: id, Service: service, Addr: p.service, Slots: 8})
}

// publish writes the target list of a hall to the platform.
func (s *system) publish(hall string) {
	key := node.TargetPrefix + hall
	obj, _ := s.client.Get(context.Background(), key)
	_, err := s.client.Put(context.Background(), key, obj.Version, s.lists[hall])
	require.NoError(s.t, err)
}

func (s *system) edit(what string, f func(*table.Table)) config.Change {
	s.t.Helper()
	editor := &config.Editor{Store: s.client, Operator: "test", Command: what, NewID: caller.NewKey, Now: time.Now}
	change, err := editor.Edit(context.Background(), func(t *table.Table) error {
		f(t)
		return nil
	})
	require.NoError(s.t, err)
	return change
}

func (s *system) startInstance(region, hall, name string, more ...string) *process {
	args := append([]string{
		"-name", name, "-region", region, "-hall", hall, "-secret", "test",
		"-listen", anyPort, "-hop-listen", anyPort, "-peer-listen", anyPort, "-admin-listen", anyPort,
		"-platform", "http://" + s.platform.service, "-lookup-ttl", "500ms", "-log-level", s.logLevel,
	}, more...)
	p := start(s.t, "rainfordd", args...)
	s.instances[name] = p
	return p
}

// listed returns the instances in the platform's list, by ID. It is empty if the platform
// doesn't respond.
func (s *system) listed() map[string]member.Instance {
	out := make(map[string]member.Instance)
	listing, err := s.client.List(context.Background(), node.InstancePrefix)
	if err != nil {
		return out
	}
	for _, obj := range listing.Objects {
		var in member.Instance
		require.NoError(s.t, json.Unmarshal(obj.Value, &in))
		out[in.ID] = in
	}
	return out
}

// status returns the status of the instance with an admin address. ok is false if the
// instance doesn't respond.
func status(addr string) (st node.Status, ok bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + addr + node.StatusPath)
	if err != nil {
		return st, false
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// await waits until done returns true and returns the time that this took. The test fails
// after 90 s.
func (s *system) await(what string, done func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > 90*time.Second {
			s.t.Fatalf("timed out: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// awaitReady waits until every instance is ready, receives the state of all others and
// holds seats (partitions of its hall's capacity).
func (s *system) awaitReady() {
	s.t.Helper()
	s.await("all instances ready", func() bool {
		ready := 0
		for _, in := range s.listed() {
			st, ok := status(in.AdminAddr)
			if ok && st.Ready && st.Seats > 0 && !st.Leaving && seesPeers(st, len(s.instances)-1) {
				ready++
			}
		}
		return ready >= len(s.instances)
	})
}

// awaitVersion waits until every instance that responds applies a version of the routing
// table that is at least number, and returns the time that this took.
func (s *system) awaitVersion(number int64) time.Duration {
	s.t.Helper()
	return s.await("version in force", func() bool {
		for _, in := range s.listed() {
			if st, ok := status(in.AdminAddr); ok && st.Version < number {
				return false
			}
		}
		return true
	})
}

// seesPeers reports whether an instance has received the state of at least count live peers.
func seesPeers(st node.Status, count int) bool {
	alive := 0
	for _, p := range st.Peers {
		if p.State == member.Live && p.Version > 0 {
			alive++
		}
	}
	return alive >= count
}

func (s *system) faults(f platformstore.Faults) {
	body, err := json.Marshal(f)
	require.NoError(s.t, err)
	put(s.t, "http://"+s.platform.control+platformstore.FaultsPath, body)
}

func put(t *testing.T, url string, body []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Less(t, resp.StatusCode, 300)
}

// runs returns the number of runs of each operation on all targets together, by its key.
func (s *system) runs() map[string]int {
	out := make(map[string]int)
	for _, hall := range s.halls {
		for _, p := range s.targets[hall] {
			resp, err := http.Get("http://" + p.control + backend.RunsPath)
			require.NoError(s.t, err)
			var sum backend.Summary
			require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&sum))
			_ = resp.Body.Close()
			for key, n := range sum.Keys {
				out[key] += n
			}
		}
	}
	return out
}

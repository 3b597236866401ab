//go:build review

// Package harness runs a small deployment for the cases of the review: the programs of the deploy file as
// separate processes on loopback addresses, beside stand-ins of the platform's store and of servers.
package harness

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rainford/rainford/internal/standin/objects"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Ports of every machine, relative to the first one.
const (
	portFront     = 0
	portControl   = 1
	portDirectory = 2
	portReady     = 3
	portInternal  = 4
	portCount     = 20
)

// maxSeeds is the number of seeds in the settings.
const maxSeeds = 3

// Bounds are those of the site that the cases name, in the form of the settings.
var Bounds = map[string]string{
	"gracePeriod": "6s", "retryBudgetRatio": "0.2", "retryBudgetSlack": "64", "maxShift": "0.15",
}

// Machine is a machine of the system, which runs a gateway and a look-up process.
type Machine struct {
	Name, Zone, Region, IP string
	port                   int
	// lookups is true if the machine runs a look-up process. One machine in each zone does.
	lookups   bool
	cluster   *Cluster
	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

// Front is the address for clients, and Directory that for look-ups.
func (m *Machine) Front() string     { return m.addr(portFront) }
func (m *Machine) Directory() string { return m.addr(portDirectory) }

func (m *Machine) addr(offset int) string { return fmt.Sprintf("%s:%d", m.IP, m.port+offset) }

// Cluster is a small deployment.
type Cluster struct {
	Store    *objects.Store
	Record   *Record
	Machines []*Machine
	root     string
	dir      string
	storeAt  string
	server   *http.Server
	first    bool
	// MaxFds is the limit on the descriptors of each process, 0 for that of the case itself.
	MaxFds uint64
}

// Zone is a zone with its region.
type Zone struct{ Name, Region string }

// New starts a store and prepares one machine for each of the zones, in which a zone may stand several times. The wrapper, if it is not nil, stands before
// the store.
func New(root string, record *Record, zones []Zone, wrap func(http.Handler) http.Handler) (*Cluster, error) {
	c := &Cluster{Store: objects.New(), Record: record, root: root, first: true}
	var err error
	c.dir, err = os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var handler http.Handler = c.Store
	if wrap != nil {
		handler = wrap(handler)
	}
	c.storeAt = ln.Addr().String()
	c.server = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(ln) }()
	port, err := freePorts(len(zones))
	if err != nil {
		return nil, err
	}
	count := make(map[string]int)
	for i, z := range zones {
		count[z.Name]++
		c.Machines = append(c.Machines, &Machine{Name: fmt.Sprintf("edge-%s-%d", z.Name, count[z.Name]), lookups: count[z.Name] == 1, Zone: z.Name, Region: z.Region,
			IP: machineIP(i), port: port, cluster: c, processes: make(map[string]*exec.Cmd)})
	}
	c.stopOnSignal()
	return c, nil
}

// stopOnSignal ends all processes when the case itself is ended.
func (c *Cluster) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.Stop()
		os.Exit(NotRun)
	}()
}

func machineIP(i int) string { return fmt.Sprintf("127.0.0.%d", 1+i) }

// freePorts returns the first of portCount ports that are free at all machines.
func freePorts(machines int) (int, error) {
	start := 13000 + os.Getpid()*37%15000
	for port := start; port < start+4000; port += portCount {
		if portsFree(machines, port) {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(machines, port int) bool {
	for i := range machines {
		for offset := range portCount {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(i), port+offset))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// Start starts all machines and waits until they are ready.
func (c *Cluster) Start() error {
	for _, m := range c.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	c.first = false
	return c.AwaitReady(10 * time.Second)
}

// AwaitReady waits until all machines say that they are ready.
func (c *Cluster) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range c.Machines {
		for !m.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Ready reports whether the machine says that it is ready.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Start starts the processes of the machine with the settings of this moment.
func (m *Machine) Start() error {
	if err := m.startRole("gateway", "instance.conf"); err != nil || !m.lookups {
		return err
	}
	return m.startRole("lookup", "lookup.conf")
}

func (m *Machine) startRole(role, template string) error {
	c := m.cluster
	words, err := roleCommand(c.root, role)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(filepath.Join(c.root, "deploy", template))
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, m.Name+"-"+role)
	if err = os.WriteFile(path, []byte(fill(string(raw), m.fields())), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(c.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, log, log
	cmd.Env = append(os.Environ(), "RAINFORD_NODE_FILE="+path)
	// The processes end with the case, whatever happens to it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	if c.MaxFds > 0 {
		limit := unix.Rlimit{Cur: c.MaxFds, Max: c.MaxFds}
		if err = unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			return err
		}
	}
	m.mu.Lock()
	m.processes[role] = cmd
	m.mu.Unlock()
	return nil
}

// fields returns the fields of the machine's settings file.
func (m *Machine) fields() map[string]any {
	zones := make(map[string]string)
	var seeds []string
	for _, other := range m.cluster.Machines {
		zones[other.Zone] = other.Region
		if other != m && len(seeds) < maxSeeds {
			seeds = append(seeds, other.addr(portControl))
		}
	}
	return map[string]any{
		"nodeName": m.Name, "zone": m.Zone, "region": m.Region, "ip": m.IP, "zones": zones, "seedNodes": seeds,
		"bootstrap": m.cluster.first, "bounds": Bounds,
		"internalPortRange": []int{m.port + portInternal, m.port + portCount - 1},
		"listenAddresses":   map[string]string{"frontend": m.Front(), "ready": m.addr(portReady), "directory": m.Directory()},
		"platform":          map[string]string{"address": m.cluster.storeAt},
		"limits":            map[string]string{"linkMbps": "1000", "cpuCores": "1", "cpuShare": "0.32"},
	}
}

// Kill kills the processes of the machine with SIGKILL and waits for their ends.
func (m *Machine) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for role, cmd := range m.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(m.processes, role)
	}
}

// Stop ends all processes and removes the temporary folder.
func (c *Cluster) Stop() {
	for _, m := range c.Machines {
		m.Kill()
	}
	_ = c.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one gateway instance over all of its processes.
type instance struct {
	site               *site
	name               string
	place              place
	settings           []string
	front, peer, store *proxy
	listen, lookup     string
	ready, peerListen  string
	admin              string

	mu      sync.Mutex
	cmd     *exec.Cmd
	log     *os.File
	runs    int
	stopped bool
	// heldUntil is the time before which no process is started.
	heldUntil time.Time
	// expected is set while the process is meant to exit.
	expected bool
	ended    chan struct{}
}

func (in *instance) args() []string {
	var seeds []string
	for _, other := range in.site.instances {
		if other != in && len(seeds) < 3 {
			seeds = append(seeds, other.peer.addr())
		}
	}
	return append([]string{"gateway", "-name", in.name, "-hall", in.place.hall, "-region", in.place.region, "-halls", hallsSetting(),
		"-listen", in.listen, "-lookup-listen", in.lookup, "-ready-listen", in.ready, "-peer-listen", in.peerListen, "-admin-listen", in.admin,
		"-advertise-front", in.front.addr(), "-advertise-peer", in.peer.addr(), "-store", in.store.addr(),
		"-peers", strings.Join(seeds, ","), "-grace", grace.String(), "-lookup-ttl", "1s",
		"-canary-share", fmt.Sprint(exposedShare), "-canary-slack", fmt.Sprint(exposedSlack)}, in.settings...)
}

// start starts a process of the instance. Whenever the process exits before the end of the
// run, another one is started.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return nil
	}
	cmd := exec.Command(in.site.program, in.args()...)
	cmd.Stdout, cmd.Stderr = in.log, in.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), linkFileVariable + "=" + in.linkFile()}
	err := cmd.Start()
	if err != nil {
		return err
	}
	in.cmd, in.expected, in.ended = cmd, false, make(chan struct{})
	in.runs++
	in.site.oracle.disturbed(in.name, time.Now())
	go in.await(cmd, in.ended)
	return nil
}

func (in *instance) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	in.mu.Lock()
	expected, stopped := in.expected, in.stopped
	in.mu.Unlock()
	close(ended)
	in.site.oracle.ended(in.name, expected || stopped, err)
	if stopped {
		return
	}
	time.Sleep(restartAfter)
	in.mu.Lock()
	held := time.Until(in.heldUntil)
	in.mu.Unlock()
	time.Sleep(held)
	_ = in.start()
}

// holdUntil delays the next start of a process until the given time.
func (in *instance) holdUntil(until time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.heldUntil = until
}

// isHeld reports whether the next start of a process is delayed.
func (in *instance) isHeld() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return time.Now().Before(in.heldUntil)
}

// signal sends a signal to the process. The argument ends states that the signal makes the
// process exit.
func (in *instance) signal(sig syscall.Signal, ends bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	if ends {
		in.expected = true
	}
	_ = in.cmd.Process.Signal(sig)
}

// end stops the instance and its proxies. The instance does not restart.
func (in *instance) end() {
	in.mu.Lock()
	in.stopped = true
	cmd, ended := in.cmd, in.ended
	in.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	}
	for _, p := range []*proxy{in.front, in.peer, in.store} {
		p.close()
	}
	_ = in.log.Close()
}

// memory returns the resident memory in bytes and the number of open descriptors of the
// process. Both are zero if they cannot be read.
func (in *instance) memory() (resident int64, descriptors int) {
	in.mu.Lock()
	cmd := in.cmd
	in.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0, 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	var size, pages int64
	_, _ = fmt.Fscan(bytes.NewReader(raw), &size, &pages)
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	return pages * int64(os.Getpagesize()), len(entries)
}

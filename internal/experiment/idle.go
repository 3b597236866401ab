package experiment

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/demo"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/table"
)

// IdleResult holds the cost of the control traffic while no requests are served.
type IdleResult struct {
	Halls     int `json:"halls"`
	Instances int `json:"instances"`
	// CorePercent is the processor time per instance in percent of a core. It
	// includes the processor time of the platform stand-in and of the targets, which
	// run in the same process.
	CorePercent float64 `json:"core_percent"`
	// HeapKB is the live heap per instance, in KiB.
	HeapKB float64 `json:"heap_kb"`
	// SentBytes and ReceivedBytes are the bytes per second that one instance
	// exchanges with other instances, on average.
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	// Reads and Writes are the calls to the platform per second, from all instances
	// together.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// OutageReads is the largest number of reads in one second after an outage of the
	// platform.
	OutageReads float64 `json:"outage_reads"`
	// InForceSeconds is the longest time until a change of the routing table was in
	// force at every instance.
	InForceSeconds float64 `json:"in_force_seconds"`
}

// IdleSize is the size of the estate of an idle run.
type IdleSize struct {
	Regions int
	// PerHall is the number of instances in each hall.
	PerHall int
}

const (
	// idleSettle is the time between the start of the estate and the measurement.
	idleSettle = 12 * time.Second
	// idleChanges is the number of changes of the routing table that are timed.
	idleChanges = 5
)

// Idle runs an estate without requests and measures the cost of its control traffic over
// the given length of time.
func Idle(ctx context.Context, size IdleSize, length time.Duration) (*IdleResult, error) {
	estate := demo.EstateDesk()
	estate.PerHall = size.PerHall
	estate.Regions = nil
	for i := range size.Regions {
		estate.Regions = append(estate.Regions, fmt.Sprintf("region-%02d", i))
	}
	estate.Services = estate.Services[:1]
	estate.Services[0].Targets = 2 * size.Regions
	before := liveHeap()
	cluster, err := demo.Start(ctx, demo.Options{Estate: estate, Limits: platformstore.Limits{}, Change: func(c *node.Config) { c.OnAdmit = nil }})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	time.Sleep(idleSettle)
	n := float64(len(cluster.Instances()))
	result := &IdleResult{Halls: len(estate.AllHalls()), Instances: int(n), HeapKB: (liveHeap() - before) / n / 1024}
	measureIdle(cluster, length, result)
	result.InForceSeconds, err = maxInForce(ctx, cluster)
	result.OutageReads = readsAfterOutage(cluster)
	return result, err
}

const (
	// outage is the duration of the platform's outage.
	outage = 8 * time.Second
	// outageWindow is the number of seconds after the outage that are measured.
	outageWindow = 8
)

// readsAfterOutage makes the platform unreachable for the duration of an outage. It
// returns the largest number of reads in one second afterwards.
func readsAfterOutage(cluster *demo.Cluster) float64 {
	cluster.SetFaults(platformstore.Faults{Down: true})
	time.Sleep(outage)
	cluster.SetFaults(platformstore.Faults{})
	most, last := int64(0), counts(cluster).Reads
	for range outageWindow {
		time.Sleep(time.Second)
		now := counts(cluster).Reads
		most = max(most, now-last)
		last = now
	}
	return float64(most)
}

// measureIdle sets the processor time, the bytes between instances and the calls to the
// platform in result, measured over length.
func measureIdle(cluster *demo.Cluster, length time.Duration, result *IdleResult) {
	n := float64(result.Instances)
	sent, received, calls := 0.0, 0.0, counts(cluster)
	for _, in := range cluster.Instances() {
		st := in.Status()
		sent -= float64(st.PeerBytesSent)
		received -= float64(st.PeerBytesReceived)
	}
	cpu := cpuSeconds()
	time.Sleep(length)
	used := cpuSeconds() - cpu
	after := counts(cluster)
	for _, in := range cluster.Instances() {
		st := in.Status()
		sent += float64(st.PeerBytesSent)
		received += float64(st.PeerBytesReceived)
	}
	seconds := length.Seconds()
	result.CorePercent = 100 * used / seconds / n
	result.SentBytes = sent / seconds / n
	result.ReceivedBytes = received / seconds / n
	result.Reads = float64(after.Reads-calls.Reads) / seconds
	result.Writes = float64(after.Writes-calls.Writes) / seconds
}

// counts returns the calls to the platform over the links of all halls.
func counts(cluster *demo.Cluster) platformstore.Counts {
	var sum platformstore.Counts
	for _, link := range cluster.Links {
		c := link.Counts()
		sum.Reads += c.Reads
		sum.Writes += c.Writes
	}
	return sum
}

// maxInForce makes idleChanges changes of the routing table and returns the longest time,
// in seconds, until one was in force at every instance.
func maxInForce(ctx context.Context, cluster *demo.Cluster) (float64, error) {
	worst := 0.0
	for i := range idleChanges {
		change, err := cluster.Editor("change").Edit(ctx, func(t *table.Table) error {
			t.Rows[0].Weight = 1000 + i
			return nil
		})
		if err != nil {
			return 0, err
		}
		began := time.Now()
		err = cluster.AwaitVersion(ctx, change.Number)
		if err != nil {
			return 0, err
		}
		worst = max(worst, time.Since(began).Seconds())
	}
	return worst, nil
}

// cpuSeconds returns the processor time that this process has used.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

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

// IdleResult is what control costs while no request is served.
type IdleResult struct {
	Halls     int `json:"halls"`
	Instances int `json:"instances"`
	// CorePercent is the processor time of one instance in percent of a
	// core, the platform stand-in's part included.
	CorePercent float64 `json:"core_percent"`
	// HeapKB is the live heap of one instance.
	HeapKB float64 `json:"heap_kb"`
	// SentBytes and ReceivedBytes are a second's bytes between instances, for
	// one instance.
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	// Reads and Writes are the platform's calls a second, for all.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// OutageReads are the most reads in any second after an outage of the
	// platform has ended.
	OutageReads float64 `json:"outage_reads"`
	// InForceSeconds is the longest of some changes, until in force at all.
	InForceSeconds float64 `json:"in_force_seconds"`
}

// IdleSize is the size of an idle run.
type IdleSize struct {
	Regions int
	PerHall int
}

const (
	idleSettle  = 12 * time.Second
	idleChanges = 5
)

// Idle runs an estate without requests for a time and measures what control
// costs.
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
	result.InForceSeconds, err = worstInForce(ctx, cluster)
	result.OutageReads = readsAfterOutage(cluster)
	return result, err
}

const (
	outage       = 8 * time.Second
	outageWindow = 8
)

// readsAfterOutage takes the platform away for a time and returns the most
// reads in any second after it is back.
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

func counts(cluster *demo.Cluster) platformstore.Counts {
	var sum platformstore.Counts
	for _, link := range cluster.Links {
		c := link.Counts()
		sum.Reads += c.Reads
		sum.Writes += c.Writes
	}
	return sum
}

func worstInForce(ctx context.Context, cluster *demo.Cluster) (float64, error) {
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

// cpuSeconds returns the processor time of this process so far.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

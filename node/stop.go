package node

import (
	"context"
	"time"

	"github.com/rainford/rainford/internal/pause"
)

const (
	// minLinger is the least time for which a stopping instance continues to serve. It exceeds
	// the time for which other instances keep idle connections to it.
	minLinger = 3 * time.Second
	// hopDrainTime is the last part of that time, in which other instances send no requests. It
	// exceeds the heartbeat interval and the time-out of idle connections between instances.
	hopDrainTime = 2500 * time.Millisecond
	// maxFlushTime bounds the wait for the recording of ended claims during a stop.
	maxFlushTime = 5 * time.Second
	// finalHeartbeats is the number of additional rounds of heartbeats that announce the
	// released seats.
	finalHeartbeats = 3
)

// stop ends the instance without cutting off requests, unless the stop takes longer than
// MaxDrainTime. It takes these steps:
//
//   - The instance is no longer listed in look-ups or selected by other halls, and it releases half of
//     its seats.
//   - It continues to serve for as long as callers may cache a look-up. Other instances of its hall
//     may send requests to it during the first part of this time.
//   - It waits for the requests in flight, including uploads.
//   - It releases its remaining seats and announces this to its peers.
//   - It removes its record from the store.
func (n *Node) stop() error {
	startedAt := time.Now()
	n.mu.Lock()
	n.leaving = true
	n.ledger.StopLending()
	n.agent.Retire()
	n.rebuildFleet(startedAt)
	n.mu.Unlock()
	n.triggerHeartbeat()
	n.log.Info("stopping", "linger", max(n.config.LookupTTL, minLinger).String())

	ctx, cancel := n.drainContext()
	defer cancel()
	go n.register(ctx)
	linger := max(n.config.LookupTTL, minLinger)
	pause.For(ctx, linger-hopDrainTime)
	n.mu.Lock()
	n.hopsClosed = true
	n.mu.Unlock()
	n.triggerHeartbeat()
	pause.For(ctx, hopDrainTime)
	interrupted := n.shutdownServers(ctx)
	flushCtx, stopFlush := context.WithTimeout(ctx, maxFlushTime)
	n.claims.flush(flushCtx)
	stopFlush()
	n.releaseSeats(ctx)
	n.deregister()
	n.cancel()
	_ = n.listeners.peer.Close()
	n.mesh.Close()
	n.wg.Wait()
	n.entry.Close()
	n.store.Close()
	n.log.Info("stopped", "seconds", time.Since(startedAt).Seconds(), "cut", interrupted)
	return n.metrics.Close(context.Background())
}

// abort stops the instance without the steps of a graceful stop.
func (n *Node) abort() error {
	n.cancel()
	_ = n.listeners.peer.Close()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.mesh.Close()
	n.wg.Wait()
	n.entry.Close()
	n.store.Close()
	return n.metrics.Close(context.Background())
}

func (n *Node) drainContext() (context.Context, context.CancelFunc) {
	if n.config.MaxDrainTime > 0 {
		return context.WithTimeout(context.Background(), n.config.MaxDrainTime)
	}
	return context.WithCancel(context.Background())
}

// shutdownServers waits for the requests in flight. It returns the number of requests that were
// cut off because ctx ended first.
func (n *Node) shutdownServers(ctx context.Context) int {
	interrupted := 0
	for _, server := range n.servers {
		err := server.Shutdown(ctx)
		if err != nil {
			interrupted = n.hall.InFlight()
			_ = server.Close()
		}
	}
	return interrupted
}

// releaseSeats releases all seats and announces this to the peers, which record it in the
// roster. It does not wait for the end of loans. Seats whose units are lent pass to other
// instances when the lease ends.
func (n *Node) releaseSeats(ctx context.Context) {
	n.mu.Lock()
	n.agent.Leave()
	n.mu.Unlock()
	n.triggerHeartbeat()
	pause.For(ctx, n.config.Timing.Window+n.config.Heartbeat)
	for range finalHeartbeats {
		n.triggerHeartbeat()
		pause.For(ctx, n.config.Heartbeat/2)
	}
}

func (n *Node) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.mu.Lock()
	obj := n.objects.byKey[InstancePrefix+n.self.ID]
	n.mu.Unlock()
	if obj.Version == 0 || obj.Deleted {
		return
	}
	err := n.store.Delete(ctx, obj.Key, obj.Version)
	n.log.Debug("deregistration", "error", errText(err))
}

package node

import (
	"context"
	"time"

	"github.com/rainford/rainford/internal/pause"
)

const (
	// minLinger is the shortest time that a stopping instance goes on
	// serving. It outlasts the idle connections that others keep to it.
	minLinger = 3 * time.Second
	// hopDrainTime is the part of the linger in which other instances send nothing
	// more: longer than a heartbeat and the idle time of their connections.
	hopDrainTime = 2500 * time.Millisecond
	// maxFlushTime bounds the wait for the ends of claims at a stop.
	maxFlushTime = 5 * time.Second
	// finalHeartbeats is the number of rounds in which the last state is told.
	finalHeartbeats = 3
)

// stop ends the instance without cutting off a request:
//
//   - it drops out of look-ups and of other halls' choices at once, and gives
//     half of its seats back;
//   - it serves on for the time that callers may keep a look-up, and its hall's
//     other instances may send to it for the first part of that;
//   - it waits for the requests in flight, uploads included;
//   - it gives its other seats back and tells its peers so;
//   - it takes itself off the platform's list.
func (n *Node) stop() error {
	began := time.Now()
	n.mu.Lock()
	n.leaving = true
	n.ledger.StopLending()
	n.agent.Retire()
	n.rebuildFleet(began)
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
	cut := n.shutdownServers(ctx)
	flush, stopFlush := context.WithTimeout(ctx, maxFlushTime)
	n.claims.flush(flush)
	stopFlush()
	n.releaseSeats(ctx)
	n.deregister()
	n.cancel()
	_ = n.listeners.peer.Close()
	n.mesh.Close()
	n.wg.Wait()
	n.entry.Close()
	n.store.Close()
	n.log.Info("stopped", "seconds", time.Since(began).Seconds(), "cut", cut)
	return n.metrics.Close(context.Background())
}

// abort ends the instance without any of the steps of stop.
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

// shutdownServers waits for the requests in flight. It returns the number of
// requests cut off because ctx ended first.
func (n *Node) shutdownServers(ctx context.Context) int {
	cut := 0
	for _, server := range n.servers {
		err := server.Shutdown(ctx)
		if err != nil {
			cut = n.hall.InFlight()
			_ = server.Close()
		}
	}
	return cut
}

// releaseSeats returns the seats and tells the peers, which write it down. It does
// not wait for loans: the seats that they hold back pass on when the lease ends.
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
	n.log.Debug("deregister", "error", errText(err))
}

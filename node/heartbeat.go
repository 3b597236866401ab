package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/seat"
)

// heartbeatLoop sends a round of heartbeats at every interval, and at once after a call of
// triggerHeartbeat.
func (n *Node) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(n.config.Heartbeat)
	defer ticker.Stop()
	for {
		n.heartbeat(ctx)
		select {
		case <-ticker.C:
		case <-n.heartbeatNow:
		case <-ctx.Done():
			return
		}
	}
}

// outgoing is a message and the peer address to which it is sent.
type outgoing struct {
	addr string
	msg  peer.Message
}

func (n *Node) heartbeat(ctx context.Context) {
	now := time.Now()
	n.mu.Lock()
	n.round++
	n.agent.BeginRound(now)
	n.agent.Tick(now, n.ledger.LastLoanEnd())
	n.updateSeats(now)
	n.ledger.Observe(now, n.isWarm)
	n.view.Forget(now)
	n.rebuildFleet(now)
	messages := n.messages(now)
	write := n.agent.Propose(now)
	n.mu.Unlock()
	for _, m := range messages {
		n.mesh.Send(m.addr, m.msg)
	}
	if write != nil {
		n.start(func() { n.writeRoster(ctx, write) })
	}
}

// messages returns the heartbeats and the loan requests of one round.
func (n *Node) messages(now time.Time) []outgoing {
	hb := n.heartbeatOf(now)
	recipients := n.view.Recipients(now, n.round)
	out := make([]outgoing, 0, len(recipients)+len(n.config.Bootstrap))
	for _, in := range recipients {
		msg := *hb
		msg.Seat = n.agent.Heartbeat(now, in.ID)
		if in.Hall == n.self.Hall {
			// Instances of the own hall receive these heartbeats directly.
			msg.Heard = nil
		}
		out = append(out, outgoing{in.PeerAddr, &peer.Heartbeat{Heartbeat: msg}})
	}
	if len(recipients) == 0 {
		for _, addr := range n.config.Bootstrap {
			if addr != n.self.PeerAddr {
				out = append(out, outgoing{addr, &peer.Heartbeat{Heartbeat: *hb}})
			}
		}
	}
	return append(out, n.loanRequests(now)...)
}

func (n *Node) heartbeatOf(now time.Time) *member.Heartbeat {
	hb := &member.Heartbeat{
		From:    n.self,
		Ready:   n.ready(),
		Config:  n.Version(),
		Targets: n.objects.version(TargetPrefix + n.self.Hall),
		Loads:   n.hall.Loads(now),
		Heard:   n.view.HeardInHall(now),
	}
	hb.From.Leaving = n.leaving
	if n.hopsClosed {
		hb.Loads = nil
	}
	return hb
}

// lendersPerRow is the number of instances that one round requests a loan from, for each row.
const lendersPerRow = 2

// loanRequests returns the loan requests of one round. They are sent to random live instances
// of the own region.
func (n *Node) loanRequests(now time.Time) []outgoing {
	var lenders []string
	for _, s := range n.view.All(now) {
		if s.Region == n.self.Region && s.State == member.Live {
			lenders = append(lenders, s.PeerAddr)
		}
	}
	if len(lenders) == 0 || n.leaving {
		return nil
	}
	var out []outgoing
	for i, request := range n.ledger.LoanRequests(now, min(lendersPerRow, len(lenders))) {
		if i%lendersPerRow == 0 {
			n.rand.Shuffle(len(lenders), func(a, b int) { lenders[a], lenders[b] = lenders[b], lenders[a] })
		}
		out = append(out, outgoing{lenders[i%len(lenders)], &peer.LoanRequest{LoanRequest: request}})
	}
	return out
}

// Receive implements peer.Receiver.
func (n *Node) Receive(from string, m peer.Message) {
	switch msg := m.(type) {
	case *peer.Heartbeat:
		n.handleHeartbeat(msg.Heartbeat)
	case *peer.LoanRequest:
		n.handleLoanRequest(from, msg)
	case *peer.Loan:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.ledger.Receive(time.Now(), msg.Loan)
	case *peer.Pull:
		n.handlePull(from, msg)
	case *peer.Claim:
		n.handleClaim(from, msg)
	case *peer.ClaimReply:
		n.claims.handleReply(msg)
	case *peer.Object:
		n.applyObjects([]objectstore.Object{{Key: msg.Key, Version: msg.Version, Value: msg.Value}})
	}
}

// Unreachable implements peer.Receiver.
func (n *Node) Unreachable(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.MarkUnreachable(addr)
	n.fleetStale = true
}

func (n *Node) handleHeartbeat(hb member.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.view.HandleHeartbeat(now, hb)
	n.fleetStale = true
	for _, l := range hb.Loads {
		delete(n.sentSinceHeartbeat, instanceService{hb.From.ID, l.Service})
	}
	if hb.From.Hall == n.self.Hall {
		n.agent.HandleHeartbeat(now, hb.From.ID, hb.Seat)
		n.ledger.SetSeats(n.agent.Held(now), n.agent.LeaseEnd())
	}
	n.requestNewer(hb)
}

// requestNewer requests the objects of which the sender of a heartbeat has a newer version.
func (n *Node) requestNewer(hb member.Heartbeat) {
	if hb.Config > n.Version() {
		n.mesh.Send(hb.From.PeerAddr, &peer.Pull{Key: config.Key, Version: n.objects.version(config.Key)})
		if n.Version() == 0 {
			n.mesh.Send(hb.From.PeerAddr, &peer.Pull{Key: lookup.BlockKeyPrefix})
		}
	}
	key := TargetPrefix + n.self.Hall
	if hb.From.Hall == n.self.Hall && hb.Targets > n.objects.version(key) {
		n.mesh.Send(hb.From.PeerAddr, &peer.Pull{Key: key, Version: n.objects.version(key)})
	}
}

// handlePull sends the newer objects with the requested prefix to another instance.
func (n *Node) handlePull(from string, msg *peer.Pull) {
	n.mu.Lock()
	addr := n.peerAddr(from)
	var objs []objectstore.Object
	for _, obj := range n.objects.withPrefix(msg.Key) {
		if obj.Version > msg.Version && isGossiped(obj.Key) {
			objs = append(objs, obj)
		}
	}
	n.mu.Unlock()
	if addr == "" {
		return
	}
	for _, obj := range objs {
		n.mesh.Send(addr, peer.NewObject(obj))
	}
}

// isGossiped reports whether instances send an object to each other. Rosters are read only from
// the store.
func isGossiped(key string) bool {
	return key == config.Key || strings.HasPrefix(key, TargetPrefix) || strings.HasPrefix(key, lookup.BlockKeyPrefix)
}

func (n *Node) peerAddr(id string) string {
	s, _ := n.view.Get(time.Now(), id)
	return s.PeerAddr
}

func (n *Node) handleLoanRequest(from string, msg *peer.LoanRequest) {
	n.mu.Lock()
	loan, ok := n.ledger.Lend(time.Now(), msg.LoanRequest)
	addr := n.peerAddr(from)
	n.mu.Unlock()
	if ok && addr != "" {
		n.mesh.Send(addr, &peer.Loan{Loan: loan})
	}
}

func (n *Node) handleClaim(from string, msg *peer.Claim) {
	n.mu.Lock()
	addr := n.peerAddr(from)
	n.mu.Unlock()
	if addr != "" {
		n.claims.serve(addr, msg)
	}
}

// refreshInterval is the least time between two rebuilds of the fleet snapshot by refreshLoop.
const refreshInterval = 50 * time.Millisecond

// refreshLoop runs the timers of queued requests and rebuilds the fleet snapshot when it is
// stale.
func (n *Node) refreshLoop(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			n.hall.Tick(now)
			n.mu.Lock()
			if n.fleetStale {
				n.rebuildFleet(now)
			}
			n.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// writeRoster writes a roster to the store and reports the result to the agent.
func (n *Node) writeRoster(ctx context.Context, w *seat.Write) {
	key := RosterPrefix + n.self.Hall
	obj, err := n.store.Put(ctx, key, w.Version, w.Roster)
	var conflict *objectstore.ConflictError
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		n.applyRoster(w.Roster, obj.Version)
	case errors.As(err, &conflict):
		n.agent.WriteFailed(w)
		if conflict.Current.Version > 0 {
			n.setRoster(conflict.Current)
		}
	case errors.Is(err, objectstore.ErrUncertain):
		n.agent.WriteUncertain(w)
	default:
		n.agent.WriteFailed(w)
	}
}

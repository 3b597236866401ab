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

// heartbeatLoop sends a round of heartbeats each period, and at once when
// something is to be announced.
func (n *Node) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(n.config.Heartbeat)
	defer ticker.Stop()
	for {
		n.heartbeat(ctx)
		select {
		case <-ticker.C:
		case <-n.kick:
		case <-ctx.Done():
			return
		}
	}
}

// outgoing is a message with its address.
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
	n.ledger.Observe(now, n.warm)
	n.view.Forget(now)
	n.rebuild(now)
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

// messages makes the heartbeats and the asks of one round.
func (n *Node) messages(now time.Time) []outgoing {
	hb := n.heartbeatOf(now)
	recipients := n.view.Recipients(now, n.round)
	out := make([]outgoing, 0, len(recipients)+len(n.config.Bootstrap))
	for _, in := range recipients {
		msg := *hb
		msg.Seat = n.agent.Heartbeat(now, in.ID)
		if in.Hall == n.self.Hall {
			// They hear each other themselves.
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
	return append(out, n.asks(now)...)
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
	if n.closing {
		hb.Loads = nil
	}
	return hb
}

// askCount is the number of lenders asked for one row at a time.
const askCount = 2

// asks makes the requests for loans, to instances of the own region drawn at
// random.
func (n *Node) asks(now time.Time) []outgoing {
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
	for i, ask := range n.ledger.LoanRequests(now, min(askCount, len(lenders))) {
		if i%askCount == 0 {
			n.rand.Shuffle(len(lenders), func(a, b int) { lenders[a], lenders[b] = lenders[b], lenders[a] })
		}
		out = append(out, outgoing{lenders[i%len(lenders)], &peer.LoanRequest{LoanRequest: ask}})
	}
	return out
}

// Receive implements peer.Receiver.
func (n *Node) Receive(from string, m peer.Message) {
	switch msg := m.(type) {
	case *peer.Heartbeat:
		n.hear(msg.Heartbeat)
	case *peer.LoanRequest:
		n.lend(from, msg)
	case *peer.Loan:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.ledger.Receive(time.Now(), msg.Loan)
	case *peer.Pull:
		n.answerPull(from, msg)
	case *peer.Claim:
		n.serveClaim(from, msg)
	case *peer.ClaimReply:
		n.claims.receive(msg)
	case *peer.Object:
		n.takeIn([]objectstore.Object{{Key: msg.Key, Version: msg.Version, Value: msg.Value}})
	}
}

// Unreachable implements peer.Receiver.
func (n *Node) Unreachable(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.MarkUnreachable(addr)
	n.fleetOld = true
}

func (n *Node) hear(hb member.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.view.HandleHeartbeat(now, hb)
	n.fleetOld = true
	for _, l := range hb.Loads {
		delete(n.sent, offer{hb.From.ID, l.Service})
	}
	if hb.From.Hall == n.self.Hall {
		n.agent.HandleHeartbeat(now, hb.From.ID, hb.Seat)
		n.ledger.SetSeats(n.agent.Held(now), n.agent.LeaseEnd())
	}
	n.pull(hb)
}

// pull asks the sender of a heartbeat for what it has newer.
func (n *Node) pull(hb member.Heartbeat) {
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

// answerPull passes the objects below a key on.
func (n *Node) answerPull(from string, msg *peer.Pull) {
	n.mu.Lock()
	addr := n.addrOf(from)
	var objs []objectstore.Object
	for _, obj := range n.objects.below(msg.Key) {
		if obj.Version > msg.Version && shared(obj.Key) {
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

// shared tells whether instances pass an object on to each other. Rosters go
// by the platform alone.
func shared(key string) bool {
	return key == config.Key || strings.HasPrefix(key, TargetPrefix) || strings.HasPrefix(key, lookup.BlockKeyPrefix)
}

func (n *Node) addrOf(id string) string {
	s, _ := n.view.Get(time.Now(), id)
	return s.PeerAddr
}

func (n *Node) lend(from string, msg *peer.LoanRequest) {
	n.mu.Lock()
	loan, ok := n.ledger.Lend(time.Now(), msg.LoanRequest)
	addr := n.addrOf(from)
	n.mu.Unlock()
	if ok && addr != "" {
		n.mesh.Send(addr, &peer.Loan{Loan: loan})
	}
}

func (n *Node) serveClaim(from string, msg *peer.Claim) {
	n.mu.Lock()
	addr := n.addrOf(from)
	n.mu.Unlock()
	if addr != "" {
		n.claims.serve(addr, msg)
	}
}

// refreshEvery bounds how often the fleet is made anew.
const refreshEvery = 50 * time.Millisecond

// refreshLoop keeps what requests read up to date.
func (n *Node) refreshLoop(ctx context.Context) {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			n.hall.Tick(now)
			n.mu.Lock()
			if n.fleetOld {
				n.rebuild(now)
			}
			n.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// writeRoster tries a write of the roster and tells the agent what became of
// it.
func (n *Node) writeRoster(ctx context.Context, w *seat.Write) {
	key := RosterPrefix + n.self.Hall
	obj, err := n.store.Put(ctx, key, w.Version, w.Roster)
	var conflict *objectstore.ConflictError
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		n.learnRoster(w.Roster, obj.Version)
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

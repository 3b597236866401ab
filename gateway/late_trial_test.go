package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

// suspectContent returns a request whose trials an instance coordinates.
func suspectContent(t *testing.T, g *Gateway, coordinator string) quarantine.Content {
	for i := range 64 {
		c := quarantine.Content{URI: string(rune('a' + i))}
		if g.coordinatorFor(g.clock.Now(), c.Digest(), true).Name == coordinator {
			return c
		}
	}
	require.FailNow(t, "the instance is the coordinator of no request")
	return quarantine.Content{}
}

// awaitMessage waits for the next message of a type that the peer receives.
func awaitMessage[M peer.Message](t *testing.T, n *fakePeer) M {
	deadline := time.After(5 * time.Second)
	for {
		select {
		case m := <-n.messages:
			if message, ok := m.(M); ok {
				return message
			}
		case <-deadline:
			require.FailNow(t, "the peer did not receive the message")
		}
	}
}

// TestLateTrialReplyIsNotTakenForNextRequest guards against two trials of a request at once: a grant
// that arrives after its trial request has timed out must not count for the next one, whose own reply
// may be a refusal.
func TestLateTrialReplyIsNotTakenForNextRequest(t *testing.T) {
	g := newTestGateway(t)
	n := newFakePeer(t, "n0")
	g.registered["n0"] = n.member
	d := suspectContent(t, g, "n0").Digest()
	// After a failed trial the coordinator remains the same, though it does not reply.
	g.quarantine.table.RecordCrash(g.clock.Now(), d, "", 1, true)
	request := func() bool {
		ex := &exchange{ctx: t.Context(), digest: d, deadline: g.clock.Now().Add(time.Second)}
		granted, _ := g.acquireTrial(ex, d)
		return granted
	}
	require.False(t, request())
	first := awaitMessage[*peer.TrialRequest](t, n)
	granted := make(chan bool)
	go func() { granted <- request() }()
	second := awaitMessage[*peer.TrialRequest](t, n)
	g.receiveTrialReply(&peer.TrialReply{Digest: d, Number: first.Number, Granted: true})
	g.receiveTrialReply(&peer.TrialReply{Digest: d, Number: second.Number})
	require.False(t, <-granted)
	// A request counts its own grant, unless that is late as well.
	require.Eventually(t, func() bool {
		go func() { granted <- request() }()
		own := awaitMessage[*peer.TrialRequest](t, n)
		g.receiveTrialReply(&peer.TrialReply{Digest: d, Number: own.Number, Granted: true})
		return <-granted
	}, 5*time.Second, time.Millisecond)
}

// TestLateTrialEndDoesNotReleaseNextTrial guards against two trials of a request at once: the end of
// an instance's earlier trial must not release the lease of its next one.
func TestLateTrialEndDoesNotReleaseNextTrial(t *testing.T) {
	g := newTestGateway(t)
	n := newFakePeer(t, "n0")
	now := g.clock.Now()
	d := quarantine.Content{URI: "a"}.Digest()
	g.quarantine.table.RecordCrash(now, d, "", 1, false)
	g.quarantine.table.RecordCrash(now, d, "", 2, false)
	const short, long = 20 * time.Millisecond, time.Minute
	isGranted := func(from string, number uint64, timeout time.Duration) bool {
		g.receiveTrialRequest(&peer.TrialRequest{Digest: d, From: from, ReplyTo: n.member.PeerAddr, Number: number, Timeout: timeout})
		reply := awaitMessage[*peer.TrialReply](t, n)
		require.Equal(t, number, reply.Number)
		return reply.Granted
	}
	require.True(t, isGranted("n1", 1, short))
	time.Sleep(2 * short)
	require.True(t, isGranted("n1", 2, long))
	g.receiveTrialRequest(&peer.TrialRequest{Digest: d, From: "n1", Number: 1, Done: true, Answered: true})
	require.False(t, isGranted("n2", 1, long))
	g.receiveTrialRequest(&peer.TrialRequest{Digest: d, From: "n1", Number: 2, Done: true, Answered: true})
	require.True(t, isGranted("n2", 2, long))
}

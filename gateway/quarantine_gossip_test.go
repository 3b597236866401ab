package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

// TestMissedQuarantineUpdatesAreSent checks that an instance that lacks updates on held requests receives
// them in reply to its first gossip, and that one with the same checksum gets no reply.
func TestMissedQuarantineUpdatesAreSent(t *testing.T) {
	g := newTestGateway(t)
	now := g.clock.Now()
	d := quarantine.Content{URI: "/ends/"}.Digest()
	for i := range 3 {
		g.quarantine.table.RecordCrash(now, d, "", quarantine.TargetID(i), i == 2)
	}
	g.quarantine.updateNonEmpty()
	late := newFakePeer(t, "n0")
	gossip := func(sum uint32) {
		late.heartbeat.Sequence++
		g.Receive(late.addr, &peer.Gossip{Heartbeats: fleet.Heartbeats{late.heartbeat}, Member: &late.member, QuarantineChecksum: sum})
	}
	gossip(0)
	reply, ok := late.next(t).(*peer.Gossip)
	require.True(t, ok)
	require.True(t, reply.Reply)
	var table quarantine.Table
	table.Merge(now, reply.Quarantine)
	require.Equal(t, quarantine.Held, table.Status(now, d).Verdict)
	require.Equal(t, reply.QuarantineChecksum, table.Checksum())
	gossip(table.Checksum())
	select {
	case m := <-late.messages:
		require.Fail(t, "sent updates that the peer already has", "%+v", m)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestReleaseAppliesInAnyOrder checks that a release takes effect also if it is read before the crashes that
// it covers, and that it does not cover later crashes.
func TestReleaseAppliesInAnyOrder(t *testing.T) {
	d := quarantine.Content{URI: "/ends/"}.Digest()
	day := time.Now().Add(-time.Minute)
	held := quarantine.StoredRecord{Digest: d}
	for i := range 3 {
		held.Crashes = append(held.Crashes, quarantine.StoredCrash{Target: quarantine.TargetID(i), At: day.UnixMilli(), Trial: i == 2})
	}
	release := quarantine.StoredRecord{Digest: d, Released: day.Add(time.Second).UnixMilli(), ReleasedBy: "ama"}
	later := held
	later.Crashes = []quarantine.StoredCrash{{Target: 7, At: day.Add(2 * time.Second).UnixMilli()}, {Target: 8, At: day.Add(2 * time.Second).UnixMilli()}, {Target: 9, At: day.Add(2 * time.Second).UnixMilli(), Trial: true}}
	for name, c := range map[string]struct {
		records []quarantine.StoredRecord
		want    int
	}{
		"release first": {[]quarantine.StoredRecord{release, held}, 0},
		"crashes first": {[]quarantine.StoredRecord{held, release}, 0},
		"later crashes": {[]quarantine.StoredRecord{later, release}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			delta := feed.Delta{Kind: KindTable, To: feed.At(0, 5), Full: true}
			for _, r := range c.records {
				raw, err := json.Marshal(r)
				require.NoError(t, err)
				delta.Changes = append(delta.Changes, feed.Change{Object: feed.Object{Name: r.Key(), Value: raw}})
			}
			require.True(t, g.applyDelta(delta, sourceStore))
			status, _ := g.quarantine.status(g.clock.Now(), d)
			require.Equal(t, c.want, status.Crashes)
		})
	}
}

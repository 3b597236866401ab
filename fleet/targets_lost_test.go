package fleet

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestTargetsLostIsSentBesideHeartbeats checks that the flag reaches a view by the list beside the
// heartbeats, and leaves their encoding as earlier versions read it.
func TestTargetsLostIsSentBesideHeartbeats(t *testing.T) {
	sent := Heartbeats{{Member: IDOf("n1"), Sequence: 7, Flags: Ready | TargetsLost}, {Member: IDOf("n2"), Sequence: 8, Flags: Ready | Watching}}
	plain := Heartbeats{{Member: IDOf("n1"), Sequence: 7, Flags: Ready}, sent[1]}
	encoded, err := msgpack.Marshal(sent)
	require.NoError(t, err)
	want, err := msgpack.Marshal(plain)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, encoded))

	var received Heartbeats
	require.NoError(t, msgpack.Unmarshal(encoded, &received))
	require.Equal(t, plain, received)
	received.SetFlag(TargetsLost, sent.With(TargetsLost))
	require.Equal(t, sent, received)

	now := time.Unix(1000, 0)
	view := NewView(Member{Name: "n0"}, 1, DefaultSettings)
	view.Add(Member{Name: "n1"}, Member{Name: "n2"})
	view.MergeHeartbeats(now, received)
	others := view.Others(now)
	require.True(t, others[0].Serves())
	require.False(t, others[0].ReachesTargets())
	require.True(t, others[1].ReachesTargets())
	require.True(t, others[1].ReachesAllHalls())

	now = now.Add(RoundTime)
	view.MergeHeartbeats(now, Heartbeats{{Member: IDOf("n1"), Sequence: 9, Flags: Ready | TargetsLost}, {Member: IDOf("n2"), Sequence: 10, Flags: Ready | HallsLost}})
	others = view.Others(now)
	require.False(t, others[0].ReachesAllHalls())
	require.True(t, others[1].ReachesTargets())
	require.False(t, others[1].ReachesAllHalls())
}

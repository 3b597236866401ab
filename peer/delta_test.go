package peer_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
)

// targetDelta returns a delta of n new targets, which resemble each other as those of one
// site do.
func targetDelta(n int) feed.Delta {
	d := feed.Delta{Kind: "targets", From: feed.At(0, 1), To: feed.At(0, int64(n)+1)}
	for i := range n {
		value := fmt.Sprintf(`{"service":"listings","address":"10.7.%d.%d:8045","zone":"accra-a","version":"v2","slots":9,"state":"ready","warmupRemaining":"%dms","sequence":%d}`,
			i/250, i%250, 2990+i%10, i%3)
		d.Changes = append(d.Changes, feed.Change{Object: feed.Object{Name: fmt.Sprintf("i-%010x", i*7919), Value: []byte(value)}})
	}
	return d
}

// TestDelta checks that a relayed delta arrives unchanged, and that compression reduces its
// size to less than a sixth.
func TestDelta(t *testing.T) {
	want := targetDelta(366)
	message, err := peer.NewDelta(want)
	require.NoError(t, err)
	message = message.RelayTo(fleet.Branch{Until: 7})
	raw, err := peer.Encode(message)
	require.NoError(t, err)
	length := 0
	for _, c := range want.Changes {
		length += len(c.Name) + len(c.Value)
	}
	require.Less(t, len(raw), length/6)
	arrived, err := peer.ReadFrame(bytes.NewReader(raw))
	require.NoError(t, err)
	got, ok := arrived.(*peer.Delta)
	require.True(t, ok)
	require.True(t, got.Relay)
	require.EqualValues(t, 7, got.RelayUntil)
	unpacked, err := got.Unpack()
	require.NoError(t, err)
	require.Equal(t, want, unpacked)
}

// TestMalformedDelta checks that Unpack returns an error for a truncated delta and for one
// whose kind differs from that of the message.
func TestMalformedDelta(t *testing.T) {
	message, err := peer.NewDelta(targetDelta(3))
	require.NoError(t, err)
	cut := *message
	cut.Packed = cut.Packed[:len(cut.Packed)/2]
	_, err = cut.Unpack()
	require.ErrorIs(t, err, peer.ErrDelta)
	other := *message
	other.Kind = "configuration"
	_, err = other.Unpack()
	require.ErrorIs(t, err, peer.ErrDelta)
	_, err = message.Unpack()
	require.NoError(t, err)
}

// BenchmarkDelta measures packing and unpacking of the 366 targets of a release and of all
// 1,617 targets of a large site.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{366, 1617} {
		d := targetDelta(n)
		b.Run(fmt.Sprintf("pack/changes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := peer.NewDelta(d); err != nil {
					b.Fatal(err)
				}
			}
		})
		message, err := peer.NewDelta(d)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("unpack/changes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := message.Unpack(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

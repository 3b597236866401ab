package peer_test

import (
	"testing"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/peer"
)

// FuzzDelta unpacks arbitrary bytes. If that succeeds, a replica must not move back,
// and must reach the end of the delta if Apply reports so.
func FuzzDelta(f *testing.F) {
	for _, d := range []feed.Delta{
		targetDelta(3),
		{Kind: "targets", To: feed.At(0, 9), Full: true, Changes: targetDelta(2).Changes},
		{Kind: "targets", From: feed.At(0, 5), To: feed.At(0, 9), Exact: true, Digest: feed.NewReplica("targets").Digest(), Changes: targetDelta(1).Changes},
		{Kind: "targets", From: feed.At(0, -1), To: feed.At(0, -7)},
	} {
		m, err := peer.NewDelta(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(m.Packed)
	}
	f.Fuzz(func(t *testing.T, packed []byte) {
		d, err := (&peer.Delta{Kind: "targets", Packed: packed}).Unpack()
		if err != nil {
			return
		}
		r := feed.NewReplica("targets")
		r.Apply(feed.Delta{Kind: "targets", To: feed.At(0, 5), Full: true})
		_, ok := r.Apply(d)
		if feed.At(0, 5).After(r.Position()) || (ok && d.To.After(r.Position())) {
			t.Fatalf("at %v after %v to %v", r.Position(), d.From, d.To)
		}
		r.DeltaSince(feed.At(0, 5), 0)
	})
}

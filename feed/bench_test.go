package feed_test

import (
	"fmt"
	"testing"

	"github.com/rainford/rainford/feed"
)

// BenchmarkReplica measures a change of one object, and the deltas for others that lack 50 changes or all
// objects, with the targets of a large site and of ten of them.
func BenchmarkReplica(b *testing.B) {
	for _, n := range []int{2500, 25000} {
		r := feed.NewReplica("k")
		whole := feed.Delta{To: feed.At(0, 1), Full: true}
		value := make([]byte, 300)
		for i := range n {
			whole.Changes = append(whole.Changes, feed.Change{Object: feed.Object{Name: fmt.Sprintf("i-%08x", i*7919), Value: value}})
		}
		r.Apply(whole)
		at := int64(1)
		apply := func() {
			c := whole.Changes[int(at)%n]
			c.Value = fmt.Appendf(nil, "%300d", at)
			r.Apply(feed.Delta{From: feed.At(0, at), To: feed.At(0, at+1), Changes: []feed.Change{c}})
			at++
		}
		b.Run(fmt.Sprintf("apply/objects=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				apply()
			}
		})
		for range 128 {
			apply()
		}
		b.Run(fmt.Sprintf("behind by 50/objects=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.DeltaSince(feed.At(0, at-50), 0)
			}
		})
		b.Run(fmt.Sprintf("all/objects=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.DeltaSince(feed.Position{}, 0)
			}
		})
	}
}

package feed_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
)

// heapBytes returns the size of the heap after a collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestChangesTakeNoMemory guards against an instance that goes over its memory because of changes that it keeps for
// others. However often, and however large, objects change, a replica takes at most twice the size of its objects
// and 4 MB.
func TestChangesTakeNoMemory(t *testing.T) {
	const few = 4 << 20
	for _, c := range []struct {
		name                 string
		objects, size, steps int
		// comeAndGo lets each change remove an object and create one of another name, which is this long.
		comeAndGo int
	}{
		{"one large object", 1, 954 << 10, 120, 0},
		{"one large object, many changes", 1, 954 << 10, 1000, 0},
		{"ten objects", 10, 100 << 10, 1000, 0},
		{"many small objects", 5000, 300, 20000, 0},
		{"objects come and go", 100, 300, 20000, 12},
		{"objects with long names come and go", 100, 300, 20000, 900},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			before := heapBytes()
			r := feed.NewReplica("k")
			name := func(i int) string { return fmt.Sprint("o", i, strings.Repeat("x", c.comeAndGo)) }
			set := func(i int) feed.Change {
				return feed.Change{Object: feed.Object{Name: name(i), Value: fmt.Appendf(make([]byte, 0, c.size), "%*d", c.size, rng.Uint64())}}
			}
			whole := feed.Delta{To: feed.At(0, 1), Full: true}
			for i := range c.objects {
				whole.Changes = append(whole.Changes, set(i))
			}
			r.Apply(whole)
			whole = feed.Delta{}
			for step := range c.steps {
				changes := []feed.Change{set(rng.IntN(c.objects))}
				if c.comeAndGo > 0 {
					changes = []feed.Change{set(c.objects + step), {Object: feed.Object{Name: name(step)}, Removed: true}}
				}
				r.Apply(feed.Delta{From: r.Position(), To: feed.At(0, int64(step)+2), Changes: changes})
			}
			state := int64(c.objects * (c.size + c.comeAndGo))
			require.Less(t, heapBytes()-before, 2*state+few)
			runtime.KeepAlive(r)
		})
	}
}

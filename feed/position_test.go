package feed_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
)

// TestPositionOrder checks that positions are ordered by era, then by revision, and that
// all positions that precede history are equal and come first.
func TestPositionOrder(t *testing.T) {
	ordered := [][]feed.Position{
		{{}, feed.At(0, 0), feed.At(4, 0), feed.At(1, -7)},
		{feed.At(0, 1)}, {feed.At(0, 90)}, {feed.At(1, 1)}, {feed.At(1, 2)}, {feed.At(7, 1)},
	}
	for i, some := range ordered {
		for _, p := range some {
			require.Equal(t, i == 0, p.IsZero())
			for j, others := range ordered {
				for _, q := range others {
					require.Equal(t, i > j, p.After(q), "%v after %v", p, q)
					require.Equal(t, -q.Compare(p), p.Compare(q))
					if i != j {
						require.Equal(t, ordered[max(i, j)][0].Compare(feed.Later(p, q)), 0)
					}
				}
			}
		}
	}
}

// TestPositionEncoding checks that an encoded position is decoded unchanged, that it is
// short, and that values of another form are rejected.
func TestPositionEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := feed.At(rapid.Int64().Draw(t, "era"), rapid.Int64().Draw(t, "revision"))
		raw, err := msgpack.Marshal(want)
		require.NoError(t, err)
		var got feed.Position
		require.NoError(t, msgpack.Unmarshal(raw, &got))
		require.Equal(t, want, got)
	})
	raw, err := msgpack.Marshal(feed.At(3, 70_000))
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), 7)
	for _, other := range []any{7, "text", []int{1}, []int{1, 2, 3}, []string{"a", "b"}} {
		raw, err := msgpack.Marshal(other)
		require.NoError(t, err)
		var got feed.Position
		require.Error(t, msgpack.Unmarshal(raw, &got), "%v", other)
	}
}

package membudget_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/internal/membudget"
)

// TestReadAll compares ReadAll with io.ReadAll, for drawn bytes, limits, expected lengths and errors.
func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	rapid.Check(t, func(t *rapid.T) {
		sent := bytes.Repeat([]byte("0123456789"), rapid.SampledFrom([]int{0, 1, 51, 52, 1638, 1639, 3277, 20_000}).Draw(t, "tens"))
		limit := int64(rapid.SampledFrom([]int{1, len(sent) - 1, len(sent), len(sent) + 1, 1 << 20}).Draw(t, "limit"))
		length := int64(rapid.SampledFrom([]int{-1, 0, len(sent) / 2, len(sent), 2 * len(sent)}).Draw(t, "length"))
		var r io.Reader = bytes.NewReader(sent)
		fails := rapid.Bool().Draw(t, "fails")
		if fails {
			r = io.MultiReader(r, iotest.ErrReader(broken))
		}
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		body, err := membudget.ReadAll(r, length, limit, nil)
		switch {
		case length > limit:
			require.ErrorIs(t, err, membudget.ErrTooLong)
			require.Empty(t, body)
		case int64(len(sent)) > limit:
			require.ErrorIs(t, err, membudget.ErrTooLong)
		case fails:
			require.ErrorIs(t, err, broken)
		default:
			require.NoError(t, err)
			require.True(t, bytes.Equal(sent, body))
		}
	})
}

func TestReadAllDrawsItsBuffers(t *testing.T) {
	budget := membudget.New(100_000)
	small, large := budget.Lease(), budget.Lease()
	_, err := membudget.ReadAll(bytes.NewReader(make([]byte, 16_000)), -1, 1<<20, small)
	require.NoError(t, err)
	require.EqualValues(t, 100_000, budget.Free())
	body, err := membudget.ReadAll(bytes.NewReader(make([]byte, 1<<20)), -1, 1<<30, large)
	require.ErrorIs(t, err, membudget.ErrExhausted)
	require.Len(t, body, 1<<16)
	require.EqualValues(t, 100_000-1<<15-1<<16, budget.Free())
	large.Release()
	require.EqualValues(t, 100_000, budget.Free())
}

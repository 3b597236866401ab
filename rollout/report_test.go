package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/rollout"
)

// drawObservation draws any observation that can be encoded.
func drawObservation(t *rapid.T) rollout.Observation {
	return rollout.Observation{
		Route:   rapid.Uint16().Draw(t, "route"),
		Key:     rapid.Uint32().Draw(t, "key"),
		Target:  rapid.Uint32().Draw(t, "target"),
		Latency: rollout.BucketOf(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "took"))),
		Outcome: rollout.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
		Cold:    rapid.Bool().Draw(t, "cold"),
	}
}

// drawTally draws any tally that can be encoded.
func drawTally(t *rapid.T) rollout.Tally {
	tally := rollout.Tally{
		Route:    rapid.Uint16().Draw(t, "route"),
		Answered: rapid.Uint32().Draw(t, "answered"),
		Failed:   rapid.Uint32().Draw(t, "failed"),
	}
	for _, ms := range rapid.SliceOfNDistinct(rapid.IntRange(1, 100_000), 0, 9, func(ms int) rollout.LatencyBucket {
		return rollout.BucketOf(time.Duration(ms) * time.Millisecond)
	}).Draw(t, "times") {
		if tally.Latencies == nil {
			tally.Latencies = make(rollout.LatencyHistogram)
		}
		tally.Latencies[rollout.BucketOf(time.Duration(ms)*time.Millisecond)] = rapid.Uint32().Draw(t, "n")
	}
	return tally
}

// TestReportRoundTrip checks that a decoded report equals the encoded one.
func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rollout.Report{Order: 7, From: "n1", Stage: 3, Sent: 1000, SentNew: 17, InFlightOld: 4}
		r.New = rapid.SliceOfN(rapid.Custom(drawObservation), 1, 70).Draw(t, "new")
		r.Old = rapid.SliceOfN(rapid.Custom(drawTally), 1, 5).Draw(t, "old")
		raw, err := msgpack.Marshal(&r)
		require.NoError(t, err)
		var got rollout.Report
		require.NoError(t, msgpack.Unmarshal(raw, &got))
		require.Equal(t, r, got)
	})
}

// FuzzReport checks that arbitrary bytes, decoded as a report, don't make the decoder or the
// analyzer panic.
func FuzzReport(f *testing.F) {
	for _, r := range []rollout.Report{
		{},
		{From: "n1", New: rollout.Observations{{Route: 1, Key: 2, Target: 3, Latency: 30, Outcome: rollout.Failed, Cold: true}}},
		{Old: rollout.Tallies{{Route: 1, Answered: 3, Latencies: rollout.LatencyHistogram{30: 2, 31: 1}}}},
	} {
		raw, err := msgpack.Marshal(&r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r rollout.Report
		if msgpack.Unmarshal(raw, &r) != nil {
			return
		}
		analyzer := rollout.NewAnalyzer()
		now := time.Unix(1_000_000, 0)
		analyzer.AddReport(now, r)
		analyzer.Assess(now)
	})
}

// TestLatencyBuckets checks that the latency in the middle of a bucket is within 20 % of the
// original one from 1 ms to 10 min, and that 0 and 1 µs share a bucket, as 1 h and 2 h do.
func TestLatencyBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(10*time.Minute)).Draw(t, "took"))
		step := rollout.BucketOf(took)
		require.InDelta(t, 1, float64(step.Duration())/float64(took), 0.2, "%v as %v", took, step.Duration())
	})
	require.Equal(t, rollout.BucketOf(0), rollout.BucketOf(time.Microsecond))
	require.Equal(t, rollout.BucketOf(time.Hour), rollout.BucketOf(2*time.Hour))
}

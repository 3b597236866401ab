package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/rollout"
)

// versionedSpec returns the spec of a target with the given version.
func versionedSpec(id, hall, version string) *catalog.Target {
	return &catalog.Target{ID: id, Name: id, Service: "s", Addr: id + ":1", Hall: hall, Slots: 9, Version: version}
}

// newVersionedPool returns a pool in region a that holds back targets of new versions. It has the
// given number of targets of version v1.
func newVersionedPool(now time.Time, old int) (*Pool, []*catalog.Target) {
	p := NewPool(Config{Service: "s", Self: "n1", Hall: "a1", Region: "a", RegionOf: map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		ShiftStep: 0.1, ShiftWindow: 2 * time.Second, HoldNewVersions: true})
	var specs []*catalog.Target
	for i := range old {
		specs = append(specs, versionedSpec(fmt.Sprint("old", i), []string{"a1", "a2"}[i%2], "v1"))
	}
	p.SetTargets(now, specs, nil)
	return p, specs
}

// newTargets returns n targets of version v2.
func newTargets(n int) []*catalog.Target {
	var specs []*catalog.Target
	for i := range n {
		specs = append(specs, versionedSpec(fmt.Sprint("new", i), []string{"a1", "a2"}[i%2], "v2"))
	}
	return specs
}

// sendMany selects targets for requests with many keys, and returns the number of requests sent to
// each target.
func sendMany(t require.TestingT, now time.Time, p *Pool, requests int, change ...func(*Request)) map[string]int {
	sent := make(map[string]int)
	for i := range requests {
		r := Request{ID: uint64(i + 1), Key: fmt.Sprint("k", i%200), Sticky: true, Deadline: now.Add(time.Minute), QueueTimeout: time.Second}
		for _, f := range change {
			f(&r)
		}
		d := p.Acquire(now, r)
		require.Equal(t, Send, d.Action, d.Reason)
		sent[d.Target.ID]++
		p.Release(now, d.Target.ID, Result{Outcome: Answered, Latency: time.Millisecond, SendState: d.SendState})
	}
	return sent
}

// countNew returns the number of requests sent to new targets, and the number of new targets that
// got any.
func countNew(sent map[string]int) (requests, targets int) {
	for id, n := range sent {
		if id[:3] == "new" {
			requests += n
			targets++
		}
	}
	return requests, targets
}

// TestNewVersionWaitsForOrder checks that targets of a version without a rollout order get no
// requests at first, since the order may not have arrived yet.
func TestNewVersionWaitsForOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := newVersionedPool(now, 6)
	p.ChangeTargets(now.Add(time.Minute), newTargets(6), nil, nil)
	now = now.Add(time.Minute)
	n, _ := countNew(sendMany(t, now, p, 1000))
	require.Zero(t, n)
	p.SetSplit(now, rollout.Split{Version: "v2"}, time.Time{})
	n, _ = countNew(sendMany(t, now.Add(2*unorderedHold), p, 1000))
	require.Zero(t, n, "ordered, but the split gives it no requests yet")
}

// TestUnorderedVersion checks that targets of a new version without a rollout order get requests
// after a while, and at once if there are no other targets.
func TestUnorderedVersion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := newVersionedPool(now, 6)
	now = now.Add(time.Minute)
	p.ChangeTargets(now, newTargets(6), nil, nil)
	n, targets := countNew(sendMany(t, now.Add(unorderedHold), p, 1000))
	require.NotZero(t, n)
	require.Equal(t, 6, targets)
	p, old := newVersionedPool(now, 6)
	var removed []string
	for _, spec := range old {
		removed = append(removed, spec.ID)
	}
	p.ChangeTargets(now, newTargets(6), removed, nil)
	n, _ = countNew(sendMany(t, now, p, 100))
	require.Equal(t, 100, n)
}

// TestSplitShares checks that new targets get the fraction of the requests that the split sets, give
// or take 0.12, and that the number of new targets that get any exceeds the split's share of the 30
// new targets by at most 12.
func TestSplitShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		p, _ := newVersionedPool(now, 30)
		split := rollout.Split{Version: "v2", KeyShare: rapid.Float64Range(0, 1).Draw(t, "keys"),
			RequestShare: rapid.Float64Range(0, 1).Draw(t, "draw"), TargetShare: rapid.Float64Range(0, 1).Draw(t, "targets")}
		p.SetSplit(now, split, time.Time{})
		p.ChangeTargets(now, newTargets(30), nil, nil)
		const requests = 4000
		n, targets := countNew(sendMany(t, now, p, requests))
		require.InDelta(t, split.KeyShare*split.RequestShare, float64(n)/requests, 0.12)
		require.LessOrEqual(t, targets, max(2*minCanaries, int(split.TargetShare*30+12)))
	})
}

// TestSplitExpires checks that a split that is not renewed ends.
func TestSplitExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := newVersionedPool(now, 6)
	p.ChangeTargets(now, newTargets(6), nil, nil)
	until := now.Add(time.Second)
	p.SetSplit(now, rollout.Split{Version: "v2", KeyShare: 1, RequestShare: 0.5, TargetShare: 1}, until)
	n, _ := countNew(sendMany(t, now, p, 1000))
	require.NotZero(t, n)
	n, _ = countNew(sendMany(t, until, p, 1000))
	require.Zero(t, n)
}

// TestRetriesGoToOldTargets checks that a request that was sent before goes to an old target, as
// long as not all requests go to new ones.
func TestRetriesGoToOldTargets(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := newVersionedPool(now, 6)
	p.ChangeTargets(now, newTargets(6), nil, nil)
	repeat := func(r *Request) { r.Tried = []string{"new0"} }
	p.SetSplit(now, rollout.Split{Version: "v2", KeyShare: 1, RequestShare: 0.9, TargetShare: 1}, time.Time{})
	n, _ := countNew(sendMany(t, now, p, 500, repeat))
	require.Zero(t, n)
	p.SetSplit(now, rollout.Split{Version: "v2", KeyShare: 1, RequestShare: 1, TargetShare: 1}, time.Time{})
	n, _ = countNew(sendMany(t, now, p, 500, repeat))
	require.Equal(t, 500, n)
}

// TestFallbackBetweenCohorts checks that requests for new targets go to old ones if no new target
// can run them. Requests for old targets go to new ones only if no old target is in service.
func TestFallbackBetweenCohorts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, old := newVersionedPool(now, 6)
	p.SetSplit(now, rollout.Split{Version: "v2", KeyShare: 1, RequestShare: 0.5, TargetShare: 1}, time.Time{})
	n, _ := countNew(sendMany(t, now, p, 100))
	require.Zero(t, n, "there are no new targets")
	p.ChangeTargets(now, newTargets(2), nil, nil)
	p.SetSplit(now, rollout.Split{Version: "v2"}, time.Time{})
	for _, spec := range old {
		p.byID[spec.ID].suspect(now)
	}
	d := p.Acquire(now, Request{ID: 1, Key: "k", Sticky: true, Deadline: now.Add(time.Minute), QueueTimeout: time.Second})
	require.NotEqual(t, Send, d.Action, "old targets are in service although none is usable now")
	var leaving []*catalog.Target
	for _, spec := range old {
		left := *spec
		left.Leaving = true
		leaving = append(leaving, &left)
	}
	p.ChangeTargets(now, leaving, nil, nil)
	n, _ = countNew(sendMany(t, now, p, 100))
	require.Equal(t, 100, n, "no old target is in service")
}

// TestTargetsAfterRollout checks which targets get requests after a rollback and after a successful
// rollout.
func TestTargetsAfterRollout(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := newVersionedPool(now, 6)
	now = now.Add(time.Minute)
	p.ChangeTargets(now, newTargets(6), nil, nil)
	p.SetSplit(now, rollout.Split{Version: "v2", Ended: true}, time.Time{})
	n, _ := countNew(sendMany(t, now, p, 500))
	require.Zero(t, n)
	p.SetSplit(now, rollout.Split{Version: "v2", KeyShare: 1, RequestShare: 1, TargetShare: 1, Ended: true}, time.Time{})
	n, _ = countNew(sendMany(t, now, p, 500))
	require.Equal(t, 500, n)
	later := versionedSpec("later", "a1", "v3")
	p.ChangeTargets(now.Add(time.Minute), []*catalog.Target{later}, nil, nil)
	sent := sendMany(t, now.Add(time.Minute+unorderedHold), p, 500)
	require.NotZero(t, sent["later"], "later versions without an order get requests")
	n, _ = countNew(sent)
	require.Equal(t, 500, n+sent["later"], "the previous version gets no requests")
}

// TestSupersededOrder checks that targets of a version whose rollout order was superseded get no
// requests.
func TestSupersededOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := newVersionedPool(now, 6)
	now = now.Add(time.Minute)
	p.SetSplit(now, rollout.Split{Version: "v2", KeyShare: 1, RequestShare: 0.1, TargetShare: 1}, time.Time{})
	p.ChangeTargets(now, newTargets(6), nil, nil)
	now = now.Add(time.Minute)
	p.SetSplit(now, rollout.Split{Version: "v3", KeyShare: 1, RequestShare: 0.1, TargetShare: 1}, time.Time{})
	p.ChangeTargets(now, []*catalog.Target{versionedSpec("third", "a1", "v3")}, nil, nil)
	sent := sendMany(t, now, p, 1000)
	n, _ := countNew(sent)
	require.Zero(t, n)
	require.NotZero(t, sent["third"])
	p.SetSplit(now, rollout.Split{Version: "v2", KeyShare: 1, RequestShare: 0.5, TargetShare: 1}, time.Time{})
	n, _ = countNew(sendMany(t, now, p, 1000))
	require.NotZero(t, n, "after a new order for the version")
}

package rollout

import (
	"math"
	"sort"
)

// targetStats counts the observations of one new target on one route.
type targetStats struct {
	answered, failed int
	// fast and slow are those of requests for objects that the target has.
	fast, slow int
}

// routeStats are the observations on one route.
type routeStats struct {
	old     Tally
	targets map[uint32]*targetStats
	// keys are those that new targets were asked for, failedKeys and slowKeys those whose
	// requests failed and were slow there.
	keys, failedKeys, slowKeys keySet
}

// statsByRoute are observations by route.
type statsByRoute map[uint16]*routeStats

func (s statsByRoute) route(hash uint16) *routeStats {
	r := s[hash]
	if r == nil {
		r = &routeStats{}
		s[hash] = r
	}
	return r
}

// addOld counts requests at old targets.
func (r *routeStats) addOld(t Tally) { r.old.add(t) }

// addNew counts a request at a new target. Answers that take the time limit and more are slow, if
// that is known.
func (r *routeStats) addNew(o Observation, threshold LatencyBucket, known bool) {
	t := r.target(o.Target)
	r.keys.add(o.Key)
	if o.Outcome == Answered {
		t.answered++
	} else {
		t.failed++
		r.failedKeys.add(o.Key)
	}
	switch {
	case !known || o.Outcome == Failed:
	case o.Outcome == Unanswered || !o.Cold && o.Latency >= threshold:
		t.slow++
		r.slowKeys.add(o.Key)
	case !o.Cold:
		t.fast++
	}
}

func (r *routeStats) target(id uint32) *targetStats {
	if r.targets == nil {
		r.targets = make(map[uint32]*targetStats)
	}
	t := r.targets[id]
	if t == nil {
		t = &targetStats{}
		r.targets[id] = t
	}
	return t
}

// merge adds the observations of another.
func (r *routeStats) merge(other *routeStats) {
	r.addOld(other.old)
	for id, n := range other.targets {
		t := r.target(id)
		t.answered += n.answered
		t.failed += n.failed
		t.fast += n.fast
		t.slow += n.slow
	}
	r.keys.merge(other.keys)
	r.failedKeys.merge(other.failedKeys)
	r.slowKeys.merge(other.slowKeys)
}

// failures returns the numbers of answers and failures of new targets that count.
func (r *routeStats) failures() counts {
	return r.aggregate(r.failedKeys, func(t *targetStats) (int, int) { return t.answered, t.failed })
}

// slowness returns the numbers of fast and slow answers of new targets that count.
func (r *routeStats) slowness() counts {
	return r.aggregate(r.slowKeys, func(t *targetStats) (int, int) { return t.fast, t.slow })
}

// counts are the numbers of good and bad observations that count. Few says that the bad ones are of
// too few targets or keys to say by themselves that a version is bad.
type counts struct {
	good, bad int
	tooFew    bool
}

const (
	// outlierFraction is the part of the new targets whose observations do not count against the
	// version, those that speak most against it: a target may have a fault of its own.
	outlierFraction = 0.4
	// minSources is the number of targets, and of keys, at which something has to have been seen
	// if there were as many: one of each may be at fault by itself. Of fewer, mostOfFew bad
	// observations count.
	minSources  = 3
	maxBadOfFew = 2
	// smallTargetCount is the number of targets up to which something has to have been seen at mostTargets
	// of them: two of three may be at fault by chance.
	smallTargetCount  = 8
	minBadTargetShare = 0.6
)

// aggregate adds up the good and bad observations of the targets, but for the worst of them.
func (r *routeStats) aggregate(badKeys keySet, countsOf func(*targetStats) (good, bad int)) counts {
	var targets []counts
	badTargets := 0
	for _, t := range r.targets {
		good, bad := countsOf(t)
		if good+bad == 0 {
			continue
		}
		targets = append(targets, counts{good: good, bad: bad})
		if bad > 0 {
			badTargets++
		}
	}
	sort.Slice(targets, func(i, k int) bool {
		if targets[i].bad != targets[k].bad {
			return targets[i].bad > targets[k].bad
		}
		return targets[i].good < targets[k].good
	})
	minBad := min(minSources, len(targets))
	if len(targets) <= smallTargetCount {
		minBad = max(minBad, int(math.Ceil(minBadTargetShare*float64(len(targets)))))
	}
	sum := counts{tooFew: badTargets < minBad || badKeys.len() < min(minSources, r.keys.len())}
	outliers := int(outlierFraction * float64(len(targets)))
	if sum.tooFew {
		outliers = 0
	}
	for _, c := range targets[outliers:] {
		sum.good += c.good
		sum.bad += c.bad
	}
	if sum.tooFew {
		sum.bad = min(sum.bad, maxBadOfFew)
	}
	return sum
}

// keySet is a set of keys as far as it takes to tell whether there are several.
type keySet struct {
	keys [minSources]uint32
	n    int
}

func (s *keySet) len() int { return s.n }

func (s *keySet) add(key uint32) {
	for _, known := range s.keys[:s.n] {
		if known == key {
			return
		}
	}
	if s.n < len(s.keys) {
		s.keys[s.n] = key
		s.n++
	}
}

func (s *keySet) merge(other keySet) {
	for _, key := range other.keys[:other.n] {
		s.add(key)
	}
}

// failureRate returns the part of a tally's requests that failed, 0 of none.
func failureRate(t Tally) float64 {
	if t.Answered+t.Failed == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Answered+t.Failed)
}

// minLatencySamples is the number of answers of old targets below which their usual time is not known.
const minLatencySamples = 8

// slowThreshold returns the time from which on answers are slow: a multiple of the median.
func slowThreshold(latencies LatencyHistogram) (LatencyBucket, bool) {
	total := uint32(0)
	for _, n := range latencies {
		total += n
	}
	if total < minLatencySamples {
		return 0, false
	}
	below := uint32(0)
	for bucket := LatencyBucket(0); bucket < maxBucket; bucket++ {
		below += latencies[bucket]
		if 2*below >= total {
			return bucket.scale(slowFactor), true
		}
	}
	return maxBucket, true
}

// slowRate returns the part of the answers that take the time limit and more.
func slowRate(latencies LatencyHistogram, threshold LatencyBucket) float64 {
	total, slow := 0.0, 0.0
	for bucket, n := range latencies {
		total += float64(n)
		if bucket >= threshold {
			slow += float64(n)
		}
	}
	if total == 0 {
		return 0
	}
	return slow / total
}

package rollout

import (
	"math"
	"sort"
)

// targetStats counts the observations of a new target on a route.
type targetStats struct {
	answered, failed int
	// fast and slow count the requests whose latency is compared, which excludes responses of cold
	// targets and responses for objects that the target had to load first.
	fast, slow int
}

// routeStats holds the observations on a route.
type routeStats struct {
	old     Tally
	targets map[uint32]*targetStats
	// keys are the keys of all requests at new targets, failedKeys and slowKeys those of the failed
	// and slow ones.
	keys, failedKeys, slowKeys keySet
}

// statsByRoute maps the hash of a route to its observations.
type statsByRoute map[uint16]*routeStats

func (s statsByRoute) route(hash uint16) *routeStats {
	r := s[hash]
	if r == nil {
		r = &routeStats{}
		s[hash] = r
	}
	return r
}

// addOld adds requests at old targets.
func (r *routeStats) addOld(t Tally) { r.old.add(t) }

// addNew adds a request at a new target. Responses from the threshold on are slow. Unanswered
// requests count as failed and as slow. Latencies are ignored unless the threshold is known.
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

// merge adds the observations of other.
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

// failures returns the numbers of responses and failures of new targets, without outliers.
func (r *routeStats) failures() counts {
	return r.aggregate(r.failedKeys, func(t *targetStats) (int, int) { return t.answered, t.failed })
}

// slowness returns the numbers of fast and slow responses of new targets, without outliers.
func (r *routeStats) slowness() counts {
	return r.aggregate(r.slowKeys, func(t *targetStats) (int, int) { return t.fast, t.slow })
}

// counts holds the numbers of good and bad observations. TooFew reports whether the bad ones come
// from too few targets or keys to condemn a version by themselves.
type counts struct {
	good, bad int
	tooFew    bool
}

const (
	// outlierFraction is the fraction of the new targets that is left out, those with the most bad
	// observations first, because a target may be faulty whatever its version.
	outlierFraction = 0.4
	// minSources is the number of targets, and of keys, that have to show bad observations if there
	// are as many, because a single target or key may be at fault by itself. Otherwise at most
	// maxBadOfFew bad observations count.
	minSources  = 3
	maxBadOfFew = 2
	// smallTargetCount is the number of targets up to which minBadTargetShare of them have to show
	// bad observations, because two of three may be faulty by chance.
	smallTargetCount  = 8
	minBadTargetShare = 0.6
)

// aggregate sums the good and bad observations of all targets but the outliers. If the bad ones
// come from too few targets or keys, no target is left out, and at most maxBadOfFew bad ones count.
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

// keySet is a set of up to minSources keys. Further keys are ignored, since it serves only to tell
// whether there are several.
type keySet struct {
	keys [minSources]uint32
	n    int
}

func (s *keySet) len() int { return s.n }

// add adds a key unless the set is full.
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

// failureRate returns the fraction of a tally's requests that failed, or 0 if there are none.
func failureRate(t Tally) float64 {
	if t.Answered+t.Failed == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Answered+t.Failed)
}

// minLatencySamples is the number of responses of old targets that are needed for their median
// latency.
const minLatencySamples = 8

// slowThreshold returns slowFactor times the median latency, from which on responses are slow, or
// false if there are too few responses.
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

// slowRate returns the fraction of the responses with a latency from the threshold on, or 0 if there
// are none.
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

package rollout

import (
	"math"
	"sort"
)

// targetCount counts the observations of one new target on one route.
type targetCount struct {
	answered, failed int
	// fast and slow are those of requests for objects that the target has.
	fast, slow int
}

// routeStats are the observations on one route.
type routeStats struct {
	old     Tally
	targets map[uint32]*targetCount
	// keys are those that new targets were asked for, failedKeys and slowKeys those whose
	// requests failed and were slow there.
	keys, failedKeys, slowKeys keySet
}

// stats are observations by route.
type stats map[uint16]*routeStats

func (s stats) route(hash uint16) *routeStats {
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
func (r *routeStats) addNew(o Observation, limit Time, known bool) {
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
	case o.Outcome == Unanswered || !o.Cold && o.Took >= limit:
		t.slow++
		r.slowKeys.add(o.Key)
	case !o.Cold:
		t.fast++
	}
}

func (r *routeStats) target(id uint32) *targetCount {
	if r.targets == nil {
		r.targets = make(map[uint32]*targetCount)
	}
	t := r.targets[id]
	if t == nil {
		t = &targetCount{}
		r.targets[id] = t
	}
	return t
}

// join adds the observations of another.
func (r *routeStats) join(other *routeStats) {
	r.addOld(other.old)
	for id, n := range other.targets {
		t := r.target(id)
		t.answered += n.answered
		t.failed += n.failed
		t.fast += n.fast
		t.slow += n.slow
	}
	r.keys.join(other.keys)
	r.failedKeys.join(other.failedKeys)
	r.slowKeys.join(other.slowKeys)
}

// failures returns the numbers of answers and failures of new targets that count.
func (r *routeStats) failures() counts {
	return r.counted(r.failedKeys, func(t *targetCount) (int, int) { return t.answered, t.failed })
}

// slowness returns the numbers of fast and slow answers of new targets that count.
func (r *routeStats) slowness() counts {
	return r.counted(r.slowKeys, func(t *targetCount) (int, int) { return t.fast, t.slow })
}

// counts are the numbers of good and bad observations that count. Few says that the bad ones are of
// too few targets or keys to say by themselves that a version is bad.
type counts struct {
	good, bad int
	few       bool
}

const (
	// spareTargets is the part of the new targets whose observations do not count against the
	// version, those that speak most against it: a target may have a fault of its own.
	spareTargets = 0.4
	// leastPlaces is the number of targets, and of keys, at which something has to have been seen
	// if there were as many: one of each may be at fault by itself. Of fewer, mostOfFew bad
	// observations count.
	leastPlaces = 3
	mostOfFew   = 2
	// fewTargets is the number of targets up to which something has to have been seen at mostTargets
	// of them: two of three may be at fault by chance.
	fewTargets  = 8
	mostTargets = 0.6
)

// counted adds up the good and bad observations of the targets, but for the worst of them.
func (r *routeStats) counted(badKeys keySet, of func(*targetCount) (good, bad int)) counts {
	var list []counts
	badTargets := 0
	for _, t := range r.targets {
		good, bad := of(t)
		if good+bad == 0 {
			continue
		}
		list = append(list, counts{good: good, bad: bad})
		if bad > 0 {
			badTargets++
		}
	}
	sort.Slice(list, func(i, k int) bool {
		if list[i].bad != list[k].bad {
			return list[i].bad > list[k].bad
		}
		return list[i].good < list[k].good
	})
	least := min(leastPlaces, len(list))
	if len(list) <= fewTargets {
		least = max(least, int(math.Ceil(mostTargets*float64(len(list)))))
	}
	sum := counts{few: badTargets < least || badKeys.len() < min(leastPlaces, r.keys.len())}
	spared := int(spareTargets * float64(len(list)))
	if sum.few {
		spared = 0
	}
	for _, c := range list[spared:] {
		sum.good += c.good
		sum.bad += c.bad
	}
	if sum.few {
		sum.bad = min(sum.bad, mostOfFew)
	}
	return sum
}

// keySet is a set of keys as far as it takes to tell whether there are several.
type keySet struct {
	keys [leastPlaces]uint32
	n    int
}

func (s *keySet) len() int { return s.n }

func (s *keySet) add(key uint32) {
	for _, held := range s.keys[:s.n] {
		if held == key {
			return
		}
	}
	if s.n < len(s.keys) {
		s.keys[s.n] = key
		s.n++
	}
}

func (s *keySet) join(other keySet) {
	for _, key := range other.keys[:other.n] {
		s.add(key)
	}
}

// failedPart returns the part of a tally's requests that failed, 0 of none.
func failedPart(t Tally) float64 {
	if t.Answered+t.Failed == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Answered+t.Failed)
}

// leastUsual is the number of answers of old targets below which their usual time is not known.
const leastUsual = 8

// slowFrom returns the time from which on answers are slow: a multiple of the median.
func slowFrom(times Times) (Time, bool) {
	total := uint32(0)
	for _, n := range times {
		total += n
	}
	if total < leastUsual {
		return 0, false
	}
	below := uint32(0)
	for step := Time(0); step < maxTime; step++ {
		below += times[step]
		if 2*below >= total {
			return step.times(slowTimes), true
		}
	}
	return maxTime, true
}

// slowPart returns the part of the answers that take the time limit and more.
func slowPart(times Times, limit Time) float64 {
	total, slow := 0.0, 0.0
	for step, n := range times {
		total += float64(n)
		if step >= limit {
			slow += float64(n)
		}
	}
	if total == 0 {
		return 0
	}
	return slow / total
}

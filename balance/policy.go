package balance

import "math/rand/v2"

// Candidate is a target that has a free slot.
type Candidate struct {
	ID       string
	InFlight int
	// Allowed is the number of requests that the target may have in flight.
	Allowed int
}

// Policy picks one of the candidates and returns its index. There is at least one candidate.
type Policy interface {
	Pick(candidates []Candidate) int
}

// LeastLoaded picks the candidate with the smallest fraction of its allowed requests in flight, and
// a random one among equals.
type LeastLoaded struct {
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *LeastLoaded) Pick(candidates []Candidate) int {
	best, equals := 0, 1
	for i := 1; i < len(candidates); i++ {
		a := candidates[i].InFlight * candidates[best].Allowed
		b := candidates[best].InFlight * candidates[i].Allowed
		switch {
		case a < b:
			best, equals = i, 1
		case a == b:
			equals++
			if p.Rand.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

// LeastInFlight picks the candidate with the fewest requests in flight, the first one among equals.
// It serves as a baseline.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// RoundRobin picks the candidates in turn. It is the baseline to which other policies are compared.
type RoundRobin struct {
	next int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(candidates []Candidate) int {
	p.next++
	return p.next % len(candidates)
}

package endpoints

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// fullWeight is the factor of an instance's capacity in its weight, and overloadedWeight the one
	// of an overloaded instance. An overloaded instance keeps a part of its connections: if it had
	// none, its load would move to the others at once and overload the next one.
	fullWeight       = 4
	overloadedWeight = 1
	// sampleCycle is the time in which the offset of samples passes through all its values. Within
	// a TTL of 2 to 5 s the offset moves by a sixteenth to a sixth of the distance between entries, so
	// that few of them pass to the next instance.
	sampleCycle = 32 * time.Second
)

// averageCapacity returns the average of the known capacities, or 1 if none is known.
func averageCapacity(instances []Instance) int {
	sum, n := 0, 0
	for i := range instances {
		if c := instances[i].Capacity; c > 0 {
			sum += min(c, maxCapacity)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return roundCapacity(float64(sum) / float64(n))
}

// weightOf returns the weight of an instance. Average is the capacity of an instance that does not
// state its own.
func weightOf(m *Instance, average int) int {
	capacity := average
	if m.Capacity > 0 {
		capacity = min(m.Capacity, maxCapacity)
	}
	if m.Overloaded {
		return capacity * overloadedWeight
	}
	return capacity * fullWeight
}

// mainEntries returns the main entries of a response.
func mainEntries(now time.Time, q Query, s State, groups []group, hasSpares bool) []candidate {
	var out []candidate
	for i, g := range groups {
		reduce(g.candidates)
		n := int(math.Round(g.fraction * typicalMain))
		if i == len(groups)-1 {
			n = typicalMain - len(out)
		}
		if len(groups) == 1 {
			n = mainSize(g.candidates, hasSpares)
		}
		out = append(out, sample(now, q, s, g.candidates, n)...)
	}
	return out
}

// reduce divides the weights by their greatest common divisor.
func reduce(list []candidate) {
	divisor := 0
	for _, c := range list {
		divisor = gcd(divisor, c.weight)
	}
	for i := range list {
		list[i].weight /= divisor
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// mainSize returns the number of main entries for candidates with reduced weights. If possible, it is
// a multiple of the sum of the weights. Without spares there is nothing that the main entries have to
// outnumber, and they are as few as possible.
func mainSize(list []candidate, hasSpares bool) int {
	sum := sumOf(list)
	least, typical := minMain, typicalMain
	if !hasSpares {
		least, typical = 1, 1
	}
	if sum > maxMain {
		return maxMain
	}
	best := sum * ((least + sum - 1) / sum)
	for n := best; n <= maxMain; n += sum {
		if distance(n, typical) < distance(best, typical) {
			best = n
		}
	}
	return best
}

func sumOf(list []candidate) int {
	sum := 0
	for _, c := range list {
		sum += c.weight
	}
	return sum
}

func distance(a, b int) int { return max(a-b, b-a) }

// sample returns n entries. The entries of a candidate are its quota, which is n times its part of
// the weights, rounded up or down. The candidates lie side by side on a line, each as long as its
// quota, in an order of the responding instance. An entry is taken at each unit of length, beginning at
// an offset that differs among instances and advances with time.
func sample(now time.Time, q Query, s State, list []candidate, n int) []candidate {
	sum := sumOf(list)
	key := mix.Hash(s.Addr, q.Region, q.Hall)
	at := mix.Unit(key) + float64(now.UnixNano()%int64(sampleCycle))/float64(sampleCycle)
	offset := int((at - math.Floor(at)) * float64(sum))
	if n%sum != 0 {
		sortByHash(list, key)
	}
	out := make([]candidate, 0, n)
	end := 0
	for _, c := range list {
		end += c.weight * n
		for len(out)*sum+offset < end {
			out = append(out, c)
		}
	}
	return out
}

// sortByHash sorts candidates in an order that depends on the key.
func sortByHash(list []candidate, key uint64) {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(mix.Combine(key, mix.Hash(a.Addr)), mix.Combine(key, mix.Hash(b.Addr))), cmp.Compare(a.Addr, b.Addr))
	})
}

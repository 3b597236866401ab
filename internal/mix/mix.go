// Package mix provides the hash by which instances make the same choices
// without talking to each other.
package mix

import "math"

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a well-mixed 64-bit hash of the texts, which are kept apart.
func Hash(texts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, text := range texts {
		h = add(h, text)
	}
	return finalize(h)
}

// Pair returns the hash of two texts without an allocation.
func Pair(a, b string) uint64 { return finalize(add(add(fnvOffset, a), b)) }

func add(h uint64, text string) uint64 {
	for i := 0; i < len(text); i++ {
		h ^= uint64(text[i])
		h *= fnvPrime
	}
	// A separator, so that ("ab", "c") differs from ("a", "bc").
	h ^= 0xff
	return h * fnvPrime
}

// finalize is the finalizer of MurmurHash3.
func finalize(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Combine returns a well-mixed hash of two hashes. It costs a few nanoseconds,
// whatever the texts behind the hashes were.
func Combine(a, b uint64) uint64 { return finalize(a*fnvPrime ^ b) }

// Unit maps a hash to the half-open interval [0, 1).
func Unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// RendezvousScore returns the score of a choice of the given weight in weighted
// rendezvous hashing: the choice with the highest score wins, and each wins in
// proportion to its weight.
func RendezvousScore(hash uint64, weight float64) float64 {
	return -weight / math.Log(Unit(hash|1)+1e-18)
}

// Package mix provides a 64-bit hash that is the same in all instances. With it, instances make the
// same choices without exchanging messages, for example by rendezvous hashing.
//
// The hash is FNV-1a followed by the finalizer of MurmurHash3, which spreads the entropy of short
// and similar texts over all bits. It is not cryptographic.
package mix

import "math"

// The parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns the hash of a sequence of texts. The boundaries between the texts are part of what is
// hashed.
func Hash(texts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, text := range texts {
		h = add(h, text)
	}
	return finalize(h)
}

// Pair returns Hash(a, b) without an allocation.
func Pair(a, b string) uint64 { return finalize(add(add(fnvOffset, a), b)) }

// add extends an FNV-1a hash by a text and a separator.
func add(h uint64, text string) uint64 {
	for i := 0; i < len(text); i++ {
		h ^= uint64(text[i])
		h *= fnvPrime
	}
	// The separator makes ("ab", "c") differ from ("a", "bc").
	h ^= 0xff
	return h * fnvPrime
}

// finalize is the 64-bit finalizer of MurmurHash3.
func finalize(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Combine returns a hash of two hashes. It takes a few nanoseconds, whatever the length of the texts
// from which the hashes were computed.
func Combine(a, b uint64) uint64 { return finalize(a*fnvPrime ^ b) }

// Unit maps a hash to the half-open interval [0, 1).
func Unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// RendezvousScore returns the score of a candidate in weighted rendezvous hashing, from the hash of
// the key and the candidate, and the candidate's weight. The candidate with the highest score is
// chosen. Over all keys, each candidate is chosen in proportion to its weight.
func RendezvousScore(hash uint64, weight float64) float64 {
	return -weight / math.Log(Unit(hash|1)+1e-18)
}

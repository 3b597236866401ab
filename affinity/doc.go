// Package affinity assigns keys to targets by weighted rendezvous hashing. Each target has a score
// for each key, and the target with the highest score gets the key. When a target joins or leaves,
// only the keys that it gets or had move.
package affinity

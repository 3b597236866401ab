// Package warmup divides the rate of requests that a cold target admits among the instances,
// without messages between them. This is the slow start of a target.
//
// A target is cold for some time after its start. It admits a rate of requests a second while it is
// cold, and the requests of all instances together must never exceed a fixed multiple of that rate
// in any second. Only some instances of the target's hall, chosen by rendezvous hashing, may send
// to it, each an equal share in whole requests. The shares add up to at most the rate, which is half
// of the multiple. The other half is a reserve for instances whose views of the hall's members differ, and for instances
// that do not know yet that the target is cold.
package warmup

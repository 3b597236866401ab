// Package ratelimit divides the limits of client accounts over the instances, without a
// coordinator.
//
// A limit is a number of requests a second and a burst on top. It is cut into equal parts,
// one for each domain: a set of instances that is fixed by the settings, such as a hall.
// A domain's part of an account belongs to one instance, its owner, which follows from
// the account's name and the instances that the store lists in the domain. The owner fills
// a token bucket at the part's rate and issues permits from it. A permit is the right to
// one request within the permit's life. An instance that has a request of an account
// takes a permit that it holds, or asks the owner in its own domain.
//
// An owner whose part does not carry what it is asked for borrows: it asks the owners of
// the other domains for permits, as an instance would, and issues these within what is
// left of their life.
//
// No permit is issued twice, and a permit that is lost is used by nobody, so that in any
// window the permits used are at most those that the buckets held at its start and were
// filled with during it, and those issued within a permit's life before it. That holds
// whatever is cut off, paused, killed or late; what can't reach an owner goes without. An
// instance that has just started begins with empty buckets.
//
// Placed limits are those of something in a hall, such as how much a target takes. They are not
// cut: all belongs to one instance of the hall, and after it, should it be away, to the next one
// by hash, once the permits of the last one have ended. Nothing is lent.
//
// Everything here is pure: time and randomness come in as arguments, and messages are
// returned.
package ratelimit

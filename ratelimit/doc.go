// Package ratelimit enforces the rate limits of client accounts over many instances,
// without a coordinator.
//
// A limit is a number of requests per second plus a burst. It is divided into equal
// shares, one for each domain. A domain is a set of instances that follows from the
// settings, such as the instances of one hall. In each domain, one instance owns an
// account's share. The owner is chosen by rendezvous hashing of the account's name over
// the instances that the store lists in the domain. The owner fills a token bucket at the
// rate of the share and issues permits from it. A permit is the right to send one request
// within the permit's lifetime. An instance that receives a request of an account uses a
// permit that it holds, or requests permits from the owner in its own domain.
//
// An owner whose share does not cover its domain's demand borrows: it requests permits
// from the owners of the other domains and issues them within their remaining lifetime.
//
// No permit is issued twice, and a lost permit is not used by any instance. In any window,
// the permits used are therefore at most the sum of three parts: those that the buckets
// held at the start of the window, those that the buckets were filled with during it, and
// those issued within one permit lifetime before it. This bound holds through network
// partitions, pauses and crashes of processes, and delayed messages. An instance that
// cannot reach an owner gets no permits. The buckets of an instance that has just started
// hold at most one token each.
//
// Hall limits apply to something in one hall, such as the rate that a target accepts. They
// are not divided: one instance of the hall owns the whole limit. If it becomes
// unavailable, ownership passes to the next instance by hash after a delay, by the end of
// which the permits of the former owner have expired. Hall limits are not lent.
//
// The package is pure: time and random numbers are passed in as arguments, and messages
// are returned to the caller.
package ratelimit

// Package claim provides the records that make an operation run at most once.
//
// An operation is identified by an operation key (an idempotency key), which the caller
// chooses. Each request of the caller for that operation is an attempt. Before an entry
// instance sends the first byte of an attempt to a target, for a service whose requests must
// not run twice, it records a claim of the key in the platform's object store. At most one
// attempt holds the claim of a key at a time. Another attempt, through any instance, finds the
// claim and gets a reply that states the result of the first attempt, as far as it is known.
//
// A claim ends in one of two states: Done, with the HTTP status of the response, or Released,
// if the attempt provably did not run. A claim that reaches neither state remains, and the
// operation is never run again.
//
// A shard is one stored object that holds the claims of many keys. Claims of the same shard are
// grouped into batches, and each batch is one conditional write, because the cost of a claim is
// determined by the number of writes and not by the number of claims.
//
// A key starts with the time at which it was created. This time bounds how long claims must be
// stored: a key older than MaxAge is refused, and the shard of a key is deleted only after
// that.
package claim

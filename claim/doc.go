// Package claim provides the record that makes an operation run at most once.
//
// The caller names an operation by a key. Before the first byte of a request
// of a once-only service goes to a target, the entry instance records a claim
// of the key in the platform. A key is claimed by one attempt at a time: a
// second attempt, through whichever instance, finds the claim and is told what
// became of the first. A claim ends in one of two ways: done, with the status
// of the answer, or released, when the attempt provably did not run. A claim
// that ends in neither way stays, and the operation is never run again.
//
// Claims are grouped: all claims of an instance that fall into one shard go
// into one conditional write. That the unit of cost is the write and not the
// claim follows the related paper on batches ("Batches are assembled to a token
// budget, not an item count"); docs/MEASUREMENTS.md has the figure.
//
// A key starts with the time it was made. That bounds how long claims must be
// kept: a key older than MaxAge is refused, and its shard is deleted only after
// that.
package claim

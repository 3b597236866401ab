// Package upstream chooses the target of each request of one service, among the
// targets of all regions, at one instance.
//
// A request's key has a first target in the region that was drawn for it, the same at
// all instances, so that its object is made warm once. Requests that move many bytes
// have one in each hall, and that of the instance's own hall comes first, which saves
// bytes between halls. A target of another hall comes second. The
// cost of a target is the wait expected there, by the requests of this instance
// and what the target told of those of others, plus a penalty if it probably
// does not have the object. Instances pass on what they have seen of busy and of
// unreachable targets: see Sighting.
//
// A target that is leaving, in an evacuated hall, suspected, or cold without a
// quota left is not used. When all targets of a request are full the request
// waits in a queue ordered by priority, for no longer than its patience.
//
// Pool is pure: time comes in as an argument, and grants are returned.
package upstream

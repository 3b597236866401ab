// Package upstream selects the target of each request of one service at one instance, among the
// service's targets in all regions.
//
// The package uses these terms. A target is a server that runs requests; its slots are the requests
// that it runs at the same time. A hall is a group of instances and targets in one building, and a
// region is a group of halls. The key of a request names the object that the request needs. A
// target is warm for a key while it has the object cached, and a target is cold as a whole for some
// time after its start. The typical latency is a moving average of the latency of targets that are
// not full; waits and penalties are expressed as multiples of it. A permit is the right to send one
// request to a target under the rate limit that the target announced; see package ratelimit. A
// cohort is the set of the targets of the old versions, or of the new version, during a rollout.
//
// A request goes to the region that is drawn by the hash of its key. Within each region a key has a
// first and a second target. All instances compute the same targets, so that only one target has to
// load the object. The keys of requests that move many bytes have one target in each hall. An
// instance prefers the one in its own hall, which saves traffic between halls, and then uses one in
// another hall. The cost of a target is the expected wait, which follows from the requests of this
// instance and from the load that targets report, plus a penalty if the target probably does not
// have the object cached. Instances exchange reports on busy and unreachable targets by gossip; see
// TargetReport.
//
// A target gets no requests if it is leaving, is in an evacuated hall, is suspected to have failed,
// or is cold and its warm-up quota is used up. A request waits in a queue, ordered by priority and
// bounded by the request's queue timeout, if all of its targets are full.
//
// Pool performs no input or output and reads no clock. Times are arguments, and methods return the
// requests that can be sent or must be refused.
package upstream

// Package balance selects a target for each request among the targets of a hall, and bounds the
// requests that each target gets.
//
// A Pool serves one service at one instance. It holds the hall's targets and, for each of them, the
// slots that are this instance's share. A request gets a slot at once, waits for one in a queue
// that is bounded by deadlines, or is refused with a time after which to retry.
//
// Each target has a limit on its requests in flight, which is at most this instance's share of its
// slots. The limit starts at one, as in the slow start of TCP, and doubles with every round of
// responses while the target is warm, that is, while its latency stays near the lowest of the pool.
// The limit of a cold target, or of one that has refused a request since its last reset, rises by
// one per round. A target that stays at its limit gets one more
// request every growInterval. If the target refuses a request, the limit is halved, at most once
// per cooldown. A target that cannot be reached is suspected and gets no requests for a back-off
// that doubles with each failure. A target's report that it is leaving, or that it wants a
// back-off, keeps new requests from it regardless of the target list; see package availability.
//
// The reserve is the percentage of the slots that requests from other regions may not use. In
// settings and in the routing table it is called the floor.
package balance

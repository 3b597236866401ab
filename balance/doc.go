// Package balance provides the choice of a target for a request among the
// targets of a hall, and the bound on what the targets are given.
//
// A Pool keeps, for one service at one instance, the targets of the hall with
// the slots that are this instance's share of each. A request takes a slot, or
// waits for one in a queue that is bounded by deadlines, or is refused at once
// with the time after which to come back.
//
// A target's limit is at most its share. It starts at one and doubles with
// every round of answers while the target is warm, that is, while its latency
// stays near the pool's usual; a cold target's limit rises by one a round. A
// target that stays at its limit gets one more each growEvery. When
// the target refuses work the limit is halved, once per cooldown however many
// refusals arrive. A target that can't be reached is left out for a while that
// doubles with each failure. What a target says of itself keeps new work from it whatever
// the list says: see package availability.
package balance

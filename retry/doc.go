// Package retry defines the outcomes of an attempt, the rules for retrying a request, and two
// budgets that keep retries from multiplying the load: Budget for a single process, and TokenBucket
// for all instances together.
package retry

// Package retry defines the outcomes of an attempt, the rules for retrying a request, two budgets
// that keep retries from multiplying the load (Budget for a single process, and TokenBucket for all
// instances together), and ConnectBudget, which bounds the time for which one request waits for
// connections.
package retry

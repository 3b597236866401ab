// Package retry provides the outcomes of an attempt, the rules for trying
// again, and the budget that keeps retries from multiplying load.
package retry

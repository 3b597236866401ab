// Package hedge decides when a second attempt of a request is due while the first one is still
// unanswered.
//
// A hedged request is one that is sent to a second target because the first one has not answered for
// longer than nearly all comparable attempts take; the first complete response is used, and the other
// attempt is ended. See Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013,
// pages 74 to 80. The hedge is the second attempt. The hedge delay is the time from the start of the
// first attempt to that of the second.
//
// An Estimator learns the delay from the durations of attempts that were answered. A Budget bounds the
// hedges to a fraction of the requests. Both are pure: times are arguments, and there is no goroutine,
// socket or clock inside.
package hedge

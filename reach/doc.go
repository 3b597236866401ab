// Package reach decides whether an instance has lost its links to all targets.
//
// An instance sees a target through its own links only. A connection that is refused, resets or
// hangs may mean that the target is down, or that the links of the instance are. A single target
// that fails says little; if several fail, or if requests run for long without a single response,
// the instance checks other targets by opening connections to them. If none of them can be
// connected to, the targets are lost for this instance: the fault is taken to be its own. While
// they are lost, it probes a few targets at a time, so that it notices the end of the fault soon
// and without the help of requests.
//
// A Tracker is pure: it opens no connection itself. Its caller reports what the requests to targets
// and the checks show, and asks when the next check is due.
package reach

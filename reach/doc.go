// Package reach decides whether an instance has lost its links to all targets, or to those of some halls.
//
// An instance sees a target through its own links only. A connection that is refused, resets or
// hangs may mean that the target is down, or that the links of the instance are. A single target
// that fails says little; if several fail, or if requests run for long without a single response,
// the instance checks other targets by opening connections to them. If none of them can be
// connected to, the targets are lost for this instance: the fault is taken to be its own. While
// they are lost, it probes a few targets at a time, so that it notices the end of the fault soon
// and without the help of requests.
//
// A hall is lost for an instance if none of the hall's targets can be reached while those of other halls
// can. The evidence are the failures of several different targets of the hall since the last success
// there; a check of more of its targets confirms it. Whether the targets or the links failed makes no
// difference to what the instance does. A middlebox may accept connections and drop what is sent, so that
// a hall whose targets can be connected to but do not respond is checked by health requests.
//
// An instance is isolated if it is cut off from everything outside its own hall.
//
// A Tracker decides for all targets, and Halls for each hall. Both are pure: they open no connection
// themselves. Their caller reports what the requests to targets and the checks show, and asks when the
// next check is due.
package reach

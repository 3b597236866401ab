// Package availability tells whether a target may be sent requests, and why not.
//
// A State holds all that an instance knows of one incarnation of a target that keeps requests
// from it. Each fact, a mark, has a cause, a source, and the time from which on it is known.
// Lasting marks hold until their source takes them back, timed ones until a time.
//
//   - leaving: the list of targets, the target's own word, or an operator says that it leaves.
//     The target's own word holds as long as the incarnation: a list that still says that it
//     serves may be older, whenever it comes.
//   - gone: the target is no longer listed.
//   - replaced: another target has answered at its address.
//   - evacuated: its hall is being emptied.
//   - resting: the target has asked to get nothing from this instance for a while.
//   - suspected: it did not answer, or could not be reached.
//   - paused: it gets nothing for a moment, as it has just turned a request away.
//
// A target's word is what it says of itself in an answer, beside the answer: that it leaves,
// or that it wants to rest. Departures are the leavings by targets' own words, which all
// instances tell each other. A rest is between a target and one instance.
//
// All is pure: time comes in as an argument.
package availability

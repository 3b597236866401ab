// Package availability decides whether a target may be sent requests, and gives the cause if not.
//
// A State holds the conditions that exclude one incarnation of a target from requests. Each
// condition has a cause, a source, and the time from which on it is known. A persistent condition
// lasts until its source clears it, a timed condition until a certain time. The causes are:
//
//   - leaving: the list of targets, the target itself, or an operator states that the target is
//     about to shut down. The target's own announcement holds as long as the incarnation, since
//     a list in which the target still serves may be older, whenever it arrives.
//   - gone: the target is no longer in the list.
//   - replaced: another target has answered at its address.
//   - evacuated: its hall is being evacuated, so that the targets of the hall get no requests.
//   - resting: the target has requested a back-off: it wants no requests from this instance for
//     some time.
//   - suspected: it did not answer, or could not be reached.
//   - paused: it gets no requests for a short time because it has just rejected one.
//
// Targets report about themselves along with their answers. A SelfReport announces that the target
// is leaving, requests a back-off, or announces a rate limit. Announcements of leaving (Departures)
// and rate limits (RateLimits) are replicated to all instances. A back-off holds only between the
// target and the instance that received the report.
//
// No type of the package reads the clock or does I/O: callers pass the current time.
package availability

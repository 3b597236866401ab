// Package quarantine decides which requests to hold because targets crash while running them.
//
// A request that crashes its target, also known as a query of death, usually comes again: under
// another request ID, and through any instance. The state is therefore keyed by a digest of the
// request's content and replicated to all instances.
//
// A crash is the unplanned end of a target. A request's record holds the crashes of the targets
// at which the request was, unanswered, when they crashed. A crash is recorded for each request
// that was at the target. One crash is therefore weak evidence against a request, and crashes
// of several targets are strong evidence. An answer shows that the request does not crash its
// targets, and clears all earlier crashes from its record: a request that crashes its targets is
// never answered.
//
// A request with fewer than suspectCrashes crashes is Allowed. From that number on it is Suspect:
// instances send it only as a trial, one trial at a time over all instances. A trial that is
// answered clears the request. A trial during which the target crashes has failed: the request is
// then Held, that is refused, for a back-off that grows with the number of failed trials. After
// maxFailedTrials failed trials or maxCrashes crashes it is Held until its record expires. Records
// expire some time after their last crash.
//
// Crashes and answers carry their ages when instances exchange them. Merging updates into a Table
// gives the same result in any order, also if updates arrive late or more than once. The trials
// of a request are granted by one instance, its coordinator. During a network partition each
// side may have a coordinator of its own. The number of crashes in a record bounds the trials of
// all sides.
//
// Client accounts are judged by the same crashes. An account is flagged if targets crash again
// and again under different requests of it. The requests of a flagged account that have not been
// answered before are sent as trials only. See Table.FlagAccounts.
//
// A CrashCorrelator finds out which requests were at a target when it crashed.
//
// No type of the package reads the clock or does I/O: callers pass the current time.
package quarantine

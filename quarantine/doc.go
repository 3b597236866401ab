// Package quarantine decides which requests are held back because targets end under them.
//
// A request that makes a target end comes again, under another ID, at any instance. What is
// remembered is therefore kept by the digest of its content, and by all instances together.
// The fact that is kept is an end: a request with a digest was at a target, unanswered, when
// the target ended. Whatever else was at the target has the same end noted, so that an end
// says little; several at different targets say more. An answer says that a request does not
// end targets, and clears it of all ends before: a request that does is never answered.
//
// A request with fewer ends than suspectEnds is free. One with more is suspect: it is sent
// only as a trial, one at a time over all instances. A trial that is answered frees it; one
// that ends its target holds the request back for a while, longer each time. A request on
// which nothing was learned for long is forgotten.
//
// Ends and answers are facts with an age, and a table of them is merged with that of another
// instance in any order, late and more than once, with the same result. The trials of a
// request are granted by one instance, its warden; where instances are cut off from each
// other there may be one on each side, and the number of ends bounds them all.
//
// Accounts are judged by the same facts: one under whose different requests targets end, again
// and again, is flagged, and those of its requests that were not answered before are trials. See
// Table.Flag.
//
// Table and Warden are pure: time comes in as an argument.
package quarantine

// Package feed replicates objects of a store that other parties write, from the
// instances that watch the store (the watchers) to all others.
//
// A Position is a point in the history of the store: a revision within an era. The store
// begins a new era when it comes back from a copy of itself; its latest changes are gone
// then, and their revisions are given out again. A position of a later era is later.
//
// A Replica holds the objects of one kind as of a position. A Delta carries every change
// of the kind between two positions of an era; a full delta carries the whole kind. A delta
// applies to a replica only if it begins at or before the replica's position and ends after
// it, so that a replica moves forward only and leaves nothing out, whatever is lost, delayed
// or repeated on the way and whoever sends it. Only a full or an exact delta leads to
// another era. An exact delta is the difference of two states; it applies only
// to a replica at the first of them.
//
// CatchUp decides, for a replica that is behind, which instance is asked for what it
// lacks. Lapse holds back removals that follow an outage of the store.
//
// All three are pure: time comes in as an argument, and there is no goroutine or
// connection inside.
package feed

// Package feed replicates objects of a store that other parties write, from the
// instances that watch the store (the watchers) to all others.
//
// A Replica holds the objects of one kind as of a revision of the store. A Delta
// carries every change of the kind between two revisions; a full delta carries
// the whole kind. A delta applies to a replica only if it begins at or before
// the replica's revision and ends after it, so that a replica moves forward
// only and leaves nothing out, whatever is lost, delayed or repeated on the way
// and whoever sends it. An exact delta is the difference of two states; it applies only
// to a replica at the first of them.
//
// CatchUp decides, for a replica that is behind, which instance is asked for what it
// lacks. Lapse holds back removals that follow an outage of the store.
//
// All three are pure: time comes in as an argument, and there is no goroutine or
// connection inside.
package feed

// Package feed replicates the objects of an external store. Instances that watch the store
// (the watchers) distribute its changes to all other instances.
//
// A Position is a point in the history of the store: a revision within an era. The store
// begins a new era when it is restored from a backup. The changes after the backup are lost
// then, and their revisions are assigned again. A position of a later era is later,
// whatever its revision.
//
// A Replica holds the objects of one kind as of a position. A Delta carries every change of
// the kind between two positions of an era. A full delta carries all objects of the kind. A
// delta applies to a replica only if it begins at or before the replica's position and ends
// after it. A replica therefore only moves forward and misses no change, even if deltas are
// lost, delayed or duplicated, and whichever instance sends them. Only a full or an exact
// delta leads to another era. An exact delta is the difference of two states and applies
// only to a replica that holds the objects of the first of them, which their digest shows.
//
// A replica holds exactly the objects that the store had at its position. It is in doubt if it
// was made of a torn list, whose pages are of different ages, or if another replica holds other
// objects at the same position. What it sends then says so. A list of the store ends the doubt.
//
// A replica knows the position of the last change of each object, and of the removals that its
// history has room for. The delta for another replica has each object once. If it is too long
// for one message, the other replica requests it in parts, which an Assembly joins: each Part
// states the Progress that it begins at and the one that it leads to.
//
// CatchUp chooses the instance from which a replica that is behind requests the missing
// changes. RemovalHold delays removals that follow an outage of the store. Tombstones
// suppresses removed objects that a restored store lists again.
//
// None of these types has goroutines, connections or a clock: the time is an argument of
// their methods.
package feed

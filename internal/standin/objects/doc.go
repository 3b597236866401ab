// Package objects provides an in-memory stand-in for the platform's object store, with its HTTP interface, for
// tests and demonstrations.
//
// The store holds objects by kind and name. Each change of any object increments the store's revision. Writes
// may be conditional on an object's revision. An object has a spec, a status and finalizers: a deletion by HTTP
// only marks an object as deleting while it has finalizers. Lists are paged. Watches return the changes after a
// revision; those from before the start of the history, which CompactHistory discards, get status 410.
//
// The store can be restored from a backup, which is simulated by an undo log. The store's era counts these
// restores. Each response carries it in the header Store-Era, since revisions repeat after a restore.
//
// Faults simulates the failures of the real store: outages, delays, lost responses and refused clients.
//
// The platform's objects have the platform's own vocabulary: a server is a target, a zone is a hall, and a
// tenant is a client account.
package objects

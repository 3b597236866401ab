// Package objectstore provides the client of the platform's versioned object
// service, which holds everything that has to outlive an instance.
//
// An object is a key with a JSON value and a version. Versions are drawn from
// one counter of the whole service (its revision), so a later write always has
// the larger version, whichever object it touches. A write is conditional on
// the version that the writer has read; version 0 stands for "must not exist".
// A watch returns the objects below some prefixes that changed after a
// revision, or waits until there is one.
//
// The service may come back from a copy of itself: its latest writes are gone,
// and its counter goes on from the copy's. It is in a new era then. A version
// that a Client returns holds the era too, so that what is read later has the
// larger version across eras as well.
//
// A write has three results: it took effect, it did not (ConflictError,
// ErrUnavailable), or the writer cannot know (ErrUncertain), in which case it
// has to read back and look for a mark of its own.
package objectstore

// Package objectstore provides the client of the platform's versioned object
// service, which stores everything that has to outlive an instance.
//
// An object is a key with a JSON value and a version. The service numbers all
// writes with one counter. The current value of the counter is the revision of the
// service. The service may be restored from a backup. The writes after the backup
// are lost then, and the counter continues from its value in the backup, so that
// numbers repeat. The era of the service is the number of its restores. A version
// that a Client returns contains the era and, below it, the number of the write.
// A later write therefore has a larger version, whichever object it changes, also
// from one era to the next.
//
// A write is conditional on the version that the writer has read. A write with
// version 0 succeeds only if the object does not exist. A watch returns the objects
// with given key prefixes that have changed since a revision. If there are none, it
// waits for a change for a limited time. It reports a removed object as Deleted.
//
// A write has one of three results: it took effect, it did not take effect
// (*ConflictError, ErrUnavailable, ErrTooLarge), or the result is unknown
// (ErrUncertain). In the last case the writer has to read the object back and look
// for a value that only this write can have stored, such as the unique ID of a
// change in package config.
package objectstore

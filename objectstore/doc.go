// Package objectstore provides the client of the platform's versioned object
// service, which stores everything that has to outlive an instance.
//
// An object is a key with a JSON value and a version. Versions are drawn from
// one counter of the whole service, whose present value is the service's
// revision. A later write therefore has a larger version, whichever object it
// changes. A write is conditional on the version that the writer has read.
// Version 0 means that the object must not exist. A watch returns the objects
// below some prefixes that changed after a revision, or waits for such a change.
//
// The service may be restored from a backup. The writes after the backup are lost
// then, and the counter continues from its value in the backup. The era of the
// service is the number of its restores. A version that a Client returns contains
// the era, so that versions also grow from one era to the next.
//
// A write has one of three results: it took effect, it did not take effect
// (ConflictError, ErrUnavailable, ErrTooLarge), or the result is unknown
// (ErrUncertain). In the last case the writer has to read the object back and look
// for a value that only this write can have stored.
package objectstore

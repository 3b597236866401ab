// Package caller provides the library that callers embed: it asks the system
// which entry instances to use, keeps the answer for its time to live, fails
// over along the list, and tells apart what ran, what did not and what is not
// known.
//
// A request of a service that runs operations at most once needs a key
// (NewKey). After an *UnknownError the same operation may be asked again with
// the same key: the system either runs it for the first time, or says what
// became of it.
package caller

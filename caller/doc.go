// Package caller provides the client library for callers, which are the programs
// that send requests to the system. The library looks up which instances a caller
// should use, caches the result for its TTL, and fails over from one instance to
// the next. Its errors distinguish requests that did not run from requests whose
// outcome is unknown.
//
// A request to a service that runs operations at most once needs a key, which NewKey
// returns. After an *UnknownError the caller may repeat the operation with the same
// key. The system then either runs it for the first time or returns the outcome of
// the earlier attempt, as far as it is known.
package caller

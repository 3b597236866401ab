// Package resolver decides how a process that has no view of the fleet answers the look-ups of
// clients from the responses of instances.
//
// A look-up asks for the instances that the clients of a hall should use. A Cache keeps the last
// response of an instance to each Query. A response is fresh for FreshTime. After that the Cache
// asks for a fetch, which is one attempt after another to get a new response from an instance. In the
// meantime it answers with the last response, or makes look-ups wait if that is older than
// StaleTime. It never answers with a response that is older than MaxAge.
//
// Candidates are the instances to ask, in order: the own instance, which is that of the same
// machine, then the instances that the kept responses name. Near instances are likely to be of the
// same hall, the others are distant. Instances that failed within failureTime come last.
//
// A Cache is pure: it opens no connection and reads no clock. It is not safe for concurrent use.
package resolver

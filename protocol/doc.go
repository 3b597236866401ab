// Package protocol defines the HTTP interface between callers, entry instances and
// targets: paths, headers and the body of a refusal.
//
// A caller is a client of the system. An entry instance is an instance that accepts
// requests of callers and sends each of them to a target. An operation is what a
// caller wants to have done. The caller may send several requests for it, which are
// the attempts at the operation. A refusal is a response that an entry instance
// writes itself because it has no response of a target.
package protocol

// Package backend provides a stand-in for a target: a server with a number of
// slots, a service time, a cold start, refusals, draining, and faults that a
// test sets. A slot is the right to run one request at a time. The server
// counts the requests that it has run by their idempotency key.
//
//	POST /…            runs an operation: reads the body, answers with its SHA-256
//	GET  /blob/BYTES   runs a request with a large answer
//	GET  /…            runs a request with a small answer
//	GET  /health       returns "ok", or 503 while draining unless AlwaysHealthy is set
//	GET  /load         returns the number of slots and of those in use
package backend

// Package backend provides a stand-in for a target: a server with a number of
// slots, a service time, a cold start, refusals, a planned drain, and faults
// that a test sets. It counts by operation key what truly ran.
//
//	POST /…            runs an operation: reads the body, answers with its SHA-256
//	GET  /blob/BYTES   runs a request with a large answer
//	GET  /…            runs a request with a small answer
//	GET  /health       says "ok", whatever is true when it is told to lie
//	GET  /load         says how many slots are in use
package backend

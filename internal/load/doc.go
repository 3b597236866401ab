// Package load generates open-loop load through the client library in package caller. It verifies
// the content of the responses by SHA-256, and records latencies in HDR histograms.
//
// The start of each request is drawn from a Poisson process, independently of whether earlier
// requests have ended. Latency is measured from the drawn start, so that a stall of the generator or
// of the system shows in the latencies (no coordinated omission).
package load

// Package load provides an open-loop load of requests through the caller
// library, with answers checked byte for byte and latencies kept in HDR
// histograms.
//
// Requests start at times drawn beforehand, whether or not earlier ones have
// ended, and latency counts from that time, so that a stall is not hidden.
package load

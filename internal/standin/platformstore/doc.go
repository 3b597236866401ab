// Package platformstore provides a stand-in for the platform's versioned
// object service: the HTTP interface that package platform calls, kept in
// memory, with call counts, rate limits and faults that a test or an operator
// of the demo sets while it runs.
package platformstore

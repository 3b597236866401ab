// Package platformstore provides an in-memory stand-in for the platform's
// versioned object store, with the HTTP interface that package objectstore
// defines. It has rate limits, counts of requests, and faults that a test or an
// operator of the demo sets at run time. The store's revision is incremented by
// each write; its era is incremented by each restore from a backup and sent
// with each response.
package platformstore

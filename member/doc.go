// Package member provides an instance's view of the other instances: which ones exist, which are
// live, leaving or suspected to have failed, and how loaded they are.
//
// The view merges two sources. The platform's list names all instances, but lags behind. Heartbeats
// arrive without this lag, but can be lost, and stop during a network partition between halls. An
// instance that is leaving by either source remains so, since an ID is never used again after its
// process has ended.
package member

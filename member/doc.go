// Package member provides the view that one instance has of the others: which
// there are, which are alive, leaving or suspected to be dead, and how loaded
// they are.
//
// Two sources are merged. The platform's list names all instances but lags.
// Heartbeats tell at once but can be lost, and stop where halls are cut from
// each other. An instance that either source calls leaving is leaving for
// good: an ID is never used again after its process has ended.
package member

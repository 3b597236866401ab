// Package e2e contains end-to-end tests. They build the programs of this module and
// run instances, targets and the platform stand-in as separate processes.
package e2e

// Package e2e holds the tests that build the programs and run them as separate
// processes.
package e2e

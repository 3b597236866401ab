// Package experiment measures a complete deployment (an estate of package demo) on
// the loopback interface. A run sends a load, injects the fault of a scenario after
// a third of its duration, and uses either the policies of the daemon or a simpler
// baseline, such as round robin, for comparison.
package experiment

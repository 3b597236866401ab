// Package experiment provides measured runs of a whole estate on loopback: a
// load, a fault in the middle, and a policy or one of the simpler ones that it
// is compared with, all behind the same interface.
package experiment

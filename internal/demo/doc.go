// Package demo provides a whole estate in one process on loopback: the stand-in
// platform, the targets, and the entry instances on TCP as they would run, with
// a load through the caller library.
package demo

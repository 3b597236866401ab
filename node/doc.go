// Package node provides one entry instance as a library: it wires the deciding
// packages to sockets, clocks and the platform. The daemon rainfordd is a thin
// shell around it.
//
// The configuration pipe is
//
//	watch -> decode -> check -> compile -> publish
//
// Objects of the platform arrive by a watch, or from another instance that has
// a newer version. Whichever way one comes, an older version than the one held
// is dropped, so nothing that was in force is ever put back.
package node

// Package node runs one entry instance as a library. It connects the packages that make
// decisions to sockets, clocks and the platform's object store. The daemon rainfordd only adds
// a command line.
//
// The store holds the configuration, the list of instances, the targets of each hall, the
// address blocks of callers for look-ups, and the roster of each hall, which assigns the hall's
// seats to its instances (see package seat). An instance receives the objects through a watch on
// the store or from another instance that has a newer version. It ignores versions older than
// the one it holds, so a superseded version never comes into force again. A new version of the
// configuration passes through these steps:
//
//	watch -> decode -> check -> compile -> publish
package node

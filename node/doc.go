// Package node runs an instance inside a process of its caller. It connects the packages that
// decide, which do no I/O, with sockets, clocks and the platform's object store (see package
// objectstore). The daemon rainfordd only adds a command line.
//
// The store holds the configuration, the list of instances, the targets of each hall, the client
// address blocks, from which package lookup finds the home hall of a client, and the roster of each
// hall, which assigns the hall's seats to its instances (see package seat). Each of them is stored
// as objects with versions. An instance receives the objects through a watch on the store or from
// another instance that has a newer version. It ignores versions that are not newer than the one it
// holds. Versions also grow when the store is restored from a backup, so a superseded version never
// comes into force again. If a restored store holds an earlier configuration than the one in force,
// the instances keep theirs, and one of them writes it to the store again. A new version of the
// configuration passes through these steps:
//
//	receive -> decode -> check -> compile to a plan -> publish to the rest of the instance
//
// If a step fails, the instance logs the error and keeps the version in force.
package node

// Package demo runs a complete deployment, called an estate, in one process on
// the loopback interface: a stand-in of the platform's store, targets, and
// instances that listen on TCP as in production. A load generator sends requests
// through the client library (package caller) or over plain HTTP while the
// configuration changes and faults occur. The result is a report that lists the
// invariants that were violated.
//
// An estate has regions, each with some halls. A hall is a group of instances and
// targets in one building. A row of the routing table holds the weight and the cap
// of the requests for one service from one region to another.
package demo

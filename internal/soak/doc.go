// Package soak is a fault-injection soak test. It runs the gateway program as separate
// processes on loopback, injects faults from outside the processes, and checks the documented
// guarantees by what clients and servers observe.
//
// A plan (plan.go) is the list of faults with their times; the seed alone determines it. The
// site (site.go) holds a stand-in of the store, stand-ins of the servers, the gateway
// processes, and a TCP proxy (proxy.go) in front of each of their addresses. Clients
// (clients.go) resolve addresses, keep connections open, retry, upload, and cancel some of
// their requests. The oracle (oracle.go) judges what they observe and shares no decision code
// with the gateway. Each of its checks is a rule with a name in capitals, such as TWICE, and a
// failed check is a violation.
//
// An instance is connected when no fault has disturbed it for the contact time. Guarantees
// that need contact with the store or with peers are checked only for connected instances.
// Further terms are hall (a group of instances and servers in one building) and account (the
// client account that a request belongs to).
package soak

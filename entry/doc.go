// Package entry provides the path of a request through an entry instance, over
// net/http, as a pipe of filters:
//
//	log -> deadline -> classify -> claim -> region -> cap -> target -> dispatch
//
// Each filter does one job and passes the exchange on. What it decides it asks
// the deciding packages (route, share, balance, claim, retry); this package
// only wires them to sockets.
//
// A request that entered here goes to a target of the own hall, or through one
// hop to another instance, which sends it to a target of its hall. A request
// that came by a hop goes to a target of the own hall or is refused.
//
// Bodies stream in both directions. An answer that breaks midway breaks the
// connection of whoever waits for it, so that it never looks whole.
package entry

// Package fleet provides the membership of the instances: who there is, who is
// alive, who is leaving, and who watches the store for the others.
//
// Every instance numbers its heartbeats. Instances gossip in rounds: each passes on the
// highest numbers that it has heard of, so that the cost of an instance does not
// grow with the square of the fleet. An instance whose number has not risen for
// a while is asked directly (a probe), and suspected if that does not help. A suspected
// instance is neither told to clients nor chosen as a watcher; it is not removed,
// since it may be cut off and come back. In a fleet of 32 and more an instance
// follows its own region and the watchers of others; other members are unknown
// unless they have just written.
//
// The members of a region stand on a ring, those of a hall next to each other. It
// gives the partners of a round, and the way of a change that is to reach all: see
// Spread.
//
// View is pure: time and randomness come in as arguments.
package fleet

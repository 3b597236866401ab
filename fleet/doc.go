// Package fleet provides the membership of the instances: which instances exist, which are alive or
// stopping, and which watch the store on behalf of the others.
//
// Every instance numbers its heartbeats. Instances gossip in rounds: in each round an instance
// sends the highest heartbeat number that it has received of each member to a few partners, so that
// the cost of an instance does not grow with the square of the number of instances. An instance
// whose number has not risen for a while is probed directly, and is suspected if it doesn't reply.
// A suspected instance is neither returned to clients nor chosen as a watcher. It remains a member,
// since it may be on the other side of a network partition and return.
//
// Watchers are the instances of a region that watch the store for changes. In a fleet of more than 32
// members an instance tracks its own region and the watchers of the others. Members that it does
// not track are unknown, unless a heartbeat of them has arrived recently. Gossip between regions
// carries heartbeats of a few further members in turn, so that each instance knows some living members of
// each region besides the watchers.
//
// The members of a region form a ring on which the members of a hall are adjacent. The ring
// determines the gossip partners of a round, and the tree on which an urgent change is broadcast,
// see View.Branches.
//
// The package performs no I/O and reads no clock: time and randomness are passed in as arguments.
package fleet

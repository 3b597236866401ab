package fleet

import "time"

// Member identifies an instance. Its name stays the same when its process restarts.
type Member struct {
	Name   string `msgpack:"n" json:"name"`
	Hall   string `msgpack:"h" json:"hall"`
	Region string `msgpack:"r" json:"region"`
	// FrontAddr is the address for requests of clients.
	FrontAddr string `msgpack:"f" json:"front_addr"`
	// PeerAddr is the address for messages of other instances.
	PeerAddr string `msgpack:"p" json:"peer_addr"`
	// Capacity is the number of requests per second that the instance can carry by its limits, or 0
	// if these are unknown.
	Capacity int `msgpack:"c,omitempty" json:"capacity,omitempty"`
}

// Flags are the properties that a process reports of itself.
type Flags uint8

// Flags of a process.
const (
	// Ready is set if the process has a configuration and accepts requests.
	Ready Flags = 1 << iota
	// Leaving is set once the process has begun its planned shutdown.
	Leaving
	// StoreUnreachable is set while the process can't reach the store.
	StoreUnreachable
	// Watching is set while the process watches the store.
	Watching
	// TargetsLost is set while the process reaches no target, and for a moment after that. An encoded
	// list of heartbeats does not contain it, see Heartbeats.With.
	TargetsLost
	// HallsLost is set while the process reaches no target of some hall. Like TargetsLost, an encoded
	// list of heartbeats does not contain it.
	HallsLost
)

// Overloaded is set while the processor of the process has a queue. Like TargetsLost it is not part of
// an encoded list of heartbeats.
const Overloaded Flags = 1 << 6

// State is the state of a member in a view.
type State string

// States of a member.
const (
	// Alive members have sent a heartbeat recently, directly or through others.
	Alive State = "alive"
	// Suspect members refuse connections, or their expected heartbeats have not arrived.
	Suspect State = "suspect"
	// Stopping members have begun their planned shutdown.
	Stopping State = "leaving"
	// Unknown members have no recent heartbeat and none is expected: they have only just been
	// added, or belong to another region of a fleet that is too large to track all members.
	Unknown State = "unknown"
)

// Status is the state of a member in a view.
type Status struct {
	Member
	State State
	Flags Flags
	// HeardAt is the time at which the latest heartbeat arrived, or zero if none has. It is zero
	// for the own member.
	HeardAt time.Time
}

// ReachesTargets reports whether the member can send requests to targets, also for other instances.
func (s Status) ReachesTargets() bool { return s.Serves() && s.Flags&TargetsLost == 0 }

// ReachesAllHalls reports whether the member can send requests to the targets of every hall.
func (s Status) ReachesAllHalls() bool { return s.ReachesTargets() && s.Flags&HallsLost == 0 }

// Serves reports whether clients may be directed to the member.
func (s Status) Serves() bool { return s.State == Alive && s.Flags&Ready != 0 }

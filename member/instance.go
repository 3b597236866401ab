package member

import (
	"time"

	"github.com/rainford/rainford/seat"
)

// Instance describes an instance, as in the platform's list.
type Instance struct {
	// ID is unique to one process. An instance gets another ID when it restarts.
	ID     string `json:"id" msgpack:"id"`
	Hall   string `json:"hall" msgpack:"h"`
	Region string `json:"region" msgpack:"r"`
	// CallerAddr is the address for look-ups and requests of clients.
	CallerAddr string `json:"caller_addr" msgpack:"c"`
	// HopAddr is the address for requests that other instances forward.
	HopAddr string `json:"hop_addr" msgpack:"x"`
	// PeerAddr is the address for messages of other instances.
	PeerAddr string `json:"peer_addr" msgpack:"p"`
	// AdminAddr is the address for operators' calls.
	AdminAddr string `json:"admin_addr" msgpack:"a"`
	// Leaving is set once the instance has begun its planned shutdown.
	Leaving bool `json:"leaving,omitempty" msgpack:"l"`
}

// Load is the load of an instance's targets for one service, as the instance reports it.
type Load struct {
	Service  string `msgpack:"s" json:"service"`
	Limit    int    `msgpack:"l" json:"limit"`
	InFlight int    `msgpack:"i" json:"in_flight"`
	Free     int    `msgpack:"f" json:"free"`
	Slots    int    `msgpack:"n" json:"slots"`
}

// Heartbeat is the message that an instance sends periodically to others.
type Heartbeat struct {
	From  Instance       `msgpack:"f"`
	Seat  seat.Heartbeat `msgpack:"s"`
	Ready bool           `msgpack:"r"`
	// Config is the version of the configuration in force at the sender.
	Config int64 `msgpack:"c"`
	// Targets is the version of the sender's list of the targets of its hall.
	Targets int64  `msgpack:"t"`
	Loads   []Load `msgpack:"l"`
	// Heard lists the IDs of the other instances of the sender's hall from which it has received a
	// heartbeat recently. Because of it, other halls need not receive heartbeats from each instance
	// of the hall.
	Heard []string `msgpack:"h"`
}

// State is the state of an instance in a view.
type State string

// States of an instance.
const (
	// Live instances are known to have been alive recently.
	Live State = "live"
	// Suspect instances are not known to have been alive recently, or a connection to them has
	// failed.
	Suspect State = "suspect"
	// Leaving instances have begun their planned shutdown.
	Leaving State = "leaving"
)

// Status is the status of an instance in a view.
type Status struct {
	Instance
	State  State
	Ready  bool
	Config int64
	Loads  []Load
	// HeardAt is the time at which the last heartbeat arrived.
	HeardAt time.Time
	// LastAlive is when the instance was last known to be alive: its last heartbeat, the last
	// report by another instance of its hall, or its first appearance on the list.
	LastAlive time.Time
}

// LoadOf returns the reported load of the instance's targets for a service. All numbers are 0 if
// there is no report.
func (s *Status) LoadOf(service string) Load {
	for _, l := range s.Loads {
		if l.Service == service {
			return l
		}
	}
	return Load{Service: service}
}

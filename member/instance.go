package member

import (
	"time"

	"github.com/rainford/rainford/seat"
)

// Instance is one entry instance as it stands in the platform's list.
type Instance struct {
	// ID is unique to one process: a restarted instance has another.
	ID     string `json:"id" msgpack:"id"`
	Hall   string `json:"hall" msgpack:"h"`
	Region string `json:"region" msgpack:"r"`
	// CallerAddr takes look-ups and requests of callers.
	CallerAddr string `json:"caller_addr" msgpack:"c"`
	// HopAddr takes requests of other instances.
	HopAddr string `json:"hop_addr" msgpack:"x"`
	// PeerAddr takes frames of other instances.
	PeerAddr string `json:"peer_addr" msgpack:"p"`
	// AdminAddr takes the calls of operators.
	AdminAddr string `json:"admin_addr" msgpack:"a"`
	// Leaving is set once the instance has begun its planned stop.
	Leaving bool `json:"leaving,omitempty" msgpack:"l"`
}

// Load is what an instance says of its targets for one service.
type Load struct {
	Service  string `msgpack:"s" json:"service"`
	Limit    int    `msgpack:"l" json:"limit"`
	InFlight int    `msgpack:"i" json:"in_flight"`
	Free     int    `msgpack:"f" json:"free"`
	Slots    int    `msgpack:"n" json:"slots"`
}

// Heartbeat is what an instance tells another one every period.
type Heartbeat struct {
	From  Instance       `msgpack:"f"`
	Seat  seat.Heartbeat `msgpack:"s"`
	Ready bool           `msgpack:"r"`
	// Config is the version of the configuration in force at the sender.
	Config int64 `msgpack:"c"`
	// Targets is the version of the sender's list of its hall's targets.
	Targets int64  `msgpack:"t"`
	Loads   []Load `msgpack:"l"`
	// Heard names the other instances of the sender's hall that it has heard
	// of late. It spares the other halls hearing each of them.
	Heard []string `msgpack:"h"`
}

// State is the state of an instance in a view.
type State string

// The states.
const (
	// Live instances were heard of late.
	Live State = "live"
	// Suspect instances are listed and silent.
	Suspect State = "suspect"
	// Leaving instances have begun their planned stop.
	Leaving State = "leaving"
)

// Status is one instance as a view knows it.
type Status struct {
	Instance
	State  State
	Ready  bool
	Config int64
	Loads  []Load
	// HeardAt is the arrival of the last heartbeat.
	HeardAt time.Time
	// LastAlive is when the instance was last known to be alive: heard by
	// this one or one of its hall, or new on the list.
	LastAlive time.Time
}

// LoadOf returns what the instance says of its targets for a service.
func (s *Status) LoadOf(service string) Load {
	for _, l := range s.Loads {
		if l.Service == service {
			return l
		}
	}
	return Load{Service: service}
}

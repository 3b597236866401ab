package fleet

// Member is one instance. Its name outlives its processes.
type Member struct {
	Name   string `msgpack:"n" json:"name"`
	Hall   string `msgpack:"h" json:"hall"`
	Region string `msgpack:"r" json:"region"`
	// FrontAddr takes requests of clients.
	FrontAddr string `msgpack:"f" json:"front_addr"`
	// PeerAddr takes messages of other instances.
	PeerAddr string `msgpack:"p" json:"peer_addr"`
}

// Flags are what a process says of itself.
type Flags uint8

// The flags.
const (
	// Ready processes have a configuration and take requests.
	Ready Flags = 1 << iota
	// Leaving processes have begun their planned stop.
	Leaving
	// StoreUnreachable processes do not reach the store.
	StoreUnreachable
	// Watching processes watch the store now.
	Watching
)

// State is the state of a member in a view.
type State string

// The states.
const (
	// Alive members were heard of lately.
	Alive State = "alive"
	// Suspect members should have been heard of and were not, or refuse connections.
	Suspect State = "suspect"
	// Stopping members have begun their planned stop.
	Stopping State = "leaving"
	// Unknown members were not heard of and need not have been: they have just been
	// named, or they are of another region of a fleet too large to follow them all.
	Unknown State = "unknown"
)

// Status is a member as a view knows it.
type Status struct {
	Member
	State State
	Flags Flags
}

// Serves tells whether clients should be sent to the member.
func (s Status) Serves() bool { return s.State == Alive && s.Flags&Ready != 0 }

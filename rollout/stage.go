package rollout

import "time"

// Phase is the phase of a rollout.
type Phase uint8

// Phases, in their order.
const (
	// Waiting is the phase before the first new target is in service.
	Waiting Phase = iota
	// Canary is the phase in which a few requests go to a few new targets, which are lightly
	// loaded.
	Canary
	// Baking is the phase in which a few new targets get as many requests each as the old ones.
	Baking
	// Moving is the phase in which a growing share of the requests goes to all new targets.
	Moving
	// Moved is the phase in which all requests go to new targets while those at old targets
	// complete.
	Moved
	// Reverted is the phase in which no request goes to a new target any more.
	Reverted
)

var phaseNames = [...]string{"waiting", "canary", "baking", "moving", "moved", "rolled-back"}

// String returns the name of the phase as logged.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Stage determines which requests of a service go to new targets, at all instances.
type Stage struct {
	Order ID `msgpack:"o"`
	// Number is incremented when the stage changes, Heartbeat with each announcement by the leader.
	Number    uint32 `msgpack:"n"`
	Heartbeat uint32 `msgpack:"b"`
	Phase     Phase  `msgpack:"p"`
	// InstanceShare is the fraction of the instances that take part before the moving stages.
	// KeyShare is the fraction of the keys whose requests may go to new targets, RequestShare the
	// fraction of these requests that do, and TargetShare the fraction of the new targets that get
	// requests.
	InstanceShare float64 `msgpack:"s"`
	KeyShare      float64 `msgpack:"k"`
	RequestShare  float64 `msgpack:"d"`
	TargetShare   float64 `msgpack:"t"`
	// Age is the time since an instance first saw the order.
	Age time.Duration `msgpack:"a"`
	// Leader is the peer address of the leader. Term is incremented each time that an instance
	// becomes the leader.
	Leader string `msgpack:"l"`
	Term   uint32 `msgpack:"m,omitempty"`
	// Reason is the reason for a rollback.
	Reason Reason `msgpack:"r,omitempty"`
}

// totalShare returns the share of all requests that goes to new targets, if all keys get the same
// number of requests.
func (s Stage) totalShare() float64 { return s.InstanceShare * s.KeyShare * s.RequestShare }

// supersedes reports whether the stage replaces the current one of the same order. A rollback
// replaces all other stages and is never replaced.
func (s Stage) supersedes(current Stage) bool {
	if current.Phase == Reverted {
		return false
	}
	if s.Phase == Reverted || s.Number != current.Number {
		return s.Phase == Reverted || s.Number > current.Number
	}
	if s.Leader != current.Leader {
		// If two instances lead at the same time, all instances follow the same one.
		return s.Leader < current.Leader
	}
	return s.Heartbeat > current.Heartbeat
}

// Split determines which requests of a service an instance sends to new targets. The zero value
// sends none.
type Split struct {
	// Version is the version of the new targets.
	Version string
	// KeyShare, RequestShare and TargetShare are as in Stage.
	KeyShare, RequestShare, TargetShare float64
	// Ended reports whether the rollout has ended. The targets of the losing version are then not
	// used as long as there are others.
	Ended bool
}

// AllNew reports whether all requests go to new targets.
func (s Split) AllNew() bool { return s.KeyShare >= 1 && s.RequestShare >= 1 }

// ToNew reports whether a request goes to a new target. Key and draw are in [0, 1). Key is the same
// for all requests of a key, draw is chosen at random for each request.
func (s Split) ToNew(key, draw float64) bool { return key < s.KeyShare && draw < s.RequestShare }

// UsesTarget reports whether a new target gets requests. Point is in [0, 1) and the same for a
// target at all instances.
func (s Split) UsesTarget(point float64) bool { return point < s.TargetShare }

package rollout

import "time"

// Phase is how far a rollout is.
type Phase uint8

// The phases, in their order.
const (
	// Waiting rollouts have no new targets that serve.
	Waiting Phase = iota
	// Canary rollouts have a few requests at a few new targets, which have little to do.
	Canary
	// Baking rollouts have as many requests at a few new targets as old ones get.
	Baking
	// Moving rollouts have more and more requests at all new targets.
	Moving
	// Moved rollouts have all requests at the new targets, while those at the old ones end.
	Moved
	// Reverted rollouts have no requests at the new targets any more.
	Reverted
)

var phaseNames = [...]string{"waiting", "canary", "baking", "moving", "moved", "rolled-back"}

// String returns the name of the phase in logs.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Stage is what all instances do with a service's requests at a time.
type Stage struct {
	Order ID `msgpack:"o"`
	// Number rises with each change of the stage, and Beat each time that the leader tells it.
	Number    uint32 `msgpack:"n"`
	Heartbeat uint32 `msgpack:"b"`
	Phase     Phase  `msgpack:"p"`
	// InstanceShare is the part of the instances that take part before the requests move, Keys that of the keys
	// whose requests may go to new targets, Draw that of these requests that do, and Targets that
	// of the new targets that get any.
	InstanceShare float64 `msgpack:"s"`
	KeyShare      float64 `msgpack:"k"`
	RequestShare  float64 `msgpack:"d"`
	TargetShare   float64 `msgpack:"t"`
	// Age is the time since the order was first known.
	Age time.Duration `msgpack:"a"`
	// Leader is the peer address of the instance that decides, and Term rises each time that an
	// instance takes the lead.
	Leader string `msgpack:"l"`
	Term   uint32 `msgpack:"m,omitempty"`
	// Reason says why the leader has decided for a rollback.
	Reason Reason `msgpack:"r,omitempty"`
}

// totalShare is the part of all requests that the stage sends to new targets, if keys are alike.
func (s Stage) totalShare() float64 { return s.InstanceShare * s.KeyShare * s.RequestShare }

// supersedes tells whether a stage takes the place of another one of the same order. A rollback
// takes that of all others.
func (s Stage) supersedes(current Stage) bool {
	if current.Phase == Reverted {
		return false
	}
	if s.Phase == Reverted || s.Number != current.Number {
		return s.Phase == Reverted || s.Number > current.Number
	}
	if s.Leader != current.Leader {
		// Of two that lead at once all follow the same one.
		return s.Leader < current.Leader
	}
	return s.Heartbeat > current.Heartbeat
}

// Split is the part of a service's requests that an instance sends to new targets. The zero value
// sends none.
type Split struct {
	// Version is that of the new targets.
	Version string
	// KeyShare, RequestShare and TargetShare are as in a Stage.
	KeyShare, RequestShare, TargetShare float64
	// Ended says that the rollout has ended: the targets of the other version are not used any
	// more, as long as any other is there.
	Ended bool
}

// AllNew tells whether all requests go to new targets.
func (s Split) AllNew() bool { return s.KeyShare >= 1 && s.RequestShare >= 1 }

// ToNew tells whether a request goes to a new target. Key and draw lie in [0, 1): key is the same
// for all requests of a key, draw differs from request to request.
func (s Split) ToNew(key, draw float64) bool { return key < s.KeyShare && draw < s.RequestShare }

// UsesTarget tells whether a new target gets requests. Point is the same at all instances, in [0, 1).
func (s Split) UsesTarget(point float64) bool { return point < s.TargetShare }

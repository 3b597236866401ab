package peer

import (
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/upstream"
)

// kind is the kind of a frame.
type kind byte

// The kinds of frames.
const (
	kindHello kind = iota + 1
	kindHeartbeat
	kindAsk
	kindLoan
	kindPull
	kindObject
	kindClaim
	kindClaimReply
	kindGossip
	kindDelta
	kindSince
	kindProbe
	kindPermitAsk
	kindPermitIssue
	kindTrialAsk
	kindTrialAnswer
	kindAnswers
	kindRolloutReport
)

// Message is a message between instances.
type Message interface {
	kind() kind
}

// Hello opens a connection.
type Hello struct {
	From   string `msgpack:"f"`
	Secret string `msgpack:"s"`
}

// Heartbeat carries a member.Heartbeat.
type Heartbeat struct {
	member.Heartbeat
}

// Ask asks for a loan.
type Ask struct {
	share.LoanRequest
}

// Loan answers an Ask.
type Loan struct {
	share.Loan
}

// Pull asks for an object of the platform that the receiver has a newer
// version of.
type Pull struct {
	Key     string `msgpack:"k"`
	Version int64  `msgpack:"v"`
}

// Object passes an object of the platform on.
type Object struct {
	Key     string `msgpack:"k"`
	Version int64  `msgpack:"v"`
	Value   []byte `msgpack:"b"`
}

// Claim asks the receiver to write a claim.
type Claim struct {
	Shard claim.ShardID `msgpack:"s"`
	Op    claim.Op      `msgpack:"o"`
	// For is how long the sender waits for the reply.
	For time.Duration `msgpack:"d"`
}

// ClaimReply answers a Claim once the claim is in force.
type ClaimReply struct {
	Owner string      `msgpack:"o"`
	Reply claim.Reply `msgpack:"r"`
}

// Gossip tells of the beats that the sender knows and the positions that its replicas
// reflect.
type Gossip struct {
	// Beats begin with the sender's own, which names it.
	Beats fleet.Heartbeats `msgpack:"b"`
	// Member is the sender itself, for receivers that may not know it; nil in most
	// messages.
	Member *fleet.Member `msgpack:"m,omitempty"`
	// Positions are those of the sender's replicas, in an order of kinds that all
	// instances share. New kinds come last.
	Positions []feed.Position `msgpack:"p,omitempty"`
	// Busy are the loads of targets that have more requests than they can work on.
	Busy upstream.TargetReports `msgpack:"l,omitempty"`
	// Reply marks an answer to gossip, which is not answered again.
	Reply bool `msgpack:"a,omitempty"`
	// Unheard says that the sender should hear the receiver and does not.
	Unheard bool `msgpack:"h,omitempty"`
	// News are of requests under which targets have ended, and NewsSum is the same for
	// instances that know the same of those that are held back.
	News    quarantine.Updates `msgpack:"e,omitempty"`
	NewsSum uint32             `msgpack:"s,omitempty"`
	// Departures are targets that have said themselves that they leave, and DeparturesSum
	// is the same for instances that know of the same ones.
	Departures    availability.DepartureList `msgpack:"d,omitempty"`
	DeparturesSum uint32                     `msgpack:"c,omitempty"`
	// Limits are what targets have named of how much they take, and LimitsSum is the same for
	// instances that know the same.
	Limits    availability.RateLimitList `msgpack:"t,omitempty"`
	LimitsSum uint32                     `msgpack:"q,omitempty"`
	// Stages are those of rollouts that go on.
	Stages []rollout.Stage `msgpack:"g,omitempty"`
	// Until is the last member of the region that the receiver has to pass News, Departures, Limits
	// and Stages on to, 0 for none, and Enter has it pass them on to its whole region.
	Until fleet.ID `msgpack:"u,omitempty"`
	Enter bool     `msgpack:"w,omitempty"`
}

// TrialAsk asks the warden of a request under which targets have ended whether it may be
// sent.
type TrialAsk struct {
	Digest quarantine.Digest `msgpack:"d"`
	// From is the asker's name and ReplyTo its peer address.
	From    string `msgpack:"f"`
	ReplyTo string `msgpack:"a"`
	// For is how long the trial takes at most.
	For time.Duration `msgpack:"t"`
	// News are what the asker knows of the request.
	News quarantine.Updates `msgpack:"e,omitempty"`
	// Done says that the asker's trial has ended, and Answered that a target has answered.
	Done     bool `msgpack:"o,omitempty"`
	Answered bool `msgpack:"w,omitempty"`
}

// TrialAnswer answers a TrialAsk.
type TrialAnswer struct {
	Digest  quarantine.Digest `msgpack:"d"`
	Granted bool              `msgpack:"g"`
	// Wait is when to ask again if it was not granted.
	Wait time.Duration `msgpack:"t"`
}

// Answers tells which requests of an account the sender has had answered, by the first parts of
// their digests.
type Answers struct {
	// Account is the hash of the account's name.
	Account uint32   `msgpack:"c"`
	Digests []uint64 `msgpack:"d"`
}

// RolloutReport tells the leader of a rollout what an instance has seen of it.
type RolloutReport struct {
	rollout.Report
}

// Since asks for the changes of a kind after a position.
type Since struct {
	Kind     feed.Kind     `msgpack:"k"`
	Position feed.Position `msgpack:"p"`
	// Digest is that of the objects that the asker holds at the position.
	Digest uint64 `msgpack:"d,omitempty"`
	// ReplyTo is the asker's peer address.
	ReplyTo string `msgpack:"a"`
}

// Probe asks whether the receiver is alive. The answer is Gossip with the receiver's own
// beat alone.
type Probe struct {
	// ReplyTo is the asker's peer address.
	ReplyTo string `msgpack:"a"`
	// Again says that the Probe before was not answered.
	Again bool `msgpack:"g,omitempty"`
}

// PermitAsk asks the owner of a part of an account's limit, or of a target's limit, for permits.
type PermitAsk struct {
	// Account and From are the names of the account, or of the target's permits, and of the
	// asker.
	Account string `msgpack:"c"`
	From    string `msgpack:"f"`
	// At is the asker's own time, which the answer brings back.
	At int64 `msgpack:"t"`
	N  int   `msgpack:"n"`
	// Lend says that the asker owns the part of another domain.
	Lend bool `msgpack:"l,omitempty"`
	// Target says that it is about a target's limit, and Limits is what the asker knows of it.
	Target bool                       `msgpack:"g,omitempty"`
	Limits availability.RateLimitList `msgpack:"v,omitempty"`
}

// PermitIssue answers a PermitAsk.
type PermitIssue struct {
	Account string          `msgpack:"c"`
	From    string          `msgpack:"f"`
	At      int64           `msgpack:"t"`
	Issue   ratelimit.Grant `msgpack:"i"`
	Lend    bool            `msgpack:"l,omitempty"`
	// Target says that it is about a target's limit, and Limits is what the owner knows of it.
	Target bool                       `msgpack:"g,omitempty"`
	Limits availability.RateLimitList `msgpack:"v,omitempty"`
}

// NewObject returns the message that passes obj on.
func NewObject(obj objectstore.Object) *Object {
	return &Object{Key: obj.Key, Version: obj.Version, Value: obj.Value}
}

func (*Hello) kind() kind       { return kindHello }
func (*Heartbeat) kind() kind   { return kindHeartbeat }
func (*Ask) kind() kind         { return kindAsk }
func (*Loan) kind() kind        { return kindLoan }
func (*Pull) kind() kind        { return kindPull }
func (*Object) kind() kind      { return kindObject }
func (*Claim) kind() kind       { return kindClaim }
func (*ClaimReply) kind() kind  { return kindClaimReply }
func (*Gossip) kind() kind      { return kindGossip }
func (*Delta) kind() kind       { return kindDelta }
func (*Since) kind() kind       { return kindSince }
func (*Probe) kind() kind       { return kindProbe }
func (*PermitAsk) kind() kind   { return kindPermitAsk }
func (*PermitIssue) kind() kind { return kindPermitIssue }
func (*TrialAsk) kind() kind    { return kindTrialAsk }
func (*TrialAnswer) kind() kind { return kindTrialAnswer }
func (*Answers) kind() kind     { return kindAnswers }

func (*RolloutReport) kind() kind { return kindRolloutReport }

// empty returns a new message of a kind, or nil for an unknown one.
func empty(k kind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindHeartbeat:
		return &Heartbeat{}
	case kindAsk:
		return &Ask{}
	case kindLoan:
		return &Loan{}
	case kindPull:
		return &Pull{}
	case kindObject:
		return &Object{}
	case kindClaim:
		return &Claim{}
	case kindClaimReply:
		return &ClaimReply{}
	case kindGossip:
		return &Gossip{}
	case kindDelta:
		return &Delta{}
	case kindSince:
		return &Since{}
	case kindProbe:
		return &Probe{}
	case kindPermitAsk:
		return &PermitAsk{}
	case kindPermitIssue:
		return &PermitIssue{}
	case kindTrialAsk:
		return &TrialAsk{}
	case kindTrialAnswer:
		return &TrialAnswer{}
	case kindAnswers:
		return &Answers{}
	case kindRolloutReport:
		return &RolloutReport{}
	default:
		return nil
	}
}

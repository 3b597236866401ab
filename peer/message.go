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
	kindLoanRequest
	kindLoan
	kindPull
	kindObject
	kindClaim
	kindClaimReply
	kindGossip
	kindDelta
	kindDeltaRequest
	kindProbe
	kindPermitRequest
	kindPermitGrant
	kindTrialRequest
	kindTrialReply
	kindAnsweredRequests
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

// LoanRequest asks for a loan.
type LoanRequest struct {
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
	// Timeout is how long the sender waits for the reply.
	Timeout time.Duration `msgpack:"d"`
}

// ClaimReply answers a Claim once the claim is in force.
type ClaimReply struct {
	Owner string      `msgpack:"o"`
	Reply claim.Reply `msgpack:"r"`
}

// Gossip tells of the beats that the sender knows and the positions that its replicas
// reflect.
type Gossip struct {
	// Heartbeats begin with the sender's own, which names it.
	Heartbeats fleet.Heartbeats `msgpack:"b"`
	// Member is the sender itself, for receivers that may not know it; nil in most
	// messages.
	Member *fleet.Member `msgpack:"m,omitempty"`
	// Positions are those of the sender's replicas, in an order of kinds that all
	// instances share. New kinds come last.
	Positions []feed.Position `msgpack:"p,omitempty"`
	// Overloaded are the loads of targets that have more requests than they can work on.
	Overloaded upstream.TargetReports `msgpack:"l,omitempty"`
	// Reply marks an answer to gossip, which is not answered again.
	Reply bool `msgpack:"a,omitempty"`
	// NotReceiving says that the sender should hear the receiver and does not.
	NotReceiving bool `msgpack:"h,omitempty"`
	// Quarantine are of requests under which targets have ended, and NewsSum is the same for
	// instances that know the same of those that are held back.
	Quarantine         quarantine.Updates `msgpack:"e,omitempty"`
	QuarantineChecksum uint32             `msgpack:"s,omitempty"`
	// Departures are targets that have said themselves that they leave, and DeparturesSum
	// is the same for instances that know of the same ones.
	Departures         availability.DepartureList `msgpack:"d,omitempty"`
	DeparturesChecksum uint32                     `msgpack:"c,omitempty"`
	// Limits are what targets have named of how much they take, and LimitsSum is the same for
	// instances that know the same.
	Limits         availability.RateLimitList `msgpack:"t,omitempty"`
	LimitsChecksum uint32                     `msgpack:"q,omitempty"`
	// Stages are those of rollouts that go on.
	Stages []rollout.Stage `msgpack:"g,omitempty"`
	// RelayUntil is the last member of the region that the receiver has to pass News, Departures, Limits
	// and Stages on to, 0 for none, and Enter has it pass them on to its whole region.
	RelayUntil    fleet.ID `msgpack:"u,omitempty"`
	RelayToRegion bool     `msgpack:"w,omitempty"`
}

// TrialRequest asks the warden of a request under which targets have ended whether it may be
// sent.
type TrialRequest struct {
	Digest quarantine.Digest `msgpack:"d"`
	// From is the asker's name and ReplyTo its peer address.
	From    string `msgpack:"f"`
	ReplyTo string `msgpack:"a"`
	// Timeout is how long the trial takes at most.
	Timeout time.Duration `msgpack:"t"`
	// Updates are what the asker knows of the request.
	Updates quarantine.Updates `msgpack:"e,omitempty"`
	// Done says that the asker's trial has ended, and Answered that a target has answered.
	Done     bool `msgpack:"o,omitempty"`
	Answered bool `msgpack:"w,omitempty"`
}

// TrialReply answers a TrialAsk.
type TrialReply struct {
	Digest  quarantine.Digest `msgpack:"d"`
	Granted bool              `msgpack:"g"`
	// RetryAfter is when to ask again if it was not granted.
	RetryAfter time.Duration `msgpack:"t"`
}

// AnsweredRequests tells which requests of an account the sender has had answered, by the first parts of
// their digests.
type AnsweredRequests struct {
	// Account is the hash of the account's name.
	Account uint32   `msgpack:"c"`
	Digests []uint64 `msgpack:"d"`
}

// RolloutReport tells the leader of a rollout what an instance has seen of it.
type RolloutReport struct {
	rollout.Report
}

// DeltaRequest asks for the changes of a kind after a position.
type DeltaRequest struct {
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
	// Reconnect says that the Probe before was not answered.
	Reconnect bool `msgpack:"g,omitempty"`
}

// PermitRequest asks the owner of a part of an account's limit, or of a target's limit, for permits.
type PermitRequest struct {
	// Account and From are the names of the account, or of the target's permits, and of the
	// asker.
	Account string `msgpack:"c"`
	From    string `msgpack:"f"`
	// SentAt is the asker's own time, which the answer brings back.
	SentAt int64 `msgpack:"t"`
	N      int   `msgpack:"n"`
	// Borrow says that the asker owns the part of another domain.
	Borrow bool `msgpack:"l,omitempty"`
	// ForTarget says that it is about a target's limit, and Limits is what the asker knows of it.
	ForTarget bool                       `msgpack:"g,omitempty"`
	Limits    availability.RateLimitList `msgpack:"v,omitempty"`
}

// PermitGrant answers a PermitAsk.
type PermitGrant struct {
	Account       string          `msgpack:"c"`
	From          string          `msgpack:"f"`
	RequestSentAt int64           `msgpack:"t"`
	Grant         ratelimit.Grant `msgpack:"i"`
	Borrow        bool            `msgpack:"l,omitempty"`
	// ForTarget says that it is about a target's limit, and Limits is what the owner knows of it.
	ForTarget bool                       `msgpack:"g,omitempty"`
	Limits    availability.RateLimitList `msgpack:"v,omitempty"`
}

// NewObject returns the message that passes obj on.
func NewObject(obj objectstore.Object) *Object {
	return &Object{Key: obj.Key, Version: obj.Version, Value: obj.Value}
}

func (*Hello) kind() kind            { return kindHello }
func (*Heartbeat) kind() kind        { return kindHeartbeat }
func (*LoanRequest) kind() kind      { return kindLoanRequest }
func (*Loan) kind() kind             { return kindLoan }
func (*Pull) kind() kind             { return kindPull }
func (*Object) kind() kind           { return kindObject }
func (*Claim) kind() kind            { return kindClaim }
func (*ClaimReply) kind() kind       { return kindClaimReply }
func (*Gossip) kind() kind           { return kindGossip }
func (*Delta) kind() kind            { return kindDelta }
func (*DeltaRequest) kind() kind     { return kindDeltaRequest }
func (*Probe) kind() kind            { return kindProbe }
func (*PermitRequest) kind() kind    { return kindPermitRequest }
func (*PermitGrant) kind() kind      { return kindPermitGrant }
func (*TrialRequest) kind() kind     { return kindTrialRequest }
func (*TrialReply) kind() kind       { return kindTrialReply }
func (*AnsweredRequests) kind() kind { return kindAnsweredRequests }

func (*RolloutReport) kind() kind { return kindRolloutReport }

// newMessage returns a new message of a kind, or nil for an unknown one.
func newMessage(k kind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindHeartbeat:
		return &Heartbeat{}
	case kindLoanRequest:
		return &LoanRequest{}
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
	case kindDeltaRequest:
		return &DeltaRequest{}
	case kindProbe:
		return &Probe{}
	case kindPermitRequest:
		return &PermitRequest{}
	case kindPermitGrant:
		return &PermitGrant{}
	case kindTrialRequest:
		return &TrialRequest{}
	case kindTrialReply:
		return &TrialReply{}
	case kindAnsweredRequests:
		return &AnsweredRequests{}
	case kindRolloutReport:
		return &RolloutReport{}
	default:
		return nil
	}
}

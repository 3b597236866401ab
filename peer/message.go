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

// kind identifies the type of the message in a frame.
type kind byte

// The kinds of frames. Their values are part of the protocol.
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

// Hello is the first message of a connection.
type Hello struct {
	// From is the name under which the sender introduces itself, see NewMesh.
	From   string `msgpack:"f"`
	Secret string `msgpack:"s"`
}

// Heartbeat carries a member.Heartbeat.
type Heartbeat struct {
	member.Heartbeat
}

// LoanRequest asks another instance for a loan of idle units of a cap.
type LoanRequest struct {
	share.LoanRequest
}

// Loan replies to a LoanRequest.
type Loan struct {
	share.Loan
}

// Pull requests an object of the platform of which the receiver has a version later than
// Version.
type Pull struct {
	Key     string `msgpack:"k"`
	Version int64  `msgpack:"v"`
}

// Object carries an object of the platform.
type Object struct {
	Key     string `msgpack:"k"`
	Version int64  `msgpack:"v"`
	Value   []byte `msgpack:"b"`
}

// Claim asks the receiver to write a claim of an operation to the store.
type Claim struct {
	Shard claim.ShardID `msgpack:"s"`
	Op    claim.Op      `msgpack:"o"`
	// Timeout is how long the sender waits for the reply.
	Timeout time.Duration `msgpack:"d"`
}

// ClaimReply replies to a Claim once the claim is in effect.
type ClaimReply struct {
	Owner string      `msgpack:"o"`
	Reply claim.Reply `msgpack:"r"`
}

// Gossip carries the heartbeats that the sender knows of, the positions of its replicas,
// and replicated state.
type Gossip struct {
	// Heartbeats begin with that of the sender, which identifies it.
	Heartbeats fleet.Heartbeats `msgpack:"b"`
	// TargetsLost are the members among Heartbeats that reach no target.
	TargetsLost []fleet.ID `msgpack:"x,omitempty"`
	// OverloadedInstances are the members among Heartbeats that are overloaded. Overloaded, in
	// contrast, concerns targets.
	OverloadedInstances []fleet.ID `msgpack:"o,omitempty"`
	// HallsLost are the members among Heartbeats that reach no target of some hall.
	HallsLost []fleet.ID `msgpack:"z,omitempty"`
	// Member describes the sender, for receivers that may not know it. It is nil in most
	// messages.
	Member *fleet.Member `msgpack:"m,omitempty"`
	// Positions are the positions of the sender's replicas, in an order of kinds that all
	// instances share. New kinds are appended.
	Positions []feed.Position `msgpack:"p,omitempty"`
	// Fresh are the kinds, as bits in the order of Positions, whose last changes may still reach
	// the receiver by a push.
	Fresh uint8 `msgpack:"f,omitempty"`
	// Checksum is that of one of the sender's replicas. It is nil in most messages.
	Checksum *ReplicaChecksum `msgpack:"i,omitempty"`
	// Overloaded contains the loads of targets that have more requests than slots.
	Overloaded upstream.TargetReports `msgpack:"l,omitempty"`
	// Reply marks a reply to gossip. A reply is not replied to.
	Reply bool `msgpack:"a,omitempty"`
	// NotReceiving is set if the sender should receive heartbeats from the receiver and
	// does not.
	NotReceiving bool `msgpack:"h,omitempty"`
	// Quarantine contains updates about requests that may crash targets. QuarantineChecksum
	// is equal for instances that have the same such requests in quarantine.
	Quarantine         quarantine.Updates `msgpack:"e,omitempty"`
	QuarantineChecksum uint32             `msgpack:"s,omitempty"`
	// Departures are the targets that have announced that they are leaving.
	// DeparturesChecksum is equal for instances that know the same departures.
	Departures         availability.DepartureList `msgpack:"d,omitempty"`
	DeparturesChecksum uint32                     `msgpack:"c,omitempty"`
	// Limits are the rate limits that targets have announced. LimitsChecksum is equal for
	// instances that know the same limits.
	Limits         availability.RateLimitList `msgpack:"t,omitempty"`
	LimitsChecksum uint32                     `msgpack:"q,omitempty"`
	// Stages are the current stages of rollouts.
	Stages []rollout.Stage `msgpack:"g,omitempty"`
	// Verdicts are the verdicts of rollouts that the receiver leads without knowing them.
	Verdicts []rollout.Verdict `msgpack:"v,omitempty"`
	// RelayUntil is the last member of the region to which the receiver relays Quarantine,
	// Departures, Limits and Stages, or 0 if it relays them to no member. RelayToRegion
	// asks the receiver to relay them to its whole region.
	RelayUntil    fleet.ID `msgpack:"u,omitempty"`
	RelayToRegion bool     `msgpack:"w,omitempty"`
}

// ReplicaChecksum is the checksum of the objects of one replica. Replicas at the same position have the
// same one.
type ReplicaChecksum struct {
	// Kind is the index of the kind in Positions.
	Kind uint8  `msgpack:"k"`
	Sum  uint32 `msgpack:"s"`
}

// TrialRequest asks the trial coordinator of a request that may crash targets whether the
// request may be sent.
type TrialRequest struct {
	Digest quarantine.Digest `msgpack:"d"`
	// From is the name of the requesting instance, and ReplyTo its peer address.
	From    string `msgpack:"f"`
	ReplyTo string `msgpack:"a"`
	// Number tells this request and its trial from others of the instance. The reply repeats it.
	Number uint64 `msgpack:"n"`
	// Timeout is the maximum duration of the trial.
	Timeout time.Duration `msgpack:"t"`
	// Updates are the facts about the request that the requesting instance knows.
	Updates quarantine.Updates `msgpack:"e,omitempty"`
	// Done is set when the trial of the requesting instance has ended, and Answered if a
	// target has responded.
	Done     bool `msgpack:"o,omitempty"`
	Answered bool `msgpack:"w,omitempty"`
}

// TrialReply replies to a TrialRequest.
type TrialReply struct {
	Digest quarantine.Digest `msgpack:"d"`
	// Number is that of the request.
	Number  uint64 `msgpack:"n"`
	Granted bool   `msgpack:"g"`
	// RetryAfter is when to ask again if the trial was not granted.
	RetryAfter time.Duration `msgpack:"t"`
}

// AnsweredRequests lists requests of a client account to which the sender has received
// responses, by the first parts of their digests.
type AnsweredRequests struct {
	// Account is the hash of the account's name.
	Account uint32   `msgpack:"c"`
	Digests []uint64 `msgpack:"d"`
}

// RolloutReport reports the observations of an instance to the leader of a rollout.
type RolloutReport struct {
	rollout.Report
}

// DeltaRequest asks for the changes of a kind after a position.
type DeltaRequest struct {
	Kind     feed.Kind     `msgpack:"k"`
	Position feed.Position `msgpack:"p"`
	// Digest is the digest of the objects that the requesting instance holds at the
	// position.
	Digest uint64 `msgpack:"d,omitempty"`
	// Got is the progress of the requesting instance if the delta comes in parts. It is nil if
	// that instance takes no parts.
	Got *feed.Progress `msgpack:"g,omitempty"`
	// ReplyTo is the peer address of the requesting instance.
	ReplyTo string `msgpack:"a"`
}

// NewDeltaRequest returns the message for a request of a kind.
func NewDeltaRequest(kind feed.Kind, r feed.Query, replyTo string) *DeltaRequest {
	return &DeltaRequest{Kind: kind, Position: r.From, Digest: r.Digest, Got: r.Got, ReplyTo: replyTo}
}

// Query returns what the requesting instance lacks.
func (m *DeltaRequest) Query() feed.Query {
	return feed.Query{From: m.Position, Digest: m.Digest, Got: m.Got}
}

// Probe checks whether the receiver is alive. The receiver replies with Gossip that
// contains only its own heartbeat.
type Probe struct {
	// ReplyTo is the peer address of the sender.
	ReplyTo string `msgpack:"a"`
	// Reconnect is set if the previous probe was not answered. The receiver then opens a
	// new connection to the sender.
	Reconnect bool `msgpack:"g,omitempty"`
}

// PermitRequest asks the owner of a share of an account's rate limit, or of the rate limit
// of a target, for permits.
type PermitRequest struct {
	// Account is the name of the account, or that of the target's limit. From is the name
	// of the requesting instance.
	Account string `msgpack:"c"`
	From    string `msgpack:"f"`
	// SentAt is the time of the request by the clock of the requesting instance. The grant
	// returns it.
	SentAt int64 `msgpack:"t"`
	// N is the number of permits requested.
	N int `msgpack:"n"`
	// Borrow is set if the requesting instance owns the account in another domain and
	// borrows permits for it.
	Borrow bool `msgpack:"l,omitempty"`
	// ForTarget is set if the request concerns the limit of a target. Limits contains what
	// the requesting instance knows of that limit.
	ForTarget bool                       `msgpack:"g,omitempty"`
	Limits    availability.RateLimitList `msgpack:"v,omitempty"`
}

// PermitGrant replies to a PermitRequest.
type PermitGrant struct {
	// Account is that of the request, and From the name of the owner.
	Account string `msgpack:"c"`
	From    string `msgpack:"f"`
	// RequestSentAt is the SentAt of the request.
	RequestSentAt int64           `msgpack:"t"`
	Grant         ratelimit.Grant `msgpack:"i"`
	Borrow        bool            `msgpack:"l,omitempty"`
	// ForTarget is set if the grant concerns the limit of a target. Limits contains what
	// the owner knows of that limit.
	ForTarget bool                       `msgpack:"g,omitempty"`
	Limits    availability.RateLimitList `msgpack:"v,omitempty"`
}

// NewObject returns the message that carries obj.
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

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
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

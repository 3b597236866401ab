package seat

import (
	"time"
)

// Agent manages one instance's membership in its hall's roster. It determines the
// seats that the instance may use, the content of its heartbeats, and the writes of
// the roster to attempt. It is not safe for concurrent use.
type Agent struct {
	id     string
	addr   string
	hall   string
	timing Timing

	sent     sentTimes
	roster   *Roster
	version  int64
	known    bool
	renewals map[string]observedRenewal
	peers    map[string]*peerState
	// releasing holds the seats being released, with the time from which the
	// release is announced.
	releasing map[SeatTerm]time.Time
	leaving   bool
	// retiring and retireSeats are set by Retire.
	retiring    bool
	retireSeats int

	renewedAt time.Time
	lastWrite time.Time
	inFlight  *Write
	// takeovers are the members whose seats are taken over by a write based on the
	// current version that is in flight or has an uncertain outcome.
	takeovers map[string]bool
	uncertain bool
}

// observedRenewal is a member's renewal and the time when this instance first saw it.
type observedRenewal struct {
	renewal uint64
	joined  int64
	at      time.Time
}

// peerState is the state of a peer according to the heartbeats received from it.
type peerState struct {
	receivedAt time.Time
	seq        uint64
	epoch      int64
	echo       uint64
	released   []SeatTerm
	leaving    bool
	retiring   bool
}

// Write is a conditional write of the roster for the caller to attempt.
type Write struct {
	Roster *Roster
	// Version is the version that the roster must have for the write to succeed.
	Version int64
}

// NewAgent returns the agent of the instance with the given ID. The ID must never
// have been used by an earlier process. Addr is the address on which the process
// listens for its peers.
func NewAgent(id, addr, hall string, timing Timing) *Agent {
	return &Agent{
		id:        id,
		addr:      addr,
		hall:      hall,
		timing:    timing,
		renewals:  make(map[string]observedRenewal),
		peers:     make(map[string]*peerState),
		releasing: make(map[SeatTerm]time.Time),
		takeovers: make(map[string]bool),
	}
}

// BeginRound starts a new round of heartbeats.
func (a *Agent) BeginRound(now time.Time) { a.sent.next(now) }

// Heartbeat returns the heartbeat of the current round for one peer.
func (a *Agent) Heartbeat(now time.Time, to string) Heartbeat {
	b := Heartbeat{Seq: a.sent.seq, Released: a.released(now), Retiring: a.retiring}
	// Peers do not need echoes of a leaving instance. The instance must therefore
	// not announce that it leaves while one of its writes takes over their seats.
	b.Leaving = a.leaving && len(a.takeovers) == 0
	if a.roster == nil {
		return b
	}
	b.Epoch = a.roster.Epoch
	member, ok := a.roster.Member(to)
	if !ok {
		return b
	}
	b.Renewed = member.Renewal
	// An echo to a member whose seats are being taken over would give it a lease
	// that the pending write does not take into account.
	if p := a.peers[to]; p != nil && !a.takeovers[to] {
		b.Echo = p.seq
	}
	return b
}

// HandleHeartbeat processes a heartbeat. It may be late, duplicated or out of order.
func (a *Agent) HandleHeartbeat(now time.Time, from string, b Heartbeat) {
	p := a.peers[from]
	if p == nil {
		p = &peerState{}
		a.peers[from] = p
	}
	p.receivedAt = now
	p.epoch = max(p.epoch, b.Epoch)
	p.echo = max(p.echo, b.Echo)
	p.leaving = p.leaving || b.Leaving
	p.retiring = p.retiring || b.Retiring
	if b.Seq >= p.seq {
		p.seq = b.Seq
		p.released = validTerms(b.Released)
	}
	a.renew(b.Renewed)
}

// validTerms returns the terms of existing seats. A message may contain other numbers.
func validTerms(terms []SeatTerm) []SeatTerm {
	var out []SeatTerm
	for _, st := range terms {
		if st.Seat >= 0 && st.Seat < Count {
			out = append(out, st)
		}
	}
	return out
}

// ObserveRoster records the roster at a version that was read or written. It ignores
// versions that are not newer than the current one.
func (a *Agent) ObserveRoster(now time.Time, roster *Roster, version int64) {
	if a.known && version <= a.version {
		return
	}
	a.roster = roster.Clone()
	a.version = version
	a.known = true
	// A write based on the older version has taken effect or never will.
	a.inFlight = nil
	a.uncertain = false
	clear(a.takeovers)
	a.observeRenewals(now)
	if self, ok := a.roster.Member(a.id); ok {
		a.renew(self.Renewal)
	}
	for st := range a.releasing {
		if !a.holdsTerm(st) {
			delete(a.releasing, st)
		}
	}
}

// ObserveNoRoster records that the platform has no roster for the hall yet.
func (a *Agent) ObserveNoRoster() {
	if a.known {
		return
	}
	empty := &Roster{Hall: a.hall}
	a.roster = empty.Clone()
	a.known = true
}

// WriteFailed reports that w, which Propose returned, has not taken effect and never
// will.
func (a *Agent) WriteFailed(w *Write) {
	if a.inFlight != w {
		return
	}
	a.inFlight = nil
	if !a.uncertain {
		clear(a.takeovers)
	}
}

// WriteUncertain reports that w, which Propose returned, may have taken effect or may
// still do so. The outcome is known only with a later version of the roster. Until
// then, further writes are based on the same version, and at most one of them can
// take effect.
func (a *Agent) WriteUncertain(w *Write) {
	if a.inFlight != w {
		return
	}
	a.inFlight = nil
	a.uncertain = true
}

func (a *Agent) observeRenewals(now time.Time) {
	for _, m := range a.roster.Members {
		s, ok := a.renewals[m.ID]
		if !ok || s.renewal != m.Renewal || s.joined != m.Joined {
			a.renewals[m.ID] = observedRenewal{renewal: m.Renewal, joined: m.Joined, at: now}
		}
	}
	for id := range a.renewals {
		if a.roster.index(id) < 0 {
			delete(a.renewals, id)
		}
	}
}

func (a *Agent) renew(seq uint64) {
	at, ok := a.sent.at(seq)
	if ok && at.After(a.renewedAt) {
		a.renewedAt = at
	}
}

func (a *Agent) holdsTerm(st SeatTerm) bool {
	s := a.roster.Seats[st.Seat]
	return s.Holder == a.id && s.Term == st.Term
}

// HasRoster reports whether the agent knows the roster, or that there is none yet.
func (a *Agent) HasRoster() bool { return a.known }

// Version returns the current version of the roster.
func (a *Agent) Version() int64 { return a.version }

// Members returns the members of the current roster.
func (a *Agent) Members() []Member {
	if a.roster == nil {
		return nil
	}
	return a.roster.Members
}

// Holder returns the holder of a seat in the current roster, or "".
func (a *Agent) Holder(seat int) string {
	if a.roster == nil {
		return ""
	}
	return a.roster.Seats[seat].Holder
}

// PlatformLeaseEnd returns the end of the platform lease, or the zero time if the
// lease has never been renewed.
func (a *Agent) PlatformLeaseEnd() time.Time {
	if a.renewedAt.IsZero() {
		return time.Time{}
	}
	return a.renewedAt.Add(a.timing.PlatformLease)
}

// LeaseEnd returns the later end of the instance's two leases. It returns the zero
// time if the instance is not a member or has never been renewed.
func (a *Agent) LeaseEnd() time.Time {
	if a.roster == nil || a.roster.index(a.id) < 0 || a.renewedAt.IsZero() {
		return time.Time{}
	}
	platform := a.PlatformLeaseEnd()
	peers := a.peerLeaseEnd()
	if peers.After(platform) {
		return peers
	}
	return platform
}

// peerLeaseEnd returns the earliest end of the leases that the other members grant
// with their echoes. It is at most MaxOffline after the last renewal.
func (a *Agent) peerLeaseEnd() time.Time {
	end := a.renewedAt.Add(a.timing.MaxOffline)
	for _, m := range a.roster.Members {
		if m.ID == a.id {
			continue
		}
		p := a.peers[m.ID]
		if p == nil {
			return time.Time{}
		}
		if p.leaving {
			continue
		}
		at, ok := a.sent.at(p.echo)
		if !ok {
			return time.Time{}
		}
		if grant := at.Add(a.timing.PeerLease); grant.Before(end) {
			end = grant
		}
	}
	return end
}

// SlotSeats returns the seats whose slots of targets the instance may use. These are
// its own seats, even after the end of its lease, and its share of the seats that
// appear to be unused. A seat appears unused if it is free, or if its holder has been
// unresponsive and not renewed for longer than a lease. An instance that is leaving or
// is not a member has no share of the unused seats.
//
// The rule is intentionally weaker than that of Held. A hall that has lost all its
// instances must serve requests before the old leases are certain to be over. If an
// unresponsive holder is still alive, the targets refuse excess requests.
func (a *Agent) SlotSeats(now time.Time) []int {
	out := a.Assigned()
	if a.roster == nil || a.leaving || a.roster.index(a.id) < 0 {
		return out
	}
	var live []string
	for _, m := range a.roster.Members {
		if m.ID == a.id || !a.unresponsive(now, m.ID) {
			live = append(live, m.ID)
		}
	}
	for i, s := range a.roster.Seats {
		unclaimed := s.Holder == "" || s.Holder != a.id && a.unresponsive(now, s.Holder)
		if unclaimed && live[i%len(live)] == a.id {
			out = append(out, i)
		}
	}
	return out
}

// unresponsive reports whether a member has neither sent a heartbeat nor been renewed
// recently.
func (a *Agent) unresponsive(now time.Time, id string) bool {
	if p := a.peers[id]; p != nil && now.Sub(p.receivedAt) <= a.timing.takeoverWait(a.timing.PeerLease) {
		return false
	}
	s, ok := a.renewals[id]
	return !ok || now.Sub(s.at) > a.timing.takeoverWait(a.timing.PlatformLease)
}

// Held returns the seats that the instance may use at now. It returns none after the
// end of the lease.
func (a *Agent) Held(now time.Time) []int {
	if !now.Before(a.LeaseEnd()) {
		return nil
	}
	return a.Assigned()
}

// Assigned returns the seats that the current roster assigns to the instance, without
// those being released. It does not consider the lease.
func (a *Agent) Assigned() []int {
	if a.roster == nil {
		return nil
	}
	var out []int
	for i, s := range a.roster.Seats {
		if s.Holder != a.id {
			continue
		}
		if _, released := a.releasing[SeatTerm{i, s.Term}]; !released {
			out = append(out, i)
		}
	}
	return out
}

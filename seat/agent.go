package seat

import (
	"time"
)

// Agent is one instance's part in its hall's roster. It decides which seats
// the instance may use, what its heartbeats say, and which write of the roster
// it should try. It is not safe for concurrent use.
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
	// releasing holds the seats that are given back, with the time from which
	// the instance says so.
	releasing map[SeatTerm]time.Time
	leaving   bool
	// retiring and retireTo are set by Retire.
	retiring    bool
	retireSeats int

	renewedAt time.Time
	lastWrite time.Time
	inFlight  *Write
	// takeovers are the members whose seats a write at the version known takeovers
	// that is in flight or whose end is uncertain.
	takeovers map[string]bool
	uncertain bool
}

// observedRenewal is a member's renewal and when this instance first saw it.
type observedRenewal struct {
	renewal uint64
	joined  int64
	at      time.Time
}

// peerState is what this instance has heard from another one itself.
type peerState struct {
	receivedAt time.Time
	seq        uint64
	epoch      int64
	echo       uint64
	released   []SeatTerm
	leaving    bool
	retiring   bool
}

// Write is a conditional write of the roster that an agent wants tried.
type Write struct {
	Roster *Roster
	// Version is the version that the write is conditional on.
	Version int64
}

// NewAgent returns the agent of instance id, whose name must never have been
// used by an earlier process. Addr is the address that its process listens on
// for its peers.
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

// Heartbeat returns what the heartbeat of the current round says to one peer.
func (a *Agent) Heartbeat(now time.Time, to string) Heartbeat {
	b := Heartbeat{Seq: a.sent.seq, Released: a.released(now), Retiring: a.retiring}
	// Peers do without the echo of one that leaves, so it must have no write
	// under way that takes their seats.
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
	// An echo to a member whose seats are being taken would give it a lease
	// that the write ignores.
	if p := a.peers[to]; p != nil && !a.takeovers[to] {
		b.Echo = p.seq
	}
	return b
}

// HandleHeartbeat takes in a heartbeat. It may be late, doubled or out of order.
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

// validTerms returns the terms of seats that there are: a message may name any.
func validTerms(terms []SeatTerm) []SeatTerm {
	var out []SeatTerm
	for _, st := range terms {
		if st.Seat >= 0 && st.Seat < Count {
			out = append(out, st)
		}
	}
	return out
}

// ObserveRoster takes in the roster at a version, as read or as written. An older one
// than is known is ignored.
func (a *Agent) ObserveRoster(now time.Time, roster *Roster, version int64) {
	if a.known && version <= a.version {
		return
	}
	a.roster = roster.Clone()
	a.version = version
	a.known = true
	// A write on the older version has taken effect or never will.
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

// ObserveNoRoster takes in that the platform has no roster for the hall yet.
func (a *Agent) ObserveNoRoster() {
	if a.known {
		return
	}
	empty := &Roster{Hall: a.hall}
	a.roster = empty.Clone()
	a.known = true
}

// WriteFailed says that w, returned by Propose, did not take effect and never
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

// WriteUncertain says that w, returned by Propose, may have taken effect or
// may yet. Only a later version of the roster settles it; until then writes on
// the same version go on, of which one at most can take effect.
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

// HasRoster tells whether the agent has read the roster.
func (a *Agent) HasRoster() bool { return a.known }

// Version returns the version of the roster known.
func (a *Agent) Version() int64 { return a.version }

// Members returns the members of the roster known.
func (a *Agent) Members() []Member {
	if a.roster == nil {
		return nil
	}
	return a.roster.Members
}

// Holder returns the holder of a seat in the roster known, or "".
func (a *Agent) Holder(seat int) string {
	if a.roster == nil {
		return ""
	}
	return a.roster.Seats[seat].Holder
}

// PlatformLeaseEnd returns the end of the platform lease.
func (a *Agent) PlatformLeaseEnd() time.Time {
	if a.renewedAt.IsZero() {
		return time.Time{}
	}
	return a.renewedAt.Add(a.timing.PlatformLease)
}

// LeaseEnd returns when the instance's use of its seats ends, by the later of
// its two leases. It is the zero time when it is not a member.
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

// peerLeaseEnd returns the earliest end of the grants of all other members,
// bounded by Offline.
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

// SlotSeats returns the seats whose slots of targets the instance may use: its
// own, whether or not its lease is over, and its part of the seats that nobody
// seems to use, which are free or have a holder that is silent and was not
// renewed for longer than a lease.
//
// The rule is softer than that of Held on purpose. A hall whose instances were
// all lost must serve before the old leases are certainly over; should a silent
// holder be alive after all, its targets refuse what is too much.
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

// unresponsive tells whether a member was neither heard nor renewed of late.
func (a *Agent) unresponsive(now time.Time, id string) bool {
	if p := a.peers[id]; p != nil && now.Sub(p.receivedAt) <= a.timing.takeoverWait(a.timing.PeerLease) {
		return false
	}
	s, ok := a.renewals[id]
	return !ok || now.Sub(s.at) > a.timing.takeoverWait(a.timing.PlatformLease)
}

// Held returns the seats that the instance may use at now: none once its
// lease is over.
func (a *Agent) Held(now time.Time) []int {
	if !now.Before(a.LeaseEnd()) {
		return nil
	}
	return a.Assigned()
}

// Assigned returns the seats that the latest roster known gives the instance,
// less those that it gives back, whether or not its lease is over.
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

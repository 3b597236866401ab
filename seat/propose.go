package seat

import "time"

// Leave makes the instance release all its seats and take no more.
func (a *Agent) Leave() { a.leaving = true }

// Retire makes the instance release half of its seats and take no more, so that
// others can serve requests while callers still move away from it.
func (a *Agent) Retire() {
	a.retiring = true
	a.retireSeats = len(a.Assigned()) / 2
}

// Left reports whether a leaving instance holds no more seats.
func (a *Agent) Left() bool {
	return a.roster == nil || len(a.roster.Held(a.id)) == 0
}

// Tick starts to release seats that the instance holds in excess of its share. The
// caller calls it once in each round of heartbeats. LoansEnd is the latest end of the
// loans of the instance's units.
func (a *Agent) Tick(now, loansEnd time.Time) {
	if a.roster == nil {
		return
	}
	keep := a.roster.fairShare()
	if a.leaving {
		keep = 0
	} else if a.retiring {
		keep = a.retireSeats
	} else if !now.Before(a.PlatformLeaseEnd()) {
		// No other member can take over released seats without the platform.
		return
	}
	releaseAt := now.Add(a.timing.Window)
	if loansEnd.After(releaseAt) {
		releaseAt = loansEnd
	}
	held := a.Assigned()
	for len(held) > keep {
		last := held[len(held)-1]
		held = held[:len(held)-1]
		a.releasing[SeatTerm{last, a.roster.Seats[last].Term}] = releaseAt
	}
}

// released returns the seats being released whose last uses and loans have ended.
func (a *Agent) released(now time.Time) []SeatTerm {
	var out []SeatTerm
	for st, releaseAt := range a.releasing {
		if !now.Before(releaseAt) {
			out = append(out, st)
		}
	}
	return out
}

// Propose returns the write to attempt now, or nil. The caller reports the outcome by
// ObserveRoster, WriteFailed or WriteUncertain.
func (a *Agent) Propose(now time.Time) *Write {
	if !a.known || a.inFlight != nil || !a.writeDue(now) {
		return nil
	}
	w := &Write{Roster: a.roster.Clone(), Version: a.version}
	w.Roster.Hall = a.hall
	a.applyHeartbeats(now, w.Roster)
	if a.isMember() {
		a.takeOver(now, w)
	} else {
		w.Roster.add(a.id, a.addr, a.sent.seq)
	}
	w.Roster.assignFree(a.ineligible(w.Roster))
	a.lastWrite = now
	a.inFlight = w
	return w
}

func (a *Agent) isMember() bool { return a.roster.index(a.id) >= 0 }

// writeDue reports whether to write the roster now. An instance that is not leaving
// writes to join. The
// writer writes once per RenewInterval, or when released seats wait for a new holder.
// Any other member writes if less than a third of its platform lease is left because
// the writer has not renewed it, and RenewInterval has passed since its own last write.
// No instance writes again within RenewInterval/minWriteDivisor.
func (a *Agent) writeDue(now time.Time) bool {
	since := now.Sub(a.lastWrite)
	if !a.lastWrite.IsZero() && since < a.timing.RenewInterval/minWriteDivisor {
		return false
	}
	if !a.isMember() {
		return !a.leaving
	}
	if a.writer(now) == a.id {
		return a.lastWrite.IsZero() || since >= a.timing.RenewInterval || a.anyReleased(now)
	}
	return since >= a.timing.RenewInterval && now.After(a.PlatformLeaseEnd().Add(-a.timing.PlatformLease/3))
}

// minWriteDivisor is the ratio of RenewInterval to the shortest time between two writes.
const minWriteDivisor = 6

// anyReleased reports whether a member has released a seat that it still holds in the
// roster.
func (a *Agent) anyReleased(now time.Time) bool {
	if len(a.released(now)) > 0 {
		return true
	}
	for id, p := range a.peers {
		for _, st := range p.released {
			if s := a.roster.Seats[st.Seat]; s.Holder == id && s.Term == st.Term {
				return true
			}
		}
	}
	return false
}

// writer returns the first member by ID that is not leaving and whose heartbeats are
// being received. If there is none, it returns this instance.
func (a *Agent) writer(now time.Time) string {
	for _, m := range a.roster.Members {
		if m.ID == a.id && !a.leaving {
			return m.ID
		}
		p := a.peers[m.ID]
		if p != nil && !p.leaving && now.Sub(p.receivedAt) < a.timing.PeerLease {
			return m.ID
		}
	}
	return a.id
}

// applyHeartbeats updates the roster from the heartbeats received: renewals,
// acknowledged epochs, released seats and members that have left.
func (a *Agent) applyHeartbeats(now time.Time, r *Roster) {
	for i := range r.Members {
		m := &r.Members[i]
		if m.ID == a.id {
			m.Renewal = a.sent.seq
			m.Acked = a.roster.Epoch
			continue
		}
		if p := a.peers[m.ID]; p != nil {
			m.Renewal = max(m.Renewal, p.seq)
			m.Acked = max(m.Acked, p.epoch)
			a.freeReleased(r, m.ID, p.released)
		}
	}
	a.freeReleased(r, a.id, a.released(now))
	a.removeLeft(r)
}

func (a *Agent) freeReleased(r *Roster, holder string, released []SeatTerm) {
	for _, st := range released {
		if s := r.Seats[st.Seat]; s.Holder == holder && s.Term == st.Term {
			r.assign(st.Seat, "")
		}
	}
}

// removeLeft removes members that are leaving and hold no more seats.
func (a *Agent) removeLeft(r *Roster) {
	for _, m := range append([]Member(nil), r.Members...) {
		if a.isLeaving(m.ID) && len(r.Held(m.ID)) == 0 {
			r.remove(m.ID)
		}
	}
}

func (a *Agent) isLeaving(id string) bool {
	if id == a.id {
		return a.leaving
	}
	p := a.peers[id]
	return p != nil && p.leaving
}

func (a *Agent) isRetiring(id string) bool {
	if id == a.id {
		return a.retiring
	}
	p := a.peers[id]
	return p != nil && p.retiring
}

// ineligible returns the members that take no more seats.
func (a *Agent) ineligible(r *Roster) map[string]bool {
	out := make(map[string]bool)
	for _, m := range r.Members {
		if a.isLeaving(m.ID) || a.isRetiring(m.ID) {
			out[m.ID] = true
		}
	}
	return out
}

// takeOver removes the members whose leases are certain to be over. A leaving instance
// removes none.
func (a *Agent) takeOver(now time.Time, w *Write) {
	if a.leaving {
		return
	}
	self, _ := a.roster.Member(a.id)
	for _, m := range a.roster.Members {
		if m.ID != a.id && a.leasesOver(now, self, m) {
			a.takeovers[m.ID] = true
			w.Roster.remove(m.ID)
		}
	}
}

// leasesOver reports whether both leases of m are over on m's own clock.
func (a *Agent) leasesOver(now time.Time, self, m Member) bool {
	s, ok := a.renewals[m.ID]
	if !ok || now.Sub(s.at) <= a.timing.takeoverWait(a.timing.PlatformLease) {
		return false
	}
	acked := m.Acked
	if p := a.peers[m.ID]; p != nil {
		acked = max(acked, p.epoch)
		if now.Sub(p.receivedAt) <= a.timing.takeoverWait(a.timing.PeerLease) {
			return false
		}
	}
	if acked >= self.Joined || m.Addr == a.addr {
		// If the addresses are equal, m's process has ended. Otherwise, this process
		// could not listen on the address.
		return true
	}
	return now.Sub(s.at) > a.timing.takeoverWait(a.timing.MaxOffline)
}

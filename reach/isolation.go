package reach

import "time"

// isolationTime is the time without a heartbeat of any member of another hall after which an instance may
// be isolated. Two rounds of gossip pass in it.
const isolationTime = time.Second

// storeResponseTime is how long a response of the store shows that this instance is not cut off.
const storeResponseTime = 2 * time.Second

// Contacts are an instance's last contacts with what is outside its hall.
type Contacts struct {
	// MembersAt is when a heartbeat of a member of another hall last arrived, or zero if none has since
	// the start. StoreAt is when the store last responded.
	MembersAt, StoreAt time.Time
	// HallsLost is true if the targets of all other halls are lost.
	HallsLost bool
}

// MembersLost reports whether the members of other halls have been heard from, and none of them for
// isolationTime.
func (c Contacts) MembersLost(now time.Time) bool {
	return !c.MembersAt.IsZero() && now.Sub(c.MembersAt) >= isolationTime
}

// MayBeIsolated reports whether an instance is isolated, that is, cut off from everything outside its hall,
// unless the store responds. The caller should then find out whether it does.
func (c Contacts) MayBeIsolated(now time.Time) bool {
	return c.HallsLost && c.MembersLost(now)
}

// IsIsolated reports whether an instance is isolated. If the store has responded lately, and since the members
// of other halls were last heard from, these are down.
func (c Contacts) IsIsolated(now time.Time) bool {
	return c.MayBeIsolated(now) && !c.StoreResponds(now)
}

// StoreResponds reports whether the store has responded lately, and since the members of other halls were last
// heard from. A response long ago says nothing: the way to the store may have been lost shortly after that to the
// members.
func (c Contacts) StoreResponds(now time.Time) bool {
	return c.StoreAt.After(c.MembersAt) && now.Sub(c.StoreAt) < storeResponseTime
}

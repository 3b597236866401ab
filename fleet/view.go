package fleet

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Settings are the parameters of a view.
type Settings struct {
	// ProbeAfter is the time without a new heartbeat after which a member of the own region is
	// probed. SuspectAfter is the time after which it is suspected.
	ProbeAfter, SuspectAfter time.Duration
	// Watchers is the number of watchers in each region.
	Watchers int
	// LocalFanout is the number of members of the own region to which a round of gossip is sent.
	LocalFanout int
}

// DefaultSettings suit a gossip interval of RoundTime. With three partners, new heartbeats of a
// member mostly arrive in each round, and those of one member in a hundred only in the third round.
// So a member without new heartbeats for two rounds is probed, and it is probed twice before it is
// suspected. The model tests check the consequences for 12 to 730 instances.
var DefaultSettings = Settings{
	ProbeAfter:   2 * RoundTime,
	SuspectAfter: 4 * RoundTime,
	Watchers:     2,
	LocalFanout:  3,
}

// View is the membership as seen by one instance. It is not safe for concurrent use.
type View struct {
	settings  Settings
	self      Member
	heartbeat Heartbeat
	members   map[string]*record
	byID      map[ID]*record
	// byName holds the records sorted by name.
	byName []*record
	// local holds the records of the own region, and remote those of each other region, in the
	// order of ringLess. remoteRegions are the sorted keys of remote.
	local         []*record
	remote        map[string][]*record
	remoteRegions []string
	// round is the number of the current gossip round.
	round int64
}

type record struct {
	member    Member
	heartbeat Heartbeat
	// heardAt is the time at which heartbeat was last raised, or zero if no heartbeat has arrived.
	heardAt time.Time
	// refusedAt is the time at which the member's peer address last refused a connection.
	refusedAt time.Time
}

// NewView returns the view of a process that knows only its own member. Number is the sequence
// number of its first heartbeat.
func NewView(self Member, number Sequence, settings Settings) *View {
	return &View{
		settings:  settings,
		self:      self,
		heartbeat: Heartbeat{Member: IDOf(self.Name), Sequence: number},
		members:   make(map[string]*record),
		byID:      make(map[ID]*record),
		remote:    make(map[string][]*record),
	}
}

// Member returns the member with the given ID, which may be the own one.
func (v *View) Member(id ID) (Member, bool) {
	if id == v.heartbeat.Member {
		return v.self, true
	}
	r := v.byID[id]
	if r == nil {
		return Member{}, false
	}
	return r.member, true
}

// Self returns the own member.
func (v *View) Self() Member { return v.self }

// SetFlags sets the flags that the own process reports.
func (v *View) SetFlags(flags Flags) { v.heartbeat.Flags = flags }

// Add adds or updates members that were read from the store or received from a peer.
func (v *View) Add(members ...Member) {
	changed := false
	for _, m := range members {
		r := v.members[m.Name]
		switch {
		case m.Name == v.self.Name || m.Name == "":
		case r == nil:
			v.members[m.Name] = &record{member: m}
			changed = true
		case r.member != m:
			r.member = m
			changed = true
		}
	}
	if changed {
		v.reindex()
	}
}

// reindex rebuilds the indexes of the records after a change of the members.
func (v *View) reindex() {
	v.byName, v.local, v.remoteRegions = v.byName[:0], v.local[:0], v.remoteRegions[:0]
	clear(v.byID)
	clear(v.remote)
	for name, r := range v.members {
		v.byName = append(v.byName, r)
		v.byID[IDOf(name)] = r
	}
	slices.SortFunc(v.byName, func(a, b *record) int { return strings.Compare(a.member.Name, b.member.Name) })
	for _, r := range v.byName {
		if r.member.Region == v.self.Region {
			v.local = append(v.local, r)
			continue
		}
		v.remote[r.member.Region] = append(v.remote[r.member.Region], r)
	}
	byRing := func(a, b *record) int {
		if ringLess(a.member, b.member) {
			return -1
		}
		return 1
	}
	slices.SortFunc(v.local, byRing)
	for region, ring := range v.remote {
		v.remoteRegions = append(v.remoteRegions, region)
		slices.SortFunc(ring, byRing)
	}
	sort.Strings(v.remoteRegions)
}

// Remove removes a member unless it is alive.
func (v *View) Remove(now time.Time, name string) {
	r := v.members[name]
	if r != nil && v.state(now, r) != Alive {
		delete(v.members, name)
		v.reindex()
	}
}

// AdvanceHeartbeat raises the sequence number of the own heartbeat, at least to that of the current
// time.
func (v *View) AdvanceHeartbeat(now time.Time) {
	v.heartbeat.Sequence = max(v.heartbeat.Sequence+1, SequenceAt(now))
}

// fullViewSize is the number of other members from which on an instance tracks only its own region
// and the watchers of the others, and hears of some further members of these now and then. In a smaller fleet the heartbeats of all members are gossiped.
const fullViewSize = 32

// HeartbeatsFor returns the heartbeats to gossip to a member of a region, the own one first.
func (v *View) HeartbeatsFor(now time.Time, region string) Heartbeats {
	out := make(Heartbeats, 0, len(v.byName)+1)
	out = append(out, v.heartbeat)
	for _, r := range v.byName {
		if now.Sub(r.heardAt) < v.settings.SuspectAfter && v.gossipsTo(r, region) {
			out = append(out, r.heartbeat)
		}
	}
	if len(v.members) >= fullViewSize && region != v.self.Region {
		for _, r := range v.remoteSample(now) {
			out = append(out, r.heartbeat)
		}
	}
	return out
}

// gossipsTo reports whether the heartbeats of a member are always gossiped to a region. In a small fleet
// all are. Otherwise the heartbeats of watchers are gossiped to all regions, and those of other
// members of the own region within it.
func (v *View) gossipsTo(r *record, region string) bool {
	if len(v.members) < fullViewSize || r.heartbeat.Flags&Watching != 0 {
		return true
	}
	return region == v.self.Region && r.member.Region == region
}

// tracks reports whether heartbeats of a member are expected to arrive.
func (v *View) tracks(r *record) bool {
	return len(v.members) < fullViewSize || r.member.Region == v.self.Region
}

// MergeHeartbeats merges received heartbeats into the view.
func (v *View) MergeHeartbeats(now time.Time, heartbeats Heartbeats) {
	for _, h := range heartbeats {
		if h.Member == v.heartbeat.Member {
			v.advancePast(h)
			continue
		}
		r := v.byID[h.Member]
		if r == nil || h.Sequence <= r.heartbeat.Sequence {
			continue
		}
		r.heartbeat = h
		r.heardAt = now
	}
}

// advancePast raises the own sequence number above that of an earlier process of the same member,
// whose clock may have been ahead.
func (v *View) advancePast(h Heartbeat) {
	if h.Sequence > v.heartbeat.Sequence {
		v.heartbeat.Sequence = h.Sequence + 1
	}
}

// OwnHeartbeat returns the latest heartbeat of the own process.
func (v *View) OwnHeartbeat() Heartbeat { return v.heartbeat }

// NewerHeartbeat returns the recorded heartbeat of the sender of a list of heartbeats if it is
// newer than the sender's own. This happens if an earlier process of the sender had a clock that
// was ahead. The heartbeat has to be sent to the sender, whose own heartbeats are ignored
// otherwise.
func (v *View) NewerHeartbeat(heartbeats Heartbeats) (Heartbeat, bool) {
	if len(heartbeats) == 0 {
		return Heartbeat{}, false
	}
	r := v.byID[heartbeats[0].Member]
	if r == nil || r.heartbeat.Sequence <= heartbeats[0].Sequence {
		return Heartbeat{}, false
	}
	return r.heartbeat, true
}

// MarkRefused records that a peer address has refused a connection, which shows that its process
// has ended.
func (v *View) MarkRefused(now time.Time, peerAddr string) {
	for _, r := range v.members {
		if r.member.PeerAddr == peerAddr {
			r.refusedAt = now
		}
	}
}

func (v *View) state(now time.Time, r *record) State {
	heard := !r.heardAt.IsZero()
	silent := now.Sub(r.heardAt) >= v.settings.SuspectAfter
	refused := r.refusedAt.After(r.heardAt)
	switch {
	case heard && r.heartbeat.Flags&Leaving != 0:
		return Stopping
	case heard && !silent && !refused:
		return Alive
	case v.tracks(r) && (heard || refused):
		return Suspect
	default:
		return Unknown
	}
}

// IsMissing reports whether a member whose heartbeats are expected is suspect or unknown.
func (v *View) IsMissing(now time.Time, name string) bool {
	r := v.members[name]
	if r == nil || !v.tracks(r) {
		return false
	}
	state := v.state(now, r)
	return state == Suspect || state == Unknown
}

// own returns the status of the own member.
func (v *View) own() Status {
	own := Status{Member: v.self, State: Alive, Flags: v.heartbeat.Flags}
	if v.heartbeat.Flags&Leaving != 0 {
		own.State = Stopping
	}
	return own
}

// Each calls f with the status of every member, the own one first and the others sorted by name. It
// makes no copy of the members.
func (v *View) Each(now time.Time, f func(Status)) {
	f(v.own())
	for _, r := range v.byName {
		f(v.status(now, r))
	}
}

// status returns the status of a member.
func (v *View) status(now time.Time, r *record) Status {
	return Status{Member: r.member, State: v.state(now, r), Flags: r.heartbeat.Flags, HeardAt: r.heardAt}
}

// All returns the status of every member, including the own one, sorted by name.
func (v *View) All(now time.Time) []Status {
	own := v.own()
	out := v.Others(now)
	at := sort.Search(len(out), func(i int) bool { return out[i].Name > v.self.Name })
	return slices.Insert(out, at, own)
}

// Others returns the status of every member except the own one, sorted by name.
func (v *View) Others(now time.Time) []Status {
	out := make([]Status, 0, len(v.byName)+1)
	for _, r := range v.byName {
		out = append(out, v.status(now, r))
	}
	return out
}

// OtherHallsHeardAt returns the time at which a heartbeat of a member of another hall last arrived, or the
// zero time.
func (v *View) OtherHallsHeardAt() time.Time {
	var at time.Time
	for _, r := range v.byName {
		if r.member.Hall != v.self.Hall && r.heardAt.After(at) {
			at = r.heardAt
		}
	}
	return at
}

// Len returns the number of members, including the own one.
func (v *View) Len() int { return len(v.byName) + 1 }

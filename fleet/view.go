package fleet

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Settings are the settings of a view.
type Settings struct {
	// ProbeAfter is the time without a new heartbeat after which a member of the
	// own region is asked directly, and SuspectAfter that after which it is
	// suspected.
	ProbeAfter, SuspectAfter time.Duration
	// Watchers is the number of watchers in each region.
	Watchers int
	// LocalFanout is the number of members of the own region that a round of gossip goes
	// to.
	LocalFanout int
}

// DefaultSettings suit a round of gossip each RoundTime. With three partners news of a
// member mostly comes in each round, and of one in a hundred in the third one only, so
// one that was silent for two rounds is asked, twice before it is suspected. The model
// tests measure what follows at 12 to 730 instances.
var DefaultSettings = Settings{
	ProbeAfter:   2 * RoundTime,
	SuspectAfter: 4 * RoundTime,
	Watchers:     2,
	LocalFanout:  3,
}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	settings  Settings
	self      Member
	heartbeat Heartbeat
	members   map[string]*record
	byID      map[ID]*record
	// byName holds the members in the byName of their names.
	byName []*record
	// local are the members of the own region and far those of the others, by region,
	// in the order of ringLess. farRegions are the regions of far in order.
	local         []*record
	remote        map[string][]*record
	remoteRegions []string
	// round counts the rounds of gossip.
	round int64
}

type record struct {
	member    Member
	heartbeat Heartbeat
	// heardAt is when the beat last rose, zero if none was heard.
	heardAt time.Time
	// refusedAt is when the member's peer address last refused a connection.
	refusedAt time.Time
}

// NewView returns the view of a member's process that knows only itself. Number is that
// of its first heartbeat.
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

// Member returns the member of an ID, the own one too.
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

// SetFlags sets what the own process says of itself.
func (v *View) SetFlags(flags Flags) { v.heartbeat.Flags = flags }

// Add takes in members that the store or a peer named.
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

// Remove drops a member that is known from the store alone and not alive.
func (v *View) Remove(now time.Time, name string) {
	r := v.members[name]
	if r != nil && v.state(now, r) != Alive {
		delete(v.members, name)
		v.reindex()
	}
}

// AdvanceHeartbeat counts one heartbeat of the own process.
func (v *View) AdvanceHeartbeat(now time.Time) {
	v.heartbeat.Sequence = max(v.heartbeat.Sequence+1, SequenceAt(now))
}

// fullViewSize is the number of members up to which beats of all are passed on. In a
// larger fleet an instance follows its own region and the others' watchers.
const fullViewSize = 32

// HeartbeatsFor returns the beats to pass on to a member of a region, the own one first.
func (v *View) HeartbeatsFor(now time.Time, region string) Heartbeats {
	out := make(Heartbeats, 0, len(v.byName)+1)
	out = append(out, v.heartbeat)
	for _, r := range v.byName {
		if now.Sub(r.heardAt) < v.settings.SuspectAfter && v.gossipsTo(r, region) {
			out = append(out, r.heartbeat)
		}
	}
	return out
}

// gossipsTo tells whether members of a region are told of a member: of all in a small
// fleet, else by their own region of its members and by others of the watchers alone.
func (v *View) gossipsTo(r *record, region string) bool {
	if len(v.members) < fullViewSize || r.heartbeat.Flags&Watching != 0 {
		return true
	}
	return region == v.self.Region && r.member.Region == region
}

// tracks tells whether the heartbeats of a member are expected to arrive.
func (v *View) tracks(r *record) bool {
	return len(v.members) < fullViewSize || r.member.Region == v.self.Region
}

// MergeHeartbeats takes in beats.
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

// advancePast raises the own number above that of an earlier process, which may have had
// a clock that was ahead.
func (v *View) advancePast(h Heartbeat) {
	if h.Sequence > v.heartbeat.Sequence {
		v.heartbeat.Sequence = h.Sequence + 1
	}
}

// OwnHeartbeat returns the heartbeat of the own process.
func (v *View) OwnHeartbeat() Heartbeat { return v.heartbeat }

// NewerHeartbeat returns a heartbeat of the sender's member that is newer than all that the
// sender itself knows: an earlier process had a clock that was ahead. The sender has
// to be told, or its own heartbeats would count for nothing.
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

// MarkRefused takes in that a peer address refused a connection, which shows that
// its process has ended.
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

// IsMissing tells whether a member whose heartbeats are expected is not heard.
func (v *View) IsMissing(now time.Time, name string) bool {
	r := v.members[name]
	if r == nil || !v.tracks(r) {
		return false
	}
	state := v.state(now, r)
	return state == Suspect || state == Unknown
}

// All returns every member, the own one too, in the order of names.
func (v *View) All(now time.Time) []Status {
	own := Status{Member: v.self, State: Alive, Flags: v.heartbeat.Flags}
	if v.heartbeat.Flags&Leaving != 0 {
		own.State = Stopping
	}
	out := v.Others(now)
	at := sort.Search(len(out), func(i int) bool { return out[i].Name > v.self.Name })
	return slices.Insert(out, at, own)
}

// Others returns every member but the own one, in the order of names.
func (v *View) Others(now time.Time) []Status {
	out := make([]Status, 0, len(v.byName)+1)
	for _, r := range v.byName {
		out = append(out, Status{Member: r.member, State: v.state(now, r), Flags: r.heartbeat.Flags})
	}
	return out
}

// Len returns the number of members, the own one too.
func (v *View) Len() int { return len(v.byName) + 1 }

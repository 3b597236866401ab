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
	// Near is the number of members of the own region that a round of gossip goes
	// to.
	Near int
}

// DefaultSettings suit a round of gossip each RoundTime. With three partners news of a
// member mostly comes in each round, and of one in a hundred in the third one only, so
// one that was silent for two rounds is asked, twice before it is suspected. The model
// tests measure what follows at 12 to 730 instances.
var DefaultSettings = Settings{
	ProbeAfter:   2 * RoundTime,
	SuspectAfter: 4 * RoundTime,
	Watchers:     2,
	Near:         3,
}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	settings Settings
	self     Member
	beat     Beat
	members  map[string]*record
	byID     map[ID]*record
	// order holds the members in the order of their names.
	order []*record
	// near are the members of the own region and far those of the others, by region,
	// in the order of ringLess. farRegions are the regions of far in order.
	near       []*record
	far        map[string][]*record
	farRegions []string
	// round counts the rounds of gossip.
	round int64
}

type record struct {
	member Member
	beat   Beat
	// heardAt is when the beat last rose, zero if none was heard.
	heardAt time.Time
	// refusedAt is when the member's peer address last refused a connection.
	refusedAt time.Time
}

// NewView returns the view of a member's process that knows only itself. Number is that
// of its first heartbeat.
func NewView(self Member, number Number, settings Settings) *View {
	return &View{
		settings: settings,
		self:     self,
		beat:     Beat{Member: IDOf(self.Name), Number: number},
		members:  make(map[string]*record),
		byID:     make(map[ID]*record),
		far:      make(map[string][]*record),
	}
}

// Member returns the member of an ID, the own one too.
func (v *View) Member(id ID) (Member, bool) {
	if id == v.beat.Member {
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
func (v *View) SetFlags(flags Flags) { v.beat.Flags = flags }

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
		v.arrange()
	}
}

func (v *View) arrange() {
	v.order, v.near, v.farRegions = v.order[:0], v.near[:0], v.farRegions[:0]
	clear(v.byID)
	clear(v.far)
	for name, r := range v.members {
		v.order = append(v.order, r)
		v.byID[IDOf(name)] = r
	}
	slices.SortFunc(v.order, func(a, b *record) int { return strings.Compare(a.member.Name, b.member.Name) })
	for _, r := range v.order {
		if r.member.Region == v.self.Region {
			v.near = append(v.near, r)
			continue
		}
		v.far[r.member.Region] = append(v.far[r.member.Region], r)
	}
	byRing := func(a, b *record) int {
		if ringLess(a.member, b.member) {
			return -1
		}
		return 1
	}
	slices.SortFunc(v.near, byRing)
	for region, ring := range v.far {
		v.farRegions = append(v.farRegions, region)
		slices.SortFunc(ring, byRing)
	}
	sort.Strings(v.farRegions)
}

// Remove drops a member that is known from the store alone and not alive.
func (v *View) Remove(now time.Time, name string) {
	r := v.members[name]
	if r != nil && v.state(now, r) != Alive {
		delete(v.members, name)
		v.arrange()
	}
}

// Beat counts one heartbeat of the own process.
func (v *View) Beat(now time.Time) { v.beat.Number = max(v.beat.Number+1, NumberAt(now)) }

// fullView is the number of members up to which beats of all are passed on. In a
// larger fleet an instance follows its own region and the others' watchers.
const fullView = 32

// Beats returns the beats to pass on to a member of a region, the own one first.
func (v *View) Beats(now time.Time, region string) Beats {
	out := make(Beats, 0, len(v.order)+1)
	out = append(out, v.beat)
	for _, r := range v.order {
		if now.Sub(r.heardAt) < v.settings.SuspectAfter && v.concerns(r, region) {
			out = append(out, r.beat)
		}
	}
	return out
}

// concerns tells whether members of a region are told of a member: of all in a small
// fleet, else by their own region of its members and by others of the watchers alone.
func (v *View) concerns(r *record, region string) bool {
	if len(v.members) < fullView || r.beat.Flags&Watching != 0 {
		return true
	}
	return region == v.self.Region && r.member.Region == region
}

// follows tells whether the heartbeats of a member are expected to arrive.
func (v *View) follows(r *record) bool {
	return len(v.members) < fullView || r.member.Region == v.self.Region
}

// Hear takes in beats.
func (v *View) Hear(now time.Time, beats Beats) {
	for _, b := range beats {
		if b.Member == v.beat.Member {
			v.outlive(b)
			continue
		}
		r := v.byID[b.Member]
		if r == nil || b.Number <= r.beat.Number {
			continue
		}
		r.beat = b
		r.heardAt = now
	}
}

// outlive raises the own number above that of an earlier process, which may have had
// a clock that was ahead.
func (v *View) outlive(b Beat) {
	if b.Number > v.beat.Number {
		v.beat.Number = b.Number + 1
	}
}

// OwnBeat returns the heartbeat of the own process.
func (v *View) OwnBeat() Beat { return v.beat }

// Outlived returns a heartbeat of the sender's member that is newer than all that the
// sender itself knows: an earlier process had a clock that was ahead. The sender has
// to be told, or its own heartbeats would count for nothing.
func (v *View) Outlived(beats Beats) (Beat, bool) {
	if len(beats) == 0 {
		return Beat{}, false
	}
	r := v.byID[beats[0].Member]
	if r == nil || r.beat.Number <= beats[0].Number {
		return Beat{}, false
	}
	return r.beat, true
}

// Refused takes in that a peer address refused a connection, which shows that
// its process has ended.
func (v *View) Refused(now time.Time, peerAddr string) {
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
	case heard && r.beat.Flags&Leaving != 0:
		return Gone
	case heard && !silent && !refused:
		return Alive
	case v.follows(r) && (heard || refused):
		return Suspect
	default:
		return Unknown
	}
}

// Misses tells whether a member whose heartbeats are expected is not heard.
func (v *View) Misses(now time.Time, name string) bool {
	r := v.members[name]
	if r == nil || !v.follows(r) {
		return false
	}
	state := v.state(now, r)
	return state == Suspect || state == Unknown
}

// All returns every member, the own one too, in the order of names.
func (v *View) All(now time.Time) []Status {
	own := Status{Member: v.self, State: Alive, Flags: v.beat.Flags}
	if v.beat.Flags&Leaving != 0 {
		own.State = Gone
	}
	out := v.Others(now)
	at := sort.Search(len(out), func(i int) bool { return out[i].Name > v.self.Name })
	return slices.Insert(out, at, own)
}

// Others returns every member but the own one, in the order of names.
func (v *View) Others(now time.Time) []Status {
	out := make([]Status, 0, len(v.order)+1)
	for _, r := range v.order {
		out = append(out, Status{Member: r.member, State: v.state(now, r), Flags: r.beat.Flags})
	}
	return out
}

// Len returns the number of members, the own one too.
func (v *View) Len() int { return len(v.order) + 1 }

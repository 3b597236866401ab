package fleet

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Settings are the settings of a view.
type Settings struct {
	// SuspectAfter is the time without a new heartbeat after which a member
	// is suspected.
	SuspectAfter time.Duration
	// Watchers is the number of watchers in each region.
	Watchers int
	// Near and Far are the numbers of members of the own region and of other
	// regions that a round of gossip goes to.
	Near, Far int
}

// DefaultSettings suit a gossip twice a second.
var DefaultSettings = Settings{SuspectAfter: 2500 * time.Millisecond, Watchers: 2, Near: 2, Far: 1}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	settings Settings
	self     Member
	beat     Beat
	members  map[string]*record
	byID     map[ID]*record
	// order holds the names of the members in order.
	order []string
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
	}
}

// Self returns the own member.
func (v *View) Self() Member { return v.self }

// SetFlags sets what the own process says of itself.
func (v *View) SetFlags(flags Flags) { v.beat.Flags = flags }

// Add takes in a member that the store or a peer named.
func (v *View) Add(m Member) {
	if m.Name == v.self.Name || m.Name == "" {
		return
	}
	r := v.members[m.Name]
	if r == nil {
		v.members[m.Name] = &record{member: m}
		v.arrange()
		return
	}
	r.member = m
}

func (v *View) arrange() {
	v.order = v.order[:0]
	clear(v.byID)
	for name, r := range v.members {
		v.order = append(v.order, name)
		v.byID[IDOf(name)] = r
	}
	sort.Strings(v.order)
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
func (v *View) Beat() { v.beat.Number++ }

// fullView is the number of members up to which beats of all are passed on. In a
// larger fleet an instance follows its own region and the others' watchers.
const fullView = 32

// Beats returns the beats to pass on to a member of a region, the own one first.
func (v *View) Beats(now time.Time, region string) Beats {
	out := make(Beats, 0, len(v.order)+1)
	out = append(out, v.beat)
	for _, name := range v.order {
		r := v.members[name]
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
	silent := r.heardAt.IsZero() || now.Sub(r.heardAt) >= v.settings.SuspectAfter
	switch {
	case r.beat.Flags&Leaving != 0 && !r.heardAt.IsZero():
		return Gone
	case silent || r.refusedAt.After(r.heardAt):
		return Suspect
	default:
		return Alive
	}
}

// All returns every member, the own one too, in the order of names.
func (v *View) All(now time.Time) []Status {
	out := make([]Status, 0, len(v.order)+1)
	own := Status{Member: v.self, State: Alive, Flags: v.beat.Flags}
	if v.beat.Flags&Leaving != 0 {
		own.State = Gone
	}
	placed := false
	for _, name := range v.order {
		if !placed && name > v.self.Name {
			out = append(out, own)
			placed = true
		}
		r := v.members[name]
		out = append(out, Status{Member: r.member, State: v.state(now, r), Flags: r.beat.Flags})
	}
	if !placed {
		out = append(out, own)
	}
	return out
}

// Len returns the number of members, the own one too.
func (v *View) Len() int { return len(v.order) + 1 }

// Partners draws the members that a round of gossip goes to: some of the own
// region and some of others. Members that are not alive are tried once in a while,
// so that a healed cut is noticed; of another region only if none there is alive,
// since those of a large fleet are not followed one by one.
func (v *View) Partners(now time.Time, rnd *rand.Rand) []Member {
	var near, far, silent, silentFar []Member
	heard := make(map[string]bool)
	for _, s := range v.All(now) {
		switch {
		case s.Name == v.self.Name:
		case s.State == Alive && s.Region == v.self.Region:
			near = append(near, s.Member)
		case s.State == Alive:
			far = append(far, s.Member)
			heard[s.Region] = true
		case s.Region == v.self.Region || len(v.members) < fullView:
			silent = append(silent, s.Member)
		default:
			silentFar = append(silentFar, s.Member)
		}
	}
	for _, m := range silentFar {
		if !heard[m.Region] {
			silent = append(silent, m)
		}
	}
	out := draw(near, v.settings.Near, rnd)
	out = append(out, draw(far, v.settings.Far, rnd)...)
	return append(out, draw(silent, 1, rnd)...)
}

func draw(from []Member, n int, rnd *rand.Rand) []Member {
	rnd.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

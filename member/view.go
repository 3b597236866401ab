package member

import (
	"hash/fnv"
	"sort"
	"time"
)

// Settings are the time limits of a view.
type Settings struct {
	// SuspectAfter is the time since an instance was last known to be alive after which it is
	// suspected.
	SuspectAfter time.Duration
	// ForgetAfter is the time since an instance was last known to be alive after which it is
	// removed if it is not listed.
	ForgetAfter time.Duration
}

// DefaultSettings suit a heartbeat interval of 500 ms.
var DefaultSettings = Settings{
	SuspectAfter: 2 * time.Second,
	ForgetAfter:  30 * time.Second,
}

// View is one instance's view of the others. It is not safe for concurrent use.
type View struct {
	self     Instance
	settings Settings
	records  map[string]*record
}

type record struct {
	status Status
	listed bool
	// unreachable is set if a connection to the instance has failed since its last heartbeat.
	unreachable bool
	// lastAlive is as Status.LastAlive.
	lastAlive time.Time
}

// NewView returns an empty view of the instance self.
func NewView(self Instance, settings Settings) *View {
	return &View{self: self, settings: settings, records: make(map[string]*record)}
}

// SetList updates the view from the platform's list. A listed instance that is new to the view counts
// as live for SuspectAfter, the time in which its first heartbeat should arrive, and as ready until a
// heartbeat states otherwise.
func (v *View) SetList(now time.Time, list []Instance) {
	for _, r := range v.records {
		r.listed = false
	}
	for _, in := range list {
		if in.ID == v.self.ID {
			continue
		}
		r := v.records[in.ID]
		if r == nil {
			r = v.record(in)
			r.lastAlive = now
			r.status.Ready = true
		}
		r.listed = true
		r.status.Leaving = r.status.Leaving || in.Leaving
	}
}

// HandleHeartbeat records a heartbeat that arrived at time now.
func (v *View) HandleHeartbeat(now time.Time, hb Heartbeat) {
	if hb.From.ID == v.self.ID {
		return
	}
	r := v.record(hb.From)
	leaving := r.status.Leaving || hb.From.Leaving
	r.status.Instance = hb.From
	r.status.Leaving = leaving
	r.status.HeardAt = now
	r.status.Ready = hb.Ready
	r.status.Config = max(r.status.Config, hb.Config)
	r.status.Loads = hb.Loads
	r.lastAlive = now
	r.unreachable = false
	for _, id := range hb.Heard {
		if other := v.records[id]; other != nil {
			other.lastAlive = now
		}
	}
}

// MarkUnreachable records that a connection to a peer address has failed. The instance with this
// address is suspected until its next heartbeat, unless it is leaving.
func (v *View) MarkUnreachable(addr string) {
	for _, r := range v.records {
		if r.status.PeerAddr == addr {
			r.unreachable = true
		}
	}
}

// record returns the record of an instance, which it creates if needed.
func (v *View) record(in Instance) *record {
	r := v.records[in.ID]
	if r == nil {
		r = &record{status: Status{Instance: in}}
		v.records[in.ID] = r
	}
	return r
}

// Forget removes the instances that are not listed and have not been known to be alive for
// ForgetAfter.
func (v *View) Forget(now time.Time) {
	for id, r := range v.records {
		if !r.listed && now.Sub(r.lastAlive) > v.settings.ForgetAfter {
			delete(v.records, id)
		}
	}
}

// Get returns the status of an instance, or false if it is not in the view.
func (v *View) Get(now time.Time, id string) (Status, bool) {
	r := v.records[id]
	if r == nil {
		return Status{}, false
	}
	s := r.status
	s.State = v.state(now, r)
	s.LastAlive = r.lastAlive
	return s, true
}

// All returns the status of every instance in the view, sorted by ID.
func (v *View) All(now time.Time) []Status {
	out := make([]Status, 0, len(v.records))
	for _, r := range v.records {
		s := r.status
		s.State = v.state(now, r)
		s.LastAlive = r.lastAlive
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (v *View) state(now time.Time, r *record) State {
	switch {
	case r.status.Leaving:
		return Leaving
	case r.unreachable:
		return Suspect
	case !r.lastAlive.IsZero() && now.Sub(r.lastAlive) <= v.settings.SuspectAfter:
		return Live
	default:
		return Suspect
	}
}

// HeardInHall returns the sorted IDs of the reachable instances of the own hall whose own
// heartbeats have arrived within SuspectAfter.
func (v *View) HeardInHall(now time.Time) []string {
	var out []string
	for id, r := range v.records {
		fresh := !r.status.HeardAt.IsZero() && now.Sub(r.status.HeardAt) <= v.settings.SuspectAfter
		if r.status.Hall == v.self.Hall && fresh && !r.unreachable {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Recipients returns the instances to which the heartbeat of a round is sent: all of the own hall,
// and one of each other hall in turn, whatever their state. The instances of a hall start these
// turns at different places.
func (v *View) Recipients(now time.Time, round uint64) []Instance {
	var out []Instance
	halls := make(map[string][]Instance)
	var names []string
	for _, s := range v.All(now) {
		if s.Hall == v.self.Hall {
			out = append(out, s.Instance)
			continue
		}
		if halls[s.Hall] == nil {
			names = append(names, s.Hall)
		}
		halls[s.Hall] = append(halls[s.Hall], s.Instance)
	}
	start := uint64(hashID(v.self.ID))
	for _, name := range names {
		list := halls[name]
		out = append(out, list[(round+start)%uint64(len(list))])
	}
	return out
}

func hashID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

package ratelimit

import (
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Scope defines which instances form a domain.
type Scope string

// The scopes.
const (
	// PerInstance makes each instance a domain of its own. Its permits are not lent.
	PerInstance Scope = "instance"
	// PerHall and PerRegion make the instances of a hall or of a region a domain.
	PerHall   Scope = "hall"
	PerRegion Scope = "region"
	// Global makes all instances one domain.
	Global Scope = "whole"
)

// Instance is the name and location of an instance.
type Instance struct {
	Name, Hall, Region string
}

// domain returns the name of the domain of an instance.
func (d Scope) domain(p Instance) string {
	switch d {
	case PerInstance:
		return p.Name
	case PerHall:
		return p.Hall
	case PerRegion:
		return p.Region
	default:
		return ""
	}
}

// Owners maps each account to the owners of its shares. It is immutable.
type Owners struct {
	self   Instance
	shares int
	// domains starts with the own domain if any of its instances is listed, followed by the
	// other domains of the own region and then those of other regions. It contains at most
	// the own domain if permits are not lent.
	domains []domain
	// sameRegion is true for the instances of the own region.
	sameRegion map[string]bool
	// hall is set for the owners of hall limits. All other fields but self and shares are
	// unset in this case.
	hall *hallOwners
}

// domain is a set of instances that use the same share of each limit.
type domain struct {
	name       string
	instances  []string
	sameRegion bool
}

// lends reports whether owners of different domains lend each other permits.
func (d Scope) lends() bool { return d != PerInstance }

// NewOwners returns the owners among the instances that the store lists. RegionOf maps each
// hall to its region. Except for PerInstance, the number of shares follows from regionOf, so
// that all instances agree on it even if their lists of instances differ.
func NewOwners(scope Scope, self Instance, regionOf map[string]string, instances []Instance) *Owners {
	byName := make(map[string]*domain)
	own, sameRegion := scope.domain(self), make(map[string]bool)
	for _, p := range instances {
		sameRegion[p.Name] = p.Region == self.Region
		name := scope.domain(p)
		if name != own && !scope.lends() {
			continue
		}
		d := byName[name]
		if d == nil {
			d = &domain{name: name, sameRegion: p.Region == self.Region}
			byName[name] = d
		}
		d.instances = append(d.instances, p.Name)
	}
	o := &Owners{self: self, shares: scope.shares(regionOf, len(instances)), sameRegion: sameRegion}
	for _, d := range byName {
		sort.Strings(d.instances)
		o.domains = append(o.domains, *d)
	}
	// The order of the other domains differs between instances, so that borrowers do not all
	// start with the same lender.
	rank := func(d domain) (int, uint64) {
		switch {
		case d.name == own:
			return 0, 0
		case d.sameRegion:
			return 1, mix.Pair(self.Name, d.name)
		default:
			return 2, mix.Pair(self.Name, d.name)
		}
	}
	sort.Slice(o.domains, func(i, j int) bool {
		a, x := rank(o.domains[i])
		b, y := rank(o.domains[j])
		return a < b || a == b && x < y
	})
	return o
}

// shares returns the number of shares that each limit is divided into.
func (d Scope) shares(regionOf map[string]string, instances int) int {
	switch d {
	case PerInstance:
		return max(instances, 1)
	case PerHall:
		return max(len(regionOf), 1)
	case PerRegion:
		regions := make(map[string]bool)
		for _, region := range regionOf {
			regions[region] = true
		}
		return max(len(regions), 1)
	default:
		return 1
	}
}

// Shares returns the number of shares that each limit is divided into.
func (o *Owners) Shares() int { return o.shares }

// Owner is an instance that owns a share of an account's limit.
type Owner struct {
	Name string
	// SameRegion is set if the owner is in the own region.
	SameRegion bool
}

// Of returns the owners of an account's shares. The owner in the own domain comes first,
// followed by those of the other domains of the own region and then of other regions. For a
// hall limit, it returns the owner and its successors, at most maxCandidates in all.
func (o *Owners) Of(account string) []Owner {
	if o.hall != nil {
		return o.hall.owners(account)
	}
	out := make([]Owner, 0, len(o.domains))
	for _, d := range o.domains {
		name := ownerAmong(account, d.instances)
		out = append(out, Owner{Name: name, SameRegion: o.sameRegion[name]})
	}
	return out
}

// lenders returns the owners of an account's shares in other domains.
func (o *Owners) lenders(account string) []Owner {
	if o.hall != nil {
		return nil
	}
	return o.Of(account)[1:]
}

// owns reports whether this instance owns the account's share in its domain.
func (o *Owners) owns(account string) bool {
	if o.hall != nil {
		return o.hall.owns(account)
	}
	if len(o.domains) == 0 {
		return false
	}
	return ownerAmong(account, o.domains[0].instances) == o.self.Name
}

// ownerAmong returns the owner of an account's share among the instances of a domain. It is
// the instance with the highest hash together with the account, so that an instance that
// joins or leaves changes the owners of its own accounts only.
func ownerAmong(account string, names []string) string {
	owner := ""
	maxHash := uint64(0)
	for _, name := range names {
		if h := mix.Pair(account, name); owner == "" || h > maxHash {
			owner, maxHash = name, h
		}
	}
	return owner
}

// handoverDelay is how long after a change of the instances a new owner does not issue
// permits, because the former owner may not know of the change yet. A change takes effect
// within three seconds at all instances that can reach the store or each other.
const handoverDelay = 5 * time.Second

// ownership determines from which shares an instance may issue permits.
type ownership struct {
	// handoverDelay is how long a new owner waits before it issues permits.
	handoverDelay time.Duration
	// recent holds the owners in force and those replaced within handoverDelay.
	recent []ownersPeriod
	// changedAt is when the owners were last replaced. It is zero if they have not been
	// replaced since the start, or only within bootstrapTime of the first start.
	changedAt time.Time
}

type ownersPeriod struct {
	owners *Owners
	// replacedAt is when the owners were replaced. It is zero for the owners in force.
	replacedAt time.Time
}

// set replaces the owners as of now.
func (t *ownership) set(now time.Time, owners *Owners) {
	if n := len(t.recent); n > 0 {
		t.recent[n-1].replacedAt = now
		t.changedAt = now
	}
	t.recent = append(t.recent, ownersPeriod{owners: owners})
	t.dropOld(now)
}

func (t *ownership) dropOld(now time.Time) {
	expired := 0
	for expired < len(t.recent)-1 && now.Sub(t.recent[expired].replacedAt) >= t.handoverDelay {
		expired++
	}
	t.recent = append(t.recent[:0], t.recent[expired:]...)
}

// current returns the owners in force, or nil before the first call of set.
func (t *ownership) current() *Owners {
	if len(t.recent) == 0 {
		return nil
	}
	return t.recent[len(t.recent)-1].owners
}

// owns reports whether the instance owns the account's share and has owned it for
// handoverDelay, as far back as its record of owners reaches.
func (t *ownership) owns(now time.Time, account string) bool {
	t.dropOld(now)
	for _, h := range t.recent {
		if !h.owners.owns(account) {
			return false
		}
	}
	return len(t.recent) > 0
}

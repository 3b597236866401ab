package ratelimit

import (
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Scope says which instances form a domain.
type Scope string

// The divisions.
const (
	// PerInstance gives each instance an equal part of each limit, of which it lends nothing.
	PerInstance Scope = "instance"
	// PerHall and ByRegion make the instances of a hall or a region a domain.
	PerHall   Scope = "hall"
	PerRegion Scope = "region"
	// Global makes all instances one domain.
	Global Scope = "whole"
)

// Instance is where an instance runs.
type Instance struct {
	Name, Hall, Region string
}

// domain returns the name of the domain that a place belongs to.
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

// Owners knows the owner of each account's part in each domain. It is immutable.
type Owners struct {
	self   Instance
	shares int
	// domains begin with the own one, then come those of the own region. There is only the
	// own one where nothing is lent.
	domains []domain
	// sameRegion are the instances of the own region.
	sameRegion map[string]bool
	// hall is set for the owners of hall limits, and all else but self and parts is not.
	hall *hallOwners
}

// domain is a set of instances that share the parts of one cut of the limits.
type domain struct {
	name       string
	instances  []string
	sameRegion bool
}

// lends tells whether owners of different domains lend each other permits.
func (d Scope) lends() bool { return d != PerInstance }

// NewOwners returns the owners among the places of the instances that the store lists.
// RegionOf maps each hall to its region: the number of parts follows from it, so that all
// instances agree on it whatever they know of each other.
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
	// The others come in an order of the instance's own, so that borrowers do not all
	// begin with the same lender.
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

// shares returns the number of shares that each limit is cut into.
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

// Shares returns the number of parts that each limit is cut into.
func (o *Owners) Shares() int { return o.shares }

// Owner is an instance that owns a part of an account.
type Owner struct {
	Name string
	// SameRegion owners are of the own region.
	SameRegion bool
}

// Of returns the owners of an account's parts: that of the own domain first, then those
// of the own region.
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

// lenders returns the owners of the other parts of an account.
func (o *Owners) lenders(account string) []Owner {
	if o.hall != nil {
		return nil
	}
	return o.Of(account)[1:]
}

// owns tells whether this instance owns the account's part in its domain.
func (o *Owners) owns(account string) bool {
	if o.hall != nil {
		return o.hall.owns(account)
	}
	if len(o.domains) == 0 {
		return false
	}
	return ownerAmong(account, o.domains[0].instances) == o.self.Name
}

// ownerAmong returns the owner of an account's part among the instances of a domain: the
// one with the highest hash with it, so that one that joins or goes changes the owners of
// its own accounts only.
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

// handoverDelay is how long after a change of the instances a new owner leaves the part to
// the last one, which may not have heard of the change yet: changes are in force at all
// instances that reach the store or each other within three seconds.
const handoverDelay = 5 * time.Second

// ownership tells which parts an instance may issue from.
type ownership struct {
	// handoverDelay is how long a new owner leaves a part to the last one.
	handoverDelay time.Duration
	// recent are the owners in force and those that were a moment ago.
	recent []ownersPeriod
	// changedAt is when owners were last put in force that this instance had not from
	// its start on.
	changedAt time.Time
}

type ownersPeriod struct {
	owners *Owners
	// replacedAt is when they were replaced, zero for those in force.
	replacedAt time.Time
}

// set puts owners in force.
func (t *ownership) set(now time.Time, owners *Owners) {
	if n := len(t.recent); n > 0 {
		t.recent[n-1].replacedAt = now
		t.changedAt = now
	}
	t.recent = append(t.recent, ownersPeriod{owners: owners})
	t.dropOld(now)
}

func (t *ownership) dropOld(now time.Time) {
	ended := 0
	for ended < len(t.recent)-1 && now.Sub(t.recent[ended].replacedAt) >= t.handoverDelay {
		ended++
	}
	t.recent = append(t.recent[:0], t.recent[ended:]...)
}

// current returns the owners in force, nil before any are known.
func (t *ownership) current() *Owners {
	if len(t.recent) == 0 {
		return nil
	}
	return t.recent[len(t.recent)-1].owners
}

// owns tells whether the instance owns the account's part and has for t.time, as far
// back as it knows.
func (t *ownership) owns(now time.Time, account string) bool {
	t.dropOld(now)
	for _, h := range t.recent {
		if !h.owners.owns(account) {
			return false
		}
	}
	return len(t.recent) > 0
}

package ratelimit

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// HallLimitSeparator divides the hall from the rest of the name of a placed limit. It is in no name.
const HallLimitSeparator = "\x00"

// HallLimitName returns the name of the limit of something in a hall, as holders and issuers of
// placed limits take it.
func HallLimitName(hall, name string) string { return hall + HallLimitSeparator + name }

// HallBound is what is promised of placed limits: in any four seconds a tenth and two requests
// more than the limit.
var HallBound = Bound{Window: 4 * time.Second, Overshoot: 0.1, Slack: 2}

const (
	// hallHandoverDelay is how long after a change of the instances a new owner of a placed limit
	// issues nothing: the permits of the last one have ended by then, and all instances that
	// reach each other have heard what it has heard.
	hallHandoverDelay = 2 * time.Second
	// maxHallDenial bounds the time for which an instance that got no permit of a placed
	// limit refuses without asking again.
	maxHallDenial = time.Second
	// maxDenialScale bounds how many times longer than a permit takes to come those are denied that
	// ask for one in vain.
	maxDenialScale = 20
	// maxCandidates is the number of owners that are asked one after the other. All but one say that
	// they are not, unless they know of fewer instances than the asker.
	maxCandidates = maxTries
)

// hallOwners knows who may own a placed limit.
type hallOwners struct {
	self     string
	region   string
	regionOf map[string]string
	// byHall, byRegion and all are the instances of each hall, of each region, and all.
	byHall, byRegion map[string][]Instance
	all              []Instance
}

// NewHallOwners returns the owners of placed limits: one of the instances of the hall, by hash,
// or if that has none one of its region, or of all. Places are those that are not known to be
// away.
func NewHallOwners(self Instance, regionOf map[string]string, instances []Instance) *Owners {
	p := &hallOwners{self: self.Name, region: self.Region, regionOf: regionOf, byHall: make(map[string][]Instance), byRegion: make(map[string][]Instance), all: instances}
	for _, instance := range instances {
		p.byHall[instance.Hall] = append(p.byHall[instance.Hall], instance)
		p.byRegion[instance.Region] = append(p.byRegion[instance.Region], instance)
	}
	return &Owners{self: self, shares: 1, hall: p}
}

// candidates returns the instances one of which owns a limit.
func (p *hallOwners) candidates(name string) []Instance {
	hall, _, _ := strings.Cut(name, HallLimitSeparator)
	if in := p.byHall[hall]; len(in) > 0 {
		return in
	}
	if in := p.byRegion[p.regionOf[hall]]; len(in) > 0 {
		return in
	}
	return p.all
}

// owners returns the owner owners a limit, and those who would own it if it were away.
func (p *hallOwners) owners(name string) []Owner {
	instances := slices.Clone(p.candidates(name))
	slices.SortFunc(instances, func(a, b Instance) int {
		x, y := mix.Pair(name, a.Name), mix.Pair(name, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return strings.Compare(a.Name, b.Name)
		}
	})
	owners := make([]Owner, 0, maxCandidates)
	for _, instance := range instances[:min(maxCandidates, len(instances))] {
		owners = append(owners, Owner{Name: instance.Name, SameRegion: instance.Region == p.region})
	}
	return owners
}

// owns tells whether this instance owns a limit.
func (p *hallOwners) owns(name string) bool {
	owners := p.owners(name)
	return len(owners) > 0 && owners[0].Name == p.self
}

// NewHallHolder returns a holder of permits of placed limits for the instance of a name.
func NewHallHolder(name string) *Holder {
	h := NewHolder(name)
	h.maxDenial = maxHallDenial
	return h
}

// NewHallIssuer returns the issuer of placed limits of a process that started at a time, maybe
// with the whole system for the first time.
func NewHallIssuer(startedAt time.Time, firstStart bool) *Issuer {
	i := NewIssuer(HallBound, startedAt, firstStart)
	i.ownership.handoverDelay = hallHandoverDelay
	i.scaleDenials = true
	return i
}

// scaledDenial is how long an instance is denied that asked for a permit in vain: longer than the
// next one takes to come if many ask, so that the questions stay in proportion to the permits.
func (b *bucket) scaledDenial(now time.Time) time.Duration {
	if b.limit.Rate <= 0 {
		return maxWait
	}
	scale := math.Max(1, math.Min(maxDenialScale, b.demand.value(now)/b.limit.Rate))
	return min(maxWait, time.Duration(scale*float64(b.timeToTokens(1))))
}

// Available returns the number of permits of a limit that the holder has.
func (h *Holder) Available(now time.Time, name string) int {
	a := h.accounts[name]
	if a == nil {
		return 0
	}
	return a.permits.count(now)
}

// unusedAfter is the age from which on a permit is left over: the request that it was asked for has
// gone elsewhere.
const unusedAfter = 100 * time.Millisecond

// HasSpare tells whether the holder has a permit of a limit that nobody waits for: more than one, or
// one that is left over.
func (h *Holder) HasSpare(now time.Time, name string) bool {
	a := h.accounts[name]
	if a == nil {
		return false
	}
	n := a.permits.count(now)
	return n > 1 || n == 1 && a.permits[0].expiresAt.Sub(now) <= a.lifetime-unusedAfter
}

// TryAcquire takes a permit that the holder has, and returns until when it may be used and what to ask
// owners. It returns false if there is none.
func (h *Holder) TryAcquire(now time.Time, name string) (until time.Time, requests []PermitRequest, ok bool) {
	a := h.account(name)
	a.usedAt = now
	n, until := a.permits.take(now, 1)
	if n == 0 {
		return time.Time{}, nil, false
	}
	a.requestRate.add(now, 1)
	return until, h.prefetch(now, name, a), true
}

// Request asks for a permit of a limit, unless there is one, an owner has been asked, or one has
// denied it a moment ago.
func (h *Holder) Request(now time.Time, name string) []PermitRequest {
	a := h.account(name)
	a.usedAt = now
	if a.outstanding || now.Before(a.deniedUntil) || a.permits.count(now) > 0 {
		return nil
	}
	a.tries = 0
	_, requests := h.askNext(now, name, a)
	return requests
}

// AwaitsSameRegion tells whether an owner of the own region has been asked for permits of a limit and has
// not answered.
func (h *Holder) AwaitsSameRegion(name string) bool {
	a := h.accounts[name]
	return a != nil && a.outstanding && a.request.To.SameRegion
}

// DeniedUntil returns until when no permit of a limit is asked for, as one was denied.
func (h *Holder) DeniedUntil(name string) time.Time {
	a := h.accounts[name]
	if a == nil {
		return time.Time{}
	}
	return a.deniedUntil
}

// Rates returns the rates at which permits of a limit were got and spent here, in 1/s, and the owner
// that was asked last.
func (h *Holder) Rates(now time.Time, name string) (received, used float64, owner string) {
	a := h.accounts[name]
	if a == nil {
		return 0, 0, ""
	}
	return a.permitRate.value(now), a.requestRate.value(now), a.request.To.Name
}

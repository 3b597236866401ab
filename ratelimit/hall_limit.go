package ratelimit

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// HallLimitSeparator separates the hall from the rest of the name of a hall limit. Names do
// not contain it.
const HallLimitSeparator = "\x00"

// HallLimitName returns the name of a limit in a hall, as used with holders and issuers of
// hall limits.
func HallLimitName(hall, name string) string { return hall + HallLimitSeparator + name }

// HallBound is the bound of hall limits: in any four seconds, at most a tenth and two requests
// more than the limit allows.
var HallBound = Bound{Window: 4 * time.Second, Overshoot: 0.1, Slack: 2}

const (
	// hallHandoverDelay is the handover delay of hall limits. By its end, the permits of the
	// former owner have expired, and all instances that reach each other have received the
	// same updates.
	hallHandoverDelay = 2 * time.Second
	// maxHallDenial is the longest time for which an instance that was denied a permit of
	// a hall limit sends no new permit request.
	maxHallDenial = time.Second
	// maxDenialScale is the largest factor between the length of a denial and the time
	// until the next permit.
	maxDenialScale = 20
	// maxCandidates is the number of instances that are tried one after the other. Only
	// the owner grants permits. A candidate that knows of fewer instances than the
	// requesting instance may also consider itself the owner.
	maxCandidates = maxTries
)

// hallOwners computes the owners of hall limits.
type hallOwners struct {
	self     string
	region   string
	regionOf map[string]string
	// byHall and byRegion are the instances of each hall and region, all is every instance.
	byHall, byRegion map[string][]Instance
	all              []Instance
}

// NewHallOwners returns the owners of hall limits. The owner is chosen by hash among the
// instances of the hall, or of the hall's region if the hall has none, or of all regions if
// the region has none. Instances are those that are not known to be unavailable.
func NewHallOwners(self Instance, regionOf map[string]string, instances []Instance) *Owners {
	p := &hallOwners{self: self.Name, region: self.Region, regionOf: regionOf, byHall: make(map[string][]Instance), byRegion: make(map[string][]Instance), all: instances}
	for _, instance := range instances {
		p.byHall[instance.Hall] = append(p.byHall[instance.Hall], instance)
		p.byRegion[instance.Region] = append(p.byRegion[instance.Region], instance)
	}
	return &Owners{self: self, shares: 1, hall: p}
}

// candidates returns the instances among which the owner of a limit is chosen.
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

// owners returns the owner of a limit, followed by its successors.
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

// owns reports whether this instance owns a limit.
func (p *hallOwners) owns(name string) bool {
	owners := p.owners(name)
	return len(owners) > 0 && owners[0].Name == p.self
}

// NewHallHolder returns a holder of hall-limit permits for the named instance.
func NewHallHolder(name string) *Holder {
	h := NewHolder(name)
	h.maxDenial = maxHallDenial
	return h
}

// NewHallIssuer returns the issuer of hall limits of a process that started at startedAt.
// FirstStart is true if the whole system starts for the first time.
func NewHallIssuer(startedAt time.Time, firstStart bool) *Issuer {
	i := NewIssuer(HallBound, startedAt, firstStart)
	i.ownership.handoverDelay = hallHandoverDelay
	i.scaleDenials = true
	return i
}

// scaledDenial returns how long an instance is denied permits. It is longer than the time until
// the next permit if the demand exceeds the limit, so that the number of permit requests stays
// in proportion to the permits.
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

// unusedAfter is the age at which a permit counts as unused: the request that it was requested
// for has been sent elsewhere.
const unusedAfter = 100 * time.Millisecond

// HasSpare reports whether the holder has a permit of a limit that no request waits for. This is
// the case with more than one permit, or with one that is at least unusedAfter old.
func (h *Holder) HasSpare(now time.Time, name string) bool {
	a := h.accounts[name]
	if a == nil {
		return false
	}
	n := a.permits.count(now)
	return n > 1 || n == 1 && a.permits[0].expiresAt.Sub(now) <= a.lifetime-unusedAfter
}

// TryAcquire takes a permit from the holder. It returns the permit's expiry and the permit
// requests to send. Ok is false if the holder has no permit.
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

// Request returns a permit request for a limit. It returns none if the holder has a permit, a
// permit request is outstanding, the last one was denied a moment ago, or all owners are skipped.
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

// AwaitsSameRegion reports whether a permit request to an owner in the own region is outstanding.
func (h *Holder) AwaitsSameRegion(name string) bool {
	a := h.accounts[name]
	return a != nil && a.outstanding && a.request.To.SameRegion
}

// DeniedUntil returns the time until which no permit of a limit is requested after a denial.
func (h *Holder) DeniedUntil(name string) time.Time {
	a := h.accounts[name]
	if a == nil {
		return time.Time{}
	}
	return a.deniedUntil
}

// Rates returns the rates at which permits of a limit were received and used at this instance,
// in 1/s, and the owner to which the last permit request was sent.
func (h *Holder) Rates(now time.Time, name string) (received, used float64, owner string) {
	a := h.accounts[name]
	if a == nil {
		return 0, 0, ""
	}
	return a.permitRate.value(now), a.requestRate.value(now), a.request.To.Name
}

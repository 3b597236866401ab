package endpoints

import (
	"slices"
	"time"
)

const (
	// MaxEntries is the number of entries that a response has at most.
	MaxEntries = 64
	// maxSpares is the number of spares that a response has at most.
	maxSpares = 2
	// minMain, typicalMain and maxMain are the numbers of main entries of a response with spares:
	// the least one, the one that is chosen if the weights allow it, and the largest one. With fewer
	// than minMain, the region spare would receive 1 in 25 connections or more.
	minMain     = 25
	typicalMain = 62
	maxMain     = MaxEntries - maxSpares
	// A hall is complemented by its region if fewer than minHallInstances of it serve, or less than
	// the fraction minHallFraction of its known instances. Otherwise the few remaining instances
	// would have to carry the load of the whole hall.
	minHallInstances = 2
	minHallFraction  = 0.5
	// isolatedOwnFraction is the fraction of the main entries that an isolated instance gives to its
	// own hall, for clients that reach no other.
	isolatedOwnFraction = 0.25
	// heardTogether is the time between the last heartbeats of instances that were alive when the
	// links to all of them broke. Heartbeats of a living instance arrive at least this often.
	heardTogether = 2 * time.Second
)

// Instance is an instance as the responding instance knows it.
type Instance struct {
	Addr, Hall, Region string
	// Capacity is in requests per second, or 0 if it is unknown.
	Capacity int
	// Overloaded is set if the instance reports that it is overloaded.
	Overloaded bool
	// Serves is set if the instance is known to serve clients. MayServe is set if it may have begun
	// to, and only a discovering instance cannot know yet.
	Serves, MayServe bool
	// ServedLast is set if the instance served clients by its last heartbeat, which arrived at
	// HeardAt.
	ServedLast bool
	HeardAt    time.Time
}

// Query is the hall of a client, and the region of that hall.
type Query struct{ Region, Hall string }

// State is the state of the responding instance.
type State struct {
	// Addr and Hall are its own.
	Addr, Hall string
	// Discovering is set while it is still discovering the others after its start. Isolated is set
	// if it is cut off from everything outside its hall.
	Discovering, Isolated bool
}

// Composition is the kind of the main entries of a response.
type Composition string

// Compositions of a response.
const (
	// OwnHall responses mainly name the instances of the client's hall.
	OwnHall Composition = "own-hall"
	// Complemented responses also name all instances of the client's region, since few of its hall
	// serve.
	Complemented Composition = "complemented"
	// OtherRegions responses name instances of other regions, since none of the client's serves.
	OtherRegions Composition = "other-regions"
	// Isolated responses mainly name instances that the responding instance does not reach.
	Isolated Composition = "isolated"
	// Empty responses name no instance, since none is known to serve.
	Empty Composition = "empty"
)

// Response holds the addresses for a client. Its entries are counted by where the instances are, as
// seen from the client.
type Response struct {
	// Addresses are sorted. Repeated ones count as weights.
	Addresses   []string
	Composition Composition
	// SameHall, SameRegion and OtherRegion are the numbers of entries of the client's hall, of other
	// halls of its region, and of other regions.
	SameHall, SameRegion, OtherRegion int
}

// Choose returns the response to a client's query at the given time.
func Choose(now time.Time, q Query, instances []Instance, s State) Response {
	usable := usableCandidates(instances, s)
	groups, composition := mainGroups(usable, instances, q, s)
	if len(groups) == 0 {
		return Response{Composition: Empty}
	}
	entries := mainEntries(now, q, s, groups, spansHalls(usable))
	entries = append(entries, chooseSpares(now, q, s, usable, entries)...)
	out := Response{Addresses: make([]string, 0, len(entries)), Composition: composition}
	for _, c := range entries {
		out.add(q, c)
	}
	slices.Sort(out.Addresses)
	return out
}

// add adds an entry.
func (r *Response) add(q Query, c candidate) {
	r.Addresses = append(r.Addresses, c.Addr)
	switch {
	case c.Hall == q.Hall:
		r.SameHall++
	case c.Region == q.Region:
		r.SameRegion++
	default:
		r.OtherRegion++
	}
}

// candidate is an instance that a response may name.
type candidate struct {
	*Instance
	weight int
}

// group is a set of candidates that receives a fraction of the main entries, divided by weight.
type group struct {
	candidates []candidate
	fraction   float64
}

// usableCandidates returns the instances that may be named, with their weights. An isolated
// instance may also name those that served when it last received heartbeats from other halls.
func usableCandidates(instances []Instance, s State) []candidate {
	heardSince := time.Time{}
	if s.Isolated {
		heardSince = lastHeard(instances, s.Hall).Add(-heardTogether)
	}
	average := averageCapacity(instances)
	out := make([]candidate, 0, len(instances))
	for i := range instances {
		m := &instances[i]
		silent := s.Isolated && m.ServedLast && m.Hall != s.Hall && !m.HeardAt.Before(heardSince)
		if m.Serves || (s.Discovering && m.MayServe) || silent {
			out = append(out, candidate{m, weightOf(m, average)})
		}
	}
	return out
}

// lastHeard returns the time of the last heartbeat of an instance outside of a hall.
func lastHeard(instances []Instance, hall string) time.Time {
	var last time.Time
	for _, m := range instances {
		if m.Hall != hall && m.HeardAt.After(last) {
			last = m.HeardAt
		}
	}
	return last
}

// mainGroups returns the groups of the main entries. It returns none if no instance is usable.
func mainGroups(usable []candidate, instances []Instance, q Query, s State) ([]group, Composition) {
	if s.Isolated {
		if groups := isolatedGroups(usable, q, s); len(groups) > 1 {
			return groups, Isolated
		}
	}
	sameHall := filter(usable, func(c candidate) bool { return c.Hall == q.Hall })
	known := 0
	for i := range instances {
		if instances[i].Hall == q.Hall {
			known++
		}
	}
	if len(sameHall) >= minHallInstances && float64(len(sameHall)) >= minHallFraction*float64(known) {
		return []group{{sameHall, 1}}, OwnHall
	}
	near := filter(usable, func(c candidate) bool { return c.Hall == q.Hall || c.Region == q.Region })
	switch {
	case len(near) > 0:
		return []group{{near, 1}}, Complemented
	case len(usable) > 0:
		return []group{{usable, 1}}, OtherRegions
	default:
		return nil, Empty
	}
}

// isolatedGroups returns the groups of an isolated instance: its own hall, and the others of the
// client's region or else of all regions.
func isolatedGroups(usable []candidate, q Query, s State) []group {
	own := filter(usable, func(c candidate) bool { return c.Hall == s.Hall })
	others := filter(usable, func(c candidate) bool { return c.Hall != s.Hall && c.Region == q.Region })
	if len(others) == 0 {
		others = filter(usable, func(c candidate) bool { return c.Hall != s.Hall })
	}
	switch {
	case len(others) == 0:
		return nil
	case len(own) == 0:
		return []group{{others, 1}}
	default:
		return []group{{others, 1 - isolatedOwnFraction}, {own, isolatedOwnFraction}}
	}
}

// spansHalls reports whether the candidates belong to several halls.
func spansHalls(list []candidate) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.Hall != list[0].Hall })
}

func filter(list []candidate, keep func(candidate) bool) []candidate {
	out := make([]candidate, 0, len(list))
	for _, c := range list {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}

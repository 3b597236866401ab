package upstream

import (
	"slices"
	"strings"
	"time"

	"github.com/rainford/rainford/availability"
)

// UnavailableTarget is a target that gets no requests now, with the cause.
type UnavailableTarget struct {
	ID, Hall string
	availability.Verdict
}

// UnavailableTargets returns the targets that get no requests now, ordered by ID. It does not
// consider rate limits.
func (p *Pool) UnavailableTargets(now time.Time) []UnavailableTarget {
	var out []UnavailableTarget
	for _, t := range p.byID {
		verdict := t.checkUsable(now)
		if !verdict.OK() {
			out = append(out, UnavailableTarget{ID: t.spec.ID, Hall: t.spec.Hall, Verdict: verdict})
		}
	}
	slices.SortFunc(out, func(a, b UnavailableTarget) int { return strings.Compare(a.ID, b.ID) })
	return out
}

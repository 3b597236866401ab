package upstream

import (
	"slices"
	"strings"
	"time"

	"github.com/rainford/rainford/availability"
)

// Unavailable is a target that is sent nothing now, with what is in the way.
type Unavailable struct {
	ID, Hall string
	availability.Verdict
}

// Unavailable returns the targets that are sent nothing now, in the order of their IDs.
func (p *Pool) Unavailable(now time.Time) []Unavailable {
	var out []Unavailable
	for _, t := range p.byID {
		verdict := t.judge(now)
		if !verdict.OK() {
			out = append(out, Unavailable{ID: t.spec.ID, Hall: t.spec.Hall, Verdict: verdict})
		}
	}
	slices.SortFunc(out, func(a, b Unavailable) int { return strings.Compare(a.ID, b.ID) })
	return out
}

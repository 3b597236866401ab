package reach

import "slices"

// maxRecent is the number of targets that answered last, or have started, that a Recent holds. If any
// target is reached, it is likely to be one of these. The others of a check are drawn, since all of these
// may be down.
const maxRecent = 3

// Target is a target that a check connects to.
type Target struct{ ID, Addr, Hall string }

// Recent holds the targets that answered last or have started last, the latest first. The zero value holds
// none. It is not safe for concurrent use.
type Recent struct {
	targets []Target
}

// Add moves a target to the front.
func (r *Recent) Add(t Target) {
	if len(r.targets) > 0 && r.targets[0] == t {
		return
	}
	r.targets = slices.DeleteFunc(r.targets, func(other Target) bool { return other == t })
	r.targets = slices.Insert(r.targets, 0, t)
	r.targets = r.targets[:min(len(r.targets), maxRecent)]
}

// Pick returns up to n targets for a check: at most half of them are recent ones, and the others are those
// of drawn, which are in random order.
func (r *Recent) Pick(n int, drawn []Target) []Target {
	out := slices.Clone(r.targets[:min(len(r.targets), n/2)])
	for _, t := range drawn {
		if len(out) < n && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	return out
}

package endpoints

import (
	"strconv"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// sparePeriod is the time for which an instance names the same spares to the clients of a hall. The
// clients of a lost hall hold responses of several seconds, so that they are distributed over the
// spares of several periods. A shorter period makes clients replace connections to spares more often.
const sparePeriod = 500 * time.Millisecond

// chooseSpares returns the entries by which a client survives the loss of its hall and of its region.
// The main entries name one hall and one region at least. The spares are of others, if there are any.
func chooseSpares(now time.Time, q Query, s State, usable, main []candidate) []candidate {
	named := hallNamed(q, main)
	key := mix.Hash(s.Addr, q.Region, q.Hall, strconv.FormatInt(now.UnixNano()/int64(sparePeriod), 10))
	var out []candidate
	hall, ok := draw(usable, key, func(c candidate) bool { return c.Region == named.Region && c.Hall != named.Hall })
	if ok {
		out = append(out, hall)
	}
	region, ok := draw(usable, key, func(c candidate) bool { return c.Region != named.Region })
	if ok {
		out = append(out, region)
	}
	return out
}

// hallNamed returns a hall of the main entries, with its region: that of the client if possible.
func hallNamed(q Query, main []candidate) Query {
	for _, c := range main {
		if c.Hall == q.Hall {
			return Query{Region: c.Region, Hall: c.Hall}
		}
	}
	for _, c := range main {
		if c.Region == q.Region {
			return Query{Region: c.Region, Hall: c.Hall}
		}
	}
	return Query{Region: main[0].Region, Hall: main[0].Hall}
}

// draw returns a candidate by weighted rendezvous hashing. One that is only assumed to serve, by an instance
// that has just started, is drawn if no other is eligible.
func draw(list []candidate, key uint64, eligible func(candidate) bool) (candidate, bool) {
	known, ok := drawFrom(list, key, func(c candidate) bool { return c.Serves && eligible(c) })
	if ok {
		return known, true
	}
	return drawFrom(list, key, eligible)
}

func drawFrom(list []candidate, key uint64, eligible func(candidate) bool) (candidate, bool) {
	var best candidate
	bestScore, found := 0.0, false
	for _, c := range list {
		if !eligible(c) {
			continue
		}
		score := mix.RendezvousScore(mix.Combine(key, mix.Hash(c.Addr)), float64(c.weight))
		if !found || score > bestScore {
			best, bestScore, found = c, score, true
		}
	}
	return best, found
}

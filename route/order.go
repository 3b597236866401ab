package route

import (
	"math/rand/v2"

	"github.com/rainford/rainford/table"
)

// State is what is known of a row's destination.
type State int

// The states, best first.
const (
	// Available destinations take requests.
	Available State = iota
	// Full destinations said that they have no free slot. What they said
	// lags, so they are tried after the open ones.
	Full
	// Draining destinations get requests for a short time after the drain,
	// and only if no other takes them.
	Draining
	// Unavailable destinations get nothing: drained, or no instance is reachable.
	Unavailable
)

// Candidate is a row with the state of its destination.
type Candidate struct {
	Row   table.Row
	State State
}

// Order returns the rows to try, in order: by state, and within a state drawn
// by weight without putting back. Rows of weight 0 and closed ones are left
// out.
func Order(candidates []Candidate, rnd *rand.Rand) []table.Row {
	var out []table.Row
	for state := Available; state < Unavailable; state++ {
		out = append(out, weightedShuffle(rowsInState(candidates, state), rnd)...)
	}
	return out
}

func rowsInState(candidates []Candidate, state State) []table.Row {
	var out []table.Row
	for _, c := range candidates {
		if c.State == state && c.Row.Weight > 0 {
			out = append(out, c.Row)
		}
	}
	return out
}

func weightedShuffle(rows []table.Row, rnd *rand.Rand) []table.Row {
	total := 0
	for _, r := range rows {
		total += r.Weight
	}
	for i := range rows {
		n := rnd.IntN(total)
		j := i
		for n >= rows[j].Weight {
			n -= rows[j].Weight
			j++
		}
		total -= rows[j].Weight
		rows[i], rows[j] = rows[j], rows[i]
	}
	return rows
}

// Peer is an instance of the destination that could take the request.
type Peer struct {
	ID string
	// FreeSlots is the number of slots that the instance said to have free.
	FreeSlots int
	// SentSinceReport is the number of requests sent to it since it said so.
	SentSinceReport int
}

// Pick returns the index of the better of two peers drawn at random, or -1
// when there is none. Choosing among two keeps many senders that know the same
// lagging reports from all running to the same peer.
func Pick(peers []Peer, rnd *rand.Rand) int {
	switch len(peers) {
	case 0:
		return -1
	case 1:
		return 0
	}
	a := rnd.IntN(len(peers))
	b := rnd.IntN(len(peers) - 1)
	if b >= a {
		b++
	}
	if peers[b].FreeSlots-peers[b].SentSinceReport > peers[a].FreeSlots-peers[a].SentSinceReport {
		return b
	}
	return a
}

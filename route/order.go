package route

import (
	"math/rand/v2"

	"github.com/rainford/rainford/table"
)

// State is the state of a row's destination, as far as this instance knows it.
type State int

// States of a destination, in the order of preference.
const (
	// Available destinations accept requests.
	Available State = iota
	// Full destinations have reported no free slot. Reports lag, so requests
	// may still be sent there, after the available destinations.
	Full
	// Draining destinations were drained a short time ago. They get requests
	// only if no other destination accepts them.
	Draining
	// Unavailable destinations get no requests, because they are drained or
	// none of their instances is reachable.
	Unavailable
)

// Candidate is a row that a request may use, with the state of the row's destination.
type Candidate struct {
	Row   table.Row
	State State
}

// Order returns the rows to try for a request. They are sorted by state. The rows of one state
// are in a random order, drawn by weight without replacement. Rows of weight 0 and rows with an
// unavailable destination are left out.
func Order(candidates []Candidate, rnd *rand.Rand) []table.Row {
	var out []table.Row
	for state := Available; state < Unavailable; state++ {
		out = append(out, weightedShuffle(rowsInState(candidates, state), rnd)...)
	}
	return out
}

// rowsInState returns the rows of the candidates in the given state, without those of weight 0.
func rowsInState(candidates []Candidate, state State) []table.Row {
	var out []table.Row
	for _, c := range candidates {
		if c.State == state && c.Row.Weight > 0 {
			out = append(out, c.Row)
		}
	}
	return out
}

// weightedShuffle shuffles rows in place, drawing by weight without replacement, and returns
// them. All weights must be positive.
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

// Peer is an instance in the destination region to which the request could be forwarded.
type Peer struct {
	ID string
	// FreeSlots is the number of free slots that the instance reported last.
	FreeSlots int
	// SentSinceReport is the number of requests that this instance has sent to the peer
	// since that report.
	SentSinceReport int
}

// Pick returns the index of a peer for the request, or -1 if there are no peers. It draws two
// peers at random and picks the one with more free slots, less the requests sent since its
// report. Reports lag, and many senders know the same reports: the choice among two random peers
// prevents them all from sending to the same peer.
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

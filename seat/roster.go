package seat

import "sort"

// Count is the number of seats in each hall. It limits how many instances of a hall
// can hold units.
const Count = 64

// Roster is the stored assignment of a hall's seats.
type Roster struct {
	Hall string `json:"hall"`
	// Epoch is incremented by each change of the members.
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
	Seats   []Seat   `json:"seats"`
}

// Member is an instance that may hold seats.
type Member struct {
	ID string `json:"id"`
	// Addr is the address on which the member listens for its peers.
	Addr string `json:"addr"`
	// Joined is the epoch in which the member was added.
	Joined int64 `json:"joined"`
	// Renewal is the number of the member's heartbeat with which its platform lease
	// starts.
	Renewal uint64 `json:"renewal"`
	// Acked is the latest epoch that the member has acknowledged.
	Acked int64 `json:"acked"`
}

// Seat is one seat. Holder is empty if the seat is free.
type Seat struct {
	Holder string `json:"holder,omitempty"`
	// Term is incremented by each change of the holder. It distinguishes a released
	// seat from the same seat after it was assigned to the same holder again.
	Term int64 `json:"term"`
}

// Member returns the member with the given ID.
func (r *Roster) Member(id string) (Member, bool) {
	i := r.index(id)
	if i < 0 {
		return Member{}, false
	}
	return r.Members[i], true
}

func (r *Roster) index(id string) int {
	for i := range r.Members {
		if r.Members[i].ID == id {
			return i
		}
	}
	return -1
}

// Clone returns a deep copy with exactly Count seats, regardless of the number in r.
func (r *Roster) Clone() *Roster {
	out := &Roster{Hall: r.Hall, Epoch: r.Epoch}
	out.Members = append([]Member(nil), r.Members...)
	out.Seats = append([]Seat(nil), r.Seats[:min(len(r.Seats), Count)]...)
	for len(out.Seats) < Count {
		out.Seats = append(out.Seats, Seat{})
	}
	return out
}

// Held returns the numbers of the seats that a member holds.
func (r *Roster) Held(id string) []int {
	var out []int
	for i := range r.Seats {
		if r.Seats[i].Holder == id {
			out = append(out, i)
		}
	}
	return out
}

func (r *Roster) add(id, addr string, renewal uint64) {
	r.Epoch++
	r.Members = append(r.Members, Member{ID: id, Addr: addr, Joined: r.Epoch, Renewal: renewal, Acked: r.Epoch})
	sort.Slice(r.Members, func(i, j int) bool { return r.Members[i].ID < r.Members[j].ID })
}

// remove removes a member and frees its seats.
func (r *Roster) remove(id string) {
	i := r.index(id)
	if i < 0 {
		return
	}
	r.Epoch++
	r.Members = append(r.Members[:i], r.Members[i+1:]...)
	for n := range r.Seats {
		if r.Seats[n].Holder == id {
			r.assign(n, "")
		}
	}
}

func (r *Roster) assign(seat int, holder string) {
	r.Seats[seat].Holder = holder
	r.Seats[seat].Term++
}

// fairShare returns the largest number of seats that a member should hold.
func (r *Roster) fairShare() int {
	if len(r.Members) == 0 {
		return Count
	}
	return (Count + len(r.Members) - 1) / len(r.Members)
}

// assignFree assigns each free seat to the member that holds the fewest, or to the first
// of them by ID. Members in skip and members that hold their fair
// share get no seats, so that a seat may stay free.
func (r *Roster) assignFree(skip map[string]bool) {
	held := make(map[string]int)
	for i := range r.Seats {
		held[r.Seats[i].Holder]++
	}
	for i := range r.Seats {
		if r.Seats[i].Holder != "" {
			continue
		}
		best := ""
		for _, m := range r.Members {
			if skip[m.ID] || held[m.ID] >= r.fairShare() {
				continue
			}
			if best == "" || held[m.ID] < held[best] {
				best = m.ID
			}
		}
		if best == "" {
			return
		}
		r.assign(i, best)
		held[best]++
	}
}

// Cleared returns a copy of the roster without members and with all seats free. It is
// for operators who know that the processes of all members have ended.
func (r *Roster) Cleared() *Roster {
	out := r.Clone()
	for _, m := range r.Members {
		out.remove(m.ID)
	}
	return out
}

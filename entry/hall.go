package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/member"
)

// Hall holds the pools of the own hall's targets, one pool for each service. It is safe for
// concurrent use.
type Hall struct {
	mu      sync.Mutex
	config  balance.Config
	pools   map[string]*balance.Pool
	waiters map[uint64]chan balance.Decision
	lastID  uint64
}

// NewHall returns a Hall without targets. The Hall calls config.Rand only while it holds its
// lock.
func NewHall(config balance.Config) *Hall {
	return &Hall{
		config:  config,
		pools:   make(map[string]*balance.Pool),
		waiters: make(map[uint64]chan balance.Decision),
	}
}

// SetTargets replaces the targets of all services. The map reserves holds, by service, the
// percentage of the slots reserved for requests of the own region.
func (h *Hall) SetTargets(now time.Time, targets map[string][]balance.Spec, reserves map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service := range targets {
		if h.pools[service] == nil {
			h.pools[service] = balance.NewPool(h.config)
		}
	}
	for service, pool := range h.pools {
		pool.SetReserve(reserves[service])
		h.deliver(pool.SetTargets(now, targets[service]))
	}
}

// Slot is a slot of a target that a request holds.
type Slot struct {
	Target     balance.Spec
	hall       *Hall
	service    string
	acquiredAt time.Time
}

// Acquire takes a slot for a request of a service. It waits for at most req.QueueTimeout. If it
// gets no slot, it returns nil and the time to wait before a retry.
func (h *Hall) Acquire(ctx context.Context, service string, req balance.Request) (*Slot, time.Duration) {
	h.mu.Lock()
	pool := h.pools[service]
	if pool == nil {
		h.mu.Unlock()
		return nil, time.Second
	}
	h.lastID++
	req.ID = h.lastID
	now := time.Now()
	decision := pool.Acquire(now, req)
	var decided chan balance.Decision
	if decision.Action == balance.Wait {
		decided = make(chan balance.Decision, 1)
		h.waiters[req.ID] = decided
	}
	h.mu.Unlock()
	if decided != nil {
		decision = h.await(ctx, pool, req.ID, decided)
	}
	if decision.Action != balance.Run {
		return nil, decision.RetryAfter
	}
	return &Slot{Target: decision.Target, hall: h, service: service, acquiredAt: time.Now()}, 0
}

func (h *Hall) await(ctx context.Context, pool *balance.Pool, id uint64, decided chan balance.Decision) balance.Decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if pool.Cancel(id) {
		delete(h.waiters, id)
		return balance.Decision{Action: balance.Refuse, RetryAfter: time.Second}
	}
	// The slot was granted just before the request could be canceled.
	return <-decided
}

// Release releases the slot with the result and the latency of the request.
func (s *Slot) Release(result balance.Result, latency time.Duration) {
	s.hall.mu.Lock()
	defer s.hall.mu.Unlock()
	pool := s.hall.pools[s.service]
	s.hall.deliver(pool.Release(time.Now(), s.Target.ID, result, latency))
}

// ApplySelfReport applies a self-report of the slot's target.
func (s *Slot) ApplySelfReport(w availability.SelfReport) {
	s.hall.mu.Lock()
	defer s.hall.mu.Unlock()
	s.hall.pools[s.service].ApplySelfReport(time.Now(), s.Target.ID, w)
}

// Tick refuses queued requests that would miss their queue timeout or deadline, and grants free
// slots to others.
func (h *Hall) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, pool := range h.pools {
		h.deliver(pool.Tick(now))
	}
}

// deliver sends the grants to the requests that wait for them.
func (h *Hall) deliver(grants []balance.Grant) {
	for _, g := range grants {
		decided := h.waiters[g.ID]
		delete(h.waiters, g.ID)
		if decided != nil {
			decided <- g.Decision
		}
	}
}

// Loads returns the load of all pools, by service.
func (h *Hall) Loads(now time.Time) []member.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]member.Load, 0, len(h.pools))
	for service, pool := range h.pools {
		l := pool.Load(now)
		out = append(out, member.Load{Service: service, Limit: l.Limit, InFlight: l.InFlight, Free: l.Free, Slots: l.Slots})
	}
	return out
}

// InFlight returns the number of requests that hold a slot or wait for one.
func (h *Hall) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, pool := range h.pools {
		l := pool.Load(time.Now())
		n += l.InFlight + l.Queued
	}
	return n
}

package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/ratelimit"
)

const (
	// modelLimitDelay is the time until all instances know a rate limit.
	modelLimitDelay = 100 * time.Millisecond
	// limitWindow is the length of the windows in which arrivals are counted. limitFrom is the time
	// after the announcement of a limit from which the limit must be kept.
	limitWindow = 4 * time.Second
	limitFrom   = 2 * time.Second
)

// limitModel simulates targets that announce rate limits and the instances that issue the permits.
type limitModel struct {
	*backoffModel
	issuers []*ratelimit.Issuer
	names   map[string]int
	limits  map[availability.ID]float64
	// advertised holds the current rate limits by target.
	advertised map[string]float64
	// arrivedAt holds the arrival times of requests by target.
	arrivedAt map[string][]time.Time
	// messages counts the permit requests and replies between instances.
	messages int
}

func newLimitModel(regionOf map[string]string, seed uint64, instances, targets int) *limitModel {
	m := &limitModel{backoffModel: newBackoffModelIn(regionOf, seed, instances, targets), names: make(map[string]int), limits: make(map[availability.ID]float64),
		advertised: make(map[string]float64), arrivedAt: make(map[string][]time.Time)}
	var members []ratelimit.Instance
	for i := range instances {
		name := fmt.Sprint("n-", i)
		m.names[name] = i
		members = append(members, ratelimit.Instance{Name: name, Hall: m.poolHall[i], Region: regionOf[m.poolHall[i]]})
	}
	for i := range instances {
		owners := ratelimit.NewHallOwners(members[i], regionOf, members)
		m.pools[i].SetLimitOwners(owners)
		issuer := ratelimit.NewHallIssuer(start.Add(-time.Minute), false)
		issuer.SetOwners(start.Add(-time.Minute), owners)
		m.issuers = append(m.issuers, issuer)
		m.issue(i)
	}
	m.onPoolChange = m.sendPermitRequests
	m.selfReport = m.limitOfTarget
	m.onArrival = func(t *modelTarget) { m.arrivedAt[t.id] = append(m.arrivedAt[t.id], m.now) }
	return m
}

// issue periodically makes an instance reply to permit requests that it has queued.
func (m *limitModel) issue(i int) {
	for _, r := range m.issuers[i].Tick(m.now) {
		m.reply(i, r)
	}
	m.after(10*time.Millisecond, func() { m.issue(i) })
}

// limitOfTarget returns the self-report of a target. It distributes a new, changed or removed rate
// limit to all instances, which receive it after modelLimitDelay.
func (m *limitModel) limitOfTarget(t *modelTarget) availability.SelfReport {
	perSecond, limited := m.advertised[t.id]
	id := availability.IDOf(t.id)
	known, wasLimited := m.limits[id]
	if wasLimited != limited || known != perSecond {
		m.limits[id] = perSecond
		if !limited {
			delete(m.limits, id)
		}
		update := availability.RateLimitList{{ID: id, PerSecond: perSecond, Removed: !limited}}
		for i := range m.pools {
			m.after(modelLimitDelay, func() {
				_, grants := m.pools[i].ApplyRateLimits(m.now, update, availability.SourcePeer)
				m.grant(i, grants)
			})
		}
	}
	return availability.SelfReport{HasLimit: limited, RateLimit: perSecond}
}

// sendPermitRequests sends the permit requests of an instance.
func (m *limitModel) sendPermitRequests(i int) {
	for _, ask := range m.pools[i].TakePermitRequests() {
		to := m.names[ask.To.Name]
		claim := ratelimit.IssueRequest{From: fmt.Sprint("n-", i), At: m.now.UnixNano(), N: ask.N}
		m.messages++
		m.after(m.delay(m.poolHall[i], m.poolHall[to]), func() {
			limit, ok := m.limitOf(ask.Account)
			if !ok {
				return
			}
			reply, _ := m.issuers[to].Issue(m.now, ask.Account, limit, claim)
			m.reply(to, reply)
		})
	}
}

func (m *limitModel) limitOf(name string) (ratelimit.Limit, bool) {
	for id := range m.targets {
		hall := m.hallOf[id]
		if ratelimit.HallLimitName(hall, id) == name {
			perSecond, ok := m.limits[availability.IDOf(id)]
			return ratelimit.Limit{Rate: perSecond, Burst: perSecond / 4}, ok
		}
	}
	return ratelimit.Limit{}, false
}

func (m *limitModel) reply(from int, r ratelimit.Reply) {
	m.messages++
	to := m.names[r.To]
	m.after(m.delay(m.poolHall[from], m.poolHall[to]), func() {
		m.grant(to, m.pools[to].ReceivePermits(m.now, time.Unix(0, r.At), r.Account, fmt.Sprint("n-", from), r.Grant))
	})
}

// limitOutcome summarizes the requests from limitFrom after the announcement of rate limits.
type limitOutcome struct {
	// peak is the largest number of requests that a target got in limitWindow, relative to its
	// bound. used is the number of requests at limited targets relative to the sum of the limits.
	peak, used float64
	// served and inTime are fractions of the requests. messages is a number per second and
	// instance.
	served, inTime, messages float64
}

// simulateLimits makes the first targets announce rate limits, as a share of their usual request
// rate.
func simulateLimits(regionOf map[string]string, seed uint64, instances, targets, limited int, share float64) limitOutcome {
	const settle, duration = 10 * time.Second, 12 * time.Second
	m := newLimitModel(regionOf, seed, instances, targets)
	usual := modelUtilization * modelSlots / modelWarm.Seconds()
	from := start.Add(settle)
	m.load(usual*float64(targets), from.Add(duration))
	m.run(from)
	for i := range limited {
		m.advertised[fmt.Sprint("t-", i)] = share * usual
	}
	m.run(from.Add(limitFrom))
	m.arrivedAt = make(map[string][]time.Time)
	sent, refused, inTime, messages := m.sent, m.refused, m.inTime, m.messages
	m.run(from.Add(duration))
	all := float64(m.sent - sent)
	seconds := (duration - limitFrom).Seconds()
	out := limitOutcome{served: 1 - float64(m.refused-refused)/all, inTime: float64(m.inTime-inTime) / all,
		messages: float64(m.messages-messages) / seconds / float64(instances)}
	sum := 0
	for i := range limited {
		arrivals := m.arrivedAt[fmt.Sprint("t-", i)]
		sum += len(arrivals)
		out.peak = max(out.peak, float64(maxInWindow(arrivals, limitWindow))/(1.5*share*usual*limitWindow.Seconds()+5))
	}
	out.used = float64(sum) / (share * usual * float64(limited) * seconds)
	return out
}

// maxInWindow returns the largest number of times within a span of the given length.
func maxInWindow(at []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitsModel makes 1, 7 and all of 24 targets announce limits of 0.1, 0.5 and 0.9 of their
// usual rate, for several numbers of instances in one region and in three. It checks that no limited
// target exceeds its bound. If all targets have limits, at least nine tenths of these must be used.
// Otherwise at least 99 percent of the requests must be served, since the unlimited targets have
// capacity.
func TestLimitsModel(t *testing.T) {
	for _, place := range []struct {
		name      string
		regionOf  map[string]string
		instances []int
	}{{"one region", oneRegion, []int{4, 12, 74}}, {"three regions", threeRegions, []int{12, 74}}} {
		for _, instances := range place.instances {
			for _, limited := range []int{1, 7, 24} {
				for _, share := range []float64{0.1, 0.5, 0.9} {
					got := simulateLimits(place.regionOf, 1, instances, 24, limited, share)
					t.Logf("%s, %d instances, %d targets limited to %.1f: %+v", place.name, instances, limited, share, got)
					require.LessOrEqual(t, got.peak, 1.0)
					if limited == 24 {
						require.GreaterOrEqual(t, got.used, 0.9)
						continue
					}
					require.GreaterOrEqual(t, got.served, 0.99, "the other targets have capacity")
				}
			}
		}
	}
}

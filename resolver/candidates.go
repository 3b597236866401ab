package resolver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

const (
	// failureTime is how long an instance that has failed is asked only after all others. One that
	// hangs would otherwise delay every fetch by the time of one attempt.
	failureTime = time.Second
	// maxCandidates bounds the instances that are tried in one fetch. Attempts that are refused take
	// almost no time, so that the time limit of a fetch does not bound them.
	maxCandidates = 8
	// namedTime is how long an instance is remembered that no response names any more, and maxNamed the
	// number of instances that are remembered.
	namedTime = time.Minute
	maxNamed  = 64
)

// address is a network address of the form HOST:PORT in its parts.
type address struct{ host, port string }

func parseAddress(text string) (address, error) {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || port == "" {
		return address{}, fmt.Errorf("resolver: %q: want HOST:PORT", text)
	}
	return address{host: host, port: port}, nil
}

// of returns the look-up address of the instance at a host.
func (a address) of(host string) string { return net.JoinHostPort(host, a.port) }

// Candidates returns the look-up addresses of the instances to ask in a fetch, in order, without
// duplicates. After the own instance, near and distant ones alternate in random order: if all
// instances of the hall hang, each fetch still reaches one of another hall.
func (c *Cache) Candidates(now time.Time, rnd *rand.Rand) []string {
	near, distant := c.namedHosts()
	shuffle(near, rnd)
	shuffle(distant, rnd)
	all := []string{c.own.of(c.own.host)}
	for i := range max(len(near), len(distant)) {
		if i < len(near) {
			all = append(all, c.own.of(near[i]))
		}
		if i < len(distant) {
			all = append(all, c.own.of(distant[i]))
		}
	}
	c.expireFailures(now)
	slices.SortStableFunc(all, func(a, b string) int { return c.failedAt[a].Compare(c.failedAt[b]) })
	return all[:min(len(all), maxCandidates)]
}

// recordNamed remembers the hosts that a response names.
func (c *Cache) recordNamed(hosts []string, now time.Time) {
	for host, at := range c.namedAt {
		if now.Sub(at) > namedTime {
			delete(c.namedAt, host)
		}
	}
	for _, host := range hosts {
		if _, known := c.namedAt[host]; known || len(c.namedAt) < maxNamed {
			c.namedAt[host] = now
		}
	}
}

// Failed records that the instance at addr did not respond, or not usably.
func (c *Cache) Failed(addr string, now time.Time) { c.failedAt[addr] = now }

// expireFailures removes failures older than failureTime.
func (c *Cache) expireFailures(now time.Time) {
	for addr, at := range c.failedAt {
		if now.Sub(at) > failureTime {
			delete(c.failedAt, addr)
		}
	}
}

// namedHosts returns the hosts other than the own one that responses have named recently. A response
// does not state the halls of the instances that it names. It repeats those of the hall that it is
// for, and names instances of other halls once. A host is therefore near if a response repeats both
// this host and the own one.
func (c *Cache) namedHosts() (near, distant []string) {
	isNear := make(map[string]bool)
	for _, e := range c.entries {
		count := make(map[string]int)
		for _, host := range e.response.Hosts {
			count[host]++
		}
		for host, n := range count {
			isNear[host] = isNear[host] || n > 1 && count[c.own.host] > 1
		}
	}
	for host := range c.namedAt {
		if _, named := isNear[host]; !named {
			isNear[host] = false
		}
	}
	delete(isNear, c.own.host)
	for host, yes := range isNear {
		if yes {
			near = append(near, host)
		} else {
			distant = append(distant, host)
		}
	}
	return near, distant
}

// shuffle puts hosts in a random order that depends on their values and rnd only.
func shuffle(hosts []string, rnd *rand.Rand) {
	slices.Sort(hosts)
	rnd.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

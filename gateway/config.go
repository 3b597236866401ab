package gateway

import (
	"errors"
	"log/slog"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/table"
)

// Config holds the settings of an instance.
type Config struct {
	Name, Hall, Region string
	// RegionOf maps each hall to its region.
	RegionOf map[string]string
	// Listen is the address for requests of clients, LookupListen for their look-ups,
	// ReadyListen for the platform's readiness checks, PeerListen for messages of
	// other instances and AdminListen for operators. All have the form IP:PORT.
	Listen, LookupListen, ReadyListen, PeerListen, AdminListen string
	// AdvertiseFront and AdvertisePeer are published in place of Listen and PeerListen
	// if they are set, for instances behind a proxy or an address translation.
	AdvertiseFront, AdvertisePeer string
	// Seeds are the peer addresses that are contacted before any other instance is known.
	Seeds []string

	// FirstStart states that the whole system starts for the first time. No instance holds
	// any objects then, and the start is not urgent.
	FirstStart bool

	// ForgetAfter is the time without a heartbeat after which the entry of an instance is
	// removed from the store.
	ForgetAfter time.Duration

	// Grace bounds the duration of a planned stop.
	Grace time.Duration
	// LookupTTL is the TTL of look-up responses at the clients.
	LookupTTL time.Duration
	// RetryRatio and RetrySlack bound the retries of all instances together. In a window
	// there are at most RetryRatio times as many retries as requests, plus RetrySlack.
	RetryRatio, RetrySlack float64
	// ShiftMost is the largest fraction of a region's requests that may move to another
	// region within shiftWindow.
	ShiftMost float64
	// Limits bounds by how much the requests of a client account may exceed its limit.
	Limits ratelimit.Bound
	// Rollouts bounds the requests that a bad new version may receive during its rollout.
	// If its share is 0, there are no rollout orders, and all versions receive requests alike.
	Rollouts rollout.ExposureBound
	// CPUCores is the number of cores that the instance may use, and CPUShare the fraction of them,
	// where the platform states the two separately. LinkMbps is the bandwidth of its link in Mbit/s.
	// Each is 0 if it is unknown; an unknown CPUShare means all of CPUCores.
	CPUCores, CPUShare, LinkMbps float64
	// DefaultDeadline is the time allowed for a request that does not state any.
	DefaultDeadline time.Duration

	// TargetDialer opens the connections to targets. If it is nil, TCP connections are opened.
	TargetDialer forward.Dialer
	// PeerDialer opens the connections to other instances. If it is nil, TCP connections are opened.
	PeerDialer forward.Dialer

	// LogSample logs one in so many ordinary successful requests, or none if it is 0.
	LogSample int

	// Clock provides the time for all expiries and timeouts. If it is nil, suspensions of
	// the machine are not counted.
	Clock *clock.Clock

	Log *slog.Logger
}

// shiftWindow is the window of time in which Config.ShiftMost holds.
const shiftWindow = 2 * time.Second

// Defaults returns a Config in which each setting that has a default has its default.
func Defaults() Config {
	return Config{
		ForgetAfter:     10 * time.Minute,
		Grace:           6 * time.Second,
		LookupTTL:       2 * time.Second,
		RetryRatio:      0.2,
		RetrySlack:      64,
		ShiftMost:       0.15,
		Limits:          ratelimit.DefaultBound,
		DefaultDeadline: 3 * time.Second,
		LogSample:       1,
	}
}

// Check returns the faults that it finds in the settings, or nil if there are none. It does not
// check DefaultDeadline.
func (c *Config) Check() table.Findings {
	var findings table.Findings
	add := func(field, message string) {
		findings = append(findings, table.Finding{Field: field, Message: message})
	}
	for _, named := range []setting{{"name", c.Name}, {"hall", c.Hall}, {"region", c.Region}} {
		if named.value == "" {
			add(named.field, "is missing")
		}
	}
	if c.Hall != "" && c.RegionOf[c.Hall] != c.Region {
		add("halls", "do not assign hall "+c.Hall+" to region "+c.Region)
	}
	for _, named := range []setting{
		{"listen", c.Listen}, {"lookup-listen", c.LookupListen}, {"ready-listen", c.ReadyListen},
		{"peer-listen", c.PeerListen}, {"admin-listen", c.AdminListen},
	} {
		if err := checkAddr(named.value); err != nil {
			add(named.field, err.Error())
		}
	}
	for _, named := range []setting{{"advertise-front", c.AdvertiseFront}, {"advertise-peer", c.AdvertisePeer}} {
		if err := checkAddr(named.value); named.value != "" && err != nil {
			add(named.field, err.Error())
		}
	}
	if c.ForgetAfter <= 0 {
		add("forget-after", "must be positive")
	}
	if c.Grace <= 0 {
		add("grace", "must be positive")
	}
	if c.LookupTTL <= 0 {
		add("lookup-ttl", "must be positive")
	}
	if c.RetryRatio < 0 || c.RetryRatio > 1 {
		add("retry-ratio", "must be between 0 and 1")
	}
	if c.RetrySlack < 0 {
		add("retry-slack", "must not be negative")
	}
	if c.ShiftMost <= 0 || c.ShiftMost > 1 {
		add("shift-most", "must be over 0 and at most 1")
	}
	if c.Limits.Window <= 0 {
		add("limit-window", "must be positive")
	}
	if c.Limits.Overshoot <= 0 || c.Limits.Overshoot > 1 {
		add("limit-over", "must be over 0 and at most 1")
	}
	if c.Limits.Slack < 0 {
		add("limit-slack", "must not be negative")
	}
	if c.Rollouts.Share < 0 || c.Rollouts.Share > 1 {
		add("canary-share", "must be between 0 and 1")
	}
	if c.Rollouts.Slack < 0 {
		add("canary-slack", "must not be negative")
	}
	for _, limit := range []struct {
		field string
		value float64
	}{{"cpu-cores", c.CPUCores}, {"cpu-share", c.CPUShare}, {"link-mbps", c.LinkMbps}} {
		if !(limit.value >= 0) || math.IsInf(limit.value, 0) {
			add(limit.field, "must be a number of at least 0")
		}
	}
	if c.LogSample < 0 {
		add("log-sample", "must not be negative")
	}
	return findings
}

// capacity returns the requests per second that the instance can carry by its limits, or 0 if these
// are unknown.
func (c *Config) capacity() int {
	cores := c.CPUCores
	if c.CPUShare > 0 {
		cores *= c.CPUShare
	}
	return endpoints.Capacity(cores, c.LinkMbps)
}

// rolloutsEnabled reports whether new versions of services are rolled out by orders.
func (c *Config) rolloutsEnabled() bool { return c.Rollouts.Share > 0 }

// setting is the value of a setting, with the name by which findings refer to it.
type setting struct{ field, value string }

func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.New("want IP:PORT")
	}
	n, err := strconv.Atoi(port)
	if net.ParseIP(host) == nil || err != nil || n < 0 || n > 65535 {
		return errors.New("want IP:PORT")
	}
	return nil
}

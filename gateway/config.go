package gateway

import (
	"errors"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/table"
)

// Config are the settings of an instance.
type Config struct {
	Name, Hall, Region string
	// RegionOf maps each hall to its region.
	RegionOf map[string]string
	// Listen takes requests of clients, LookupListen their look-ups,
	// ReadyListen the platform's readiness checks, PeerListen messages of
	// other instances and AdminListen operators. All are IP:PORT.
	Listen, LookupListen, ReadyListen, PeerListen, AdminListen string
	// AdvertiseFront and AdvertisePeer are the addresses that others are told
	// of instead of Listen and PeerListen, where something stands before them.
	AdvertiseFront, AdvertisePeer string
	// Seeds are peer addresses to try before any instance is known.
	Seeds []string

	// FirstStart says that the whole system starts for the first time, so that
	// nobody has anything yet and there is time.
	FirstStart bool

	// ForgetAfter is how long an instance may be silent before its entry in the store is
	// removed.
	ForgetAfter time.Duration

	// Grace is how long a planned stop may take.
	Grace time.Duration
	// LookupTTL is how long clients may keep a look-up.
	LookupTTL time.Duration
	// RetryRatio and RetrySlack bound the repeats of all instances together:
	// the ratio of the requests, plus the slack, in a window.
	RetryRatio, RetrySlack float64
	// ShiftMost is the largest part of a region's requests that may change
	// the region that runs them within ShiftWindow.
	ShiftMost float64
	// Limits is what is promised of the limits of client accounts.
	Limits ratelimit.Bound
	// Rollouts is what is promised of versions that are brought in by order and turn out to be bad.
	// Where its share is 0 there are no such orders, and all versions get requests alike.
	Rollouts rollout.ExposureBound
	// DefaultDeadline is the deadline of a request that gives none.
	DefaultDeadline time.Duration

	// LogSample is one in how many ordinary successes is logged, 0 for none.
	LogSample int

	// Clock tells the times by which everything is judged that lapses; nil for one that
	// does not count suspensions of the machine.
	Clock *clock.Clock

	Log *slog.Logger
}

// shiftWindow is the window of Config.ShiftMost.
const shiftWindow = 2 * time.Second

// Defaults returns the settings that have defaults.
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

// Check returns what is wrong with the settings, all together.
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
		add("halls", "does not give "+c.Hall+" the region "+c.Region)
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
	if c.LogSample < 0 {
		add("log-sample", "must not be negative")
	}
	return findings
}

// rolloutsEnabled tells whether new versions of services are brought in by order.
func (c *Config) rolloutsEnabled() bool { return c.Rollouts.Share > 0 }

// setting is a setting with its name.
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

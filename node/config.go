package node

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/entry"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/table"
)

// Config holds the settings of an instance.
type Config struct {
	// Name is the prefix of the instance's ID. A suffix that is unique to the process is
	// appended.
	Name   string
	Region string
	Hall   string
	// The addresses to listen on, as IP:PORT. With port 0, the operating system chooses a free
	// port.
	CallerAddr string
	HopAddr    string
	PeerAddr   string
	AdminAddr  string
	// Platform is the base URL of the platform's object store.
	Platform string
	// Bootstrap holds the peer addresses that the instance contacts while it knows no other
	// instance.
	Bootstrap []string
	// Secret is the secret that all instances share.
	Secret string
	// LookupTTL is the time for which callers may cache the response to a look-up.
	LookupTTL time.Duration
	// MaxDrainTime bounds the duration of a planned stop. If it is 0, the stop waits for all
	// requests.
	MaxDrainTime time.Duration
	// Heartbeat is the interval between rounds of heartbeats.
	Heartbeat time.Duration
	// DefaultDeadline applies to requests without a deadline of their own. MaxDeadline bounds
	// the deadline of every request. StallTimeout ends a transfer without progress.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	StallTimeout    time.Duration
	// ClaimWriteRate is the number of writes per second that all instances together may use for
	// claims. It is a part of the store's write rate.
	ClaimWriteRate float64
	Timing         seat.Timing
	Members        member.Settings
	Log            *slog.Logger
	// OnAdmit, if not nil, is called for every request that is admitted to a row. It must
	// return quickly and be safe for concurrent use.
	OnAdmit func(row table.RowKey, at time.Time)
	// Dial opens the connections to targets and other instances, if it is not nil.
	Dial entry.Dialer
	// Baseline replaces parts of the policy, for comparative measurements.
	Baseline Baseline
}

// Baseline selects simpler policies, which measurements compare with the default ones.
type Baseline struct {
	NoLoans     bool
	NoSlowStart bool
	Policy      balance.Policy
	// LoanDuration is the duration of loans. 0 selects the default.
	LoanDuration time.Duration
}

// Defaults returns the default settings. It leaves names and addresses unset.
func Defaults() Config {
	return Config{
		LookupTTL:       5 * time.Second,
		MaxDrainTime:    10 * time.Minute,
		Heartbeat:       500 * time.Millisecond,
		DefaultDeadline: 10 * time.Second,
		MaxDeadline:     2 * time.Minute,
		StallTimeout:    15 * time.Second,
		ClaimWriteRate:  40,
		Timing:          seat.DefaultTiming,
		Members:         member.DefaultSettings,
	}
}

// Check returns all faults of the settings.
func (c *Config) Check() table.Findings {
	var out table.Findings
	add := func(field, format string, args ...any) {
		out = append(out, table.Finding{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	for _, s := range []struct{ field, value string }{
		{"name", c.Name}, {"region", c.Region}, {"hall", c.Hall}, {"platform", c.Platform}, {"secret", c.Secret},
	} {
		if s.value == "" {
			add(s.field, "must be set")
		}
	}
	for _, s := range []struct{ field, value string }{
		{"listen", c.CallerAddr}, {"hop-listen", c.HopAddr}, {"peer-listen", c.PeerAddr}, {"admin-listen", c.AdminAddr},
	} {
		if err := checkAddr(s.value); err != nil {
			add(s.field, "%v", err)
		}
	}
	for _, addr := range c.Bootstrap {
		if err := checkAddr(addr); err != nil {
			add("bootstrap", "%v", err)
		}
	}
	for _, s := range []struct {
		field    string
		value    time.Duration
		min, max time.Duration
	}{
		{"lookup-ttl", c.LookupTTL, 100 * time.Millisecond, time.Hour},
		{"heartbeat", c.Heartbeat, 20 * time.Millisecond, 10 * time.Second},
		{"default-deadline", c.DefaultDeadline, 10 * time.Millisecond, c.MaxDeadline},
		{"max-deadline", c.MaxDeadline, 10 * time.Millisecond, time.Hour},
		{"stall", c.StallTimeout, 100 * time.Millisecond, time.Hour},
	} {
		if s.value < s.min || s.value > s.max {
			add(s.field, "%s is outside the range from %s to %s", s.value, s.min, s.max)
		}
	}
	return out
}

// checkAddr returns an error unless addr is an IP address with a port. Host names are not
// accepted, because instances identify each other by IP address.
func checkAddr(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("must have the form IP:PORT: %w", err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	return nil
}

package node

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/table"
)

// Config are the settings of an instance.
type Config struct {
	// Name is the instance's name. A part that is unique to the process is
	// added to it.
	Name   string
	Region string
	Hall   string
	// Addresses to listen on. Port 0 takes a free one.
	CallerAddr string
	HopAddr    string
	PeerAddr   string
	AdminAddr  string
	// Platform is the base URL of the platform's service.
	Platform string
	// Bootstrap are peer addresses to try while no instance is known.
	Bootstrap []string
	// Secret is shared by all instances.
	Secret string
	// LookupTTL is how long callers may keep the answer to a look-up.
	LookupTTL time.Duration
	// MaxDrainTime bounds a planned stop. 0 waits for every request.
	MaxDrainTime time.Duration
	// Heartbeat is the time between two rounds of heartbeats.
	Heartbeat time.Duration
	// DefaultDeadline holds for requests that give none, and MaxDeadline for
	// all. Stall ends a transfer that does not move.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	StallTimeout    time.Duration
	// ClaimWriteRate is the part of the platform's writes a second that all
	// instances together may use for claims.
	ClaimWriteRate float64
	Timing         seat.Timing
	Members        member.Settings
	Log            *slog.Logger
	// Admitted is called for every request admitted to a row, if set. It
	// must be quick and safe for concurrent use.
	Admitted func(row table.RowKey, at time.Time)
	// Baseline switches off parts of the policy for measurements.
	Baseline Baseline
}

// Baseline are the simpler policies that measurements compare with.
type Baseline struct {
	NoLoans     bool
	NoSlowStart bool
	Policy      balance.Policy
	// LoanDuration is the length of loans; 0 leaves the default.
	LoanDuration time.Duration
}

// Defaults returns the settings of a daemon, without names and addresses.
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

// Check returns everything that is wrong with the settings.
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
			add(s.field, "%s is not in %s to %s", s.value, s.min, s.max)
		}
	}
	return out
}

// checkAddr wants an IP number and a port: instances are known by numbers.
func checkAddr(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("want IP:PORT: %w", err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no IP number", host)
	}
	return nil
}

package catalog

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
)

// Key is the secret that a client account's requests carry. It prints, logs and encodes
// as redactedKey, so that no log line, error or dump can hold it by accident. The zero
// value is no key.
type Key struct{ secret string }

// redactedKey is what a key looks like wherever it is shown.
const redactedKey = "[key]"

// NewKey returns the key of a secret text.
func NewKey(secret string) Key { return Key{secret: secret} }

// String implements fmt.Stringer.
func (Key) String() string { return redactedKey }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return redactedKey }

// LogValue implements slog.LogValuer.
func (Key) LogValue() slog.Value { return slog.StringValue(redactedKey) }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }

// Account is a client account: who a request belongs to, by the key that it carries.
type Account struct {
	Name string
	// Keys are the keys in force. Operators add the next one before they take the last
	// one away.
	Keys []Key
	// Rate is the number of requests a second, over all instances, that the account may
	// send, 0 for any number, and Burst what it may send beyond that at once.
	Rate, Burst float64
	// Priority goes before that of the route, if it is given.
	Priority *int
	// Regions are the home regions, empty for any.
	Regions []string
}

// HasRateLimit tells whether the account may send a limited number of requests only.
func (a *Account) HasRateLimit() bool { return a != nil && a.Rate > 0 }

// ErrSharedKey is returned for a configuration in which a key belongs to two accounts.
var ErrSharedKey = errors.New("catalog: accounts share a key")

// accountsByKey maps each key to its account. It reports all pairs that share one.
func accountsByKey(accounts []Account) (map[Key]*Account, error) {
	var errs []error
	byKey := make(map[Key]*Account, len(accounts))
	for i := range accounts {
		account := &accounts[i]
		for _, key := range account.Keys {
			other := byKey[key]
			switch {
			case key == Key{}:
				// A request without a key must not find an account.
			case other == nil:
				byKey[key] = account
			case other != account:
				errs = append(errs, fmt.Errorf("%w: %s and %s", ErrSharedKey, other.Name, account.Name))
			}
		}
	}
	return byKey, errors.Join(errs...)
}

// HomeRegions returns the regions that may serve a request of an account on a route: all if
// neither has home regions, and else those that both allow. The result is false if they
// have nothing in common. The account may be nil.
func HomeRegions(route *Route, account *Account) (regions []string, ok bool) {
	if account == nil || len(account.Regions) == 0 {
		return route.Regions, true
	}
	if len(route.Regions) == 0 {
		return account.Regions, true
	}
	for _, region := range route.Regions {
		if slices.Contains(account.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// HomeRegionShares returns the part of all requests that each region has to run because accounts
// have it as their home, as far as that can be told from the accounts' limits: an account is
// taken to send in proportion to its limit, to its homes alike. Accounts without a limit
// count for nothing. It is the same at all instances.
func (c *Config) HomeRegionShares() map[string]float64 {
	total := 0.0
	for i := range c.Accounts {
		total += c.Accounts[i].Rate
	}
	shares := make(map[string]float64)
	if total <= 0 {
		return shares
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, region := range a.Regions {
			shares[region] += a.Rate / total / float64(len(a.Regions))
		}
	}
	return shares
}

// PriorityOf returns the rank of an account's requests on a route. The account may be nil.
func PriorityOf(route *Route, account *Account) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

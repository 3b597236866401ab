package catalog

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
)

// Key is the secret that the requests of a client account carry. It is printed, logged and
// encoded as redactedKey, so that no log line, error or dump contains the secret by
// accident. The zero value means that there is no key.
type Key struct{ secret string }

// redactedKey is the text that replaces a key in all output.
const redactedKey = "[key]"

// NewKey returns the key for the text of a secret.
func NewKey(secret string) Key { return Key{secret: secret} }

// String implements fmt.Stringer. It returns redactedKey.
func (Key) String() string { return redactedKey }

// GoString implements fmt.GoStringer. It returns redactedKey.
func (Key) GoString() string { return redactedKey }

// LogValue implements slog.LogValuer. It returns redactedKey.
func (Key) LogValue() slog.Value { return slog.StringValue(redactedKey) }

// MarshalText implements encoding.TextMarshaler. It returns redactedKey.
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }

// Account is a client account. A request belongs to the account whose key it carries.
type Account struct {
	Name string
	// Keys are the valid keys. There can be several, because operators rotate keys by
	// adding the new one before they remove the old one.
	Keys []Key
	// Rate is the rate limit in requests per second, over all instances. 0 means that
	// the account has no rate limit. Burst is the number of requests that the account
	// may send at once beyond the rate.
	Rate, Burst float64
	// Priority overrides the priority of the route, unless it is nil.
	Priority *int
	// Regions are the home regions, in which the account's requests have to run. An
	// empty list allows all regions.
	Regions []string
}

// HasRateLimit reports whether the account has a rate limit. The account may be nil.
func (a *Account) HasRateLimit() bool { return a != nil && a.Rate > 0 }

// ErrSharedKey is returned for a configuration in which two accounts have the same key.
var ErrSharedKey = errors.New("catalog: accounts share a key")

// accountsByKey returns the accounts by key. If a key belongs to several accounts, it
// returns an error that joins an ErrSharedKey for each conflicting pair.
func accountsByKey(accounts []Account) (map[Key]*Account, error) {
	var errs []error
	byKey := make(map[Key]*Account, len(accounts))
	for i := range accounts {
		account := &accounts[i]
		for _, key := range account.Keys {
			other := byKey[key]
			switch {
			case key == Key{}:
				// The zero key is left out, so that a request without a key matches no
				// account.
			case other == nil:
				byKey[key] = account
			case other != account:
				errs = append(errs, fmt.Errorf("%w: %s and %s", ErrSharedKey, other.Name, account.Name))
			}
		}
	}
	return byKey, errors.Join(errs...)
}

// HomeRegions returns the regions that may serve a request of an account on a route. These
// are all regions (an empty result) if neither the route nor the account has home regions,
// and the regions that both allow otherwise. The result ok is false if the route and the
// account have no region in common. The account may be nil.
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

// HomeRegionShares returns an estimate of the fraction of all requests that each region has
// to run because it is a home region of their accounts. The estimate assumes that each
// account sends requests in proportion to its rate limit, divided equally among its home
// regions. Accounts without a rate limit do not count. The result depends only on the
// configuration, so that it is the same at all instances.
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

// PriorityOf returns the priority of an account's requests on a route, where 0 is the most
// urgent. The account may be nil.
func PriorityOf(route *Route, account *Account) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

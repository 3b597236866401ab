package demo

import (
	"fmt"
	"sort"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/ratelimit"
)

// The client accounts of the gateways' estate: one without a rate limit, whose first key
// is revoked during the run, and one that sends three times its rate limit.
const (
	estateAccount = "estate"
	estateKey     = "estate-key-2"
	revokedKey    = "estate-key-1"
	busyAccount   = "busy"
	busyKey       = "busy-key-1"

	// One in busyEvery requests belongs to the busy account. Its rate limit is the
	// fraction busyShare of the rate at which it sends.
	busyEvery = 3
	busyShare = 1.0 / 3
)

// busyLimit returns the rate limit of the busy account. Its burst is one second's
// requests.
func (o *GatewayOptions) busyLimit() ratelimit.Limit {
	rate := o.Rate / busyEvery * busyShare
	return ratelimit.Limit{Rate: rate, Burst: rate}
}

// tenants returns the client accounts in the form of the configuration. withTaken
// includes revokedKey.
func (e *gatewayEstate) tenants(withTaken bool) map[string]objects.Tenant {
	keys := []string{estateKey}
	if withTaken {
		keys = append(keys, revokedKey)
	}
	limit := e.options.busyLimit()
	return map[string]objects.Tenant{
		estateAccount: {APIKeys: keys, Priority: 1},
		busyAccount:   {APIKeys: []string{busyKey}, Priority: 1, RatePerS: limit.Rate, Burst: limit.Burst},
	}
}

// keyOf returns the key that request number n carries.
func keyOf(n int) string {
	if n%busyEvery == 0 {
		return busyKey
	}
	return estateKey
}

// recordAccount records whether a request reached a target with its client's key, and
// the runs of the busy account. The caller holds mu.
func (o *observer) recordAccount(a origin.Arrival) {
	if a.Header.Get("Credential") != "" {
		o.keysSeen++
	}
	if a.Executed && a.Header.Get("Tenant") == busyAccount {
		o.busy = append(o.busy, a.At)
	}
}

// reportAccounts adds violations to the report: requests that reached targets with
// their client's key, and a busy account that exceeded its rate limit or was never
// served. The caller holds mu.
func (o *observer) reportAccounts(r *GatewayReport, limit ratelimit.Limit) {
	if o.keysSeen > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d requests reached targets with their key", o.keysSeen))
	}
	bound := gateway.Defaults().Limits
	sort.Slice(o.busy, func(i, j int) bool { return o.busy[i].Before(o.busy[j]) })
	for begin, end := 0, 0; end < len(o.busy); end++ {
		for o.busy[end].Sub(o.busy[begin]) > bound.Window {
			begin++
		}
		if n := end - begin + 1; float64(n) > bound.MaxRequests(limit) {
			r.Broken = append(r.Broken, fmt.Sprintf("%d requests of one account ran within %v, of %.0f", n, bound.Window, bound.MaxRequests(limit)))
			return
		}
	}
	if len(o.busy) == 0 {
		r.Broken = append(r.Broken, "nothing of the account with a limit was served")
	}
}

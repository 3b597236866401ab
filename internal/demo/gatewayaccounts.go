package demo

import (
	"fmt"
	"sort"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/ratelimit"
)

// The client accounts of the estate of gateways: one without a limit, whose first key is
// taken away on the way, and one that sends three times what it may.
const (
	estateAccount = "estate"
	estateKey     = "estate-key-2"
	takenKey      = "estate-key-1"
	busyAccount   = "busy"
	busyKey       = "busy-key-1"

	// busyEvery is one in how many requests is the busy account's, and busyShare the part
	// of the rate of these that it may send.
	busyEvery = 3
	busyShare = 1.0 / 3
)

// busyLimit is the limit of the busy account.
func (o *GatewayOptions) busyLimit() ratelimit.Limit {
	rate := o.Rate / busyEvery * busyShare
	return ratelimit.Limit{Rate: rate, Burst: rate}
}

// tenants returns the accounts as the configuration lists them, with or without the key
// that is taken away.
func (e *gatewayEstate) tenants(withTaken bool) map[string]objects.Tenant {
	keys := []string{estateKey}
	if withTaken {
		keys = append(keys, takenKey)
	}
	limit := e.options.busyLimit()
	return map[string]objects.Tenant{
		estateAccount: {APIKeys: keys, Priority: 1},
		busyAccount:   {APIKeys: []string{busyKey}, Priority: 1, RatePerS: limit.Rate, Burst: limit.Burst},
	}
}

// keyOf returns the key of the request of a number.
func keyOf(n int) string {
	if n%busyEvery == 0 {
		return busyKey
	}
	return estateKey
}

// noteAccount notes what a target learns of an account. The caller holds mu.
func (o *observer) noteAccount(a origin.Arrival) {
	if a.Header.Get("Credential") != "" {
		o.keysSeen++
	}
	if a.Executed && a.Header.Get("Tenant") == busyAccount {
		o.busy = append(o.busy, a.At)
	}
}

// reportAccounts judges what reached the targets by the accounts' keys and limits. The
// caller holds mu.
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

package soak

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// account is a client account of the run.
type account struct {
	name        string
	rate, burst float64
	// hot accounts send more requests than their rate limit admits.
	hot bool
}

// accounts lists the account of each group of clients. Clients are assigned to its entries in
// turn.
var accounts = []account{
	{name: "hot", rate: 6, burst: 4, hot: true},
	{name: "large", rate: 300, burst: 60},
	{name: "free"},
	{name: "free"},
}

// accountOf returns the account of the client with the given index.
func accountOf(client int) account { return accounts[client%len(accounts)] }

// The bound that a rate limit is checked by, equal to the program's defaults: in a window of
// limitWindow, an account may exceed its rate and burst by the fraction limitTolerance and by
// limitSlack requests.
const (
	limitWindow    = 5 * time.Second
	limitTolerance = 0.1
	limitSlack     = 20
)

// keyOverlap is the time from adding a new key to the configuration until the previous key is
// removed. It exceeds the time within which a configuration applies, so that every connected
// instance accepts the new key by then.
const keyOverlap = configApply + 500*time.Millisecond

// keyring holds the API keys of the accounts over the run. It is safe for concurrent use.
type keyring struct {
	mu sync.Mutex
	// inForce holds the keys that the configuration lists for each account. Clients use the
	// first.
	inForce map[string][]string
	// since and until hold when each key was added to the configuration and removed from it.
	since, until map[string]time.Time
	next         int
}

func newKeyring() *keyring {
	k := &keyring{inForce: make(map[string][]string), since: make(map[string]time.Time), until: make(map[string]time.Time)}
	for _, a := range accounts {
		if len(k.inForce[a.name]) == 0 {
			k.add(a.name)
		}
	}
	return k
}

// add adds a new key to an account.
func (k *keyring) add(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	key := fmt.Sprintf("key-%s-%d", name, k.next)
	k.inForce[name] = append(k.inForce[name], key)
	k.since[key] = time.Now()
}

// remove removes the oldest key of an account if the account has another one.
func (k *keyring) remove(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := k.inForce[name]
	if len(keys) < 2 {
		return
	}
	k.inForce[name] = keys[1:]
	k.until[keys[0]] = time.Now()
}

// use returns the key that the clients of an account send.
func (k *keyring) use(name string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inForce[name][0]
}

// required reports whether every connected instance must accept a key at the given time, and
// whether every connected instance must reject it.
func (k *keyring) required(key string, at time.Time) (known, forgotten bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, taken := k.until[key]
	return !taken && at.Sub(k.since[key]) > configApply, taken && at.Sub(until) > configApply
}

// tenants returns the accounts in the form of the configuration.
func (k *keyring) tenants() map[string]objects.Tenant {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]objects.Tenant)
	for _, a := range accounts {
		out[a.name] = objects.Tenant{APIKeys: append([]string(nil), k.inForce[a.name]...), Priority: 1, RatePerS: a.rate, Burst: a.burst}
	}
	return out
}

// changeKeys rotates the key of an account. It adds a new key at once and removes the previous
// one after keyOverlap.
func (r *runner) changeKeys(f Fault) {
	name := accounts[f.Which%len(accounts)].name
	s := r.site
	s.keys.add(name)
	s.configure()
	r.later(keyOverlap, func() {
		s.keys.remove(name)
		s.configure()
	})
}

// judgeAccount checks that a server receives the account's name but not the key, and that no
// request runs with a key that was removed more than configApply ago. The caller holds mu.
func (o *oracle) judgeAccount(a *attempt, v origin.Arrival) {
	o.checks["KEY"]++
	if v.Header.Get("Credential") != "" {
		o.violated("KEY", "%s reached %s with its key", a.id, v.Server.ID)
	}
	if got := v.Header.Values("Tenant"); v.Executed && fmt.Sprint(got) != fmt.Sprint(a.tenantHeader()) {
		o.violated("UNASKED", "%s of account %q ran as %q", a.id, a.account, got)
	}
	if a.key == "" || !a.connected {
		return
	}
	if _, forgotten := o.keys.required(a.key, a.at); v.Executed && forgotten {
		o.violated("KEY", "%s from %s ran with a key that had been removed", a.id, a.instance)
	}
}

// tenantHeader returns the expected values of the header that names the account to a
// server.
func (a *attempt) tenantHeader() []string {
	if a.account == "" {
		return nil
	}
	return []string{a.account}
}

// mayBeUnauthorized reports whether status is 401 and the instance is permitted not to accept
// the key of the attempt: the key is not yet, or no longer, required to be accepted, or the
// instance was not connected.
func (o *oracle) mayBeUnauthorized(a *attempt, status int) bool {
	if status != http.StatusUnauthorized {
		return false
	}
	known, _ := o.keys.required(a.key, a.at)
	return !known || !a.connected
}

// limits checks the rate limits over the whole run: the number of an account's requests that
// ran at any server within each window. The caller does not hold mu.
func (o *oracle) limits() {
	o.mu.Lock()
	defer o.mu.Unlock()
	ran := make(map[string][]time.Time)
	for _, a := range o.attempts {
		for _, arrival := range a.arrivals {
			if arrival.ran {
				ran[a.account] = append(ran[a.account], arrival.at)
			}
		}
	}
	for _, a := range accounts {
		if a.rate == 0 {
			continue
		}
		times := ran[a.name]
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		most := int((a.rate*limitWindow.Seconds()+a.burst)*(1+limitTolerance) + limitSlack)
		for end, start := 0, 0; end < len(times); end++ {
			o.checks["LIMIT"]++
			for times[end].Sub(times[start]) > limitWindow {
				start++
			}
			if end-start+1 > most {
				o.violated("LIMIT", "account %s had %d requests executed in %s, at most %d permitted", a.name, end-start+1, limitWindow, most)
				break
			}
		}
	}
}

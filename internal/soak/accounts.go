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
	// hot accounts send more than they may.
	hot bool
}

// accounts are all accounts. Clients are dealt over them.
var accounts = []account{
	{name: "hot", rate: 6, burst: 4, hot: true},
	{name: "large", rate: 300, burst: 60},
	{name: "free"},
	{name: "free"},
}

// accountOf returns the account of the client of a number.
func accountOf(client int) account { return accounts[client%len(accounts)] }

// The bound on limits, as the programs have it by default.
const (
	limitWindow = 5 * time.Second
	limitOver   = 0.1
	limitSlack  = 20
)

// keyTime is how long a new key is in the configuration before clients use it and the one
// before is taken away.
const keyTime = configApply + 500*time.Millisecond

// keyring holds the keys of the accounts over the run. It is safe for concurrent use.
type keyring struct {
	mu sync.Mutex
	// inForce are the keys that the configuration lists, the one that clients use first.
	inForce map[string][]string
	// since and until are when a key came into the configuration and went out of it.
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

// add gives an account another key.
func (k *keyring) add(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	key := fmt.Sprintf("key-%s-%d", name, k.next)
	k.inForce[name] = append(k.inForce[name], key)
	k.since[key] = time.Now()
}

// take takes the oldest key of an account away, if it has another one.
func (k *keyring) take(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := k.inForce[name]
	if len(keys) < 2 {
		return
	}
	k.inForce[name] = keys[1:]
	k.until[keys[0]] = time.Now()
}

// use returns the key that clients of an account use.
func (k *keyring) use(name string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inForce[name][0]
}

// due tells whether instances have to know a key, and whether they have to have
// forgotten it.
func (k *keyring) due(key string, at time.Time) (known, forgotten bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, taken := k.until[key]
	return !taken && at.Sub(k.since[key]) > configApply, taken && at.Sub(until) > configApply
}

// tenants returns the accounts as the configuration lists them.
func (k *keyring) tenants() map[string]objects.Tenant {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]objects.Tenant)
	for _, a := range accounts {
		out[a.name] = objects.Tenant{APIKeys: append([]string(nil), k.inForce[a.name]...), Priority: 1, RatePerS: a.rate, Burst: a.burst}
	}
	return out
}

// changeKeys replaces the key of an account: another one is added, and the one before
// taken away when all instances know the new one.
func (r *runner) changeKeys(f Fault) {
	name := accounts[f.Which%len(accounts)].name
	s := r.site
	s.keys.add(name)
	s.configure()
	r.later(keyTime, func() {
		s.keys.take(name)
		s.configure()
	})
}

// judgeAccount checks the name that a server is told, that the key stays away from it, and
// that keys that were taken away are out of force. The caller holds mu.
func (o *oracle) judgeAccount(a *attempt, v origin.Arrival) {
	o.checks["KEY"]++
	if v.Header.Get("Credential") != "" {
		o.broken("KEY", "%s reached %s with its key", a.id, v.Server.ID)
	}
	if got := v.Header.Values("Tenant"); v.Executed && fmt.Sprint(got) != fmt.Sprint(a.names()) {
		o.broken("UNASKED", "%s of account %q ran as %q", a.id, a.account, got)
	}
	if a.key == "" || !a.touched {
		return
	}
	if _, forgotten := o.keys.due(a.key, a.at); v.Executed && forgotten {
		o.broken("KEY", "%s from %s ran with a key that had been taken away", a.id, a.instance)
	}
}

// names are the values of the header that names an account to servers.
func (a *attempt) names() []string {
	if a.account == "" {
		return nil
	}
	return []string{a.account}
}

// mayBeUnauthorized tells whether an instance may not know the key of an attempt.
func (o *oracle) mayBeUnauthorized(a *attempt, status int) bool {
	if status != http.StatusUnauthorized {
		return false
	}
	known, _ := o.keys.due(a.key, a.at)
	return !known || !a.touched
}

// limits checks the limits of the whole run: in any window, the requests of an account
// that ran at any server. The caller does not hold mu.
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
		most := int((a.rate*limitWindow.Seconds()+a.burst)*(1+limitOver) + limitSlack)
		for end, start := 0, 0; end < len(times); end++ {
			o.checks["LIMIT"]++
			for times[end].Sub(times[start]) > limitWindow {
				start++
			}
			if end-start+1 > most {
				o.broken("LIMIT", "account %s had %d requests run in %s, of %d", a.name, end-start+1, limitWindow, most)
				break
			}
		}
	}
}

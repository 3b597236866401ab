package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJudgeCut checks that a cut breaks WAY only if clients at cut instances were served less than two
// thirds as often as the others and more than a few failed there.
func TestJudgeCut(t *testing.T) {
	for _, c := range []struct {
		name                              string
		cutServed, cutAll, served, others int
		broken                            bool
	}{
		{name: "all served", cutServed: 100, cutAll: 100, served: 300, others: 300},
		{name: "none served", cutServed: 0, cutAll: 100, served: 300, others: 300, broken: true},
		{name: "few failed", cutServed: 0, cutAll: 16, served: 300, others: 300},
		{name: "two thirds", cutServed: 67, cutAll: 100, served: 300, others: 300},
		{name: "less than two thirds", cutServed: 66, cutAll: 100, served: 300, others: 300, broken: true},
		{name: "the others fail too", cutServed: 50, cutAll: 100, served: 200, others: 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newKeyring())
			now := time.Now()
			cut := &linkCut{from: now.Add(-8 * time.Second), until: now, whole: true, instances: map[string]bool{"n1": true}}
			add := func(name string, all, served int) {
				for i := range all {
					a := o.begin(&instance{name: name}, http.MethodGet, "/read/1", nil)
					a.at, a.doneAt, a.result.status = now.Add(-time.Second), now, http.StatusServiceUnavailable
					if i < served {
						a.result.status = http.StatusOK
					}
				}
			}
			add("n1", c.cutAll, c.cutServed)
			add("n2", c.others, c.served)
			o.judgeCut(cut)
			require.Equal(t, c.broken, len(o.violations) > 0, "%v", o.violations)
		})
	}
}

// TestSenderOfHandedOverRequests checks that a request of an instance whose links are cut is not taken for
// one that the instance has sent to its server.
func TestSenderOfHandedOverRequests(t *testing.T) {
	o := newOracle(newKeyring())
	now := time.Now()
	o.cutLinks(&linkCut{from: now, until: now.Add(6 * time.Second), instances: map[string]bool{"n1": true}})
	at := func(after time.Duration) *attempt { return &attempt{instance: "n1", at: now.Add(after)} }
	require.Equal(t, "n1", o.senderOf(at(-time.Second), now.Add(-time.Millisecond)))
	require.Empty(t, o.senderOf(at(-time.Second), now.Add(time.Millisecond)), "an attempt that was sent before and arrives in the cut")
	require.Empty(t, o.senderOf(at(7*time.Second), now.Add(7*time.Second)), "just after the cut")
	require.Equal(t, "n1", o.senderOf(at(10*time.Second), now.Add(10*time.Second)))
	require.Equal(t, "n2", o.senderOf(&attempt{instance: "n2", at: now}, now.Add(time.Second)))
}

package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
)

// answeredBy returns the server that answers a request with an affinity key, or "" if none does.
func (in *instance) answeredBy(path, key string) string {
	reply := in.sendWith(in.site.t.Context(), in.site.newID(), "GET", path, "", http.Header{"Affinity-Key": {key}})
	body, answered := strings.CutPrefix(reply.body, "answer of ")
	if !answered {
		return ""
	}
	return strings.Fields(body)[0]
}

// keyOf waits for an affinity key whose requests a server answers, two in a row.
func (in *instance) keyOf(path, server string) (key string) {
	n := 0
	require.Eventually(in.site.t, func() bool {
		n++
		key = fmt.Sprint("k", n)
		for range 2 {
			if !strings.HasPrefix(in.answeredBy(path, key), server) {
				return false
			}
		}
		return true
	}, wait, poll)
	return key
}

// TestLostAnswersOfStore guards against a change that no instance hears of for as long as a watch waits: the
// store loses all answers for a moment, those of pending watches included, and acknowledges the change then. Each
// kind of change is in force within its bound after the store answers again.
func TestLostAnswersOfStore(t *testing.T) {
	bounds := map[string]time.Duration{"configuration": 2500 * time.Millisecond, "leaving target": 2500 * time.Millisecond, "evacuation": 5 * time.Second}
	for _, instances := range []int{1, 3} {
		for _, silence := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(instances, " instances, ", silence), func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				evacuated, leaves := route{prefix: "/evacuated/", service: "s", kind: "idempotent"}, route{prefix: "/leaves/", service: "t", kind: "idempotent"}
				s.configure(1, evacuated, leaves)
				s.server("i-1", "s", "a1")
				s.server("i-2", "s", "a2")
				third := s.server("i-3", "t", "a2")
				s.server("i-4", "t", "a2")
				var fleet []*instance
				for i := range instances {
					fleet = append(fleet, s.instance(fmt.Sprint("n", i+1), "a1"))
				}
				checks := make(map[string][]func() bool)
				for _, in := range fleet {
					in.awaitReady()
					first, second := in.keyOf("/evacuated/", "i-1"), in.keyOf("/leaves/", "i-3")
					checks["configuration"] = append(checks["configuration"], func() bool { return in.send("GET", "/new/", "").status == 200 })
					checks["evacuation"] = append(checks["evacuation"], func() bool { return strings.HasPrefix(in.answeredBy("/evacuated/", first), "i-2") })
					checks["leaving target"] = append(checks["leaving target"], func() bool { return strings.HasPrefix(in.answeredBy("/leaves/", second), "i-4") })
				}
				time.Sleep(time.Second + rand.N(3*time.Second))
				s.store.SetFaults(objects.Faults{LoseAnswers: true})
				s.configure(2, evacuated, leaves, route{prefix: "/new/", service: "s", kind: "idempotent"})
				s.store.Evacuate("a1")
				s.record(third, "draining")
				time.Sleep(silence)
				s.store.SetFaults(objects.Faults{})
				from := time.Now()
				late := 20 * time.Second
				for len(checks) > 0 && time.Since(from) < late {
					for kind, all := range checks {
						for len(all) > 0 && all[0]() {
							all = all[1:]
						}
						checks[kind] = all
						if len(all) == 0 {
							took := time.Since(from)
							t.Logf("%s: %v", kind, took)
							if took > bounds[kind] {
								t.Errorf("%s: in force %v after the store answers again, bound %v", kind, took, bounds[kind])
							}
							delete(checks, kind)
						}
					}
					time.Sleep(poll)
				}
				require.Empty(t, checks)
			})
		}
	}
}

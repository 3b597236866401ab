package rollout_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/rainford/rainford/rollout"
)

var errorRateRuns = flag.Int("error-rates", 0, "number of rollouts of each kind and size of which TestErrorRates logs the error rates, 0 for none")

// TestErrorRates logs the fractions of rollouts with a wrong result over all kinds of versions, at the
// sizes of deployments up to the largest one expected. It runs by hand and checks nothing: the bounds
// are those of TestGoodVersions and TestBadVersions, and some of the rates here exceed them.
func TestErrorRates(t *testing.T) {
	if *errorRateRuns == 0 {
		t.Skip("by hand: -error-rates N")
	}
	kinds := append([]versionKind{{name: "good"}}, badKinds...)
	kinds = append(kinds, versionKind{"slow on one route", []func(s *simulation){slow, onOneRoute}})
	for _, instances := range []int{4, 26, 88, 730} {
		for _, rate := range []float64{5, 60, 1300} {
			for _, kind := range kinds {
				t.Run(fmt.Sprintf("instances=%d,rate=%g,%s", instances, rate, kind.name), func(t *testing.T) {
					logErrorRates(t, instances, rate, kind)
				})
			}
		}
	}
}

// logErrorRates logs the error rates of one kind of versions at one size.
func logErrorRates(t *testing.T, instances int, rate float64, kind versionKind) {
	want := rollout.Succeeded
	if len(kind.faults) > 0 {
		want = rollout.RolledBack
	}
	wrong, exceeded, late, sentNew, sent := 0, 0, 0, 0, 0
	for seed := range uint64(*errorRateRuns) {
		s := newSimulation(seed, instances, rate)
		for _, fault := range kind.faults {
			fault(s)
		}
		s.run()
		count(&wrong, s.verdict != want)
		count(&exceeded, len(kind.faults) > 0 && s.exceeds())
		count(&late, s.lateNew > 0 && s.verdict == rollout.RolledBack)
		sentNew, sent = sentNew+s.sentNew, sent+s.sent
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(*errorRateRuns) }
	t.Logf("| %d | %g | %s | %.1f | %.1f | %.1f | %.2f |", instances, rate, kind.name, percent(wrong), percent(exceeded), percent(late), float64(sentNew)/float64(max(sent, 1)))
}

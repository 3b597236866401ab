package rollout_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExposureOfSlowService checks that a bad version of a service with few requests stays within the
// exposure bound as often as one of any other service, although most of these versions can't be told
// from good ones. It draws more rollouts than TestBadVersions, in which a service without a limit on
// the requests at new targets in the canary stages exceeds the bound too rarely to be noticed.
func TestExposureOfSlowService(t *testing.T) {
	const (
		instances = 4
		rate      = 5
		drawn     = 300
	)
	exceeded := 0
	for seed := range uint64(drawn) {
		s := newSimulation(seed, instances, rate)
		failing(s)
		onOneRoute(s)
		s.run()
		count(&exceeded, s.exceeds())
	}
	require.LessOrEqual(t, exceeded, drawn/runsPerError)
}

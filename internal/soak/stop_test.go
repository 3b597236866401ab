package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopOfPausedInstance checks that a planned stop may last longer than its bound only if the instance
// was paused until then, and that it must end within stopSlack of the pause.
func TestStopOfPausedInstance(t *testing.T) {
	const bound = grace + stopSlack
	for _, c := range []struct {
		name string
		// asked and resumed are the times since the request to stop and since the end of the pause.
		asked, resumed time.Duration
		broken         bool
	}{
		{name: "in time", asked: bound - time.Second, resumed: time.Hour},
		{name: "late", asked: bound + time.Second, resumed: time.Hour, broken: true},
		{name: "late, paused early in the stop", asked: bound + time.Second, resumed: 3 * time.Second, broken: true},
		{name: "ended by the end of the pause", asked: bound + 2*time.Second, resumed: stopSlack / 2},
		{name: "late after the pause", asked: bound + 2*time.Second, resumed: 2 * stopSlack, broken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newKeyring())
			now := time.Now()
			o.paused("n1", now.Add(-c.resumed))
			o.stopping["n1"] = now.Add(-c.asked)
			o.ended("n1", true, nil)
			require.Equal(t, c.broken, len(o.violations) > 0, o.violations)
		})
	}
}

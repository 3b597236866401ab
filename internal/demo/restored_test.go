package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/table"
)

// TestConfigurationOutlastsARestoredPlatform restores the platform from a backup that lacks
// accepted changes of the routing table. The accepted table must stay in force and be
// written to the platform again. A later change must come into force at every instance
// although its version had already been assigned before the restore.
func TestConfigurationOutlastsARestoredPlatform(t *testing.T) {
	cluster := startCluster(t, Options{Estate: small(1)})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	edit := func(weight int) int64 {
		change, err := cluster.Editor("weight").Edit(ctx, func(tab *table.Table) error { tab.Rows[0].Weight = weight; return nil })
		require.NoError(t, err)
		return change.Number
	}
	inForce := func(number int64) bool {
		for _, in := range cluster.Instances() {
			if in.Version() != number {
				return false
			}
		}
		return true
	}
	stored := func() int64 {
		obj, err := cluster.Client.Get(ctx, config.Key)
		require.NoError(t, err)
		doc, err := config.Decode(obj.Value)
		require.NoError(t, err)
		return doc.Number
	}
	const wait, poll = 20 * time.Second, 20 * time.Millisecond
	first := edit(101)
	require.Eventually(t, func() bool { return inForce(first) }, wait, poll)
	copied := cluster.Store.Backup()
	for i := range 4 {
		edit(110 + i)
	}
	accepted := edit(120)
	require.Eventually(t, func() bool { return inForce(accepted) }, wait, poll)
	cluster.Store.Restore(copied)
	require.Equal(t, first, stored())
	require.Eventually(t, func() bool { return stored() == accepted }, wait, poll)
	require.True(t, inForce(accepted))
	later := edit(130)
	require.Eventually(t, func() bool { return inForce(later) }, wait, poll)
}

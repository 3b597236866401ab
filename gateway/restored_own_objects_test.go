package gateway_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/table"
)

// tableAt returns the operators' table after a number of changes. After the first change all requests of
// region a go to region b. After the second one region b is drained and none go there.
func tableAt(number int) config.Document {
	doc := config.Document{Number: int64(number), Table: table.Table{
		Regions:  []table.Region{{Name: "a", Halls: []string{"a1", "a2"}}, {Name: "b", Halls: []string{"b1"}}},
		Services: []table.Service{{Name: "s"}},
		Rows:     []table.Row{{Service: "s", From: "a", To: "b", Weight: 1}},
	}}
	for i := range number {
		doc.Recent = append(doc.Recent, config.Change{Number: int64(i + 1), ID: string(rune('a' + i)), Operator: "op", Command: "edit"})
	}
	if number > 1 {
		doc.Table.Drains = []table.Drain{{Scope: table.ScopeRegion, Name: "b"}}
	}
	return doc
}

// TestOwnObjectsAreRewritten checks that a change of the operators' table and a held request survive if the
// store is restored from a backup that lacks them. The instances obey them all the time, and write them to
// the store again.
func TestOwnObjectsAreRewritten(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.configure(1, idempotentRoute)
	local, remote := s.server("i-1", "s", "a1"), s.server("i-2", "s", "b1")
	in := s.instance("n1", "a1")
	second := s.instance("n2", "a1", func(c *gateway.Config) { c.Seeds = []string{in.config.PeerListen} })
	in.awaitStatus("/x/", 200)
	second.awaitStatus("/x/", 200)
	own := platform.NewObjects(s.addr)
	first, err := own.Put(t.Context(), config.Key, 0, tableAt(1))
	require.NoError(t, err)
	servedBy := func(id string) func() bool {
		return func() bool { return strings.HasPrefix(in.send("GET", "/x/", "").body, "answer of "+id) }
	}
	require.Eventually(t, servedBy(remote.ID), 30*time.Second, 50*time.Millisecond, "traffic shifts in bounded steps")
	backup := s.store.Revision()
	s.store.Set("other", "o", 1)
	_, err = own.Put(t.Context(), config.Key, first.Version, tableAt(2))
	require.NoError(t, err)
	record := quarantine.StoredRecord{Digest: quarantine.Digest{1}, Crashes: []quarantine.StoredCrash{
		{Target: 1, At: time.Now().UnixMilli()}, {Target: 2, At: time.Now().UnixMilli(), Trial: true}}}
	_, err = own.Put(t.Context(), record.Key(), 0, record)
	require.NoError(t, err)
	require.Eventually(t, servedBy(local.ID), wait, poll)
	require.Eventually(t, func() bool { return second.metric("rainford_requests_held{") == 1 }, wait, poll)

	toRemote := len(remote.Runs())
	for _, lost := range s.store.RestoreAt(backup) {
		s.store.Reapply(lost)
	}
	require.Eventually(t, func() bool {
		in.send("GET", "/x/", "")
		doc, err := own.Get(t.Context(), config.Key)
		require.NoError(t, err)
		var held config.Document
		require.NoError(t, json.Unmarshal(doc.Value, &held))
		_, err = own.Get(t.Context(), record.Key())
		return held.Number == 2 && err == nil
	}, wait, poll)
	require.Len(t, remote.Runs(), toRemote)
	require.NotEmpty(t, s.store.Names(objects.KindConfig))
}

// TestTableChangeAfterRestore checks that a change that an operator makes to the table of a restored store
// takes effect, although the instances know of a change that the store has lost.
func TestTableChangeAfterRestore(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.configure(1, idempotentRoute)
	local, remote := s.server("i-1", "s", "a1"), s.server("i-2", "s", "b1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	own := platform.NewObjects(s.addr)
	first, err := own.Put(t.Context(), config.Key, 0, tableAt(1))
	require.NoError(t, err)
	servedBy := func(id string) func() bool {
		return func() bool { return strings.HasPrefix(in.send("GET", "/x/", "").body, "answer of "+id) }
	}
	require.Eventually(t, servedBy(remote.ID), 30*time.Second, 50*time.Millisecond, "traffic shifts in bounded steps")
	backup := s.store.Revision()
	_, err = own.Put(t.Context(), config.Key, first.Version, tableAt(2))
	require.NoError(t, err)
	require.Eventually(t, servedBy(local.ID), wait, poll)
	s.store.RestoreAt(backup)
	other := tableAt(2)
	other.Recent[1].ID, other.Table.Drains = "other", nil
	_, err = own.Put(t.Context(), config.Key, first.Version, other)
	require.NoError(t, err)
	require.Eventually(t, servedBy(remote.ID), 30*time.Second, 50*time.Millisecond)
	doc, err := own.Get(t.Context(), config.Key)
	require.NoError(t, err)
	require.Contains(t, string(doc.Value), "other")
}

package soak

import (
	"fmt"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

// foreignEntries are values that another program may write under the key of a server's entry.
// They are malformed, or name an unknown state or hall.
var foreignEntries = []any{
	"bytes that say nothing",
	nil,
	map[string]any{"service": "read"},
	map[string]any{"service": "read", "address": 7, "zone": "a1", "version": "v1", "slots": 3, "state": "ready", "warmupRemaining": "0ms", "sequence": 1},
	map[string]any{"service": "pay", "address": "127.0.0.1:1", "zone": "b1", "version": "v1", "slots": 3, "state": "resting", "warmupRemaining": "0ms", "sequence": 1},
	map[string]any{"service": "pay", "address": "127.0.0.1:1", "zone": "elsewhere", "version": "v1", "slots": 3, "state": "ready", "warmupRemaining": "0ms", "sequence": 1},
}

// writeForeign adds a foreign entry to the store and, in half of the variants, overwrites the
// entry of a server with it. Instances must then treat the server as leaving and stop sending
// requests to it.
func (r *runner) writeForeign(f Fault) {
	s := r.site
	entry := foreignEntries[f.How%len(foreignEntries)]
	s.store.Set(objects.KindServers, fmt.Sprint("foreign-", f.Which), entry)
	if f.How%2 == 0 {
		return
	}
	srv := s.pick(f.Which)
	if srv == nil || !s.markGone(srv) {
		return
	}
	_, _ = s.addServer(srv.Service, srv.place, true)
	s.oracle.mu.Lock()
	s.oracle.draining[srv.ID] = time.Now()
	s.oracle.mu.Unlock()
	s.store.Set(objects.KindServers, srv.ID, entry)
	r.later(drainTimeout+2*time.Second, func() {
		s.store.Remove(objects.KindServers, srv.ID)
		srv.Close()
	})
}

// restartServer stops a server and starts it again under the same ID at another address,
// unless its version was rejected meanwhile.
func (r *runner) restartServer(f Fault) {
	s := r.site
	srv := s.pick(f.Which)
	if srv == nil || !s.markGone(srv) {
		return
	}
	srv.proxy.close()
	srv.Close()
	r.later(f.For, func() { s.startAgain(srv) })
}

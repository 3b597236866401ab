package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/upstream"
)

// serviceCodec decodes entries that consist of the name of a service.
type serviceCodec struct{ plainCodec }

func (serviceCodec) Target(name string, raw []byte) (catalog.Target, error) {
	var service string
	err := json.Unmarshal(raw, &service)
	return catalog.Target{ID: name, Name: name, Service: service, Addr: "x", Hall: "a1", Slots: 3}, err
}

// TestTargetOfAnotherServiceIsNotUsed guards against requests to a target that its entry assigns to another
// service than before.
func TestTargetOfAnotherServiceIsNotUsed(t *testing.T) {
	g := newTestGateway(t)
	g.codec = serviceCodec{}
	entry := func(service string) feed.Change {
		return feed.Change{Object: feed.Object{Name: "i", Value: []byte(fmt.Sprintf("%q", service))}}
	}
	at := feed.At(1, 10)
	g.applyDelta(listDelta(at, entry("s")), sourceStore)
	acquire := func(service string) upstream.Action {
		return g.pools.get(service).acquire(t.Context(), upstream.Request{Key: "k", Deadline: time.Now().Add(time.Minute)}).Action
	}
	require.Equal(t, upstream.Send, acquire("s"))
	g.applyDelta(watchDelta(at, entry("other")), sourceStore)
	require.Equal(t, upstream.Send, acquire("other"))
	require.Equal(t, upstream.Refuse, acquire("s"))
}

package gateway

import (
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/pipelining"
)

// responseWriteTimeout is how long a client may take to read its answer. One that does not read
// holds the answer's bytes in memory and a connection.
const responseWriteTimeout = 30 * time.Second

// pipeliningLimits bound the requests that are run before those ahead of them on their connections
// have been answered. Each takes about 30 kB beside its answer.
var pipeliningLimits = pipelining.Limits{PerConn: 16, Total: 512, HeldBytes: 8 << 20}

// awaitPipelineTurn has a request wait for those that its client has sent ahead of it, unless all of them
// may run more than once. The client may leave meanwhile. The HTTP server notices that by itself a
// moment after it has read the request, which is too late for one that had waited unread for
// longer than its client: without the last look such a request is sent to a target first and
// cancelled then.
func (ex *exchange) awaitPipelineTurn() (requestResult, bool) {
	err := pipelining.AwaitStart(ex.r, ex.route.Kind == catalog.Idempotent)
	if err != nil || pipelining.ClientGone(ex.r) {
		return requestResult{reason: reasonClientLeft}, false
	}
	return requestResult{}, true
}

// reasonClientLeft is the reason of a request whose client did not wait for the answer.
const reasonClientLeft = "client-left"

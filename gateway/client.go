package gateway

import (
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/pipelining"
)

// responseWriteTimeout is how long writing a response to a client may take. A client that does not
// read its response holds the response's memory and a connection.
const responseWriteTimeout = 30 * time.Second

// pipeliningLimits bounds the pipelined requests that run before the preceding ones on their
// connections have been answered. Each such request takes about 30 kB in addition to its response.
var pipeliningLimits = pipelining.Limits{PerConn: 16, Total: 512, HeldBytes: 8 << 20}

// awaitPipelineTurn waits for the preceding requests of the client's connection, unless this
// request and all of them are idempotent. It returns false if the client has disconnected meanwhile.
//
// The HTTP server detects a disconnect a moment after it has read the request. That is too late for
// a request that lay unread until its client disconnected: without the explicit check it would be
// sent to a target and then cancelled.
func (ex *exchange) awaitPipelineTurn() (requestResult, bool) {
	err := pipelining.AwaitStart(ex.r, ex.route.Kind == catalog.Idempotent)
	if err != nil || pipelining.ClientGone(ex.r) {
		return requestResult{reason: reasonClientLeft}, false
	}
	return requestResult{}, true
}

// reasonClientLeft is the reason of a request whose client disconnected before the response.
const reasonClientLeft = "client-left"

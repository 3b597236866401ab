// Package refusal delivers responses to clients that are still sending the body of their request.
package refusal

import (
	"io"
	"net/http"
	"time"
)

// Bounds on what a client may still send after it was refused.
const (
	maxDiscardTime  = time.Second
	maxDiscardBytes = 1 << 20
)

// AwaitDelivery sends the response that was written to w and discards what the client still sends of its
// body, until the client closes the connection. The HTTP server closes the connection of a request with
// the header Expect at once if its body was not read. With unread bytes that resets the connection, and a
// reset can overtake the response.
func AwaitDelivery(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	// Errors mean that the connection has ended.
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(maxDiscardTime))
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
}

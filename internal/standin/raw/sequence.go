package raw

import (
	"io"
	"net"
	"sync/atomic"
)

// Sequence returns a function for Start that sends the responses on each connection, one after each request that
// arrives, and then waits until the connection is closed. It counts the requests. The connections share the memory of the
// responses.
func Sequence(requests *atomic.Int64, responses ...string) func(net.Conn) {
	raw := make([][]byte, len(responses))
	for i, response := range responses {
		raw[i] = []byte(response)
	}
	return func(c net.Conn) {
		for _, response := range raw {
			err := awaitRequest(c, 1)
			if err != nil {
				return
			}
			requests.Add(1)
			_, _ = c.Write(response)
		}
		_, _ = io.Copy(io.Discard, c)
	}
}

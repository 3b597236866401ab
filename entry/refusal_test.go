package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/route"
	"github.com/rainford/rainford/table"
)

// fixedChooser makes no random choices.
type fixedChooser struct{}

func (fixedChooser) Order([]route.Candidate) []table.Row  { return nil }
func (fixedChooser) Pick([]route.Peer) int                { return -1 }
func (fixedChooser) Jitter(d time.Duration) time.Duration { return d }

// TestRefusalReachesUploadingCaller guards against a refusal that is lost because the connection is reset:
// a caller that is refused while it sends its body has to read that the request did not run.
func TestRefusalReachesUploadingCaller(t *testing.T) {
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		t.Run(expect, func(t *testing.T) {
			refuse := make(chan struct{})
			e := &Entry{config: Config{Instance: "n", Chooser: fixedChooser{}}}
			server := httptest.NewServer(e.handler(func(*Exchange) Result {
				<-refuse
				return notRun(statusRefused, protocol.ReasonCapacity, "every target is busy", time.Second)
			}, false))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			const half = 128 << 10
			_, err = fmt.Fprintf(conn, "POST /v1/call/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", 4*half, expect)
			require.NoError(t, err)
			// The caller has waited for the status 100 for long enough and begins to send the body.
			_, err = conn.Write([]byte(strings.Repeat("x", half)))
			require.NoError(t, err)
			close(refuse)
			time.Sleep(300 * time.Millisecond)
			_, err = conn.Write([]byte(strings.Repeat("x", half)))
			require.NoError(t, err)
			time.Sleep(300 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			require.Equal(t, statusRefused, resp.StatusCode)
			require.Equal(t, retry.NotRun.String(), resp.Header.Get(protocol.HeaderOutcome))
		})
	}
}

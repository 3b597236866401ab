package forward

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// scriptedConn is a connection on which some bytes have arrived and that ends after them.
type scriptedConn struct{ *bytes.Reader }

func (scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (scriptedConn) Close() error                     { return nil }
func (scriptedConn) LocalAddr() net.Addr              { return nil }
func (scriptedConn) RemoteAddr() net.Addr             { return nil }
func (scriptedConn) SetDeadline(time.Time) error      { return nil }
func (scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// plainCodec parses no loads and no self-reports. Status 421 means that the target was
// replaced.
type plainCodec struct{}

func (plainCodec) ParseLoad(string) *upstream.LoadReport { return nil }
func (plainCodec) IsReplaced(status int) bool            { return status == http.StatusMisdirectedRequest }

func (plainCodec) ParseSelfReport(int, http.Header) availability.SelfReport {
	return availability.SelfReport{}
}

// FuzzResponse has a target send arbitrary bytes and close the connection. A request must
// count as not run only if the bytes contain the header or the status that says so. A response
// must be accepted only if it contains the ID of the request, and as a success only with a
// signature.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"",
		"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nServer-Signature: s\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 No\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	headers := Headers{RequestID: "Request-Id", Signature: "Server-Signature", NotRun: "Not-Executed"}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := NewClient(headers, plainCodec{}, nil)
		raw := scriptedConn{bytes.NewReader(data)}
		a := c.exchange(t.Context(), newConn(raw), &Request{
			Method: "GET", URI: "/", Host: "h.example", Header: http.Header{}, ID: "q", Target: "i-1", TargetName: "i-1", Timeout: time.Second,
		})
		text := strings.ToLower(string(data))
		if a.Outcome == retry.NotRun && !strings.Contains(text, "not-executed") && !strings.Contains(text, "421") {
			t.Fatalf("counted as not run after %q", data)
		}
		if a.Response == nil {
			return
		}
		if a.Outcome != retry.Ran || a.Response.Header.Get("Request-Id") != "q" {
			t.Fatalf("accepted a response to another request: %q", data)
		}
		if a.Response.Status/100 == 2 && a.Response.Header.Get("Server-Signature") == "" {
			t.Fatalf("accepted a success without a signature: %q", data)
		}
		if !bytes.Contains(data, a.Response.Body) && !strings.Contains(text, "chunked") {
			t.Fatalf("the body %q is not in the bytes sent, %q", a.Response.Body, data)
		}
	})
}

//go:build review

package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Host, Path string
	// Key is the value of Affinity-Key, and Timeout how long the client waits.
	Key     string
	Timeout time.Duration
	Body    []byte
}

// Encode returns the request as it is sent.
func (r Request) Encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\n", r.Method, r.Path, r.Host, r.ID, r.Timeout.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&out, "Affinity-Key: %s\r\n", r.Key)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.Body))
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes()
}

// Response is a whole answer.
type Response struct {
	Status        int
	ID, Signature string
	Body          []byte
	Close         bool
}

// Conn is a kept connection of a client.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to the front address of a machine.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Read reads the next answer, until the deadline.
func (c *Conn) ReadResponse(method string, deadline time.Time) (Response, error) {
	_ = c.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, ID: resp.Header.Get("Request-Id"), Signature: resp.Header.Get("Server-Signature"), Body: body, Close: resp.Close}, err
}

// Do sends a request and reads its answer.
func (c *Conn) Do(r Request) (Response, error) {
	_ = c.SetWriteDeadline(time.Now().Add(r.Timeout))
	if _, err := c.Write(r.Encode()); err != nil {
		return Response{}, err
	}
	return c.ReadResponse(r.Method, time.Now().Add(r.Timeout))
}

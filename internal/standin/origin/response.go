package origin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"time"
)

func (s *Server) headers(id string) string {
	return fmt.Sprintf("Request-Id: %s\r\nServer-Signature: sig.%s\r\nServer-Load: 1,0,%d\r\n", id, s.ID, s.Slots)
}

// respond sends the response to a request that was run. It returns whether the connection stays open.
func (s *Server) respond(c net.Conn, fault Fault, id, lines string) bool {
	text := "answer of " + s.ID + " to " + id
	headers := s.headers(id) + lines
	switch fault {
	case LostResponse:
		return false
	case Silent:
		s.awaitClose(c)
		return false
	case Cut, Stalled:
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", headers, len(text))
		_, _ = c.Write([]byte(head + text[:len(text)/2]))
		if fault == Stalled {
			s.awaitClose(c)
		}
		return false
	case Unframed, UnframedReset:
		head := "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n"
		_, _ = c.Write([]byte(head + text))
		if fault == UnframedReset {
			time.Sleep(20 * time.Millisecond)
			resetConn(c)
		}
		return false
	case Surplus:
		var buf bytes.Buffer
		_ = writeResponse(&buf, "200 OK", headers, text)
		_ = writeResponse(&buf, "200 OK", headers, "again")
		_, err := c.Write(buf.Bytes())
		return err == nil
	case Unsigned:
		return writeResponse(c, "200 OK", "Request-Id: "+id+"\r\n"+lines, text) == nil
	case Unmarked503:
		return writeResponse(c, "503 Service Unavailable", headers, "sorry") == nil
	case Failed:
		return writeResponse(c, "500 Internal Server Error", headers, "failed") == nil
	default:
		return writeResponse(c, "200 OK", headers, text) == nil
	}
}

// awaitClose waits until the connection ends and counts the run as canceled.
func (s *Server) awaitClose(c net.Conn) {
	var buf [1]byte
	_, _ = c.Read(buf[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled++
}

func writeResponse(w io.Writer, status, headers, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err
}

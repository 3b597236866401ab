package httpconn

import (
	"bytes"
	"errors"
)

// maxHeadBytes bounds the head of a response, together with the heads of the interim responses before it.
const maxHeadBytes = 64 << 10

// errHeadTooLong is the error for a head that goes on beyond maxHeadBytes.
var errHeadTooLong = errors.New("httpconn: head of a response goes on without end")

// headScanner finds the heads among the bytes of a stream and checks them.
type headScanner struct {
	// awaited is true until the head of a final response has ended.
	awaited bool
	// partial is the part of the present head that was scanned before, and interim the number of bytes of the heads
	// before it.
	partial []byte
	interim int
	// err is why a head was refused. No byte after it is passed on.
	err error
}

// expect states that a head comes next.
func (s *headScanner) expect() { s.awaited, s.partial, s.interim = true, nil, 0 }

// scan scans the next bytes of the stream. It returns how many of them may be passed on: all without an error, and
// otherwise fewer than end the head that is refused.
func (s *headScanner) scan(p []byte) (int, error) {
	for at := 0; s.awaited && at < len(p); {
		head, end := s.nextHead(p[at:])
		if s.interim+max(len(head), len(s.partial)) > maxHeadBytes {
			return s.refuse(at, errHeadTooLong)
		}
		if head == nil {
			break
		}
		interim, err := checkHead(head)
		if err != nil {
			return s.refuse(at+end-1, err)
		}
		s.interim += len(head)
		s.awaited, s.partial = interim, nil
		at += end
	}
	return len(p), s.err
}

// refuse ends the stream after passed more bytes.
func (s *headScanner) refuse(passed int, err error) (int, error) {
	s.err, s.partial = err, nil
	return passed, err
}

// nextHead returns the present head and the number of bytes of p that belong to it. If p does not end the head,
// nextHead keeps p as a part of it and returns nil.
func (s *headScanner) nextHead(p []byte) (head []byte, end int) {
	before := len(s.partial)
	head = p
	if before > 0 {
		head = append(s.partial, p...)
	}
	length := headLength(head, before)
	if length < 0 {
		s.partial = append(s.partial, p...)
		return nil, len(p)
	}
	return head[:length], length - before
}

// headLength returns the length of the head at the beginning of b, with the blank line that ends it, or -1 if it does
// not end in b. It does not end in the first scanned bytes.
func headLength(b []byte, scanned int) int {
	// The line feed before the blank line may be among the scanned bytes, with a carriage return after it.
	for at := max(0, scanned-2); ; {
		feed := bytes.IndexByte(b[at:], '\n')
		if feed < 0 {
			return -1
		}
		at += feed + 1
		switch rest := b[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

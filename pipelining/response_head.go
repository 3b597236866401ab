package pipelining

import (
	"bytes"
	"strconv"
)

// responseHead separates the head of one response from its body in what the server writes.
// Its zero value stands for a response of which nothing has been written. Only the final
// head is ever searched for headers: interim responses (1xx) and the body are not, however
// the writes divide them.
type responseHead struct {
	// partial is the part of an incomplete head that has been written.
	partial []byte
	// ended is set when the final head is complete. All that follows is the body.
	ended bool
}

// responsePart is a part of a response that can go to the client: interim heads, the final
// head and a part of the body. Any of them may be empty.
type responsePart struct {
	interim, head, body []byte
	// isWritten is set if the part is exactly what the server has written in one call.
	isWritten bool
}

// add returns what can go to the client once the server has written p. An incomplete head
// is kept until its end is written. The result refers to p or to a buffer of its own.
func (h *responseHead) add(p []byte) responsePart {
	if h.ended {
		return responsePart{body: p, isWritten: true}
	}
	text := p
	isFirst := len(h.partial) == 0
	if !isFirst {
		text = append(h.partial, p...)
	}
	interim := 0
	length := headLength(text)
	for length > 0 && isInterim(text[interim:]) {
		interim += length
		length = headLength(text[interim:])
	}
	part := responsePart{interim: text[:interim]}
	if length == 0 {
		h.partial = bytes.Clone(text[interim:])
		part.isWritten = isFirst && len(h.partial) == 0
		return part
	}
	h.ended, h.partial = true, nil
	part.head, part.body = text[interim:interim+length], text[interim+length:]
	part.isWritten = isFirst
	return part
}

// size returns the number of bytes of the part.
func (p responsePart) size() int { return len(p.interim) + len(p.head) + len(p.body) }

// bytes returns the part in a buffer of its own.
func (p responsePart) bytes() []byte {
	return bytes.Join([][]byte{p.interim, p.head, p.body}, nil)
}

// isInterim reports whether a head is that of an interim response, which another head
// follows. Status 101 is final, since another protocol follows it.
func isInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101 "))
}

// field is a header in a head: its value, and where its line begins and ends.
type field struct {
	value      []byte
	start, end int
}

// findField returns the first header with a name that begins at from or later in a complete
// head. The position from is that of a line.
func findField(head []byte, name string, from int) (field, bool) {
	for start := from; start < len(head); {
		length := bytes.Index(head[start:], endOfLine)
		if length <= 0 {
			break
		}
		end := start + length + len(endOfLine)
		found, value, ok := bytes.Cut(head[start:start+length], []byte(":"))
		if ok && equalFold(found, name) {
			return field{value: bytes.TrimSpace(value), start: start, end: end}, true
		}
		start = end
	}
	return field{}, false
}

// findClose returns the first header at from or later that says that the connection ends
// with the response.
func findClose(head []byte, from int) (field, bool) {
	for {
		f, ok := findField(head, "Connection", from)
		if !ok || containsToken(f.value, "close") {
			return f, ok
		}
		from = f.end
	}
}

// containsToken reports whether a list that is separated by commas contains a token,
// ignoring case.
func containsToken(list []byte, token string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if equalFold(bytes.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// closesConnection reports whether a complete head says that the connection ends with the
// response.
func closesConnection(head []byte) bool {
	_, ok := findClose(head, 0)
	return ok
}

// withoutClose returns a complete head without the headers that end the connection. It does
// not change head.
func withoutClose(head []byte) []byte {
	kept := make([]byte, 0, len(head))
	from := 0
	for {
		f, ok := findClose(head, from)
		if !ok {
			return append(kept, head[from:]...)
		}
		kept = append(kept, head[from:f.start]...)
		from = f.end
	}
}

// contentLength returns the length of the body in bytes that a complete head states, or 0
// if it states none.
func contentLength(head []byte) int64 {
	f, _ := findField(head, "Content-Length", 0)
	n, err := strconv.ParseInt(string(f.value), 10, 64)
	if err != nil {
		return 0
	}
	return max(n, 0)
}

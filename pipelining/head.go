package pipelining

import (
	"bytes"
	"strconv"
)

// maxHeadBytes bounds the head of a request that is classified. If a head is longer, all
// requests of the connection are passed to the server as they arrive.
const maxHeadBytes = 64 << 10

var (
	endOfLine = []byte("\r\n")
	endOfHead = []byte("\r\n\r\n")
)

// framing says where a request ends.
type framing int

const (
	// ambiguous requests may end anywhere. Their bodies are chunked, or another parser
	// might read their heads differently.
	ambiguous framing = iota
	// sized requests have a body of a known length, which may be 0.
	sized
	// plain requests have no body and may run concurrently with others.
	plain
)

// headLength returns the length of the head at the beginning of text, or 0 if it is
// incomplete.
func headLength(text []byte) int {
	at := bytes.Index(text, endOfHead)
	if at < 0 {
		return 0
	}
	return at + len(endOfHead)
}

// classify returns the framing of the request with the given complete head, and the length
// of its body in bytes. It is strict: if a lenient parser might see the end of a line or
// another field somewhere, the request is ambiguous. This guards against request smuggling.
func classify(head []byte) (framing, int64) {
	head = head[:len(head)-len(endOfLine)]
	line, rest, _ := bytes.Cut(head, endOfLine)
	isPlain, ok := classifyRequestLine(line)
	if !ok {
		return ambiguous, 0
	}
	length, hosts := int64(-1), 0
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, endOfLine)
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) || bytes.ContainsAny(value, "\r\n") {
			return ambiguous, 0
		}
		switch {
		case equalFold(name, "Content-Length"):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
			if err != nil || length >= 0 {
				return ambiguous, 0
			}
			length = int64(n)
		case equalFold(name, "Host"):
			hosts++
		case equalFold(name, "Transfer-Encoding"), equalFold(name, "Trailer"):
			return ambiguous, 0
		case equalFold(name, "Connection"):
			isPlain = isPlain && equalFold(bytes.TrimSpace(value), "keep-alive")
		case equalFold(name, "Upgrade"), equalFold(name, "Expect"):
			isPlain = false
		}
	}
	if length < 0 && isPlain && hosts == 1 {
		return plain, 0
	}
	return sized, max(length, 0)
}

// classifyRequestLine reports whether a request line has a method without a body, and
// whether it is a valid request line of HTTP/1.1.
func classifyRequestLine(line []byte) (isPlain, ok bool) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	uri, protocol, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(method) || len(uri) == 0 || string(protocol) != "HTTP/1.1" {
		return false, false
	}
	for _, c := range uri {
		if c <= ' ' || c == 0x7f {
			return false, false
		}
	}
	return string(method) == "GET" || string(method) == "HEAD", true
}

// equalFold reports whether text is word, ignoring case.
func equalFold(text []byte, word string) bool { return bytes.EqualFold(text, []byte(word)) }

// isToken reports whether text is a token according to RFC 9110, section 5.6.2.
func isToken(text []byte) bool {
	for _, c := range text {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

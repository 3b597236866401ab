package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrHead is wrapped by the errors for heads that are not valid.
var ErrHead = errors.New("httpconn: invalid head of a response")

const (
	// minStatus and maxStatus are the bounds of valid status codes (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	// maxQuotedBytes bounds the part of a line that an error quotes.
	maxQuotedBytes = 64
)

// checkHead checks the head of a response, which ends with a blank line. It reports whether the response is an interim
// one. The checks are those that net/http does not make, or makes too late, when the response has been interpreted:
//
//   - The version is HTTP/1.x, and the status code has three digits, from 100 to 599 (RFC 9112, section 4). It is not
//     101, which no request here asks for.
//   - A line is not folded, and the name of a field is a token, directly followed by a colon (RFC 9112, section 5).
//     A blank otherwise hides a field that frames the body.
//   - A body is not framed twice, by its length and in chunks, and not in chunks in HTTP/1.0 (RFC 9112, sections 6.1
//     and 6.3). One of the two readings is then not the body that was sent.
func checkHead(head []byte) (interim bool, err error) {
	line, rest := cutLine(head)
	minor, status, err := parseStatusLine(line)
	if err != nil {
		return false, err
	}
	var chunked, sized bool
	for line, rest = cutLine(rest); len(line) > 0; line, rest = cutLine(rest) {
		name, err := fieldName(line)
		if err != nil {
			return false, err
		}
		chunked = chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		sized = sized || bytes.EqualFold(name, []byte("Content-Length"))
	}
	switch {
	case chunked && sized:
		return false, fmt.Errorf("%w: body with a length and a transfer encoding", ErrHead)
	case chunked && minor == 0:
		return false, fmt.Errorf("%w: transfer encoding in HTTP/1.0", ErrHead)
	}
	return status < http.StatusOK, nil
}

// cutLine returns the first line of b without its end, and the rest.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// parseStatusLine returns the minor version of the protocol and the status code.
func parseStatusLine(line []byte) (minor, status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	digit, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(digit) != 1 || !isDigits(digit) {
		return 0, 0, invalid("version", line)
	}
	if len(code) != 3 || !isDigits(code) {
		return 0, 0, invalid("status", line)
	}
	status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, 0, invalid("status", line)
	}
	return int(digit[0] - '0'), status, nil
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// fieldName returns the name of the field on a line.
func fieldName(line []byte) ([]byte, error) {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return nil, invalid("field", line)
	}
	for _, c := range name {
		if !isTokenByte(c) {
			return nil, invalid("field name", line)
		}
	}
	return name, nil
}

// isTokenByte reports whether a byte may be in a token (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
	}
}

// invalid returns the error for an invalid part of a line.
func invalid(part string, line []byte) error {
	return fmt.Errorf("%w: %s in %q", ErrHead, part, line[:min(len(line), maxQuotedBytes)])
}

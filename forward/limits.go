package forward

import (
	"fmt"
	"io"
	"net/http"

	"github.com/rainford/rainford/internal/membudget"
)

const (
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxBodyBytes bounds the body of a response, which is held until it is complete.
	maxBodyBytes = 16 << 20
	// maxFramingBytes bounds what a response may contain beside its head and body, such as the sizes
	// of chunks.
	maxFramingBytes = 4 << 20
)

// errEndless is the error for a head, or the framing of a body, that goes on beyond the longest one.
var errEndless = fmt.Errorf("forward: response goes on without end: %w", membudget.ErrTooLong)

// limitedReader reads from a connection as many bytes as are allowed. After these it returns
// errEndless.
type limitedReader struct {
	r    io.Reader
	left int64
}

// allow sets how many more bytes may be read.
func (l *limitedReader) allow(bytes int64) { l.left = bytes }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errEndless
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// bodyLength returns the length of a response's body, negative if it is not known.
func bodyLength(resp *http.Response) int64 {
	if resp.Body == http.NoBody {
		return 0
	}
	return resp.ContentLength
}

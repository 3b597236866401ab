package membudget

import (
	"errors"
	"io"
)

// firstBuffer is the size in bytes of the first buffer of ReadAll, which is not drawn from the budget:
// what fits into it is read whatever others have drawn.
const firstBuffer = 16 << 10

// minBuffer is the smallest buffer of ReadAll, in bytes.
const minBuffer = 512

// Errors of ReadAll.
var (
	ErrTooLong   = errors.New("membudget: more bytes than allowed")
	ErrExhausted = errors.New("membudget: others use the memory")
)

// ReadAll reads r to its end. Length is the number of bytes that are expected, or negative if it is not
// known; it allocates no memory by itself. ReadAll returns what it has read and ErrTooLong if there are more
// than limit bytes, or ErrExhausted if the lease can't draw a larger buffer. Buffers that larger ones have
// replaced stay drawn, since they take memory until they are collected.
func ReadAll(r io.Reader, length, limit int64, lease *Lease) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	// One byte more than the length leaves room to find the end.
	body := make([]byte, 0, min(max(length+1, minBuffer), firstBuffer))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, ErrTooLong
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		case len(body) < cap(body):
			continue
		}
		size := min(2*int64(cap(body)), limit+1)
		if length >= int64(len(body)) {
			size = min(size, length+1)
		}
		if size > firstBuffer && !lease.Draw(size) {
			return body, ErrExhausted
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		body = grown
	}
}

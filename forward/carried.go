package forward

import (
	"hash/maphash"
	"slices"
)

// maxCarried bounds the number of requests that are sent over one connection, and so the
// memory for their IDs, 4 bytes each.
const maxCarried = 1024

// requestID is the hash of a request ID, or 0 if the request has none.
type requestID uint32

// idSeed is the seed of all hashes of request IDs.
var idSeed = maphash.MakeSeed()

// hashID returns the hash of a request ID, which is not 0 unless the ID is empty. Equal IDs
// have equal hashes. Different ones rarely have, and then use different connections too.
func hashID(id string) requestID {
	if id == "" {
		return 0
	}
	return requestID(maphash.String(idSeed, id)>>32 | 1)
}

// carriedIDs are the IDs of the requests that were sent over a connection. A late response to
// any of them may still arrive on it. A response can only be told by its request ID, so that
// a connection carries no ID twice.
type carriedIDs []requestID

// mayCarry reports whether a request may be sent over the connection. One without an ID may
// only be the first.
func (c carriedIDs) mayCarry(id requestID) bool {
	if id == 0 {
		return len(c) == 0
	}
	return !slices.Contains(c, id)
}

// isSpent reports whether no further request may be sent over the connection.
func (c carriedIDs) isSpent() bool { return len(c) >= maxCarried }

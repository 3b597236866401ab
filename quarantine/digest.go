package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies the content of a request: requests with the same digest make a target do the
// same work. It is the first half of a SHA-256 hash, so that nobody can construct a request with
// the digest of another one. Some digests stand for a client account, see AccountDigest.
type Digest [16]byte

// Content holds the parts of a request that determine a target's work. Headers are left out, since
// they differ between repetitions of a request.
type Content struct {
	// Account is the name of the client account. It is "" for requests without an account, whose
	// callers count as one. The name is part of the digest, so that one account's requests do not
	// cause another account's requests to be held.
	Account string
	Method  string
	Host    string
	// URI is the path including the query.
	URI  string
	Body []byte
}

// Digest returns the digest of the content.
func (c Content) Digest() Digest {
	h := sha256.New()
	for _, field := range []string{c.Account, c.Method, c.Host, c.URI} {
		// The length prefix prevents that contents with other field boundaries have the same
		// digest.
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		h.Write([]byte(field))
	}
	h.Write(c.Body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:len(Digest{})])
}

// printedBytes is the number of bytes that String prints. They are enough to recognize equal
// requests, and too few to confirm a guess at a short body.
const printedBytes = 4

// String returns the abbreviated hexadecimal form of the digest for logs.
func (d Digest) String() string {
	if d.IsAccount() {
		return accountStringPrefix + hex.EncodeToString(d[len(accountDigestPrefix):][:printedBytes])
	}
	return hex.EncodeToString(d[:printedBytes])
}

// accountStringPrefix is the prefix of the printed form of digests that stand for accounts.
const accountStringPrefix = "account-"

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest stands for the content of a request: requests with the same digest make a target do
// the same. It is the first half of a SHA-256, so that nobody can make a request that has
// the digest of another one.
type Digest [16]byte

// Content is what a target is given to work on. Headers are not part of it: repeats of a
// request differ in them.
type Content struct {
	// Account is the name of the client account, "" where there is none: then all callers
	// count as one. The name is part of the digest, so that what one account sends holds
	// back no other.
	Account string
	Method  string
	Host    string
	// URI is the path with the query.
	URI  string
	Body []byte
}

// Digest returns the digest of the content.
func (c Content) Digest() Digest {
	h := sha256.New()
	for _, field := range []string{c.Account, c.Method, c.Host, c.URI} {
		// With its length before it no field can be taken for part of another.
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		h.Write([]byte(field))
	}
	h.Write(c.Body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:len(Digest{})])
}

// printedBytes is how much of a digest is shown: enough to see which requests are alike, and
// too little to confirm a guess at a short body.
const printedBytes = 4

// String returns the form of the digest in logs.
func (d Digest) String() string {
	if d.IsAccount() {
		return accountStringPrefix + hex.EncodeToString(d[len(accountDigestPrefix):][:printedBytes])
	}
	return hex.EncodeToString(d[:printedBytes])
}

// accountStringPrefix begins the form of digests that stand for accounts.
const accountStringPrefix = "account-"

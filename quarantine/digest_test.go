package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDigest checks that contents that differ in one field have different digests, also if the
// concatenation of their fields is the same.
func TestDigest(t *testing.T) {
	base := Content{Account: "ada", Method: "POST", Host: "h.example", URI: "/a/?b=1", Body: []byte("body")}
	seen := map[Digest]Content{base.Digest(): base}
	for _, c := range []Content{
		{Account: "bob", Method: "POST", Host: "h.example", URI: "/a/?b=1", Body: []byte("body")},
		{Account: "ada", Method: "GET", Host: "h.example", URI: "/a/?b=1", Body: []byte("body")},
		{Account: "ada", Method: "POST", Host: "g.example", URI: "/a/?b=1", Body: []byte("body")},
		{Account: "ada", Method: "POST", Host: "h.example", URI: "/a/?b=2", Body: []byte("body")},
		{Account: "ada", Method: "POST", Host: "h.example", URI: "/a/?b=1", Body: []byte("Body")},
		{Account: "ada", Method: "POST", Host: "h.example", URI: "/a/?b=1body"},
		{Account: "adaP", Method: "OST", Host: "h.example", URI: "/a/?b=1", Body: []byte("body")},
	} {
		before, taken := seen[c.Digest()]
		require.False(t, taken, "%+v and %+v", before, c)
		seen[c.Digest()] = c
	}
	require.Equal(t, base.Digest(), Content{Account: "ada", Method: "POST", Host: "h.example", URI: "/a/?b=1", Body: []byte("body")}.Digest())
	require.Len(t, base.Digest().String(), 8)
}

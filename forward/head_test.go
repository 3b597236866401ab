package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// FuzzRequestHead forwards arbitrary request heads of clients. A target must read exactly
// one request, with the account, target name and timeout that the gateway sets, and without
// the credential of the client account.
func FuzzRequestHead(f *testing.F) {
	const secret = "s3cret-key"
	for _, seed := range []string{
		"",
		"Credential: " + secret,
		"credential: " + secret + "\r\nCREDENTIAL: other\r\nTenant: forged",
		"Tenant: a\r\nTenant: b\r\nTimeout-Ms: 9\r\nExpected-Instance: i-9",
		"Connection: Tenant, Credential\r\nCredential: " + secret,
		"Credential: " + secret + "\r\n Tenant: folded",
		"Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nTe: trailers\r\nCredential:\t" + secret + "\t",
		"X-Odd: \"\r\nCookie: a=b; Credential=1",
	} {
		f.Add(seed)
	}
	headers := Headers{RequestID: "Request-Id", Deadline: "Timeout-Ms", Expected: "Expected-Instance", Credential: "Credential", Account: "Tenant"}
	c := NewClient(headers, nil, nil)
	f.Fuzz(func(t *testing.T, lines string) {
		if !strings.Contains(lines, secret) {
			lines += "\r\nCredential: " + secret
		}
		in, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /x/ HTTP/1.1\r\nHost: h.example\r\n" + strings.Trim(lines, "\r\n") + "\r\n\r\n")))
		if err != nil {
			return
		}
		passed := EndToEndHeaders(in.Header)
		head := c.head(&Request{Method: "GET", URI: "/x/", Host: "h.example", Header: passed, ID: "q", Account: "ada", Target: "i-1#7", TargetName: "i-1", Timeout: time.Second})
		reader := bufio.NewReader(bytes.NewReader(head))
		out, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatalf("the head is not a request: %v in %q", err, head)
		}
		if _, err := reader.ReadByte(); err == nil {
			t.Fatalf("bytes follow the request: %q", head)
		}
		for name, want := range map[string][]string{
			headers.Account: {"ada"}, headers.Credential: nil, headers.Expected: {"i-1"}, headers.Deadline: {"1000"},
		} {
			if got := out.Header.Values(name); !slices.Equal(got, want) {
				t.Fatalf("%s is %q, want %q, in %q", name, got, want, head)
			}
		}
	})
}

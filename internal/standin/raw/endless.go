package raw

import "strings"

// EndlessResponse is a response that goes on until the connection is closed.
type EndlessResponse struct {
	Name string
	// Begin is what it begins with, and More what follows again and again.
	Begin, More string
}

// EndlessResponses returns responses without end, the bodies of which are objects in JSON so far. The field lines must
// each end with "\r\n".
func EndlessResponses(status, fields string) []EndlessResponse {
	head := "HTTP/1.1 " + status + "\r\n" + fields
	filler := strings.Repeat("x", chunk)
	return []EndlessResponse{
		{"body until close", head + "\r\n" + `{"key":"`, filler},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n8\r\n" + `{"key":"` + "\r\n", "1000\r\n" + filler + "\r\n"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1000;", filler},
		{"long length", head + "Content-Length: 1000000000000000\r\n\r\n" + `{"key":"`, filler},
		{"blanks", head + "\r\n", strings.Repeat(" ", chunk)},
		{"header line", head + "A: ", filler},
		{"header lines", head, "A: " + filler[:60] + "\r\n"},
		{"status line", "HTTP/1.1 200 ", filler},
		{"no response", "", filler},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
}

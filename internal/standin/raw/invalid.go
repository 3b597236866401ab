package raw

import "fmt"

// InvalidResponse is a response that is no valid message of HTTP/1.1.
type InvalidResponse struct {
	// Name states what is wrong.
	Name string
	// Bytes are what the server sends.
	Bytes string
	// AfterInterim is set if a valid interim response comes first.
	AfterInterim bool
}

// InvalidResponses returns responses with the given field lines, each of which must end with "\r\n", and the given
// body. But for what its name says, each is valid, and most are a success.
func InvalidResponses(fields, body string) []InvalidResponse {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	var out []InvalidResponse
	add := func(name, head, body string) {
		out = append(out, InvalidResponse{Name: name, Bytes: head + "\r\n" + body})
	}
	for _, status := range []string{"000", "001", "099", "+20", "-00", "+99", "101", "600", "999", "20", "2000", "2x0", ""} {
		add("status "+status, "HTTP/1.1 "+status+" OK\r\n"+fields+length, body)
	}
	for _, version := range []string{"HTTP/2.0", "HTTP/9.9", "HTTP/0.9", "HTTP/1.10", "HTTP/1", "http/1.1", "ICY", ""} {
		add("version "+version, version+" 200 OK\r\n"+fields+length, body)
	}
	lines := map[string]string{
		"name with a blank":           "A b: 1\r\n",
		"name that ends with a blank": "A : 1\r\n",
		"name that ends with a tab":   "A\t: 1\r\n",
		"name with a control byte":    "A\x01b: 1\r\n",
		"name with a delete byte":     "A\x7f: 1\r\n",
		"name with a zero byte":       "A\x00: 1\r\n",
		"name with a carriage return": "A\r: 1\r\n",
		"name with a delimiter":       "A(b): 1\r\n",
		"name beyond ASCII":           "\u00c4: 1\r\n",
		"empty name":                  ": 1\r\n",
		"no colon":                    "A\r\n",
		"value with a control byte":   "A: \x01\r\n",
		"value with a zero byte":      "A: 1\x002\r\n",
		"folded line":                 "A: 1\r\n 2\r\n",
		"line folded with a tab":      "A: 1\r\n\t2\r\n",
		"line of blanks":              "A: 1\r\n  \r\n",
		"length folded into a value":  "A: 1\r\n Content-Length: 4\r\n",
		"mark with a blank":           "Not Executed: 1\r\n",
	}
	for name, line := range lines {
		add(name+", first", "HTTP/1.1 200 OK\r\n"+line+fields+length, body)
		add(name+", last", "HTTP/1.1 200 OK\r\n"+fields+length+line, body)
	}
	add("first line folded", "HTTP/1.1 200 OK\r\n A: 1\r\n"+fields+length, body)
	add("length behind a blank", "HTTP/1.1 200 OK\r\n"+fields+fmt.Sprintf("Content-Length : %d\r\n", len(body)), body+"junk")
	add("chunks behind a blank", "HTTP/1.1 200 OK\r\n"+fields+"Transfer-Encoding : chunked\r\n", chunked)
	add("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+fields+"Transfer-Encoding: chunked\r\n", chunked)
	add("length and chunks", "HTTP/1.1 200 OK\r\n"+fields+length+"Transfer-Encoding: chunked\r\n", chunked)
	add("chunks and length", "HTTP/1.1 200 OK\r\n"+fields+"transfer-encoding: chunked\r\n"+length, chunked)
	add("interim with a blank in a name", "HTTP/1.1 103 Early Hints\r\nA b: 1\r\n\r\nHTTP/1.1 200 OK\r\n"+fields+length, body)
	add("interim status 099", "HTTP/1.1 099 No\r\n\r\nHTTP/1.1 200 OK\r\n"+fields+length, body)
	add("after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA b: 1\r\n"+fields+length, body)
	out[len(out)-1].AfterInterim = true
	add("empty line first", "\r\nHTTP/1.1 200 OK\r\n"+fields+length, body)
	add("no HTTP", "@@ not http @@\r\n", body)
	return out
}

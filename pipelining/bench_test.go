package pipelining_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rainford/rainford/pipelining"
)

// BenchmarkRequest measures sequential requests on one connection, which most clients send,
// with and without a Listener. It includes the cost of the client.
func BenchmarkRequest(b *testing.B) {
	for _, ahead := range []bool{false, true} {
		b.Run(fmt.Sprint("ahead=", ahead), func(b *testing.B) {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if pipelining.AwaitStart(r, true) != nil || pipelining.ClientGone(r) {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "ok")
			})}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			addr := ln.Addr().String()
			if ahead {
				ln = pipelining.NewListener(server, ln, defaultLimits)
			}
			go func() { _ = server.Serve(ln) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			request := []byte("GET /x/y HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 9c41d07be2a35f68\r\nAffinity-Key: 17\r\nTimeout-Ms: 3000\r\n\r\n")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}

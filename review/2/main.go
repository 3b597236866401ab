//go:build review

// Command 2 sends pipelined requests whose answers contain the text of a header that closes a connection, and
// compares each answer with the server's.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/review/harness"
)

const (
	host    = "jepu9.example"
	rounds  = 20
	timeout = 3 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := harness.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return harness.NotRun
	}
	defer record.Close()
	harness.Bounds["retryBudgetSlack"] = "174"
	zones := []harness.Zone{{Name: "fukuoka-a", Region: "fukuoka"}, {Name: "kumamoto-a", Region: "kumamoto"}}
	cluster, err := harness.New(os.Args[1], record, zones, nil)
	if err != nil {
		record.Print("could not run: %v", err)
		return harness.NotRun
	}
	defer cluster.Stop()
	for i, z := range zones {
		server, err := harness.StartServer(record, fmt.Sprintf("127.0.0.%d", 101+i), &harness.Server{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Service: "huvo11a", Zone: z.Name, Slots: 3, Queue: 9,
			Decide: func(r *http.Request, _ bool) harness.Reply {
				work := 60 * time.Millisecond
				if strings.HasSuffix(r.RequestURI, "/log") {
					work = 30 * time.Millisecond
				}
				return harness.Reply{Work: work, Body: body(r.RequestURI)}
			},
		})
		if err != nil {
			record.Print("could not run: %v", err)
			return harness.NotRun
		}
		cluster.Store.SetServer(server.ID, server.Entry(objects.Ready))
	}
	cluster.Store.Configure(objects.Configuration{
		Version: "r7",
		Routes: map[string]objects.Route{"r-exd9dnn": {Host: host, PathPrefix: "/lepu270/", RouteType: "idempotent", Timeout: "2000ms",
			TargetLatency: "400ms", Priority: 2, Service: "huvo11a", MaxAttempts: 2}},
		Services: map[string]objects.Service{"huvo11a": {HealthCheckPath: "/health", MaxConnections: 1380, Warmup: "3s", WarmupPerS: 11}},
		Limits:   objects.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"},
	})
	if err = cluster.Start(); err != nil {
		record.Print("could not run: %v", err)
		return harness.NotRun
	}
	time.Sleep(4 * time.Second)
	return judge(record, cluster, os.Getenv("TROUBLE") != "0")
}

// body returns the body that the servers send for a path. A path that ends in "/log" names a saved exchange
// of a client, as text.
func body(path string) []byte {
	if !strings.HasSuffix(path, "/log") {
		return []byte("picture data of " + path)
	}
	var out bytes.Buffer
	for i := 0; out.Len() < 6000; i++ {
		fmt.Fprintf(&out, "line %04d of the saved exchange %s\r\n", i, path)
	}
	out.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: image/jpeg\r\n")
	for i := 0; out.Len() < 8000; i++ {
		fmt.Fprintf(&out, "line %04d behind the head\r\n", i)
	}
	return out.Bytes()
}

// judge sends pairs of requests on kept connections and returns the exit code.
func judge(record *harness.Record, cluster *harness.Cluster, pipelined bool) int {
	wrong, answered := 0, 0
	for round := range rounds {
		m := cluster.Machines[round%len(cluster.Machines)]
		pair := []harness.Request{
			{ID: fmt.Sprintf("9c41d07be2a3%04x", 2*round), Method: http.MethodGet, Host: host, Path: fmt.Sprintf("/lepu270/%d/log", round), Timeout: timeout},
			{ID: fmt.Sprintf("9c41d07be2a3%04x", 2*round+1), Method: http.MethodGet, Host: host, Path: fmt.Sprintf("/lepu270/%d/picture", round), Timeout: timeout},
		}
		conn, err := harness.Dial(m.Front())
		if err != nil {
			record.Print("could not run: %v", err)
			return harness.NotRun
		}
		if pipelined {
			record.Add("sent on one connection to %s before any answer: %s %s, then %s %s", m.Name, pair[0].ID, pair[0].Path, pair[1].ID, pair[1].Path)
			_, _ = conn.Write(append(pair[0].Encode(), pair[1].Encode()...))
		}
		for _, r := range pair {
			if !pipelined {
				record.Add("sent to %s: %s %s", m.Name, r.ID, r.Path)
				_, _ = conn.Write(r.Encode())
			}
			resp, err := conn.ReadResponse(r.Method, time.Now().Add(timeout))
			problem := compare(r, resp, err)
			record.Add("answer in the place of %s: status %d, id %q, signature %q, body of %d bytes, server's %d; error %v; %s",
				r.ID, resp.Status, resp.ID, resp.Signature, len(resp.Body), len(body(r.Path)), err, problem)
			switch {
			case problem != "":
				wrong++
			case resp.Status == http.StatusOK:
				answered++
			}
			if err != nil {
				break
			}
		}
		_ = conn.Close()
	}
	record.Print("%d requests, %d answered whole and right, %d answers that are not the server's (MIXED)", 2*rounds, answered, wrong)
	switch {
	case wrong > 0:
		return harness.Broken
	case answered < rounds:
		record.Print("could not run: too few answers")
		return harness.NotRun
	default:
		return harness.Held
	}
}

// compare returns why an answer breaks the rule, or "". A refusal or a failure does not.
func compare(r harness.Request, resp harness.Response, err error) string {
	switch {
	case resp.Status == 0 && err != nil && strings.Contains(err.Error(), "malformed"):
		return "BROKEN: bytes that are not an answer"
	case resp.Status == 0 || resp.Status/100 != 2:
		return ""
	case resp.ID != r.ID:
		return "BROKEN: the answer belongs to another request"
	case resp.Signature == "":
		return "BROKEN: a success without the signature"
	case err == nil && !bytes.Equal(resp.Body, body(r.Path)):
		return fmt.Sprintf("BROKEN: a complete success whose body differs from the server's at byte %d", differsAt(resp.Body, body(r.Path)))
	default:
		return ""
	}
}

func differsAt(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

//go:build review

// Command 1 posts payments to servers that are full now and then, and that send some of their rejections a
// second time, late. It looks for requests that have run although the client was told that they never will.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/review/harness"
)

const (
	host    = "hulo84.example"
	timeout = 4 * time.Second
	// The way between two regions of the site takes 35 ms.
	oneWay = 35 * time.Millisecond
	// surplusAfter is how long after a rejection a faulty server sends it once more.
	surplusAfter = 30 * time.Millisecond
	// maxSurplus is the largest part of the answers of a server that are sent a second time.
	maxSurplus = 0.06
	playTime   = 25 * time.Second
	// meanGap is the mean time between two payments.
	meanGap = 15 * time.Millisecond
)

func main() { os.Exit(run()) }

// surplus decides which rejections are sent a second time.
type surplus struct {
	mu            sync.Mutex
	answers, sent int
}

func (s *surplus) next(rejection bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if !rejection || float64(s.sent+1) > maxSurplus*float64(s.answers) {
		return 0
	}
	s.sent++
	return surplusAfter
}

func run() int {
	record, err := harness.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return harness.NotRun
	}
	defer record.Close()
	zones := []harness.Zone{{Name: "accra-a", Region: "accra"}, {Name: "accra-b", Region: "accra"}, {Name: "kumasi-a", Region: "kumasi"}}
	cluster, err := harness.New(os.Args[1], record, zones, nil)
	if err != nil {
		record.Print("could not run: %v", err)
		return harness.NotRun
	}
	defer cluster.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	var servers []*harness.Server
	for i := range 3 {
		faulty := &surplus{}
		server, err := harness.StartServer(record, "127.0.0.101", &harness.Server{
			ID: fmt.Sprintf("i-02d9e6b%d", i), Service: "wuno96b", Zone: "kumasi-a", Slots: 6, Queue: 2,
			Decide: func(_ *http.Request, full bool) harness.Reply {
				reply := harness.Reply{Work: time.Duration(150+rand.IntN(150)) * time.Millisecond, Body: []byte("receipt")}
				if after := faulty.next(full); trouble {
					reply.SurplusAfter = after
				}
				return reply
			},
		})
		if err != nil {
			record.Print("could not run: %v", err)
			return harness.NotRun
		}
		entry := server.Entry(objects.Ready)
		entry.Address, err = harness.Delay("127.0.0.102", server.Addr(), oneWay)
		if err != nil {
			record.Print("could not run: %v", err)
			return harness.NotRun
		}
		cluster.Store.SetServer(server.ID, entry)
		servers = append(servers, server)
	}
	cluster.Store.Configure(objects.Configuration{
		Version: "r7",
		Routes: map[string]objects.Route{"r-2ctnfzs": {Host: host, PathPrefix: "/xapu221/ny95/", RouteType: "non_idempotent", Timeout: "2500ms",
			TargetLatency: "600ms", Priority: 1, Service: "wuno96b", MaxAttempts: 2, StickySessions: true}},
		Services: map[string]objects.Service{"wuno96b": {HealthCheckPath: "/health", MaxConnections: 390, Warmup: "3s", WarmupPerS: 11}},
		Limits:   objects.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"},
	})
	if err = cluster.Start(); err != nil {
		record.Print("could not run: %v", err)
		return harness.NotRun
	}
	time.Sleep(4 * time.Second)
	p := &payments{record: record, answers: make(map[string]int), idle: make(map[string][]idleConn)}
	p.play(cluster.Machines[:2])
	time.Sleep(2 * time.Second)
	return p.judge(servers)
}

// payments are the requests of the clients, with the statuses of their answers by ID, 0 for none.
type payments struct {
	record *harness.Record

	mu      sync.Mutex
	answers map[string]int
	idle    map[string][]idleConn
	next    int
}

// play sends payments to the machines, at random times.
func (p *payments) play(machines []*harness.Machine) {
	var sending sync.WaitGroup
	for end := time.Now().Add(playTime); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanGap)))
		m := machines[rand.IntN(len(machines))]
		sending.Go(func() { p.pay(m) })
	}
	sending.Wait()
}

// pay sends one payment on a kept connection. The client repeats it once, with an ID of the new attempt, if it
// was told that the first attempt did not run.
func (p *payments) pay(m *harness.Machine) {
	p.mu.Lock()
	p.next++
	number := p.next
	p.mu.Unlock()
	deadline := time.Now().Add(timeout)
	for try := range 2 {
		id := fmt.Sprintf("%012x%04x", number, try)
		resp, err := p.attempt(m, harness.Request{ID: id, Method: http.MethodPost, Host: host, Path: "/xapu221/ny95/2f", Key: fmt.Sprint(number % 26),
			Timeout: time.Until(deadline), Body: bytes.Repeat([]byte("rent"), 500)})
		p.record.Add("payment %d, request %s: answer %d, signature %q, %v", number, id, resp.Status, resp.Signature, err)
		p.mu.Lock()
		p.answers[id] = resp.Status
		p.mu.Unlock()
		if err != nil || !isPromise(resp.Status) {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (p *payments) attempt(m *harness.Machine, r harness.Request) (harness.Response, error) {
	conn, err := p.take(m)
	if err != nil {
		return harness.Response{}, err
	}
	p.record.Add("request %s sent to %s", r.ID, m.Name)
	resp, err := conn.Do(r)
	if err != nil || resp.Close {
		_ = conn.Close()
		return resp, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[m.Name] = append(p.idle[m.Name], idleConn{conn, time.Now()})
	return resp, nil
}

// idleConn is a kept connection and the time since which it rests.
type idleConn struct {
	*harness.Conn
	since time.Time
}

// maxRest is four fifths of the idle timeout, the longest rest after which clients take up a connection.
const maxRest = 12 * time.Second

func (p *payments) take(m *harness.Machine) (*harness.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[m.Name]
	if len(list) == 0 || time.Since(list[len(list)-1].since) > maxRest {
		return harness.Dial(m.Front())
	}
	conn := list[len(list)-1].Conn
	p.idle[m.Name] = list[:len(list)-1]
	return conn, nil
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// judge compares the answers with what the servers have run, and returns the exit code.
func (p *payments) judge(servers []*harness.Server) int {
	runs := make(map[string]int)
	for _, s := range servers {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses := make(map[int]int)
	refused, twice := 0, 0
	for id, status := range p.answers {
		statuses[status]++
		if isPromise(status) && runs[id] > 0 {
			refused++
			p.record.Print("REFUSED broken: request %s was answered %d and has run %d times", id, status, runs[id])
		}
		if runs[id] > 1 {
			twice++
			p.record.Print("TWICE broken: request %s has run %d times", id, runs[id])
		}
	}
	p.record.Print("%d requests, by status %v; answered with a promise, yet run: %d; run twice: %d", len(p.answers), statuses, refused, twice)
	switch {
	case refused+twice > 0:
		return harness.Broken
	case statuses[http.StatusOK] < len(p.answers)/2:
		p.record.Print("could not run: too few answers")
		return harness.NotRun
	default:
		return harness.Held
	}
}

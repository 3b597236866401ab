package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

const (
	clientTimeout  = 3 * time.Second
	connectTimeout = time.Second
	lookupTimeout  = time.Second
	lookupLife     = time.Second
	// thinkTime bounds the pause of a client between two requests.
	thinkTime    = 60 * time.Millisecond
	probeEvery   = 200 * time.Millisecond
	leaveOneIn   = 25
	objectsCount = 12
)

// client resolves the addresses of instances, keeps connections open, and sends one request at
// a time.
type client struct {
	site    *site
	place   place
	account account
	rnd     *rand.Rand
	http    *http.Client
	addrs   []string
	until   time.Time
	failed  map[string]bool
}

func newClient(s *site, p place, acct account, seed uint64) *client {
	c := &client{site: s, place: p, account: acct, rnd: rand.New(rand.NewPCG(seed, 7)), failed: make(map[string]bool)}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, DialContext: c.dial}}
	return c
}

// dial opens a connection and records the time. Opening one to an instance without power times out.
func (c *client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if in := c.site.instanceAt(addr); in != nil && in.front.current() == Off {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return timedConn{Conn: conn, at: time.Now()}, nil
}

// timedConn is a connection with the time at which it was opened.
type timedConn struct {
	net.Conn
	at time.Time
}

// noteConn returns a context that records the time at which the attempt's connection was
// opened.
func (c *client) noteConn(ctx context.Context, a *attempt) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if opened, ok := info.Conn.(timedConn); ok {
			c.site.oracle.noteConnection(a, opened.at)
		}
	}})
}

func (c *client) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for ctx.Err() == nil {
		c.request(ctx)
		time.Sleep(time.Duration(c.rnd.Int64N(int64(thinkTime))))
	}
}

// lookup refreshes the client's addresses if they have expired. It queries up to three
// instances.
func (c *client) lookup(ctx context.Context) {
	if time.Now().Before(c.until) && len(c.addrs) > 0 {
		return
	}
	for range 3 {
		in := c.site.instances[c.rnd.IntN(len(c.site.instances))]
		addrs, err := c.resolve(ctx, in)
		if err == nil && len(addrs) > 0 {
			c.addrs, c.until = addrs, time.Now().Add(lookupLife)
			clear(c.failed)
			return
		}
	}
}

func (c *client) resolve(ctx context.Context, in *instance) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/resolve?name=soak.example&region=%s&zone=%s", in.lookup, c.place.region, c.place.hall)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}

func (c *client) pick() string {
	var good []string
	for _, addr := range c.addrs {
		if !c.failed[addr] {
			good = append(good, addr)
		}
	}
	if len(good) == 0 {
		good = c.addrs
	}
	if len(good) == 0 {
		return ""
	}
	return good[c.rnd.IntN(len(good))]
}

// request sends one request, and retries it once if the answer permits it.
func (c *client) request(ctx context.Context) {
	kind := c.rnd.IntN(10)
	path, method, size := "/read/", http.MethodGet, 0
	switch {
	case kind == 9:
		path, method, size = "/up/", http.MethodPost, 1000+c.rnd.IntN(200_000)
	case kind >= 6:
		path, method, size = "/pay/", http.MethodPost, 1+c.rnd.IntN(4000)
	case kind == 5:
		path = "/home/"
	}
	body := bytes.Repeat([]byte{byte('a' + kind)}, size)
	uri := path + strconv.Itoa(c.rnd.IntN(1000)) + "//%2fx?q=" + strconv.Itoa(kind)
	deadline := time.Now().Add(clientTimeout)
	for n := range 2 {
		c.lookup(ctx)
		addr := c.pick()
		if addr == "" {
			return
		}
		retry, after := c.attempt(ctx, addr, method, uri, body, deadline, n > 0)
		if !retry || time.Until(deadline) < 2*after || ctx.Err() != nil {
			return
		}
		time.Sleep(after)
	}
}

// attempt sends one attempt. It reports whether the client may retry, and after what time.
func (c *client) attempt(ctx context.Context, addr, method, uri string, body []byte, deadline time.Time, repeated bool) (bool, time.Duration) {
	a := c.site.oracle.begin(c.site.instanceAt(addr), method, uri, body)
	a.account, a.key, a.hot = c.account.name, c.site.keys.use(c.account.name), c.account.hot
	a.repeated, a.clientHall = repeated, c.place.hall
	leaves := c.rnd.IntN(leaveOneIn) == 0
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if leaves {
		timer := time.AfterFunc(time.Duration(c.rnd.IntN(60))*time.Millisecond, func() {
			c.site.oracle.left(a)
			cancel()
		})
		defer timer.Stop()
	}
	req, err := http.NewRequestWithContext(c.noteConn(ctx, a), method, "http://"+addr+uri, bytes.NewReader(body))
	if err != nil {
		return false, 0
	}
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Credential", a.key)
	req.Header.Set("Tenant", "forged")
	req.Header.Set("Affinity-Key", strconv.Itoa(c.rnd.IntN(objectsCount)))
	req.Header.Set("Timeout-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed[addr] = true
		c.site.oracle.finish(a, result{err: err})
		return a.retryable(), 0
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.site.oracle.finish(a, result{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err})
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	after := time.Duration(seconds * float64(time.Second))
	promise := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return err == nil && (promise || (a.retryable() && resp.StatusCode >= 500)), after
}

// instanceAt returns the instance that advertises an address, or nil.
func (s *site) instanceAt(addr string) *instance {
	for _, in := range s.instances {
		if in.front.addr() == addr {
			return in
		}
	}
	return nil
}

// probe requests from each instance, every probeEvery, the route of the newest configuration
// version that must be in force. The answer shows whether the instance applies that version.
func (s *site) probe(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
	for ctx.Err() == nil {
		for _, in := range s.instances {
			version := s.oracle.requiredVersion(time.Now())
			group.Add(1)
			go func() {
				defer group.Done()
				s.probeOne(ctx, c, in, version)
			}()
		}
		time.Sleep(probeEvery)
	}
}

func (s *site) probeOne(ctx context.Context, c *http.Client, in *instance, version int) {
	uri := fmt.Sprintf("/v%d/", version)
	a := s.oracle.begin(in, http.MethodGet, uri, nil)
	a.probe = version
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.listen+uri, nil)
	if err != nil {
		return
	}
	req.Host = "soak.example"
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Timeout-Ms", "2000")
	resp, err := c.Do(req)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			s.oracle.left(a)
		}
		s.oracle.finish(a, result{err: err})
		return
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	s.oracle.finish(a, result{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err})
}

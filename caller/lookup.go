package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/protocol"
)

// choose returns the next instance to try.
func (c *Client) choose(ctx context.Context, service string, tried map[string]bool) (lookup.Instance, error) {
	l, err := c.instances(ctx, service)
	if err != nil {
		return lookup.Instance{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var late *lookup.Instance
	for i, e := range l.response.Instances {
		if tried[e.ID] {
			continue
		}
		if now.Before(l.unreachableUntil[e.ID]) {
			if late == nil {
				late = &l.response.Instances[i]
			}
			continue
		}
		return e, nil
	}
	if late != nil {
		return *late, nil
	}
	return lookup.Instance{}, &NotRunError{local: true, Reason: protocol.ReasonUnreachable, Detail: "no instance answers", RetryAfter: time.Second}
}

// instances returns the cached answer, or asks for a new one.
func (c *Client) instances(ctx context.Context, service string) (*cachedLookup, error) {
	c.mu.Lock()
	l := c.lookups[service]
	addrs := c.lookupAddrs(l)
	c.mu.Unlock()
	if l != nil && time.Since(l.fetchedAt) < time.Duration(l.response.TTLMillis)*time.Millisecond {
		return l, nil
	}
	var last error
	for _, addr := range addrs {
		answer, err := c.fetchLookup(ctx, addr, service)
		if err == nil {
			return c.cacheLookup(service, l, answer), nil
		}
		last = err
	}
	if l != nil && time.Since(l.fetchedAt) < staleFactor*time.Duration(l.response.TTLMillis)*time.Millisecond {
		return l, nil
	}
	return nil, &NotRunError{local: true, Reason: protocol.ReasonUnreachable, Detail: fmt.Sprintf("no instance answers a look-up: %v", last), RetryAfter: time.Second}
}

// lookupAddrs returns the instances of the last answer, then the bootstrap
// addresses.
func (c *Client) lookupAddrs(l *cachedLookup) []string {
	var out []string
	if l != nil {
		for _, e := range l.response.Instances {
			out = append(out, e.Addr)
		}
	}
	return append(out, c.config.Bootstrap...)
}

func (c *Client) cacheLookup(service string, old *cachedLookup, answer lookup.Response) *cachedLookup {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &cachedLookup{response: answer, fetchedAt: time.Now(), unreachableUntil: make(map[string]time.Time)}
	if old != nil {
		l.unreachableUntil = old.unreachableUntil
	}
	c.lookups[service] = l
	return l
}

func (c *Client) fetchLookup(ctx context.Context, addr, service string) (lookup.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer lookup.Response
	query := url.Values{"service": {service}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+protocol.LookupPath+"?"+query.Encode(), nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("caller: look-up at %s: status %d", addr, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxJSONBytes)).Decode(&answer)
	if err == nil && len(answer.Instances) == 0 {
		err = fmt.Errorf("caller: look-up at %s: no instance", addr)
	}
	return answer, err
}

// Lookup returns the instances that the client would use, in order.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Response, error) {
	l, err := c.instances(ctx, service)
	if err != nil {
		return lookup.Response{}, err
	}
	return l.response, nil
}

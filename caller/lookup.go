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

// choose returns the first instance of the service's look-up that was not tried yet. Instances that
// could not be reached lately come last.
func (c *Client) choose(ctx context.Context, service string, tried map[string]bool) (lookup.Instance, error) {
	cached, err := c.instances(ctx, service)
	if err != nil {
		return lookup.Instance{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var unreachable *lookup.Instance
	for i, e := range cached.response.Instances {
		if tried[e.ID] {
			continue
		}
		if now.Before(cached.unreachableUntil[e.ID]) {
			if unreachable == nil {
				unreachable = &cached.response.Instances[i]
			}
			continue
		}
		return e, nil
	}
	if unreachable != nil {
		return *unreachable, nil
	}
	return lookup.Instance{}, &NotRunError{local: true, Reason: protocol.ReasonUnreachable, Detail: "no instance answers", RetryAfter: time.Second}
}

// instances returns the cached look-up of a service, or makes a new one if the TTL has passed. If no
// instance answers, it returns the cached one until it is too old.
func (c *Client) instances(ctx context.Context, service string) (*cachedLookup, error) {
	c.mu.Lock()
	cached := c.lookups[service]
	addrs := c.lookupAddrs(cached)
	c.mu.Unlock()
	if cached != nil && time.Since(cached.fetchedAt) < time.Duration(cached.response.TTLMillis)*time.Millisecond {
		return cached, nil
	}
	var lastErr error
	for _, addr := range addrs {
		response, err := c.fetchLookup(ctx, addr, service)
		if err == nil {
			return c.cacheLookup(service, cached, response), nil
		}
		lastErr = err
	}
	if cached != nil && time.Since(cached.fetchedAt) < staleFactor*time.Duration(cached.response.TTLMillis)*time.Millisecond {
		return cached, nil
	}
	return nil, &NotRunError{local: true, Reason: protocol.ReasonUnreachable, Detail: fmt.Sprintf("no instance answers a look-up: %v", lastErr), RetryAfter: time.Second}
}

// lookupAddrs returns the addresses to send a look-up to: those of the instances in the cached
// look-up, then the bootstrap addresses.
func (c *Client) lookupAddrs(cached *cachedLookup) []string {
	var out []string
	if cached != nil {
		for _, e := range cached.response.Instances {
			out = append(out, e.Addr)
		}
	}
	return append(out, c.config.Bootstrap...)
}

// cacheLookup caches the response of a look-up. It keeps the record of unreachable instances.
func (c *Client) cacheLookup(service string, previous *cachedLookup, response lookup.Response) *cachedLookup {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := &cachedLookup{response: response, fetchedAt: time.Now(), unreachableUntil: make(map[string]time.Time)}
	if previous != nil {
		cached.unreachableUntil = previous.unreachableUntil
	}
	c.lookups[service] = cached
	return cached
}

// fetchLookup sends a look-up to one instance. A response without instances is an error.
func (c *Client) fetchLookup(ctx context.Context, addr, service string) (lookup.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var response lookup.Response
	query := url.Values{"service": {service}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+protocol.LookupPath+"?"+query.Encode(), nil)
	if err != nil {
		return response, err
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return response, fmt.Errorf("caller: look-up at %s: status %d", addr, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxJSONBytes)).Decode(&response)
	if err == nil && len(response.Instances) == 0 {
		err = fmt.Errorf("caller: look-up at %s: no instance", addr)
	}
	return response, err
}

// Lookup returns the instances that the client uses for a service, in order of
// preference.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Response, error) {
	cached, err := c.instances(ctx, service)
	if err != nil {
		return lookup.Response{}, err
	}
	return cached.response, nil
}

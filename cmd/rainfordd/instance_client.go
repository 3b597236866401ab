package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rainford/rainford/internal/httpconn"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/resolver"
)

const (
	// askTimeout bounds one request to an instance, and fetchTimeout all requests of one fetch. A
	// client waits for one second for its response.
	askTimeout   = 200 * time.Millisecond
	fetchTimeout = 600 * time.Millisecond
	// fetchRoundInterval is the time between two rounds of a fetch.
	fetchRoundInterval = 50 * time.Millisecond
	// maxResponseBytes bounds the body of an instance's response, which has up to 64 addresses.
	maxResponseBytes = 16 << 10
	// connBufferBytes is the size of the buffers of a connection to an instance.
	connBufferBytes = 2 << 10
	// instanceIdleTimeout is how long an unused connection to an instance is kept.
	instanceIdleTimeout = 10 * time.Second
)

// instanceClient sends look-ups to instances.
type instanceClient struct {
	codec platform.Codec
	http  *http.Client
}

func newInstanceClient(codec platform.Codec) *instanceClient {
	return &instanceClient{codec: codec, http: &http.Client{
		Transport: httpconn.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: askTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     instanceIdleTimeout,
			ReadBufferSize:      connBufferBytes,
			WriteBufferSize:     connBufferBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// ask returns the response of the instance at addr to a query. The error states that there is no
// complete response with status 200 and at least one address within askTimeout.
func (c *instanceClient) ask(ctx context.Context, addr string, q resolver.Query) (resolver.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+c.codec.LookupURI(q.Region, q.Hall), nil)
	if err != nil {
		return resolver.Response{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return resolver.Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resolver.Response{}, fmt.Errorf("%s: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return resolver.Response{}, fmt.Errorf("%s: status %d", addr, resp.StatusCode)
	}
	hosts, err := c.codec.LookupHosts(body)
	if err != nil {
		return resolver.Response{}, fmt.Errorf("%s: %w", addr, err)
	}
	return resolver.Response{Body: body, Hosts: hosts}, nil
}

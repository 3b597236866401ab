package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rainford/rainford/internal/httpconn"
	"github.com/rainford/rainford/internal/membudget"
)

// Paths of the service's HTTP interface.
const (
	ObjectsPath = "/v1/objects/"
	ListPath    = "/v1/list"
	WatchPath   = "/v1/watch"
)

const (
	defaultTimeout = 3 * time.Second
	watchSlack     = 5 * time.Second
	// maxObjectBytes and maxListingBytes bound the bodies of responses with one object and with a listing. A value
	// may take six times MaxValueBytes where its characters are escaped.
	maxObjectBytes  = 8 << 20
	maxListingBytes = 64 << 20
	// responseMemory bounds what all responses that are being read take together beyond their first buffers. It has
	// room for one listing of the largest size.
	responseMemory = 2 * maxListingBytes
)

// Client is an HTTP client of the service. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	eras    *eraTracker
	// memory is the memory for the responses that are being read.
	memory *membudget.Budget
}

// NewClient returns a client of the service at base, such as
// "http://127.0.0.1:7000". The timeout applies to each call other than a watch;
// 0 stands for 3 s.
func NewClient(base string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{base: base, http: &http.Client{Transport: httpconn.NewTransport(transport)}, timeout: timeout, eras: newEraTracker(),
		memory: membudget.New(responseMemory)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one object. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var obj Object
	era, err := c.read(ctx, ObjectsPath+key, maxObjectBytes, &obj)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return obj.inEra(era), nil
}

// List reads all objects whose keys begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}}
	var out Listing
	era, err := c.read(ctx, ListPath+"?"+query.Encode(), maxListingBytes, &out)
	if err != nil {
		return Listing{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	return out.inEra(era), nil
}

// Watch returns the objects below the prefixes that changed after a revision.
// If there are none, it waits for a change, up to wait, and then returns an empty
// listing. If the service was restored from a backup since the revision, it returns
// all objects below the prefixes.
func (c *Client) Watch(ctx context.Context, prefixes []string, after int64, wait time.Duration) (Listing, error) {
	era, number := splitVersion(after)
	latestEra, advanced := c.eras.current()
	if era >= latestEra && number > 0 {
		out, responseEra, err := c.watch(ctx, prefixes, number, wait, advanced)
		if responseEra == era {
			return out, err
		}
	}
	out, _, err := c.watch(ctx, prefixes, 0, wait, nil)
	return out, err
}

// watch returns the changes after a number that the service has assigned, and the era of the response. If
// advanced is closed meanwhile, it fails early. With an error it returns the latest era.
func (c *Client) watch(ctx context.Context, prefixes []string, number int64, wait time.Duration, advanced <-chan struct{}) (out Listing, era int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	go func() {
		select {
		case <-advanced:
			cancel()
		case <-ctx.Done():
		}
	}()
	query := url.Values{
		"prefix": prefixes,
		"after":  {strconv.FormatInt(number, 10)},
		"wait":   {wait.String()},
	}
	era, err = c.read(ctx, WatchPath+"?"+query.Encode(), maxListingBytes, &out)
	if err != nil {
		era, _ = c.eras.current()
		return Listing{}, era, fmt.Errorf("watch: %w", err)
	}
	return out.inEra(era), era, nil
}

// Put writes value under key if the object is at version, and returns the object
// written. Version 0 means that the object must not exist. Put returns a
// *ConflictError if the object is at another version. If the service was restored
// from a backup since the version and has lost the object, Put creates it again.
func (c *Client) Put(ctx context.Context, key string, version int64, value any) (Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Object{}, fmt.Errorf("put %s: %w", key, err)
	}
	if len(raw) > MaxValueBytes {
		return Object{}, fmt.Errorf("put %s: %d bytes: %w", key, len(raw), ErrTooLarge)
	}
	number, err := c.writeNumber(ctx, key, version)
	if err != nil {
		return Object{}, err
	}
	body, err := json.Marshal(WriteRequest{Version: number, Value: raw})
	if err != nil {
		return Object{}, fmt.Errorf("put %s: %w", key, err)
	}
	return c.write(ctx, http.MethodPut, key, ObjectsPath+key, body)
}

// Delete removes the object if it is at version.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	number, err := c.writeNumber(ctx, key, version)
	if err != nil {
		return err
	}
	query := url.Values{"version": {strconv.FormatInt(number, 10)}}
	_, err = c.write(ctx, http.MethodDelete, key, ObjectsPath+key+"?"+query.Encode(), nil)
	return err
}

// writeNumber returns the number that a write has to name to be conditional on version. If the service was
// restored from a backup since, it may have assigned the version's number again. A write would then change an
// object that the writer has not read. Instead, writeNumber returns a *ConflictError with the present object,
// or 0 if there is none, so that the write creates the object again.
func (c *Client) writeNumber(ctx context.Context, key string, version int64) (number int64, err error) {
	era, number := splitVersion(version)
	latestEra, _ := c.eras.current()
	if number == 0 || era >= latestEra {
		return number, nil
	}
	current, err := c.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, nil
	case err != nil:
		return 0, err
	default:
		return 0, &ConflictError{Key: key, Current: current}
	}
}

// read sends a GET request and decodes the response, of at most limit bytes, into out. It returns the era that the
// response names.
func (c *Client) read(ctx context.Context, path string, limit int64, out any) (era int64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drainBody(resp.Body)
	era = c.eras.observe(resp.Header)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return era, ErrNotFound
	default:
		return era, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	err = c.decode(resp, limit, out)
	if err != nil {
		return era, fmt.Errorf("%w: decode: %w", ErrUnavailable, err)
	}
	return era, nil
}

// decode reads the body of a response, of at most limit bytes, and decodes it into out.
func (c *Client) decode(resp *http.Response, limit int64, out any) error {
	lease := c.memory.Lease()
	defer lease.Release()
	raw, err := membudget.ReadAll(resp.Body, resp.ContentLength, limit, lease)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

func (c *Client) write(ctx context.Context, method, key, path string, body []byte) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// The reader's type is hidden, so that net/http sets no GetBody and never
	// retries the write.
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return Object{}, fmt.Errorf("write %s: %w", key, err)
	}
	req.ContentLength = int64(len(body))
	resp, err := c.http.Do(req)
	if err != nil {
		return Object{}, fmt.Errorf("write %s: %w: %w", key, writeFailure(err), err)
	}
	defer drainBody(resp.Body)
	return c.decodeWrite(key, resp, c.eras.observe(resp.Header))
}

// writeFailure returns ErrUnavailable if a write that failed with err can't have reached
// the service, since the connection was not established, and ErrUncertain otherwise.
func writeFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUncertain
}

// decodeWrite returns the result of a write of the object with the key.
func (c *Client) decodeWrite(key string, resp *http.Response, era int64) (Object, error) {
	var obj Object
	switch resp.StatusCode {
	case http.StatusOK:
		err := c.decode(resp, maxObjectBytes, &obj)
		if err != nil {
			return Object{}, fmt.Errorf("write %s: %w: %w", key, ErrUncertain, err)
		}
		return obj.inEra(era), nil
	case http.StatusConflict:
		err := c.decode(resp, maxObjectBytes, &obj)
		if err != nil {
			return Object{}, fmt.Errorf("write %s: %w: %w", key, ErrUnavailable, err)
		}
		return Object{}, &ConflictError{Key: key, Current: obj.inEra(era)}
	case http.StatusRequestEntityTooLarge:
		return Object{}, fmt.Errorf("write %s: %w", key, ErrTooLarge)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Object{}, fmt.Errorf("write %s: %w: status %d", key, ErrUnavailable, resp.StatusCode)
	default:
		return Object{}, fmt.Errorf("write %s: %w: status %d", key, ErrUncertain, resp.StatusCode)
	}
}

func drainBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}

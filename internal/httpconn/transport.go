package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is a client transport over Conns. Use NewTransport to create one. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of base. It changes base, which must not be used otherwise and
// must have a DialContext, and no DialTLSContext.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = connDialer(dial)
	base.DialTLSContext = connDialer(tlsDialer(dial, base.TLSClientConfig))
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.Store(conn(info.Conn)) },
		// This is called by the goroutine that reads from the connection, before its next read.
		PutIdleConn: func(err error) {
			if c := used.Load(); c != nil && err == nil {
				_ = c.ExpectHead(nil)
			}
		},
	}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// connDialer returns a dialFunc whose connections are Conns over those of dial.
func connDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// tlsDialer returns a dialFunc that opens connections with dial and secures them. Its connections end as those of dial
// do: TLS alone takes a broken connection for the end of the stream if the error went to another call.
func tlsDialer(dial dialFunc, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(newWithoutHeads(c), configFor(config, host))
		err = secured.HandshakeContext(ctx)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return secured, nil
	}
}

// configFor returns a configuration for connections to a host. Base may be nil.
func configFor(base *tls.Config, host string) *tls.Config {
	config := base.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

// conn returns a connection of the transport as a Conn.
func conn(c net.Conn) *Conn {
	known, _ := c.(*Conn)
	return known
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

package peer

import (
	"bufio"
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/listen"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/sockopt"
)

const (
	dialTimeout = 2 * time.Second
	// unackedTimeout is how long sent bytes may remain unacknowledged before a connection
	// is closed: an established connection may silently drop all packets while new ones
	// work. Frames in transit are then lost, which the senders tolerate. The round-trip
	// time between regions is a tenth of it.
	unackedTimeout = time.Second
	writeTimeout   = 5 * time.Second
	helloTimeout   = 5 * time.Second
	// idleTimeout is how long a connection may carry no frame before either side closes it.
	idleTimeout     = time.Minute
	redialBackoff   = 500 * time.Millisecond
	maxInboundConns = 4096
	readBufferBytes = 2 << 10
)

// Receiver handles received messages. Its methods are called concurrently.
type Receiver interface {
	// Receive handles a message. From is the name under which the sender introduced itself.
	Receive(from string, m Message)
	// Unreachable is called when no connection to a peer could be established.
	Unreachable(addr string)
}

// Mesh sends messages to peers and receives theirs. It is safe for concurrent use.
type Mesh struct {
	self     string
	secret   string
	receiver Receiver
	log      *slog.Logger
	dial     Dialer

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	dropped       atomic.Int64
	queued        queueBudget

	mu       sync.Mutex
	links    map[string]*link
	conns    map[net.Conn]bool
	requests *requestListener
	closed   bool
	wg       sync.WaitGroup
}

// NewMesh returns a mesh that introduces itself to peers as self. ReconnectBoth requires
// that self is the peer address of this instance. The secret is shared by all instances.
func NewMesh(self, secret string, receiver Receiver, log *slog.Logger) *Mesh {
	return &Mesh{
		self:     self,
		secret:   secret,
		receiver: receiver,
		log:      log,
		dial:     dialTCP,
		links:    make(map[string]*link),
		conns:    make(map[net.Conn]bool),
	}
}

// Dialer opens a TCP connection to an address within a time-out.
type Dialer = func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)

// dialTCP is the Dialer of meshes that have no other one.
func dialTCP(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: sockopt.UserTimeout(unackedTimeout)}
	return dialer.DialContext(ctx, "tcp", addr)
}

// SetDialer replaces the way in which connections are opened. It must be called before the first message
// is sent.
func (m *Mesh) SetDialer(dial Dialer) { m.dial = dial }

// Traffic returns the numbers of bytes sent, bytes received and frames dropped. The Hello of
// a received connection is not counted.
func (m *Mesh) Traffic() (sent, received, dropped int64) {
	return m.sentBytes.Load(), m.receivedBytes.Load(), m.dropped.Load()
}

// Serve accepts connections on ln until ln is closed, whatever errors come before.
func (m *Mesh) Serve(ln net.Listener) error {
	accepting := listen.Retrying(ln, nil)
	for {
		conn, err := accepting.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !m.track(conn) {
			_ = conn.Close()
			continue
		}
		go func() {
			defer m.untrack(conn)
			m.serveConn(conn)
		}()
	}
}

// track registers a received connection. It returns false if the mesh is closed or has too
// many connections.
func (m *Mesh) track(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || len(m.conns) >= maxInboundConns {
		return false
	}
	m.conns[conn] = true
	m.wg.Add(1)
	return true
}

// untrack ends the registration of a received connection, which its user has closed or passed on.
func (m *Mesh) untrack(conn net.Conn) {
	m.mu.Lock()
	delete(m.conns, conn)
	m.mu.Unlock()
	m.wg.Done()
}

// serveConn reads frames from a received connection, or passes it on if it carries HTTP requests.
func (m *Mesh) serveConn(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	started := &startedConn{Conn: conn, first: make([]byte, 1)}
	_, err := io.ReadFull(conn, started.first)
	switch {
	case err != nil:
		m.reject(conn, err)
	case isRequest(started.first[0]):
		m.passRequests(started)
	default:
		m.receive(started)
		_ = conn.Close()
	}
}

// passRequests passes a connection with HTTP requests to the listener for them.
func (m *Mesh) passRequests(conn net.Conn) {
	m.mu.Lock()
	requests := m.requests
	m.mu.Unlock()
	if requests == nil {
		m.reject(conn, errNoRequests)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if !requests.pass(conn) {
		_ = conn.Close()
	}
}

// reject closes a received connection because of its first bytes.
func (m *Mesh) reject(conn net.Conn, reason error) {
	m.log.Warn("peer connection rejected", "addr", conn.RemoteAddr().String(), "error", refusalReason(reason))
	_ = conn.Close()
}

// receive reads frames from a connection until it ends.
func (m *Mesh) receive(conn net.Conn) {
	first, err := readFrame(conn, maxHelloBytes)
	hello, ok := first.(*Hello)
	if err != nil || !ok || subtle.ConstantTimeCompare([]byte(hello.Secret), []byte(m.secret)) != 1 {
		m.reject(conn, err)
		return
	}
	counted := &countingReader{r: conn, n: &m.receivedBytes}
	// With a buffer, a frame is read with one system call instead of two or more.
	buffered := bufio.NewReaderSize(counted, readBufferBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		msg, err := ReadFrame(buffered)
		if err != nil {
			if errors.Is(err, ErrFrame) {
				m.log.Warn("peer connection closed after a malformed frame", "from", hello.From, "error", err.Error())
			}
			return
		}
		m.receiver.Receive(hello.From, msg)
	}
}

// refusalReason returns why the first frame of a connection is not accepted.
func refusalReason(err error) string {
	if err == nil {
		return "first frame is no valid hello"
	}
	return err.Error()
}

// countingReader adds the number of bytes read from r to n.
type countingReader struct {
	r io.Reader
	n *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Send queues a message for the peer at addr. It drops the message if there is no room for it
// or the mesh is closed: messages may be lost in any case.
func (m *Mesh) Send(addr string, msg Message) {
	frame, err := Encode(msg)
	if err != nil {
		m.log.Error("peer message not sent: it can't be encoded", "error", err.Error())
		return
	}
	l := m.link(addr)
	if l == nil {
		return
	}
	if !l.queue.push(frame) {
		m.dropped.Add(1)
	}
}

// link returns the link to a peer, which it creates if there is none. It returns nil if the
// mesh is closed.
func (m *Mesh) link(addr string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	l := m.links[addr]
	if l == nil {
		ctx, cancel := context.WithCancel(context.Background())
		l = &link{mesh: m, addr: addr, queue: newSendQueue(&m.queued), cancel: cancel}
		m.links[addr] = l
		m.wg.Add(1)
		go l.run(ctx)
	}
	return l
}

// Reconnect is called for a peer that has not replied. The connection to it may silently
// drop all packets without any sign of it on this side. The next frame closes the connection
// and opens a new one.
func (m *Mesh) Reconnect(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[addr]; l != nil {
		l.reconnect.Store(true)
	}
}

// ReconnectBoth replaces the connection to a peer that has not replied, and asks the peer to
// open a new one too. The peer's replies may go over a connection that silently drops all
// packets, which only this side can detect. Gossip about the peer is no evidence that its
// connection works, since other instances relay the peer's heartbeats.
func (m *Mesh) ReconnectBoth(addr string) {
	m.Reconnect(addr)
	m.Send(addr, &Probe{ReplyTo: m.self, Reconnect: true})
}

// Close closes all connections and waits until their goroutines have returned.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		l.cancel()
	}
	for conn := range m.conns {
		_ = conn.Close()
	}
	if m.requests != nil {
		_ = m.requests.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// link is the outgoing connection to one peer. It is removed after idleTimeout without a
// message.
type link struct {
	mesh   *Mesh
	addr   string
	queue  *sendQueue
	cancel context.CancelFunc
	conn   net.Conn
	// reconnect requests a new connection for the next frame.
	reconnect atomic.Bool
}

// run sends queued frames until the link has been idle for idleTimeout or ctx is canceled.
func (l *link) run(ctx context.Context) {
	defer l.mesh.wg.Done()
	defer l.remove()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case frame := <-l.queue.frames:
			idle.Reset(idleTimeout)
			l.deliver(ctx, frame)
			l.queue.done(frame)
		}
	}
}

// remove closes the link and removes it from the mesh.
func (l *link) remove() {
	l.close()
	l.cancel()
	l.mesh.mu.Lock()
	delete(l.mesh.links, l.addr)
	l.mesh.mu.Unlock()
	l.mesh.dropped.Add(l.queue.close())
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// deliver writes one frame, over a new connection if necessary. It drops the frame if that
// fails.
func (l *link) deliver(ctx context.Context, frame []byte) {
	if l.reconnect.Swap(false) || (l.conn != nil && !sockopt.Idle(l.conn)) {
		// The peer sends nothing on this connection, so anything to read is its end.
		// Writing to the connection would lose the first message to a peer that has
		// restarted, and those after it until a write fails.
		l.close()
	}
	if l.conn == nil && !l.open(ctx) {
		l.mesh.dropped.Add(1)
		if ctx.Err() == nil {
			l.mesh.receiver.Unreachable(l.addr)
		}
		pause.For(ctx, redialBackoff)
		// Outdated heartbeats would make the instance appear healthy for that time.
		l.mesh.dropped.Add(l.queue.drop())
		return
	}
	if !l.write(frame) {
		l.mesh.dropped.Add(1)
	}
}

// open establishes a connection and sends the Hello. It reports whether both succeeded.
func (l *link) open(ctx context.Context) bool {
	conn, err := l.mesh.dial(ctx, l.addr, dialTimeout)
	if err != nil {
		return false
	}
	l.conn = conn
	hello, err := Encode(&Hello{From: l.mesh.self, Secret: l.mesh.secret})
	return err == nil && l.write(hello)
}

// write sends a frame, and closes the connection if that fails.
func (l *link) write(frame []byte) bool {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := l.conn.Write(frame)
	l.mesh.sentBytes.Add(int64(n))
	if err != nil {
		l.close()
		return false
	}
	return true
}

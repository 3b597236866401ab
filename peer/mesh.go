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

	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/sockopt"
)

const (
	queueCapacity = 64
	dialTimeout   = 2 * time.Second
	// unackedTimeout ends a connection whose bytes the other side does not acknowledge: it
	// may be silent for good while new ones work. Frames on the way are lost by that, as
	// they are anyway. The way between regions and back takes a tenth of it.
	unackedTimeout = time.Second
	writeTimeout   = 5 * time.Second
	helloTimeout   = 5 * time.Second
	// idleTimeout ends a connection that carries nothing, on both sides.
	idleTimeout     = time.Minute
	redialBackoff   = 500 * time.Millisecond
	maxInboundConns = 4096
	readBufferBytes = 2 << 10
)

// Receiver takes the messages that arrive. It is called from many goroutines.
type Receiver interface {
	Receive(from string, m Message)
	// Unreachable says that no connection to a peer could be had.
	Unreachable(addr string)
}

// Mesh sends messages to peers and receives theirs.
type Mesh struct {
	self     string
	secret   string
	receiver Receiver
	log      *slog.Logger

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	dropped       atomic.Int64

	mu     sync.Mutex
	links  map[string]*link
	conns  map[net.Conn]bool
	closed bool
	wg     sync.WaitGroup
}

// NewMesh returns the mesh of an instance. Secret is shared by all instances.
func NewMesh(self, secret string, receiver Receiver, log *slog.Logger) *Mesh {
	return &Mesh{
		self:     self,
		secret:   secret,
		receiver: receiver,
		log:      log,
		links:    make(map[string]*link),
		conns:    make(map[net.Conn]bool),
	}
}

// Traffic returns the bytes sent and received and the frames dropped.
func (m *Mesh) Traffic() (sent, received, dropped int64) {
	return m.sentBytes.Load(), m.receivedBytes.Load(), m.dropped.Load()
}

// Serve takes connections from ln until it is closed.
func (m *Mesh) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
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
			m.receive(conn)
		}()
	}
}

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

func (m *Mesh) untrack(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	delete(m.conns, conn)
	m.mu.Unlock()
	m.wg.Done()
}

// receive reads one connection to its end.
func (m *Mesh) receive(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	first, err := readFrame(conn, maxHelloBytes)
	hello, ok := first.(*Hello)
	if err != nil || !ok || subtle.ConstantTimeCompare([]byte(hello.Secret), []byte(m.secret)) != 1 {
		m.log.Warn("peer refused", "addr", conn.RemoteAddr().String(), "error", refusalReason(err))
		return
	}
	counted := &countingReader{r: conn, n: &m.receivedBytes}
	// A frame is read in one call of the system instead of two or more.
	buffered := bufio.NewReaderSize(counted, readBufferBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		msg, err := ReadFrame(buffered)
		if err != nil {
			if errors.Is(err, ErrFrame) {
				m.log.Warn("peer frame refused", "from", hello.From, "error", err.Error())
			}
			return
		}
		m.receiver.Receive(hello.From, msg)
	}
}

func refusalReason(err error) string {
	if err == nil {
		return "bad hello"
	}
	return err.Error()
}

type countingReader struct {
	r io.Reader
	n *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Send queues a message for the peer at addr. It drops the message when the
// queue is full.
func (m *Mesh) Send(addr string, msg Message) {
	frame, err := Encode(msg)
	if err != nil {
		m.log.Error("peer message not sent", "error", err.Error())
		return
	}
	l := m.link(addr)
	if l == nil {
		return
	}
	select {
	case l.queue <- frame:
	default:
		m.dropped.Add(1)
	}
}

func (m *Mesh) link(addr string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	l := m.links[addr]
	if l == nil {
		ctx, cancel := context.WithCancel(context.Background())
		l = &link{mesh: m, addr: addr, queue: make(chan []byte, queueCapacity), cancel: cancel}
		m.links[addr] = l
		m.wg.Add(1)
		go l.run(ctx)
	}
	return l
}

// Reconnect ends the connection to a peer that has not answered what was sent to it: it may
// carry nothing any more without a sign of it. The next frame opens another one.
func (m *Mesh) Reconnect(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[addr]; l != nil {
		l.reconnect.Store(true)
	}
}

// ReconnectBoth ends the connection to a peer that has not answered, and asks the peer to open
// another one too: its answers may go over one that carries nothing, of which only this side
// can know. That the peer is heard of says nothing of it, as others pass on what it says.
func (m *Mesh) ReconnectBoth(addr string) {
	m.Reconnect(addr)
	m.Send(addr, &Probe{ReplyTo: m.self, Reconnect: true})
}

// Close ends all connections and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		l.cancel()
	}
	for conn := range m.conns {
		_ = conn.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// link is the outgoing connection to one peer. It ends after idleTimeout
// without a message.
type link struct {
	mesh   *Mesh
	addr   string
	queue  chan []byte
	cancel context.CancelFunc
	conn   net.Conn
	// reconnect asks for another connection.
	reconnect atomic.Bool
}

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
		case frame := <-l.queue:
			idle.Reset(idleTimeout)
			l.deliver(ctx, frame)
		}
	}
}

func (l *link) remove() {
	l.close()
	l.cancel()
	l.mesh.mu.Lock()
	delete(l.mesh.links, l.addr)
	l.mesh.mu.Unlock()
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// deliver writes one frame, over a new connection if need be. A frame that
// can't be written is dropped.
func (l *link) deliver(ctx context.Context, frame []byte) {
	if l.reconnect.Swap(false) || (l.conn != nil && !sockopt.Quiet(l.conn)) {
		// The peer sends nothing on it, so that anything there is its end: written to it,
		// the first message to a peer that has started again would be lost, and those
		// after it until the next write fails.
		l.close()
	}
	if l.conn == nil && !l.open(ctx) {
		l.mesh.dropped.Add(1)
		if ctx.Err() == nil {
			l.mesh.receiver.Unreachable(l.addr)
		}
		pause.For(ctx, redialBackoff)
		l.drainQueue()
		return
	}
	if !l.write(frame) {
		l.mesh.dropped.Add(1)
	}
}

// drainQueue drops what has queued up while the peer could not be reached: old
// heartbeats would only pretend that all is well.
func (l *link) drainQueue() {
	for {
		select {
		case <-l.queue:
			l.mesh.dropped.Add(1)
		default:
			return
		}
	}
}

func (l *link) open(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.LimitUnacked(unackedTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return false
	}
	l.conn = conn
	hello, err := Encode(&Hello{From: l.mesh.self, Secret: l.mesh.secret})
	return err == nil && l.write(hello)
}

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

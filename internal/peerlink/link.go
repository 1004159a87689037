package peerlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/traffic"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	// maxMessageBytes is above the largest answer of a server, 8 MiB, with what is sent along.
	maxMessageBytes = 9 << 20
	peerQueueLength = 64
	// connIdleTimeout is how long a connection without messages is kept open. A node pings every member from time to time, so with a
	// longer timeout the number of open connections would grow with the fleet.
	connIdleTimeout = 3 * time.Second
)

// Link sends and receives messages. A message that cannot be sent in time is dropped, which the gossip protocol tolerates.
type Link struct {
	receive         func(m peer.Message)
	receiveTable    func(from string, t platform.TableMessage)
	tls             func() *tls.Config
	countBytes      func(zone string, bytes int)
	handleJobs      func(a ReplySender) JobHandlers
	panicked        func(err error)
	mu              sync.Mutex
	conns           map[string]*peerConn
	inbound         map[net.Conn]bool
	closed          bool
	bytesSent       atomic.Int64
	messagesDropped atomic.Int64
}

// Option configures a Link.
type Option func(*Link) error

// WithTLS secures the link with the TLS configuration that f returns; nil means no TLS. f is called for each connection, so that
// certificates can be rotated.
func WithTLS(f func() *tls.Config) Option {
	return func(l *Link) error {
		l.tls = f
		return nil
	}
}

// WithByteCounter calls f with the size of each sent message and the zone of its receiver, "" if the zone is unknown.
func WithByteCounter(f func(zone string, bytes int)) Option {
	return func(l *Link) error {
		l.countBytes = f
		return nil
	}
}

// WithPanicHandler passes a panic that cost the connection of another node to f.
func WithPanicHandler(f func(err error)) Option {
	return func(l *Link) error {
		l.panicked = f
		return nil
	}
}

// New returns a link that passes incoming messages to receive. The error is that of an option.
func New(receive func(m peer.Message), opts ...Option) (*Link, error) {
	l := &Link{
		receive: receive, receiveTable: func(string, platform.TableMessage) {},
		conns: map[string]*peerConn{}, inbound: map[net.Conn]bool{},
		tls: func() *tls.Config { return nil }, countBytes: func(string, int) {}, panicked: func(error) {},
	}
	for _, o := range opts {
		if err := o(l); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return l, nil
}

// Counts returns the number of bytes sent and of messages dropped.
func (l *Link) Counts() (sent, dropped int64) {
	return l.bytesSent.Load(), l.messagesDropped.Load()
}

// Serve accepts connections from peers until the listener is closed.
func (l *Link) Serve(listener net.Listener) error {
	return traffic.AcceptLoop(listener, l.accept, func(err error) {
		var p *traffic.PanicError
		if errors.As(err, &p) {
			l.panicked(err)
		}
	})
}

func (l *Link) accept(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !l.track(conn) {
		return
	}
	defer l.untrack(conn)
	if c, ok := traffic.TCPConnOf(conn); ok {
		if err := traffic.EnableDeadPeerDetection(c); err != nil {
			return
		}
	}
	secured := conn
	if cfg := l.tls(); cfg != nil {
		secured = tls.Server(conn, cfg)
	}
	s, err := yamux.Server(secured, yamuxConfig())
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	started, stop := awaitStart(conn)
	defer stop()
	for {
		stream, err := s.Accept()
		if err != nil {
			return
		}
		go func() {
			if err := traffic.Contain(func() { l.readMessages(stream, started) }); err != nil {
				l.panicked(err)
			}
		}()
	}
}

// awaitStart closes a connection that sends no message within the time for its startup. It returns the functions to call for each
// message, and when the connection is closed.
func awaitStart(conn net.Conn) (started, stop func()) {
	a := traffic.AccountOf(conn)
	limits, ok := a.Limits()
	if !ok {
		return func() {}, func() {}
	}
	late := time.AfterFunc(limits.Startup, func() {
		a.Reject(budget.ReasonStartup)
		_ = conn.Close()
	})
	started = sync.OnceFunc(func() {
		late.Stop()
		a.Started()
	})
	return started, func() { late.Stop() }
}

func (l *Link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbound[conn] = true
	return !l.closed
}

func (l *Link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inbound, conn)
}

// readMessages receives messages until the stream ends or a message cannot be decoded. A message of kindJobs turns the stream into
// a job stream. It calls started for each message, the first of which shows that the connection is that of another node.
func (l *Link) readMessages(stream net.Conn, started func()) {
	defer func() { _ = stream.Close() }()
	r := bufio.NewReader(stream)
	for {
		var p Message
		if err := readMessage(r, &p); err != nil {
			return
		}
		started()
		if p.Kind == kindJobs && l.handleJobs != nil {
			l.serveJobs(stream, r)
			return
		}
		if p.Table == nil {
			l.receive(decode(&p))
			continue
		}
		t, err := decodeTable(p.Table)
		if err != nil {
			return
		}
		l.receiveTable(p.From, t)
	}
}

// readMessage reads one message of at most maxMessageBytes.
func readMessage(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// Send queues a message. It never blocks, and drops the message if the queue is full.
func (l *Link) Send(a peer.Send) {
	l.enqueue(a.Address, outgoing{zone: a.Zone, encode: func() (*Message, error) { return encode(a.Message), nil }})
}

// outgoing is a queued message to a node in a zone. It is encoded when it is sent.
type outgoing struct {
	zone   string
	encode func() (*Message, error)
}

func (l *Link) enqueue(address string, m outgoing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.conns[address]
	if !ok && !l.closed {
		n = newPeerConn(l, address)
		l.conns[address] = n
	}
	if n == nil {
		return
	}
	select {
	case n.queue <- m:
	default:
		l.messagesDropped.Add(1)
	}
}

// Close closes all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, n := range l.conns {
		n.stop()
	}
	for c := range l.inbound {
		_ = c.Close()
	}
}

// peerConn is the outgoing connection to one peer, opened for the first message in the queue.
type peerConn struct {
	link    *Link
	address string
	queue   chan outgoing
	ctx     context.Context
	stop    context.CancelFunc
}

func newPeerConn(l *Link, address string) *peerConn {
	n := &peerConn{link: l, address: address, queue: make(chan outgoing, peerQueueLength)}
	n.ctx, n.stop = context.WithCancel(context.Background())
	go n.run()
	return n
}

// removeIfIdle removes the connection from the link unless a message is queued, and reports whether it did.
func (n *peerConn) removeIfIdle() bool {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	if len(n.queue) > 0 {
		return false
	}
	delete(n.link.conns, n.address)
	return true
}

// run sends queued messages until none is queued for connIdleTimeout. After a failure, the next message opens a new connection.
func (n *peerConn) run() {
	var stream net.Conn
	var closeAll func()
	defer func() {
		if closeAll != nil {
			closeAll()
		}
	}()
	idle := time.NewTimer(connIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-idle.C:
			if n.removeIfIdle() {
				n.stop()
				return
			}
		case m := <-n.queue:
			idle.Reset(connIdleTimeout)
			var err error
			if stream == nil {
				if stream, closeAll, err = n.dial(); err != nil {
					stream = nil
					n.link.messagesDropped.Add(1)
					continue
				}
			}
			if err := n.write(stream, m); err != nil {
				closeAll()
				stream, closeAll = nil, nil
				n.link.messagesDropped.Add(1)
			}
		}
	}
}

func (n *peerConn) write(stream net.Conn, m outgoing) error {
	p, err := m.encode()
	if err != nil {
		return err
	}
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	k, err := protodelim.MarshalTo(stream, p)
	n.link.bytesSent.Add(int64(k))
	n.link.countBytes(m.zone, k)
	return err
}

func (n *peerConn) dial() (net.Conn, func(), error) {
	ctx, stop := context.WithTimeout(n.ctx, dialTimeout)
	defer stop()
	return n.link.dial(ctx, n.address)
}

// dial opens a connection to a peer and one stream in it. The returned function closes both.
func (l *Link) dial(ctx context.Context, address string) (net.Conn, func(), error) {
	conn, err := traffic.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	if cfg := l.tls(); cfg != nil {
		conn = tls.Client(conn, cfg)
	}
	s, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	stream, err := s.Open()
	if err != nil {
		_ = s.Close()
		return nil, nil, err
	}
	return stream, func() { _ = s.Close() }, nil
}

// yamuxConfig returns a configuration without logs and keepalives, since the pings of the membership detect failed peers.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false
	return c
}

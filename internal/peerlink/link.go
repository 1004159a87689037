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
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/tenant"
	"buckthornport.example/buckthornport/internal/traffic"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	// maxMessageBytes is above the largest answer of a server, 8 MiB, with what is sent along.
	maxMessageBytes = 9 << 20
	peerQueueLength = 64
	// connIdleTimeout is how long a connection without messages is kept open. A node pings every member from time to time, so
	// with a longer timeout the number of open connections would grow with the fleet.
	connIdleTimeout = 3 * time.Second
)

// Link sends and receives messages. A message that cannot be sent in time is dropped, which the gossip protocol tolerates.
type Link struct {
	receive         func(m peer.Message)
	receiveTable    func(from string, t platform.TableMessage)
	receiveLimit    func(from string, m tenant.Message)
	dialFailed      func(address string, err error)
	tls             func() *tls.Config
	countBytes      func(p metrics.Purpose, zone string, bytes int)
	countConnection func(p metrics.Purpose)
	handleJobs      func(a ReplySender) JobHandlers
	panicked        func(err error)
	mu              sync.Mutex
	conns           map[string]*peerConn
	inbound         map[net.Conn]bool
	// replies holds the streams on which nodes send messages to this one, by node. Messages to a node go over its stream, unless
	// there is a connection in the other direction.
	replies         map[string]net.Conn
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

// WithByteCounter calls f with the purpose and the size of each sent message and the zone of its receiver, "" if the zone is
// unknown.
func WithByteCounter(f func(p metrics.Purpose, zone string, bytes int)) Option {
	return func(l *Link) error {
		l.countBytes = f
		return nil
	}
}

// WithConnectionCounter calls f with the purpose of each connection that the link opens.
func WithConnectionCounter(f func(p metrics.Purpose)) Option {
	return func(l *Link) error {
		l.countConnection = f
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
		receiveLimit: func(string, tenant.Message) {}, dialFailed: func(string, error) {},
		conns: map[string]*peerConn{}, inbound: map[net.Conn]bool{}, replies: map[string]net.Conn{},
		tls: func() *tls.Config { return nil }, panicked: func(error) {},
		countBytes: func(metrics.Purpose, string, int) {}, countConnection: func(metrics.Purpose) {},
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
			if err := traffic.Contain(func() { l.serveStream(stream, started) }); err != nil {
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

// serveStream receives the messages of a stream that another node has opened. A message of kindJobs turns it into a job
// stream. It calls started for each message, the first of which shows that the connection is that of another node.
func (l *Link) serveStream(stream net.Conn, started func()) {
	defer func() { _ = stream.Close() }()
	r := bufio.NewReader(stream)
	sender := ""
	defer func() { l.removeReplyStream(sender, stream) }()
	l.readMessages(r, func(p *Message) bool {
		started()
		if p.Kind == kindJobs && l.handleJobs != nil {
			l.serveJobs(stream, r)
			return false
		}
		if sender == "" && p.From != "" {
			sender = p.From
			l.addReplyStream(sender, stream)
		}
		return true
	})
}

// readMessages receives messages until the stream ends, a message cannot be decoded, or accept returns false.
func (l *Link) readMessages(r protodelim.Reader, accept func(p *Message) bool) {
	for {
		var p Message
		if err := readMessage(r, &p); err != nil || !accept(&p) {
			return
		}
		if p.Limit != nil {
			l.receiveLimit(p.From, decodeLimit(p.Limit))
			continue
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
	l.enqueue(a.To, a.Address, outgoing{
		purpose: metrics.Gossip, zone: a.Zone, encode: func() (*Message, error) { return encode(a.Message), nil },
	})
}

// outgoing is a queued message to a node in a zone. It is encoded when it is sent.
type outgoing struct {
	purpose metrics.Purpose
	zone    string
	encode  func() (*Message, error)
	// until is the time after which the message is dropped, zero for never.
	until time.Time
}

// isStale reports whether the message has waited too long to be of use.
func (m outgoing) isStale() bool {
	return !m.until.IsZero() && time.Now().After(m.until)
}

func (l *Link) enqueue(node, address string, m outgoing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.conns[address]
	if !ok && !l.closed {
		n = newPeerConn(l, node, address)
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

// dial opens a connection to a peer and one stream in it. The returned function closes both. It closes the connection and not the
// session, which ends by itself then: a reader of a stream spins from the start of Session.Close until the session's own
// goroutine has ended.
func (l *Link) dial(ctx context.Context, address string, p metrics.Purpose) (net.Conn, func(), error) {
	l.countConnection(p)
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
	return stream, func() { _ = conn.Close() }, nil
}

// yamuxConfig returns a configuration without logs and keepalives, since the pings of the membership detect failed peers.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false
	return c
}

package peerlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/traffic"
)

const (
	dialTimeout     = 2 * time.Second
	writeTimeout    = 2 * time.Second
	maxMessageBytes = 8 << 20
	queueLength     = 64
	// lineIdle is how long the way to a peer is kept without messages. A node of a large fleet pings each other one now and then, so
	// that ways kept for longer would grow with the fleet.
	lineIdle = 3 * time.Second
)

// Link sends and receives messages; a message that cannot be sent in time is dropped, as the protocol allows.
type Link struct {
	receive func(m peer.Message)
	tls     func() *tls.Config
	counted func(zone string, bytes int)
	jobs    func(a Answers) Jobs
	mu      sync.Mutex
	lines   map[string]*line
	inbound map[net.Conn]bool
	closed  bool
	sent    atomic.Int64
	dropped atomic.Int64
}

// Option sets up a Link.
type Option func(*Link) error

// WithTLS protects the link; the function is called anew for each connection, so that keys can be replaced.
func WithTLS(f func() *tls.Config) Option {
	return func(l *Link) error {
		l.tls = f
		return nil
	}
}

// WithCounted has the bytes of each message told to f, with the zone of the peer that they went to.
func WithCounted(f func(zone string, bytes int)) Option {
	return func(l *Link) error {
		l.counted = f
		return nil
	}
}

// New returns a link that hands incoming messages to receive.
func New(receive func(m peer.Message), opts ...Option) (*Link, error) {
	l := &Link{
		receive: receive, lines: map[string]*line{}, inbound: map[net.Conn]bool{},
		tls: func() *tls.Config { return nil }, counted: func(string, int) {},
	}
	for _, o := range opts {
		if err := o(l); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return l, nil
}

// Counts returns how many bytes were sent and how many messages were dropped.
func (l *Link) Counts() (sent, dropped int64) {
	return l.sent.Load(), l.dropped.Load()
}

// Serve accepts connections of peers until the listener is closed.
func (l *Link) Serve(listener net.Listener) error {
	return traffic.AcceptLoop(listener, l.accept, func(error) {})
}

func (l *Link) accept(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !l.track(conn) {
		return
	}
	defer l.untrack(conn)
	if c, ok := conn.(*net.TCPConn); ok {
		if err := traffic.EnableDeadPeerDetection(c); err != nil {
			return
		}
	}
	secured := conn
	if cfg := l.tls(); cfg != nil {
		secured = tls.Server(conn, cfg)
	}
	s, err := yamux.Server(secured, config())
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	for {
		stream, err := s.Accept()
		if err != nil {
			return
		}
		go l.read(stream)
	}
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

// read decodes messages until the stream ends or makes no sense.
func (l *Link) read(stream net.Conn) {
	defer func() { _ = stream.Close() }()
	r := bufio.NewReader(stream)
	for {
		var p Message
		if err := readMessage(r, &p); err != nil {
			return
		}
		if p.Kind == kindJobs && l.jobs != nil {
			l.serveJobs(stream, r)
			return
		}
		l.receive(decode(&p))
	}
}

// readMessage reads one message of bounded size.
func readMessage(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// Send queues a message; it never blocks.
func (l *Link) Send(a peer.Send) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.lines[a.Address]
	if !ok && !l.closed {
		n = newLine(l, a.Address)
		l.lines[a.Address] = n
	}
	if n == nil {
		return
	}
	select {
	case n.queue <- a:
	default:
		l.dropped.Add(1)
	}
}

// Close ends all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, n := range l.lines {
		n.stop()
	}
	for c := range l.inbound {
		_ = c.Close()
	}
}

// line is the way to one peer.
type line struct {
	link    *Link
	address string
	queue   chan peer.Send
	ctx     context.Context
	stop    context.CancelFunc
}

func newLine(l *Link, address string) *line {
	n := &line{link: l, address: address, queue: make(chan peer.Send, queueLength)}
	n.ctx, n.stop = context.WithCancel(context.Background())
	go n.run()
	return n
}

// end forgets the line unless something was queued meanwhile, and reports whether it did.
func (n *line) end() bool {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	if len(n.queue) > 0 {
		return false
	}
	delete(n.link.lines, n.address)
	return true
}

// run sends what is queued until nothing comes for a while; after a failure the connection is made anew for the next message.
func (n *line) run() {
	var stream net.Conn
	var closeAll func()
	defer func() {
		if closeAll != nil {
			closeAll()
		}
	}()
	idle := time.NewTimer(lineIdle)
	defer idle.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-idle.C:
			if n.end() {
				n.stop()
				return
			}
		case a := <-n.queue:
			idle.Reset(lineIdle)
			var err error
			if stream == nil {
				if stream, closeAll, err = n.dial(); err != nil {
					stream = nil
					n.link.dropped.Add(1)
					continue
				}
			}
			if err := n.write(stream, a); err != nil {
				closeAll()
				stream, closeAll = nil, nil
				n.link.dropped.Add(1)
			}
		}
	}
}

func (n *line) write(stream net.Conn, a peer.Send) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	k, err := protodelim.MarshalTo(stream, encode(a.Message))
	n.link.sent.Add(int64(k))
	n.link.counted(a.Zone, k)
	return err
}

func (n *line) dial() (net.Conn, func(), error) {
	ctx, stop := context.WithTimeout(n.ctx, dialTimeout)
	defer stop()
	return n.link.dial(ctx, n.address)
}

// dial opens a connection to a peer with one stream in it; the function closes both.
func (l *Link) dial(ctx context.Context, address string) (net.Conn, func(), error) {
	conn, err := traffic.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	if cfg := l.tls(); cfg != nil {
		conn = tls.Client(conn, cfg)
	}
	s, err := yamux.Client(conn, config())
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

// config keeps yamux quiet, since the membership's own pings notice what is gone.
func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false
	return c
}

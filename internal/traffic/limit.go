package traffic

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/metrics"
)

// refusalTimeout bounds the write of a refusal to a new connection, whose send buffer is empty.
const refusalTimeout = 10 * time.Millisecond

// The limits of the HTTP servers. A request has no body and few headers; a status page is short.
const (
	httpReadTimeout  = 5 * time.Second
	httpWriteTimeout = 10 * time.Second
	httpIdleTimeout  = time.Minute
	maxHeaderBytes   = 16 << 10
)

// NewHTTPServer returns a server that waits for a slow requester for a bounded time.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadTimeout: httpReadTimeout, WriteTimeout: httpWriteTimeout, IdleTimeout: httpIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// DescriptorLimit returns the number of descriptors that the operating system lets the process open.
func DescriptorLimit() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return defaultDescriptors
	}
	return int(min(r.Cur, maxDescriptors))
}

const (
	// defaultDescriptors is the usual soft limit of an operating system that does not tell.
	defaultDescriptors = 1024
	// maxDescriptors is above the number of sessions for which a node has memory.
	maxDescriptors = 1 << 20
)

// WriteBudgetMetrics writes what the connections of a process hold, and how many were refused or closed.
func WriteBudgetMetrics(t metrics.TextWriter, p *budget.Pool) {
	u := p.Usage()
	t.Line("held_bytes", u.Bytes)
	t.Line("session_state_bytes", u.State)
	t.Line("memory_refusals_total", p.Refusals())
	for _, r := range budget.Reasons() {
		t.Line("connections_closed_total", p.ClosedConns(r), "reason", string(r))
	}
}

// limitedListener accepts the connections that a pool admits.
type limitedListener struct {
	net.Listener
	pool    *budget.Pool
	class   budget.Class
	refusal []byte
}

// LimitListener returns a listener whose connections count against the limits of a pool; with a nil pool it returns l. A connection
// beyond the limit is sent the refusal and closed. No further one is accepted until it is decided which connection that is, so that
// connections which wait use no descriptors.
func LimitListener(l net.Listener, p *budget.Pool, class budget.Class, refusal []byte) net.Listener {
	if p == nil {
		return l
	}
	return &limitedListener{Listener: l, pool: p, class: class, refusal: refusal}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		limited := &limitedConn{TCPConn: tcp}
		if l.pool.Open(&limited.account, l.class, tcp) {
			return limited, nil
		}
		if len(l.refusal) > 0 && conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
			_, _ = conn.Write(l.refusal)
		}
		_ = conn.Close()
	}
}

// limitedConn is a connection with an account.
type limitedConn struct {
	*net.TCPConn
	account budget.Account
}

// Close closes the connection and its account.
func (c *limitedConn) Close() error {
	c.account.Close()
	return c.TCPConn.Close()
}

// AccountOf returns the account of a connection that a limited listener has accepted, and nil for another one.
func AccountOf(conn net.Conn) *budget.Account {
	if c, ok := conn.(*limitedConn); ok {
		return &c.account
	}
	return nil
}

// TCPConnOf returns the TCP connection behind an accepted connection.
func TCPConnOf(conn net.Conn) (*net.TCPConn, bool) {
	if c, ok := conn.(*limitedConn); ok {
		return c.TCPConn, true
	}
	c, ok := conn.(*net.TCPConn)
	return c, ok
}

// tryWriter is one write that does not wait. Writers are reused, since each statement needs one.
type tryWriter struct {
	b     []byte
	n     int
	err   error
	write func(fd uintptr) bool
}

var tryWriters = sync.Pool{New: func() any {
	w := &tryWriter{}
	w.write = func(fd uintptr) bool {
		w.n, w.err = syscall.Write(int(fd), w.b)
		return true
	}
	return w
}}

// TryWrite writes what a connection takes without waiting, and returns the number of bytes. It writes nothing to a connection
// without a descriptor.
func TryWrite(conn net.Conn, b []byte) (int, error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	w := tryWriters.Get().(*tryWriter)
	w.b, w.n, w.err = b, 0, nil
	err = rc.Write(w.write)
	n, failure := w.n, w.err
	w.b = nil
	tryWriters.Put(w)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline of an earlier write has passed; it says nothing about this one.
		return 0, nil
	case err != nil:
		return 0, err
	case errors.Is(failure, syscall.EAGAIN) || errors.Is(failure, syscall.EINTR):
		return 0, nil
	}
	return max(0, n), failure
}

package traffic

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/tick"
)

// connPair returns both ends of a connection that l accepts.
func connPair(c *qt.C, l net.Listener) (server, client net.Conn) {
	c.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	client, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = client.Close() })
	return <-accepted, client
}

func listen(c *qt.C) net.Listener {
	c.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	return l
}

// TestTryWrite guards against a write that waits for its reader, and against one that fails because the deadline of an earlier
// write has passed, which closed the connections of ordinary callers 10 s after their startup.
func TestTryWrite(t *testing.T) {
	c := qt.New(t)
	server, client := connPair(c, listen(c))
	c.Assert(server.SetWriteDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	n, err := TryWrite(server, []byte("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 0)
	c.Assert(server.SetWriteDeadline(time.Time{}), qt.IsNil)
	sent := 0
	for n := 1; n > 0; sent += n {
		n, err = TryWrite(server, make([]byte, 1<<20))
		c.Assert(err, qt.IsNil)
	}
	got, err := io.ReadFull(client, make([]byte, sent))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, sent)
}

// TestLimitListener guards against connections beyond the limit that are served, and against closed ones that still count.
func TestLimitListener(t *testing.T) {
	c := qt.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	limits := budget.Limits{Bytes: 1 << 20, Conns: [budget.Classes]int64{budget.Caller: 1}, Wait: time.Second, Stall: time.Second}
	p := budget.NewPool(ctx, limits, tick.NewClock())
	go func() { _ = p.Run() }()
	l := LimitListener(listen(c), p, budget.Caller, []byte("full"))
	first, _ := connPair(c, l)
	AccountOf(first).Started()
	go func() { _, _ = l.Accept() }()
	refused, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(refused)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Equals, "full")
	c.Assert(p.ClosedConns(budget.ReasonConnections), qt.Equals, int64(1))
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(p.Conns(budget.Caller), qt.Equals, int64(0))
}

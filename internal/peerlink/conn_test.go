package peerlink

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/peer"
)

// endpoint is a link that listens on a loopback address, which is also the name of its node.
type endpoint struct {
	*Link
	name     string
	received chan peer.Message
	opened   atomic.Int64
}

func newEndpoint(c *qt.C) *endpoint {
	c.Helper()
	e := &endpoint{received: make(chan peer.Message, 16)}
	l, err := New(func(m peer.Message) { e.received <- m }, WithConnectionCounter(func(metrics.Purpose) { e.opened.Add(1) }))
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e.Link, e.name = l, listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- l.Serve(listener) }()
	c.Cleanup(func() {
		c.Check(listener.Close(), qt.IsNil)
		l.Close()
		c.Check(<-done, qt.IsNil)
	})
	return e
}

// assertDelivered sends a message and checks that it arrives.
func assertDelivered(c *qt.C, from, to *endpoint, seq uint64) {
	c.Helper()
	from.Send(peer.Send{To: to.name, Address: to.name, Message: peer.Message{From: from.name, Seq: seq}})
	select {
	case m := <-to.received:
		c.Assert(m.Seq, qt.Equals, seq)
	case <-time.After(5 * time.Second):
		c.Fatal("the message did not arrive")
	}
}

// TestReplyOverSameConnection guards against a second connection, with its handshake and goroutines, for the answers to a node that
// has a connection open.
func TestReplyOverSameConnection(t *testing.T) {
	t.Run("answers open no connection", func(t *testing.T) {
		c := qt.New(t)
		a, b := newEndpoint(c), newEndpoint(c)
		for seq := range uint64(5) {
			assertDelivered(c, a, b, seq)
			assertDelivered(c, b, a, seq)
		}
		c.Assert(a.opened.Load(), qt.Equals, int64(1))
		c.Assert(b.opened.Load(), qt.Equals, int64(0))
	})
	t.Run("a connection is opened after the other end has closed its own", func(t *testing.T) {
		c := qt.New(t)
		a, b := newEndpoint(c), newEndpoint(c)
		assertDelivered(c, a, b, 1)
		assertDelivered(c, b, a, 2)
		a.mu.Lock()
		a.conns[b.name].stop()
		delete(a.conns, b.name)
		a.mu.Unlock()
		for i := 0; b.replyStream(a.name) != nil && i < 500; i++ {
			time.Sleep(10 * time.Millisecond)
		}
		assertDelivered(c, b, a, 3)
		c.Assert(b.opened.Load(), qt.Equals, int64(1))
	})
}

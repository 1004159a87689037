package traffic_test

import (
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/traffic"
)

// pipeListener accepts the connections that it is given, and is then closed.
type pipeListener struct {
	conns []net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if len(l.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.conns[0]
	l.conns = l.conns[1:]
	return conn, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestPanicOfOneConnection guards against a malformed message that ends the process: it must cost the connection that sent it.
func TestPanicOfOneConnection(t *testing.T) {
	c := qt.New(t)
	first, firstCaller := net.Pipe()
	second, secondCaller := net.Pipe()
	errs := make(chan error, 1)
	handle := func(conn net.Conn) {
		var b [1]byte
		if _, err := conn.Read(b[:]); err == nil && b[0] == 'x' {
			panic("malformed")
		}
		_, _ = conn.Write(b[:])
	}
	l := &pipeListener{conns: []net.Conn{first, second}}
	c.Assert(traffic.AcceptLoop(l, handle, func(err error) { errs <- err }), qt.IsNil)

	_, err := firstCaller.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	var p *traffic.PanicError
	c.Assert(errors.As(<-errs, &p), qt.IsTrue)
	c.Assert(p.Value, qt.Equals, "malformed")
	_, err = firstCaller.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)

	_, err = secondCaller.Write([]byte("y"))
	c.Assert(err, qt.IsNil)
	b := make([]byte, 1)
	_, err = secondCaller.Read(b)
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, "y")
}

package traffic

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout ends a connection whose bytes the other side has not acknowledged for so long.
	userTimeout = 1500 * time.Millisecond
	// keepAlive is the pause before and between probes of an idle connection; it is given up after keepAliveProbes of them.
	keepAlive       = 2 * time.Second
	keepAliveProbes = 2
)

// silence is how the operating system notices that an idle connection's path has gone silent.
var silence = net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive / 2, Count: keepAliveProbes}

// Dialer opens connections that end by themselves when the path has gone silent.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: silence, Control: func(_, _ string, c syscall.RawConn) error { return limitSilence(c) }}
}

// EnableDeadPeerDetection has a connection that was accepted end by itself when the path has gone silent.
func EnableDeadPeerDetection(conn *net.TCPConn) error {
	if err := conn.SetKeepAliveConfig(silence); err != nil {
		return err
	}
	c, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return limitSilence(c)
}

func limitSilence(c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// acceptBackoff is the pause after a connection that the operating system did not let in.
const acceptBackoff = 20 * time.Millisecond

// AcceptLoop hands each new connection to a goroutine of its own until the listener is closed. Other errors, such as too many open
// files, are reported and pass by themselves when callers leave, so they must not end the node.
func AcceptLoop(l net.Listener, take func(conn net.Conn), failed func(err error)) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			failed(err)
			time.Sleep(acceptBackoff)
		default:
			go take(conn)
		}
	}
}

// IdleConnUsable reports whether an idle connection is still open and has nothing to be read, which nobody has asked for.
func IdleConnUsable(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := true
	if err := rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && errors.Is(err, syscall.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return quiet
}

// IsConnectionRefused reports whether an error means that the VM answered and nobody serves there.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF)
}

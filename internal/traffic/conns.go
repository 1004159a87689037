package traffic

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the idle time before the first keep-alive probe; further probes follow at half that interval. The
	// connection is closed after keepAliveProbes probes without an answer.
	keepAliveIdle   = 2 * time.Second
	keepAliveProbes = 2
	// firstDialAttempt is how long the first attempt to open a connection may take, and dialAttemptGrowthTenths how much longer each
	// further one, in tenths. TCP itself sends a lost handshake packet again only after a second, and a peer that has just started has
	// lost the first one. The longest round trip between regions is shorter than a few attempts.
	firstDialAttempt        = 250 * time.Millisecond
	dialAttemptGrowthTenths = 12
	// maxDialTime bounds all attempts together.
	maxDialTime = 2 * time.Second
)

// keepAliveConfig makes the operating system detect that the peer of an idle connection is unreachable.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle / 2, Count: keepAliveProbes}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a connection that is closed when the peer becomes unreachable. An attempt that gets no answer is repeated until the
// context ends, or for maxDialTime. It returns the error of the last attempt.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		KeepAliveConfig: keepAliveConfig,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
	return dialAgain(ctx, d.DialContext, network, address)
}

func dialAgain(ctx context.Context, dial dialFunc, network, address string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, maxDialTime)
	defer stop()
	for timeout := firstDialAttempt; ; timeout = timeout * dialAttemptGrowthTenths / 10 {
		attempt, end := context.WithTimeout(ctx, timeout)
		conn, err := dial(attempt, network, address)
		unanswered := attempt.Err() != nil
		end()
		if err == nil || !unanswered || ctx.Err() != nil {
			return conn, err
		}
	}
}

// EnableDeadPeerDetection makes an accepted connection close when the peer becomes unreachable.
func EnableDeadPeerDetection(conn *net.TCPConn) error {
	if err := conn.SetKeepAliveConfig(keepAliveConfig); err != nil {
		return err
	}
	c, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(c)
}

func setUserTimeout(c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// acceptBackoff is the delay before the next accept after one that failed.
const acceptBackoff = 20 * time.Millisecond

// AcceptLoop runs handle in a new goroutine for each accepted connection until the listener is closed. It passes other errors, such
// as too many open files, to onError and continues: they clear up once callers disconnect and must not end the node. A panic of
// handle closes its connection and reaches onError as a *PanicError.
func AcceptLoop(l net.Listener, handle func(conn net.Conn), onError func(err error)) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			onError(err)
			time.Sleep(acceptBackoff)
		default:
			go serveConn(conn, handle, onError)
		}
	}
}

func serveConn(conn net.Conn, handle func(conn net.Conn), onError func(err error)) {
	if err := Contain(func() { handle(conn) }); err != nil {
		_ = conn.Close()
		onError(err)
	}
}

// PanicError reports a panic that ended the handling of one connection.
type PanicError struct {
	Value any
	// Stack is the stack of the goroutine that panicked.
	Stack []byte
}

// Error returns the value of the panic and the stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack)
}

// Contain runs f and returns a *PanicError if it panics. It is for code that handles what one connection sends, so that a message
// that triggers a fault costs that connection only.
func Contain(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}

// IdleConnUsable reports whether an idle connection is still open and has nothing to read. Bytes that arrive on an idle
// connection were not requested, so such a connection must not be used again.
func IdleConnUsable(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	usable := true
	if err := rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = n <= 0 && errors.Is(err, syscall.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return usable
}

// IsConnectionRefused reports whether an error shows that the VM is reachable but no process serves the port: the connection
// was refused, reset or closed.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF)
}

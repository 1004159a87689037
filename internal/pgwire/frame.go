package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/budget"
)

const (
	headerBytes = 5
	// MaxFrameBytes is the maximum size of one message of a caller.
	MaxFrameBytes = 16 << 20
	maxReplyBytes = 1 << 30
)

// The protocol's message types. Some letters mean one thing from a caller and another from a server.
const (
	typeAuthentication  = 'R'
	typeBind            = 'B'
	typeBindComplete    = '2'
	typeClose           = 'C'
	typeCloseComplete   = '3'
	typeCommandComplete = 'C'
	typeCopyBoth        = 'W'
	typeCopyIn          = 'G'
	typeCopyOut         = 'H'
	typeDescribe        = 'D'
	typeError           = 'E'
	typeExecute         = 'E'
	typeFlush           = 'H'
	typeFunctionCall    = 'F'
	typeNotice          = 'N'
	typeNotification    = 'A'
	typeParameterStatus = 'S'
	typeParse           = 'P'
	typeParseComplete   = '1'
	typePassword        = 'p'
	typeQuery           = 'Q'
	typeReadyForQuery   = 'Z'
	typeSync            = 'S'
	typeTerminate       = 'X'
)

// FrameError is the error of a message whose length is out of bounds. Offset counts the bytes of the stream before the message.
type FrameError struct {
	Type   byte
	Length uint32
	Offset int64
	Reason string
}

// Error returns the message's type, length and offset, and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("message %q of %d bytes at offset %d: %s", e.Type, e.Length, e.Offset, e.Reason)
}

// frame is one complete message: a type byte, a length of four bytes that includes itself, and a body.
type frame []byte

func (f frame) typeByte() byte {
	return f[0]
}

func (f frame) body() []byte {
	return f[headerBytes:]
}

// frameReader splits a stream into messages without decoding them, so that rows are forwarded unchanged.
type frameReader struct {
	r      *bufio.Reader
	limit  uint32
	offset int64
	header [headerBytes]byte
	// paced is the connection of a caller, and hold the reservation for the messages of a request, which have kept bytes so far. They
	// are nil for a server, whose messages have no limits of their own.
	paced *pacedReader
	hold  *budget.Hold
	kept  int64
}

func newFrameReader(r io.Reader, buffer int, limit uint32) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, buffer), limit: limit}
}

// next reads the next message and returns buf with the message appended. It returns a *FrameError if the length is out of bounds.
func (f *frameReader) next(buf []byte) ([]byte, error) {
	if _, err := io.ReadFull(f.r, f.header[:]); err != nil {
		return buf, err
	}
	n := binary.BigEndian.Uint32(f.header[1:])
	if n < 4 || n > f.limit {
		return buf, &FrameError{Type: f.header[0], Length: n, Offset: f.offset, Reason: "length out of bounds"}
	}
	f.offset += int64(n) + 1
	f.paced.begin()
	defer f.paced.end()
	if n > firstReadBytes && f.paced != nil {
		return f.readLong(buf, int(n-4))
	}
	buf = append(slices.Grow(buf, int(n)+1), f.header[:]...)
	start := len(buf)
	buf = buf[:start+int(n-4)]
	f.kept += int64(n)
	if _, err := io.ReadFull(f.r, buf[start:]); err != nil {
		return buf, err
	}
	if !f.hold.Grow(copies * f.kept) {
		return buf, errNoMemory
	}
	return buf, nil
}

const (
	// firstReadBytes is how much of a message is read before memory for the rest is reserved and taken.
	firstReadBytes = 16 << 10
	// copies is how many times a message is charged: it is parsed, and copied on its way to a server.
	copies = 3
)

// errNoMemory reports a message of a caller that was skipped because there is no memory for it.
var errNoMemory = &requestError{code: "53200", text: "this proxy has no memory for a message of this size now"}

// readLong reads the body of a caller's message of n bytes. Memory for the whole message is taken only once its beginning has
// arrived. A message for which there is none is skipped.
func (f *frameReader) readLong(buf []byte, n int) ([]byte, error) {
	f.kept += firstReadBytes
	if !f.hold.Grow(copies * f.kept) {
		return buf, f.skip(n)
	}
	first := make([]byte, firstReadBytes)
	if _, err := io.ReadFull(f.r, first); err != nil {
		return buf, err
	}
	f.kept += int64(n) - firstReadBytes
	if !f.hold.Grow(copies * f.kept) {
		return buf, f.skip(n - firstReadBytes)
	}
	buf = slices.Grow(buf, headerBytes+n)
	buf = append(append(buf, f.header[:]...), first...)
	start := len(buf)
	buf = buf[:start+n-firstReadBytes]
	_, err := io.ReadFull(f.r, buf[start:])
	return buf, err
}

// skip reads n bytes without keeping them.
func (f *frameReader) skip(n int) error {
	f.release()
	if _, err := io.CopyN(io.Discard, f.r, int64(n)); err != nil {
		return err
	}
	return errNoMemory
}

// skipNext reads a message without keeping its body, and returns its type.
func (f *frameReader) skipNext() (byte, error) {
	if _, err := io.ReadFull(f.r, f.header[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(f.header[1:])
	if n < 4 || n > f.limit {
		return 0, &FrameError{Type: f.header[0], Length: n, Offset: f.offset, Reason: "length out of bounds"}
	}
	f.offset += int64(n) + 1
	f.paced.begin()
	defer f.paced.end()
	_, err := io.CopyN(io.Discard, f.r, int64(n-4))
	return f.header[0], err
}

// release gives up the reservation for the messages of a request.
func (f *frameReader) release() {
	f.kept = 0
	f.hold.Release()
}

// pacedReader reads from the connection of a caller. A message that has begun must arrive at the pace of the limits.
type pacedReader struct {
	conn    net.Conn
	account *budget.Account
	limits  budget.Limits
	// within is set while a message has begun. began is when the reader first waited for its rest, and moved what it has read since.
	within bool
	began  time.Time
	moved  int64
}

func (p *pacedReader) begin() {
	if p != nil {
		p.within, p.began, p.moved = true, time.Time{}, 0
	}
}

func (p *pacedReader) end() {
	if p == nil {
		return
	}
	if p.within = false; !p.began.IsZero() {
		_ = p.conn.SetReadDeadline(time.Time{})
	}
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if !p.within {
		return p.conn.Read(b)
	}
	if p.began.IsZero() {
		p.began = time.Now()
	}
	if err := p.conn.SetReadDeadline(p.limits.Deadline(p.began, p.moved)); err != nil {
		return 0, err
	}
	n, err := p.conn.Read(b)
	p.moved += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.account.Reject(budget.ReasonPace)
	}
	return n, err
}

// newCallerFrames returns a reader of a caller's messages, with the limits of the account if there is one.
func newCallerFrames(conn net.Conn, account *budget.Account) *frameReader {
	limits, ok := account.Limits()
	if !ok {
		return newFrameReader(conn, callerBufferBytes, MaxFrameBytes)
	}
	p := &pacedReader{conn: conn, account: account, limits: limits}
	f := newFrameReader(p, callerBufferBytes, MaxFrameBytes)
	f.paced, f.hold = p, account.NewHold()
	return f
}

// encoder is implemented by all messages of the pgproto3 package.
type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// appendMessage appends an encoded message to dst. It returns dst unchanged if the encoder fails, which it does only for bodies
// larger than 1 GiB.
func appendMessage(dst []byte, m encoder) []byte {
	if out, err := m.Encode(dst); err == nil {
		return out
	}
	return dst
}

// errorBytes returns an error message for a caller, followed by ReadyForQuery unless status is zero.
func errorBytes(severity, code, text, detail, hint string, status byte) []byte {
	b := appendMessage(nil, &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: code, Message: text, Detail: detail, Hint: hint,
	})
	if status != 0 {
		b = appendMessage(b, &pgproto3.ReadyForQuery{TxStatus: status})
	}
	return b
}

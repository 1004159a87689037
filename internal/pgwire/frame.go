package pgwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
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
	buf = append(buf, f.header[:]...)
	start := len(buf)
	buf = append(buf, make([]byte, n-4)...)
	if _, err := io.ReadFull(f.r, buf[start:]); err != nil {
		return buf, err
	}
	return buf, nil
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

package pgwire

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	upstreamBufferBytes = 16 << 10
	flushBytes          = 16 << 10
	maxHeldBytes        = 32 << 20
	// heldCopies is how many times a held answer is charged: while it grows, its smaller copies are left to the collector.
	heldCopies = 2
	// maxKeptBuffer bounds the buffer that a connection keeps between requests.
	maxKeptBuffer      = 64 << 10
	readyForQueryBytes = 6
	positionParameter  = "group_position"
	uniqueViolation    = "23505"
	// OutcomeTable is the table with the idempotency keys of requests and their outcomes, in the caller's database.
	OutcomeTable = "buckthornport_outcomes"
	// Tombstone is the outcome of a key whose request did not run and never will.
	Tombstone = "not_run"
)

// UpstreamConn is one connection to a database server. Its goroutine runs one job at a time.
type UpstreamConn struct {
	id     caller.ConnID
	conn   net.Conn
	frames *frameReader
	post   func(e caller.Event)
	// jobs holds the queued jobs. A job returns false if the connection must be closed after it.
	jobs   chan func(u *UpstreamConn) bool
	closed chan struct{}
	// canceler sends cancel requests for this connection.
	canceler *pgconn.PgConn
	// prepared holds the names of the statements that the connection may have prepared; the value is false after a failed request.
	prepared map[string]bool
	// appliedSettings is the script of the session settings that the connection has.
	appliedSettings string
	// position is the last position that the server reported.
	position session.Position
	lastUse  time.Time
	buf      []byte
}

// DialUpstream opens a connection. The pgconn package runs the handshake; then the connection is taken over from it.
func DialUpstream(ctx context.Context, id caller.ConnID, cfg *pgconn.Config, post func(e caller.Event)) (*UpstreamConn, error) {
	var pc *pgconn.PgConn
	var err error
	if pc, err = pgconn.ConnectConfig(ctx, cfg); err != nil {
		return nil, err
	}
	var h *pgconn.HijackedConn
	if h, err = pc.Hijack(); err != nil {
		return nil, err
	}
	u := &UpstreamConn{
		id: id, conn: h.Conn, frames: newFrameReader(h.Conn, upstreamBufferBytes, maxReplyBytes), post: post,
		jobs: make(chan func(u *UpstreamConn) bool, 1), closed: make(chan struct{}), prepared: map[string]bool{},
		canceler: pc, lastUse: time.Now(),
	}
	u.position, _ = session.ParsePosition(h.ParameterStatuses[positionParameter])
	return u, nil
}

// Serve runs jobs until the connection fails or is closed.
func (u *UpstreamConn) Serve() {
	defer func() { _ = u.conn.Close() }()
	for {
		select {
		case <-u.closed:
			return
		case job := <-u.jobs:
			if !job(u) {
				return
			}
		}
	}
}

// Close closes the connection, even while a job is running.
func (u *UpstreamConn) Close() {
	select {
	case <-u.closed:
	default:
		close(u.closed)
		_ = u.conn.Close()
	}
}

// Cancel asks the server over a separate connection to cancel the running request.
func (u *UpstreamConn) Cancel(ctx context.Context) {
	_ = u.canceler.CancelRequest(ctx)
	u.post(caller.CancelDone{Conn: u.id})
}

// LaneConn returns the interface through which a lane uses the connection. The listener holds the requests that wait for an answer.
func (u *UpstreamConn) LaneConn(l *Listener) traffic.UpstreamConn {
	return traffic.UpstreamConn{
		Serve: u.Serve, Close: u.Close, Cancel: u.Cancel,
		Send: func(a caller.Send) {
			x, ok := l.exchange(a.Session, a.Seq)
			u.jobs <- func(u *UpstreamConn) bool { return ok && u.run(a, x) || !ok && u.abandon(a) }
		},
		LookupOutcome:  func(a caller.LookupOutcome) { u.jobs <- func(u *UpstreamConn) bool { return u.lookupOutcome(a) } },
		WriteTombstone: func(a caller.WriteTombstone) { u.jobs <- func(u *UpstreamConn) bool { return u.writeTombstone(a) } },
	}
}

// abandon reports a request as unsent because its caller has disconnected.
func (u *UpstreamConn) abandon(a caller.Send) bool {
	u.post(caller.RequestInterrupted{Conn: u.id, Request: a.Request, Unsent: true})
	return false
}

// usable reports whether the connection is still open. It skips the check if the connection was used less than 1 ms ago.
func (u *UpstreamConn) usable() bool {
	return time.Since(u.lastUse) < time.Millisecond || traffic.IdleConnUsable(u.conn)
}

// run runs a request and reports its reply to the lane. If the server has not reached the required position, run discards the
// answer and reports the request as unsent, unless the answer is an error or a part of it was already sent to the caller.
func (u *UpstreamConn) run(a caller.Send, x *Exchange) bool {
	if !u.usable() {
		u.post(caller.RequestInterrupted{Conn: u.id, Request: a.Request, Unsent: true})
		return false
	}
	e := &execution{conn: u, action: a, exchange: x, reply: caller.Replied{Conn: u.id, Request: a.Request}}
	if err := e.run(); err != nil {
		x.caller.held.Release()
		u.post(caller.RequestInterrupted{Conn: u.id, Request: a.Request, Unsent: e.unsent, Streamed: e.streamed})
		return false
	}
	if !e.streamed && !e.reply.Failed && !u.position.Covers(a.RequiredPosition) {
		x.caller.held.Release()
		u.post(caller.RequestInterrupted{Conn: u.id, Request: a.Request, Unsent: true})
		return false
	}
	u.lastUse = time.Now()
	if cap(u.buf) > maxKeptBuffer {
		u.buf = nil
	}
	e.reply.Position = u.position
	e.holdAnswer()
	u.post(e.reply)
	e.deliver()
	return true
}

// query runs a statement of the proxy and returns its reply.
func (u *UpstreamConn) query(sql string) (queryResult, error) {
	if err := u.write(appendMessage(nil, &pgproto3.Query{String: sql})); err != nil {
		return queryResult{}, err
	}
	return u.readReply()
}

// queryResult is the reply to a statement of the proxy. It holds the first column of the last row. After an error it holds the
// SQLSTATE and the error message as received.
type queryResult struct {
	value  string
	found  bool
	code   string
	tag    string
	status byte
	raw    []byte
}

// readReply reads the reply to one statement, up to its ReadyForQuery.
func (u *UpstreamConn) readReply() (queryResult, error) {
	var r queryResult
	for {
		var f frame
		var err error
		if f, err = u.readMessage(); err != nil {
			return r, err
		}
		switch f.typeByte() {
		case 'D':
			var m pgproto3.DataRow
			if err := m.Decode(f.body()); err != nil {
				return r, err
			}
			r.found = true
			r.value = string(m.Values[0])
		case typeError:
			r.code = errorCode(f)
			r.raw = append([]byte(nil), f...)
		case typeCommandComplete:
			r.tag = cString(f.body())
		case typeReadyForQuery:
			r.status = f.body()[0]
			return r, nil
		}
	}
}

// readMessage reads one message and records the position if the message reports one. The message is valid until the next call.
func (u *UpstreamConn) readMessage() (frame, error) {
	var err error
	if u.buf, err = u.frames.next(u.buf[:0]); err != nil {
		return nil, err
	}
	f := frame(u.buf)
	if f.typeByte() == typeParameterStatus {
		var m pgproto3.ParameterStatus
		if err := m.Decode(f.body()); err == nil && m.Name == positionParameter {
			u.position, _ = session.ParsePosition(m.Value)
		}
	}
	return f, nil
}

func (u *UpstreamConn) write(b []byte) error {
	_, err := u.conn.Write(b)
	return err
}

// lookupOutcome looks up the outcome recorded under an idempotency key.
func (u *UpstreamConn) lookupOutcome(a caller.LookupOutcome) bool {
	r, err := u.query(fmt.Sprintf("SELECT outcome FROM %s WHERE key = %s", OutcomeTable, quote(a.Key)))
	if err != nil || r.code != "" {
		u.post(caller.RequestInterrupted{Conn: u.id, Request: a.Request})
		return false
	}
	u.post(caller.OutcomeLookedUp{
		Conn: u.id, Request: a.Request, Found: r.found, Tombstoned: r.value == Tombstone, Outcome: r.value,
		Position: u.position,
	})
	return true
}

// writeTombstone inserts a tombstone under an idempotency key, unless the key already has an outcome.
func (u *UpstreamConn) writeTombstone(a caller.WriteTombstone) bool {
	r, err := u.query(insertOutcomeSQL(a.Key, Tombstone))
	if err != nil || r.code != "" && r.code != uniqueViolation {
		u.post(caller.RequestInterrupted{Conn: u.id, Request: a.Request})
		return false
	}
	u.post(caller.TombstoneWritten{
		Conn: u.id, Request: a.Request, Duplicate: r.code == uniqueViolation, Position: u.position,
	})
	return true
}

func insertOutcomeSQL(key, outcome string) string {
	return fmt.Sprintf("INSERT INTO %s (key, outcome) VALUES (%s, %s)", OutcomeTable, quote(key), quote(outcome))
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// errorCode returns the SQLSTATE of an error message, or that of an internal error if the message is malformed.
func errorCode(f frame) string {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.body()); err != nil {
		return "XX000"
	}
	return m.Code
}

func cString(b []byte) string {
	return strings.TrimRight(string(b), "\x00")
}

// splitUint32s decodes two consecutive integers, such as the process ID and secret of a cancel request.
func splitUint32s(b []byte) (first, second uint32) {
	return binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:])
}

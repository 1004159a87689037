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
	upstreamBuffer    = 16 << 10
	flushBytes        = 16 << 10
	maxHeldBytes      = 32 << 20
	readyBytes        = 6
	positionParameter = "group_position"
	uniqueViolation   = "23505"
	// OutcomeTable is where requests leave their idempotency keys, in the caller's own database.
	OutcomeTable = "buckthornport_outcomes"
	// Tombstone is the outcome of a key whose request can never run any more.
	Tombstone = "not_run"
)

// UpstreamConn is one connection to a database server; its goroutine runs one job at a time.
type UpstreamConn struct {
	id       caller.ConnID
	conn     net.Conn
	frames   *frameReader
	post     func(e caller.Event)
	jobs     chan func(u *UpstreamConn) bool
	closed   chan struct{}
	cancel   *pgconn.PgConn
	prepared map[string]bool
	vars     string
	position session.Position
	lastUse  time.Time
	buf      []byte
}

// DialUpstream opens a connection by the library's own handshake, and then speaks the protocol itself.
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
		id: id, conn: h.Conn, frames: newFrameReader(h.Conn, upstreamBuffer, maxReplyBytes), post: post,
		jobs: make(chan func(u *UpstreamConn) bool, 1), closed: make(chan struct{}), prepared: map[string]bool{},
		cancel: pc, lastUse: time.Now(),
	}
	u.position, _ = session.ParsePosition(h.ParameterStatuses[positionParameter])
	return u, nil
}

// Serve runs jobs until the connection breaks or is closed.
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

// Close ends the connection, also in the middle of a job.
func (u *UpstreamConn) Close() {
	select {
	case <-u.closed:
	default:
		close(u.closed)
		_ = u.conn.Close()
	}
}

// Cancel asks the server to cancel what the connection runs, over a connection of its own.
func (u *UpstreamConn) Cancel(ctx context.Context) {
	_ = u.cancel.CancelRequest(ctx)
	u.post(caller.CancelDone{Conn: u.id})
}

// LaneConn is the connection as a lane uses it; the front knows the requests that wait for an answer.
func (u *UpstreamConn) LaneConn(f *Listener) traffic.UpstreamConn {
	return traffic.UpstreamConn{
		Serve: u.Serve, Close: u.Close, Cancel: u.Cancel,
		Send: func(a caller.Send) {
			x, ok := f.exchange(a.Session, a.Seq)
			u.jobs <- func(u *UpstreamConn) bool { return ok && u.run(a, x) || !ok && u.skip(a) }
		},
		LookupOutcome:  func(a caller.Lookup) { u.jobs <- func(u *UpstreamConn) bool { return u.lookup(a) } },
		WriteTombstone: func(a caller.Bury) { u.jobs <- func(u *UpstreamConn) bool { return u.bury(a) } },
	}
}

// skip gives up a request whose caller has just gone.
func (u *UpstreamConn) skip(a caller.Send) bool {
	u.post(caller.Broken{Conn: u.id, Request: a.Request, Unsent: true})
	return false
}

// alive reports whether the connection can be used; one that was used just now is not looked at.
func (u *UpstreamConn) alive() bool {
	return time.Since(u.lastUse) < time.Millisecond || traffic.IdleConnUsable(u.conn)
}

// run sees a request through: what the connection lacks, the request itself and the key that goes with it.
func (u *UpstreamConn) run(a caller.Send, x *Exchange) bool {
	if !u.alive() {
		u.post(caller.Broken{Conn: u.id, Request: a.Request, Unsent: true})
		return false
	}
	e := &execution{u: u, send: a, x: x, reply: caller.Replied{Conn: u.id, Request: a.Request}}
	if err := e.run(); err != nil {
		u.post(caller.Broken{Conn: u.id, Request: a.Request, Unsent: e.unsent, Streamed: e.streamed})
		return false
	}
	if !e.streamed && !e.reply.Failed && !u.position.Covers(a.Need) {
		u.post(caller.Broken{Conn: u.id, Request: a.Request, Unsent: true})
		return false
	}
	u.lastUse = time.Now()
	e.reply.Position = u.position
	e.keep()
	u.post(e.reply)
	e.deliver()
	return true
}

// query runs a statement of the proxy's own, and returns its first value.
func (u *UpstreamConn) query(sql string) (result, error) {
	if err := u.write(appendMessage(nil, &pgproto3.Query{String: sql})); err != nil {
		return result{}, err
	}
	return u.collect()
}

// result is what came of a statement of the proxy's own.
type result struct {
	value  string
	found  bool
	code   string
	tag    string
	status byte
	raw    []byte
}

// collect reads one answer up to its ReadyForQuery.
func (u *UpstreamConn) collect() (result, error) {
	var r result
	for {
		var f frame
		var err error
		if f, err = u.next(); err != nil {
			return r, err
		}
		switch f.kind() {
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

// next reads one message, keeping the positions that the server reports to itself.
func (u *UpstreamConn) next() (frame, error) {
	var err error
	if u.buf, err = u.frames.next(u.buf[:0]); err != nil {
		return nil, err
	}
	f := frame(u.buf)
	if f.kind() == typeParameterStatus {
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

func (u *UpstreamConn) lookup(a caller.Lookup) bool {
	r, err := u.query(fmt.Sprintf("SELECT outcome FROM %s WHERE key = %s", OutcomeTable, quote(a.Key)))
	if err != nil || r.code != "" {
		u.post(caller.Broken{Conn: u.id, Request: a.Request})
		return false
	}
	u.post(caller.LookedUp{
		Conn: u.id, Request: a.Request, Found: r.found, Buried: r.value == Tombstone, Outcome: r.value,
		Position: u.position,
	})
	return true
}

func (u *UpstreamConn) bury(a caller.Bury) bool {
	r, err := u.query(insertOutcome(a.Key, Tombstone))
	if err != nil || r.code != "" && r.code != uniqueViolation {
		u.post(caller.Broken{Conn: u.id, Request: a.Request})
		return false
	}
	u.post(caller.Buried{
		Conn: u.id, Request: a.Request, Duplicate: r.code == uniqueViolation, Position: u.position,
	})
	return true
}

func insertOutcome(key, outcome string) string {
	return fmt.Sprintf("INSERT INTO %s (key, outcome) VALUES (%s, %s)", OutcomeTable, quote(key), quote(outcome))
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

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

// CancelKey splits a cancel request's body into the process and secret that a caller was given.
func cancelKey(b []byte) (pid, secret uint32) {
	return binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:])
}

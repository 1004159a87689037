package group

import (
	"context"
	"crypto/rand"
	"database/sql"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/pgwire"
)

// backend serves one connection.
type backend struct {
	srv      *Server
	conn     net.Conn
	wire     *pgproto3.Backend
	sql      *sql.Conn
	control  bool
	pid      uint32
	secret   []byte
	open     bool
	begun    bool
	failed   bool
	work     []logged
	stmts    map[string]statement
	portals  map[string]portal
	reported string
	cancel   context.CancelFunc
	skipping bool
	node     string
}

type statement struct {
	sql  string
	oids []uint32
}

type portal struct {
	statement statement
	args      []any
	formats   []int16
}

// pgError is an error as the protocol reports it.
type pgError struct {
	code string
	text string
}

// Error is the message without its code.
func (e *pgError) Error() string {
	return e.text
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	b := &backend{
		srv: s, conn: conn, wire: pgproto3.NewBackend(conn, conn),
		stmts: map[string]statement{}, portals: map[string]portal{},
	}
	if err := b.startup(ctx); err != nil {
		b.sendError(err)
		_ = b.wire.Flush()
		return
	}
	defer b.end(ctx)
	for {
		m, err := b.wire.Receive()
		if err != nil {
			return
		}
		s.gate()
		if !b.handle(ctx, m) {
			return
		}
	}
}

func (b *backend) end(ctx context.Context) {
	if b.begun {
		_, _ = b.sql.ExecContext(ctx, "ROLLBACK")
	}
	if b.sql != nil {
		_ = b.sql.Close()
	}
	if !b.control {
		b.srv.group.open.Add(-1)
	}
	b.srv.mu.Lock()
	defer b.srv.mu.Unlock()
	delete(b.srv.backends, b.pid)
	if b.node != "" && b.srv.holders[b.node] == b {
		b.srv.slots.Remove(b.node)
		delete(b.srv.holders, b.node)
	}
}

// startup admits a connection; the control user's do not count against the group's limit.
func (b *backend) startup(ctx context.Context) error {
	for {
		m, err := b.wire.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		b.srv.gate()
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := b.conn.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			b.srv.cancelBackend(m)
			return errors.New("cancelled")
		case *pgproto3.StartupMessage:
			return b.admit(ctx, m.Parameters["user"])
		}
	}
}

func (b *backend) admit(ctx context.Context, user string) error {
	g := b.srv.group
	b.control = user == pgwire.ControlUser
	if !b.control {
		time.Sleep(time.Duration(g.settings.ConnectMS) * time.Millisecond)
		if n := g.open.Add(1); n > int64(g.settings.Connections) {
			g.open.Add(-1)
			g.refused.Add(1)
			return &pgError{"53300", "sorry, too many clients already"}
		}
	}
	b.srv.mu.Lock()
	e := b.srv.engine
	b.srv.lastPID++
	b.pid = b.srv.lastPID
	b.srv.backends[b.pid] = b
	b.srv.mu.Unlock()
	var err error
	if b.sql, err = e.db.Conn(ctx); err != nil {
		return err
	}
	b.secret = make([]byte, 4)
	_, _ = rand.Read(b.secret)
	b.wire.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"client_encoding", "UTF8"},
		{"TimeZone", "UTC"},
		{"standard_conforming_strings", "on"},
		{"server_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
	} {
		b.wire.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	b.wire.Send(&pgproto3.BackendKeyData{ProcessID: b.pid, SecretKey: b.secret})
	return b.ready()
}

// ready reports the server's position if it changed, and that the next request may come.
func (b *backend) ready() error {
	b.srv.mu.Lock()
	p := b.srv.core.AppliedPosition().String()
	b.srv.mu.Unlock()
	if p != b.reported {
		b.reported = p
		b.wire.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: p})
	}
	status := byte('I')
	if b.open {
		status = 'T'
	}
	if b.failed {
		status = 'E'
	}
	b.wire.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return b.wire.Flush()
}

func (b *backend) sendError(err error) {
	var code string
	var pe *pgError
	switch {
	case errors.As(err, &pe):
		code = pe.code
	case errors.Is(err, context.Canceled):
		code = "57014"
	default:
		code = sqliteCode(err)
	}
	b.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error()})
}

// handle serves one message, and reports whether the connection goes on.
func (b *backend) handle(ctx context.Context, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		b.simple(ctx, m.String)
		return b.ready() == nil
	case *pgproto3.Sync:
		b.skipping = false
		if err := b.endImplicit(ctx); err != nil {
			b.sendError(err)
		}
		return b.ready() == nil
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Flush:
		return b.wire.Flush() == nil
	}
	if b.skipping {
		return true
	}
	if err := b.extended(ctx, m); err != nil {
		b.fail(ctx)
		b.sendError(err)
		b.skipping = true
	}
	return true
}

func (b *backend) extended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		b.stmts[m.Name] = statement{sql: m.Query, oids: append([]uint32(nil), m.ParameterOIDs...)}
		b.wire.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return b.bind(m)
	case *pgproto3.Describe:
		return b.describe(ctx, m)
	case *pgproto3.Execute:
		p, ok := b.portals[m.Portal]
		if !ok {
			return &pgError{"34000", fmt.Sprintf("portal %q does not exist", m.Portal)}
		}
		return b.execute(ctx, p.statement.sql, p.args, p.formats, false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(b.stmts, m.Name)
		} else {
			delete(b.portals, m.Name)
		}
		b.wire.Send(&pgproto3.CloseComplete{})
	default:
		return &pgError{"08P01", fmt.Sprintf("unexpected message %T", m)}
	}
	return nil
}

func (b *backend) bind(m *pgproto3.Bind) error {
	s, ok := b.stmts[m.PreparedStatement]
	if !ok {
		return &pgError{"26000", fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	args, err := decodeArgs(m, s.oids)
	if err != nil {
		return err
	}
	b.portals[m.DestinationPortal] = portal{statement: s, args: args, formats: append([]int16(nil), m.ResultFormatCodes...)}
	b.wire.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *Server) cancelBackend(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.backends[m.ProcessID]
	if ok && b.cancel != nil && len(m.SecretKey) == 4 && binary.BigEndian.Uint32(b.secret) == binary.BigEndian.Uint32(m.SecretKey) {
		b.cancel()
	}
}

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
	server     *Server
	conn       net.Conn
	wire       *pgproto3.Backend
	engineConn *sql.Conn
	// isControl is set if the connection belongs to the control user.
	isControl bool
	processID uint32
	secret    []byte
	// inTransaction is set if BEGIN has run. The engine's own transaction, engineTxOpen, starts with the first write.
	inTransaction bool
	engineTxOpen  bool
	txFailed      bool
	// writes are the statements that the next commit appends to the log.
	writes     []loggedStatement
	statements map[string]statement
	portals    map[string]portal
	// reportedPosition is the position that was last sent on this connection.
	reportedPosition string
	cancel           context.CancelFunc
	// skipUntilSync is set if an extended query failed, so that messages are ignored until the next Sync.
	skipUntilSync bool
	// slotNode is the node that requests slots over this connection.
	slotNode string
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

// pgError is an error with an SQLSTATE, sent as an ErrorResponse.
type pgError struct {
	code    string
	message string
}

// Error returns the message without the SQLSTATE.
func (e *pgError) Error() string {
	return e.message
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	b := &backend{
		server: s, conn: conn, wire: pgproto3.NewBackend(conn, conn),
		statements: map[string]statement{}, portals: map[string]portal{},
	}
	if err := b.startup(ctx); err != nil {
		b.sendError(err)
		_ = b.wire.Flush()
		return
	}
	defer b.cleanUp(ctx)
	for {
		m, err := b.wire.Receive()
		if err != nil {
			return
		}
		s.waitWhilePaused()
		if !b.handleMessage(ctx, m) {
			return
		}
	}
}

// cleanUp rolls back the open transaction and releases the connection's resources, and the slots of its node.
func (b *backend) cleanUp(ctx context.Context) {
	if b.engineTxOpen {
		_, _ = b.engineConn.ExecContext(ctx, "ROLLBACK")
	}
	if b.engineConn != nil {
		_ = b.engineConn.Close()
	}
	if !b.isControl {
		b.server.group.openConnections.Add(-1)
	}
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	delete(b.server.backends, b.processID)
	if b.slotNode != "" && b.server.slotConns[b.slotNode] == b {
		b.server.slots.Remove(b.slotNode)
		delete(b.server.slotConns, b.slotNode)
	}
}

// startup negotiates the start of a connection and admits it.
func (b *backend) startup(ctx context.Context) error {
	for {
		m, err := b.wire.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		b.server.waitWhilePaused()
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := b.conn.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			b.server.cancelBackend(m)
			return errors.New("cancelled")
		case *pgproto3.StartupMessage:
			return b.admit(ctx, m.Parameters["user"])
		}
	}
}

// admit refuses connections beyond the group's limit, which does not apply to the control user.
func (b *backend) admit(ctx context.Context, user string) error {
	g := b.server.group
	b.isControl = user == pgwire.ControlUser
	if !b.isControl {
		time.Sleep(time.Duration(g.settings.ConnectMS) * time.Millisecond)
		if n := g.openConnections.Add(1); n > int64(g.settings.Connections) {
			g.openConnections.Add(-1)
			g.refusedConnections.Add(1)
			return &pgError{"53300", "sorry, too many clients already"}
		}
	}
	b.server.mu.Lock()
	engine := b.server.engine
	b.server.lastProcessID++
	b.processID = b.server.lastProcessID
	b.server.backends[b.processID] = b
	b.server.mu.Unlock()
	var err error
	if b.engineConn, err = engine.db.Conn(ctx); err != nil {
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
	b.wire.Send(&pgproto3.BackendKeyData{ProcessID: b.processID, SecretKey: b.secret})
	return b.sendReady()
}

// sendReady sends the server's position if it has changed, and then ReadyForQuery.
func (b *backend) sendReady() error {
	b.server.mu.Lock()
	p := b.server.core.AppliedPosition().String()
	b.server.mu.Unlock()
	if p != b.reportedPosition {
		b.reportedPosition = p
		b.wire.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: p})
	}
	status := byte('I')
	if b.inTransaction {
		status = 'T'
	}
	if b.txFailed {
		status = 'E'
	}
	b.wire.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return b.wire.Flush()
}

func (b *backend) sendError(err error) {
	var code string
	var pgErr *pgError
	switch {
	case errors.As(err, &pgErr):
		code = pgErr.code
	case errors.Is(err, context.Canceled):
		code = "57014"
	default:
		code = sqlstate(err)
	}
	b.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error()})
}

// handleMessage processes one message. It returns false if the connection must be closed.
func (b *backend) handleMessage(ctx context.Context, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		b.runSimpleQuery(ctx, m.String)
		return b.sendReady() == nil
	case *pgproto3.Sync:
		b.skipUntilSync = false
		if err := b.commitImplicit(ctx); err != nil {
			b.sendError(err)
		}
		return b.sendReady() == nil
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Flush:
		return b.wire.Flush() == nil
	}
	if b.skipUntilSync {
		return true
	}
	if err := b.handleExtended(ctx, m); err != nil {
		b.failTransaction(ctx)
		b.sendError(err)
		b.skipUntilSync = true
	}
	return true
}

func (b *backend) handleExtended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		b.statements[m.Name] = statement{sql: m.Query, oids: append([]uint32(nil), m.ParameterOIDs...)}
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
			delete(b.statements, m.Name)
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
	s, ok := b.statements[m.PreparedStatement]
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

// cancelBackend cancels the statement that a connection runs, if the secret key is right.
func (s *Server) cancelBackend(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.backends[m.ProcessID]
	if ok && b.cancel != nil && len(m.SecretKey) == 4 && binary.BigEndian.Uint32(b.secret) == binary.BigEndian.Uint32(m.SecretKey) {
		b.cancel()
	}
}

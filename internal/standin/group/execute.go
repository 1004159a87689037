package group

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	pg "github.com/pganalyze/pg_query_go/v6"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/pgwire"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// holdTimeout limits how long group_hold waits for a majority.
const holdTimeout = 300 * time.Millisecond

var (
	statementCache     = pgwire.NewStatementCache()
	controlCallPattern = regexp.MustCompile(`(?i)^\s*select\s+group_(\w+)\(\s*(\d+)\s*,\s*'?([^')]*)'?\s*\)`)
	slotsCallPattern   = regexp.MustCompile(`(?i)^\s*select\s+group_slots\('([^']*)'` + strings.Repeat(`\s*,\s*(\d+)`, 5) + `\s*\)`)
	showStatusPattern  = regexp.MustCompile(`(?i)^\s*show\s+group_status\s*;?\s*$`)
	sleepPattern       = regexp.MustCompile(`(?i)pg_sleep\(\s*([0-9.]+)\s*\)`)
	parameterPattern   = regexp.MustCompile(`\$(\d+)`)
	showPattern        = regexp.MustCompile(`(?i)^\s*show\s+([\w.]+)`)
)

// runSimpleQuery runs all statements of a simple query. They form one transaction, unless they contain transaction control.
func (b *backend) runSimpleQuery(ctx context.Context, text string) {
	parts, err := pg.SplitWithParser(text, true)
	if err != nil {
		parts = []string{text}
	}
	if len(parts) == 0 {
		b.wire.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, p := range parts {
		if err := b.execute(ctx, p, nil, nil, true); err != nil {
			b.failTransaction(ctx)
			b.sendError(err)
			return
		}
	}
	if err := b.commitImplicit(ctx); err != nil {
		b.sendError(err)
	}
}

// execute runs one statement and sends its rows and command tag.
func (b *backend) execute(ctx context.Context, text string, args []any, formats []int16, describe bool) error {
	r, err := b.runStatement(ctx, text, args)
	if err != nil {
		return err
	}
	if describe && len(r.fields) > 0 {
		b.wire.Send(&pgproto3.RowDescription{Fields: r.rowDescription(nil)})
	}
	for _, row := range r.rows {
		b.wire.Send(&pgproto3.DataRow{Values: r.encode(row, formats)})
	}
	b.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

// runStatement handles transaction control and settings itself, and passes all other statements to the engine.
func (b *backend) runStatement(ctx context.Context, text string, args []any) (*resultSet, error) {
	if b.isControl {
		if r, ok, err := b.runControl(ctx, text); ok {
			return r, err
		}
	}
	info := statementCache.Parse(text)
	switch {
	case info.Kind == caller.KindBegin:
		b.inTransaction = true
		return &resultSet{tag: "BEGIN"}, nil
	case info.Kind == caller.KindCommit:
		return b.commit(ctx)
	case info.Kind == caller.KindRollback:
		b.rollback(ctx)
		return &resultSet{tag: "ROLLBACK"}, nil
	case b.txFailed:
		return nil, &pgError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	case info.Setting != "" || info.SetsSession || info.Local || strings.HasPrefix(strings.ToUpper(strings.TrimSpace(text)), "RESET"):
		return &resultSet{tag: "SET"}, nil
	case showPattern.MatchString(text):
		return textResult(showPattern.FindStringSubmatch(text)[1], "on", "SHOW"), nil
	}
	return b.runInSlot(ctx, text, args, info)
}

// runInSlot runs a statement in one of the server's slots, or refuses it if none is free. The control user needs no slot. Reads
// run outside of engine transactions. This gives PostgreSQL's isolation level read committed, and no lock is held while a
// caller is idle inside a transaction.
func (b *backend) runInSlot(ctx context.Context, text string, args []any, info pgwire.StatementInfo) (*resultSet, error) {
	s := b.server
	n := s.running.Add(1)
	defer s.running.Add(-1)
	s.queries.Add(1)
	for p := s.peakRunning.Load(); n > p && !s.peakRunning.CompareAndSwap(p, n); p = s.peakRunning.Load() {
		continue
	}
	if n > int64(s.group.settings.SlotsPerServer) && !b.isControl {
		s.slotsExceeded.Add(1)
		return nil, &pgError{"53000", "no slot is free on this server"}
	}
	ctx, stop := b.withCancel(ctx)
	defer stop()
	if err := b.waitServiceTime(ctx, text); err != nil {
		return nil, err
	}
	if s.group.settings.Engine == EngineNull {
		return textResult("one", "1", "SELECT 1"), nil
	}
	if info.Kind == caller.KindWrite {
		if err := b.beginEngineTx(ctx); err != nil {
			return nil, err
		}
	}
	r, err := b.queryEngine(ctx, text, args, info)
	if err == nil && info.Kind == caller.KindWrite {
		b.writes = append(b.writes, loggedStatement{SQL: text, Args: args})
	}
	return r, err
}

// withCancel returns a context that a CancelRequest for this connection cancels.
func (b *backend) withCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	b.server.mu.Lock()
	b.cancel = stop
	b.server.mu.Unlock()
	return ctx, stop
}

// waitServiceTime waits for the configured service time and the time of a pg_sleep call.
func (b *backend) waitServiceTime(ctx context.Context, text string) error {
	d := time.Duration(b.server.group.settings.ServiceUS) * time.Microsecond
	if m := sleepPattern.FindStringSubmatch(text); m != nil {
		seconds, _ := strconv.ParseFloat(m[1], 64)
		d += time.Duration(seconds * float64(time.Second))
	}
	if d == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return &pgError{"57014", "canceling statement due to user request"}
	case <-time.After(d):
		return nil
	}
}

// beginEngineTx starts the engine's transaction at the first write of a transaction.
func (b *backend) beginEngineTx(ctx context.Context) error {
	b.server.mu.Lock()
	leads := b.server.core.Leads()
	b.server.mu.Unlock()
	if !leads {
		return &pgError{"25006", "cannot write on this server, it is not the primary"}
	}
	if b.engineTxOpen {
		return nil
	}
	if _, err := b.engineConn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	b.engineTxOpen = true
	return nil
}

// failTransaction marks an explicit transaction as failed, and rolls back an implicit one.
func (b *backend) failTransaction(ctx context.Context) {
	if b.inTransaction {
		b.txFailed = true
		return
	}
	b.rollback(ctx)
}

func (b *backend) rollback(ctx context.Context) {
	if b.engineTxOpen {
		_, _ = b.engineConn.ExecContext(context.WithoutCancel(ctx), "ROLLBACK")
	}
	b.inTransaction, b.engineTxOpen, b.txFailed, b.writes = false, false, false, nil
}

// commitImplicit commits the writes that ran outside of an explicit transaction.
func (b *backend) commitImplicit(ctx context.Context) error {
	if b.inTransaction || !b.engineTxOpen {
		return nil
	}
	_, err := b.commit(ctx)
	return err
}

// commit commits the transaction in the engine and appends it to the log. It fails if the server no longer leads.
func (b *backend) commit(ctx context.Context) (*resultSet, error) {
	if b.txFailed {
		b.rollback(ctx)
		return &resultSet{tag: "ROLLBACK"}, nil
	}
	if len(b.writes) == 0 {
		b.rollback(ctx)
		return &resultSet{tag: "COMMIT"}, nil
	}
	s := b.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.Leads() {
		b.rollback(ctx)
		return nil, &pgError{"25006", "cannot commit on this server, it is no longer the primary"}
	}
	if _, err := b.engineConn.ExecContext(ctx, "COMMIT"); err != nil {
		b.rollback(ctx)
		return nil, err
	}
	_, err := s.core.Commit(encodePayload(b.writes))
	b.inTransaction, b.engineTxOpen, b.writes = false, false, nil
	s.wakeReplication()
	return &resultSet{tag: "COMMIT"}, err
}

// runControl runs the status queries and orders that only the control user may send. It returns false for other statements.
func (b *backend) runControl(ctx context.Context, text string) (*resultSet, bool, error) {
	if showStatusPattern.MatchString(text) {
		return jsonResult("group_status", b.server.Status()), true, nil
	}
	if m := slotsCallPattern.FindStringSubmatch(text); m != nil {
		return jsonResult("group_slots", b.requestSlots(m[1:])), true, nil
	}
	m := controlCallPattern.FindStringSubmatch(text)
	if m == nil {
		return nil, false, nil
	}
	number, err := strconv.ParseUint(m[2], 10, 64)
	if err != nil {
		return nil, true, &pgError{"22003", err.Error()}
	}
	switch strings.ToLower(m[1]) {
	case "promise":
		return b.orderResult(func() bool { return b.server.withCore(func(c *Core) bool { return c.Promise(number, m[3]) }) }), true, nil
	case "promote":
		return b.orderResult(func() bool { return b.server.promote(ctx, number, m[3]) }), true, nil
	case "follow":
		return b.orderResult(func() bool {
			return b.server.withCore(func(c *Core) bool { return c.Follow(b.server.group.now(), number) })
		}), true, nil
	case "hold":
		offset, _ := strconv.ParseUint(m[3], 10, 64)
		return jsonResult("group_hold", b.server.awaitMajority(session.Position{Term: number, Offset: offset}, holdTimeout)), true, nil
	default:
		return nil, true, &pgError{"42883", "no such order"}
	}
}

// requestSlots grants slots to a node. The node's slots are released when its connection closes.
func (b *backend) requestSlots(args []string) pgwire.SlotsResponse {
	seq, _ := strconv.ParseUint(args[1], 10, 64)
	var n [4]int
	for i := range n {
		n[i], _ = strconv.Atoi(args[i+2])
	}
	s := b.server
	s.mu.Lock()
	defer s.mu.Unlock()
	b.slotNode = args[0]
	s.slotConns[b.slotNode] = b
	now := s.group.now()
	c := s.slots.Request(now, b.slotNode, seq, n[0], n[1], n[2], n[3])
	return pgwire.SlotsResponse{
		Slots: c.Slots, LongSlots: c.LongSlots, Contended: s.slots.Contended(b.slotNode), Restarted: s.slots.Restarted(now),
	}
}

// withCore calls f with the lock held, and wakes the waiters on cond.
func (s *Server) withCore(f func(c *Core) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.cond.Broadcast()
	return f(s.core)
}

// orderResult runs an order, and returns whether it was granted and the server's status.
func (b *backend) orderResult(f func() bool) *resultSet {
	ok := f()
	return jsonResult("granted", upstream.OrderResponse{Granted: ok, Status: b.server.Status()})
}

func jsonResult(name string, v any) *resultSet {
	body, err := json.Marshal(v)
	if err != nil {
		body = []byte("null")
	}
	return textResult(name, string(body), "SELECT 1")
}

func textResult(name, value, tag string) *resultSet {
	return &resultSet{fields: []field{{name, oidText}}, rows: [][]any{{value}}, tag: tag}
}

// sqlstate maps an error of the engine to an SQLSTATE.
func sqlstate(err error) string {
	text := err.Error()
	for _, k := range []struct{ fragment, code string }{
		{"UNIQUE constraint", "23505"},
		{"NOT NULL constraint", "23502"},
		{"FOREIGN KEY constraint", "23503"},
		{"CHECK constraint", "23514"},
		{"no such table", "42P01"},
		{"no such column", "42703"},
		{"no such function", "42883"},
		{"already exists", "42P07"},
		{"syntax error", "42601"},
		{"locked", "40001"},
		{"busy", "40001"},
		{"interrupted", "57014"},
	} {
		if strings.Contains(text, k.fragment) {
			return k.code
		}
	}
	return "XX000"
}

// highestParameter returns the highest number among the parameters $1, $2, ... of a statement.
func highestParameter(text string) int {
	highest := 0
	for _, m := range parameterPattern.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[1])
		highest = max(highest, n)
	}
	return highest
}

func commandTag(verb string, n int64) string {
	switch verb {
	case "insert":
		return fmt.Sprintf("INSERT 0 %d", n)
	case "update", "delete":
		return fmt.Sprintf("%s %d", strings.ToUpper(verb), n)
	case "select":
		return fmt.Sprintf("SELECT %d", n)
	default:
		return "OK"
	}
}

package pgwire_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/pgwire"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// TestAccessRevoked guards against a session that goes on after its user has lost access, and against requests without a tenant.
func TestAccessRevoked(t *testing.T) {
	c := qt.New(t)
	s, err := session.NewSigner([]byte("0123456789abcdef"))
	c.Assert(err, qt.IsNil)
	l, err := pgwire.NewListener(s, "n0")
	c.Assert(err, qt.IsNil)
	statements := make(chan caller.Statement, 1)
	l.Lane = func(string) (func(caller.Event), bool) {
		return func(e caller.Event) {
			if r, ok := e.(caller.RequestReceived); ok {
				statements <- r.Statement
				go l.Callers("ledger").Refuse(caller.Refuse{
					Session: r.Session, Seq: r.Seq, Refusal: caller.Refusal{Reason: caller.ReasonOverload},
				})
			}
		}, true
	}
	l.Authorize = func(string, string) (pgwire.Credentials, error) { return pgwire.Credentials{}, nil }
	l.Classify = func(string, string, []string) (bundle.Class, uint64) { return bundle.Class{}, 1 }
	var revoked atomic.Bool
	l.Access = func(user, _ string) (string, error) {
		if revoked.Load() {
			return "", errors.New("user may not connect")
		}
		return "tenant of " + user, nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = l.Serve(ln) }()
	c.Cleanup(func() { _ = ln.Close() })
	ctx := context.Background()
	const options = "sslmode=disable&default_query_exec_mode=simple_protocol"
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://shop@%s/ledger?%s", ln.Addr(), options))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(ctx) })
	assertState := func(want string) {
		c.Helper()
		_, err := conn.Exec(ctx, "select 1")
		var e *pgconn.PgError
		c.Assert(err, qt.ErrorAs, &e)
		c.Assert(e.Code, qt.Equals, want)
	}
	assertState("53300")
	c.Assert((<-statements).Tenant, qt.Equals, "tenant of shop")
	revoked.Store(true)
	assertState("28000")
	c.Assert(statements, qt.HasLen, 0)
}

package pgwire_test

import (
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/pgwire"
	"buckthornport.example/buckthornport/pkg/session"
)

// failingListener returns an error from the given number of Accept calls, and then reports that it is closed.
type failingListener struct {
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, errors.New("too many open files")
}

func (l *failingListener) Close() error   { return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestServeOutlivesAcceptErrors guards against a node that stops accepting connections after accept has failed, for example because
// too many files were open.
func TestServeOutlivesAcceptErrors(t *testing.T) {
	c := qt.New(t)
	s, err := session.NewSigner([]byte("0123456789abcdef"))
	c.Assert(err, qt.IsNil)
	l, err := pgwire.NewListener(s, "n0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Serve(&failingListener{failures: 3}), qt.IsNil)
	c.Assert(l.Stats().AcceptErrors.Load(), qt.Equals, int64(3))
}

func TestParseSQL(t *testing.T) {
	for _, k := range []struct {
		sql         string
		kind        caller.Kind
		verb        string
		unsupported bool
	}{
		{"select * from t", caller.KindRead, "select", false},
		{"select count(*), max(x) from t where y = lower('A')", caller.KindRead, "select", false},
		{"select * from t for update", caller.KindWrite, "select", false},
		{"select setval('s', 1)", caller.KindWrite, "select", false},
		{"with x as (insert into t values (1) returning *) select * from x", caller.KindWrite, "select", false},
		{"insert into t select * from u", caller.KindWrite, "insert", false},
		{"create table t (x int)", caller.KindWrite, "other", false},
		{"begin", caller.KindBegin, "other", false},
		{"start transaction read only", caller.KindBegin, "other", false},
		{"commit", caller.KindCommit, "other", false},
		{"rollback to savepoint x", caller.KindRead, "other", false},
		{"select 1; select 2", caller.KindRead, "select", false},
		{"select 1; delete from t", caller.KindWrite, "delete", false},
		{"begin; select 1", 0, "", true},
		{"copy t from stdin", 0, "", true},
		{"create temp table x (y int)", 0, "", true},
		{"not sql at all", caller.KindWrite, "other", false},
	} {
		t.Run(k.sql, func(t *testing.T) {
			c := qt.New(t)
			info := pgwire.ParseSQL(k.sql)
			c.Assert(info.Unsupported != "", qt.Equals, k.unsupported)
			if !k.unsupported {
				c.Assert(info.Kind, qt.Equals, k.kind)
				c.Assert(info.Verb, qt.Equals, k.verb)
			}
		})
	}
}

func FuzzParseSQL(f *testing.F) {
	f.Add("select 1; begin")
	f.Fuzz(func(_ *testing.T, sql string) {
		pgwire.ParseSQL(sql)
	})
}

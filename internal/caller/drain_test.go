package caller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

var rollback = caller.Statement{Kind: caller.KindRollback, Class: write.Class}

// beginTransaction opens a transaction of session 1 and leaves it idle.
func (l *appointedLane) beginTransaction() {
	l.c.Helper()
	as := l.request(1, begin)
	s := only[caller.Send](l.c, as)
	l.step(caller.Replied{Conn: s.Conn, Request: s.Request, TransactionOpen: true})
	assertReleased(l, l.confirm(as, 1))
}

// writeInTransaction runs a write in the open transaction of session 1.
func (l *appointedLane) writeInTransaction() {
	l.c.Helper()
	s := only[caller.Send](l.c, l.request(1, write))
	l.step(caller.Replied{Conn: s.Conn, Request: s.Request, TransactionOpen: true})
}

func assertRolledBack(l *appointedLane, as []caller.Action, failed bool) {
	l.c.Helper()
	l.c.Assert(has[caller.Send](as), qt.IsFalse, qt.Commentf("a server gets the request"))
	r := only[caller.Refuse](l.c, as)
	l.c.Assert(r.Refusal.Reason, qt.Equals, caller.ReasonRolledBack)
	l.c.Assert(r.TransactionFailed, qt.Equals, failed)
	only[caller.Close](l.c, as)
}

// TestDrainedTransactions guards against statements of open transactions that a node passes on although it is about to stop, so
// that their callers get no answer (LOST, review/3).
func TestDrainedTransactions(t *testing.T) {
	drain := func(l *appointedLane) {
		l.step(caller.DrainStarted{}, caller.DrainTransactions{})
	}
	t.Run("a statement is refused and the transaction rolled back", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.beginTransaction()
		drain(l)
		assertRolledBack(l, l.request(1, write), true)
	})
	t.Run("a commit is refused and the transaction rolled back", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.beginTransaction()
		l.writeInTransaction()
		drain(l)
		as := l.request(1, commit)
		assertRolledBack(l, as, false)
		only[caller.EndSession](l.c, as)
	})
	t.Run("a rollback is answered", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.beginTransaction()
		drain(l)
		as := l.request(1, rollback)
		l.c.Assert(only[caller.Complete](l.c, as).Tag, qt.Equals, "ROLLBACK")
		only[caller.Close](l.c, as)
		only[caller.EndSession](l.c, as)
	})
	t.Run("a commit that runs is awaited", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.beginTransaction()
		l.writeInTransaction()
		s := only[caller.Send](l.c, l.request(1, commit))
		drain(l)
		l.step(caller.Replied{Conn: s.Conn, Request: s.Request, Position: session.Position{Term: 1, Offset: 21}, Tag: "COMMIT"})
		assertReleased(l, l.confirmReplicated(l.wait(10*time.Millisecond), 21))
	})
	t.Run("a transaction goes on until then", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.beginTransaction()
		l.step(caller.DrainStarted{})
		l.writeInTransaction()
	})
}

// TestDrainDeadline guards against connections that a stopping node closes without an answer to the request that runs on them.
func TestDrainDeadline(t *testing.T) {
	t.Run("a commit is in doubt", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.beginTransaction()
		l.writeInTransaction()
		l.request(1, commit)
		assertRefusedAs(l, l.step(caller.DrainDeadline{}), caller.ReasonUnknown)
	})
	t.Run("a write is in doubt", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.request(1, write)
		assertRefusedAs(l, l.step(caller.DrainDeadline{}), caller.ReasonUnknown)
	})
	t.Run("a commit that waits for a replica is in doubt", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		assertHeldBack(l, l.reply(only[caller.Send](l.c, l.request(1, write)), 21))
		assertRefusedAs(l, l.step(caller.DrainDeadline{}), caller.ReasonUnknown)
	})
	t.Run("a statement in a transaction is rolled back", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.beginTransaction()
		l.request(1, write)
		assertRefusedAs(l, l.step(caller.DrainDeadline{}), caller.ReasonRolledBack)
	})
	t.Run("a read is interrupted", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		l.request(2, agedRead)
		assertRefusedAs(l, l.step(caller.DrainDeadline{}), caller.ReasonInterrupted)
	})
	t.Run("a request that no server got has not run", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.view.Suspect = true
		l.step(caller.ViewUpdated{View: l.view})
		l.request(1, write)
		assertRefusedAs(l, l.step(caller.DrainDeadline{}), caller.ReasonDraining)
	})
}

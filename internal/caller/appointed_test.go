package caller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// appointedLane is the fixture for the lane of an appointed group. Upstream connections open at once.
type appointedLane struct {
	*laneFixture
	c     *qt.C
	conns map[caller.ConnID]string
	next  map[caller.SessionID]uint64
}

func newAppointedLane(c *qt.C) *appointedLane {
	c.Helper()
	return newAppointedLaneWith(c, caller.Quickest(func(string) int { return 0 }))
}

func newAppointedLaneWith(c *qt.C, p caller.Policy) *appointedLane {
	c.Helper()
	d, err := caller.NewLane("g", "z0", caller.WithGroupKind(caller.Appointed(func(string) int { return 0 })),
		caller.WithPolicy(p),
		caller.WithViolationHandler(func(invariant, detail string) { c.Errorf("%s: %s", invariant, detail) }))
	c.Assert(err, qt.IsNil)
	l := &appointedLane{
		c: c, conns: map[caller.ConnID]string{}, next: map[caller.SessionID]uint64{},
		laneFixture: &laneFixture{lane: d, now: 10 * time.Second, view: upstream.GroupView{
			Name: "g", Term: 1, Primary: "p", EvidenceTTL: evidenceTTL,
		}},
	}
	for _, n := range []string{"p", "r0", "r1"} {
		l.view.Servers = append(l.view.Servers, upstream.ServerView{Name: n, Alive: true, Term: 1})
		l.step(caller.LimitsUpdated{Server: n, Slots: 4, Conns: 4})
	}
	l.step(caller.ViewUpdated{View: l.view})
	return l
}

// request sends a request in a session, which it opens first if needed, and opens the connections that the request needs.
func (l *appointedLane) request(id caller.SessionID, s caller.Statement) []caller.Action {
	if l.next[id] == 0 {
		l.step(caller.SessionOpened{Session: id, HasFloor: true})
	}
	l.next[id]++
	return l.openConns(l.step(caller.RequestReceived{Session: id, Seq: l.next[id], Statement: s}))
}

// openConns opens connections until the lane asks for no more, and returns all actions.
func (l *appointedLane) openConns(as []caller.Action) []caller.Action {
	for i := 0; i < len(as); i++ {
		if o, ok := as[i].(caller.Open); ok {
			l.conns[o.Conn] = o.Server
			as = append(as, l.step(caller.ConnOpened{Conn: o.Conn})...)
		}
	}
	return as
}

func (l *appointedLane) reply(s caller.Send, offset uint64) []caller.Action {
	return l.openConns(l.step(caller.Replied{Conn: s.Conn, Request: s.Request, Position: session.Position{Term: 1, Offset: offset}}))
}

func (l *appointedLane) wait(d time.Duration) []caller.Action {
	l.now += d
	return l.openConns(l.step())
}

// confirm answers the only ConfirmLeadership among the actions with the given term.
func (l *appointedLane) confirm(as []caller.Action, term uint64) []caller.Action {
	a := only[caller.ConfirmLeadership](l.c, as)
	l.c.Assert(a.Server, qt.Not(qt.Equals), "p", qt.Commentf("a primary cannot confirm its own leadership"))
	return l.openConns(l.step(caller.LeadershipConfirmed{Confirmation: a.Confirmation, Term: term}))
}

// confirmReplicated answers the only ConfirmLeadership among the actions for a replica that holds the log up to offset.
func (l *appointedLane) confirmReplicated(as []caller.Action, offset uint64) []caller.Action {
	l.c.Helper()
	a := only[caller.ConfirmLeadership](l.c, as)
	return l.openConns(l.step(caller.LeadershipConfirmed{
		Confirmation: a.Confirmation, Term: 1, End: session.Position{Term: 1, Offset: offset},
	}))
}

// write runs a write whose log entry has the given offset, until its answer is released.
func (l *appointedLane) write(id caller.SessionID, offset uint64) {
	l.c.Helper()
	assertHeldBack(l, l.reply(only[caller.Send](l.c, l.request(id, write)), offset))
	assertReleased(l, l.confirmReplicated(l.wait(10*time.Millisecond), offset))
}

// connectReplica opens a connection to a replica, after a write that gives a sample of the primary's position.
func (l *appointedLane) connectReplica() {
	l.c.Helper()
	l.write(1, 21)
	l.now += 100 * time.Millisecond
	l.reply(only[caller.Send](l.c, l.request(99, agedRead)), 21)
	l.now += 100 * time.Millisecond
}

func has[T caller.Action](as []caller.Action) bool {
	for _, a := range as {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}

// evidenceTTL is how long leadership evidence is valid. A promotion waits for that long.
const evidenceTTL = 250 * time.Millisecond

func assertHeldBack(l *appointedLane, as []caller.Action) {
	l.c.Helper()
	l.c.Assert(has[caller.Release](as), qt.IsFalse)
	l.c.Assert(has[caller.Refuse](as), qt.IsFalse)
}

func assertReleased(l *appointedLane, as []caller.Action) {
	l.c.Helper()
	only[caller.Release](l.c, as)
}

var (
	class     = bundle.Class{Name: "books", DeadlineMS: 1000}
	freshRead = caller.Statement{Kind: caller.KindRead, Class: class}
	write     = caller.Statement{Kind: caller.KindWrite, Class: class}
	begin     = caller.Statement{Kind: caller.KindBegin, Class: class}
	commit    = caller.Statement{Kind: caller.KindCommit, Class: class}
	agedRead  = caller.Statement{Kind: caller.KindRead, Class: bundle.Class{Name: "board", DeadlineMS: 1000, MaxAgeMS: 1500}}
)

func TestReadsAtThePrimary(t *testing.T) {
	t.Run("wait for evidence from after their arrival", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := l.request(1, freshRead)
		s := only[caller.Send](l.c, as)
		l.c.Assert(s.Hold, qt.IsTrue)
		assertHeldBack(l, l.reply(s, 20))
		assertReleased(l, l.confirm(as, 1))
	})
	t.Run("need no more evidence within its lifetime", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := l.request(1, freshRead)
		l.confirm(as, 1)
		assertReleased(l, l.reply(only[caller.Send](l.c, as), 20))
		l.now += evidenceTTL - 10*time.Millisecond
		as = l.request(2, freshRead)
		l.c.Assert(has[caller.ConfirmLeadership](as), qt.IsFalse)
		assertReleased(l, l.reply(only[caller.Send](l.c, as), 20))
		l.now += 20 * time.Millisecond
		as = l.request(3, freshRead)
		l.c.Assert(has[caller.ConfirmLeadership](as), qt.IsTrue)
		assertHeldBack(l, l.reply(only[caller.Send](l.c, as), 20))
	})
	t.Run("ignore evidence of another term", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := l.request(1, freshRead)
		l.reply(only[caller.Send](l.c, as), 20)
		assertHeldBack(l, l.confirm(as, 2))
	})
	t.Run("ignore evidence from a replica whose pause has just ended, since a promotion also ends pauses", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := l.request(1, freshRead)
		a := only[caller.ConfirmLeadership](l.c, as)
		assertHeldBack(l, l.reply(only[caller.Send](l.c, as), 20))
		as = append(l.step(caller.LeadershipConfirmed{
			Confirmation: a.Confirmation, Term: 1, Paused: true,
		}), l.wait(200*time.Millisecond)...)
		assertHeldBack(l, l.confirm(as, 1))
		l.wait(upstream.PauseSettleTime)
		as = l.request(2, freshRead)
		l.reply(only[caller.Send](l.c, as), 20)
		assertReleased(l, l.confirm(as, 1))
	})
	t.Run("are refused when no evidence arrives", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.reply(only[caller.Send](l.c, l.request(1, freshRead)), 20)
		l.wait(500 * time.Millisecond)
		r := only[caller.Refuse](l.c, l.wait(600*time.Millisecond))
		l.c.Assert(r.Refusal.Reason, qt.Equals, caller.ReasonInterrupted)
	})
	t.Run("are sent again when the primary was replaced meanwhile", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.reply(only[caller.Send](l.c, l.request(1, freshRead)), 20)
		v := l.view
		v.Term, v.Primary, v.LeaderConfirmedAt = 2, "r0", l.now
		as := l.openConns(l.step(caller.ViewUpdated{View: v}))
		assertHeldBack(l, as)
		s := only[caller.Send](l.c, as)
		at := session.Position{Term: 2, Offset: 9}
		assertReleased(l, l.openConns(l.step(caller.Replied{Conn: s.Conn, Request: s.Request, Position: at})))
	})
	t.Run("are not sent to a primary that is being replaced", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		v := l.view
		v.Fenced = true
		l.step(caller.ViewUpdated{View: v})
		l.c.Assert(has[caller.Send](l.request(1, freshRead)), qt.IsFalse)
	})
}

func TestEvidenceFromWrites(t *testing.T) {
	t.Run("a write that a replica holds confirms the leader", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 21)
		as := l.request(2, freshRead)
		l.c.Assert(has[caller.ConfirmLeadership](as), qt.IsFalse)
		assertReleased(l, l.reply(only[caller.Send](l.c, as), 21))
	})
	t.Run("the commit of a read-only transaction confirms nothing", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := l.request(1, begin)
		s := only[caller.Send](l.c, as)
		l.openConns(l.step(caller.Replied{
			Conn: s.Conn, Request: s.Request, TransactionOpen: true, Position: session.Position{Term: 1, Offset: 20},
		}))
		l.confirm(as, 1)
		l.now += time.Second
		s = only[caller.Send](l.c, l.request(1, commit))
		l.openConns(l.step(caller.Replied{
			Conn: s.Conn, Request: s.Request, Tag: "COMMIT", Position: session.Position{Term: 1, Offset: 20},
		}))
		l.c.Assert(has[caller.ConfirmLeadership](l.request(2, freshRead)), qt.IsTrue)
	})
}

func TestReadsOfAnAge(t *testing.T) {
	t.Run("go to a replica with the position that satisfies their maximum age", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		s := only[caller.Send](l.c, l.request(2, agedRead))
		l.c.Assert(s.RequiredPosition, qt.Equals, session.Position{Term: 1, Offset: 21})
	})
	t.Run("show the session its own work", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		l.write(2, 25)
		l.now += 200 * time.Millisecond
		s := only[caller.Send](l.c, l.request(2, agedRead))
		l.c.Assert(s.RequiredPosition.Offset, qt.Equals, uint64(25))
		l.reply(s, 25)
		l.c.Assert(only[caller.Send](l.c, l.request(1, agedRead)).RequiredPosition.Offset, qt.Equals, uint64(21))
	})
	t.Run("go to the primary when no sample is recent enough", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 21)
		l.now += 1600 * time.Millisecond
		s := only[caller.Send](l.c, l.request(2, agedRead))
		l.c.Assert(s.RequiredPosition.IsZero(), qt.IsTrue)
		l.c.Assert(s.Hold, qt.IsTrue)
	})
	t.Run("go to the primary when no connection to a replica opens", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 21)
		l.now += 100 * time.Millisecond
		l.step(caller.SessionOpened{Session: 2, HasFloor: true})
		as, wake := l.lane.Step(l.now, []caller.Event{caller.RequestReceived{Session: 2, Seq: 1, Statement: agedRead}})
		l.c.Assert(has[caller.Send](as), qt.IsFalse)
		l.c.Assert(wake <= l.now+50*time.Millisecond, qt.IsTrue, qt.Commentf("wakes after %v", wake-l.now))
		l.now = wake
		l.c.Assert(has[caller.Send](l.step()), qt.IsTrue)
	})
	t.Run("go to another server when a replica lacks the position", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		s := only[caller.Send](l.c, l.request(2, agedRead))
		as := l.openConns(l.step(caller.Declined{Conn: s.Conn, Request: s.Request, Reason: caller.DeclineBehind}))
		assertHeldBack(l, as)
		l.c.Assert(only[caller.Send](l.c, as).Conn, qt.Not(qt.Equals), s.Conn)
	})
}

func TestLostAnswers(t *testing.T) {
	interrupt := func(l *appointedLane, s caller.Send) []caller.Action {
		return l.openConns(l.step(caller.RequestInterrupted{Conn: s.Conn, Request: s.Request}))
	}
	t.Run("of a write leave its outcome unknown at once", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		r := only[caller.Refuse](l.c, interrupt(l, only[caller.Send](l.c, l.request(1, write))))
		l.c.Assert(r.Refusal.Reason, qt.Equals, caller.ReasonUnknown)
		l.c.Assert(r.Refusal.NotRun(), qt.IsFalse)
	})
	t.Run("of a read have it sent again", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := interrupt(l, only[caller.Send](l.c, l.request(1, freshRead)))
		l.c.Assert(has[caller.Send](as), qt.IsTrue)
	})
	t.Run("of a transaction's beginning end the transaction, since it must not begin twice", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := interrupt(l, only[caller.Send](l.c, l.request(1, begin)))
		l.c.Assert(has[caller.Send](as), qt.IsFalse)
		l.c.Assert(only[caller.Refuse](l.c, as).Refusal.Reason, qt.Equals, caller.ReasonRolledBack)
	})
	t.Run("that arrive after the refusal are not delivered", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.view.LeaderConfirmedAt = l.now + time.Hour
		l.step(caller.ViewUpdated{View: l.view})
		s := only[caller.Send](l.c, l.request(1, begin))
		l.c.Assert(s.Hold, qt.IsTrue)
		l.wait(500 * time.Millisecond)
		only[caller.Refuse](l.c, l.wait(600*time.Millisecond))
		as := l.openConns(l.step(caller.Replied{Conn: s.Conn, Request: s.Request, TransactionOpen: true}))
		l.c.Assert(has[caller.Release](as), qt.IsFalse)
		l.c.Assert(only[caller.Send](l.c, l.request(1, freshRead)).Conn, qt.Not(qt.Equals), s.Conn)
	})
	t.Run("of a slow write make the server suspect before the deadline", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.request(1, write)
		l.c.Assert(only[caller.ServerSuspected](l.c, l.wait(450*time.Millisecond)).WriteStalled, qt.IsTrue)
	})
}

func TestSilentServer(t *testing.T) {
	t.Run("loses a read that other servers can answer", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		s := only[caller.Send](l.c, l.request(2, agedRead))
		as := l.wait(450 * time.Millisecond)
		l.c.Assert(only[caller.Close](l.c, as).Conn, qt.Equals, s.Conn)
		l.c.Assert(only[caller.Send](l.c, as).Conn, qt.Not(qt.Equals), s.Conn)
	})
	t.Run("that answers other requests keeps its slow read", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		l.reply(only[caller.Send](l.c, l.request(98, agedRead)), 21)
		slow := only[caller.Send](l.c, l.request(2, agedRead))
		quick := slow
		for id := caller.SessionID(3); quick.Conn == slow.Conn || l.conns[quick.Conn] != l.conns[slow.Conn]; id++ {
			quick = only[caller.Send](l.c, l.request(id, agedRead))
		}
		l.now += 350 * time.Millisecond
		l.reply(quick, 21)
		as := l.wait(100 * time.Millisecond)
		for _, a := range as {
			if c, ok := a.(caller.Close); ok {
				l.c.Assert(c.Conn, qt.Not(qt.Equals), slow.Conn)
			}
		}
	})
	t.Run("keeps a write", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.request(1, write)
		l.c.Assert(has[caller.Close](l.wait(450*time.Millisecond)), qt.IsFalse)
	})
}

func TestCommitsWhileThePrimaryIsReplaced(t *testing.T) {
	fencePrimary := func(l *appointedLane) {
		v := l.view
		v.Fenced = true
		l.step(caller.ViewUpdated{View: v})
	}
	t.Run("are not sent", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		as := l.request(1, begin)
		s := only[caller.Send](l.c, as)
		l.openConns(l.step(caller.Replied{Conn: s.Conn, Request: s.Request, TransactionOpen: true}))
		l.confirm(as, 1)
		s = only[caller.Send](l.c, l.request(1, write))
		l.step(caller.Replied{Conn: s.Conn, Request: s.Request, TransactionOpen: true})
		fencePrimary(l)
		as = l.request(1, commit)
		l.c.Assert(has[caller.Send](as), qt.IsFalse)
		l.c.Assert(only[caller.Refuse](l.c, as).Refusal.Reason, qt.Equals, caller.ReasonRolledBack)
	})
	t.Run("do not count as acknowledged", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		s := only[caller.Send](l.c, l.request(1, write))
		fencePrimary(l)
		as := l.reply(s, 21)
		l.c.Assert(has[caller.Release](as), qt.IsFalse)
		l.c.Assert(only[caller.Refuse](l.c, as).Refusal.Reason, qt.Equals, caller.ReasonUnknown)
	})
}

// TestAcknowledgedCommits guards against acknowledging a commit whose only replica joined during a promotion. The promotion does
// not count that replica, and would drop the commit.
func TestAcknowledgedCommits(t *testing.T) {
	t.Run("wait until a replica is known to hold them", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		assertHeldBack(l, l.reply(only[caller.Send](l.c, l.request(1, write)), 21))
		assertHeldBack(l, l.confirmReplicated(l.wait(10*time.Millisecond), 20))
		assertReleased(l, l.confirmReplicated(l.wait(30*time.Millisecond), 21))
	})
	t.Run("are shown to be held by a replica's answer to a read", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		assertHeldBack(l, l.reply(only[caller.Send](l.c, l.request(1, write)), 30))
		as := l.reply(only[caller.Send](l.c, l.request(2, agedRead)), 30)
		var released []caller.SessionID
		for _, a := range as {
			if r, ok := a.(caller.Release); ok {
				released = append(released, r.Session)
			}
		}
		l.c.Assert(released, qt.ContentEquals, []caller.SessionID{1, 2})
	})
	t.Run("are in doubt when a paused replica lacks them", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		assertHeldBack(l, l.reply(only[caller.Send](l.c, l.request(1, write)), 21))
		a := only[caller.ConfirmLeadership](l.c, l.wait(10*time.Millisecond))
		l.step(caller.LeadershipConfirmed{
			Confirmation: a.Confirmation, Term: 1, End: session.Position{Term: 1, Offset: 20}, Paused: true,
		})
		l.wait(500 * time.Millisecond)
		l.c.Assert(only[caller.Refuse](l.c, l.wait(600*time.Millisecond)).Refusal.Reason, qt.Equals, caller.ReasonUnknown)
	})
	t.Run("are in doubt when the primary is replaced first", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		assertHeldBack(l, l.reply(only[caller.Send](l.c, l.request(1, write)), 21))
		v := l.view
		v.Term, v.Primary = 2, "r0"
		l.c.Assert(only[caller.Refuse](l.c, l.step(caller.ViewUpdated{View: v})).Refusal.Reason, qt.Equals, caller.ReasonUnknown)
	})
	t.Run("are not shown to be held by a server that has just joined", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.view.Servers = append(l.view.Servers, upstream.ServerView{Name: "new", Alive: true, Term: 1, JoinedRecently: true})
		l.step(caller.ViewUpdated{View: l.view})
		assertHeldBack(l, l.reply(only[caller.Send](l.c, l.request(1, write)), 21))
		for _, d := range []time.Duration{10, 500, 100} {
			for _, a := range l.wait(d * time.Millisecond) {
				if p, ok := a.(caller.ConfirmLeadership); ok {
					l.c.Assert(p.Server, qt.Not(qt.Equals), "new")
					l.step(caller.LeadershipUnconfirmed{Confirmation: p.Confirmation})
				}
			}
		}
	})
}

func TestDeclinedInATransaction(t *testing.T) {
	l := newAppointedLane(qt.New(t))
	as := l.request(1, begin)
	s := only[caller.Send](l.c, as)
	l.openConns(l.step(caller.Replied{Conn: s.Conn, Request: s.Request, TransactionOpen: true}))
	l.confirm(as, 1)
	s = only[caller.Send](l.c, l.request(1, write))
	as = l.step(caller.Declined{Conn: s.Conn, Request: s.Request, Reason: caller.DeclineReadOnly, TransactionOpen: true})
	r := only[caller.Refuse](l.c, as)
	l.c.Assert(r.Refusal.NotRun(), qt.IsTrue)
	l.c.Assert(r.TransactionFailed, qt.IsTrue)
	l.c.Assert(has[caller.Close](as), qt.IsTrue, qt.Commentf("the rest of the transaction must not be committed"))
}

func TestIdleConnections(t *testing.T) {
	l := newAppointedLane(qt.New(t))
	l.view.LeaderConfirmedAt = l.now + time.Hour
	l.step(caller.ViewUpdated{View: l.view})
	var sent []caller.Send
	for i := range 3 {
		sent = append(sent, only[caller.Send](l.c, l.request(caller.SessionID(i+1), freshRead)))
	}
	for _, s := range sent {
		l.reply(s, 20)
	}
	closed := 0
	for _, a := range l.wait(400 * time.Millisecond) {
		if _, ok := a.(caller.Close); ok {
			closed++
		}
	}
	l.c.Assert(closed, qt.Equals, 2, qt.Commentf("one idle connection is kept"))
}

func TestDrainRefusesQueued(t *testing.T) {
	l := newAppointedLane(qt.New(t))
	v := l.view
	v.Suspect = true
	l.step(caller.ViewUpdated{View: v})
	l.request(1, write)
	r := only[caller.Refuse](l.c, l.step(caller.DrainStarted{}))
	l.c.Assert(r.Refusal.Reason, qt.Equals, caller.ReasonDraining)
	l.c.Assert(r.Refusal.NotRun(), qt.IsTrue)
}

func TestWaitingForAServer(t *testing.T) {
	removeCapacity := func(l *appointedLane) {
		for _, n := range []string{"p", "r0", "r1"} {
			l.step(caller.LimitsUpdated{Server: n, Slots: 0, Conns: 0})
		}
	}
	withObjective := bundle.Class{Name: "books", DeadlineMS: 1000, ObjectiveMS: 400}
	t.Run("ends within the objective, with a retry hint", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		removeCapacity(l)
		l.request(1, caller.Statement{Kind: caller.KindWrite, Class: withObjective})
		assertHeldBack(l, l.wait(200*time.Millisecond))
		r := only[caller.Refuse](l.c, l.wait(100*time.Millisecond))
		l.c.Assert(r.Refusal.NotRun(), qt.IsTrue)
		l.c.Assert(r.Refusal.Retry > 0, qt.IsTrue)
	})
	t.Run("continues while the group has no primary", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		v := l.view
		v.Suspect = true
		l.step(caller.ViewUpdated{View: v})
		l.request(1, caller.Statement{Kind: caller.KindWrite, Class: withObjective})
		assertHeldBack(l, l.wait(900*time.Millisecond))
		l.c.Assert(has[caller.Send](l.openConns(l.step(caller.ViewUpdated{View: l.view}))), qt.IsTrue)
	})
}

// TestAcknowledgedCommitsAreReported guards against a promotion that does not know which commits were acknowledged, after the log
// that held them was lost (LOST, review/1).
func TestAcknowledgedCommitsAreReported(t *testing.T) {
	lost := func(l *appointedLane) []caller.Action {
		l.view.LogLostAt = l.now
		return l.step(caller.ViewUpdated{View: l.view})
	}
	t.Run("when the log of a replica is lost", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 21)
		l.c.Assert(only[caller.CommitsAcknowledged](l.c, lost(l)).Position, qt.Equals, session.Position{Term: 1, Offset: 21})
	})
	t.Run("when the primary is suspected", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 21)
		l.view.Suspect = true
		as := l.step(caller.ViewUpdated{View: l.view})
		l.c.Assert(only[caller.CommitsAcknowledged](l.c, as).Position, qt.Equals, session.Position{Term: 1, Offset: 21})
	})
	t.Run("also those acknowledged afterwards", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 21)
		lost(l)
		l.write(1, 22)
		l.c.Assert(only[caller.CommitsAcknowledged](l.c, l.wait(time.Second)).Position, qt.Equals, session.Position{Term: 1, Offset: 22})
	})
	t.Run("but not while the group is healthy", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 21)
		l.c.Assert(has[caller.CommitsAcknowledged](l.wait(time.Second)), qt.IsFalse)
	})
	t.Run("and the lost log no longer shows that a replica holds a commit", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.write(1, 30)
		s := only[caller.Send](l.c, l.request(2, write))
		lost(l)
		assertHeldBack(l, l.reply(s, 29))
	})
}

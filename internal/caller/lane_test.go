package caller_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// laneFixture is a lane of a group with one primary and two replicas, stepped by the test.
type laneFixture struct {
	lane *caller.Lane
	now  time.Duration
	view upstream.GroupView
}

func newQuorumLane(c *qt.C) *laneFixture {
	c.Helper()
	return newLane(c)
}

func newLane(c *qt.C, opts ...caller.Option) *laneFixture {
	c.Helper()
	l, err := caller.NewLane("g", "z0", append(opts, caller.WithViolationHandler(func(invariant, detail string) {
		c.Errorf("%s: %s", invariant, detail)
	}))...)
	c.Assert(err, qt.IsNil)
	f := &laneFixture{lane: l, now: time.Second}
	f.view = upstream.GroupView{Name: "g", Term: 1, Primary: "p"}
	for _, n := range []string{"p", "r0", "r1"} {
		f.view.Servers = append(f.view.Servers, upstream.ServerView{
			Name: n, Alive: true, Term: 1, DataAsOfKnown: true, DataAsOf: f.now, Applied: session.Position{Term: 1, Offset: 10},
		})
		f.step(caller.LimitsUpdated{Server: n, Slots: 2, Conns: 2})
	}
	f.step(caller.ViewUpdated{View: f.view})
	return f
}

func (f *laneFixture) step(es ...caller.Event) []caller.Action {
	as, _ := f.lane.Step(f.now, es)
	return as
}

// request opens a session with a floor and sends one request in it.
func (f *laneFixture) request(id caller.SessionID, s caller.Statement) []caller.Action {
	f.step(caller.SessionOpened{Session: id, HasFloor: true, Floor: session.Position{Term: 1, Offset: 5}})
	return f.step(caller.RequestReceived{Session: id, Seq: 1, Statement: s})
}

func only[T caller.Action](c *qt.C, as []caller.Action) T {
	c.Helper()
	var found []T
	for _, a := range as {
		if v, ok := a.(T); ok {
			found = append(found, v)
		}
	}
	c.Assert(found, qt.HasLen, 1)
	return found[0]
}

var agedBoardRead = caller.Statement{Kind: caller.KindRead, Class: bundle.Class{Name: "board", MaxAgeMS: 2000}}

func TestRouting(t *testing.T) {
	t.Run("a read that accepts an age goes to a replica", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(only[caller.Open](c, newQuorumLane(c).request(1, agedBoardRead)).Server, qt.Not(qt.Equals), "p")
	})
	t.Run("a fresh read goes to the primary", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(only[caller.Open](c, newQuorumLane(c).request(1, caller.Statement{Kind: caller.KindRead})).Server, qt.Equals, "p")
	})
	t.Run("a replica that has not applied the session's work is not used", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		for i := range f.view.Servers[1:] {
			f.view.Servers[i+1].Applied.Offset = 4
		}
		f.step(caller.ViewUpdated{View: f.view})
		c.Assert(only[caller.Open](c, f.request(1, agedBoardRead)).Server, qt.Equals, "p")
	})
	t.Run("a replica whose data is not confirmed to be recent enough is not used", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		f.now += 3 * time.Second
		c.Assert(only[caller.Open](c, f.request(1, agedBoardRead)).Server, qt.Equals, "p")
	})
}

func TestLeaving(t *testing.T) {
	c := qt.New(t)
	f := newQuorumLane(c)
	f.view.Servers[1].Leaving = true
	f.view.Servers[2].Leaving = true
	f.step(caller.ViewUpdated{View: f.view})
	for id := range caller.SessionID(20) {
		for _, a := range f.request(id+1, agedBoardRead) {
			if o, ok := a.(caller.Open); ok {
				c.Check(o.Server, qt.Equals, "p")
			}
		}
	}
}

func TestStrayAnswers(t *testing.T) {
	c := qt.New(t)
	f := newQuorumLane(c)
	o := only[caller.Open](c, f.request(1, caller.Statement{Kind: caller.KindRead}))
	s := only[caller.Send](c, f.step(caller.ConnOpened{Conn: o.Conn}))
	for _, e := range []caller.Event{
		caller.Replied{Conn: s.Conn, Request: s.Request + 1},
		caller.Replied{Conn: s.Conn + 1, Request: s.Request},
		caller.RequestInterrupted{Conn: s.Conn, Request: s.Request + 1},
		caller.TombstoneWritten{Conn: s.Conn, Request: s.Request + 1},
		caller.ConnOpened{Conn: s.Conn},
		caller.LeadershipConfirmed{Confirmation: 99},
	} {
		before := f.lane.Stats().StrayMessages
		f.step(e)
		c.Check(f.lane.Stats().StrayMessages, qt.Equals, before+1, qt.Commentf("%T", e))
	}
	n, _ := f.lane.InFlight()
	c.Assert(n, qt.Equals, 1)
	f.step(caller.Replied{Conn: s.Conn, Request: s.Request})
	n, _ = f.lane.InFlight()
	c.Assert(n, qt.Equals, 0)
}

func TestEarlyRefusal(t *testing.T) {
	c := qt.New(t)
	f := newQuorumLane(c)
	class := bundle.Class{Name: "slow", DeadlineMS: 1000}
	refused := 0
	var running []caller.Send
	handle := func(as []caller.Action) {
		for _, a := range as {
			switch a := a.(type) {
			case caller.Open:
				for _, o := range f.step(caller.ConnOpened{Conn: a.Conn}) {
					if s, ok := o.(caller.Send); ok {
						running = append(running, s)
					}
				}
			case caller.Send:
				running = append(running, a)
			case caller.Refuse:
				c.Check(a.Refusal.SQLState(), qt.Equals, "53300")
				c.Check(a.Refusal.NotRun(), qt.IsTrue)
				c.Check(a.Refusal.Retry > 0, qt.IsTrue)
				refused++
			}
		}
	}
	for id := range caller.SessionID(6) {
		handle(f.request(id+1, caller.Statement{Kind: caller.KindRead, Class: class}))
	}
	for range 3 {
		f.now += 200 * time.Millisecond
		s := running[0]
		running = running[1:]
		handle(f.step(caller.Replied{Conn: s.Conn, Request: s.Request}))
	}
	for id := range caller.SessionID(60) {
		handle(f.request(id+100, caller.Statement{Kind: caller.KindRead, Class: class}))
	}
	c.Assert(refused >= 50, qt.IsTrue, qt.Commentf("%d refused", refused))
}

func assertAudited(c *qt.C, as []caller.Action, kind operator.Kind, cause string) {
	c.Helper()
	c.Assert(slices.ContainsFunc(as, func(a caller.Action) bool {
		n, ok := a.(caller.WriteAuditRecord)
		return ok && n.Record.Kind == kind && n.Record.Cause == cause
	}), qt.IsTrue, qt.Commentf("%v", as))
}

// TestEventsOfSessions guards the audit records that a lane writes about sessions.
func TestEventsOfSessions(t *testing.T) {
	t.Run("a promotion dropped work that the session saw", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		f.view.Term = 2
		f.view.Forks = []session.Fork{{Term: 2, Start: 3}}
		f.step(caller.ViewUpdated{View: f.view})
		assertAudited(c, f.request(1, agedBoardRead), operator.KindLostWork, "promotion_dropped_work")
	})
	t.Run("a transaction stays idle", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		begin := caller.Statement{Kind: caller.KindBegin, Class: bundle.Class{Name: "tx", IdleTransactionMS: 50}}
		s := only[caller.Send](c, f.step(caller.ConnOpened{Conn: only[caller.Open](c, f.request(1, begin)).Conn}))
		f.step(caller.Replied{Conn: s.Conn, Request: s.Request, TransactionOpen: true})
		f.now += time.Minute
		assertAudited(c, f.step(), operator.KindRefusal, "idle_transaction")
	})
	t.Run("the outcome of a write cannot be resolved", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		w := caller.Statement{Kind: caller.KindWrite, Key: "k-1", Class: bundle.Class{Name: "ticket", DeadlineMS: 500}}
		s := only[caller.Send](c, f.step(caller.ConnOpened{Conn: only[caller.Open](c, f.request(1, w)).Conn}))
		as := f.step(caller.RequestInterrupted{Conn: s.Conn, Request: s.Request})
		f.now += 10 * time.Second
		assertAudited(c, append(as, f.step()...), operator.KindOutcomeUnknown, "not_settled")
	})
}

// TestEvidenceAge guards against counting requests that were sent without any leadership evidence.
func TestEvidenceAge(t *testing.T) {
	c := qt.New(t)
	f := newQuorumLane(c)
	o := only[caller.Open](c, f.request(1, caller.Statement{Kind: caller.KindRead}))
	only[caller.Send](c, f.step(caller.ConnOpened{Conn: o.Conn}))
	c.Assert(f.lane.Stats().EvidenceAge.Count, qt.Equals, uint64(0))
}

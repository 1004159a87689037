package caller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

func withTenant(s caller.Statement, tenant string) caller.Statement {
	s.Tenant = tenant
	return s
}

// all returns the actions of one kind.
func all[T caller.Action](as []caller.Action) (found []T) {
	for _, a := range as {
		if v, ok := a.(T); ok {
			found = append(found, v)
		}
	}
	return found
}

// serve runs a tenant's request in a session of its own to its end, and returns the servers to which connections were opened
// for it, and the closed connections.
func (l *appointedLane) serve(id caller.SessionID, s caller.Statement) (opened []string, closed []caller.ConnID) {
	l.c.Helper()
	as := l.request(id, s)
	for _, o := range all[caller.Open](as) {
		opened = append(opened, o.Server)
	}
	for _, a := range all[caller.Close](as) {
		closed = append(closed, a.Conn)
	}
	l.reply(only[caller.Send](l.c, as), 21)
	return opened, closed
}

// TestTenantConnections guards the choice of the connection to a server that is used, opened or closed for a tenant's request.
func TestTenantConnections(t *testing.T) {
	t.Run("a read takes the server with a connection at hand and opens none", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		opened, _ := l.serve(10, withTenant(agedRead, "a"))
		l.c.Assert(opened, qt.HasLen, 1)
		for id := range caller.SessionID(5) {
			again, _ := l.serve(20+id, withTenant(agedRead, "a"))
			l.c.Assert(again, qt.HasLen, 0)
		}
	})
	t.Run("the connection with the least expected use makes room", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		for id := range caller.SessionID(20) {
			l.serve(10+id, withTenant(write, "busy"))
		}
		for i, tenant := range []string{"b", "c", "d"} {
			l.wait(200 * time.Millisecond)
			l.serve(caller.SessionID(40+i), withTenant(write, tenant))
		}
		l.wait(200 * time.Millisecond)
		_, closed := l.serve(50, withTenant(write, "e"))
		l.c.Assert(closed, qt.HasLen, 1)
		// The connection of busy had been idle for the longest time.
		opened, _ := l.serve(51, withTenant(write, "busy"))
		l.c.Assert(opened, qt.HasLen, 0)
	})
	t.Run("idle ones are closed after 30 s, and soon if the node no longer serves the group", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.serve(10, withTenant(write, "a"))
		l.c.Assert(has[caller.Close](l.wait(29*time.Second)), qt.IsFalse)
		l.c.Assert(has[caller.Close](l.wait(2*time.Second)), qt.IsTrue)
		l.serve(11, withTenant(write, "a"))
		l.step(caller.LimitsUpdated{Server: "p", Slots: 4, Conns: 4, Retired: true})
		l.c.Assert(has[caller.Close](l.wait(time.Second)), qt.IsTrue)
	})
	t.Run("those above a smaller share are closed at once", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		for i, tenant := range []string{"a", "b", "c", "d"} {
			l.serve(caller.SessionID(10+i), withTenant(write, tenant))
		}
		as := l.step(caller.LimitsUpdated{Server: "p", Slots: 4, Conns: 1})
		l.c.Assert(all[caller.Close](as), qt.HasLen, 3)
	})
	t.Run("a server without room is asked again after 50 to 100 ms and not suspected", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.step(caller.SessionOpened{Session: 1, HasFloor: true})
		o := only[caller.Open](l.c, l.step(caller.RequestReceived{Session: 1, Seq: 1, Statement: withTenant(write, "a")}))
		as := l.step(caller.ConnFailed{Conn: o.Conn, Full: true})
		l.c.Assert(has[caller.ServerSuspected](as), qt.IsFalse)
		l.now += 49 * time.Millisecond
		l.c.Assert(has[caller.Open](l.step()), qt.IsFalse)
		l.now += 51 * time.Millisecond
		l.c.Assert(has[caller.Open](l.step()), qt.IsTrue)
	})
}

// TestCompetingTenants guards against two tenants that compete for a connection, and have it opened and closed in turns.
func TestCompetingTenants(t *testing.T) {
	const maxOpening = 20 * time.Second / 5
	c := qt.New(t)
	f := newLoadLane(c, caller.Quickest(func(string) int { return 0 }), loadSpec{serverSlots: 2, slots: 6, conns: 1})
	for i, tenant := range []string{"a", "b"} {
		k := loadCaller{tenant: tenant, class: singleClass, kinds: []caller.Kind{caller.KindWrite}}
		f.offer(int64(i), k, 20, loadBaseTime, 21*time.Second)
	}
	f.Run(25 * time.Second)
	shares := []float64{f.tenants["a"].share(), f.tenants["b"].share()}
	c.Logf("%d opened in 20 s, served %v", f.opened(), shares)
	c.Check(time.Duration(f.opened())*openTime <= maxOpening, qt.IsTrue)
	c.Check(slices.Min(shares) >= 0.9, qt.IsTrue)
}

// TestTenantBehindBlockedOnes guards against a tenant with a connection that waits behind many that wait for theirs.
func TestTenantBehindBlockedOnes(t *testing.T) {
	const blocked = 40
	l := newAppointedLane(qt.New(t))
	l.serve(1, withTenant(write, "ready"))
	l.step(caller.SessionOpened{Session: 2, HasFloor: true})
	o := only[caller.Open](l.c, l.step(caller.RequestReceived{Session: 2, Seq: 1, Statement: withTenant(write, "t0")}))
	l.step(caller.ConnFailed{Conn: o.Conn, Full: true})
	for i := range caller.SessionID(blocked) {
		l.request(100+i, withTenant(write, fmt.Sprint("t", i)))
	}
	as := l.request(3, withTenant(write, "ready"))
	for range blocked / 16 {
		as = append(as, l.step()...)
	}
	l.c.Assert(only[caller.Send](l.c, as).Session, qt.Equals, caller.SessionID(3))
}

// tenantWrite is a write of a tenant.
func tenantWrite(tenant string) caller.Statement {
	return caller.Statement{Kind: caller.KindWrite, Tenant: tenant}
}

// finishWrite answers the write that a lane has just sent, after its connection was opened.
func (f *laneFixture) finishWrite(c *qt.C, o caller.Open) {
	c.Helper()
	s := only[caller.Send](c, f.step(caller.ConnOpened{Conn: o.Conn}))
	f.step(caller.Replied{Conn: s.Conn, Request: s.Request, Position: session.Position{Term: 1, Offset: 11}})
}

// TestConnectionsOfTenants guards against a request on a connection of another tenant, and against connections that block others.
func TestConnectionsOfTenants(t *testing.T) {
	t.Run("a tenant's connection serves that tenant only", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		first := only[caller.Open](c, f.request(1, tenantWrite("a")))
		c.Assert(first.Tenant, qt.Equals, "a")
		f.finishWrite(c, first)
		c.Assert(only[caller.Open](c, f.request(2, tenantWrite("b"))).Tenant, qt.Equals, "b")
		c.Assert(only[caller.Send](c, f.request(3, tenantWrite("a"))).Conn, qt.Equals, first.Conn)
	})
	t.Run("at the limit an idle connection of another tenant makes room", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		first := only[caller.Open](c, f.request(1, tenantWrite("a")))
		f.finishWrite(c, first)
		f.finishWrite(c, only[caller.Open](c, f.request(2, tenantWrite("b"))))
		f.now += 200 * time.Millisecond // connections that have just been opened are kept
		as := f.request(3, tenantWrite("c"))
		c.Assert(only[caller.Close](c, as).Conn, qt.Equals, first.Conn)
		c.Assert(only[caller.Open](c, as).Tenant, qt.Equals, "c")
	})
	t.Run("a lane that no longer serves its group keeps no idle connection", func(t *testing.T) {
		c := qt.New(t)
		f := newLane(c, caller.WithPolicy(caller.Quickest(func(string) int { return 0 })))
		first := only[caller.Open](c, f.request(1, tenantWrite("a")))
		f.finishWrite(c, first)
		f.step(caller.LimitsUpdated{Server: "p", Slots: 2, Conns: 1, Retired: true})
		f.now += time.Second
		c.Assert(only[caller.Close](c, f.step()).Conn, qt.Equals, first.Conn)
	})
	t.Run("idle connections beyond a lowered share are closed at once", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		first := only[caller.Open](c, f.request(1, tenantWrite("a")))
		f.finishWrite(c, first)
		f.finishWrite(c, only[caller.Open](c, f.request(2, tenantWrite("b"))))
		c.Assert(only[caller.Close](c, f.step(caller.LimitsUpdated{Server: "p", Slots: 2, Conns: 1})).Conn, qt.Equals, first.Conn)
	})
}

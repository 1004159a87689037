package caller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

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

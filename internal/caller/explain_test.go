package caller_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
)

// TestRouteQuestion guards against an explanation that differs from what the lane does with the request, or that changes its state.
func TestRouteQuestion(t *testing.T) {
	ask := func(c *qt.C, f *laneFixture, s caller.Statement) caller.RouteExplanation {
		c.Helper()
		return only[caller.RouteExplained](c, f.step(caller.RouteQuestion{Statement: s})).Explanation
	}
	t.Run("without a connection one is opened to the server that is named", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		x := ask(c, f, agedBoardRead)
		c.Assert(x.Decision, qt.Equals, caller.DecisionOpen)
		c.Assert(ask(c, f, agedBoardRead).Target, qt.Equals, x.Target)
		c.Assert(only[caller.Open](c, f.request(1, agedBoardRead)).Server, qt.Equals, x.Target)
	})
	t.Run("a write goes to the primary on the tenant's connection", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		f.finishWrite(c, only[caller.Open](c, f.request(1, tenantWrite("a"))))
		x := ask(c, f, tenantWrite("a"))
		c.Assert([]string{x.Decision, x.Target}, qt.DeepEquals, []string{caller.DecisionSend, "p"})
		c.Assert(ask(c, f, tenantWrite("b")).Decision, qt.Equals, caller.DecisionOpen)
		for _, s := range x.Servers {
			c.Check(s.Rank > 0, qt.Equals, s.Server == "p")
			if s.Server != "p" {
				c.Check(s.Why, qt.Equals, "only the primary may run the request")
			}
		}
	})
	t.Run("a request waits behind others", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		for id := caller.SessionID(1); id <= 5; id++ {
			f.request(id, tenantWrite("a"))
		}
		x := ask(c, f, tenantWrite("a"))
		c.Assert(x.Decision, qt.Equals, caller.DecisionWait)
		c.Assert(x.Ahead, qt.Equals, 5)
	})
	t.Run("a server that has gone is excluded with the reason", func(t *testing.T) {
		c := qt.New(t)
		f := newQuorumLane(c)
		f.view.Servers[1].Alive = false
		f.view.Servers[2].Leaving = true
		f.step(caller.ViewUpdated{View: f.view})
		why := map[string]string{}
		for _, s := range ask(c, f, agedBoardRead).Servers {
			why[s.Server] = s.Why
		}
		c.Assert(why, qt.DeepEquals, map[string]string{
			"p": "it may run the request", "r0": "it does not answer", "r1": "it is leaving",
		})
	})
}

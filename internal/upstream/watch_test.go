package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// newWatch returns a Watch of one group whose servers have all answered one probe.
func newWatch(c *qt.C) *upstream.Watch {
	c.Helper()
	w, err := upstream.NewWatch("n0", upstream.WithServer("s0", "g", "z", "a0"), upstream.WithServer("s1", "g", "z", "a1"),
		upstream.WithServer("s2", "g", "z", "a2"))
	c.Assert(err, qt.IsNil)
	w.Step(time.Second, nil)
	for _, n := range []string{"s0", "s1", "s2"} {
		st := upstream.Status{Role: upstream.RoleReplica, Term: 1, Promised: 1, Position: session.Position{Term: 1, Offset: 1}}
		if n == "s0" {
			st.Role = upstream.RolePrimary
		}
		w.Step(time.Second, []upstream.Event{upstream.ProbeSucceeded{Server: n, SentAt: time.Second, Status: st}})
	}
	return w
}

// leaving applies the events and reports whether the last published view shows the server s1 as leaving.
func leaving(c *qt.C, w *upstream.Watch, es ...upstream.Event) bool {
	c.Helper()
	as, _ := w.Step(time.Second+time.Millisecond, es)
	for i := len(as) - 1; i >= 0; i-- {
		if p, ok := as[i].(upstream.PublishView); ok {
			s, ok := p.View.Server("s1")
			c.Assert(ok, qt.IsTrue)
			return s.Leaving
		}
	}
	c.Fatal("no view was published")
	return false
}

func TestLeavingSources(t *testing.T) {
	configured := func(on bool) upstream.Event {
		return upstream.ServerConfigured{Server: "s1", Group: "g", Zone: "z", Address: "a1", Leaving: on}
	}
	t.Run("the platform's list of VMs does not clear the bundle's mark", func(t *testing.T) {
		c := qt.New(t)
		w := newWatch(c)
		c.Assert(leaving(c, w, configured(true)), qt.IsTrue)
		c.Assert(leaving(c, w, upstream.VMListed{Server: "s1"}), qt.IsTrue)
		c.Assert(leaving(c, w, configured(false)), qt.IsFalse)
	})
	t.Run("the bundle does not clear the mark of the platform's list of VMs", func(t *testing.T) {
		c := qt.New(t)
		w := newWatch(c)
		c.Assert(leaving(c, w, upstream.VMListed{Server: "s1", Leaving: true}), qt.IsTrue)
		c.Assert(leaving(c, w, configured(false)), qt.IsTrue)
	})
}

func TestRouteOfLowerTermIsIgnored(t *testing.T) {
	c := qt.New(t)
	w := newWatch(c)
	w.Step(time.Second, []upstream.Event{upstream.RouteLearned{Group: "g", Term: 3, Primary: "s2"}})
	w.Step(time.Second, []upstream.Event{upstream.RouteLearned{Group: "g", Term: 2, Primary: "s1"}})
	g, _ := w.Group("g")
	c.Assert(g.Primary, qt.Equals, "s2")
	c.Assert(g.Term, qt.Equals, uint64(3))
}

// TestNoPauseIsTakenForAFailure checks that a primary's silence of 990 ms, as in a pause of one second, starts no promotion.
func TestNoPauseIsTakenForAFailure(t *testing.T) {
	c := qt.New(t)
	w := newWatch(c)
	silent := upstream.Status{Role: upstream.RoleReplica, Term: 1, Promised: 1, PrimaryAge: 990 * time.Millisecond}
	at := time.Second + 990*time.Millisecond
	for _, n := range []string{"s1", "s2"} {
		as, _ := w.Step(at, []upstream.Event{upstream.ProbeSucceeded{Server: n, SentAt: at, Status: silent}})
		for _, a := range as {
			_, requested := a.(upstream.RequestPromise)
			c.Check(requested, qt.IsFalse, qt.Commentf("promise requested after the status of server %s", n))
		}
	}
}

package tenant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/tenant"
)

var limits = tenant.LimitsChanged{Version: 1, Limits: map[string]tenant.Limit{"t": {Rate: 100, Burst: 95}}}

// members returns the members of a fleet of three, all of them witnesses, with the given homes.
func members(homes ...string) tenant.Event {
	return tenant.MembersChanged{Homes: homes, Witnesses: []string{"a", "b", "c"}, Alive: 3, Known: 3, Complete: true}
}

func askLease(from string, seq uint64, tenants ...string) tenant.Event {
	return tenant.Received{From: from, Message: tenant.Message{Kind: tenant.KindAskLease, Seq: seq, Tenants: tenants}}
}

func giveLease(seq uint64) tenant.Event {
	return tenant.Received{From: "b", Message: tenant.Message{Kind: tenant.KindGiveLease, Seq: seq, Tenants: []string{"t"}}}
}

// confirms reports whether a witness confirms a home that asks.
func confirms(l *tenant.Limiter, now time.Duration, ask tenant.Event) bool {
	as, _ := l.Step(now, []tenant.Event{ask})
	for _, a := range as {
		if s, ok := a.(tenant.Send); ok && s.Message.Kind == tenant.KindGiveLease {
			return true
		}
	}
	return false
}

// TestWitness guards against a witness that confirms two homes of a tenant at the same time.
func TestWitness(t *testing.T) {
	c := qt.New(t)
	w := tenant.New("a")
	w.Step(0, []tenant.Event{limits, members("b", "c")})
	c.Check(confirms(w, 1199*ms, askLease("b", 1, "t")), qt.IsFalse, qt.Commentf("a promise from before a restart may last"))
	c.Check(confirms(w, 1200*ms, askLease("b", 2, "t")), qt.IsTrue)
	c.Check(confirms(w, 1300*ms, askLease("c", 7, "t")), qt.IsFalse)
	c.Check(confirms(w, 2399*ms, askLease("c", 8, "t")), qt.IsFalse)
	c.Check(confirms(w, 2400*ms, askLease("c", 9, "t")), qt.IsTrue, qt.Commentf("the promise has run out"))
	c.Check(confirms(w, 2500*ms, askLease("c", 10)), qt.IsFalse)
	c.Check(confirms(w, 2600*ms, askLease("b", 3, "t")), qt.IsTrue, qt.Commentf("the other home gave the tenant up"))
	c.Check(confirms(w, 2700*ms, askLease("b", 2)), qt.IsFalse)
	c.Check(confirms(w, 2700*ms, askLease("c", 11, "t")), qt.IsFalse, qt.Commentf("a late question gives nothing up"))
	w.Step(2800*ms, []tenant.Event{tenant.MembersChanged{Homes: []string{"b"}, Alive: 1, Known: 4, Complete: true}})
	c.Check(confirms(w, 2900*ms, askLease("b", 4, "t")), qt.IsFalse, qt.Commentf("it sees too little of the fleet"))
}

// TestLostLease guards against a home that lends from a bucket which another home has begun to fill.
func TestLostLease(t *testing.T) {
	// newHome returns a home that holds the lease until 6,200 ms, and the number of its last question about it.
	newHome := func() (home *tenant.Limiter, seq uint64) {
		home = tenant.New("a")
		es := []tenant.Event{limits, members("a")}
		for now := time.Duration(0); now <= 5*time.Second; now += 100 * ms {
			as, _ := home.Step(now, es)
			es = nil
			for _, a := range as {
				if s, ok := a.(tenant.Send); ok && s.To == "b" && s.Message.Kind == tenant.KindAskLease {
					seq = s.Message.Seq
					es = []tenant.Event{giveLease(seq)}
				}
			}
		}
		home.Step(5*time.Second, es)
		return home, seq
	}
	ask := tenant.Ask{Tenant: "t", Need: 1000}
	t.Run("with the lease the bucket is full", func(t *testing.T) {
		c := qt.New(t)
		home, _ := newHome()
		c.Assert(lend(c, home, 5500*ms, 1, ask), qt.Equals, 100)
	})
	t.Run("after it the bucket empties at the tenant's rate", func(t *testing.T) {
		c := qt.New(t)
		home, _ := newHome()
		n := lend(c, home, 6700*ms, 1, ask)
		c.Assert(n >= 10 && n <= 60, qt.IsTrue, qt.Commentf("%d", n))
	})
	part := func(alive int) tenant.Event {
		return tenant.MembersChanged{Homes: []string{"a"}, Witnesses: []string{"a", "b", "c"}, Alive: alive, Known: 4, Complete: true}
	}
	t.Run("a part of the fleet keeps its share of the bucket", func(t *testing.T) {
		c := qt.New(t)
		home, _ := newHome()
		home.Step(5*time.Second, []tenant.Event{part(2)})
		c.Assert(lend(c, home, 6*time.Second, 1, ask), qt.Equals, 50)
	})
	t.Run("the rate is raised after the other part knows as well", func(t *testing.T) {
		c := qt.New(t)
		home, _ := newHome()
		home.Step(5*time.Second, []tenant.Event{part(2)})
		lend(c, home, 5*time.Second, 1, ask)
		home.Step(5200*ms, []tenant.Event{part(4)})
		c.Assert(lend(c, home, 6*time.Second, 2, ask), qt.Equals, 50)
	})
	t.Run("a confirmation from before the tenant was given up does not count", func(t *testing.T) {
		c := qt.New(t)
		home, seq := newHome()
		home.Step(5100*ms, []tenant.Event{members("c")})
		home.Step(5200*ms, []tenant.Event{members("a")})
		home.Step(5300*ms, []tenant.Event{giveLease(seq)})
		n := lend(c, home, 5800*ms, 1, ask)
		c.Assert(n <= 50, qt.IsTrue, qt.Commentf("%d", n))
	})
}

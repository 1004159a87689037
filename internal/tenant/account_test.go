package tenant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/table"
	"buckthornport.example/buckthornport/internal/tenant"
)

// newWaiting returns the limiter of a node whose only home does not answer, with an operation that waits until 400 ms.
func newWaiting(c *qt.C) *tenant.Limiter {
	l := tenant.New("a")
	as, _ := l.Step(0, []tenant.Event{
		tenant.LimitsChanged{Version: 1, Limits: map[string]tenant.Limit{"t": {Rate: 10, Burst: 10}}},
		tenant.MembersChanged{Homes: []string{"b"}, Witnesses: []string{"b"}, Alive: 2, Known: 2, Complete: true},
		tenant.Requested{Session: 7, Seq: 3, Tenant: "t", Deadline: 400 * ms},
	})
	c.Assert(as, qt.HasLen, 1)
	c.Assert(as[0].(tenant.Send).To, qt.Equals, "b")
	return l
}

// run steps a limiter at its own wake times, and returns its actions other than messages.
func run(l *tenant.Limiter, now, until time.Duration, es ...tenant.Event) (as []tenant.Action, messages int) {
	for now <= until {
		done, next := l.Step(now, es)
		es = nil
		for _, a := range done {
			if _, ok := a.(tenant.Send); ok {
				messages++
			} else {
				as = append(as, a)
			}
		}
		if next == table.Never {
			break
		}
		now = next
	}
	return as, messages
}

// TestWaiting guards against operations that wait for ever, or are decided after their caller has gone.
func TestWaiting(t *testing.T) {
	refused := func(why tenant.Cause) []tenant.Action {
		return []tenant.Action{tenant.Refuse{Session: 7, Seq: 3, Tenant: "t", Cause: why}}
	}
	t.Run("an operation without an answer is refused at its deadline", func(t *testing.T) {
		c := qt.New(t)
		as, messages := run(newWaiting(c), 1*ms, 399*ms)
		c.Assert(as, qt.HasLen, 0)
		c.Assert(messages, qt.Equals, 3, qt.Commentf("the home is asked again every 100 ms"))
		as, _ = run(newWaiting(c), 1*ms, time.Second)
		c.Assert(as, qt.DeepEquals, refused(tenant.CauseNoAnswer))
	})
	t.Run("a caller that has gone gets no answer", func(t *testing.T) {
		c := qt.New(t)
		as, messages := run(newWaiting(c), 1*ms, 20*time.Second, tenant.Cancelled{Session: 7})
		c.Assert(as, qt.HasLen, 0)
		c.Assert(messages, qt.Equals, 0)
	})
	t.Run("a draining node refuses what waits and what comes", func(t *testing.T) {
		c := qt.New(t)
		l := newWaiting(c)
		as, _ := run(l, 1*ms, 1*ms, tenant.DrainStarted{})
		c.Assert(as, qt.DeepEquals, refused(tenant.CauseDraining))
		as, _ = run(l, 2*ms, 2*ms, tenant.Requested{Session: 7, Seq: 3, Tenant: "t", Deadline: 400 * ms})
		c.Assert(as, qt.DeepEquals, refused(tenant.CauseDraining))
	})
	t.Run("an operation of a tenant that has no limit any more is admitted", func(t *testing.T) {
		c := qt.New(t)
		as, _ := run(newWaiting(c), 1*ms, 1*ms, tenant.LimitsChanged{Version: 2})
		c.Assert(as, qt.DeepEquals, []tenant.Action{tenant.Admit{Session: 7, Seq: 3, Waited: 1 * ms}})
	})
	t.Run("a late grant is worth nothing", func(t *testing.T) {
		c := qt.New(t)
		l := newWaiting(c)
		as, _ := run(l, 301*ms, 301*ms, tenant.Received{From: "b", Message: tenant.Message{
			Kind: tenant.KindGrantCredit, Seq: 1, Grants: []tenant.Grant{{Tenant: "t", Credit: 1}},
		}})
		c.Assert(as, qt.HasLen, 0)
	})
}

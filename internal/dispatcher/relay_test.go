package dispatcher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

var class = bundle.Class{Name: "c", DeadlineMS: 2000, ObjectiveMS: 1000}

// rig is a relay with two dispatchers of one group, driven by hand.
type rig struct {
	c     *qt.C
	relay *dispatcher.Relay
	now   time.Duration
	wake  time.Duration
	out   []dispatcher.Action
	seq   uint64
}

func newRig(c *qt.C) *rig {
	c.Helper()
	d, err := dispatcher.NewRelay()
	c.Assert(err, qt.IsNil)
	return prepare(c, d)
}

func prepare(c *qt.C, d *dispatcher.Relay) *rig {
	r := &rig{c: c, relay: d, now: time.Second}
	r.step(dispatcher.Assigned{Group: "g", Peers: []string{"near", "far"}})
	r.step(dispatcher.LinkUp{Peer: "near"}, dispatcher.LinkUp{Peer: "far"})
	r.step(dispatcher.Opened{Session: 1, Group: "g", Floor: session.Position{Term: 1, Offset: 5}})
	return r
}

func (r *rig) step(es ...dispatcher.Event) []dispatcher.Action {
	r.out, r.wake = r.relay.Step(r.now, es)
	return r.out
}

// run lets time pass, with a step whenever the relay wants one.
func (r *rig) run(d time.Duration) []dispatcher.Action {
	var all []dispatcher.Action
	end := r.now + d
	for r.wake <= end {
		r.now = max(r.now, r.wake)
		all = append(all, r.step()...)
	}
	r.now = end
	return all
}

// ask sends the session's next statement.
func (r *rig) ask(k caller.Kind) []dispatcher.Action {
	r.seq++
	return r.step(caller.RequestReceived{Session: 1, Seq: r.seq, Statement: caller.Statement{Kind: k, Class: class, ID: "id"}})
}

// answer has a dispatcher answer the session's last statement.
func (r *rig) answer(peer string, open bool, floor session.Position) []dispatcher.Action {
	return r.step(dispatcher.Answered{Peer: peer, Session: 1, Seq: r.seq, Open: open, Floor: floor})
}

// begin opens a transaction at the preferred dispatcher.
func (r *rig) begin() {
	r.ask(caller.KindBegin)
	assertOne[caller.Release](r.c, r.answer("near", true, session.Position{}))
}

func find[T any](as []dispatcher.Action) []T {
	var found []T
	for _, a := range as {
		if v, ok := a.(T); ok {
			found = append(found, v)
		}
	}
	return found
}

func assertOne[T any](c *qt.C, as []dispatcher.Action) T {
	c.Helper()
	found := find[T](as)
	c.Assert(found, qt.HasLen, 1, qt.Commentf("%+v", as))
	return found[0]
}

func assertNone[T any](c *qt.C, as []dispatcher.Action) {
	c.Helper()
	c.Assert(find[T](as), qt.HasLen, 0)
}

func assertForwarded(c *qt.C, as []dispatcher.Action, peer string) dispatcher.Forward {
	c.Helper()
	f := assertOne[dispatcher.Forward](c, as)
	c.Assert(f.Peer, qt.Equals, peer)
	return f
}

func assertRefused(c *qt.C, as []dispatcher.Action, reason caller.Reason, failed bool) {
	c.Helper()
	a := assertOne[caller.Refuse](c, as)
	c.Assert(a.Refusal.Reason, qt.Equals, reason)
	c.Assert(a.TransactionFailed, qt.Equals, failed)
}

func TestForwarding(t *testing.T) {
	t.Run("the nearest dispatcher is preferred", func(t *testing.T) {
		c := qt.New(t)
		assertForwarded(c, newRig(c).ask(caller.KindRead), "near")
	})
	t.Run("the floor grows with the session's work", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		c.Assert(assertForwarded(c, r.ask(caller.KindWrite), "near").Floor.Offset, qt.Equals, uint64(5))
		a := assertOne[caller.Release](c, r.answer("near", false, session.Position{Term: 1, Offset: 9}))
		c.Assert(a.Floor.Offset, qt.Equals, uint64(9))
		c.Assert(assertForwarded(c, r.ask(caller.KindRead), "near").Floor.Offset, qt.Equals, uint64(9))
	})
	t.Run("a transaction stays where it began", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.step(dispatcher.LinkLost{Peer: "near"})
		c.Assert(assertForwarded(c, r.ask(caller.KindBegin), "far").Joined, qt.IsFalse)
		r.answer("far", true, session.Position{})
		r.run(time.Second)
		r.step(dispatcher.LinkUp{Peer: "near"})
		c.Assert(assertForwarded(c, r.ask(caller.KindRead), "far").Joined, qt.IsTrue)
		r.answer("far", true, session.Position{})
		assertForwarded(c, r.ask(caller.KindCommit), "far")
		r.answer("far", false, session.Position{})
		assertForwarded(c, r.ask(caller.KindRead), "near")
	})
	t.Run("a dispatcher that leaves takes no new transaction, and ends the one it has", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.begin()
		r.step(dispatcher.Leaving{Peer: "near"})
		assertForwarded(c, r.ask(caller.KindCommit), "near")
		r.answer("near", false, session.Position{})
		assertForwarded(c, r.ask(caller.KindRead), "far")
	})
	t.Run("what a dispatcher declines goes to another", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindWrite)
		assertForwarded(c, r.step(dispatcher.Declined{Peer: "near", Session: 1, Seq: 1}), "far")
	})
	t.Run("what all decline is offered again, and refused in the end", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		as := r.ask(caller.KindWrite)
		for until := r.now + caller.QueueTimeout(class); r.now < until; {
			for _, f := range find[dispatcher.Forward](as) {
				as = r.step(dispatcher.Declined{Peer: f.Peer, Session: 1, Seq: 1})
			}
			if len(find[dispatcher.Forward](as)) == 0 {
				as = r.run(10 * time.Millisecond)
			}
		}
		assertRefused(c, append(as, r.run(50*time.Millisecond)...), caller.ReasonNoPrimary, false)
	})
	t.Run("what one declines that is alone is offered to it again soon", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.step(dispatcher.LinkLost{Peer: "far"})
		r.ask(caller.KindWrite)
		assertNone[dispatcher.Forward](c, r.step(dispatcher.Declined{Peer: "near", Session: 1, Seq: 1}))
		assertForwarded(c, r.run(100*time.Millisecond), "near")
	})
	t.Run("an answer that comes late goes nowhere", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindRead)
		r.step(dispatcher.LinkLost{Peer: "near"})
		assertNone[caller.Release](c, r.answer("near", false, session.Position{}))
		assertOne[caller.Release](c, r.answer("far", false, session.Position{}))
	})
	t.Run("a caller that leaves takes its work with it", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.begin()
		c.Assert(assertOne[dispatcher.Abandon](c, r.step(caller.SessionClosed{Session: 1})).Peer, qt.Equals, "near")
	})
}

func TestEachCauseIsRecorded(t *testing.T) {
	c := qt.New(t)
	d, err := dispatcher.NewRelay(dispatcher.WithTrace(func(string) bool { return true }))
	c.Assert(err, qt.IsNil)
	r := prepare(c, d)
	seen := map[string]bool{}
	take := func(as []dispatcher.Action) {
		for _, n := range find[caller.WriteAuditRecord](as) {
			seen[n.Record.Cause] = true
			c.Check(n.Record.Request, qt.Equals, "id")
			c.Check(n.Record.Group, qt.Equals, "g")
		}
	}
	take(r.ask(caller.KindWrite))
	take(r.step(dispatcher.Declined{Peer: "near", Session: 1, Seq: 1}))
	take(r.step(dispatcher.LinkLost{Peer: "far"}))
	for _, cause := range dispatcher.Causes() {
		c.Check(seen[cause], qt.IsTrue, qt.Commentf("%s", cause))
	}
}

// TestNoDispatcher guards against requests that wait past the time in which their caller can still ask elsewhere.
func TestNoDispatcher(t *testing.T) {
	t.Run("a request is refused after its patience", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.step(dispatcher.LinkLost{Peer: "near"}, dispatcher.LinkLost{Peer: "far"})
		assertNone[caller.Refuse](c, r.ask(caller.KindWrite))
		assertRefused(c, r.run(caller.QueueTimeout(class)), caller.ReasonNoPrimary, false)
	})
	t.Run("requests are refused at once when there was none for a while, until one is back", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.step(dispatcher.LinkLost{Peer: "near"}, dispatcher.LinkLost{Peer: "far"})
		r.ask(caller.KindWrite)
		r.run(1100 * time.Millisecond)
		assertRefused(c, r.ask(caller.KindWrite), caller.ReasonNoPrimary, false)
		r.step(dispatcher.LinkUp{Peer: "far"})
		assertForwarded(c, r.ask(caller.KindWrite), "far")
	})
	t.Run("a request waits for a link", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.step(dispatcher.LinkLost{Peer: "near"}, dispatcher.LinkLost{Peer: "far"})
		r.ask(caller.KindWrite)
		c.Assert(len(find[dispatcher.Connect](r.run(300*time.Millisecond))), qt.Equals, 2)
		assertForwarded(c, r.step(dispatcher.LinkUp{Peer: "far"}), "far")
	})
}

// TestLostDispatcher guards against work that is repeated, or called undone, when the node that ran it is gone.
func TestLostDispatcher(t *testing.T) {
	lost := dispatcher.LinkLost{Peer: "near"}
	t.Run("a read goes to another", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindRead)
		assertForwarded(c, r.step(lost), "far")
	})
	t.Run("a write is in doubt", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindWrite)
		as := r.step(lost)
		assertRefused(c, as, caller.ReasonUnknown, false)
		assertNone[dispatcher.Forward](c, as)
	})
	t.Run("a transaction that begins is rolled back", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindBegin)
		assertRefused(c, r.step(lost), caller.ReasonRolledBack, false)
	})
	t.Run("a commit of writes is in doubt", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.begin()
		r.ask(caller.KindWrite)
		r.answer("near", true, session.Position{})
		r.ask(caller.KindCommit)
		assertRefused(c, r.step(lost), caller.ReasonUnknown, false)
	})
	t.Run("a commit of reads is rolled back", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.begin()
		r.ask(caller.KindCommit)
		assertRefused(c, r.step(lost), caller.ReasonRolledBack, false)
	})
	t.Run("a statement within a transaction fails the transaction", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.begin()
		r.ask(caller.KindRead)
		assertRefused(c, r.step(lost), caller.ReasonRolledBack, true)
	})
	t.Run("a resting transaction fails with its next statement, and its commit is never done", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.begin()
		assertNone[caller.Refuse](c, r.step(lost))
		assertRefused(c, r.ask(caller.KindRead), caller.ReasonRolledBack, true)
		assertRefused(c, r.ask(caller.KindCommit), caller.ReasonRolledBack, false)
		assertForwarded(c, r.ask(caller.KindRead), "far")
	})
	t.Run("a rollback is done", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.begin()
		r.ask(caller.KindRollback)
		c.Assert(assertOne[caller.Complete](c, r.step(lost)).Tag, qt.Equals, "ROLLBACK")
	})
}

// TestSilentDispatcher guards against requests that wait for a node which is frozen or dark.
func TestSilentDispatcher(t *testing.T) {
	t.Run("is asked, left by reads, and given up", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindRead)
		as := r.run(700 * time.Millisecond)
		assertOne[dispatcher.Ask](c, as)
		assertForwarded(c, as, "far")
		c.Assert(assertOne[dispatcher.Disconnect](c, r.run(time.Second)).Peer, qt.Equals, "near")
	})
	t.Run("leaves open whether a read has run that no other can take", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.step(dispatcher.LinkLost{Peer: "far"}, dispatcher.Leaving{Peer: "far"})
		r.ask(caller.KindRead)
		assertRefused(c, r.run(caller.QueueTimeout(class)), caller.ReasonInterrupted, false)
	})
	t.Run("keeps writes until it is given up", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindWrite)
		assertNone[caller.Refuse](c, r.run(time.Second))
		assertRefused(c, r.run(time.Second), caller.ReasonUnknown, false)
	})
	t.Run("that gives a sign of life is waited for", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindRead)
		for range 4 {
			as := r.run(350 * time.Millisecond)
			assertOne[dispatcher.Ask](c, as)
			assertNone[dispatcher.Forward](c, as)
			r.step(dispatcher.Alive{Peer: "near"})
		}
	})
	t.Run("after a pause of this node's own is asked anew", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.ask(caller.KindRead)
		r.now += 5 * time.Second / 4
		assertNone[dispatcher.Forward](c, r.step())
	})
}

// player plays random events against one session, and watches over its one request.
type player struct {
	*rig
	kind    caller.Kind
	waiting bool
	sent    int
}

// take counts what becomes of the request.
func (p *player) take(t *rapid.T, as []dispatcher.Action) {
	for _, f := range find[dispatcher.Forward](as) {
		p.sent++
		if f.Seq != p.seq || p.sent > 1 && p.kind != caller.KindRead {
			t.Fatalf("request %d of kind %d sent %d times, last as %d", p.seq, p.kind, p.sent, f.Seq)
		}
	}
	answers := len(find[caller.Release](as)) + len(find[caller.Refuse](as)) + len(find[caller.Complete](as))
	if answers > 1 || answers == 1 && !p.waiting {
		t.Fatalf("answers nobody waits for: %+v", as)
	}
	p.waiting = p.waiting && answers == 0
}

// play lets one random event happen.
func (p *player) play(t *rapid.T) []dispatcher.Action {
	peer := rapid.SampledFrom([]string{"near", "far"}).Draw(t, "peer")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		if p.waiting {
			return nil
		}
		kinds := []caller.Kind{caller.KindRead, caller.KindWrite, caller.KindBegin, caller.KindCommit, caller.KindRollback}
		p.kind, p.waiting, p.sent = rapid.SampledFrom(kinds).Draw(t, "kind"), true, 0
		return p.ask(p.kind)
	case 1:
		return p.answer(peer, rapid.Bool().Draw(t, "open"), session.Position{})
	case 2:
		return p.step(dispatcher.LinkLost{Peer: peer})
	case 3:
		return p.step(dispatcher.LinkUp{Peer: peer})
	case 4:
		return p.step(dispatcher.Alive{Peer: peer})
	case 5:
		return p.step(dispatcher.Leaving{Peer: peer})
	default:
		return p.run(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	}
}

// TestOneAnswer plays random events and wants exactly one answer to each request, and no write handed over twice.
func TestOneAnswer(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		p := &player{rig: newRig(c)}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			p.take(t, p.play(t))
		}
		p.take(t, p.run(10*time.Second))
		if p.waiting {
			t.Fatalf("a request of kind %d is left without an answer", p.kind)
		}
	})
}

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

// harness drives a relay with two dispatchers of one group on a virtual clock.
type harness struct {
	c     *qt.C
	relay *dispatcher.Relay
	now   time.Duration
	wake  time.Duration
	out   []dispatcher.Action
	seq   uint64
}

func newHarness(c *qt.C) *harness {
	c.Helper()
	d, err := dispatcher.NewRelay()
	c.Assert(err, qt.IsNil)
	return newHarnessFor(c, d)
}

func newHarnessFor(c *qt.C, d *dispatcher.Relay) *harness {
	h := &harness{c: c, relay: d, now: time.Second}
	h.step(dispatcher.DispatchersAssigned{Group: "g", Peers: []string{"near", "far"}})
	h.step(dispatcher.LinkUp{Peer: "near"}, dispatcher.LinkUp{Peer: "far"})
	h.step(dispatcher.SessionOpened{Session: 1, Group: "g", Floor: session.Position{Term: 1, Offset: 5}})
	return h
}

func (h *harness) step(es ...dispatcher.Event) []dispatcher.Action {
	h.out, h.wake = h.relay.Step(h.now, es)
	return h.out
}

// advance moves the clock by d, and steps the relay at each time at which it asked to be called.
func (h *harness) advance(d time.Duration) []dispatcher.Action {
	var all []dispatcher.Action
	end := h.now + d
	for h.wake <= end {
		h.now = max(h.now, h.wake)
		all = append(all, h.step()...)
	}
	h.now = end
	return all
}

// request sends the session's next statement to the relay.
func (h *harness) request(k caller.Kind) []dispatcher.Action {
	h.seq++
	return h.step(caller.RequestReceived{Session: 1, Seq: h.seq, Statement: caller.Statement{Kind: k, Class: class, ID: "id"}})
}

// answer reports a dispatcher's answer to the session's last statement.
func (h *harness) answer(peer string, transactionOpen bool, floor session.Position) []dispatcher.Action {
	return h.step(dispatcher.Answered{Peer: peer, Session: 1, Seq: h.seq, TransactionOpen: transactionOpen, Floor: floor})
}

// begin opens a transaction at the preferred dispatcher.
func (h *harness) begin() {
	h.request(caller.KindBegin)
	assertOne[caller.Release](h.c, h.answer("near", true, session.Position{}))
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

func assertRefused(c *qt.C, as []dispatcher.Action, reason caller.Reason, transactionFailed bool) {
	c.Helper()
	a := assertOne[caller.Refuse](c, as)
	c.Assert(a.Refusal.Reason, qt.Equals, reason)
	c.Assert(a.TransactionFailed, qt.Equals, transactionFailed)
}

func TestForwarding(t *testing.T) {
	t.Run("the first dispatcher is preferred", func(t *testing.T) {
		c := qt.New(t)
		assertForwarded(c, newHarness(c).request(caller.KindRead), "near")
	})
	t.Run("the floor advances with the session's writes", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		c.Assert(assertForwarded(c, h.request(caller.KindWrite), "near").Floor.Offset, qt.Equals, uint64(5))
		a := assertOne[caller.Release](c, h.answer("near", false, session.Position{Term: 1, Offset: 9}))
		c.Assert(a.Floor.Offset, qt.Equals, uint64(9))
		c.Assert(assertForwarded(c, h.request(caller.KindRead), "near").Floor.Offset, qt.Equals, uint64(9))
	})
	t.Run("a transaction stays at its dispatcher", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.step(dispatcher.LinkLost{Peer: "near"})
		c.Assert(assertForwarded(c, h.request(caller.KindBegin), "far").Joined, qt.IsFalse)
		h.answer("far", true, session.Position{})
		h.advance(time.Second)
		h.step(dispatcher.LinkUp{Peer: "near"})
		c.Assert(assertForwarded(c, h.request(caller.KindRead), "far").Joined, qt.IsTrue)
		h.answer("far", true, session.Position{})
		assertForwarded(c, h.request(caller.KindCommit), "far")
		h.answer("far", false, session.Position{})
		assertForwarded(c, h.request(caller.KindRead), "near")
	})
	t.Run("a draining dispatcher gets no new transaction and finishes its open one", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.begin()
		h.step(dispatcher.Draining{Peer: "near"})
		assertForwarded(c, h.request(caller.KindCommit), "near")
		h.answer("near", false, session.Position{})
		assertForwarded(c, h.request(caller.KindRead), "far")
	})
	t.Run("a declined request goes to another dispatcher", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindWrite)
		assertForwarded(c, h.step(dispatcher.Declined{Peer: "near", Session: 1, Seq: 1}), "far")
	})
	t.Run("a request that all decline is retried until its queue timeout", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		as := h.request(caller.KindWrite)
		for until := h.now + caller.QueueTimeout(class); h.now < until; {
			for _, f := range find[dispatcher.Forward](as) {
				as = h.step(dispatcher.Declined{Peer: f.Peer, Session: 1, Seq: 1})
			}
			if len(find[dispatcher.Forward](as)) == 0 {
				as = h.advance(10 * time.Millisecond)
			}
		}
		assertRefused(c, append(as, h.advance(50*time.Millisecond)...), caller.ReasonNoPrimary, false)
	})
	t.Run("a request that the only dispatcher declines is retried there", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.step(dispatcher.LinkLost{Peer: "far"})
		h.request(caller.KindWrite)
		assertNone[dispatcher.Forward](c, h.step(dispatcher.Declined{Peer: "near", Session: 1, Seq: 1}))
		assertForwarded(c, h.advance(100*time.Millisecond), "near")
	})
	t.Run("a late answer is discarded", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindRead)
		h.step(dispatcher.LinkLost{Peer: "near"})
		assertNone[caller.Release](c, h.answer("near", false, session.Position{}))
		assertOne[caller.Release](c, h.answer("far", false, session.Position{}))
	})
	t.Run("a disconnected caller's work is abandoned", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.begin()
		c.Assert(assertOne[dispatcher.Abandon](c, h.step(caller.SessionClosed{Session: 1})).Peer, qt.Equals, "near")
	})
}

func TestEachCauseIsRecorded(t *testing.T) {
	c := qt.New(t)
	d, err := dispatcher.NewRelay(dispatcher.WithTrace(func(string) bool { return true }))
	c.Assert(err, qt.IsNil)
	h := newHarnessFor(c, d)
	seen := map[string]bool{}
	collect := func(as []dispatcher.Action) {
		for _, n := range find[caller.WriteAuditRecord](as) {
			seen[n.Record.Cause] = true
			c.Check(n.Record.Request, qt.Equals, "id")
			c.Check(n.Record.Group, qt.Equals, "g")
		}
	}
	collect(h.request(caller.KindWrite))
	collect(h.step(dispatcher.Declined{Peer: "near", Session: 1, Seq: 1}))
	collect(h.step(dispatcher.LinkLost{Peer: "far"}))
	for _, cause := range dispatcher.Causes() {
		c.Check(seen[cause], qt.IsTrue, qt.Commentf("%s", cause))
	}
}

// TestNoDispatcher guards against requests that wait for a dispatcher until it is too late for the caller to retry elsewhere.
func TestNoDispatcher(t *testing.T) {
	t.Run("a request is refused after its queue timeout", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.step(dispatcher.LinkLost{Peer: "near"}, dispatcher.LinkLost{Peer: "far"})
		assertNone[caller.Refuse](c, h.request(caller.KindWrite))
		assertRefused(c, h.advance(caller.QueueTimeout(class)), caller.ReasonNoPrimary, false)
	})
	t.Run("requests are refused at once after the link wait timeout, until a link is up", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.step(dispatcher.LinkLost{Peer: "near"}, dispatcher.LinkLost{Peer: "far"})
		h.request(caller.KindWrite)
		h.advance(1100 * time.Millisecond)
		assertRefused(c, h.request(caller.KindWrite), caller.ReasonNoPrimary, false)
		h.step(dispatcher.LinkUp{Peer: "far"})
		assertForwarded(c, h.request(caller.KindWrite), "far")
	})
	t.Run("a request waits for a link", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.step(dispatcher.LinkLost{Peer: "near"}, dispatcher.LinkLost{Peer: "far"})
		h.request(caller.KindWrite)
		c.Assert(len(find[dispatcher.Connect](h.advance(300*time.Millisecond))), qt.Equals, 2)
		assertForwarded(c, h.step(dispatcher.LinkUp{Peer: "far"}), "far")
	})
}

// TestLostDispatcher guards against work that is repeated, or reported as not run, after the node that ran it was lost.
func TestLostDispatcher(t *testing.T) {
	lost := dispatcher.LinkLost{Peer: "near"}
	t.Run("a read goes to another dispatcher", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindRead)
		assertForwarded(c, h.step(lost), "far")
	})
	t.Run("a write is in doubt", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindWrite)
		as := h.step(lost)
		assertRefused(c, as, caller.ReasonUnknown, false)
		assertNone[dispatcher.Forward](c, as)
	})
	t.Run("a BEGIN is rolled back", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindBegin)
		assertRefused(c, h.step(lost), caller.ReasonRolledBack, false)
	})
	t.Run("a commit of writes is in doubt", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.begin()
		h.request(caller.KindWrite)
		h.answer("near", true, session.Position{})
		h.request(caller.KindCommit)
		assertRefused(c, h.step(lost), caller.ReasonUnknown, false)
	})
	t.Run("a commit of reads is rolled back", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.begin()
		h.request(caller.KindCommit)
		assertRefused(c, h.step(lost), caller.ReasonRolledBack, false)
	})
	t.Run("a statement in a transaction fails the transaction", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.begin()
		h.request(caller.KindRead)
		assertRefused(c, h.step(lost), caller.ReasonRolledBack, true)
	})
	t.Run("an idle transaction fails at its next statement, and its commit is refused", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.begin()
		assertNone[caller.Refuse](c, h.step(lost))
		assertRefused(c, h.request(caller.KindRead), caller.ReasonRolledBack, true)
		assertRefused(c, h.request(caller.KindCommit), caller.ReasonRolledBack, false)
		assertForwarded(c, h.request(caller.KindRead), "far")
	})
	t.Run("a rollback succeeds", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.begin()
		h.request(caller.KindRollback)
		c.Assert(assertOne[caller.Complete](c, h.step(lost)).Tag, qt.Equals, "ROLLBACK")
	})
}

// TestSilentDispatcher guards against requests that wait for a dispatcher that is frozen or unreachable while its link stays open.
func TestSilentDispatcher(t *testing.T) {
	t.Run("is pinged, loses its reads, and is disconnected", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindRead)
		as := h.advance(700 * time.Millisecond)
		assertOne[dispatcher.Ping](c, as)
		assertForwarded(c, as, "far")
		c.Assert(assertOne[dispatcher.Disconnect](c, h.advance(time.Second)).Peer, qt.Equals, "near")
	})
	t.Run("an unanswered read without another dispatcher may have run", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.step(dispatcher.LinkLost{Peer: "far"}, dispatcher.Draining{Peer: "far"})
		h.request(caller.KindRead)
		assertRefused(c, h.advance(caller.QueueTimeout(class)), caller.ReasonInterrupted, false)
	})
	t.Run("keeps its writes until it is disconnected", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindWrite)
		assertNone[caller.Refuse](c, h.advance(time.Second))
		assertRefused(c, h.advance(time.Second), caller.ReasonUnknown, false)
	})
	t.Run("keeps its reads while it answers pings", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindRead)
		for range 4 {
			as := h.advance(350 * time.Millisecond)
			assertOne[dispatcher.Ping](c, as)
			assertNone[dispatcher.Forward](c, as)
			h.step(dispatcher.Pong{Peer: "near"})
		}
	})
	t.Run("keeps its reads after a pause of this node", func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c)
		h.request(caller.KindRead)
		h.now += 5 * time.Second / 4
		assertNone[dispatcher.Forward](c, h.step())
	})
}

// randomRun feeds random events to a relay with one session, and tracks the answers to its pending request.
type randomRun struct {
	*harness
	kind    caller.Kind
	pending bool
	sent    int
}

// check fails the test on an answer without a pending request, and on a request other than a read that is forwarded twice.
func (p *randomRun) check(t *rapid.T, as []dispatcher.Action) {
	for _, f := range find[dispatcher.Forward](as) {
		p.sent++
		if f.Seq != p.seq || p.sent > 1 && p.kind != caller.KindRead {
			t.Fatalf("request %d of kind %d was forwarded %d times, last with sequence number %d", p.seq, p.kind, p.sent, f.Seq)
		}
	}
	answers := len(find[caller.Release](as)) + len(find[caller.Refuse](as)) + len(find[caller.Complete](as))
	if answers > 1 || answers == 1 && !p.pending {
		t.Fatalf("got %d answers, want at most one and only for a pending request: %+v", answers, as)
	}
	p.pending = p.pending && answers == 0
}

// nextEvent applies one random event.
func (p *randomRun) nextEvent(t *rapid.T) []dispatcher.Action {
	peer := rapid.SampledFrom([]string{"near", "far"}).Draw(t, "peer")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		if p.pending {
			return nil
		}
		kinds := []caller.Kind{caller.KindRead, caller.KindWrite, caller.KindBegin, caller.KindCommit, caller.KindRollback}
		p.kind, p.pending, p.sent = rapid.SampledFrom(kinds).Draw(t, "kind"), true, 0
		return p.request(p.kind)
	case 1:
		return p.answer(peer, rapid.Bool().Draw(t, "open"), session.Position{})
	case 2:
		return p.step(dispatcher.LinkLost{Peer: peer})
	case 3:
		return p.step(dispatcher.LinkUp{Peer: peer})
	case 4:
		return p.step(dispatcher.Pong{Peer: peer})
	case 5:
		return p.step(dispatcher.Draining{Peer: peer})
	default:
		return p.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	}
}

// TestOneAnswer checks that each request gets exactly one answer, and that no write is forwarded twice, under random events.
func TestOneAnswer(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		p := &randomRun{harness: newHarness(c)}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			p.check(t, p.nextEvent(t))
		}
		p.check(t, p.advance(10*time.Second))
		if p.pending {
			t.Fatalf("request of kind %d has no answer after 10 s without events", p.kind)
		}
	})
}

// TestDrainedRelay guards against requests that a stopping node has forwarded and whose callers get no answer (LOST, review/3).
func TestDrainedRelay(t *testing.T) {
	drained := func(c *qt.C) *harness {
		h := newHarness(c)
		h.step(caller.DrainTransactions{})
		return h
	}
	t.Run("a request is refused", func(t *testing.T) {
		h := drained(qt.New(t))
		as := h.request(caller.KindRead)
		assertNone[dispatcher.Forward](h.c, as)
		assertRefused(h.c, as, caller.ReasonDraining, false)
	})
	t.Run("a request that waits for a dispatcher is refused", func(t *testing.T) {
		h := newHarness(qt.New(t))
		h.step(dispatcher.LinkLost{Peer: "near"}, dispatcher.LinkLost{Peer: "far"})
		h.request(caller.KindWrite)
		assertRefused(h.c, h.step(caller.DrainTransactions{}), caller.ReasonDraining, false)
	})
	t.Run("a transaction is rolled back", func(t *testing.T) {
		h := newHarness(qt.New(t))
		h.begin()
		h.step(caller.DrainTransactions{})
		as := h.request(caller.KindCommit)
		assertRefused(h.c, as, caller.ReasonRolledBack, false)
		assertOne[dispatcher.Abandon](h.c, as)
	})
	t.Run("a forwarded write is awaited and then in doubt", func(t *testing.T) {
		h := newHarness(qt.New(t))
		h.request(caller.KindWrite)
		assertNone[caller.Refuse](h.c, h.step(caller.DrainTransactions{}))
		assertRefused(h.c, h.step(caller.DrainDeadline{}), caller.ReasonUnknown, false)
	})
	t.Run("a forwarded read is interrupted", func(t *testing.T) {
		h := newHarness(qt.New(t))
		h.request(caller.KindRead)
		assertRefused(h.c, h.step(caller.DrainDeadline{}), caller.ReasonInterrupted, false)
	})
}

package budget

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/table"
	"buckthornport.example/buckthornport/internal/tick"
)

var testLimits = Limits{
	Bytes: 100, State: 50, Conns: [Classes]int64{2, 2, 2}, Wait: time.Second, Stall: 2 * time.Second, Grace: time.Second, Pace: 1,
}

// tableTest is a table whose granted bytes count as used.
type tableTest struct {
	c    *qt.C
	t    *Table
	used Usage
}

func newTableTest(c *qt.C) *tableTest {
	h := &tableTest{c: c}
	h.t = NewTable(testLimits, func() Usage { return h.used })
	return h
}

// hold gives a connection bytes.
func (h *tableTest) hold(at time.Duration, e Changed) {
	h.used.Bytes += e.Bytes + e.State
	h.used.State += e.State
	h.assertStep(at, table.Never, []Event{e})
}

func (h *tableTest) assertStep(at, next time.Duration, es []Event, want ...Action) {
	h.c.Helper()
	as, wake := h.t.Step(at, es)
	h.c.Assert(as, qt.DeepEquals, want)
	h.c.Assert(wake, qt.Equals, next)
}

// TestMemory guards against a connection that is closed before others have waited, or that keeps memory which others wait for.
func TestMemory(t *testing.T) {
	t.Run("a request waits, is granted when another connection releases, and in its order", func(t *testing.T) {
		h := newTableTest(qt.New(t))
		h.hold(0, Changed{ID: 1, Bytes: 80})
		h.assertStep(0, time.Second, []Event{Asked{ID: 2, Bytes: 60}, Asked{ID: 3, Bytes: 10}})
		h.used.Bytes = 0
		h.assertStep(1, table.Never, []Event{Changed{ID: 1, Bytes: -80}}, Grant{ID: 2, Bytes: 60}, Grant{ID: 3, Bytes: 10})
	})
	t.Run("a request is refused while the others make progress", func(t *testing.T) {
		h := newTableTest(qt.New(t))
		h.hold(0, Changed{ID: 1, Bytes: 80})
		h.assertStep(0, time.Second, []Event{Asked{ID: 2, Bytes: 60}})
		h.assertStep(time.Second, table.Never, nil, Refuse{ID: 2})
	})
	t.Run("the connection without progress that holds the most is closed, and no further one", func(t *testing.T) {
		h := newTableTest(qt.New(t))
		h.hold(0, Changed{ID: 1, Bytes: 30})
		h.hold(0, Changed{ID: 2, Bytes: 40})
		h.hold(time.Second, Changed{ID: 3, Bytes: 30})
		at := 2 * time.Second
		h.assertStep(at, 3*time.Second, []Event{Asked{ID: 4, Bytes: 35}}, Close{ID: 2, Reason: ReasonMemory, Held: 40})
		h.assertStep(at+1, 3*time.Second, nil)
		h.used.Bytes -= 40
		h.assertStep(at+2, table.Never, []Event{Changed{ID: 2, Bytes: -40}}, Grant{ID: 4, Bytes: 35})
	})
	t.Run("session state is claimed from the session that keeps far more, and refused otherwise", func(t *testing.T) {
		h := newTableTest(qt.New(t))
		h.hold(0, Changed{ID: 1, State: 45})
		h.assertStep(0, table.Never, []Event{Asked{ID: 2, Bytes: 40, State: true}}, Refuse{ID: 2})
		h.assertStep(0, time.Second, []Event{Asked{ID: 2, Bytes: 10, State: true}}, Close{ID: 1, Reason: ReasonState, Held: 45})
	})
}

// TestConnections guards against callers that keep others out by not finishing their startup.
func TestConnections(t *testing.T) {
	h := newTableTest(qt.New(t))
	h.assertStep(0, table.Never, []Event{Opened{ID: 1}, Opened{ID: 2}, Started{ID: 1}})
	h.assertStep(0, table.Never, []Event{Opened{ID: 3, Over: true}}, Close{ID: 2, Reason: ReasonConnections}, Grant{ID: 3})
	h.assertStep(0, table.Never, []Event{Closed{ID: 2}, Started{ID: 3}, Opened{ID: 4, Over: true}}, Refuse{ID: 4})
}

// TestStartingIsBounded guards against a list that grows with each connection behind one that never finishes its startup.
func TestStartingIsBounded(t *testing.T) {
	h := newTableTest(qt.New(t))
	h.assertStep(0, table.Never, []Event{Opened{ID: 1, Class: HTTP}})
	for id := range ID(10 * minCleanAt) {
		h.assertStep(0, table.Never, []Event{Opened{ID: id + 2, Class: HTTP}, Closed{ID: id + 2}})
	}
	h.c.Assert(len(h.t.starting[HTTP]) <= minCleanAt, qt.IsTrue)
	last := Opened{ID: 9999, Class: HTTP, Over: true}
	h.assertStep(0, table.Never, []Event{last}, Close{ID: 1, Reason: ReasonConnections}, Grant{ID: last.ID})
}

// TestLimits guards against limits that are too small for the smallest machines, or for 23,000 sessions on the largest.
func TestLimits(t *testing.T) {
	for _, k := range []struct {
		memoryMB, fds int
		callers       int64
	}{{160, 4300, 3000}, {160, 8192, 6000}, {536, 8192, 6000}, {536, 30_000, 23_000}, {48, 300, 100}} {
		t.Run(fmt.Sprint(k.memoryMB, " MB, ", k.fds), func(t *testing.T) {
			c := qt.New(t)
			l := NewLimits(k.memoryMB, k.fds)
			c.Assert(l.Conns[Caller] >= k.callers, qt.IsTrue, qt.Commentf("%d callers", l.Conns[Caller]))
			sum := l.Conns[Caller] + l.Conns[Peer] + l.Conns[HTTP]
			c.Assert(sum < int64(k.fds), qt.IsTrue, qt.Commentf("%d connections", sum))
			c.Assert(l.Bytes >= 4<<20, qt.IsTrue)
		})
	}
}

// randomRun plays events of a few connections on a table, and keeps what they hold and wait for.
type randomRun struct {
	rt            *rapid.T
	t             *Table
	now           time.Duration
	used          Usage
	held, waiting map[ID]int64
}

// step passes events to the table and takes in its actions.
func (r *randomRun) step(es ...Event) {
	as, _ := r.t.Step(r.now, es)
	var changes []Event
	for _, a := range as {
		switch a := a.(type) {
		case Grant:
			if r.waiting[a.ID] != a.Bytes {
				r.rt.Fatalf("grant of %d to %d, which asked for %d", a.Bytes, a.ID, r.waiting[a.ID])
			}
			delete(r.waiting, a.ID)
			r.used.Bytes += a.Bytes
			r.held[a.ID] += a.Bytes
			changes = append(changes, Changed{ID: a.ID, Bytes: a.Bytes})
			if r.used.Bytes > testLimits.Bytes {
				r.rt.Fatalf("%d bytes are granted", r.used.Bytes)
			}
		case Refuse:
			delete(r.waiting, a.ID)
		}
	}
	if len(changes) > 0 {
		r.step(changes...)
	}
}

func (r *randomRun) release(id ID) {
	n := r.held[id]
	delete(r.held, id)
	r.used.Bytes -= n
	r.step(Changed{ID: id, Bytes: -n})
}

// releaseAll lets the time pass after which requests are answered, and releases what all connections hold.
func (r *randomRun) releaseAll() {
	r.now += testLimits.Wait + testLimits.Stall
	r.step()
	for id := range ID(6) {
		r.release(id)
	}
}

// TestNoRequestIsForgotten checks for any order of events that each request is answered once, that grants never exceed the limits,
// and that no row is left when all is released.
func TestNoRequestIsForgotten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &randomRun{rt: rt, held: map[ID]int64{}, waiting: map[ID]int64{}}
		r.t = NewTable(testLimits, func() Usage { return r.used })
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			r.now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			id := ID(rapid.IntRange(1, 5).Draw(rt, "id"))
			if r.waiting[id] == 0 && rapid.Bool().Draw(rt, "ask") {
				r.waiting[id] = rapid.Int64Range(1, 90).Draw(rt, "bytes")
				r.step(Asked{ID: id, Bytes: r.waiting[id]})
			} else {
				r.release(id)
			}
		}
		r.releaseAll()
		r.releaseAll()
		if len(r.waiting) > 0 || len(r.t.asks) > 0 || len(r.t.rows) > 0 {
			rt.Fatalf("%v wait, asks %v, rows %v", r.waiting, r.t.asks, r.t.rows)
		}
	})
}

// TestHold guards against bytes that stay reserved after a connection has released them.
func TestHold(t *testing.T) {
	c := qt.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	limits := testLimits
	limits.Bytes = 10 * SessionBytes
	p := NewPool(ctx, limits, tick.NewClock())
	go func() { _ = p.Run() }()
	a := &Account{}
	c.Assert(p.Open(a, Caller, nil), qt.IsTrue)
	a.Started()
	h := a.NewHold()
	c.Assert(h.Grow(FreeBytes), qt.IsTrue)
	c.Assert(p.Usage().Bytes, qt.Equals, int64(SessionBytes))
	c.Assert(h.Grow(2*SessionBytes), qt.IsTrue)
	c.Assert(a.NewHold().TryGrow(limits.Bytes/2), qt.IsTrue)
	c.Assert(a.NewHold().TryGrow(limits.Bytes), qt.IsFalse)
	h.Shrink(SessionBytes)
	c.Assert(p.Usage().Bytes, qt.Equals, limits.Bytes/2+2*SessionBytes)
	h.Release()
	h.Release()
	a.Close()
	a.Close()
	c.Assert(p.Usage().Bytes, qt.Equals, limits.Bytes/2)
	c.Assert(p.Conns(Caller), qt.Equals, int64(0))
}

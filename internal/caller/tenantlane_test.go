package caller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// tenantLane is a lane that gets random events of a few tenants.
type tenantLane struct {
	lane    *Lane
	now     time.Duration
	opening []ConnID
	running []Send
	asked   []uint64
	tenants SessionID
	// closed counts the closed sessions in each of maxSessions places.
	closed map[SessionID]SessionID
	// maxConns is the largest share of a server's connections so far.
	maxConns int
	seqs     map[SessionID]uint64
}

func newTenantLane(t *rapid.T) *tenantLane {
	l, err := NewLane("g", "z", WithGroupKind(Appointed(func(string) int { return 0 })),
		WithPolicy(Quickest(func(string) int { return 0 })),
		WithViolationHandler(func(invariant, detail string) { t.Fatalf("%s: %s", invariant, detail) }))
	if err != nil {
		t.Fatal(err)
	}
	w := &tenantLane{
		lane: l, now: time.Second, seqs: map[SessionID]uint64{}, closed: map[SessionID]SessionID{}, maxConns: 3,
		tenants: SessionID(rapid.SampledFrom([]int{3, 40}).Draw(t, "tenants")),
	}
	v := upstream.GroupView{Name: "g", Term: 1, Primary: "p", EvidenceTTL: 250 * time.Millisecond}
	for _, n := range []string{"p", "r0", "r1"} {
		v.Servers = append(v.Servers, upstream.ServerView{Name: n, Alive: true, Term: 1})
		w.step(t, LimitsUpdated{Server: n, Slots: 2, Conns: 3})
	}
	w.step(t, ViewUpdated{View: v})
	return w
}

func (w *tenantLane) step(t *rapid.T, es ...Event) {
	as, _ := w.lane.Step(w.now, es)
	for _, a := range as {
		switch a := a.(type) {
		case Open:
			w.opening = append(w.opening, a.Conn)
		case ConfirmLeadership:
			w.asked = append(w.asked, a.Confirmation)
		case Send:
			w.running = append(w.running, a)
			if c, _ := w.lane.conns.Get(a.Conn); c.Tenant != w.tenant(a.Session) {
				t.Fatalf("a request of %s was sent on a connection of %s", w.tenant(a.Session), c.Tenant)
			}
		}
	}
	w.assertQueues(t)
	w.assertConns(t)
}

// places returns how often a tenant must be in a ring, or -1 if it has entries and is said not to be there.
func places(inRing bool, entries int) int {
	switch {
	case inRing:
		return 1
	case entries > 0:
		return -1
	default:
		return 0
	}
}

func (w *tenantLane) tenant(id SessionID) string {
	return fmt.Sprint("t", id%w.tenants)
}

// assertQueues checks that each tenant that waits is in the ring once, and that each request that waits is in one list.
func (w *tenantLane) assertQueues(t *rapid.T) {
	found := map[RequestID]int{}
	for q := range w.lane.queues {
		w.assertRings(t, q)
		f := w.lane.queues[q]
		for _, name := range f.flows.Keys() {
			row, _ := f.flows.Get(name)
			for _, id := range append(row.ids[:len(row.ids):len(row.ids)], row.held...) {
				found[id]++
			}
		}
	}
	for _, id := range w.lane.requests.Keys() {
		if r, _ := w.lane.requests.Get(id); r.Phase == PhaseQueued && found[id] != 1 {
			t.Fatalf("request %d waits in %d lists", id, found[id])
		}
	}
}

// assertRings checks the rings and the counts of a queue.
func (w *tenantLane) assertRings(t *rapid.T, q int) {
	f := w.lane.queues[q]
	rings, heldRings, ids, held := map[string]int{}, map[string]int{}, 0, 0
	for _, name := range f.ring {
		rings[name]++
	}
	for _, name := range f.heldRing {
		heldRings[name]++
	}
	for _, name := range f.flows.Keys() {
		row, _ := f.flows.Get(name)
		ids, held = ids+len(row.ids), held+len(row.held)
		if rings[name] != places(row.inRing, len(row.ids)) || heldRings[name] != places(row.inHeldRing, len(row.held)) {
			t.Fatalf("queue %d: %s is in the rings %d and %d times, and has %+v", q, name, rings[name], heldRings[name], row)
		}
	}
	if len(rings)+len(heldRings) < f.flows.Len() || f.waiting.total() != ids || f.held.total() != held {
		t.Fatalf("queue %d: %d in the rings, %d rows, %d of %d waiting, %d of %d held", q, len(rings)+len(heldRings), f.flows.Len(),
			f.waiting.total(), ids, f.held.total(), held)
	}
}

// assertConns checks the counts of the connections, and that open transactions hold at most half of them.
func (w *tenantLane) assertConns(t *rapid.T) {
	uses, transactions := map[connKey]connUse{}, map[string]int{}
	for _, id := range w.lane.conns.Keys() {
		c, _ := w.lane.conns.Get(id)
		u := uses[c.key()].withConns(1)
		if c.Phase == ConnIdle {
			u = u.withIdle(1)
		}
		uses[c.key()] = u
		if c.Transaction {
			transactions[c.Server]++
		}
	}
	if len(uses) != len(w.lane.connUses) {
		t.Fatalf("%d rows of use, want %d", len(w.lane.connUses), len(uses))
	}
	for k, want := range uses {
		if got := w.lane.connUses[k]; got.conns != want.conns || got.idle != want.idle {
			t.Fatalf("%v: got %+v, want %+v", k, got, want)
		}
	}
	for _, s := range w.lane.Servers() {
		if s.Transactions != transactions[s.View.Name] || s.Transactions > halfOfConns(w.maxConns, s.Slots) {
			t.Fatalf("%s: %d transactions counted, %d open, %d connections", s.View.Name, s.Transactions, transactions[s.View.Name],
				s.ConnLimit)
		}
	}
}

// maxSessions is how many sessions are open at once.
const maxSessions = 60

// session returns the ID of an open session, or of one that may be opened. IDs are never reused.
func (w *tenantLane) session(t *rapid.T) SessionID {
	i := SessionID(rapid.IntRange(0, maxSessions-1).Draw(t, "session"))
	return i + maxSessions*(1+w.closed[i])
}

func (w *tenantLane) request(t *rapid.T) {
	id := w.session(t)
	s, ok := w.lane.Session(id)
	if ok && s.Active != 0 {
		return
	}
	if w.seqs[id]++; !ok {
		w.step(t, SessionOpened{Session: id, HasFloor: true})
	}
	class := rapid.SampledFrom([]bundle.Class{
		{Name: "fresh", DeadlineMS: 2000, ObjectiveMS: 400},
		{Name: "aged", DeadlineMS: 2000, MaxAgeMS: 1500},
		{Name: "long", DeadlineMS: 4000, Long: true},
	}).Draw(t, "class")
	kind := rapid.SampledFrom([]Kind{KindRead, KindWrite, KindBegin, KindCommit}).Draw(t, "kind")
	if s.TxConn == 0 && kind == KindCommit {
		kind = KindBegin
	}
	w.step(t, RequestReceived{Session: id, Seq: w.seqs[id], Statement: Statement{Kind: kind, Class: class, Tenant: w.tenant(id)}})
}

func (w *tenantLane) reply(t *rapid.T) {
	s, ok := take(t, &w.running)
	if !ok {
		return
	}
	r, _ := w.lane.requests.Get(s.Request)
	row, _ := w.lane.Session(s.Session)
	open := r.Statement.Kind == KindBegin || row.TxConn != 0 && r.Statement.Kind != KindCommit
	w.step(t, Replied{Conn: s.Conn, Request: s.Request, Position: session.Position{Term: 1, Offset: 1}, TransactionOpen: open})
}

func (w *tenantLane) event(t *rapid.T) {
	switch rapid.IntRange(0, 16).Draw(t, "event") {
	case 0:
		w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
		w.step(t)
	case 1, 2:
		if id, ok := take(t, &w.opening); ok {
			w.step(t, ConnOpened{Conn: id})
		}
	case 3:
		if id, ok := take(t, &w.opening); ok {
			w.step(t, ConnFailed{Conn: id, Full: rapid.Bool().Draw(t, "full")})
		}
	case 4:
		if s, ok := take(t, &w.running); ok {
			w.step(t, Declined{Conn: s.Conn, Request: s.Request, Reason: DeclineBusy})
		}
	case 14:
		if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
			e := LimitsUpdated{Server: "p", Slots: 2, Conns: rapid.IntRange(1, 6).Draw(t, "conns")}
			e.Retired = rapid.Bool().Draw(t, "retired")
			w.maxConns = max(w.maxConns, e.Conns)
			w.step(t, e)
		}
	case 5:
		if s, ok := take(t, &w.running); ok {
			w.step(t, RequestInterrupted{Conn: s.Conn, Request: s.Request, Unsent: rapid.Bool().Draw(t, "unsent")})
		}
	case 6:
		id := w.session(t)
		w.closed[id%maxSessions]++
		w.step(t, SessionClosed{Session: id})
	case 7:
		if id, ok := take(t, &w.asked); ok {
			w.step(t, LeadershipConfirmed{Confirmation: id, Term: 1, End: session.Position{Term: 1, Offset: 1}})
		}
	case 8, 9, 10:
		w.reply(t)
	default:
		w.request(t)
	}
}

// TestTenantLane guards against requests that are lost or sent on another tenant's connection, and against counts that drift, under
// random failures.
func TestTenantLane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTenantLane(t)
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			w.event(t)
		}
	})
}

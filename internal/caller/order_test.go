package caller

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// dispatchOneList is the order without tenants: each queue is one list, of which at most maxQueueScan requests are skipped that
// can't start yet.
func dispatchOneList(l *Lane, now time.Duration) {
	l.requests.TakeDirty()
	l.conns.TakeDirty()
	l.servers.TakeDue(now)
	l.replicaWaitUntil = 0
	waiting := map[connKey]int{}
	for q := range l.queues {
		old, _ := l.queues[q].flows.Get("")
		var skipped []RequestID
		i := 0
		for i < len(old.ids) && len(skipped) < maxQueueScan {
			id := old.ids[i]
			i++
			r, ok := l.requests.Get(id)
			switch {
			case !ok || !l.stillQueued(r):
			case l.startRequest(now, r, waiting) == startLeft:
				l.recordDeparture(now, q, len(skipped) > 0 || i < len(old.ids))
			default:
				skipped = append(skipped, id)
			}
		}
		row := old
		row.ids = append(skipped, old.ids[i:]...)
		if len(row.ids) == 0 {
			row.inRing, l.queues[q].ring = false, nil
		}
		l.queues[q].put("", old, row)
	}
}

// twinLanes are two lanes that get the same events. The second one serves each queue as one list.
type twinLanes struct {
	lanes   [2]*Lane
	now     time.Duration
	opening []ConnID
	running []Send
	seqs    map[SessionID]uint64
}

func newTwinLanes(t *rapid.T) *twinLanes {
	p := Quickest(func(string) int { return 0 })
	p.TxLimit = unlimited
	w := &twinLanes{now: time.Second, seqs: map[SessionID]uint64{}}
	for i := range w.lanes {
		l, err := NewLane("g", "z", WithGroupKind(Appointed(func(string) int { return 0 })), WithPolicy(p))
		if err != nil {
			t.Fatal(err)
		}
		w.lanes[i] = l
	}
	systems := w.lanes[1].systems
	for i := range systems {
		if systems[i].name == "dispatch" {
			systems[i].run = dispatchOneList
		}
	}
	v := upstream.GroupView{Name: "g", Term: 1, Primary: "p", EvidenceTTL: 250 * time.Millisecond}
	for _, n := range []string{"p", "r0", "r1"} {
		v.Servers = append(v.Servers, upstream.ServerView{Name: n, Alive: true, Term: 1})
		w.step(t, LimitsUpdated{Server: n, Slots: 2, Conns: 3})
	}
	w.step(t, ViewUpdated{View: v})
	return w
}

// step gives both lanes the same events, and fails unless they take the same actions.
func (w *twinLanes) step(t *rapid.T, es ...Event) {
	as, wake := w.lanes[0].Step(w.now, es)
	want, wantWake := w.lanes[1].Step(w.now, es)
	if !reflect.DeepEqual(as, want) || wake != wantWake {
		t.Fatalf("after %+v: got %+v, want %+v", es, as, want)
	}
	for _, a := range as {
		switch a := a.(type) {
		case Open:
			w.opening = append(w.opening, a.Conn)
		case Send:
			w.running = append(w.running, a)
		}
	}
}

func take[T any](t *rapid.T, from *[]T) (v T, ok bool) {
	if len(*from) == 0 {
		return v, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "which")
	v = (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return v, true
}

func (w *twinLanes) request(t *rapid.T) {
	id := SessionID(rapid.IntRange(1, 60).Draw(t, "session"))
	if s, ok := w.lanes[0].Session(id); ok && s.Active != 0 {
		return
	}
	if w.seqs[id]++; w.seqs[id] == 1 {
		w.step(t, SessionOpened{Session: id, HasFloor: true})
	}
	class := rapid.SampledFrom([]bundle.Class{
		{Name: "fresh", DeadlineMS: 2000, ObjectiveMS: 400},
		{Name: "aged", DeadlineMS: 2000, MaxAgeMS: 1500},
		{Name: "long", DeadlineMS: 4000, Long: true},
	}).Draw(t, "class")
	kind := rapid.SampledFrom([]Kind{KindRead, KindRead, KindWrite, KindBegin, KindCommit}).Draw(t, "kind")
	w.step(t, RequestReceived{Session: id, Seq: w.seqs[id], Statement: Statement{Kind: kind, Class: class}})
}

func (w *twinLanes) event(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		w.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
		w.step(t)
	case 1, 2:
		if id, ok := take(t, &w.opening); ok {
			w.step(t, ConnOpened{Conn: id})
		}
	case 3:
		if id, ok := take(t, &w.opening); ok {
			w.step(t, ConnFailed{Conn: id})
		}
	case 4:
		if s, ok := take(t, &w.running); ok {
			w.step(t, Declined{Conn: s.Conn, Request: s.Request, Reason: DeclineBusy})
		}
	case 5, 6:
		if s, ok := take(t, &w.running); ok {
			open := rapid.Bool().Draw(t, "open")
			w.step(t, Replied{Conn: s.Conn, Request: s.Request, Position: session.Position{Term: 1, Offset: 1}, TransactionOpen: open})
		}
	default:
		w.request(t)
	}
}

// TestOrderWithoutTenants guards against a deployment without tenants whose requests are served in another order than that of
// one list for each queue.
func TestOrderWithoutTenants(t *testing.T) {
	longest := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newTwinLanes(t)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			w.event(t)
			longest = max(longest, w.lanes[0].queueLength())
		}
	})
	qt.Assert(t, longest > maxQueueScan, qt.IsTrue, qt.Commentf(fmt.Sprint("longest queue ", longest)))
}

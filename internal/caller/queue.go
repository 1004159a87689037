package caller

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// classCost is the row of one class of requests: how long their answers take, the latest counting most.
type classCost struct {
	mean time.Duration
}

// withAnswer returns the row after an answer that took so long.
func (c classCost) withAnswer(d time.Duration) classCost {
	if c.mean == 0 {
		c.mean = d
	}
	c.mean += time.Duration(flowWeight * float64(d-c.mean))
	return c
}

const (
	// allClasses is the key of the row that stands for all classes together.
	allClasses = ""
	// slowTenths is how many tenths of the mean over all classes make a slow class.
	slowTenths = 13
)

// flow is the row of one queue's departures while others waited behind.
type flow struct {
	last   time.Duration
	gap    time.Duration
	behind bool
}

// withDeparture returns the row after a request left the queue; behind says whether others still wait in it.
func (f flow) withDeparture(now time.Duration, behind bool) flow {
	switch {
	case f.behind && f.gap == 0:
		f.gap = now - f.last
	case f.behind:
		f.gap += time.Duration(flowWeight * float64(now-f.last-f.gap))
	}
	f.last = now
	f.behind = behind
	return f
}

// enqueue puts a request into its queue, or refuses it while that is still early.
func (l *Lane) enqueue(now time.Duration, r Request) {
	s, _ := l.sessions.Get(r.Session)
	r = r.WithPhase(PhaseQueued)
	l.requests.Put(r.ID, r)
	l.requests.Wake(r.ID, r.Deadline)
	if s.Conn == 0 {
		l.requests.Wake(r.ID, min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r)))
	}
	if s.Conn != 0 {
		l.queues[QueueTransaction] = append(l.queues[QueueTransaction], r.ID)
		return
	}
	q := l.policy.SelectQueue(r, l.slow(r))
	if wait := l.expectedWait(q); !l.policy.Admit(wait, r.Deadline-now) {
		l.refuse(r, Refusal{Reason: ReasonOverload, Retry: wait, Detail: fmt.Sprintf("expected wait %v", wait)})
		return
	}
	l.queues[q] = append(l.queues[q], r.ID)
}

// requeue puts a request that has to be sent again at the head of its queue.
func (l *Lane) requeue(r Request) {
	r = r.WithPhase(PhaseQueued).WithoutLead()
	l.requests.Put(r.ID, r)
	l.requests.Wake(r.ID, max(l.now, min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r))))
	q := l.policy.SelectQueue(r, l.slow(r))
	l.queues[q] = slices.Insert(l.queues[q], 0, r.ID)
}

// expectedWait estimates how long a request joining a queue would wait, from how fast requests leave it when others wait.
// That takes in whatever holds them up: slots, shares and the work itself.
func (l *Lane) expectedWait(q QueueID) time.Duration {
	f, _ := l.flows.Get(int(q))
	return f.gap * time.Duration(len(l.queues[q]))
}

// dispatchQueues starts whatever has a slot and a connection, most urgent queue first.
func dispatchQueues(l *Lane, now time.Duration) {
	l.requests.TakeDirty()
	l.conns.TakeDirty()
	l.servers.TakeDue(now)
	l.sparedUntil = 0
	wanted := map[string]int{}
	for q := range l.queues {
		l.dispatch(now, QueueID(q), wanted)
	}
}

// dispatch tries the head of a queue, and looks past a bounded number of requests that cannot start yet.
func (l *Lane) dispatch(now time.Duration, q QueueID, wanted map[string]int) {
	queue := l.queues[q]
	var kept [maxScan]RequestID
	n, i := 0, 0
	for i < len(queue) && n < maxScan {
		id := queue[i]
		i++
		r, ok := l.requests.Get(id)
		switch {
		case !ok || !l.waits(r):
		case l.start(now, r, wanted):
			f, _ := l.flows.Get(int(q))
			l.flows.Put(int(q), f.withDeparture(now, n > 0 || i < len(queue)))
		default:
			kept[n] = id
			n++
		}
	}
	l.flows.TakeDirty()
	copy(queue[i-n:i], kept[:n])
	l.queues[q] = queue[i-n:]
}

// slow reports whether requests of a class take longer than most.
func (l *Lane) slow(r Request) bool {
	c, _ := l.costs.Get(r.Statement.Class.Name)
	all, _ := l.costs.Get(allClasses)
	return c.mean*10 > all.mean*slowTenths
}

// waits reports whether a queue entry still stands for a request that waits in it.
func (l *Lane) waits(r Request) bool {
	return r.Phase == PhaseQueued || r.Phase == PhaseResolving && r.Conn == 0
}

// start sends a request if it can, and reports whether it left its queue.
func (l *Lane) start(now time.Duration, r Request, wanted map[string]int) bool {
	s, ok := l.sessions.Get(r.Session)
	if !ok {
		l.requests.Delete(r.ID)
		return true
	}
	if s.Conn != 0 && r.Phase != PhaseResolving {
		return l.startHeld(now, s, r)
	}
	if l.view.Term < s.Need().Term {
		return false
	}
	cs := l.candidates(now, s, r)
	grown := false
	for _, row := range cs {
		if row.Free() <= 0 || r.Statement.Class.Long && row.Long >= row.LongSlots {
			continue
		}
		if l.sparesPrimary(now, r, cs, row) {
			break
		}
		if n := len(row.Idle); n > 0 {
			l.run(now, s, r, row, row.Idle[n-1])
			return true
		}
		if !grown {
			grown = true
			wanted[row.View.Name]++
			l.grow(now, row, wanted[row.View.Name])
		}
	}
	if len(cs) > 0 {
		l.want(cs[0].View.Name, r)
	}
	return false
}

// sparesPrimary reports whether a read should wait a little for a replica instead of taking a slot of the primary.
func (l *Lane) sparesPrimary(now time.Duration, r Request, cs []Server, row Server) bool {
	until := r.Arrived + l.policy.ReplicaWait
	if len(cs) < 2 || r.Phase == PhaseResolving || row.View.Name != l.view.Primary || now >= until {
		return false
	}
	if l.sparedUntil == 0 || until < l.sparedUntil {
		l.sparedUntil = until
	}
	return true
}

// want notes that a request waits for a slot of a server.
func (l *Lane) want(server string, r Request) {
	d := l.wants[server]
	if r.Statement.Class.Long {
		d.long++
	} else {
		d.short++
	}
	l.wants[server] = d
}

// startHeld sends the next request of an open transaction on the transaction's own connection.
func (l *Lane) startHeld(now time.Duration, s Session, r Request) bool {
	if l.kind.SemiSync && r.Statement.Kind == KindCommit && s.Changed && l.leader() == "" {
		l.refuse(r, Refusal{Reason: ReasonRolledBack, Retry: retryHint, Detail: "the primary is being replaced"})
		return true
	}
	c, ok := l.conns.Get(s.Conn)
	row, _ := l.servers.Get(c.Server)
	if !ok || row.Free() <= 0 || c.Cancelling {
		l.want(c.Server, r)
		return false
	}
	l.run(now, s, r, row, c.ID)
	return true
}

// candidates lists the servers that may run a request, best first.
func (l *Lane) candidates(now time.Duration, s Session, r Request) []Server {
	if mayBeOld(r) {
		l.rotation++
		q := l.query(now, s, r)
		q.Servers = l.eligible(q)
		return l.policy.Route(q)
	}
	if p := l.leader(); p != "" {
		row, _ := l.servers.Get(p)
		return []Server{row}
	}
	return nil
}

// mayBeOld reports whether a request is a read that accepts data of a stated age.
func mayBeOld(r Request) bool {
	reads := r.Statement.Kind == KindRead || r.Statement.Kind == KindBegin && r.Statement.ReadOnly
	return reads && r.Phase != PhaseResolving && r.Statement.Class.MaxAgeMS > 0
}

func (l *Lane) query(now time.Duration, s Session, r Request) RouteQuery {
	return RouteQuery{
		Now: now, Zone: l.zone, Session: s, Request: r, Primary: l.leader(), Rotation: l.rotation, Samples: l.samples,
		LeaderAt: l.ledAt,
	}
}

// eligible lists the servers that may run a read; the one that failed its last attempt only where there is no other.
func (l *Lane) eligible(q RouteQuery) []Server {
	ss := make([]Server, 0, len(l.view.Servers))
	for _, s := range l.viewed() {
		switch {
		case s.View.Leaving || !s.View.Alive || q.Now < s.Declined:
		case s.View.Name == q.Primary:
			ss = append(ss, s)
		default:
			if _, ok := l.kind.ReplicaCanServe(q, s); ok {
				ss = append(ss, s)
			}
		}
	}
	if i := slices.IndexFunc(ss, func(s Server) bool { return s.View.Name == q.Request.Avoid }); i >= 0 && len(ss) > 1 {
		ss = slices.Delete(ss, i, i+1)
	}
	return ss
}

// leader returns the primary that new work may be sent to, or "".
func (l *Lane) leader() string {
	if l.view.Suspect || l.view.Fenced {
		return ""
	}
	return l.view.Primary
}

func (l *Lane) viewed() []Server {
	ss := make([]Server, 0, len(l.view.Servers))
	for _, v := range l.view.Servers {
		s, _ := l.servers.Get(v.Name)
		ss = append(ss, s)
	}
	return ss
}

// run binds a request to a connection and sends it.
func (l *Lane) run(now time.Duration, s Session, r Request, row Server, id ConnID) {
	c, _ := l.conns.Get(id)
	l.ensure(row.Running < row.Slots, "slots_within_share", func() string { return row.View.Name })
	l.ensure(c.Request == 0 && (c.Session == 0 || c.Session == s.ID), "connection_not_shared",
		func() string { return fmt.Sprintf("conn %d request %d session %d", c.ID, c.Request, c.Session) })
	l.servers.Put(row.View.Name, row.WithoutIdle(id).WithRunning(1, r.Statement.Class.Long))
	l.conns.Put(id, c.WithPhase(now, ConnBusy).WithRequest(r.ID, r.Statement.Class.Long))
	l.conns.Wake(id, neverDue)
	if r.Phase == PhaseResolving {
		r.Conn = id
		r.Server = row.View.Name
		l.requests.Put(r.ID, r)
		l.out = append(l.out, LookupOutcome{Conn: id, Request: r.ID, Key: r.Statement.Key})
		return
	}
	l.ensure(r.Joined == 0 || r.Joined == id, "transaction_on_one_connection", func() string {
		return fmt.Sprintf("request %d belongs to %d, sent on %d", r.ID, r.Joined, id)
	})
	need := l.needOf(now, s, r, row)
	l.ensure(!r.Sent || r.Statement.Kind == KindRead || r.Statement.Kind == KindBegin, "write_sent_once",
		func() string { return fmt.Sprintf("request %d attempt %d", r.ID, r.Attempts+1) })
	l.checkFloor(s, r, row)
	l.stats.countSent(now, r, l.lastLed())
	r = r.WithRun(now, id, row.View.Name)
	r = r.WithHeld(l.kind.HoldsAnswers || l.kind.NeedsConfirmation(s, r) || r.Statement.Kind == KindBegin)
	if row.View.Name == l.view.Primary && l.needsLead(r) {
		r = r.WithLead()
		l.proving = append(l.proving, r.ID)
	}
	l.requests.Put(r.ID, r)
	if l.kind.HoldsAnswers {
		l.requests.Wake(r.ID, min(r.Deadline, now+slowAfter))
	}
	a := Send{
		Conn: id, Request: r.ID, Session: s.ID, Seq: r.Seq, Hold: r.Held, KeyInsert: wrap(s, r),
		Key: r.Statement.Key, AllowStale: s.Stale, RequiredPosition: need,
	}
	l.out = append(l.out, a)
	if r.Traced {
		l.tellSent(now, a, r, row)
	}
}

// needOf is the position that a read outside of a transaction must show.
func (l *Lane) needOf(now time.Duration, s Session, r Request, row Server) session.Position {
	switch {
	case s.Conn != 0 || s.Stale:
		return session.Position{}
	case mayBeOld(r) && row.View.Name != l.view.Primary:
		need, _ := l.kind.ReplicaCanServe(l.query(now, s, r), row)
		return need
	case r.Statement.Kind == KindRead && l.kind.ResolvesOutcomes:
		return s.Floor
	default:
		return session.Position{}
	}
}

// checkFloor asserts that a replica is only read by sessions whose own work it has applied.
func (l *Lane) checkFloor(s Session, r Request, row Server) {
	if row.View.Name == l.view.Primary || s.Conn != 0 {
		return
	}
	l.ensure(!l.kind.ResolvesOutcomes || s.Stale || s.FloorKnown && row.View.Applied.Covers(s.Need()), "read_your_writes", func() string {
		return fmt.Sprintf("session %d needs %v, %s has %v", s.ID, s.Need(), row.View.Name, row.View.Applied)
	})
	l.ensure(mayBeOld(r), "writes_on_primary", func() string { return row.View.Name })
}

// needsProof reports whether the answer commits something.
func needsProof(s Session, r Request) bool {
	switch r.Statement.Kind {
	case KindWrite:
		return s.Conn == 0
	case KindCommit:
		return s.Conn != 0 && s.Wrote
	default:
		return false
	}
}

func wrap(s Session, r Request) KeyInsert {
	switch {
	case !r.Statement.Keyed():
		return KeyInsertNone
	case r.Statement.Kind == KindWrite && s.Conn == 0:
		return KeyInsertTransaction
	case r.Statement.Kind == KindCommit && s.Conn != 0:
		return KeyInsertBeforeCommit
	default:
		return KeyInsertNone
	}
}

// needsHeld reports whether the evidence for a committed request has to show that a majority holds it, beyond following its
// term. What settlement found out is always held, since "not run" and "ran" may never change.
func needsHeld(r Request) bool {
	return r.Statement.Class.Ack() == bundle.AckReplica || r.Result != ResultAnswered
}

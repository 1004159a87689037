package caller

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// classAnswerTime is the row of one class of requests: the exponentially weighted mean of its answer times.
type classAnswerTime struct {
	mean time.Duration
}

// withAnswer returns the row after an answer that took d.
func (c classAnswerTime) withAnswer(d time.Duration) classAnswerTime {
	if c.mean == 0 {
		c.mean = d
	}
	c.mean += time.Duration(meanWeight * float64(d-c.mean))
	return c
}

const (
	// allClasses is the key of the row for all classes together.
	allClasses = ""
	// slowClassTenths is the mean answer time above which a class is slow, in tenths of the mean over all classes.
	slowClassTenths = 13
)

const (
	// maxIntervalGrowth and minIntervalLimit bound the influence of a single interval between departures on their mean.
	maxIntervalGrowth = 4
	minIntervalLimit  = 20 * time.Millisecond
	// departureWeight is the weight of the latest interval in the mean.
	departureWeight = 0.03
)

const (
	// maxStallRetry bounds the time to return that a refused caller is told because nothing leaves a queue.
	maxStallRetry = time.Second
	// stallMemory is how long a stall is remembered after the last request has joined the queue, in times that it may wait.
	stallMemory = 2
)

// departureStats is the row of one queue: the weighted mean interval between departures while other requests waited in it.
type departureStats struct {
	lastAt   time.Duration
	interval time.Duration
	nonEmpty bool
	// waitingSince is the time since which requests have waited in the queue and none was sent, zero if the last one that was sent
	// left it empty. It stays as it is while requests give up. joinedAt is when the last one joined.
	waitingSince time.Duration
	joinedAt     time.Duration
}

// withJoin returns the row after a request has joined the queue, which waits for at most the given time.
func (d departureStats) withJoin(now, patience time.Duration) departureStats {
	if d.waitingSince == 0 || now-d.joinedAt > stallMemory*patience {
		d.waitingSince = now
	}
	d.joinedAt = now
	return d
}

// withDeparture returns the row after a request left the queue. nonEmpty is set if others still wait in it.
func (d departureStats) withDeparture(now time.Duration, nonEmpty bool) departureStats {
	switch {
	case d.nonEmpty && d.interval == 0:
		d.interval = now - d.lastAt
	case d.nonEmpty:
		// A single pause, as while a primary is replaced, says little about the departures after it.
		took := min(now-d.lastAt, max(maxIntervalGrowth*d.interval, minIntervalLimit))
		d.interval += time.Duration(departureWeight * float64(took-d.interval))
	}
	d.lastAt = now
	d.nonEmpty = nonEmpty
	d.waitingSince = 0
	if nonEmpty {
		d.waitingSince = now
	}
	return d
}

// enqueue puts a request into its queue, or refuses it at once if the policy does not admit it.
func (l *Lane) enqueue(now time.Duration, r Request) {
	s, _ := l.sessions.Get(r.Session)
	r = r.WithPhase(PhaseQueued)
	l.requests.Put(r.ID, r)
	l.requests.SetDue(r.ID, r.Deadline)
	if s.TxConn == 0 {
		l.requests.SetDue(r.ID, min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r)))
	}
	if s.TxConn != 0 {
		l.queues[QueueTransaction] = append(l.queues[QueueTransaction], r.ID)
		return
	}
	q := l.policy.SelectQueue(r, l.slowClass(r))
	patience := l.queuedUntil(r) - now
	wait, stall := l.expectedWait(q), l.stall(now, q)
	if !l.policy.Admit(max(wait, stall), patience) {
		back := max(wait, min(stall, maxStallRetry))
		// The random part keeps those refused at a crest from returning all at once.
		l.refuse(r, Refusal{
			Reason: ReasonOverload, Retry: max(back/2+l.jitter(back), time.Millisecond),
			Detail: fmt.Sprintf("expected wait %v, nothing sent for %v", wait, stall),
		})
		return
	}
	d, _ := l.departures.Get(int(q))
	l.departures.Put(int(q), d.withJoin(now, patience))
	l.departures.TakeDirty()
	l.queues[q] = append(l.queues[q], r.ID)
}

// requeue puts a request that has to be sent again at the head of its queue.
func (l *Lane) requeue(r Request) {
	r = r.WithPhase(PhaseQueued).WithoutPendingLeadership()
	l.requests.Put(r.ID, r)
	l.requests.SetDue(r.ID, max(l.now, min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r))))
	q := l.policy.SelectQueue(r, l.slowClass(r))
	l.queues[q] = slices.Insert(l.queues[q], 0, r.ID)
}

// queuedUntil returns when a request that still waits is refused: at its queue timeout, or at its deadline while there is no
// primary.
func (l *Lane) queuedUntil(r Request) time.Duration {
	if l.leader() == "" {
		return r.Deadline
	}
	return min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r))
}

// expectedWait estimates how long a request that joins a queue would wait, from the interval at which requests leave it. The
// interval covers every cause of delay: slots, connections and the work itself.
func (l *Lane) expectedWait(q QueueID) time.Duration {
	d, _ := l.departures.Get(int(q))
	return d.interval * time.Duration(len(l.queues[q]))
}

// stall returns how long requests have waited in a queue while none has left it. A request that joins is likely to wait as long
// again. It is zero while the queue is empty, so that one request finds out whether the stall has ended, and without a primary: the
// next one takes up all that wait.
func (l *Lane) stall(now time.Duration, q QueueID) time.Duration {
	d, _ := l.departures.Get(int(q))
	if len(l.queues[q]) == 0 || d.waitingSince == 0 || l.leader() == "" {
		return 0
	}
	return now - d.waitingSince
}

// dispatchQueues starts the requests that have a slot and a connection, queue by queue in order of priority.
func dispatchQueues(l *Lane, now time.Duration) {
	l.requests.TakeDirty()
	l.conns.TakeDirty()
	l.servers.TakeDue(now)
	l.replicaWaitUntil = 0
	waiting := map[connKey]int{}
	for q := range l.queues {
		l.dispatch(now, QueueID(q), waiting)
	}
}

// dispatch starts requests from the head of a queue. It skips at most maxQueueScan requests that cannot start yet.
func (l *Lane) dispatch(now time.Duration, q QueueID, waiting map[connKey]int) {
	queue := l.queues[q]
	var skipped [maxQueueScan]RequestID
	n, i := 0, 0
	for i < len(queue) && n < maxQueueScan {
		id := queue[i]
		i++
		r, ok := l.requests.Get(id)
		switch {
		case !ok || !l.stillQueued(r):
		case l.startRequest(now, r, waiting):
			d, _ := l.departures.Get(int(q))
			l.departures.Put(int(q), d.withDeparture(now, n > 0 || i < len(queue)))
		default:
			skipped[n] = id
			n++
		}
	}
	l.departures.TakeDirty()
	copy(queue[i-n:i], skipped[:n])
	l.queues[q] = queue[i-n:]
}

// slowClass reports whether the request's class takes longer to answer than most.
func (l *Lane) slowClass(r Request) bool {
	c, _ := l.answerTimes.Get(r.Statement.Class.Name)
	all, _ := l.answerTimes.Get(allClasses)
	return c.mean*10 > all.mean*slowClassTenths
}

// stillQueued reports whether a request whose ID is in a queue still waits there.
func (l *Lane) stillQueued(r Request) bool {
	return r.Phase == PhaseQueued || r.Phase == PhaseResolving && r.Conn == 0
}

// startRequest sends a request if it can, and reports whether the request left its queue.
func (l *Lane) startRequest(now time.Duration, r Request, waiting map[connKey]int) bool {
	s, ok := l.sessions.Get(r.Session)
	if !ok {
		l.requests.Delete(r.ID)
		return true
	}
	if s.TxConn != 0 && r.Phase != PhaseResolving {
		return l.startInTransaction(now, s, r)
	}
	if l.view.Term < s.RequiredPosition().Term {
		return false
	}
	cs := l.candidates(now, s, r)
	opened := false
	for _, row := range cs {
		if row.FreeSlots() <= 0 || r.Statement.Class.Long && row.RunningLong >= row.LongSlots {
			continue
		}
		if l.waitsForReplica(now, r, cs, row) {
			break
		}
		if id, ok := l.idleConn(row, r.Statement.Tenant); ok {
			l.send(now, s, r, row, id)
			return true
		}
		if !opened {
			opened = true
			k := connKey{server: row.View.Name, tenant: r.Statement.Tenant}
			waiting[k]++
			l.openConn(now, k, waiting[k])
		}
	}
	if len(cs) > 0 {
		l.addDemand(cs[0].View.Name, r)
	}
	return false
}

// waitsForReplica reports whether a read should wait for a replica instead of taking a slot of the primary.
func (l *Lane) waitsForReplica(now time.Duration, r Request, cs []Server, row Server) bool {
	until := r.Arrived + l.policy.ReplicaWait
	if len(cs) < 2 || r.Phase == PhaseResolving || row.View.Name != l.view.Primary || now >= until {
		return false
	}
	if l.replicaWaitUntil == 0 || until < l.replicaWaitUntil {
		l.replicaWaitUntil = until
	}
	return true
}

// addDemand counts a request that waits for a slot of a server.
func (l *Lane) addDemand(server string, r Request) {
	d := l.slotDemand[server]
	if r.Statement.Class.Long {
		d.long++
	} else {
		d.short++
	}
	l.slotDemand[server] = d
}

// startInTransaction sends the next request of an open transaction on the transaction's own connection.
func (l *Lane) startInTransaction(now time.Duration, s Session, r Request) bool {
	if l.kind.SemiSync && r.Statement.Kind == KindCommit && s.WriteSucceeded && l.leader() == "" {
		l.refuse(r, Refusal{Reason: ReasonRolledBack, Retry: retryHint, Detail: "the primary is being replaced"})
		return true
	}
	c, ok := l.conns.Get(s.TxConn)
	row, _ := l.servers.Get(c.Server)
	if !ok || row.FreeSlots() <= 0 || c.Cancelling {
		l.addDemand(c.Server, r)
		return false
	}
	l.send(now, s, r, row, c.ID)
	return true
}

// candidates lists the servers that may run a request, best first.
func (l *Lane) candidates(now time.Duration, s Session, r Request) []Server {
	if acceptsAge(r) {
		l.rotation++
		q := l.routeQuery(now, s, r)
		q.Servers = l.eligible(q)
		return l.policy.Route(q)
	}
	if p := l.leader(); p != "" {
		row, _ := l.servers.Get(p)
		return []Server{row}
	}
	return nil
}

// acceptsAge reports whether a request is a read, or begins a read-only transaction, and accepts data up to the maximum age of
// its class.
func acceptsAge(r Request) bool {
	reads := r.Statement.Kind == KindRead || r.Statement.Kind == KindBegin && r.Statement.ReadOnly
	return reads && r.Phase != PhaseResolving && r.Statement.Class.MaxAgeMS > 0
}

func (l *Lane) routeQuery(now time.Duration, s Session, r Request) RouteQuery {
	return RouteQuery{
		Now: now, Zone: l.zone, Session: s, Request: r, Primary: l.leader(), Rotation: l.rotation, Samples: l.samples,
		LeaderAt: l.leaderAt, Work: l.workTime(r),
	}
}

// eligible lists the servers that may run a read. The server of the read's last failed attempt is included only if there is
// no other.
func (l *Lane) eligible(q RouteQuery) []Server {
	ss := make([]Server, 0, len(l.view.Servers))
	for _, s := range l.groupServers() {
		switch {
		case s.View.Leaving || !s.View.Alive || q.Now < s.DeclinedUntil:
		case s.View.Name == q.Primary:
			ss = append(ss, s)
		default:
			if _, ok := l.kind.ReplicaCanServe(q, s); ok {
				ss = append(ss, s)
			}
		}
	}
	if i := slices.IndexFunc(ss, func(s Server) bool { return s.View.Name == q.Request.AvoidServer }); i >= 0 && len(ss) > 1 {
		ss = slices.Delete(ss, i, i+1)
	}
	return ss
}

// leader returns the primary that new work may be sent to, or "" if there is none.
func (l *Lane) leader() string {
	if l.view.Suspect || l.view.Fenced {
		return ""
	}
	return l.view.Primary
}

func (l *Lane) groupServers() []Server {
	ss := make([]Server, 0, len(l.view.Servers))
	for _, v := range l.view.Servers {
		s, _ := l.servers.Get(v.Name)
		ss = append(ss, s)
	}
	return ss
}

// send binds a request to a connection and sends it.
func (l *Lane) send(now time.Duration, s Session, r Request, row Server, id ConnID) {
	c, _ := l.conns.Get(id)
	l.ensure(row.FreeSlots() > 0, "slots_within_share", func() string { return row.View.Name })
	l.ensure(c.Request == 0 && (c.Session == 0 || c.Session == s.ID), "connection_not_shared",
		func() string { return fmt.Sprintf("conn %d request %d session %d", c.ID, c.Request, c.Session) })
	l.servers.Put(row.View.Name, row.WithoutIdleConn(id).WithSent(now).WithRunning(1, r.Statement.Class.Long))
	l.conns.Put(id, c.WithPhase(now, ConnBusy).WithRequest(r.ID, r.Statement.Class.Long))
	l.conns.SetDue(id, neverDue)
	if r.Phase == PhaseResolving {
		r.Conn = id
		r.Server = row.View.Name
		l.requests.Put(r.ID, r)
		l.actions = append(l.actions, LookupOutcome{Conn: id, Request: r.ID, Key: r.Statement.Key})
		return
	}
	l.ensure(r.TxConn == 0 || r.TxConn == id, "transaction_on_one_connection", func() string {
		return fmt.Sprintf("request %d belongs to the transaction on conn %d, sent on conn %d", r.ID, r.TxConn, id)
	})
	need := l.requiredPosition(now, s, r, row)
	l.ensure(!r.Sent || r.Statement.Kind == KindRead || r.Statement.Kind == KindBegin, "write_sent_once",
		func() string { return fmt.Sprintf("request %d attempt %d", r.ID, r.Attempts+1) })
	l.checkFloor(s, r, row)
	l.stats.countSent(now, r, l.lastLeaderConfirmed())
	r = r.WithRun(now, id, row.View.Name).WithInFlight(row.Running + 1)
	r = r.WithHeld(l.kind.HoldsAnswers || l.kind.NeedsConfirmation(s, r) || r.Statement.Kind == KindBegin)
	if row.View.Name == l.view.Primary && l.needsLeadership(r) {
		r = r.WithPendingLeadership()
		l.awaitingConfirmation = append(l.awaitingConfirmation, r.ID)
	}
	l.requests.Put(r.ID, r)
	if l.kind.HoldsAnswers {
		l.requests.SetDue(r.ID, min(r.Deadline, now+slowThreshold))
	}
	a := Send{
		Conn: id, Request: r.ID, Session: s.ID, Seq: r.Seq, Hold: r.Held, KeyInsert: keyInsert(s, r),
		Key: r.Statement.Key, AllowStale: s.AllowStale, RequiredPosition: need,
	}
	l.actions = append(l.actions, a)
	if r.Traced {
		l.recordSent(now, a, r, row)
	}
}

// requiredPosition returns the position that the answer to a read outside of a transaction must show.
func (l *Lane) requiredPosition(now time.Duration, s Session, r Request, row Server) session.Position {
	switch {
	case s.TxConn != 0 || s.AllowStale:
		return session.Position{}
	case acceptsAge(r) && row.View.Name != l.view.Primary:
		need, _ := l.kind.ReplicaCanServe(l.routeQuery(now, s, r), row)
		return need
	case r.Statement.Kind == KindRead && l.kind.ResolvesOutcomes:
		return s.Floor
	default:
		return session.Position{}
	}
}

// checkFloor asserts that a session reads from a replica only if that replica has applied the session's own work.
func (l *Lane) checkFloor(s Session, r Request, row Server) {
	if row.View.Name == l.view.Primary || s.TxConn != 0 {
		return
	}
	l.ensure(!l.kind.ResolvesOutcomes || s.AllowStale || s.FloorKnown && row.View.Applied.Covers(s.RequiredPosition()),
		"read_your_writes", func() string {
			return fmt.Sprintf("session %d needs %v, server %s has %v", s.ID, s.RequiredPosition(), row.View.Name, row.View.Applied)
		})
	l.ensure(acceptsAge(r), "writes_on_primary", func() string { return row.View.Name })
}

// commitNeedsConfirmation reports whether a request commits something, so that its answer waits for a confirmation.
func commitNeedsConfirmation(s Session, r Request) bool {
	switch r.Statement.Kind {
	case KindWrite:
		return s.TxConn == 0
	case KindCommit:
		return s.TxConn != 0 && s.WriteSent
	default:
		return false
	}
}

// keyInsert returns how the request's key is stored with its work.
func keyInsert(s Session, r Request) KeyInsert {
	switch {
	case !r.Statement.Keyed():
		return KeyInsertNone
	case r.Statement.Kind == KindWrite && s.TxConn == 0:
		return KeyInsertTransaction
	case r.Statement.Kind == KindCommit && s.TxConn != 0:
		return KeyInsertBeforeCommit
	default:
		return KeyInsertNone
	}
}

// needsMajority reports whether the confirmation of a committed request has to show that a majority holds the commit, not
// only that a majority follows its term. A resolved outcome always needs a majority, since "ran" and "not run" must never
// change.
func needsMajority(r Request) bool {
	return r.Statement.Class.Ack() == bundle.AckReplica || r.Result != ResultAnswered
}

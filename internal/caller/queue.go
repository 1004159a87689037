package caller

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

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

// startResult is what became of a request that was to be sent.
type startResult uint8

const (
	// startBlocked means that the request still waits, for a slot, a connection or a position.
	startBlocked startResult = iota
	// startLeft means that the request left its queue.
	startLeft
	// startHeld means that the request begins a transaction, for which no server has room.
	startHeld
)

// startRequest sends a request if it can.
func (l *Lane) startRequest(now time.Duration, r Request, waiting map[connKey]int) startResult {
	s, ok := l.sessions.Get(r.Session)
	if !ok {
		l.requests.Delete(r.ID)
		return startLeft
	}
	if s.TxConn != 0 && r.Phase != PhaseResolving {
		return l.startInTransaction(now, s, r)
	}
	if l.view.Term < s.RequiredPosition().Term {
		return startBlocked
	}
	cs := l.candidates(now, s, r)
	if r.Statement.Kind == KindBegin && len(cs) > 0 {
		if cs = l.withTransactionRoom(cs); len(cs) == 0 {
			return startHeld
		}
	}
	return l.startOnServer(now, s, r, cs, waiting)
}

// startOnServer sends a request to the first server that has a slot and an idle connection for it. If none has, it opens one to the
// first server that has a slot. A request without a tenant opens one there as soon as it comes by.
func (l *Lane) startOnServer(now time.Duration, s Session, r Request, cs []Server, waiting map[connKey]int) startResult {
	missing := connKey{}
	for _, row := range cs {
		if row.FreeSlots() <= 0 || r.Statement.Class.Long && row.RunningLong >= row.LongSlots {
			continue
		}
		if l.waitsForReplica(now, r, cs, row) {
			break
		}
		if id, ok := l.idleConn(row, r.Statement.Tenant); ok {
			l.send(now, s, r, row, id)
			return startLeft
		}
		if missing.server != "" {
			continue
		}
		missing = connKey{server: row.View.Name, tenant: r.Statement.Tenant}
		if missing.tenant == "" {
			waiting[missing]++
			l.openConn(now, missing, waiting[missing])
		}
	}
	if missing.tenant != "" {
		l.openTenantConn(now, missing, cs, waiting)
	}
	if len(cs) > 0 {
		l.addDemand(cs[0].View.Name, r)
	}
	return startBlocked
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
func (l *Lane) startInTransaction(now time.Duration, s Session, r Request) startResult {
	if l.kind.SemiSync && r.Statement.Kind == KindCommit && s.WriteSucceeded && l.leader() == "" {
		l.refuse(r, Refusal{Reason: ReasonRolledBack, Retry: retryHint, Detail: "the primary is being replaced"})
		return startLeft
	}
	c, ok := l.conns.Get(s.TxConn)
	row, _ := l.servers.Get(c.Server)
	if !ok || row.FreeSlots() <= 0 || c.Cancelling {
		l.addDemand(c.Server, r)
		return startBlocked
	}
	l.send(now, s, r, row, c.ID)
	return startLeft
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
	q := RouteQuery{
		Now: now, Zone: l.zone, Session: s, Request: r, Primary: l.leader(), Rotation: l.rotation, Samples: l.samples,
		LeaderAt: l.leaderAt, Work: l.workTime(r),
	}
	if t := r.Statement.Tenant; t != "" {
		q.OpenCost = func(s Server) time.Duration { return l.openCost(now, s, t) }
	}
	return q
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
	row, c = l.countTransaction(row, c, r)
	l.countUse(now, c)
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
	l.tenants.countSent(now, r)
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

package caller

import (
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/session"
)

func (l *Lane) openSession(now time.Duration, e SessionOpened) {
	s := Session{ID: e.Session, User: e.User, OpenedAt: now}
	if e.HasFloor {
		s = s.WithFloor(e.Floor)
	}
	l.stats.SessionsOpened++
	l.sessions.Put(s.ID, s)
	if l.draining {
		l.sessions.Put(s.ID, s.WithClosing())
		return
	}
	if !s.FloorKnown {
		l.awaitingFloor = append(l.awaitingFloor, s.ID)
	}
}

func (l *Lane) receiveToken(now time.Duration, e TokenReceived) {
	s, ok := l.sessions.Get(e.Session)
	if !ok {
		return
	}
	l.sessions.Put(s.ID, s.WithFloor(e.Floor))
	l.resumeAfterFloor(now, s.ID)
}

// closeSession removes the session of a caller that disconnected, and abandons its request and transaction.
func (l *Lane) closeSession(now time.Duration, id SessionID) {
	s, ok := l.sessions.Get(id)
	if !ok {
		return
	}
	if r, ok := l.requests.Get(s.Active); ok {
		l.abandon(now, s, r)
	} else if s.TxConn != 0 {
		l.actions = append(l.actions, Close{Conn: s.TxConn})
		l.removeConn(s.TxConn)
	}
	l.sessions.Delete(id)
}

// abandon ends a request whose caller disconnected. An open transaction is rolled back by closing its connection, and a running
// read is cancelled. A running commit, or write outside of a transaction, is left to finish: if it were stopped, its outcome
// could not be reported to anyone.
func (l *Lane) abandon(now time.Duration, s Session, r Request) {
	if r.Phase != PhaseRunning {
		if s.TxConn != 0 {
			l.actions = append(l.actions, Close{Conn: s.TxConn})
			l.removeConn(s.TxConn)
		}
		l.requests.Delete(r.ID)
		return
	}
	if s.TxConn != 0 && r.Statement.Kind != KindCommit {
		l.actions = append(l.actions, Close{Conn: r.Conn})
		l.removeConn(r.Conn)
		l.requests.Delete(r.ID)
		return
	}
	if r.Statement.Kind == KindRead {
		l.startCancel(now, r)
	}
}

// receiveRequest accepts a request, and answers at once a request that needs no server.
func (l *Lane) receiveRequest(now time.Duration, e RequestReceived) {
	s, ok := l.sessions.Get(e.Session)
	if !ok {
		return
	}
	l.ensure(s.Active == 0, "one_request_per_session", func() string { return "second request while one is in flight" })
	l.lastRequest++
	r := Request{
		ID: l.lastRequest, Session: s.ID, Seq: e.Seq, Statement: e.Statement, Arrived: now - e.Statement.Waited,
		Deadline: now - e.Statement.Waited + e.Statement.Class.Deadline(), Traced: l.trace(e.Statement.ID),
	}
	l.stats.Requests++
	l.tenants.countRequest(r)
	if s.TxFailed {
		l.answerFailedTransaction(s, r)
		return
	}
	if s.Closing && s.TxConn == 0 {
		l.refuseUnqueued(s, r, Refusal{Reason: ReasonDraining})
		return
	}
	if s.TxConn != 0 && l.transactionsDrained {
		l.rollBack(s, r)
		return
	}
	if s.TxConn != 0 {
		r = l.joinTransaction(&s, r)
	}
	l.countRead(s, r)
	l.sessions.Put(s.ID, s.WithActive(r.ID))
	l.sessions.SetDue(s.ID, now+e.Statement.Class.IdleTransactionTimeout()+e.Statement.Class.Deadline())
	l.admit(now, s, r)
}

// answerFailedTransaction answers requests in a lost transaction until the caller ends it.
func (l *Lane) answerFailedTransaction(s Session, r Request) {
	if k := r.Statement.Kind; k == KindCommit || k == KindRollback {
		s = s.WithoutTransaction()
		l.sessions.Put(s.ID, s)
		l.actions = append(l.actions, Complete{Session: s.ID, Seq: r.Seq, Tag: "ROLLBACK", Floor: s.Floor})
		l.endIfClosing(s)
		return
	}
	l.actions = append(l.actions, Refuse{
		Session: s.ID, Seq: r.Seq, Refusal: Refusal{Reason: ReasonFailedTransaction}, TransactionFailed: true,
	})
}

// joinTransaction adds the request to the session's transaction, and keeps the request's key for the commit.
func (l *Lane) joinTransaction(s *Session, r Request) Request {
	r.TxConn = s.TxConn
	if r.Statement.Kind == KindWrite || r.Statement.Writes {
		*s = s.WithWriteSent(r.Statement.Key)
	}
	if r.Statement.Kind == KindCommit {
		r.Statement.Key = s.TxKey
	} else {
		r.Statement.Key = ""
	}
	return r
}

func (l *Lane) countRead(s Session, r Request) {
	if r.Statement.Kind != KindRead || s.TxConn != 0 {
		return
	}
	l.stats.Reads++
	if r.Statement.Class.MaxAgeMS > 0 {
		l.stats.EligibleReads++
	}
}

// admit queues a request, or has it wait until its session's floor is known.
func (l *Lane) admit(now time.Duration, s Session, r Request) {
	if !s.FloorKnown && !s.AllowStale {
		l.requests.Put(r.ID, r.WithPhase(PhaseFloor))
		l.requests.SetDue(r.ID, min(r.Deadline, max(now, s.OpenedAt+FloorTimeout)))
		return
	}
	if f, lost := session.DroppedBy(s.Floor, l.view.Forks); lost && s.TxConn == 0 {
		l.reportLoss(s, r, f)
		return
	}
	if f, lost := session.DroppedBy(s.Seen, l.view.Forks); lost {
		l.writeAuditRecord(operator.Record{Kind: operator.KindLostWork, Term: f.Term, Cause: "seen_not_written"}.
			WithEvidence("seen", s.Seen.String()))
		l.sessions.Put(s.ID, s.WithLoweredFloor(f).WithFloor(s.Floor).WithActive(r.ID))
	}
	if s.TxConn == 0 && l.refuseDeclined(now, r) {
		return
	}
	l.enqueue(now, r)
}

// reportLoss reports to a session, once, that work which it has seen is lost.
func (l *Lane) reportLoss(s Session, r Request, f session.Fork) {
	l.stats.LostWork++
	l.writeAuditRecord(operator.Record{Kind: operator.KindLostWork, Term: f.Term, Cause: "promotion_dropped_work"}.
		WithEvidence("floor", s.Floor.String()).WithEvidence("kept_up_to", session.Position{Offset: f.Start}.String()))
	l.requests.Put(r.ID, r)
	l.sessions.Put(s.ID, s.WithLoweredFloor(f).WithActive(r.ID))
	l.refuse(r, Refusal{Reason: ReasonLostWork, Detail: "entries after " + session.Position{Offset: f.Start}.String()})
}

// resumeAfterFloor admits the request that was waiting for its session's floor.
func (l *Lane) resumeAfterFloor(now time.Duration, id SessionID) {
	s, _ := l.sessions.Get(id)
	if r, ok := l.requests.Get(s.Active); ok && r.Phase == PhaseFloor {
		l.requests.SetDue(r.ID, r.Deadline)
		l.admit(now, s, r)
	}
}

// floorTimedOut handles a request whose session's floor no primary confirmed in time. Reads that accept an age run as stale
// reads; others are refused at their deadline.
func (l *Lane) floorTimedOut(now time.Duration, r Request) {
	s, _ := l.sessions.Get(r.Session)
	if r.Statement.Kind == KindRead && r.Statement.Class.MaxAgeMS > 0 {
		s = s.WithAllowStale()
		l.sessions.Put(s.ID, s)
		l.enqueue(now, r)
		return
	}
	if now < r.Deadline {
		l.requests.SetDue(r.ID, r.Deadline)
		return
	}
	l.refuse(r, Refusal{Reason: ReasonNoFloor, Retry: retryHint})
}

// refuse ends a request with an error.
func (l *Lane) refuse(r Request, why Refusal) {
	s, ok := l.sessions.Get(r.Session)
	l.requests.Delete(r.ID)
	l.recordRefused(l.now, r, why)
	l.ensure(!why.NotRun() || !r.Sent || r.Result == ResultNotRun || leavesNoEffect(why.Reason), "not_run_is_true",
		func() string { return why.Error() })
	if why.Reason == ReasonUnknown {
		l.stats.Unknown++
		if why.Key != "" {
			l.writeAuditRecord(operator.Record{Kind: operator.KindOutcomeUnknown, Cause: "not_settled"}.WithEvidence("key", why.Key))
		}
	}
	if !ok {
		return
	}
	l.stats.Refused++
	l.tenants.countRefused(r)
	s = l.abortTransaction(s.WithActive(0), r)
	l.sessions.Put(s.ID, s)
	l.actions = append(l.actions, Refuse{Session: s.ID, Seq: r.Seq, Refusal: why, TransactionFailed: s.TxFailed})
	l.endIfClosing(s)
}

// abortTransaction rolls back the transaction in which a request was refused, since it is no longer complete.
func (l *Lane) abortTransaction(s Session, r Request) Session {
	if s.TxConn == 0 {
		return s
	}
	l.actions = append(l.actions, Close{Conn: s.TxConn})
	l.removeConn(s.TxConn)
	if r.Statement.Kind == KindCommit || r.Statement.Kind == KindRollback {
		return s.WithoutTransaction()
	}
	return s.WithFailedTransaction()
}

// leavesNoEffect reports whether a reason guarantees that a request which was sent has left no effect.
func leavesNoEffect(r Reason) bool {
	return r == ReasonRolledBack || r == ReasonDiscarded || r == ReasonLostWork
}

// refuseUnqueued refuses a request that has no row.
func (l *Lane) refuseUnqueued(s Session, r Request, why Refusal) {
	l.stats.Refused++
	l.tenants.countRefused(r)
	l.actions = append(l.actions, Refuse{Session: s.ID, Seq: r.Seq, Refusal: why})
	l.endIfClosing(s)
}

// finish ends a request that was answered.
func (l *Lane) finish(r Request, change func(Session) Session) {
	l.tenants.countServed(r)
	l.requests.Delete(r.ID)
	l.retryBudget = min(maxRetryBudget, l.retryBudget+retryBudgetPerAnswer)
	s, ok := l.sessions.Get(r.Session)
	if !ok {
		return
	}
	s = change(s.WithActive(0))
	l.sessions.Put(s.ID, s)
	l.endIfClosing(s)
}

func (l *Lane) endIfClosing(s Session) {
	if s.Closing && s.Active == 0 && s.TxConn == 0 && !s.TxFailed {
		l.actions = append(l.actions, EndSession{Session: s.ID})
	}
}

// endSessions closes transactions that were idle for too long.
func endSessions(l *Lane, now time.Duration) {
	l.sessions.TakeDirty()
	for _, k := range l.sessions.TakeDue(now) {
		s, _ := l.sessions.Get(k)
		if s.Active != 0 || s.TxConn == 0 {
			continue
		}
		l.actions = append(l.actions, Close{Conn: s.TxConn})
		l.removeConn(s.TxConn)
		l.sessions.Put(k, s.WithFailedTransaction())
		l.writeAuditRecord(operator.Record{Kind: operator.KindRefusal, Cause: "idle_transaction"})
	}
}

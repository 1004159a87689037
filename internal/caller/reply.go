package caller

import (
	"fmt"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
)

// replied processes a server's complete answer: it releases the slot and decides whether the answer may be delivered yet.
func (l *Lane) replied(now time.Duration, e Replied) {
	c, ok := l.conns.Get(e.Conn)
	if !ok || c.Request != e.Request || c.Phase != ConnBusy {
		l.stats.StrayMessages++
		return
	}
	r, known := l.requests.Get(e.Request)
	l.releaseConn(now, c, r, known, e.TransactionOpen)
	row, _ := l.servers.Get(c.Server)
	if known {
		row = row.WithAnswerTime(now - r.Started).WithBehindUntil(0).WithAnswered(now)
		row = l.learnAnswer(now, row, r, e.Failed)
		l.recordAnswerTime(r, now-r.Started)
	}
	if c.Server != l.view.Primary {
		row = row.WithShownPosition(e.Position)
	} else if known {
		l.sample(upstream.Sample{At: r.Started, Position: e.Position})
	}
	l.servers.Put(c.Server, row)
	if l.kind.SemiSync && c.Server != l.view.Primary {
		l.recordReplicated(now, c.Server, e.Position)
	}
	if known {
		l.reportResponse(c.Server, r.Started)
	}
	if !known {
		return
	}
	r = r.WithoutConn()
	s, ok := l.sessions.Get(r.Session)
	if !ok {
		l.requests.Delete(r.ID)
		return
	}
	confirm := l.kind.NeedsConfirmation(s, r)
	wrote := commitsWrite(s, r, e)
	s = trackTransaction(s, c, r, e)
	if wrote && !l.kind.ResolvesOutcomes {
		s = s.WithFloor(e.Position)
	}
	l.sessions.Put(s.ID, s)
	if wrote && l.kind.SemiSync && l.leader() == "" {
		// The only replica that received the write may have joined during a promotion, which does not ask it for its log.
		l.refuse(r, Refusal{Reason: ReasonUnknown, Detail: "committed while the primary was being replaced"})
		return
	}
	if wrote && l.kind.SemiSync && l.replicatedTo.Covers(e.Position) {
		l.recordAcknowledged(e.Position)
	}
	switch {
	case wrote && l.kind.SemiSync && !l.replicatedTo.Covers(e.Position):
		l.requests.Put(r.ID, r.WithPendingReplica(e.Position))
		l.requests.SetDue(r.ID, r.Deadline)
		l.awaitingConfirmation = append(l.awaitingConfirmation, r.ID)
		l.confirmAt = max(l.confirmAt, now+replicaReadWait)
	case r.PendingLeadership && !l.leaderAt(r.Arrived):
		l.requests.Put(r.ID, r.WithPhase(PhaseConfirming))
		l.requests.SetDue(r.ID, r.Deadline)
	case r.PendingLeadership:
		l.deliverAnswer(now, s, r, e)
	case e.Duplicate:
		l.resolve(now, r)
	case confirm && !e.Failed && committed(r, e):
		l.awaitConfirmation(now, r.WithConfirming(now, e.Position, ResultAnswered))
	default:
		l.deliverAnswer(now, s, r, e)
	}
}

// recordAnswerTime updates the mean answer times of the request's class and of all classes.
func (l *Lane) recordAnswerTime(r Request, took time.Duration) {
	for _, k := range []string{r.Statement.Class.Name, allClasses} {
		c, _ := l.answerTimes.Get(k)
		l.answerTimes.Put(k, c.withAnswer(took))
	}
	l.answerTimes.TakeDirty()
}

// committed reports whether an answer means that work was committed. The commit of a failed transaction commits nothing.
func committed(r Request, e Replied) bool {
	return r.Statement.Kind != KindCommit || e.Tag == "COMMIT"
}

// commits reports whether a request is meant to commit something.
func commits(r Request) bool {
	return r.Statement.Kind == KindWrite && r.TxConn == 0 || r.Statement.Kind == KindCommit
}

// commitsWrite reports whether an answer acknowledges a write. s is the session before the answer. The commit of a read-only
// transaction shows nothing, since no replica has to receive anything for it.
func commitsWrite(s Session, r Request, e Replied) bool {
	if e.Failed {
		return false
	}
	return r.Statement.Kind == KindWrite && r.TxConn == 0 || r.Statement.Kind == KindCommit && s.WriteSucceeded && committed(r, e)
}

// releaseConn releases the slot, and also the connection unless the session's transaction continues on it.
func (l *Lane) releaseConn(now time.Duration, c Conn, r Request, known, txOpen bool) {
	row, _ := l.servers.Get(c.Server)
	row = row.WithRunning(-1, c.Long)
	if txOpen && !c.Transaction {
		row, c = row.WithTransactions(1), c.WithTransaction(true)
	}
	l.servers.Put(c.Server, row)
	_, alive := l.sessions.Get(r.Session)
	c = c.WithRequest(0, false)
	switch {
	case txOpen && known && alive:
		l.conns.Put(c.ID, c.WithPhase(now, ConnInTransaction).WithSession(r.Session))
	case txOpen:
		l.conns.Put(c.ID, c.WithPhase(now, ConnInTransaction))
		l.closeConn(c.ID)
	case c.Cancelling:
		l.conns.Put(c.ID, c.WithSession(0))
	default:
		l.returnToPool(now, c)
	}
}

// trackTransaction updates the session's transaction state from a server's answer.
func trackTransaction(s Session, c Conn, r Request, e Replied) Session {
	if !e.TransactionOpen {
		return s.WithoutTransaction()
	}
	if r.Statement.Kind == KindWrite && !e.Failed {
		s = s.WithWriteSucceeded()
	}
	if r.Statement.Kind == KindBegin && r.Statement.Writes {
		s = s.WithWriteSent(r.Statement.Key)
	}
	return s.WithTransaction(c.ID)
}

// deliverAnswer ends a request whose answer needs no further evidence, and releases a held answer.
func (l *Lane) deliverAnswer(now time.Duration, s Session, r Request, e Replied) {
	l.checkRead(s, r, e)
	l.stats.countAnswer(now, r)
	if r.Traced {
		l.recordRequest(now, r, CauseAnswered, operator.Evidence{Name: "position", Value: e.Position.String()},
			operator.Evidence{Name: "failed", Value: strconv.FormatBool(e.Failed)})
	}
	if r.Held {
		l.actions = append(l.actions, Release{Session: s.ID, Seq: r.Seq, Floor: s.Floor})
	}
	l.finish(r, func(s Session) Session {
		if r.Statement.Kind == KindRead && !e.Position.IsZero() && !s.AllowStale {
			return s.WithSeen(e.Position)
		}
		return s
	})
	if s.TxConn != 0 {
		l.sessions.SetDue(s.ID, now+r.Statement.Class.IdleTransactionTimeout())
	}
}

// checkRead counts reads by replicas, and asserts that the answer showed the session its own work.
func (l *Lane) checkRead(s Session, r Request, e Replied) {
	if r.Statement.Kind != KindRead || s.TxConn != 0 {
		return
	}
	if r.Server != l.view.Primary {
		l.stats.ReplicaReads++
	}
	l.ensure(s.AllowStale || e.Failed || e.Position.IsZero() || e.Position.Covers(s.Floor), "read_your_writes", func() string {
		return fmt.Sprintf("session %d wrote up to %v and was shown %v by server %s", s.ID, s.Floor, e.Position, r.Server)
	})
}

// requestInterrupted handles the loss of a request's connection.
func (l *Lane) requestInterrupted(now time.Duration, e RequestInterrupted) {
	c, ok := l.conns.Get(e.Conn)
	if !ok || c.Request != e.Request {
		l.stats.StrayMessages++
		return
	}
	r, known := l.requests.Get(e.Request)
	l.reportSuspect(now, c.Server, false)
	l.removeConn(e.Conn)
	l.learnLoss(now, c.Server, e)
	if !known {
		return
	}
	cause := CauseConnectionLost
	if e.GivenUp {
		cause = CauseConnectionGivenUp
	}
	l.recordRequest(now, r, cause, operator.Evidence{Name: "unsent", Value: strconv.FormatBool(e.Unsent)})
	s, alive := l.sessions.Get(r.Session)
	if !alive {
		l.requests.Delete(r.ID)
		return
	}
	switch {
	case r.Phase == PhaseResolving:
		r.Conn = 0
		l.requests.Put(r.ID, r)
		l.join(QueueResolve, r)
	case s.TxConn == e.Conn:
		l.transactionInterrupted(now, s, r.WithoutConn(), e)
	default:
		l.statementInterrupted(now, s, r, e)
	}
}

// transactionInterrupted ends a transaction whose connection is lost. Before the commit was sent, the transaction is certain
// to be rolled back.
func (l *Lane) transactionInterrupted(now time.Duration, s Session, r Request, e RequestInterrupted) {
	switch {
	case r.Statement.Kind == KindRollback:
		l.requests.Delete(r.ID)
		l.sessions.Put(s.ID, s.WithoutTransaction().WithActive(0))
		l.actions = append(l.actions, Complete{Session: s.ID, Seq: r.Seq, Tag: "ROLLBACK", Floor: s.Floor})
		l.endIfClosing(s.WithoutTransaction().WithActive(0))
	case r.Statement.Kind != KindCommit:
		l.sessions.Put(s.ID, s.WithFailedTransaction())
		l.refusePartial(r, Refusal{Reason: ReasonRolledBack}, e.Streamed)
	case e.Unsent || !s.WriteSent:
		l.sessions.Put(s.ID, s.WithoutTransaction())
		l.refuse(r, Refusal{Reason: ReasonRolledBack})
	default:
		l.sessions.Put(s.ID, s.WithoutTransaction())
		l.resolveInDoubt(now, r)
	}
}

// statementInterrupted retries a read, or resolves the outcome of a write, outside of transactions.
func (l *Lane) statementInterrupted(now time.Duration, _ Session, r Request, e RequestInterrupted) {
	switch {
	case e.Unsent:
		l.requeue(r.WithUnsent())
	case r.Statement.Kind == KindBegin && l.kind.RetriesBegin:
		l.requeue(r.WithDeclined(r.Server))
	case r.Statement.Kind == KindRead:
		l.retryRead(r.WithoutConn(), e)
	case r.Statement.Kind == KindWrite:
		l.resolveInDoubt(now, r.WithoutConn())
	default:
		l.refuse(r, Refusal{Reason: ReasonRolledBack})
	}
}

// retryRead sends a read again unless part of its answer was delivered, it was cancelled, or its attempts or the lane's
// retry budget are used up.
func (l *Lane) retryRead(r Request, e RequestInterrupted) {
	if e.Streamed || r.Attempts >= MaxAttempts || r.Cancelled || l.retryBudget < 1 {
		l.refusePartial(r, Refusal{Reason: ReasonInterrupted}, e.Streamed)
		return
	}
	l.retryBudget--
	l.stats.Retried++
	l.recordRequest(l.now, r, CauseResent)
	r.AvoidServer = r.Server
	l.requeue(r)
}

// resolveInDoubt resolves the outcome of a write by its key. Without a key the outcome stays unknown.
func (l *Lane) resolveInDoubt(now time.Duration, r Request) {
	if r.Statement.Keyed() {
		l.resolve(now, r)
		return
	}
	l.refuse(r, Refusal{Reason: ReasonUnknown, Detail: "the request carried no key"})
}

// refusePartial refuses a request of which part of the answer may have been sent.
func (l *Lane) refusePartial(r Request, why Refusal, partSent bool) {
	n := len(l.actions)
	l.refuse(r, why)
	for i := n; i < len(l.actions); i++ {
		if a, ok := l.actions[i].(Refuse); ok {
			a.PartSent = partSent
			l.actions[i] = a
		}
	}
}

package caller

import (
	"fmt"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
)

// replied takes a server's whole answer, gives the slot back and decides whether the caller may have the answer yet.
func (l *Lane) replied(now time.Duration, e Replied) {
	c, ok := l.conns.Get(e.Conn)
	if !ok || c.Request != e.Request || c.Phase != ConnBusy {
		l.stats.StrayMessages++
		return
	}
	r, known := l.requests.Get(e.Request)
	l.giveBack(now, c, r, known, e.TransactionOpen)
	row, _ := l.servers.Get(c.Server)
	if known {
		row = row.WithTook(now - r.Started).WithBehind(0).WithAnswered(now)
		l.learnCost(r, now-r.Started)
	}
	if c.Server != l.view.Primary {
		row = row.WithShown(e.Position)
	} else if known {
		l.sample(upstream.Sample{At: r.Started, Position: e.Position})
	}
	l.servers.Put(c.Server, row)
	if l.kind.SemiSync && c.Server != l.view.Primary {
		l.keep(now, c.Server, e.Position)
	}
	if known {
		l.hear(c.Server, r.Started)
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
	held := l.kind.NeedsConfirmation(s, r)
	wrote := commitsWrite(s, r, e)
	s = follow(s, c, r, e)
	if wrote && !l.kind.ResolvesOutcomes {
		s = s.WithFloor(e.Position)
	}
	l.sessions.Put(s.ID, s)
	if wrote && l.kind.SemiSync && l.leader() == "" {
		// A server that joined the group during a promotion may have received it, and is not asked for its log.
		l.refuse(r, Refusal{Reason: ReasonUnknown, Detail: "committed while the primary was being replaced"})
		return
	}
	switch {
	case wrote && l.kind.SemiSync && !l.kept.Covers(e.Position):
		l.requests.Put(r.ID, r.WithKeep(e.Position))
		l.requests.Wake(r.ID, r.Deadline)
		l.proving = append(l.proving, r.ID)
		l.proveAt = max(l.proveAt, now+keepPatience)
	case r.Lead && !l.ledAt(r.Arrived):
		l.requests.Put(r.ID, r.WithPhase(PhaseConfirming))
		l.requests.Wake(r.ID, r.Deadline)
	case r.Lead:
		l.answer(now, s, r, e)
	case e.Duplicate:
		l.settle(now, r)
	case held && !e.Failed && committed(r, e):
		l.prove(now, r.WithProving(now, e.Position, ResultAnswered))
	default:
		l.answer(now, s, r, e)
	}
}

// learnCost keeps how long answers to a class take.
func (l *Lane) learnCost(r Request, took time.Duration) {
	for _, k := range []string{r.Statement.Class.Name, allClasses} {
		c, _ := l.costs.Get(k)
		l.costs.Put(k, c.withAnswer(took))
	}
	l.costs.TakeDirty()
}

// committed reports whether an answer means that work was committed, which a commit of a failed transaction is not.
func committed(r Request, e Replied) bool {
	return r.Statement.Kind != KindCommit || e.Tag == "COMMIT"
}

// commits reports whether a request asks for something to be committed.
func commits(r Request) bool {
	return r.Statement.Kind == KindWrite && r.Joined == 0 || r.Statement.Kind == KindCommit
}

// commitsWrite reports whether an answer means that a write was acknowledged; s is the session before the answer. A commit of
// what only read says nothing, since no replica has to receive anything for it.
func commitsWrite(s Session, r Request, e Replied) bool {
	if e.Failed {
		return false
	}
	return r.Statement.Kind == KindWrite && r.Joined == 0 || r.Statement.Kind == KindCommit && s.Changed && committed(r, e)
}

// giveBack returns the slot, and the connection too unless a transaction goes on in it.
func (l *Lane) giveBack(now time.Duration, c Conn, r Request, known, open bool) {
	row, _ := l.servers.Get(c.Server)
	l.servers.Put(c.Server, row.WithRunning(-1, c.Long))
	_, alive := l.sessions.Get(r.Session)
	c = c.WithRequest(0, false)
	switch {
	case open && known && alive:
		l.conns.Put(c.ID, c.WithPhase(now, ConnInTransaction).WithSession(r.Session))
	case open:
		l.conns.Put(c.ID, c.WithPhase(now, ConnInTransaction))
		l.retire(c.ID)
	case c.Cancelling:
		l.conns.Put(c.ID, c.WithSession(0))
	default:
		l.idle(now, c)
	}
}

// follow keeps the session's transaction in step with what the server said.
func follow(s Session, c Conn, r Request, e Replied) Session {
	if !e.TransactionOpen {
		return s.WithoutTransaction()
	}
	if r.Statement.Kind == KindWrite && !e.Failed {
		s = s.WithChange()
	}
	if r.Statement.Kind == KindBegin && r.Statement.Writes {
		s = s.WithWrite(r.Statement.Key)
	}
	return s.WithTransaction(c.ID)
}

// answer ends a request whose answer needs no evidence any more; a held one is let go.
func (l *Lane) answer(now time.Duration, s Session, r Request, e Replied) {
	l.checkRead(s, r, e)
	l.stats.countAnswer(now, r)
	if r.Traced {
		l.tell(now, r, CauseAnswered, operator.Evidence{Name: "position", Value: e.Position.String()},
			operator.Evidence{Name: "failed", Value: strconv.FormatBool(e.Failed)})
	}
	if r.Held {
		l.out = append(l.out, Release{Session: s.ID, Seq: r.Seq, Floor: s.Floor})
	}
	l.finish(r, func(s Session) Session {
		if r.Statement.Kind == KindRead && !e.Position.IsZero() && !s.Stale {
			return s.WithSeen(e.Position)
		}
		return s
	})
	if s.Conn != 0 {
		l.sessions.Wake(s.ID, now+r.Statement.Class.IdleTransaction())
	}
}

// checkRead counts what a replica served, and asserts that it showed the session its own work.
func (l *Lane) checkRead(s Session, r Request, e Replied) {
	if r.Statement.Kind != KindRead || s.Conn != 0 {
		return
	}
	if r.Server != l.view.Primary {
		l.stats.ReplicaReads++
	}
	l.ensure(s.Stale || e.Failed || e.Position.IsZero() || e.Position.Covers(s.Floor), "read_your_writes", func() string {
		return fmt.Sprintf("session %d wrote up to %v and was shown %v by %s", s.ID, s.Floor, e.Position, r.Server)
	})
}

// broken takes note that a request's connection is gone, and decides by what the request was.
func (l *Lane) broken(now time.Duration, e RequestInterrupted) {
	c, ok := l.conns.Get(e.Conn)
	if !ok || c.Request != e.Request {
		l.stats.StrayMessages++
		return
	}
	r, known := l.requests.Get(e.Request)
	l.doubt(now, c.Server, false)
	l.forgetConn(e.Conn)
	if !known {
		return
	}
	cause := CauseConnectionLost
	if e.GivenUp {
		cause = CauseConnectionGivenUp
	}
	l.tell(now, r, cause, operator.Evidence{Name: "unsent", Value: strconv.FormatBool(e.Unsent)})
	s, alive := l.sessions.Get(r.Session)
	if !alive {
		l.requests.Delete(r.ID)
		return
	}
	switch {
	case r.Phase == PhaseResolving:
		r.Conn = 0
		l.requests.Put(r.ID, r)
		l.queues[QueueResolve] = append(l.queues[QueueResolve], r.ID)
	case s.Conn == e.Conn:
		l.brokenTransaction(now, s, r.WithoutConn(), e)
	default:
		l.brokenAlone(now, s, r, e)
	}
}

// brokenTransaction ends a transaction whose connection is gone: before its commit it is rolled back for certain.
func (l *Lane) brokenTransaction(now time.Duration, s Session, r Request, e RequestInterrupted) {
	switch {
	case r.Statement.Kind == KindRollback:
		l.requests.Delete(r.ID)
		l.sessions.Put(s.ID, s.WithoutTransaction().WithActive(0))
		l.out = append(l.out, Complete{Session: s.ID, Seq: r.Seq, Tag: "ROLLBACK", Floor: s.Floor})
		l.endIfClosing(s.WithoutTransaction().WithActive(0))
	case r.Statement.Kind != KindCommit:
		l.sessions.Put(s.ID, s.WithFailedTransaction())
		l.refuseCut(r, Refusal{Reason: ReasonRolledBack}, e.Streamed)
	case e.Unsent || !s.Wrote:
		l.sessions.Put(s.ID, s.WithoutTransaction())
		l.refuse(r, Refusal{Reason: ReasonRolledBack})
	default:
		l.sessions.Put(s.ID, s.WithoutTransaction())
		l.inDoubt(now, r)
	}
}

// brokenAlone retries a read or settles a write outside of transactions.
func (l *Lane) brokenAlone(now time.Duration, _ Session, r Request, e RequestInterrupted) {
	switch {
	case e.Unsent:
		l.requeue(r.WithUnsent())
	case r.Statement.Kind == KindBegin && l.kind.RetriesBegin:
		l.requeue(r.WithDeclined(r.Server))
	case r.Statement.Kind == KindRead:
		l.retryRead(r.WithoutConn(), e)
	case r.Statement.Kind == KindWrite:
		l.inDoubt(now, r.WithoutConn())
	default:
		l.refuse(r, Refusal{Reason: ReasonRolledBack})
	}
}

// retryRead sends a read again while the budget, its attempts and an untouched answer allow.
func (l *Lane) retryRead(r Request, e RequestInterrupted) {
	if e.Streamed || r.Attempts >= MaxAttempts || r.Cancelled || l.retries < 1 {
		l.refuseCut(r, Refusal{Reason: ReasonInterrupted}, e.Streamed)
		return
	}
	l.retries--
	l.stats.Retried++
	l.tell(l.now, r, CauseSentAgain)
	r.Avoid = r.Server
	l.requeue(r)
}

// inDoubt settles a write by its key; one without a key can only be called unknown.
func (l *Lane) inDoubt(now time.Duration, r Request) {
	if r.Statement.Keyed() {
		l.settle(now, r)
		return
	}
	l.refuse(r, Refusal{Reason: ReasonUnknown, Detail: "the request carried no key"})
}

// refuseCut refuses a request of whose answer a part may have gone out.
func (l *Lane) refuseCut(r Request, why Refusal, cut bool) {
	n := len(l.out)
	l.refuse(r, why)
	for i := n; i < len(l.out); i++ {
		if a, ok := l.out[i].(Refuse); ok {
			a.PartSent = cut
			l.out[i] = a
		}
	}
}

package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
)

// The causes of audit records about the forwarding of a request, in addition to those of a lane.
const (
	CauseForwarded          = "forwarded"
	CauseNotForwarded       = "not_forwarded"
	CauseDispatcherLost     = "dispatcher_lost"
	CauseDispatcherDeclined = "dispatcher_declined"
)

// Causes returns the causes of audit records about the forwarding of a request.
func Causes() []string {
	return []string{CauseForwarded, CauseNotForwarded, CauseDispatcherLost, CauseDispatcherDeclined}
}

// The refusals of requests on a node that is leaving, leftBehind for those in an open transaction, and of requests at a lost
// dispatcher: rolledBack for a transaction that had not reached its commit, unknown for work that may have been committed.
var (
	leaving    = caller.Refusal{Reason: caller.ReasonDraining}
	leftBehind = caller.Refusal{Reason: caller.ReasonRolledBack, Detail: "this proxy is leaving"}
	rolledBack = caller.Refusal{Reason: caller.ReasonRolledBack, Retry: retryHint, Detail: "the node that ran it is gone"}
	unknown    = caller.Refusal{Reason: caller.ReasonUnknown, Detail: "the node that ran it is gone"}
)

// receiveRequest queues a request, or forwards it to the dispatcher of the session's open transaction.
func (r *Relay) receiveRequest(now time.Duration, e caller.RequestReceived) {
	s, ok := r.sessions.Get(e.Session)
	if !ok {
		return
	}
	r.stats.Requests++
	class, arrived := e.Statement.Class, now-e.Statement.Waited
	q := request{
		session: e.Session, seq: e.Seq, statement: e.Statement, arrived: arrived, queueDeadline: arrived + caller.QueueTimeout(class),
		deadline: arrived + class.Deadline() + answerMargin, traced: r.trace(e.Statement.ID),
	}
	switch {
	case s.transactionFailed:
		r.failLostTransaction(now, s, q, rolledBack)
		return
	case r.draining && s.peer != "":
		r.actions = append(r.actions, Abandon{Peer: s.peer, Session: q.session})
		r.failLostTransaction(now, s, q, leftBehind)
		return
	case r.draining:
		r.refuse(now, q, leaving, false)
		return
	}
	if s.peer == "" {
		r.requests.Put(e.Session, q)
		r.requests.SetDue(e.Session, q.queueDeadline)
		r.queue = append(r.queue, e.Session)
		return
	}
	if e.Statement.Kind == caller.KindWrite {
		s = s.withWriteSent()
		r.sessions.Put(e.Session, s)
	}
	r.forward(now, s, q, s.peer)
}

// failLostTransaction answers a request whose transaction was lost with its dispatcher. The transaction stays failed until the
// caller ends it.
func (r *Relay) failLostTransaction(now time.Duration, s callerSession, q request, why caller.Refusal) {
	r.sessions.Put(q.session, s.withTransaction(""))
	if q.statement.Kind == caller.KindRollback {
		r.actions = append(r.actions, caller.Complete{Session: q.session, Seq: q.seq, Tag: "ROLLBACK", Floor: s.floor})
		return
	}
	failed := q.statement.Kind != caller.KindCommit
	if failed {
		r.sessions.Put(q.session, s.withTransactionFailed())
	}
	r.refuse(now, q, why, failed)
}

// drain refuses requests from now on, and those that wait for a dispatcher. Each open transaction is rolled back at its next
// request. Requests at a dispatcher are awaited.
func (r *Relay) drain(now time.Duration) {
	r.draining = true
	for _, id := range r.requests.Keys() {
		if q, _ := r.requests.Get(id); q.peer == "" {
			r.refuseWaiting(now, q)
		}
	}
	r.queue = nil
}

// refuseWaiting refuses a request that waits for a dispatcher. It may have run if an attempt was lost.
func (r *Relay) refuseWaiting(now time.Duration, q request) {
	why := q.refusal()
	if why.NotRun() {
		why = leaving
	}
	r.refuse(now, q, why, false)
}

// answerAll answers all requests. Those at a dispatcher are given up.
func (r *Relay) answerAll(now time.Duration) {
	r.drain(now)
	for _, id := range r.requests.Keys() {
		q, _ := r.requests.Get(id)
		s, _ := r.sessions.Get(id)
		q.attempts = maxAttempts
		r.actions = append(r.actions, Abandon{Peer: q.peer, Session: id})
		r.handleLoss(now, s, q)
	}
}

// forward sends a request to a dispatcher.
func (r *Relay) forward(now time.Duration, s callerSession, q request, peer string) {
	q = q.withPeer(peer)
	r.requests.Put(q.session, q)
	r.requests.SetDue(q.session, q.deadline)
	n, _ := r.nodes.Get(peer)
	if n.unanswered == 0 && n.pingedAt == 0 {
		r.nodes.SetDue(peer, now+pingAfter)
	}
	r.nodes.Put(peer, n.withRequest(now))
	r.actions = append(r.actions, Forward{
		Peer: peer, Group: s.group, Session: q.session, Seq: q.seq, Floor: s.floor, Statement: q.statement,
		Joined: s.peer != "",
	})
	if q.traced {
		r.recordRequest(now, q, CauseForwarded, operator.Evidence{Name: "floor", Value: s.floor.String()})
	}
}

// dispatch forwards each queued request to the first usable dispatcher of its group, and connects to the dispatchers that precede
// it in the order of preference.
func dispatch(r *Relay, now time.Duration) {
	waiting := r.queue
	r.queue = nil
	for _, id := range waiting {
		q, ok := r.requests.Get(id)
		if !ok || q.peer != "" {
			continue
		}
		s, _ := r.sessions.Get(id)
		p := r.chooseDispatcher(now, s, q)
		switch {
		case p != "":
			r.forward(now, s, q, p)
		case r.unreachable(now, s.group):
			r.refuse(now, q, q.refusal(), false)
		default:
			r.queue = append(r.queue, id)
		}
	}
}

// unreachable reports whether a group has had no usable dispatcher for linkWaitTimeout.
func (r *Relay) unreachable(now time.Duration, name string) bool {
	g, _ := r.groups.Get(name)
	if slices.ContainsFunc(g.peers, func(p string) bool { n, _ := r.nodes.Get(p); return n.usable() }) {
		return false
	}
	if g.unreachableSince == 0 {
		r.groups.Put(name, g.withUnreachableSince(now))
		return false
	}
	return now-g.unreachableSince >= linkWaitTimeout
}

// chooseDispatcher returns the dispatcher for a request, or "" if none is usable. The dispatcher of the last failed attempt is
// chosen only if there is no other.
func (r *Relay) chooseDispatcher(now time.Duration, s callerSession, q request) string {
	g, _ := r.groups.Get(s.group)
	fallback := ""
	opening := 0
	for _, p := range g.peers {
		n, _ := r.nodes.Get(p)
		switch {
		case now < g.declinedUntil[p]:
		case n.usable() && p != q.avoid:
			return p
		case n.usable():
			fallback = p
		case n.phase == linkOpening:
			opening++
		case opening < maxOpening && r.connect(now, p):
			opening++
		}
	}
	return fallback
}

// requeue queues a request for another attempt.
func (r *Relay) requeue(now time.Duration, q request) {
	r.requests.Put(q.session, q)
	r.requests.SetDue(q.session, max(now, q.queueDeadline))
	r.queue = append(r.queue, q.session)
}

// completeAttempt matches an answer with the pending request at a dispatcher, and reports whether there is one.
func (r *Relay) completeAttempt(now time.Duration, peer string, id caller.SessionID, seq uint64) (request, bool) {
	r.recordContact(now, peer)
	q, ok := r.requests.Get(id)
	if !ok || q.seq != seq || q.peer != peer {
		r.stats.Stray++
		return q, false
	}
	if n, _ := r.nodes.Get(peer); n.phase == linkUp {
		r.nodes.Put(peer, n.withAnswer())
	}
	return q, true
}

func (r *Relay) answered(now time.Duration, e Answered) {
	q, ok := r.completeAttempt(now, e.Peer, e.Session, e.Seq)
	if !ok {
		return
	}
	r.stats.Answered++
	r.requests.Delete(e.Session)
	s, _ := r.sessions.Get(e.Session)
	s = s.withFloor(e.Floor)
	if e.TransactionOpen {
		s = s.withTransaction(e.Peer)
	} else {
		s = s.withTransaction("")
	}
	r.sessions.Put(e.Session, s)
	r.actions = append(r.actions, caller.Release{Session: e.Session, Seq: q.seq, Floor: s.floor})
}

// declined requeues a request that its dispatcher did not accept, for another dispatcher or for the same one after declineBackoff.
// A node that has just started, or that has other members in its list, will accept it soon.
func (r *Relay) declined(now time.Duration, e Declined) {
	q, ok := r.completeAttempt(now, e.Peer, e.Session, e.Seq)
	if !ok {
		return
	}
	r.stats.Declined++
	r.recordRequest(now, q, CauseDispatcherDeclined)
	s, _ := r.sessions.Get(e.Session)
	if s.peer != "" {
		r.handleLoss(now, s, q)
		return
	}
	g, _ := r.groups.Get(s.group)
	r.groups.Put(s.group, g.withDeclined(e.Peer, now+declineBackoff))
	r.requeue(now, q.withDeclined())
	r.requests.SetDue(q.session, max(now, min(q.queueDeadline, now+declineBackoff)))
}

// handleLoss retries or ends a request whose dispatcher was lost. A read outside a transaction may go to another dispatcher; the
// outcome of work that may have been committed is in doubt.
func (r *Relay) handleLoss(now time.Duration, s callerSession, q request) {
	r.recordRequest(now, q, CauseDispatcherLost)
	kind := q.statement.Kind
	open := s.peer != ""
	switch {
	case open && kind == caller.KindRollback:
		r.requests.Delete(q.session)
		r.sessions.Put(q.session, s.withTransaction(""))
		r.actions = append(r.actions, caller.Complete{Session: q.session, Seq: q.seq, Tag: "ROLLBACK", Floor: s.floor})
	case open && kind == caller.KindCommit:
		r.sessions.Put(q.session, s.withTransaction(""))
		if s.writeSent {
			r.refuse(now, q, unknown, false)
		} else {
			r.refuse(now, q, rolledBack, false)
		}
	case open:
		r.sessions.Put(q.session, s.withTransactionFailed())
		r.refuse(now, q, rolledBack, true)
	case kind == caller.KindWrite:
		r.refuse(now, q, unknown, false)
	case kind == caller.KindRead && q.attempts < maxAttempts && now < q.queueDeadline:
		r.stats.Resent++
		r.requeue(now, q.withAttemptLost())
	case kind == caller.KindRead:
		r.refuse(now, q, q.withAttemptLost().refusal(), false)
	default:
		r.refuse(now, q, rolledBack, false)
	}
}

// expireRequests refuses requests that found no dispatcher in time, and treats those without an answer by their deadline as lost.
func expireRequests(r *Relay, now time.Duration) {
	for _, id := range r.requests.TakeDue(now) {
		q, _ := r.requests.Get(id)
		s, _ := r.sessions.Get(id)
		if q.peer == "" && now < q.queueDeadline {
			r.requests.SetDue(id, q.queueDeadline)
			continue
		}
		if q.peer == "" {
			r.refuse(now, q, q.refusal(), false)
			continue
		}
		if n, _ := r.nodes.Get(q.peer); n.phase == linkUp {
			r.nodes.Put(q.peer, n.withAnswer())
		}
		q.attempts = maxAttempts
		r.actions = append(r.actions, Abandon{Peer: q.peer, Session: id})
		r.handleLoss(now, s, q)
	}
}

// refuse ends a request with an error. With transactionFailed set, the caller still has to end its lost transaction.
func (r *Relay) refuse(now time.Duration, q request, refusal caller.Refusal, transactionFailed bool) {
	r.requests.Delete(q.session)
	r.stats.Refused++
	if !refusal.NotRun() {
		r.stats.Unknown++
	}
	r.recordRequest(now, q, CauseNotForwarded, operator.Evidence{Name: "reason", Value: refusal.Reason.String()},
		operator.Evidence{Name: "detail", Value: refusal.Detail})
	r.actions = append(r.actions, caller.Refuse{
		Session: q.session, Seq: q.seq, Refusal: refusal, TransactionFailed: transactionFailed,
	})
}

// closeSession removes the session of a disconnected caller, and abandons its work at a dispatcher.
func (r *Relay) closeSession(id caller.SessionID) {
	s, ok := r.sessions.Get(id)
	if !ok {
		return
	}
	q, pending := r.requests.Get(id)
	if peer := q.peer; pending && peer != "" {
		n, _ := r.nodes.Get(peer)
		r.nodes.Put(peer, n.withAnswer())
		r.actions = append(r.actions, Abandon{Peer: peer, Session: id})
	} else if s.peer != "" {
		r.actions = append(r.actions, Abandon{Peer: s.peer, Session: id})
	}
	r.requests.Delete(id)
	r.sessions.Delete(id)
	r.queue = slices.DeleteFunc(r.queue, func(o caller.SessionID) bool { return o == id })
}

// recordRequest writes an audit record about a request, with the evidence for the decision.
func (r *Relay) recordRequest(now time.Duration, q request, cause string, more ...operator.Evidence) {
	s, _ := r.sessions.Get(q.session)
	c := operator.Record{
		Kind: operator.KindRequest, Cause: cause, Request: q.statement.ID, Group: s.group, Version: q.statement.Version,
	}
	c = c.WithEvidence("class", q.statement.Class.Name).
		WithEvidence("waited_ms", strconv.FormatInt((now-q.arrived).Milliseconds(), 10)).
		WithEvidence("attempts", strconv.Itoa(q.attempts)).WithEvidence("dispatcher", q.peer)
	if q.statement.Tenant != "" {
		c = c.WithEvidence("tenant", q.statement.Tenant)
	}
	c.Evidence = append(c.Evidence, more...)
	r.actions = append(r.actions, caller.WriteAuditRecord{Record: c})
}

package caller

import "time"

// leavingDetail is the detail of refusals by a node that is leaving.
const leavingDetail = "this proxy is leaving"

// drain ends all sessions at their next request boundary. It refuses queued requests: they have not run, and their callers
// can send them to another node.
func (l *Lane) drain() {
	l.draining = true
	for _, k := range l.requests.Keys() {
		if r, _ := l.requests.Get(k); r.Phase == PhaseQueued && !r.Sent {
			l.refuse(r, Refusal{Reason: ReasonDraining})
		}
	}
	for _, k := range l.sessions.Keys() {
		s, _ := l.sessions.Get(k)
		s = s.WithClosing()
		l.sessions.Put(k, s)
		l.endIfClosing(s)
	}
}

// drainTransactions has each open transaction rolled back at its next request. A request that waits in a transaction is refused
// now; one that runs is awaited.
func (l *Lane) drainTransactions() {
	l.transactionsDrained = true
	for _, k := range l.requests.Keys() {
		if r, _ := l.requests.Get(k); r.TxConn != 0 && !r.Sent {
			l.refuse(r, Refusal{Reason: ReasonRolledBack, Detail: leavingDetail})
		}
	}
}

// rollBack rolls back a session's open transaction in place of running the request, by closing its connection.
func (l *Lane) rollBack(s Session, r Request) {
	if r.Statement.Kind != KindRollback {
		l.refuse(r, Refusal{Reason: ReasonRolledBack, Detail: leavingDetail})
		return
	}
	s = l.abortTransaction(s, r)
	l.sessions.Put(s.ID, s)
	l.actions = append(l.actions, Complete{Session: s.ID, Seq: r.Seq, Tag: "ROLLBACK", Floor: s.Floor})
	l.endIfClosing(s)
}

// answerAll answers all requests. Those that run are interrupted: a transaction that has not reached its commit is rolled back, and
// work that may have been committed is in doubt.
func (l *Lane) answerAll(now time.Duration) {
	l.transactionsDrained = true
	for _, k := range l.requests.Keys() {
		if r, ok := l.requests.Get(k); ok && r.Phase == PhaseRunning {
			l.actions = append(l.actions, Close{Conn: r.Conn})
			l.requestInterrupted(now, RequestInterrupted{Conn: r.Conn, Request: r.ID, GivenUp: true})
		}
	}
	for _, k := range l.requests.Keys() {
		r, _ := l.requests.Get(k)
		why := Refusal{Reason: ReasonUnknown, Key: r.Statement.Key, Detail: leavingDetail}
		switch {
		case !r.Sent:
			why.Reason = ReasonDraining
		case !commits(r):
			why.Reason = ReasonInterrupted
		}
		l.refuse(r, why)
	}
}

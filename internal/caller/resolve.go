package caller

import (
	"slices"
	"time"
)

// resolve has a request's outcome looked up by its key on the current primary.
func (l *Lane) resolve(now time.Duration, r Request) {
	l.stats.Resolutions++
	r = r.WithResolving(now + ResolveTimeout)
	l.requests.Put(r.ID, r)
	l.requests.SetDue(r.ID, r.Deadline)
	l.join(QueueResolve, r)
}

// resolvingRequest returns the rows behind the result of a lookup or tombstone, and false if the result is stray.
func (l *Lane) resolvingRequest(conn ConnID, id RequestID) (Conn, Request, bool) {
	c, ok := l.conns.Get(conn)
	if !ok || c.Request != id || c.Phase != ConnBusy {
		l.stats.StrayMessages++
		return Conn{}, Request{}, false
	}
	r, _ := l.requests.Get(id)
	return c, r, true
}

// outcomeLookedUp confirms the outcome that was found. If there is none, it writes a tombstone so that the request can never
// run.
func (l *Lane) outcomeLookedUp(now time.Duration, e OutcomeLookedUp) {
	c, r, ok := l.resolvingRequest(e.Conn, e.Request)
	if !ok {
		return
	}
	if !e.Found && r.ID != 0 {
		l.actions = append(l.actions, WriteTombstone{Conn: e.Conn, Request: e.Request, Key: r.Statement.Key})
		return
	}
	l.releaseConn(now, c, r, r.ID != 0, false)
	if r.ID == 0 {
		return
	}
	result := ResultRan
	if e.Tombstoned {
		result = ResultNotRun
	}
	l.awaitConfirmation(now, r.WithoutConn().WithOutcome(e.Outcome).WithConfirming(now, e.Position, result))
}

// tombstoneWritten confirms the tombstone. If the key has an outcome by now, the lookup starts again.
func (l *Lane) tombstoneWritten(now time.Duration, e TombstoneWritten) {
	c, r, ok := l.resolvingRequest(e.Conn, e.Request)
	if !ok {
		return
	}
	l.releaseConn(now, c, r, r.ID != 0, false)
	if r.ID == 0 {
		return
	}
	r = r.WithoutConn()
	if e.Duplicate {
		l.resolve(now, r)
		return
	}
	l.awaitConfirmation(now, r.WithConfirming(now, e.Position, ResultNotRun))
}

// expireRequests handles requests that reached their deadline, queue timeout or slowThreshold, according to their phase.
func expireRequests(l *Lane, now time.Duration) {
	for _, k := range l.requests.TakeDue(now) {
		r, _ := l.requests.Get(k)
		l.expire(now, r)
	}
}

func (l *Lane) expire(now time.Duration, r Request) {
	if now < r.Deadline && (r.Phase == PhaseRunning || r.Phase == PhaseConfirming) {
		l.answerOverdue(now, r)
		return
	}
	switch r.Phase {
	case PhaseFloor:
		l.floorTimedOut(now, r)
	case PhaseQueued:
		l.expireQueued(r)
	case PhaseRunning:
		l.expireRunning(now, r)
	case PhaseResolving:
		if r.Conn != 0 {
			l.closeConn(r.Conn)
		}
		l.refuse(r, Refusal{Reason: ReasonUnknown, Key: r.Statement.Key})
	default:
		if r.PendingLeadership {
			l.refuse(r, Refusal{Reason: ReasonInterrupted, Detail: "nothing showed that the primary still leads"})
			return
		}
		l.refuse(r, Refusal{Reason: ReasonUnknown, Key: r.Statement.Key})
	}
}

// answerOverdue handles a request that has run for longer than nearly all work takes. A read moves to another server if its
// own has answered no request for slowThreshold. Other requests keep waiting.
func (l *Lane) answerOverdue(now time.Duration, r Request) {
	l.reportSuspect(now, r.Server, commits(r))
	if r.Traced {
		l.recordRequest(now, r, CauseSlow)
	}
	l.requests.SetDue(r.ID, r.Deadline)
	s, _ := l.sessions.Get(r.Session)
	row, _ := l.servers.Get(r.Server)
	if r.Phase != PhaseRunning || s.TxConn != 0 || !acceptsAge(r) || now-row.AnsweredAt < slowThreshold {
		return
	}
	q := l.routeQuery(now, s, r)
	if slices.ContainsFunc(l.eligible(q), func(o Server) bool { return o.View.Name != r.Server }) {
		l.actions = append(l.actions, Close{Conn: r.Conn})
		l.requestInterrupted(now, RequestInterrupted{Conn: r.Conn, Request: r.ID, GivenUp: true})
	}
}

// expireQueued refuses a request that reached its queue timeout or deadline in a queue. Without a primary only the deadline
// counts. A read that was sent before is refused as interrupted, since its earlier attempts may have run.
func (l *Lane) expireQueued(r Request) {
	s, _ := l.sessions.Get(r.Session)
	if l.now < r.Deadline && l.leader() == "" {
		l.requests.SetDue(r.ID, r.Deadline)
		return
	}
	if name := l.policy.Share(r); name != "" {
		defer l.dropRefused(l.policy.SelectQueue(r, l.slowClass(r)), name)
	}
	switch {
	case r.Sent:
		l.refuse(r, Refusal{Reason: ReasonInterrupted, Retry: retryHint})
	case l.now < r.Deadline:
		l.refuse(r, Refusal{Reason: ReasonOverload, Retry: retryHint})
	case l.leader() == "" && s.TxConn == 0:
		l.refuse(r, Refusal{Reason: ReasonNoPrimary, Retry: retryHint})
	default:
		l.refuse(r, Refusal{Reason: ReasonTimeout, Retry: retryHint})
	}
}

// expireRunning cancels a request first, and closes its connection if it is still running after that.
func (l *Lane) expireRunning(now time.Duration, r Request) {
	if !r.Cancelled && l.kind.SupportsCancel {
		l.startCancel(now, r)
		return
	}
	l.actions = append(l.actions, Close{Conn: r.Conn})
	l.requestInterrupted(now, RequestInterrupted{Conn: r.Conn, Request: r.ID, GivenUp: true})
}

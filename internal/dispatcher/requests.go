package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
)

// The causes of records about one request that is handed to a dispatcher, besides those of a lane.
const (
	CauseForwarded = "forwarded"
	CauseRefused   = "not_forwarded"
	CauseLost      = "dispatcher_lost"
	CauseDeclined  = "dispatcher_declined"
)

// Causes lists the causes of records about one request that is handed to a dispatcher.
func Causes() []string {
	return []string{CauseForwarded, CauseRefused, CauseLost, CauseDeclined}
}

// The refusals of what a dispatcher ran that is gone: a transaction without its commit, and what may have been committed.
var (
	rolledBack = caller.Refusal{Reason: caller.ReasonRolledBack, Retry: retryHint, Detail: "the node that ran it is gone"}
	unknown    = caller.Refusal{Reason: caller.ReasonUnknown, Detail: "the node that ran it is gone"}
)

// ask takes a request in; one of an open transaction goes to the dispatcher that runs it.
func (r *Relay) ask(now time.Duration, e caller.RequestReceived) {
	s, ok := r.sessions.Get(e.Session)
	if !ok {
		return
	}
	r.stats.Requests++
	class := e.Statement.Class
	q := request{
		session: e.Session, seq: e.Seq, statement: e.Statement, arrived: now, patience: now + caller.QueueTimeout(class),
		deadline: now + class.Deadline() + answerMargin, traced: r.trace(e.Statement.ID),
	}
	if s.lost {
		r.askLost(now, s, q)
		return
	}
	if s.peer == "" {
		r.requests.Put(e.Session, q)
		r.requests.Wake(e.Session, q.patience)
		r.queue = append(r.queue, e.Session)
		return
	}
	if e.Statement.Kind == caller.KindWrite {
		s = s.withWrite()
		r.sessions.Put(e.Session, s)
	}
	r.forward(now, s, q, s.peer)
}

// askLost answers the first request after a transaction was lost, which rolls it back.
func (r *Relay) askLost(now time.Duration, s callerSession, q request) {
	r.sessions.Put(q.session, s.withTransaction(""))
	if q.statement.Kind == caller.KindRollback {
		r.out = append(r.out, caller.Complete{Session: q.session, Seq: q.seq, Tag: "ROLLBACK", Floor: s.floor})
		return
	}
	failed := q.statement.Kind != caller.KindCommit
	if failed {
		r.sessions.Put(q.session, s.withLost())
	}
	r.refuse(now, q, rolledBack, failed)
}

// forward hands a request to a dispatcher.
func (r *Relay) forward(now time.Duration, s callerSession, q request, peer string) {
	q = q.withPeer(peer)
	r.requests.Put(q.session, q)
	r.requests.Wake(q.session, q.deadline)
	n, _ := r.nodes.Get(peer)
	if n.waiting == 0 && n.asked == 0 {
		r.nodes.Wake(peer, now+silentAfter)
	}
	r.nodes.Put(peer, n.withRequest(now))
	r.out = append(r.out, Forward{
		Peer: peer, Group: s.group, Session: q.session, Seq: q.seq, Floor: s.floor, Statement: q.statement,
		Joined: s.peer != "",
	})
	if q.traced {
		r.tell(now, q, CauseForwarded, operator.Evidence{Name: "floor", Value: s.floor.String()})
	}
}

// dispatch hands out the requests that wait, each to the first node of its group's that can be used, and connects to those before
// it in order.
func dispatch(r *Relay, now time.Duration) {
	waiting := r.queue
	r.queue = nil
	for _, id := range waiting {
		q, ok := r.requests.Get(id)
		if !ok || q.peer != "" {
			continue
		}
		s, _ := r.sessions.Get(id)
		p := r.choose(now, s, q)
		switch {
		case p != "":
			r.forward(now, s, q, p)
		case r.unreachable(now, s.group):
			r.refuse(now, q, q.unplaced(), false)
		default:
			r.queue = append(r.queue, id)
		}
	}
}

// unreachable reports whether a group has been without a usable dispatcher for so long that waiting for one is no use.
func (r *Relay) unreachable(now time.Duration, name string) bool {
	g, _ := r.groups.Get(name)
	if slices.ContainsFunc(g.peers, func(p string) bool { n, _ := r.nodes.Get(p); return n.usable() }) {
		return false
	}
	if g.unreachable == 0 {
		r.groups.Put(name, g.withUnreachable(now))
		return false
	}
	return now-g.unreachable >= unreachableFor
}

// choose returns the dispatcher for a request, or "" while none can be used. The one that failed it last is taken only where there
// is no other.
func (r *Relay) choose(now time.Duration, s callerSession, q request) string {
	g, _ := r.groups.Get(s.group)
	fallback := ""
	opening := 0
	for _, p := range g.peers {
		n, _ := r.nodes.Get(p)
		switch {
		case now < g.declined[p]:
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

// queueAgain has a request handed to another dispatcher.
func (r *Relay) queueAgain(now time.Duration, q request) {
	r.requests.Put(q.session, q)
	r.requests.Wake(q.session, max(now, q.patience))
	r.queue = append(r.queue, q.session)
}

// settle ends a request's time at its dispatcher, and reports whether the request was there.
func (r *Relay) settle(now time.Duration, peer string, id caller.SessionID, seq uint64) (request, bool) {
	r.hear(now, peer)
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
	q, ok := r.settle(now, e.Peer, e.Session, e.Seq)
	if !ok {
		return
	}
	r.stats.Answered++
	r.requests.Delete(e.Session)
	s, _ := r.sessions.Get(e.Session)
	s = s.withFloor(e.Floor)
	if e.Open {
		s = s.withTransaction(e.Peer)
	} else {
		s = s.withTransaction("")
	}
	r.sessions.Put(e.Session, s)
	r.out = append(r.out, caller.Release{Session: e.Session, Seq: q.seq, Floor: s.floor})
}

// declined hands a request that its dispatcher did not take to another, or to the same a little later: a node that has just
// started, or differs about the members, takes it soon.
func (r *Relay) declined(now time.Duration, e Declined) {
	q, ok := r.settle(now, e.Peer, e.Session, e.Seq)
	if !ok {
		return
	}
	r.stats.Declined++
	r.tell(now, q, CauseDeclined)
	s, _ := r.sessions.Get(e.Session)
	if s.peer != "" {
		r.lose(now, s, q)
		return
	}
	g, _ := r.groups.Get(s.group)
	r.groups.Put(s.group, g.withDeclined(e.Peer, now+declinedFor))
	r.queueAgain(now, q.withDeclined())
	r.requests.Wake(q.session, max(now, min(q.patience, now+declinedFor)))
}

// lose settles a request whose dispatcher is gone: what only read may be handed to another, what may have committed is in doubt.
func (r *Relay) lose(now time.Duration, s callerSession, q request) {
	r.tell(now, q, CauseLost)
	kind := q.statement.Kind
	open := s.peer != ""
	switch {
	case open && kind == caller.KindRollback:
		r.requests.Delete(q.session)
		r.sessions.Put(q.session, s.withTransaction(""))
		r.out = append(r.out, caller.Complete{Session: q.session, Seq: q.seq, Tag: "ROLLBACK", Floor: s.floor})
	case open && kind == caller.KindCommit:
		r.sessions.Put(q.session, s.withTransaction(""))
		if s.wrote {
			r.refuse(now, q, unknown, false)
		} else {
			r.refuse(now, q, rolledBack, false)
		}
	case open:
		r.sessions.Put(q.session, s.withLost())
		r.refuse(now, q, rolledBack, true)
	case kind == caller.KindWrite:
		r.refuse(now, q, unknown, false)
	case kind == caller.KindRead && q.attempts < maxAttempts && now < q.patience:
		r.stats.SentAgain++
		r.queueAgain(now, q.withLost())
	case kind == caller.KindRead:
		r.refuse(now, q, q.withLost().unplaced(), false)
	default:
		r.refuse(now, q, rolledBack, false)
	}
}

// expireRequests refuses what no dispatcher could be found for in time, and settles what its dispatcher has not answered.
func expireRequests(r *Relay, now time.Duration) {
	for _, id := range r.requests.TakeDue(now) {
		q, _ := r.requests.Get(id)
		s, _ := r.sessions.Get(id)
		if q.peer == "" && now < q.patience {
			r.requests.Wake(id, q.patience)
			continue
		}
		if q.peer == "" {
			r.refuse(now, q, q.unplaced(), false)
			continue
		}
		if n, _ := r.nodes.Get(q.peer); n.phase == linkUp {
			r.nodes.Put(q.peer, n.withAnswer())
		}
		q.attempts = maxAttempts
		r.out = append(r.out, Abandon{Peer: q.peer, Session: id})
		r.lose(now, s, q)
	}
}

// refuse ends a request with an error; failed says that its caller still has to end a transaction that is gone.
func (r *Relay) refuse(now time.Duration, q request, why caller.Refusal, failed bool) {
	r.requests.Delete(q.session)
	r.stats.Refused++
	if !why.NotRun() {
		r.stats.Unknown++
	}
	r.tell(now, q, CauseRefused, operator.Evidence{Name: "reason", Value: why.Reason.String()},
		operator.Evidence{Name: "detail", Value: why.Detail})
	r.out = append(r.out, caller.Refuse{Session: q.session, Seq: q.seq, Refusal: why, TransactionFailed: failed})
}

// closeSession forgets a caller that went away, together with what runs for it.
func (r *Relay) closeSession(id caller.SessionID) {
	s, ok := r.sessions.Get(id)
	if !ok {
		return
	}
	q, asked := r.requests.Get(id)
	if peer := q.peer; asked && peer != "" {
		n, _ := r.nodes.Get(peer)
		r.nodes.Put(peer, n.withAnswer())
		r.out = append(r.out, Abandon{Peer: peer, Session: id})
	} else if s.peer != "" {
		r.out = append(r.out, Abandon{Peer: s.peer, Session: id})
	}
	r.requests.Delete(id)
	r.sessions.Delete(id)
	r.queue = slices.DeleteFunc(r.queue, func(o caller.SessionID) bool { return o == id })
}

// tell records something about a request with what it was decided from.
func (r *Relay) tell(now time.Duration, q request, cause string, more ...operator.Evidence) {
	s, _ := r.sessions.Get(q.session)
	c := operator.Record{
		Kind: operator.KindRequest, Cause: cause, Request: q.statement.ID, Group: s.group, Version: q.statement.Version,
	}
	c = c.WithEvidence("class", q.statement.Class.Name).
		WithEvidence("waited_ms", strconv.FormatInt((now-q.arrived).Milliseconds(), 10)).
		WithEvidence("attempts", strconv.Itoa(q.attempts)).WithEvidence("dispatcher", q.peer)
	c.Evidence = append(c.Evidence, more...)
	r.out = append(r.out, caller.WriteAuditRecord{Record: c})
}

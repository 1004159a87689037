package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/table"
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

// Relay holds the tables of the requests that a node hands to dispatchers, and the systems that run over them each tick.
type Relay struct {
	groups   *table.Table[string, group]
	nodes    *table.Table[string, node]
	sessions *table.Table[caller.SessionID, callerSession]
	requests *table.Table[caller.SessionID, request]
	queue    []caller.SessionID
	expected time.Duration
	jitter   func(limit time.Duration) time.Duration
	trace    func(id string) bool
	stats    Stats
	out      []Action
	systems  []system
}

type system struct {
	name string
	run  func(r *Relay, now time.Duration)
}

// Option sets up a Relay.
type Option func(*Relay) error

// WithJitter replaces the source of random delays, which by default gives half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(r *Relay) error {
		r.jitter = f
		return nil
	}
}

// WithTrace has the way of those requests recorded, by their callers' names for them, that f picks.
func WithTrace(f func(id string) bool) Option {
	return func(r *Relay) error {
		r.trace = f
		return nil
	}
}

// NewRelay returns the relay of a node that knows no dispatchers yet.
func NewRelay(opts ...Option) (*Relay, error) {
	r := &Relay{
		groups:   table.New[string, group](),
		nodes:    table.New[string, node](),
		sessions: table.New[caller.SessionID, callerSession](),
		requests: table.New[caller.SessionID, request](),
		expected: table.Never,
		jitter:   func(limit time.Duration) time.Duration { return limit / 2 },
		trace:    func(string) bool { return false },
	}
	r.systems = []system{
		{"deadlines", expireRequests},
		{"silence", weighSilence},
		{"dispatch", dispatch},
	}
	for _, o := range opts {
		if err := o(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Stats returns the counts since the relay's start.
func (r *Relay) Stats() Stats {
	return r.stats
}

// Step takes what happened since the last step and returns what to do, and when to be called again at the latest.
func (r *Relay) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	r.out = nil
	r.noticePause(now)
	for _, e := range es {
		r.apply(now, e)
	}
	for _, s := range r.systems {
		s.run(r, now)
	}
	r.sessions.TakeDirty()
	r.requests.TakeDirty()
	r.nodes.TakeDirty()
	r.groups.TakeDirty()
	r.expected = min(r.requests.NextDue(), r.nodes.NextDue())
	return r.out, r.expected
}

// noticePause forgets a silence that stems from this node's own absence.
func (r *Relay) noticePause(now time.Duration) {
	if r.expected == table.Never || now-r.expected <= ownPause {
		return
	}
	for _, k := range r.nodes.Keys() {
		if n, _ := r.nodes.Get(k); n.phase == linkUp {
			r.nodes.Put(k, n.withHeard(now))
			r.nodes.Wake(k, now+silentAfter)
		}
	}
}

func (r *Relay) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Opened:
		r.sessions.Put(e.Session, callerSession{group: e.Group, floor: e.Floor})
	case caller.SessionClosed:
		r.closeSession(e.Session)
	case caller.Asked:
		r.ask(now, e)
	case Assigned:
		r.assign(now, e)
	case LinkUp:
		r.linkUp(now, e.Peer)
	case LinkLost:
		r.linkLost(now, e.Peer)
	case Alive:
		r.hear(now, e.Peer)
	case Leaving:
		if n, ok := r.nodes.Get(e.Peer); ok {
			r.nodes.Put(e.Peer, n.withLeaving())
		}
	case Answered:
		r.answered(now, e)
	case Declined:
		r.declined(now, e)
	}
}

// assign takes up who serves a group, and connects to the preferred node ahead of requests.
func (r *Relay) assign(now time.Duration, e Assigned) {
	g, _ := r.groups.Get(e.Group)
	g.peers = e.Peers
	r.groups.Put(e.Group, g)
	for _, p := range e.Peers {
		if _, ok := r.nodes.Get(p); !ok {
			r.nodes.Put(p, node{address: p})
		}
	}
	if len(e.Peers) > 0 {
		r.connect(now, e.Peers[0])
	}
}

// connect opens the link to a dispatcher unless it is there, or failed just now, and reports whether it does.
func (r *Relay) connect(now time.Duration, peer string) bool {
	n, _ := r.nodes.Get(peer)
	if n.phase != linkDown || now < n.retry {
		return false
	}
	r.nodes.Put(peer, n.withOpening())
	r.out = append(r.out, Connect{Peer: peer})
	return true
}

func (r *Relay) linkUp(now time.Duration, peer string) {
	if n, ok := r.nodes.Get(peer); ok {
		r.nodes.Put(peer, n.withUp(now))
		r.nodes.Wake(peer, table.Never)
		for _, k := range r.groups.Keys() {
			if g, _ := r.groups.Get(k); slices.Contains(g.peers, peer) {
				r.groups.Put(k, g.withWithout(0))
			}
		}
	}
}

// linkLost settles what was under way at a dispatcher whose link is gone, and leaves it alone for a while.
func (r *Relay) linkLost(now time.Duration, peer string) {
	n, ok := r.nodes.Get(peer)
	if !ok || n.phase == linkDown {
		return
	}
	r.stats.LinksLost++
	pause := min(retryFirst<<min(n.failures, 8), retryMost)
	n = n.withDown(now + pause/2 + r.jitter(pause/2))
	r.nodes.Put(peer, n)
	r.nodes.Wake(peer, n.retry)
	for _, id := range r.sessions.Keys() {
		s, _ := r.sessions.Get(id)
		q, asked := r.requests.Get(id)
		switch {
		case asked && q.peer == peer:
			r.lose(now, s, q)
		case s.peer == peer:
			r.sessions.Put(id, s.withLost())
		}
	}
}

// hear takes a dispatcher's sign of life.
func (r *Relay) hear(now time.Duration, peer string) {
	n, ok := r.nodes.Get(peer)
	if !ok || n.phase != linkUp {
		return
	}
	r.nodes.Put(peer, n.withHeard(now))
	if n.waiting > 0 {
		r.nodes.Wake(peer, now+silentAfter)
	} else {
		r.nodes.Wake(peer, table.Never)
	}
}

// weighSilence asks dispatchers that leave requests unanswered for a sign of life, and turns away from those that give none.
func weighSilence(r *Relay, now time.Duration) {
	for _, k := range r.nodes.TakeDue(now) {
		n, _ := r.nodes.Get(k)
		switch {
		case n.phase != linkUp || n.waiting == 0 && n.asked == 0:
		case n.asked == 0 && now < max(n.heard, n.since)+silentAfter:
			r.nodes.Wake(k, max(n.heard, n.since)+silentAfter)
		case n.asked == 0:
			r.nodes.Put(k, n.withAsked(now))
			r.nodes.Wake(k, now+signWithin)
			r.out = append(r.out, Ask{Peer: k})
		case now >= n.asked+goneAfter:
			r.out = append(r.out, Disconnect{Peer: k})
			r.linkLost(now, k)
		default:
			r.nodes.Put(k, n.withDoubt())
			r.nodes.Wake(k, n.asked+goneAfter)
			r.recall(now, k)
		}
	}
}

// recall hands the reads that a doubtful dispatcher has not answered to others; an answer that comes after all goes nowhere.
func (r *Relay) recall(now time.Duration, peer string) {
	for _, id := range r.requests.Keys() {
		s, _ := r.sessions.Get(id)
		if q, _ := r.requests.Get(id); q.peer == peer && s.peer == "" && q.statement.Kind == caller.KindRead && q.attempts < maxAttempts {
			r.stats.SentAgain++
			r.out = append(r.out, Abandon{Peer: peer, Session: id})
			n, _ := r.nodes.Get(peer)
			r.nodes.Put(peer, n.withAnswer())
			r.queueAgain(now, q.withLost())
		}
	}
}

// ask takes a request in; one of an open transaction goes to the dispatcher that runs it.
func (r *Relay) ask(now time.Duration, e caller.Asked) {
	s, ok := r.sessions.Get(e.Session)
	if !ok {
		return
	}
	r.stats.Requests++
	class := e.Statement.Class
	q := request{
		session: e.Session, seq: e.Seq, statement: e.Statement, arrived: now, patience: now + caller.Patience(class),
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
	r.refuse(now, q, caller.Refusal{Reason: caller.ReasonRolledBack, Retry: retryHint, Detail: "the node that ran it is gone"}, failed)
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
		case r.hopeless(now, s.group):
			r.refuse(now, q, q.unplaced(caller.ReasonNoPrimary, unreachable), false)
		default:
			r.queue = append(r.queue, id)
		}
	}
}

// unreachable says why a request was refused that found no dispatcher.
const unreachable = "no node that serves the database can be reached"

// hopeless reports whether a group has been without a usable dispatcher for so long that waiting for one is no use.
func (r *Relay) hopeless(now time.Duration, name string) bool {
	g, _ := r.groups.Get(name)
	if slices.ContainsFunc(g.peers, func(p string) bool { n, _ := r.nodes.Get(p); return n.usable() }) {
		return false
	}
	if g.without == 0 {
		r.groups.Put(name, g.withWithout(now))
		return false
	}
	return now-g.without >= withoutFor
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
	rolledBack := caller.Refusal{Reason: caller.ReasonRolledBack, Retry: retryHint, Detail: "the node that ran it is gone"}
	unknown := caller.Refusal{Reason: caller.ReasonUnknown, Detail: "the node that ran it is gone"}
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
		r.refuse(now, q, q.withLost().unplaced(caller.ReasonCut, ""), false)
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
			r.refuse(now, q, q.unplaced(caller.ReasonNoPrimary, unreachable), false)
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
	r.out = append(r.out, caller.Refuse{Session: q.session, Seq: q.seq, Refusal: why, Failed: failed})
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
	r.out = append(r.out, caller.Note{Record: c})
}

package dispatcher

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/table"
)

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
		r.nodes.SetDue(peer, table.Never)
		for _, k := range r.groups.Keys() {
			if g, _ := r.groups.Get(k); slices.Contains(g.peers, peer) {
				r.groups.Put(k, g.withUnreachable(0))
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
	r.nodes.SetDue(peer, n.retry)
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
		r.nodes.SetDue(peer, now+silentAfter)
	} else {
		r.nodes.SetDue(peer, table.Never)
	}
}

// weighSilence asks dispatchers that leave requests unanswered for a sign of life, and turns away from those that give none.
func weighSilence(r *Relay, now time.Duration) {
	for _, k := range r.nodes.TakeDue(now) {
		n, _ := r.nodes.Get(k)
		switch {
		case n.phase != linkUp || n.waiting == 0 && n.asked == 0:
		case n.asked == 0 && now < max(n.heard, n.since)+silentAfter:
			r.nodes.SetDue(k, max(n.heard, n.since)+silentAfter)
		case n.asked == 0:
			r.nodes.Put(k, n.withAsked(now))
			r.nodes.SetDue(k, now+signWithin)
			r.out = append(r.out, Ask{Peer: k})
		case now >= n.asked+goneAfter:
			r.out = append(r.out, Disconnect{Peer: k})
			r.linkLost(now, k)
		default:
			r.nodes.Put(k, n.withDoubt())
			r.nodes.SetDue(k, n.asked+goneAfter)
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

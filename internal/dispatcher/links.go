package dispatcher

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/table"
)

// assign stores the dispatchers of a group and connects to the preferred one before the first request.
func (r *Relay) assign(now time.Duration, e DispatchersAssigned) {
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

// connect opens the link to a dispatcher and reports whether it does. It does nothing while a link is open or opening, or before
// the reconnect delay has passed.
func (r *Relay) connect(now time.Duration, peer string) bool {
	n, _ := r.nodes.Get(peer)
	if n.phase != linkDown || now < n.reconnectAt {
		return false
	}
	r.nodes.Put(peer, n.withOpening())
	r.actions = append(r.actions, Connect{Peer: peer})
	return true
}

func (r *Relay) linkUp(now time.Duration, peer string) {
	if n, ok := r.nodes.Get(peer); ok {
		r.nodes.Put(peer, n.withUp(now))
		r.nodes.SetDue(peer, table.Never)
		for _, k := range r.groups.Keys() {
			if g, _ := r.groups.Get(k); slices.Contains(g.peers, peer) {
				r.groups.Put(k, g.withUnreachableSince(0))
			}
		}
	}
}

// linkLost ends or reassigns the requests at a dispatcher whose link was lost, and delays the next connection attempt.
func (r *Relay) linkLost(now time.Duration, peer string) {
	n, ok := r.nodes.Get(peer)
	if !ok || n.phase == linkDown {
		return
	}
	r.stats.LinksLost++
	delay := min(minReconnectDelay<<min(n.failures, 8), maxReconnectDelay)
	n = n.withDown(now + delay/2 + r.jitter(delay/2))
	r.nodes.Put(peer, n)
	r.nodes.SetDue(peer, n.reconnectAt)
	for _, id := range r.sessions.Keys() {
		s, _ := r.sessions.Get(id)
		q, pending := r.requests.Get(id)
		switch {
		case pending && q.peer == peer:
			r.handleLoss(now, s, q)
		case s.peer == peer:
			r.sessions.Put(id, s.withTransactionFailed())
		}
	}
}

// recordContact records that a message from a dispatcher arrived, which ends any suspicion.
func (r *Relay) recordContact(now time.Duration, peer string) {
	n, ok := r.nodes.Get(peer)
	if !ok || n.phase != linkUp {
		return
	}
	r.nodes.Put(peer, n.withContact(now))
	if n.unanswered > 0 {
		r.nodes.SetDue(peer, now+pingAfter)
	} else {
		r.nodes.SetDue(peer, table.Never)
	}
}

// checkLinks pings dispatchers with overdue requests. A dispatcher without a pong in time becomes suspect and its reads are
// reassigned; later its link is closed.
func checkLinks(r *Relay, now time.Duration) {
	for _, k := range r.nodes.TakeDue(now) {
		n, _ := r.nodes.Get(k)
		switch {
		case n.phase != linkUp || n.unanswered == 0 && n.pingedAt == 0:
		case n.pingedAt == 0 && now < max(n.lastContact, n.unansweredSince)+pingAfter:
			r.nodes.SetDue(k, max(n.lastContact, n.unansweredSince)+pingAfter)
		case n.pingedAt == 0:
			r.nodes.Put(k, n.withPing(now))
			r.nodes.SetDue(k, now+pongTimeout)
			r.actions = append(r.actions, Ping{Peer: k})
		case now >= n.pingedAt+disconnectAfter:
			r.actions = append(r.actions, Disconnect{Peer: k})
			r.linkLost(now, k)
		default:
			r.nodes.Put(k, n.withSuspicion())
			r.nodes.SetDue(k, n.pingedAt+disconnectAfter)
			r.reassignReads(now, k)
		}
	}
}

// reassignReads requeues the unanswered reads of a suspect dispatcher for other dispatchers. A late answer to them is discarded.
func (r *Relay) reassignReads(now time.Duration, peer string) {
	for _, id := range r.requests.Keys() {
		s, _ := r.sessions.Get(id)
		if q, _ := r.requests.Get(id); q.peer == peer && s.peer == "" && q.statement.Kind == caller.KindRead && q.attempts < maxAttempts {
			r.stats.Resent++
			r.actions = append(r.actions, Abandon{Peer: peer, Session: id})
			n, _ := r.nodes.Get(peer)
			r.nodes.Put(peer, n.withAnswer())
			r.requeue(now, q.withAttemptLost())
		}
	}
}

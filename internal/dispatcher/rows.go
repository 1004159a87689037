package dispatcher

import (
	"maps"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

// group is the row of a database group that other nodes serve. The field peers lists these nodes in order of preference.
type group struct {
	peers []string
	// declinedUntil is the end of the back-off of each node that declined a request of the group.
	declinedUntil map[string]time.Duration
	// unreachableSince is when a request first found none of the nodes usable, zero while one is usable.
	unreachableSince time.Duration
}

// withUnreachableSince returns the row of a group that has had no usable node since the given time, or has one if it is zero.
func (g group) withUnreachableSince(since time.Duration) group {
	g.unreachableSince = since
	return g
}

// withDeclined returns the row after a node declined a request.
func (g group) withDeclined(peer string, until time.Duration) group {
	next := map[string]time.Duration{}
	maps.Copy(next, g.declinedUntil)
	next[peer] = until
	g.declinedUntil = next
	return g
}

// linkPhase is the state of the link to a dispatcher.
type linkPhase uint8

const (
	linkDown linkPhase = iota
	linkOpening
	linkUp
)

// node is the row of one dispatcher.
type node struct {
	address string
	phase   linkPhase
	// reconnectAt is the earliest time to open a failed link again, failures the number of consecutive failures.
	reconnectAt time.Duration
	failures    int
	// unanswered counts the requests without an answer. unansweredSince is when the count last rose from zero.
	unanswered      int
	unansweredSince time.Duration
	// lastContact is when the last message arrived. pingedAt is when the node was pinged, zero if not since lastContact.
	lastContact time.Duration
	pingedAt    time.Duration
	// suspect marks a node whose pong is overdue, draining one that accepts no new transactions.
	suspect  bool
	draining bool
}

// withOpening returns the row of a node whose link is being opened.
func (n node) withOpening() node {
	n.phase = linkOpening
	return n
}

// withUp returns the row of a node whose link is open.
func (n node) withUp(now time.Duration) node {
	return node{address: n.address, phase: linkUp, lastContact: now}
}

// withDown returns the row of a node whose link was lost and may be opened again at the given time.
func (n node) withDown(reconnectAt time.Duration) node {
	return node{address: n.address, reconnectAt: reconnectAt, failures: n.failures + 1}
}

// withRequest returns the row after a request was forwarded.
func (n node) withRequest(now time.Duration) node {
	if n.unanswered == 0 {
		n.unansweredSince = now
	}
	n.unanswered++
	return n
}

// withAnswer returns the row after a request was answered or abandoned.
func (n node) withAnswer() node {
	n.unanswered = max(0, n.unanswered-1)
	return n
}

// withContact returns the row after a message from the node.
func (n node) withContact(now time.Duration) node {
	n.lastContact, n.pingedAt, n.suspect = now, 0, false
	return n
}

// withPing returns the row after a ping was sent.
func (n node) withPing(now time.Duration) node {
	n.pingedAt = now
	return n
}

// withSuspicion returns the row of a node that gets no new requests because its pong is overdue.
func (n node) withSuspicion() node {
	n.suspect = true
	return n
}

// withDraining returns the row of a node that accepts no new transactions.
func (n node) withDraining() node {
	n.draining = true
	return n
}

// usable reports whether the node may get requests outside of its open transactions.
func (n node) usable() bool {
	return n.phase == linkUp && !n.suspect && !n.draining
}

// callerSession is the row of a caller's session on this node.
type callerSession struct {
	group string
	floor session.Position
	// peer is the dispatcher that runs the session's open transaction, "" outside of one.
	peer string
	// writeSent reports whether the open transaction has sent a write. transactionFailed marks a lost transaction that the caller
	// has not ended yet.
	writeSent         bool
	transactionFailed bool
}

// withFloor returns the row with a floor of at least p.
func (s callerSession) withFloor(p session.Position) callerSession {
	s.floor = s.floor.Max(p)
	return s
}

// withTransaction returns the row with a transaction open at a dispatcher, or with none.
func (s callerSession) withTransaction(peer string) callerSession {
	s.peer, s.transactionFailed = peer, false
	s.writeSent = s.writeSent && peer != ""
	return s
}

// withWriteSent returns the row after the transaction sent a write.
func (s callerSession) withWriteSent() callerSession {
	s.writeSent = true
	return s
}

// withTransactionFailed returns the row after its transaction was lost.
func (s callerSession) withTransactionFailed() callerSession {
	s.peer, s.writeSent, s.transactionFailed = "", false, true
	return s
}

// request is the row of a session's pending request, of which there is at most one. The field peer is "" while the request is
// queued.
type request struct {
	session       caller.SessionID
	seq           uint64
	statement     caller.Statement
	arrived       time.Duration
	queueDeadline time.Duration
	deadline      time.Duration
	peer          string
	// avoid is the dispatcher that failed or declined the last attempt.
	avoid    string
	attempts int
	// mayHaveRun marks a request with an abandoned attempt that may have run.
	mayHaveRun bool
	traced     bool
}

// withPeer returns the row after the request was forwarded to a dispatcher.
func (r request) withPeer(peer string) request {
	r.peer = peer
	r.attempts++
	return r
}

// withDeclined returns the row for another attempt after the dispatcher declined this one.
func (r request) withDeclined() request {
	r.avoid, r.peer = r.peer, ""
	r.attempts--
	return r
}

// withAttemptLost returns the row for another attempt after the dispatcher did not answer this one.
func (r request) withAttemptLost() request {
	r.mayHaveRun = true
	r.avoid, r.peer = r.peer, ""
	return r
}

// refusal returns the refusal of a request without a usable dispatcher. It reports the request as not run only if no attempt may
// have run.
func (r request) refusal() caller.Refusal {
	if r.mayHaveRun {
		return caller.Refusal{
			Reason: caller.ReasonInterrupted, Retry: retryHint, Detail: "the nodes that were asked do not answer",
		}
	}
	return caller.Refusal{
		Reason: caller.ReasonNoPrimary, Retry: retryHint, Detail: "no node that serves the database can be reached",
	}
}

package dispatcher

import (
	"maps"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

// group is the row of a database group that other nodes serve; peers are those nodes, the preferred one first.
type group struct {
	peers []string
	// declined is until when a node that has declined a request of the group is left alone.
	declined map[string]time.Duration
	// unreachable is since when a request has found none of the nodes usable, zero while one is.
	unreachable time.Duration
}

// withUnreachable returns the row of a group that has no usable node since a moment, or for zero has one.
func (g group) withUnreachable(since time.Duration) group {
	g.unreachable = since
	return g
}

// withDeclined returns the row after a node declined a request.
func (g group) withDeclined(peer string, until time.Duration) group {
	next := map[string]time.Duration{}
	maps.Copy(next, g.declined)
	next[peer] = until
	g.declined = next
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
	// retry is when a link that failed may be opened again, failures how often in a row it could not.
	retry    time.Duration
	failures int
	// waiting counts the requests that it was given and has not answered, since is when the oldest stretch of them began.
	waiting int
	since   time.Duration
	// heard is when it last said anything, asked when it was asked for a sign of life, zero for not since then.
	heard time.Duration
	asked time.Duration
	// doubtful is a node that has not given that sign in time, leaving one that takes no new transactions.
	doubtful bool
	leaving  bool
}

// withOpening returns the row of a node that is being connected to.
func (n node) withOpening() node {
	n.phase = linkOpening
	return n
}

// withUp returns the row of a node that is connected.
func (n node) withUp(now time.Duration) node {
	return node{address: n.address, phase: linkUp, heard: now}
}

// withDown returns the row of a node whose link is gone until it may be opened again.
func (n node) withDown(retry time.Duration) node {
	return node{address: n.address, retry: retry, failures: n.failures + 1}
}

// withRequest returns the row after one more request was handed over.
func (n node) withRequest(now time.Duration) node {
	if n.waiting == 0 {
		n.since = now
	}
	n.waiting++
	return n
}

// withAnswer returns the row after one request less waits for an answer.
func (n node) withAnswer() node {
	n.waiting = max(0, n.waiting-1)
	return n
}

// withHeard returns the row after a sign of life.
func (n node) withHeard(now time.Duration) node {
	n.heard, n.asked, n.doubtful = now, 0, false
	return n
}

// withAsked returns the row after the question for a sign of life.
func (n node) withAsked(now time.Duration) node {
	n.asked = now
	return n
}

// withDoubt returns the row of a node that is not to be given more.
func (n node) withDoubt() node {
	n.doubtful = true
	return n
}

// withLeaving returns the row of a node that takes no new transactions.
func (n node) withLeaving() node {
	n.leaving = true
	return n
}

// usable reports whether new requests may go to the node.
func (n node) usable() bool {
	return n.phase == linkUp && !n.doubtful && !n.leaving
}

// callerSession is the row of a caller's session on this node.
type callerSession struct {
	group string
	floor session.Position
	// peer is the dispatcher that runs the session's open transaction, "" outside of one.
	peer string
	// wrote says that the transaction has sent a write, lost that it is gone and its caller has not been told.
	wrote bool
	lost  bool
}

// withFloor returns the row of a session that has been told of work up to p.
func (s callerSession) withFloor(p session.Position) callerSession {
	s.floor = s.floor.Max(p)
	return s
}

// withTransaction returns the row with a transaction open at a dispatcher, or with none.
func (s callerSession) withTransaction(peer string) callerSession {
	s.peer, s.lost = peer, false
	s.wrote = s.wrote && peer != ""
	return s
}

// withWrite returns the row after a write was sent in its transaction.
func (s callerSession) withWrite() callerSession {
	s.wrote = true
	return s
}

// withLost returns the row whose transaction is gone.
func (s callerSession) withLost() callerSession {
	s.peer, s.wrote, s.lost = "", false, true
	return s
}

// request is the row of the one request of a session that is under way; peer is "" while it waits for a dispatcher.
type request struct {
	session   caller.SessionID
	seq       uint64
	statement caller.Statement
	arrived   time.Duration
	patience  time.Duration
	deadline  time.Duration
	peer      string
	// avoid is the dispatcher that failed or declined the last attempt.
	avoid    string
	attempts int
	// ran says that an attempt was given up which may have run.
	ran    bool
	traced bool
}

// withPeer returns the row handed to a dispatcher.
func (r request) withPeer(peer string) request {
	r.peer = peer
	r.attempts++
	return r
}

// withDeclined returns the row to be handed to another dispatcher, since this one did not take it.
func (r request) withDeclined() request {
	r.avoid, r.peer = r.peer, ""
	r.attempts--
	return r
}

// withLost returns the row to be handed to another dispatcher, since this one does not answer.
func (r request) withLost() request {
	r.ran = true
	r.avoid, r.peer = r.peer, ""
	return r
}

// unplaced is the refusal of a request that no dispatcher is left for; one that may have run does not count as not run.
func (r request) unplaced() caller.Refusal {
	if r.ran {
		return caller.Refusal{Reason: caller.ReasonInterrupted, Retry: retryHint, Detail: "the nodes that were asked do not answer"}
	}
	return caller.Refusal{
		Reason: caller.ReasonNoPrimary, Retry: retryHint, Detail: "no node that serves the database can be reached",
	}
}

package fleet

import (
	"slices"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/tenant"
	"buckthornport.example/buckthornport/platform"
)

const (
	// drainIdleFraction is the part of the grace period over which idle sessions are closed. Spreading the closes keeps callers
	// from reconnecting all at once.
	drainIdleFraction = 0.4
	// drainTransactionFraction is the part of the grace period in which open transactions may end. After it, no request is passed on
	// to a server, so that those which run have the rest of the period to end.
	drainTransactionFraction = 0.5
	// drainDeadlineFraction is the part of the grace period after which requests that still run are answered without their result.
	drainDeadlineFraction = 0.9
	// drainEndFraction is the part of the grace period in which these answers must have been written.
	drainEndFraction = 0.95
	// drainInterval is the time between two rounds of closing sessions.
	drainInterval = 50 * time.Millisecond
	// drainAnswerInterval is the time between two checks whether the last answers were written.
	drainAnswerInterval = 5 * time.Millisecond
)

// Drain makes the node unready, so that the platform sends no new callers, closes sessions between their transactions, and stops
// the node within the grace period of its settings. Each request that the node has read is answered before.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.thread.Post(peer.DrainStarted{})
	n.replaceLimitMembers()
	n.notifyDraining()
	grace := time.Duration(n.grace.Load())
	started := n.clock()
	at := func(fraction float64) time.Duration { return started + time.Duration(fraction*float64(grace)) }
	n.writeAuditRecord(operator.Record{Kind: operator.KindDrain, Cause: "begun"}.
		WithEvidence("sessions", strconv.Itoa(n.listener.SessionCount())).WithEvidence("grace", grace.String()))
	n.closeIdleSessions(at(drainIdleFraction), at(drainTransactionFraction))
	n.refuseRequests()
	n.closeIdleSessions(n.clock(), at(drainDeadlineFraction))
	waiting := n.answerRequests(at(drainEndFraction))
	n.writeAuditRecord(operator.Record{Kind: operator.KindDrain, Cause: "finished"}.
		WithEvidence("cut_off", strconv.Itoa(n.listener.SessionCount())).WithEvidence("unanswered", strconv.Itoa(waiting)))
	n.stop()
}

// closeIdleSessions closes idle sessions, spread evenly over the time until spreadUntil, and later ones at once. It returns at the
// given end, or from spreadUntil on once no session is left.
func (n *Node) closeIdleSessions(spreadUntil, end time.Duration) {
	for n.ctx.Err() == nil && n.clock() < end {
		ss := n.listener.Sessions()
		if len(ss) == 0 && n.clock() > spreadUntil {
			return
		}
		stepsLeft := max(1, int((spreadUntil-n.clock())/drainInterval))
		for _, s := range ss[:(len(ss)+stepsLeft-1)/stepsLeft] {
			s.CloseWhenIdle()
		}
		n.sleep(drainInterval)
	}
}

// refuseRequests has new sessions and requests refused from now on, also those of open transactions.
func (n *Node) refuseRequests() {
	n.listener.RefuseSessions()
	n.postToTraffic(caller.DrainStarted{})
	n.postToTraffic(caller.DrainTransactions{})
}

// answerRequests has all requests answered that still run, and waits until the answers are written or the given time is reached. It
// returns the number of requests that remain without an answer.
func (n *Node) answerRequests(end time.Duration) int {
	n.postToTraffic(caller.DrainDeadline{})
	for {
		ss := n.listener.Sessions()
		waiting := len(slices.DeleteFunc(ss, func(s *platform.Session) bool { return !s.IsWaiting() }))
		if waiting == 0 || n.ctx.Err() != nil || n.clock() >= end {
			return waiting
		}
		n.sleep(drainAnswerInterval)
	}
}

// postToTraffic hands an event to all lanes and to the relay, and has the operations refused that wait for their tenants' limits.
func (n *Node) postToTraffic(e caller.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lanes {
		l.Post(e)
	}
	n.relay.Post(e)
	if _, ok := e.(caller.DrainStarted); ok {
		n.postLimitEvent(tenant.DrainStarted{})
	}
}

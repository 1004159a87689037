package fleet

import (
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
)

const (
	// drainIdleFraction is the part of the grace period over which idle sessions are closed. Spreading the closes keeps callers
	// from reconnecting all at once.
	drainIdleFraction = 0.4
	// drainRefuseFraction is the part of the grace period after which queued requests are refused.
	drainRefuseFraction = 0.7
	// drainEndFraction is the part of the grace period after which the remaining sessions are cut off, with their open transactions.
	drainEndFraction = 0.9
	// drainInterval is the time between two rounds of closing sessions.
	drainInterval = 50 * time.Millisecond
)

// Drain makes the node unready, so that the platform sends no new callers, closes sessions between their transactions, and stops
// the node within the grace period of its settings.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.thread.Post(peer.DrainStarted{})
	n.notifyDraining()
	grace := time.Duration(n.grace.Load()) * time.Millisecond
	started := n.clock()
	n.writeAuditRecord(operator.Record{Kind: operator.KindDrain, Cause: "begun"}.
		WithEvidence("sessions", strconv.Itoa(n.listener.SessionCount())).WithEvidence("grace", grace.String()))
	refuseAt := started + time.Duration(drainRefuseFraction*float64(grace))
	idleClosedBy := started + time.Duration(drainIdleFraction*float64(grace))
	for n.ctx.Err() == nil && n.clock() < started+time.Duration(drainEndFraction*float64(grace)) {
		if refuseAt != 0 && n.clock() >= refuseAt {
			refuseAt = 0
			n.mu.Lock()
			for _, l := range n.lanes {
				l.Post(caller.DrainStarted{})
			}
			n.mu.Unlock()
		}
		ss := n.listener.Sessions()
		stepsLeft := max(1, int((idleClosedBy-n.clock())/drainInterval))
		for _, s := range ss[:(len(ss)+stepsLeft-1)/stepsLeft] {
			s.CloseWhenIdle()
		}
		if len(ss) == 0 && n.clock() > idleClosedBy {
			break
		}
		n.sleep(drainInterval)
	}
	n.writeAuditRecord(operator.Record{Kind: operator.KindDrain, Cause: "finished"}.
		WithEvidence("cut_off", strconv.Itoa(n.listener.SessionCount())))
	n.stop()
}

package fleet

import (
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
)

const (
	// drainSpread is the part of the grace over which idle sessions are closed, so that their callers do not all return at
	// once; transactions go on until drainEnd.
	drainSpread = 0.4
	// drainRefuse is when requests that still wait for a server are sent away, drainEnd when the rest is cut off.
	drainRefuse = 0.7
	drainEnd    = 0.9
	drainPoll   = 50 * time.Millisecond
)

// Drain has the platform send no more callers, closes sessions between their transactions, and stops the node.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.thread.Post(peer.LeaveBegun{})
	n.tellLeaving()
	grace := time.Duration(n.grace.Load()) * time.Millisecond
	begun := n.clock()
	n.keep(operator.Record{Kind: operator.KindDrain, Cause: "begun"}.
		WithEvidence("sessions", strconv.Itoa(n.front.Open())).WithEvidence("grace", grace.String()))
	refuse := begun + time.Duration(drainRefuse*float64(grace))
	spread := begun + time.Duration(drainSpread*float64(grace))
	for n.ctx.Err() == nil && n.clock() < begun+time.Duration(drainEnd*float64(grace)) {
		if refuse != 0 && n.clock() >= refuse {
			refuse = 0
			n.mu.Lock()
			for _, l := range n.lanes {
				l.Post(caller.DrainStarted{})
			}
			n.mu.Unlock()
		}
		ss := n.front.Sessions()
		left := max(1, int((spread-n.clock())/drainPoll))
		for _, s := range ss[:(len(ss)+left-1)/left] {
			s.End()
		}
		if len(ss) == 0 && n.clock() > spread {
			break
		}
		n.sleep(drainPoll)
	}
	n.keep(operator.Record{Kind: operator.KindDrain, Cause: "finished"}.WithEvidence("cut_off", strconv.Itoa(n.front.Open())))
	n.stop()
}

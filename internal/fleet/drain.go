package fleet

import (
	"time"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/peer"
)

const (
	// drainSpread is the part of the grace over which idle sessions are closed, so that their callers do not all return at
	// once; transactions have half of it to end.
	drainSpread = 0.4
	drainEnd    = 0.8
	drainPoll   = 50 * time.Millisecond
)

// Drain has the platform send no more callers, closes sessions between their transactions, and stops the node.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.thread.Post(peer.LeaveBegun{})
	grace := time.Duration(n.grace.Load()) * time.Millisecond
	begun := n.clock()
	n.log.Info("drain", zap.Int("sessions", n.front.Open()), zap.Duration("grace", grace))
	spread := begun + time.Duration(drainSpread*float64(grace))
	for n.ctx.Err() == nil && n.clock() < begun+time.Duration(drainEnd*float64(grace)) {
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
	n.log.Info("drained", zap.Int("cut_off", n.front.Open()))
	n.stop()
}

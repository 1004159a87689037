package fleet

import (
	"time"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/operator"
)

// keep logs a record, unless there were too many of its kind; it may be called from any goroutine.
func (n *Node) keep(r operator.Record) {
	now := n.clock()
	if r.Node == "" {
		r = r.WithOrigin(n.settings.Node, now, n.wall(now))
	}
	n.failovers.Observe(r)
	if n.limiter.Admit(now, r) {
		n.log.Info("audit", zap.Any("record", r))
	}
	if left, ok := n.limiter.SuppressedSummary(now); ok {
		n.log.Info("audit", zap.Any("record", left.WithOrigin(n.settings.Node, now, n.wall(now))))
	}
}

// depend records that something the node cannot do without was lost or is back.
func (n *Node) depend(what, cause string, err error) {
	r := operator.Record{Kind: operator.KindDependency, Server: what, Cause: cause}
	if err != nil {
		r = r.WithEvidence("error", err.Error())
	}
	n.keep(r)
}

func (n *Node) wall(elapsed time.Duration) time.Time {
	return n.start.Add(elapsed).UTC()
}

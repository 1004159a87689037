package fleet

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
)

// writeAuditRecord logs a record unless the rate limit of its kind and cause is reached. It is safe for concurrent use.
func (n *Node) writeAuditRecord(r operator.Record) {
	now := n.clock()
	if r.Node == "" {
		r = r.WithOrigin(n.settings.Node, now, n.wallTime(now))
	}
	n.failovers.Observe(r)
	if n.limiter.Admit(now, r) {
		n.log.Info("audit", zap.Any("record", r))
	}
	if summary, ok := n.limiter.SuppressedSummary(now); ok {
		n.log.Info("audit", zap.Any("record", summary.WithOrigin(n.settings.Node, now, n.wallTime(now))))
	}
}

// auditDependency writes an audit record about a dependency that failed or works again; err may be nil.
func (n *Node) auditDependency(dependency, cause string, err error) {
	r := operator.Record{Kind: operator.KindDependency, Server: dependency, Cause: cause}
	if err != nil {
		r = r.WithEvidence("error", err.Error())
	}
	n.writeAuditRecord(r)
}

// changeEra passes a new era of the store on to the control thread. It writes an audit record when the store has come back from a
// copy that lacks its last changes.
func (n *Node) changeEra(previous, era uint64) {
	n.thread.Post(upstream.StoreEraObserved{Era: era})
	if previous == 0 {
		return
	}
	select {
	case n.eraBegun <- struct{}{}:
	default:
	}
	n.writeAuditRecord(operator.Record{Kind: operator.KindDependency, Server: "store", Cause: "restored"}.
		WithEvidence("before", strconv.FormatUint(previous, 10)).WithEvidence("era", strconv.FormatUint(era, 10)))
}

func (n *Node) wallTime(elapsed time.Duration) time.Time {
	return n.start.Add(elapsed).UTC()
}

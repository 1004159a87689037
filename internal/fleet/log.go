package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/operator"
)

// traceOne is the share of requests, one in so many, whose way is logged although nothing went wrong. It is picked by the
// request's id, so that all nodes pick the same.
const traceOne = 32

// journal logs the records of a node within bounds.
type journal struct {
	log     *zap.Logger
	mu      sync.Mutex
	limiter *operator.Limiter
}

// traced reports whether a request's way is logged although nothing went wrong.
func traced(id string) bool {
	return xxhash.Sum64String(id)%traceOne == 0
}

// keep logs a record, unless there were too many of its kind; it may be called from any goroutine.
func (n *Node) keep(r operator.Record) {
	now := n.clock()
	if r.Node == "" {
		r = r.WithOrigin(n.settings.Node, now, n.start.Add(now).UTC())
	}
	n.journal.mu.Lock()
	ok := n.journal.limiter.Admit(now, r)
	left, told := n.journal.limiter.LeftOut(now)
	n.journal.mu.Unlock()
	if told {
		n.journal.log.Info("audit", zap.Any("record", left.WithOrigin(n.settings.Node, now, n.start.Add(now).UTC())))
	}
	if ok {
		n.journal.log.Info("audit", zap.Any("record", r))
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

// leftOut returns how many records the limiter has left out.
func (n *Node) leftOut() uint64 {
	n.journal.mu.Lock()
	defer n.journal.mu.Unlock()
	return n.journal.limiter.Total()
}

func (n *Node) wall(elapsed time.Duration) time.Time {
	return n.start.Add(elapsed).UTC()
}

package fleet

import (
	"cmp"
	"strconv"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/traffic"
)

// newBudget returns the limits of what the node's connections may hold.
func (n *Node) newBudget() *budget.Pool {
	limits := budget.NewLimits(n.settings.Memory(), cmp.Or(n.settings.MaxFDs, traffic.DescriptorLimit()))
	p := budget.NewPool(n.ctx, limits, n.clock)
	p.Report = n.auditClosedConn
	return p
}

// auditClosedConn writes an audit record about a connection that was refused or closed because it went beyond a limit.
func (n *Node) auditClosedConn(c budget.Class, a budget.Close) {
	n.writeAuditRecord(operator.Record{Kind: operator.KindConnection, Cause: string(a.Reason)}.
		WithEvidence("class", c.String()).WithEvidence("held_bytes", strconv.FormatInt(a.Held, 10)))
}

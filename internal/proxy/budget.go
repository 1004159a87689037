package proxy

import (
	"cmp"
	"strconv"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/traffic"
)

// grammarMemoryMB is the memory of the SQL grammar: a process with it was measured to start with 36 MB, and one without it with 17.
const grammarMemoryMB = 19

// newBudget returns the limits of what the node's connections may hold.
func (n *Node) newBudget() *budget.Pool {
	limits := budget.NewLimits(n.settings.Memory()-grammarMemoryMB, cmp.Or(n.settings.MaxFDs, traffic.DescriptorLimit()))
	p := budget.NewPool(n.ctx, limits, n.clock)
	p.Report = func(c budget.Class, a budget.Close) {
		n.writeLimitedRecord(operator.Record{Kind: operator.KindConnection, Cause: string(a.Reason)}.
			WithEvidence("class", c.String()).WithEvidence("held_bytes", strconv.FormatInt(a.Held, 10)))
	}
	return p
}

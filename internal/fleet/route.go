package fleet

import (
	"fmt"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
)

// lookUpRoute returns what asks about a request of a tenant to a database, by the active configuration.
func (n *Node) lookUpRoute(
	database, tenant string, st caller.Statement, _ []string,
) (func(reply func(caller.RouteExplanation)), error) {
	r := n.routes.Load()
	v, ok := r.routes[database]
	if !ok {
		return nil, fmt.Errorf("no database %q in configuration %d", database, r.bundle.Version)
	}
	t, known := r.bundle.Tenant(tenant)
	if r.bundle.KeysRequired && !v.Public && !known {
		return nil, fmt.Errorf("no tenant %q in configuration %d, and the route is not public", tenant, r.bundle.Version)
	}
	st.Class, st.Version, st.Tenant = v.Class, r.bundle.Version, t.Name
	return func(reply func(caller.RouteExplanation)) {
		withLimit := func(x caller.RouteExplanation) { reply(n.explainLimit(x, t.Name)) }
		if l, ok := n.laneFor(v.Group); ok {
			l.Post(caller.RouteQuestion{Statement: st, Reply: withLimit})
			return
		}
		n.relay.Post(dispatcher.RouteQuestion{Group: v.Group, Reply: withLimit})
	}, nil
}

// explainLimit adds what the limit of a tenant would do to a request at this node now.
func (n *Node) explainLimit(x caller.RouteExplanation, tenant string) caller.RouteExplanation {
	x.Tenant = tenant
	l := n.tenantLimits.Load()
	if l == nil {
		return x
	}
	l.mu.Lock()
	refused := l.limiter.RefusedFor(tenant, n.clock())
	l.mu.Unlock()
	if refused > 0 {
		x.Decision, x.Target = caller.DecisionRefuse, ""
		x.Why = fmt.Sprintf("the tenant has used up its limit; the next operation fits in %v", refused)
	}
	return x
}

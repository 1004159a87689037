package proxy

import (
	"fmt"

	"buckthornport.example/buckthornport/internal/caller"
)

// lookUpRoute returns what asks about a request for a database. Its class is that of a select or an insert with the given tables.
func (n *Node) lookUpRoute(
	database, tenant string, st caller.Statement, tables []string,
) (func(reply func(caller.RouteExplanation)), error) {
	l, ok := n.laneFor(database)
	if !ok {
		return nil, fmt.Errorf("no database %q in bundle %d", database, n.Bundle().Version)
	}
	if _, known := n.Bundle().Tenant(tenant); tenant != "" && !known {
		return nil, fmt.Errorf("no tenant %q in bundle %d", tenant, n.Bundle().Version)
	}
	verb := "select"
	if st.Kind == caller.KindWrite {
		verb = "insert"
	}
	st.Class, st.Version = n.listener.Classify(database, verb, tables)
	st.Tenant = tenant
	return func(reply func(caller.RouteExplanation)) { l.Post(caller.RouteQuestion{Statement: st, Reply: reply}) }, nil
}

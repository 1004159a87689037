package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
)

// routeTimeout bounds the wait for a lane or the relay to explain a route.
const routeTimeout = 2 * time.Second

// RouteLookup returns what asks the lane or the relay of a database about a request of a tenant, or an error if there is no such
// route. tables are those that the request names, on front ends that look at statements.
type RouteLookup func(
	database, tenant string, st caller.Statement, tables []string,
) (ask func(reply func(caller.RouteExplanation)), err error)

// RouteHandler serves GET /route, which explains as JSON where a request would go now, without sending it. Its parameters are
// database, kind (read, write, begin or begin-read), tenant and table.
func RouteHandler(lookup RouteLookup) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		v := q.URL.Query()
		st, err := routeStatement(v.Get("kind"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ask, err := lookup(v.Get("database"), v.Get("tenant"), st, v["table"])
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		ctx, stop := context.WithTimeout(q.Context(), routeTimeout)
		defer stop()
		answer := make(chan caller.RouteExplanation, 1)
		ask(func(x caller.RouteExplanation) { answer <- x })
		select {
		case x := <-answer:
			w.Header().Set("Content-Type", "application/json")
			// A failed write means that the requester has disconnected, which needs no handling.
			_ = json.NewEncoder(w).Encode(x)
		case <-ctx.Done():
			http.Error(w, "no answer in time", http.StatusServiceUnavailable)
		}
	}
}

// routeStatement returns the statement for a kind of request.
func routeStatement(kind string) (caller.Statement, error) {
	switch kind {
	case "", "read":
		return caller.Statement{Kind: caller.KindRead}, nil
	case "write":
		return caller.Statement{Kind: caller.KindWrite}, nil
	case "begin":
		return caller.Statement{Kind: caller.KindBegin}, nil
	case "begin-read":
		return caller.Statement{Kind: caller.KindBegin, ReadOnly: true}, nil
	default:
		return caller.Statement{}, fmt.Errorf("unknown kind %q, want read, write, begin or begin-read", kind)
	}
}

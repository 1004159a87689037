package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"buckthornport.example/buckthornport/internal/caller"
)

type routeCommand struct {
	Status   string   `arg:"" help:"Status address of the node that the request would arrive at, IP:PORT."`
	Database string   `arg:"" help:"Database of the request."`
	Kind     string   `default:"read" enum:"read,write,begin,begin-read" help:"Kind of the request: ${enum}."`
	Tenant   string   `help:"Name of the tenant that the request belongs to. Keys are never asked for."`
	Table    []string `help:"Tables that the request names, in front of PostgreSQL."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

// Run prints where the request would go now, and why. The request is not sent.
func (c routeCommand) Run(env *environment) error {
	q := url.Values{"database": {c.Database}, "kind": {c.Kind}, "tenant": {c.Tenant}, "table": c.Table}
	body, err := fetch(env.ctx, c.Status, "/route?"+q.Encode())
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := os.Stdout.Write(body)
		return err
	}
	var x caller.RouteExplanation
	if err := json.Unmarshal(body, &x); err != nil {
		return trace.Wrap(err, "answer of %s", c.Status)
	}
	return printRoute(os.Stdout, x)
}

// printRoute prints an explanation as sentences and a table.
func printRoute(out io.Writer, x caller.RouteExplanation) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	decision := x.Decision
	if x.Target != "" {
		decision += " to " + x.Target
	}
	_, _ = fmt.Fprintf(w, "group %s: %s, because %s\n", x.Group, decision, x.Why)
	if x.Queue != "" {
		_, _ = fmt.Fprintf(w, "queue %s: %d requests before it, expected wait %.0f ms, at most %.0f ms\n", x.Queue, x.Ahead,
			x.ExpectedWaitMS, x.PatienceMS)
	}
	if len(x.Servers) > 0 {
		_, _ = fmt.Fprintln(w, "rank\tserver\trole\tzone\tfree slots\trunning\tidle/open/limit of connections\tmean answer\twhy")
	}
	for _, s := range x.Servers {
		rank := "-"
		if s.Rank > 0 {
			rank = fmt.Sprint(s.Rank)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d/%d/%d\t%.0f ms\t%s\n", rank, s.Server, s.Role, s.Zone, s.FreeSlots, s.Running,
			s.IdleConns, s.OpenConns, s.ConnLimit, s.MeanTimeMS, s.Why)
	}
	for _, n := range x.Nodes {
		_, _ = fmt.Fprintf(w, "node %s:\t%s\n", n.Node, n.Why)
	}
	return w.Flush()
}

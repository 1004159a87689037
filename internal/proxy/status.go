package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"slices"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/traffic"
)

// Status is the content of a node's status page.
type Status struct {
	Node                string             `json:"node"`
	Zone                string             `json:"zone"`
	BundleVersion       uint64             `json:"bundle_version"`
	UptimeMS            int64              `json:"uptime_ms"`
	Callers             int64              `json:"callers"`
	ConnectionsAccepted int64              `json:"accepted"`
	ConnectionsRejected int64              `json:"rejected"`
	Members             []string           `json:"members"`
	PeerBytesSent       int64              `json:"peer_bytes_sent"`
	PeerMessagesDropped int64              `json:"peer_messages_dropped"`
	Lanes               []traffic.Snapshot `json:"lanes"`
}

// Status returns a snapshot of the node's status.
func (n *Node) Status() Status {
	ls := n.listener.Stats()
	s := Status{
		Node: n.settings.Node, Zone: n.settings.Zone, BundleVersion: n.Bundle().Version,
		UptimeMS: n.clock().Milliseconds(), Callers: ls.OpenSessions.Load(), ConnectionsAccepted: ls.Accepted.Load(),
		ConnectionsRejected: ls.Rejected.Load(),
	}
	s.PeerBytesSent, s.PeerMessagesDropped = n.link.Counts()
	n.mu.Lock()
	s.Members = n.members
	n.mu.Unlock()
	for _, l := range n.allLanes() {
		s.Lanes = append(s.Lanes, l.Snapshot())
	}
	slices.SortFunc(s.Lanes, func(a, b traffic.Snapshot) int {
		if a.Database < b.Database {
			return -1
		}
		return 1
	})
	return s
}

// statusServer listens on the status address, and returns the functions that run and stop the server.
func (n *Node) statusServer() (serve func() error, stop func(error), err error) {
	l, err := net.Listen("tcp", n.settings.Status)
	if err != nil {
		return nil, nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", metrics.ContentType)
		n.writeMetrics(w)
	})
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) { writeRecords(w, n.Records()) })
	mux.HandleFunc("GET /route", traffic.RouteHandler(n.lookUpRoute))
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.debugVars()) })
	srv := traffic.NewHTTPServer(mux)
	serve = func() error {
		if err := srv.Serve(traffic.LimitListener(l, n.budget, budget.HTTP, nil)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	return serve, func(error) { _ = srv.Shutdown(context.Background()) }, nil
}

// debugVars returns the variables of expvar together with this node's status. The status is not published through expvar, because
// expvar is shared by all nodes in a process.
func (n *Node) debugVars() map[string]any {
	all := map[string]any{"buckthornport": n.Status()}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	return all
}

// zoneOf returns the zone of a server of the active bundle, or "" if the bundle does not contain the server.
func (n *Node) zoneOf(server string) string {
	for _, g := range n.Bundle().Groups {
		for _, s := range g.Servers {
			if s.Name == server {
				return s.Zone
			}
		}
	}
	return ""
}

// distance returns the distance of a zone from the node's own zone.
func (n *Node) distance(zone string) metrics.Distance {
	b := n.Bundle()
	return metrics.DistanceBetween(n.settings.Zone, b.Zones.Region(n.settings.Zone), zone, b.Zones.Region(zone))
}

// writeMetrics writes the node's metrics in the text format that common scrapers read.
func (n *Node) writeMetrics(w io.Writer) {
	s := n.Status()
	t := metrics.NewTextWriter(w, s.Node)
	t.Line("config_version", s.BundleVersion)
	t.Line("sessions", s.Callers)
	t.Line("connections_accepted_total", s.ConnectionsAccepted)
	t.Line("connections_rejected_total", s.ConnectionsRejected)
	t.Line("members", len(s.Members))
	t.Line("peer_messages_dropped_total", s.PeerMessagesDropped)
	t.Bytes("server", &n.serverBytes)
	t.BytesSent("node", &n.peerBytes)
	traffic.WriteBudgetMetrics(t, n.budget)
	n.failovers.Write(t)
	for _, l := range s.Lanes {
		l.WriteMetrics(t)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeRecords(w http.ResponseWriter, rs []operator.Record) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	e := json.NewEncoder(w)
	for _, r := range rs {
		_ = e.Encode(r)
	}
}

package fleet

import (
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"slices"

	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/traffic"
)

// Status is the state that a node reports on its status address.
type Status struct {
	Node                 string             `json:"node"`
	Zone                 string             `json:"zone"`
	Ready                bool               `json:"ready"`
	ConfigVersion        uint64             `json:"config_version"`
	UptimeMS             int64              `json:"uptime_ms"`
	Sessions             int                `json:"sessions"`
	ConnectionsAccepted  int64              `json:"accepted"`
	ConnectionsRejected  int64              `json:"rejected"`
	Members              []string           `json:"members"`
	PeerBytesSent        int64              `json:"peer_bytes_sent"`
	PeerMessagesDropped  int64              `json:"peer_messages_dropped"`
	StoreCalls           int64              `json:"store_calls"`
	StoreCallsFailed     int64              `json:"store_calls_failed"`
	StoreBytesReceived   int64              `json:"store_bytes_received"`
	StoreEra             uint64             `json:"store_era"`
	LogRecordsSuppressed uint64             `json:"log_records_left_out"`
	LogLinesDropped      uint64             `json:"log_lines_dropped"`
	Panics               int64              `json:"panics"`
	Lanes                []traffic.Snapshot `json:"lanes"`
	// Relay counts the requests for groups that other nodes serve, RelayLinks the open links to these nodes.
	Relay      dispatcher.Stats `json:"relay"`
	RelayLinks int              `json:"relay_links"`
}

// Status returns a snapshot of the node's state.
func (n *Node) Status() Status {
	s := Status{
		Node: n.settings.Node, Zone: n.settings.Zone, Ready: n.Ready(), ConfigVersion: n.routes.Load().bundle.Version,
		UptimeMS: n.clock().Milliseconds(), Sessions: n.listener.SessionCount(), ConnectionsAccepted: n.listener.Stats().Accepted.Load(),
		ConnectionsRejected: n.listener.Stats().Rejected.Load(), LogRecordsSuppressed: n.limiter.TotalSuppressed(),
		LogLinesDropped: n.droppedLogLines(), StoreBytesReceived: n.store.BytesReceived(),
		StoreEra: n.store.Era(), Panics: n.panics.Load(),
	}
	s.PeerBytesSent, s.PeerMessagesDropped = n.link.Counts()
	s.StoreCalls, s.StoreCallsFailed = n.store.Counts()
	s.Relay, s.RelayLinks = n.relay.Stats()
	n.mu.Lock()
	for _, u := range n.members {
		s.Members = append(s.Members, u.Name)
	}
	lanes := make([]*traffic.Lane, 0, len(n.lanes))
	for _, l := range n.lanes {
		lanes = append(lanes, l)
	}
	n.mu.Unlock()
	for _, l := range lanes {
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

// serveStatus serves the metrics as text, the status as JSON, and the process's expvar variables.
func (n *Node) serveStatus(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", metrics.ContentType)
		n.writeMetrics(w)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET /route", traffic.RouteHandler(n.lookUpRoute))
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]any{"buckthornport": n.Status()}
		expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
		writeJSON(w, all)
	})
	if err := traffic.NewHTTPServer(mux).Serve(l); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the requester has disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(v)
}

// writeMetrics writes counters, gauges and histograms in the Prometheus text format.
func (n *Node) writeMetrics(w io.Writer) {
	s := n.Status()
	t := metrics.NewTextWriter(w, s.Node)
	ready := 0
	if s.Ready {
		ready = 1
	}
	t.Line("ready", ready)
	t.Line("config_version", s.ConfigVersion)
	t.Line("sessions", s.Sessions)
	t.Line("connections_accepted_total", s.ConnectionsAccepted)
	t.Line("connections_rejected_total", s.ConnectionsRejected)
	t.Line("members", len(s.Members))
	t.Line("member_lists_total", n.memberLists.Load())
	t.Line("member_changes_total", n.memberChanges.Load())
	t.Line("peer_messages_dropped_total", s.PeerMessagesDropped)
	t.Line("store_calls_total", s.StoreCalls)
	t.Line("store_calls_failed_total", s.StoreCallsFailed)
	t.Line("store_bytes_received_total", s.StoreBytesReceived)
	t.Line("store_era", s.StoreEra)
	t.Line("log_records_left_out_total", s.LogRecordsSuppressed)
	t.Line("log_lines_dropped_total", s.LogLinesDropped)
	t.Bytes("server", &n.serverBytes)
	t.BytesSent("node", &n.peerBytes)
	t.Purposes(&n.purposes)
	traffic.WriteBudgetMetrics(t, n.budget)
	n.failovers.Write(t)
	writeRelayMetrics(t, s)
	n.writeLimitMetrics(t)
	for _, l := range s.Lanes {
		l.WriteMetrics(t)
	}
}

// writeRelayMetrics writes the results of the requests for groups that other nodes serve.
func writeRelayMetrics(t metrics.TextWriter, s Status) {
	for _, k := range []struct {
		outcome string
		value   uint64
	}{
		{"asked", s.Relay.Requests},
		{"answered", s.Relay.Answered},
		{"refused", s.Relay.Refused},
		{"unknown", s.Relay.Unknown},
		{"sent_again", s.Relay.Resent},
		{"declined", s.Relay.Declined},
		{"stray", s.Relay.Stray},
	} {
		t.Line("relayed_requests_total", k.value, "outcome", k.outcome)
	}
	t.Line("dispatcher_links", s.RelayLinks)
	t.Line("dispatcher_links_lost_total", s.Relay.LinksLost)
}

package fleet

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/traffic"
)

// Status is what a node says about itself on its status address.
type Status struct {
	Node          string             `json:"node"`
	Zone          string             `json:"zone"`
	Ready         bool               `json:"ready"`
	ConfigVersion uint64             `json:"config_version"`
	UptimeMS      int64              `json:"uptime_ms"`
	Sessions      int                `json:"sessions"`
	Accepted      int64              `json:"accepted"`
	Rejected      int64              `json:"rejected"`
	Members       []string           `json:"members"`
	PeerBytes     int64              `json:"peer_bytes_sent"`
	PeerDropped   int64              `json:"peer_messages_dropped"`
	StoreCalls    int64              `json:"store_calls"`
	StoreFailed   int64              `json:"store_calls_failed"`
	LogLeftOut    uint64             `json:"log_records_left_out"`
	LogDropped    uint64             `json:"log_lines_dropped"`
	Lanes         []traffic.Snapshot `json:"lanes"`
}

// Status returns the node's picture of itself.
func (n *Node) Status() Status {
	s := Status{
		Node: n.settings.Node, Zone: n.settings.Zone, Ready: n.Ready(), ConfigVersion: n.routes.Load().bundle.Version,
		UptimeMS: n.clock().Milliseconds(), Sessions: n.front.Open(), Accepted: n.front.Stats().Accepted.Load(),
		Rejected: n.front.Stats().Rejected.Load(), LogLeftOut: n.limiter.Total(), LogDropped: n.logDropped(),
	}
	s.PeerBytes, s.PeerDropped = n.link.Counts()
	s.StoreCalls, s.StoreFailed = n.store.Counts()
	n.mu.Lock()
	s.Members = slices.Clone(n.members)
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

// serveStatus serves metrics as text, the status as JSON, and the process's variables.
func (n *Node) serveStatus(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeMetrics(w, n.Status())
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]any{"buckthornport": n.Status()}
		expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
		writeJSON(w, all)
	})
	srv := &http.Server{Handler: mux, ReadTimeout: readTimeout}
	if err := srv.Serve(l); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The asker may be gone, which concerns nobody else.
	_ = json.NewEncoder(w).Encode(v)
}

// writeMetrics writes counters, gauges and histograms in the text form that common scrapers read.
func writeMetrics(w io.Writer, s Status) {
	line := func(name, labels string, value any) {
		_, _ = fmt.Fprintf(w, "buckthornport_%s{node=%q%s} %v\n", name, s.Node, labels, value)
	}
	ready := 0
	if s.Ready {
		ready = 1
	}
	line("ready", "", ready)
	line("config_version", "", s.ConfigVersion)
	line("sessions", "", s.Sessions)
	line("connections_accepted_total", "", s.Accepted)
	line("connections_rejected_total", "", s.Rejected)
	line("members", "", len(s.Members))
	line("peer_bytes_total", "", s.PeerBytes)
	line("peer_messages_dropped_total", "", s.PeerDropped)
	line("store_calls_total", "", s.StoreCalls)
	line("store_calls_failed_total", "", s.StoreFailed)
	line("log_records_left_out_total", "", s.LogLeftOut)
	line("log_lines_dropped_total", "", s.LogDropped)
	for _, l := range s.Lanes {
		writeLane(line, l)
	}
}

func writeLane(line func(name, labels string, value any), l traffic.Snapshot) {
	group := fmt.Sprintf(",group=%q", l.Database)
	for _, k := range []struct {
		outcome string
		value   uint64
	}{
		{"asked", l.Stats.Requests},
		{"refused", l.Stats.Refused},
		{"unknown", l.Stats.Unknown},
		{"sent_again", l.Stats.Retried},
		{"declined", l.Stats.Declined},
		{"stray", l.Stats.StrayMessages},
		{"violation", l.Stats.Violations},
	} {
		line("requests_total", group+fmt.Sprintf(",outcome=%q", k.outcome), k.value)
	}
	line("reads_total", group, l.Stats.Reads)
	line("reads_eligible_for_replicas_total", group, l.Stats.EligibleReads)
	line("reads_by_replicas_total", group, l.Stats.ReplicaReads)
	line("evidence_questions_total", group, l.Stats.Proofs)
	line("requests_in_flight", group, l.Requests)
	for k, h := range l.Stats.Latency {
		writeLatency(line, group+fmt.Sprintf(",class=%q", caller.ClassKind(k)), h)
	}
	for _, v := range l.Servers {
		server := group + fmt.Sprintf(",server=%q,role=%q", v.Name, v.Role)
		line("server_running", server, v.Running)
		line("server_slots", server, v.Slots)
		line("server_connections", server, v.Open)
		line("server_connections_limit", server, v.Conns)
		line("server_term", server, v.Term)
	}
}

func writeLatency(line func(name, labels string, value any), labels string, h caller.Latency) {
	sum := uint64(0)
	for i, b := range caller.Bounds {
		sum += h.Buckets[i]
		line("answer_seconds_bucket", labels+fmt.Sprintf(",le=%q", fmt.Sprint(float64(b)/1000)), sum)
	}
	line("answer_seconds_bucket", labels+`,le="+Inf"`, h.Count)
	line("answer_seconds_sum", labels, h.Sum.Seconds())
	line("answer_seconds_count", labels, h.Count)
}

package traffic

import (
	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/metrics"
)

// WriteMetrics writes the counters of a lane. The number of label values does not grow with sessions, requests or classes.
func (s Snapshot) WriteMetrics(t metrics.TextWriter) {
	group := []string{"group", s.Database}
	with := func(labels ...string) []string { return append(group[:2:2], labels...) }
	for _, k := range []struct {
		outcome string
		value   uint64
	}{
		{"asked", s.Stats.Requests},
		{"refused", s.Stats.Refused},
		{"unknown", s.Stats.Unknown},
		{"sent_again", s.Stats.Retried},
		{"declined", s.Stats.Declined},
		{"stray", s.Stats.StrayMessages},
		{"violation", s.Stats.Violations},
	} {
		t.Line("requests_total", k.value, with("outcome", k.outcome)...)
	}
	t.Line("reads_total", s.Stats.Reads, group...)
	t.Line("reads_eligible_for_replicas_total", s.Stats.EligibleReads, group...)
	t.Line("reads_by_replicas_total", s.Stats.ReplicaReads, group...)
	t.Line("evidence_questions_total", s.Stats.Confirmations, group...)
	t.Line("requests_in_flight", s.Requests, group...)
	for k := range s.Stats.Latency {
		class := with("class", caller.ClassKind(k).String())
		t.Histogram("answer_seconds", s.Stats.Latency[k], class...)
		t.Histogram("queue_wait_seconds", s.Stats.Waits[k], class...)
		t.Histogram("service_seconds", s.Stats.Service[k], class...)
	}
	t.Histogram("evidence_age_seconds", s.Stats.EvidenceAge, group...)
	for _, v := range s.Stats.Tenants {
		tenant := with("tenant", v.Tenant)
		t.Line("tenant_requests_total", v.Requests, append(tenant[:4:4], "outcome", "asked")...)
		t.Line("tenant_requests_total", v.Served, append(tenant[:4:4], "outcome", "served")...)
		t.Line("tenant_requests_total", v.Refused, append(tenant[:4:4], "outcome", "refused")...)
		t.Line("tenant_queue_wait_seconds_sum", v.Waited.Seconds(), tenant...)
		t.Line("tenant_queue_wait_seconds_count", v.Sent, tenant...)
	}
	for _, v := range s.Servers {
		server := with("server", v.Name, "role", v.Role)
		t.Line("server_running", v.Running, server...)
		t.Line("server_slots", v.Slots, server...)
		t.Line("server_connections", v.OpenConns, server...)
		t.Line("server_connections_limit", v.ConnLimit, server...)
		if v.Limit > 0 {
			t.Line("server_limit_learned", v.Limit, server...)
			t.Line("server_baseline_seconds", v.BaselineMS/1000, server...)
			t.Line("server_slowdown", v.Slowdown, server...)
			t.Line("server_failing", v.Failing, server...)
		}
		t.Line("server_term", v.Term, server...)
	}
}

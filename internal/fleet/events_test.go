package fleet

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/standin/metadata"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// assertExplained checks that the explanation of a session's last statement contains the cause and an event near it.
func assertExplained(c *qt.C, d *deployment, s *session, cause, event string) {
	c.Helper()
	var text string
	waitUntil(c, "the log explains the request", func() bool {
		text = strings.Join(operator.ExplainRequest(d.log.records(c), s.lastID()), "\n")
		return strings.Contains(text, "Cause: ")
	})
	c.Assert(text, qt.Contains, "Cause: "+cause)
	c.Assert(text, qt.Contains, event)
}

// TestExplain checks that the logs alone lead from the id of a failed request to its cause.
func TestExplain(t *testing.T) {
	t.Run("in-doubt outcome", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		d.platform.ChangeServer("books", 1, metadata.StopReceiving(true))
		d.platform.ChangeServer("books", 2, metadata.StopReceiving(true))
		_, outcome := s.run("WRITE a 1")
		c.Assert(outcome, qt.Equals, "INDOUBT")
		assertExplained(c, d, s, "the request was sent to i-books-1, but no answer arrived", "connection_lost")
	})
	t.Run("read without leadership confirmation", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.Put("op", "config", fmt.Appendf(nil, config, 4,
			`,{"Name":"r4","Host":"short","Kind":"primary","TimeoutMs":700,"Service":"books"}`))
		waitUntil(c, "the route is active", func() bool {
			_, err := d.nodes[0].routeFor("short", bundle.KeyDigest{})
			return err == nil
		})
		d.platform.ChangeServer("books", 1, metadata.Unresponsive(true))
		d.platform.ChangeServer("books", 2, metadata.Unresponsive(true))
		time.Sleep(300 * time.Millisecond)
		s := connect(c, d.nodes[0], "short")
		_, outcome := s.run("READ a")
		c.Assert(outcome, qt.Equals, "ABORTED")
		assertExplained(c, d, s, "the answer to the read was lost, or the primary's leadership was not confirmed in time",
			"phase=proving")
	})
	t.Run("request refused for overload", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.Put("op", "config", []byte(`{"Version":4,"Routes":[{"Name":"r","Host":"ledger","Kind":"primary",
			"TimeoutMs":2000,"TargetLatencyMs":300,"Service":"books"}],"Services":[{"Name":"books","MaxConns":2}]}`))
		waitUntil(c, "the limit is active", func() bool { return d.nodes[0].routes.Load().bundle.Version == 4 })
		assertAnswers(connect(c, d.nodes[0], "ledger"), "BEGIN", nil, "T")
		s := connect(c, d.nodes[0], "ledger")
		_, outcome := s.run("WRITE a 1")
		c.Assert(outcome, qt.Equals, "BUSY")
		assertExplained(c, d, s, "no server had capacity for the request within its queue timeout", "reason=overload")
	})
	t.Run("request in no log", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(operator.ExplainRequest(nil, "x")[0], qt.Contains, "No log record names request x")
	})
}

// TestMetrics checks the metrics that are served as text.
func TestMetrics(t *testing.T) {
	t.Run("answered requests", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 1", nil, "I")
		assertMetricLines(c, d.nodes[0],
			`answer_seconds_count{node="node-1",group="books",class="fresh"} 1`,
			`requests_total{node="node-1",group="books",outcome="refused"} 0`,
			`store_bytes_received_total{node="node-1"} [1-9]\d*`,
			`connections_opened_total{node="node-1",purpose="control"} [1-9]\d*`,
			`connections_opened_total{node="node-1",purpose="statements"} [1-9]\d*`,
			`peer_messages_sent_total{node="node-1",purpose="gossip"} 0`,
			`ready{node="node-1"} 1`)
	})
	t.Run("change of primary", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		assertAnswers(s, "WRITE a 1", nil, "I")
		d.platform.ChangeServer("books", 0, metadata.Down(true))
		waitUntil(c, "the next primary is known", func() bool { return d.nodes[0].view("books").Term == 2 })
		assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 2", nil, "I")
		assertMetricLines(c, d.nodes[0],
			`failover_events_total{node="node-1",kind="promotion",cause="ordered"} 1`,
			`promotion_stage_seconds_count{node="node-1",stage="open"} 1`,
			`bytes_total{node="node-1",peer="server",distance="same_region",direction="sent"} [1-9]\d*`,
			`bytes_total{node="node-1",peer="server",distance="other_region",direction="received"} [1-9]\d*`,
			`queue_wait_seconds_count{node="node-1",group="books",class="fresh"} [1-9]\d*`)
	})
}

// assertLogged waits until the log holds records of the kinds.
func assertLogged(c *qt.C, d *deployment, kinds ...operator.Kind) {
	c.Helper()
	for _, k := range kinds {
		waitUntil(c, "the log holds a record of kind "+string(k), func() bool {
			return slices.ContainsFunc(d.log.records(c), func(r operator.Record) bool { return r.Kind == k })
		})
	}
}

// TestEveryRecordKind provokes each kind of audit record that a node on the platform logs.
func TestEveryRecordKind(t *testing.T) {
	t.Run("requests and configurations", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		for i := range 200 {
			assertAnswers(s, fmt.Sprintf("WRITE a %d", i), nil, "I")
		}
		assertLogged(c, d, operator.KindRequest, operator.KindBundle, operator.KindServer, operator.KindTerm)
	})
	t.Run("suppressed records", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		for range 100 {
			d.nodes[0].writeAuditRecord(operator.Record{Kind: operator.KindRequest, Cause: caller.CauseRefused})
		}
		waitUntil(c, "a later record reports the suppressed ones", func() bool {
			d.nodes[0].writeAuditRecord(operator.Record{Kind: operator.KindTerm, Cause: "seen"})
			return slices.ContainsFunc(d.log.records(c), func(r operator.Record) bool { return r.Kind == operator.KindGap })
		})
	})
	t.Run("unavailable store", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.SetStoreFaults(metadata.StoreFaults{Status: 503})
		d.platform.Put("op", "config", fmt.Appendf(nil, config, 9, ""))
		assertLogged(c, d, operator.KindDependency)
	})
	t.Run("primary that fails, rejoins and is removed", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.ChangeServer("books", 0, metadata.Down(true))
		assertLogged(c, d, operator.KindSuspicion, operator.KindLease, operator.KindPromotion)
		waitUntil(c, "the next primary is known", func() bool { return d.nodes[0].view("books").Term == 2 })
		d.platform.ChangeServer("books", 0, metadata.Down(false))
		assertLogged(c, d, operator.KindRejoin)
		d.platform.Delete("servers", "i-books-1")
		assertLogged(c, d, operator.KindLeaving)
	})
	t.Run("draining node", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 2)
		d.nodes[1].Drain()
		assertLogged(c, d, operator.KindDrain, operator.KindMember)
	})
}

// assertMetricLines waits until each pattern matches a line of the node's metrics.
func assertMetricLines(c *qt.C, n *Node, patterns ...string) {
	c.Helper()
	for _, pattern := range patterns {
		line := regexp.MustCompile("(?m)^buckthornport_" + strings.NewReplacer("{", `\{`, "}", `\}`).Replace(pattern) + "$")
		waitUntil(c, pattern, func() bool {
			var b bytes.Buffer
			n.writeMetrics(&b)
			return line.Match(b.Bytes())
		})
	}
}

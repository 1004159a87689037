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
)

// assertExplained wants the explanation of a session's last statement to name a cause and something that happened around it.
func assertExplained(c *qt.C, d *deployment, s *session, cause, around string) {
	c.Helper()
	var text string
	waitUntil(c, "the log tells of the request", func() bool {
		text = strings.Join(operator.ExplainRequest(d.log.records(c), s.id()), "\n")
		return strings.Contains(text, "Cause: ")
	})
	c.Assert(text, qt.Contains, "Cause: "+cause)
	c.Assert(text, qt.Contains, around)
}

// TestExplain goes from the id of a failed request to its cause by the logs alone.
func TestExplain(t *testing.T) {
	t.Run("an outcome that cannot be known", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		d.platform.Set("books", 1, metadata.Deaf(true))
		d.platform.Set("books", 2, metadata.Deaf(true))
		_, outcome := s.ask("WRITE a 1")
		c.Assert(outcome, qt.Equals, "INDOUBT")
		assertExplained(c, d, s, "i-books-1 had been given the request and its answer never came", "connection_lost")
	})
	t.Run("a read whose primary nobody vouches for", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.Put("op", "config", fmt.Appendf(nil, config, 4,
			`,{"Name":"r4","Host":"short","Kind":"primary","TimeoutMs":700,"Service":"books"}`))
		waitUntil(c, "the route is there", func() bool {
			_, ok := d.nodes[0].route("short")
			return ok
		})
		d.platform.Set("books", 1, metadata.Dark(true))
		d.platform.Set("books", 2, metadata.Dark(true))
		time.Sleep(300 * time.Millisecond)
		s := connect(c, d.nodes[0], "short")
		_, outcome := s.ask("READ a")
		c.Assert(outcome, qt.Equals, "ABORTED")
		assertExplained(c, d, s, "the read's answer was lost or nothing showed in time that its primary still led", "phase=proving")
	})
	t.Run("a request refused for want of room", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.Put("op", "config", []byte(`{"Version":4,"Routes":[{"Name":"r","Host":"ledger","Kind":"primary",
			"TimeoutMs":2000,"TargetLatencyMs":300,"Service":"books"}],"Services":[{"Name":"books","MaxConns":2}]}`))
		waitUntil(c, "the limit is in force", func() bool { return d.nodes[0].routes.Load().bundle.Version == 4 })
		assertAnswers(connect(c, d.nodes[0], "ledger"), "BEGIN", nil, "T")
		s := connect(c, d.nodes[0], "ledger")
		_, outcome := s.ask("WRITE a 1")
		c.Assert(outcome, qt.Equals, "BUSY")
		assertExplained(c, d, s, "no server had room within the time that the request could wait", "reason=overload")
	})
	t.Run("a request that no log names", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(operator.ExplainRequest(nil, "x")[0], qt.Contains, "No line names request x")
	})
}

// TestMetrics serves counters as text.
func TestMetrics(t *testing.T) {
	t.Run("answers are counted", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 1", nil, "I")
		assertScraped(c, d.nodes[0],
			`answer_seconds_count{node="node-1",group="books",class="fresh"} 1`,
			`requests_total{node="node-1",group="books",outcome="refused"} 0`,
			`ready{node="node-1"} 1`)
	})
	t.Run("a change of primary is counted", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		assertAnswers(s, "WRITE a 1", nil, "I")
		d.platform.Set("books", 0, metadata.Down(true))
		waitUntil(c, "the next primary is known", func() bool { return d.nodes[0].view("books").Term == 2 })
		assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 2", nil, "I")
		assertScraped(c, d.nodes[0],
			`failover_events_total{node="node-1",kind="promotion",cause="ordered"} 1`,
			`promotion_stage_seconds_count{node="node-1",stage="open"} 1`,
			`bytes_total{node="node-1",peer="server",distance="same_region",direction="sent"} [1-9]\d*`,
			`bytes_total{node="node-1",peer="server",distance="other_region",direction="received"} [1-9]\d*`,
			`queue_wait_seconds_count{node="node-1",group="books",class="fresh"} [1-9]\d*`)
	})
}

// assertTold waits until the log holds events of the kinds.
func assertTold(c *qt.C, d *deployment, kinds ...operator.Kind) {
	c.Helper()
	for _, k := range kinds {
		waitUntil(c, "the log tells of "+string(k), func() bool {
			return slices.ContainsFunc(d.log.records(c), func(r operator.Record) bool { return r.Kind == k })
		})
	}
}

// TestEveryKindOfEvent has each kind of event come to pass that a node on the platform logs.
func TestEveryKindOfEvent(t *testing.T) {
	t.Run("requests and configurations", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		for i := range 200 {
			assertAnswers(s, fmt.Sprintf("WRITE a %d", i), nil, "I")
		}
		assertTold(c, d, operator.KindRequest, operator.KindBundle, operator.KindServer, operator.KindTerm)
	})
	t.Run("a flood of refusals", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		for range 100 {
			d.nodes[0].keep(operator.Record{Kind: operator.KindRequest, Cause: caller.CauseRefused})
		}
		waitUntil(c, "a later event tells what was left out", func() bool {
			d.nodes[0].keep(operator.Record{Kind: operator.KindTerm, Cause: "seen"})
			return slices.ContainsFunc(d.log.records(c), func(r operator.Record) bool { return r.Kind == operator.KindGap })
		})
	})
	t.Run("a store that goes away", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.SetFaults(metadata.Faults{Status: 503})
		d.platform.Put("op", "config", fmt.Appendf(nil, config, 9, ""))
		assertTold(c, d, operator.KindDependency)
	})
	t.Run("a primary that dies, comes back and is gone", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.Set("books", 0, metadata.Down(true))
		assertTold(c, d, operator.KindSuspicion, operator.KindLease, operator.KindPromotion)
		waitUntil(c, "the next primary is known", func() bool { return d.nodes[0].view("books").Term == 2 })
		d.platform.Set("books", 0, metadata.Down(false))
		assertTold(c, d, operator.KindRejoin)
		d.platform.Delete("servers", "i-books-1")
		assertTold(c, d, operator.KindLeaving)
	})
	t.Run("nodes that leave", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 2)
		d.nodes[1].Drain()
		assertTold(c, d, operator.KindDrain, operator.KindMember)
	})
}

// assertScraped waits until a node's metrics have lines of those forms.
func assertScraped(c *qt.C, n *Node, lines ...string) {
	c.Helper()
	for _, line := range lines {
		form := regexp.MustCompile("(?m)^buckthornport_" + strings.NewReplacer("{", `\{`, "}", `\}`).Replace(line) + "$")
		waitUntil(c, line, func() bool {
			var b bytes.Buffer
			n.writeMetrics(&b)
			return form.Match(b.Bytes())
		})
	}
}

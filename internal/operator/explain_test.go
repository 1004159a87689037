package operator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/operator"
)

// assertExplained checks the cause line of a request whose only record is r.
func assertExplained(c *qt.C, r operator.Record, want string) {
	c.Helper()
	lines := operator.ExplainRequest([]operator.Record{r}, r.Request)
	c.Assert(lines[len(lines)-1], qt.Matches, "Cause: .*"+want+".*")
}

// TestExplainForwarded checks the cause that is given for a request which was forwarded to a dispatcher, or could not be.
func TestExplainForwarded(t *testing.T) {
	r := operator.Record{Kind: operator.KindRequest, Request: "r1", Group: "g", Cause: "not_forwarded"}
	for _, k := range []struct{ reason, want string }{
		{"no_primary", "no node that serves the group could be reached.*did not run"},
		{"unknown", "the request was sent to 10.0.0.1:1, which was lost"},
		{"cut", "did not answer; nothing was changed"},
	} {
		t.Run(k.reason, func(t *testing.T) {
			assertExplained(qt.New(t), r.WithEvidence("reason", k.reason).WithEvidence("dispatcher", "10.0.0.1:1"), k.want)
		})
	}
}

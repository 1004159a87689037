package operator_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/operator"
)

// logLine returns the log line of a record about a group.
func logLine(kind, cause string, term uint64) string {
	return fmt.Sprintf(`{"record":{"time":"2026-01-01T00:00:%02dZ","node":"n","kind":%q,"group":"g","term":%d,"cause":%q}}`,
		term, kind, term, cause) + "\n"
}

// assertTerms checks the terms of the records in the logs.
func assertTerms(t *testing.T, logs string, want ...uint64) []operator.Record {
	t.Helper()
	rs, err := operator.ReadLogs(strings.NewReader(logs))
	qt.Assert(t, err, qt.IsNil)
	var got []uint64
	for _, r := range rs {
		got = append(got, r.Term)
	}
	qt.Assert(t, got, qt.DeepEquals, want)
	return rs
}

// TestReadLogs guards against logs of a whole night that can't be explained because of one line.
func TestReadLogs(t *testing.T) {
	first, second := logLine("term", "seen", 1), logLine("term", "seen", 2)
	long := "{" + strings.Repeat("x", 1<<20) + "\n"
	t.Run("a line of over 1 MiB", func(t *testing.T) { assertTerms(t, first+long+second, 1, 2) })
	t.Run("a long line at the end", func(t *testing.T) { assertTerms(t, first+second+long, 1, 2) })
	t.Run("no end of line at the end", func(t *testing.T) { assertTerms(t, first+strings.TrimSuffix(second, "\n"), 1, 2) })
	t.Run("empty lines", func(t *testing.T) { assertTerms(t, "\n"+first+"\n\n"+second, 1, 2) })
}

// TestExplainFailoverOfTerm guards against an account that mixes several failovers of a group.
func TestExplainFailoverOfTerm(t *testing.T) {
	logs := logLine("suspicion", "closed_door", 1) + logLine("promotion", "ordered", 2) + logLine("suspicion", "closed_door", 2) +
		logLine("promotion", "ordered", 3)
	rs := assertTerms(t, logs, 1, 2, 2, 3)
	for _, tc := range []struct {
		term uint64
		want int
	}{{0, 4}, {2, 3}, {3, 2}} {
		t.Run(fmt.Sprintf("term %d", tc.term), func(t *testing.T) {
			qt.Assert(t, operator.ExplainFailover(rs, "g", tc.term), qt.HasLen, tc.want)
		})
	}
	t.Run("unknown term", func(t *testing.T) {
		qt.Assert(t, operator.ExplainFailover(rs, "g", 7), qt.DeepEquals, []string{"No log record is about term 7 of group g."})
	})
}

package operator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLogLine bounds a line of a log; longer ones are skipped.
	maxLogLine = 1 << 20
	// around is how far from a request's own records others are taken to have to do with it: a failover's length.
	around = 4 * time.Second
)

// ReadLogs returns the records in the log lines of any number of nodes, oldest first; lines of other kinds, and what stands
// before a line's JSON, are skipped. Nodes' clocks differ, so records of one group are put in order of term.
func ReadLogs(r io.Reader) ([]Record, error) {
	var rs []Record
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		i := bytes.IndexByte(lines.Bytes(), '{')
		if i < 0 {
			continue
		}
		var l struct {
			Record *Record `json:"record"`
		}
		if err := json.Unmarshal(lines.Bytes()[i:], &l); err == nil && l.Record != nil {
			rs = append(rs, *l.Record)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	shift := skews(rs)
	slices.SortStableFunc(rs, func(a, b Record) int {
		return a.Time.Add(shift[a.Node]).Compare(b.Time.Add(shift[b.Node]))
	})
	return rs, nil
}

// skews returns how much to add to each node's times so that nobody learned of a term before the node that saw it first.
func skews(rs []Record) map[string]time.Duration {
	type place struct {
		group string
		term  uint64
	}
	first := map[place]Record{}
	for _, r := range rs {
		if r.Kind == KindPromotion && r.Cause == "ordered" {
			first[place{r.Group, r.Term}] = r
		}
	}
	shift := map[string]time.Duration{}
	for _, r := range rs {
		if r.Kind != KindTerm {
			continue
		}
		if o, ok := first[place{r.Group, r.Term}]; ok && o.Node != r.Node {
			if d := o.Time.Sub(r.Time); d > shift[r.Node] {
				shift[r.Node] = d
			}
		}
	}
	return shift
}

// ExplainRequest tells in sentences what became of a request and why.
func ExplainRequest(rs []Record, id string) []string {
	own := slices.DeleteFunc(slices.Clone(rs), func(r Record) bool { return r.Request != id })
	if len(own) == 0 {
		return []string{fmt.Sprintf("No line names request %s. Successes are logged for one request in 32 only; for a failure, "+
			"the logs of the node that it was sent to are missing, or its line was left out.", id)}
	}
	var out []string
	for _, r := range own {
		out = append(out, r.Sentence())
	}
	last := own[len(own)-1]
	out = append(out, "Cause: "+requestCause(last))
	for _, r := range rs {
		if d := r.Time.Sub(last.Time).Abs(); d > around || r.Request != "" {
			continue
		}
		if concerns(r, last) {
			out = append(out, "Around it: "+r.Sentence())
		}
	}
	return out
}

// concerns reports whether a record may have to do with a request: what its own node believed of the group or lost, and orders
// and leases of any node.
func concerns(r, request Record) bool {
	switch {
	case r.Kind == KindPromotion || r.Kind == KindLease:
		return r.Group == request.Group
	case r.Node != request.Node:
		return false
	default:
		return r.Kind == KindGap || r.Kind == KindDependency && r.Server == request.Server ||
			r.Group != "" && r.Group == request.Group
	}
}

// requestCause says what the last record of a request means.
func requestCause(r Record) string {
	switch {
	case r.Cause == "not_forwarded" && r.value("reason") == "no_primary":
		return "no node that serves the group could be reached, or would take it, within the time that the request could wait; " +
			"it did not run."
	case r.Cause == "not_forwarded" && r.value("reason") == "unknown":
		return fmt.Sprintf("%s had been given the request and was lost before it answered; whether the work was committed cannot "+
			"be known, and it must not be done again without looking.", r.value("dispatcher"))
	case r.Cause == "not_forwarded" && r.value("reason") == "cut":
		return "the nodes that were given the read did not answer; nothing was changed by it."
	case r.Cause == "outcome_unknown" && r.value("reason") == "unknown":
		return fmt.Sprintf("%s had been given the request and its answer never came; whether the work was committed cannot be "+
			"known, and it must not be done again without looking.", r.Server)
	case r.Cause == "outcome_unknown":
		return "the read's answer was lost or nothing showed in time that its primary still led; nothing was changed by it."
	case r.value("reason") == "overload":
		return fmt.Sprintf("no server had room within the time that the request could wait (%s queued); it did not run.",
			r.value("queued"))
	case r.value("reason") == "no_primary" || r.value("suspect") == "true":
		return fmt.Sprintf("the group had no primary that could be relied on (%s, suspect %s); it did not run.",
			r.value("primary"), r.value("suspect"))
	case r.value("reason") == "rolled_back":
		return "the transaction's connection or primary was lost before its commit; none of it was kept."
	case r.Cause == "answered":
		return "none, the request was answered."
	default:
		return fmt.Sprintf("%s %s.", r.Cause, r.value("reason"))
	}
}

// ExplainConfig tells in sentences where and when a version came into force.
func ExplainConfig(rs []Record, version uint64) []string {
	var out []string
	for _, r := range rs {
		if r.Kind == KindBundle && r.Version == version {
			out = append(out, r.Sentence())
		}
	}
	if len(out) == 0 {
		out = append(out, fmt.Sprintf("No node says that version %d came into force.", version))
	}
	return out
}

// ExplainFailover tells in sentences what led to a group's changes of primary and what followed.
func ExplainFailover(rs []Record, group string) []string {
	var out []string
	for _, r := range rs {
		if r.Group == group && r.Request == "" {
			out = append(out, r.Sentence())
		}
	}
	if len(out) == 0 {
		out = append(out, fmt.Sprintf("No line names %s.", group))
	}
	return out
}

func requestSentence(r Record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s of %s: %s", r.Request, r.Group, r.Cause)
	if r.Server != "" {
		fmt.Fprintf(&b, ", server %s", r.Server)
	}
	fmt.Fprintf(&b, ", term %d, config %d;%s.", r.Term, r.Version, r.evidence())
	return b.String()
}

package operator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLogLineBytes bounds the length of a log line. A longer line is skipped.
	maxLogLineBytes = 1 << 20
	// relatedWindow is how far in time from a request's last record other records count as related. It covers the length of a
	// failover.
	relatedWindow = 4 * time.Second
)

// ReadLogs returns the records in the log lines of any number of nodes, oldest first. It skips lines without a record, lines of
// over 1 MiB and any text before a line's JSON. Because nodes' clocks differ, it shifts their times so that the records of a group
// follow the order of its terms. The error is that of the reader.
func ReadLogs(r io.Reader) ([]Record, error) {
	var rs []Record
	lines := bufio.NewReader(r)
	for {
		line, err := readLogLine(lines)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		i := bytes.IndexByte(line, '{')
		if i < 0 {
			continue
		}
		var l struct {
			Record *Record `json:"record"`
		}
		if err := json.Unmarshal(line[i:], &l); err == nil && l.Record != nil {
			rs = append(rs, *l.Record)
		}
	}
	offsets := clockOffsets(rs)
	slices.SortStableFunc(rs, func(a, b Record) int {
		return a.Time.Add(offsets[a.Node]).Compare(b.Time.Add(offsets[b.Node]))
	})
	return rs, nil
}

// readLogLine returns the next line without its end, or an empty one in place of a line over maxLogLineBytes.
func readLogLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		part, more, err := r.ReadLine()
		if err != nil {
			return nil, err
		}
		tooLong = tooLong || len(line)+len(part) > maxLogLineBytes
		if tooLong {
			line = nil
		} else {
			line = append(line, part...)
		}
		if !more {
			return line, nil
		}
	}
}

// clockOffsets returns how much to add to each node's times so that no node observes a term before the node that ordered its
// promotion.
func clockOffsets(rs []Record) map[string]time.Duration {
	type groupTerm struct {
		group string
		term  uint64
	}
	orders := map[groupTerm]Record{}
	for _, r := range rs {
		if r.Kind == KindPromotion && r.Cause == "ordered" {
			orders[groupTerm{r.Group, r.Term}] = r
		}
	}
	offsets := map[string]time.Duration{}
	for _, r := range rs {
		if r.Kind != KindTerm {
			continue
		}
		if o, ok := orders[groupTerm{r.Group, r.Term}]; ok && o.Node != r.Node {
			if d := o.Time.Sub(r.Time); d > offsets[r.Node] {
				offsets[r.Node] = d
			}
		}
	}
	return offsets
}

// ExplainRequest returns sentences that give a request's outcome, its cause, and the events near it in time that may be related.
func ExplainRequest(rs []Record, id string) []string {
	own := slices.DeleteFunc(slices.Clone(rs), func(r Record) bool { return r.Request != id })
	if len(own) == 0 {
		return []string{fmt.Sprintf("No log record names request %s. Of successful requests only one in 32 is logged. For a failed one, "+
			"the logs of the node that received it are missing, or its record was suppressed by the rate limit.", id)}
	}
	var out []string
	for _, r := range own {
		out = append(out, r.Sentence())
	}
	last := own[len(own)-1]
	out = append(out, "Cause: "+requestCause(last))
	for _, r := range rs {
		if d := r.Time.Sub(last.Time).Abs(); d > relatedWindow || r.Request != "" {
			continue
		}
		if related(r, last) {
			out = append(out, "Related event: "+r.Sentence())
		}
	}
	return out
}

// related reports whether a record may explain a request's outcome. Promotions and leases of the group count from any node.
// Other records about the group, about suppressed records and about the request's server count only from the request's own
// node.
func related(r, request Record) bool {
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

// requestCause returns the meaning of a request's last record.
func requestCause(r Record) string {
	switch {
	case r.Cause == "not_forwarded" && r.evidenceValue("reason") == "no_primary":
		return "no node that serves the group could be reached, or accepted the request, within its queue timeout; it did not run."
	case r.Cause == "not_forwarded" && r.evidenceValue("reason") == "unknown":
		return fmt.Sprintf("the request was sent to %s, which was lost before it answered; it is unknown whether the work was "+
			"committed, so check the data before repeating it.", r.evidenceValue("dispatcher"))
	case r.Cause == "not_forwarded" && r.evidenceValue("reason") == "cut":
		return "the nodes to which the read was sent did not answer; nothing was changed."
	case r.Cause == "outcome_unknown" && r.evidenceValue("reason") == "unknown":
		return fmt.Sprintf("the request was sent to %s, but no answer arrived; it is unknown whether the work was committed, so check "+
			"the data before repeating it.", r.Server)
	case r.Cause == "outcome_unknown":
		return "the answer to the read was lost, or the primary's leadership was not confirmed in time; nothing was changed."
	case r.evidenceValue("reason") == "overload":
		return fmt.Sprintf("no server had capacity for the request within its queue timeout (%s requests queued); it did not run.",
			r.evidenceValue("queued"))
	case r.evidenceValue("reason") == "no_primary" || r.evidenceValue("suspect") == "true":
		return fmt.Sprintf("the group had no primary, or its primary was suspected to have failed (primary %s, suspect %s); "+
			"it did not run.", r.evidenceValue("primary"), r.evidenceValue("suspect"))
	case r.evidenceValue("reason") == "rolled_back":
		return "the transaction's connection or primary was lost before its commit; nothing of it was committed."
	case r.Cause == "answered":
		return "none; the request was answered."
	default:
		return fmt.Sprintf("%s %s.", r.Cause, r.evidenceValue("reason"))
	}
}

// ExplainConfig returns sentences that say where and when a configuration version took effect.
func ExplainConfig(rs []Record, version uint64) []string {
	var out []string
	for _, r := range rs {
		if r.Kind == KindBundle && r.Version == version {
			out = append(out, r.Sentence())
		}
	}
	if len(out) == 0 {
		out = append(out, fmt.Sprintf("No log record says that version %d took effect.", version))
	}
	return out
}

// PartOfFailover reports whether a record belongs to the failover that led to a term: it is of that term, or a suspicion of the
// primary of the term before.
func (r Record) PartOfFailover(term uint64) bool {
	return r.Term == term || r.Kind == KindSuspicion && r.Term+1 == term
}

// ExplainFailover returns sentences about a group's changes of primary, with what led to them and what followed. With a term other
// than zero they are about the failover that led to that term.
func ExplainFailover(rs []Record, group string, term uint64) []string {
	var out []string
	for _, r := range rs {
		if r.Group == group && r.Request == "" && (term == 0 || r.PartOfFailover(term)) {
			out = append(out, r.Sentence())
		}
	}
	switch {
	case len(out) > 0:
	case term != 0:
		out = append(out, fmt.Sprintf("No log record is about term %d of group %s.", term, group))
	default:
		out = append(out, fmt.Sprintf("No log record names group %s.", group))
	}
	return out
}

func requestSentence(r Record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s of %s: %s", r.Request, r.Group, r.Cause)
	if r.Server != "" {
		fmt.Fprintf(&b, ", server %s", r.Server)
	}
	fmt.Fprintf(&b, ", term %d, config %d;%s.", r.Term, r.Version, r.formatEvidence())
	return b.String()
}

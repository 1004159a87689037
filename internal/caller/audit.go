package caller

import (
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
)

// The causes of audit records about one request.
const (
	CauseSent              = "sent"
	CauseAnswered          = "answered"
	CauseRefused           = "refused"
	CauseUnknown           = "outcome_unknown"
	CauseDeclined          = "declined"
	CauseConnectionLost    = "connection_lost"
	CauseConnectionGivenUp = "connection_given_up"
	CauseResent            = "sent_again"
	CauseSlow              = "slow"
)

// The causes of audit records about the learned limit of a server.
const (
	CauseLimitHalved    = "limit_halved"
	CauseLimitRecovered = "limit_recovered"
)

// Causes lists the causes of audit records about one request and about learned limits.
func Causes() []string {
	return []string{
		CauseSent, CauseAnswered, CauseRefused, CauseUnknown, CauseDeclined, CauseConnectionLost, CauseConnectionGivenUp,
		CauseResent, CauseSlow, CauseLimitHalved, CauseLimitRecovered,
	}
}

// WithTrace has the lane record each step of the requests for which f returns true; f receives the caller's own request ID.
// Failures are recorded for all requests.
func WithTrace(f func(id string) bool) Option {
	return func(l *Lane) error {
		l.trace = f
		return nil
	}
}

// recordRequest writes an audit record about a request, with the evidence behind the decision.
func (l *Lane) recordRequest(now time.Duration, r Request, cause string, more ...operator.Evidence) {
	c := operator.Record{
		Kind: operator.KindRequest, Cause: cause, Request: r.Statement.ID, Server: r.Server, Term: l.view.Term,
		Version: r.Statement.Version,
	}
	c = c.WithEvidence("class", r.Statement.Class.Name).WithEvidence("waited_ms", millis(now-r.Arrived)).
		WithEvidence("attempts", strconv.Itoa(r.Attempts))
	if r.Statement.Tenant != "" {
		c = c.WithEvidence("tenant", r.Statement.Tenant)
	}
	c.Evidence = append(c.Evidence, more...)
	l.writeAuditRecord(c)
}

// recordSent records the server that a request was sent to, and why.
func (l *Lane) recordSent(now time.Duration, a Send, r Request, row Server) {
	l.recordRequest(now, r, CauseSent, operator.Evidence{Name: "need", Value: a.RequiredPosition.String()},
		operator.Evidence{Name: "running", Value: strconv.Itoa(row.Running)},
		operator.Evidence{Name: "took_ms", Value: millis(row.MeanAnswerTime)},
		operator.Evidence{Name: "lead_age_ms", Value: millis(now - l.lastLeaderConfirmed())},
		operator.Evidence{Name: "held_for_lead", Value: strconv.FormatBool(r.PendingLeadership)})
}

// recordRefused records why a request was refused and in which phase.
func (l *Lane) recordRefused(now time.Duration, r Request, refusal Refusal) {
	cause := CauseRefused
	if !refusal.NotRun() {
		cause = CauseUnknown
	}
	l.recordRequest(now, r, cause, operator.Evidence{Name: "reason", Value: refusal.Reason.String()},
		operator.Evidence{Name: "detail", Value: refusal.Detail},
		operator.Evidence{Name: "phase", Value: r.Phase.String()},
		operator.Evidence{Name: "primary", Value: l.view.Primary},
		operator.Evidence{Name: "suspect", Value: strconv.FormatBool(l.view.Suspect || l.view.Fenced)},
		operator.Evidence{Name: "queued", Value: strconv.Itoa(l.queueLength())},
		operator.Evidence{Name: "lead_age_ms", Value: millis(now - l.lastLeaderConfirmed())})
}

// queueLength returns the number of queued requests.
func (l *Lane) queueLength() int {
	n := 0
	for _, q := range l.queues {
		n += q.waiting.total() + q.held.total()
	}
	return n
}

func millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// String returns the phase's name in audit records.
func (p Phase) String() string {
	return [...]string{"floor", "queued", "running", "proving", "settling"}[p]
}

// String returns the reason's name in audit records.
func (r Reason) String() string {
	return [...]string{
		"overload", "no_primary", "timeout", "draining", "not_run", "rolled_back", "discarded", "unknown", "cut", "lost_work",
		"no_floor", "failed_transaction", "cancelled",
	}[r]
}

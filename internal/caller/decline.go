package caller

import (
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/session"
)

// DeclineReason is the reason for which a server declined to run a request.
type DeclineReason uint8

// The reasons for declining a request.
const (
	// DeclineBusy means that the server has no capacity.
	DeclineBusy DeclineReason = iota
	// DeclineBehind means that a replica lacks the position that the read needs.
	DeclineBehind
	// DeclineReadOnly means that the server does not lead the group.
	DeclineReadOnly
)

// String returns the reason's name in audit records.
func (d DeclineReason) String() string {
	return [...]string{"busy", "behind", "read_only"}[d]
}

// Declined reports that a server did not run a request. TransactionOpen reports whether the transaction around it is still open.
type Declined struct {
	Conn            ConnID
	Request         RequestID
	Reason          DeclineReason
	Position        session.Position
	TransactionOpen bool
}

func (Declined) callerEvent() {}

// declined sends a request to another server. Inside a transaction it refuses the request, since only the declining server
// holds the transaction.
func (l *Lane) declined(now time.Duration, e Declined) {
	c, ok := l.conns.Get(e.Conn)
	if !ok || c.Request != e.Request || c.Phase != ConnBusy {
		l.stats.StrayMessages++
		return
	}
	l.stats.Declined++
	r, known := l.requests.Get(e.Request)
	l.releaseConn(now, c, r, known, e.TransactionOpen)
	l.backOff(now, c.Server, r.Started, e)
	s, alive := l.sessions.Get(r.Session)
	if known {
		l.recordRequest(now, r, CauseDeclined, operator.Evidence{Name: "why", Value: e.Reason.String()},
			operator.Evidence{Name: "position", Value: e.Position.String()})
	}
	switch {
	case !known:
	case !alive:
		l.requests.Delete(r.ID)
	case s.TxConn == e.Conn:
		l.refuse(r.WithoutConn(), Refusal{Reason: ReasonRolledBack, Retry: retryHint, Detail: "server is " + e.Reason.String()})
	case r.Attempts >= MaxAttempts:
		r, why := r.WithDeclined(c.Server), Refusal{Reason: ReasonOverload, Retry: retryHint, Detail: "server is " + e.Reason.String()}
		if r.Sent {
			why.Reason = ReasonInterrupted
		}
		l.refuse(r, why)
	case e.Reason == DeclineBusy && l.refuseDeclined(now, r.WithDeclined(c.Server)):
	default:
		l.requeue(r.WithDeclined(c.Server))
	}
}

// backOff keeps requests away from a server that declined one which was sent at sentAt, for a short time.
func (l *Lane) backOff(now time.Duration, server string, sentAt time.Duration, e Declined) {
	row, _ := l.servers.Get(server)
	switch {
	case e.Reason == DeclineBehind:
		row = row.WithBehindUntil(now + behindBackoff<<min(row.BehindCount, maxBehindDoublings))
	case e.Reason == DeclineBusy && l.learns(row):
		row = l.learnDecline(now, row, sentAt)
		row = row.WithDeclinedUntil(now + declinedBackoff<<min(row.Capacity.Declines-1, maxDeclineDoublings))
	default:
		row = row.WithDeclinedUntil(now + declinedBackoff)
	}
	l.servers.Put(server, row)
	l.servers.SetDue(server, max(row.BehindUntil, row.DeclinedUntil))
}

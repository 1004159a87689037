package caller

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// confirmation is the row of one request to a server to confirm that the primary leads and that a majority holds its log up
// to a position.
type confirmation struct {
	server string
	sentAt time.Duration
}

// awaitConfirmation has a committed request wait for evidence, beyond its deadline if necessary. The work is done, so an
// answer after the deadline is more useful than an unknown outcome.
func (l *Lane) awaitConfirmation(now time.Duration, r Request) {
	r.Deadline = max(r.Deadline, now+MinConfirmationWait)
	l.requests.Put(r.ID, r)
	l.requests.SetDue(r.ID, r.Deadline)
	l.awaitingConfirmation = append(l.awaitingConfirmation, r.ID)
}

// confirmationNeeded reports whether a request or session waits that no pending confirmation covers.
func (l *Lane) confirmationNeeded() bool {
	if l.confirmations.Len() >= maxConfirmations || l.view.Primary == "" || l.kind.EvidenceSource(l.view, l.evidenceAttempts) == "" {
		return false
	}
	return slices.ContainsFunc(l.awaitingConfirmation, func(id RequestID) bool {
		r, ok := l.requests.Get(id)
		return ok && (r.Phase == PhaseConfirming || r.PendingLeadership) && r.Confirmation == 0
	}) || slices.ContainsFunc(l.awaitingFloor, func(id SessionID) bool {
		s, ok := l.sessions.Get(id)
		return ok && !s.FloorKnown && s.FloorConfirmation == 0
	})
}

// sendConfirmations fails the confirmations that timed out, and sends one new confirmation for all requests and sessions that
// wait.
func sendConfirmations(l *Lane, now time.Duration) {
	for _, id := range l.confirmations.TakeDue(now) {
		l.leadershipUnconfirmed(now, id)
	}
	if now < l.confirmAt || !l.confirmationNeeded() {
		return
	}
	l.lastConfirmation++
	position := session.Position{}
	for _, id := range l.awaitingConfirmation {
		r, ok := l.requests.Get(id)
		if !ok || r.Phase != PhaseConfirming && !r.PendingLeadership {
			continue
		}
		if needsMajority(r) {
			position = position.Max(r.Position)
		}
		if r.Confirmation == 0 {
			l.requests.Put(id, r.WithConfirmation(l.lastConfirmation))
		}
	}
	for _, id := range l.awaitingFloor {
		if s, ok := l.sessions.Get(id); ok && !s.FloorKnown && s.FloorConfirmation == 0 {
			l.sessions.Put(id, s.WithFloorConfirmation(l.lastConfirmation))
		}
	}
	row, _ := l.servers.Get(l.kind.EvidenceSource(l.view, l.evidenceAttempts))
	l.confirmations.Put(l.lastConfirmation, confirmation{server: row.View.Name, sentAt: now})
	l.confirmations.SetDue(l.lastConfirmation, now+ConfirmationTimeout)
	l.stats.Confirmations++
	l.actions = append(l.actions, ConfirmLeadership{
		Confirmation: l.lastConfirmation, Server: row.View.Name, Address: row.View.Address, Position: position,
	})
}

// leadershipConfirmed answers the requests that the evidence covers. Evidence that is too old, of an older term, or does not
// show that the known primary leads counts as a failed confirmation.
func (l *Lane) leadershipConfirmed(now time.Duration, e LeadershipConfirmed) {
	c, ok := l.confirmations.Get(e.Confirmation)
	if !ok {
		l.stats.StrayMessages++
		return
	}
	if l.kind.SemiSync {
		l.recordReplicated(now, c.server, e.End)
	}
	if now-c.sentAt > upstream.EvidenceTTL && l.kind.ResolvesOutcomes || e.Term < l.view.Term ||
		e.Term > l.view.Term && !l.kind.ResolvesOutcomes {
		l.leadershipUnconfirmed(now, e.Confirmation)
		return
	}
	if !l.kind.ResolvesOutcomes && !l.showsLeadership(now, c, e) {
		l.leadershipUnconfirmed(now, e.Confirmation)
		return
	}
	l.confirmations.Delete(e.Confirmation)
	if !l.kind.ResolvesOutcomes {
		l.recordLeaderConfirmed(c.sentAt)
		l.releaseConfirmed(now)
		l.reconfirmCommits(now, e.Confirmation)
		return
	}
	ids := l.awaitingConfirmation
	l.awaitingConfirmation = nil
	for _, id := range ids {
		r, ok := l.requests.Get(id)
		switch {
		case !ok || r.Phase != PhaseConfirming:
		case r.Confirmation != 0 && r.Confirmation <= e.Confirmation:
			l.finishConfirmed(now, c, r, e)
		default:
			l.awaitingConfirmation = append(l.awaitingConfirmation, id)
		}
	}
	l.floorsConfirmed(now, e)
}

// showsLeadership reports whether a replica's answer shows that no other server leads. The replica must not have been paused
// when it was asked, nor shortly before, since a promotion ends a pause as well.
func (l *Lane) showsLeadership(now time.Duration, c confirmation, e LeadershipConfirmed) bool {
	if e.Paused {
		l.replicaPausedAt = now
	}
	return upstream.PauseSettled(c.sentAt, l.replicaPausedAt)
}

// releaseConfirmed answers the requests whose wait for leadership evidence or for a replica is over.
func (l *Lane) releaseConfirmed(now time.Duration) {
	ids := l.awaitingConfirmation
	l.awaitingConfirmation = nil
	for _, id := range ids {
		r, ok := l.requests.Get(id)
		switch {
		case !ok || r.PendingLeadership && r.Phase == PhaseRunning && l.leaderAt(r.Arrived):
		case r.PendingReplica && l.replicatedTo.Covers(r.Position):
			s, _ := l.sessions.Get(r.Session)
			l.recordAcknowledged(r.Position)
			l.deliverAnswer(now, s, r, Replied{Position: r.Position})
		case r.PendingLeadership && r.Phase == PhaseConfirming && l.leaderAt(r.Arrived):
			s, _ := l.sessions.Get(r.Session)
			l.deliverAnswer(now, s, r, Replied{Position: r.Position})
		default:
			l.awaitingConfirmation = append(l.awaitingConfirmation, id)
		}
	}
}

// reconfirmCommits has the next confirmation cover the commits that this one was sent for but did not cover.
func (l *Lane) reconfirmCommits(now time.Duration, answered uint64) {
	for _, id := range l.awaitingConfirmation {
		if r, ok := l.requests.Get(id); ok && r.PendingReplica && r.Confirmation == answered {
			l.requests.Put(id, r.WithConfirmation(0))
			l.evidenceAttempts++
			l.confirmAt = max(l.confirmAt, now+ConfirmationBackoff)
		}
	}
}

// retryUnconfirmed handles requests whose answers from a replaced primary were not confirmed. Reads are sent again; commits
// have an unknown outcome and transaction beginnings are refused.
func (l *Lane) retryUnconfirmed() {
	ids := l.awaitingConfirmation
	l.awaitingConfirmation = nil
	for _, id := range ids {
		r, ok := l.requests.Get(id)
		switch {
		case !ok || r.PendingLeadership && r.Phase == PhaseRunning:
		case r.PendingReplica:
			l.refuse(r, Refusal{Reason: ReasonUnknown, Detail: "the primary was replaced before a replica was seen to hold the commit"})
		case r.PendingLeadership && r.Statement.Kind == KindRead:
			r.AvoidServer = r.Server
			l.requeue(r)
		case r.PendingLeadership:
			l.refuse(r, Refusal{Reason: ReasonRolledBack, Retry: retryHint})
		default:
			l.awaitingConfirmation = append(l.awaitingConfirmation, id)
		}
	}
}

func (l *Lane) floorsConfirmed(now time.Duration, e LeadershipConfirmed) {
	ids := l.awaitingFloor
	l.awaitingFloor = nil
	for _, id := range ids {
		s, ok := l.sessions.Get(id)
		switch {
		case !ok || s.FloorKnown:
		case s.FloorConfirmation != 0 && s.FloorConfirmation <= e.Confirmation:
			l.sessions.Put(id, s.WithFloor(e.End))
			l.resumeAfterFloor(now, id)
		default:
			l.awaitingFloor = append(l.awaitingFloor, id)
		}
	}
}

// finishConfirmed answers a request whose commit is now known to be retained or known to be lost.
func (l *Lane) finishConfirmed(now time.Duration, c confirmation, r Request, e LeadershipConfirmed) {
	if f, lost := session.DroppedBy(r.Position, e.Forks); lost {
		l.commitDiscarded(now, r, f)
		return
	}
	l.ensure(c.sentAt >= r.Answered, "evidence_after_commit", func() string {
		return fmt.Sprintf("request %d answered at %v, confirmation sent at %v", r.ID, r.Answered, c.sentAt)
	})
	l.ensure(now-c.sentAt <= upstream.EvidenceTTL, "evidence_fresh", func() string { return (now - c.sentAt).String() })
	l.ensure(e.Term >= r.Position.Term, "evidence_of_term", func() string {
		return fmt.Sprintf("committed in term %d, confirmed in term %d", r.Position.Term, e.Term)
	})
	if r.Result == ResultNotRun {
		l.refuse(r, Refusal{Reason: ReasonNotRun, Key: r.Statement.Key})
		return
	}
	s, _ := l.sessions.Get(r.Session)
	floor := s.Floor.Max(r.Position)
	if r.Result == ResultRan {
		l.actions = append(l.actions, Complete{Session: r.Session, Seq: r.Seq, Tag: r.Outcome, Floor: floor})
	} else {
		l.actions = append(l.actions, Release{Session: r.Session, Seq: r.Seq, Floor: floor})
	}
	l.finish(r, func(s Session) Session { return s.WithFloor(r.Position) })
}

// commitDiscarded handles a commit that a promotion dropped: the confirmed primary's log has another entry in its place.
func (l *Lane) commitDiscarded(now time.Duration, r Request, f session.Fork) {
	l.writeAuditRecord(operator.Record{Kind: operator.KindLostWork, Term: f.Term, Cause: "unacknowledged_commit_dropped"}.
		WithEvidence("position", r.Position.String()).WithEvidence("key", r.Statement.Key))
	if r.Result != ResultAnswered || r.Statement.Keyed() {
		l.resolve(now, r)
		return
	}
	l.refuse(r, Refusal{Reason: ReasonDiscarded, Key: r.Statement.Key})
}

// leadershipUnconfirmed schedules another confirmation, after ConfirmationBackoff, for everything that the failed one
// covered.
func (l *Lane) leadershipUnconfirmed(now time.Duration, id uint64) {
	if _, ok := l.confirmations.Get(id); !ok {
		l.stats.StrayMessages++
		return
	}
	l.confirmations.Delete(id)
	l.evidenceAttempts++
	l.confirmAt = max(l.confirmAt, now+ConfirmationBackoff)
	for _, k := range l.awaitingConfirmation {
		if r, ok := l.requests.Get(k); ok && r.Confirmation == id {
			l.requests.Put(k, r.WithConfirmation(0))
		}
	}
	for _, k := range l.awaitingFloor {
		if s, ok := l.sessions.Get(k); ok && s.FloorConfirmation == id {
			l.sessions.Put(k, s.WithFloorConfirmation(0))
		}
	}
}

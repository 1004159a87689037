package caller

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// proof is the row of one question to a primary: do you lead, and does a majority hold your log up to here?
type proof struct {
	server string
	sent   time.Duration
}

// prove has a committed request wait for evidence, past its deadline if need be: the work is done, and calling it unknown
// helps nobody.
func (l *Lane) prove(now time.Duration, r Request) {
	r.Deadline = max(r.Deadline, now+MinConfirmationWait)
	l.requests.Put(r.ID, r)
	l.requests.Wake(r.ID, r.Deadline)
	l.proving = append(l.proving, r.ID)
}

// wantsProof reports whether something waits that no proof under way covers.
func (l *Lane) wantsProof() bool {
	if l.proofs.Len() >= maxProofs || l.view.Primary == "" || l.kind.EvidenceSource(l.view, l.witnessed) == "" {
		return false
	}
	return slices.ContainsFunc(l.proving, func(id RequestID) bool {
		r, ok := l.requests.Get(id)
		return ok && (r.Phase == PhaseConfirming || r.Lead) && r.Proof == 0
	}) || slices.ContainsFunc(l.floors, func(id SessionID) bool {
		s, ok := l.sessions.Get(id)
		return ok && !s.FloorKnown && s.FloorProof == 0
	})
}

// sendProofs asks the primary once for everything that waits, whoever is waiting.
func sendProofs(l *Lane, now time.Duration) {
	for _, id := range l.proofs.TakeDue(now) {
		l.proofFailed(now, id)
	}
	if now < l.proveAt || !l.wantsProof() {
		return
	}
	l.lastProof++
	wanted := session.Position{}
	for _, id := range l.proving {
		r, ok := l.requests.Get(id)
		if !ok || r.Phase != PhaseConfirming && !r.Lead {
			continue
		}
		if needsHeld(r) {
			wanted = wanted.Max(r.Position)
		}
		if r.Proof == 0 {
			l.requests.Put(id, r.WithProof(l.lastProof))
		}
	}
	for _, id := range l.floors {
		if s, ok := l.sessions.Get(id); ok && !s.FloorKnown && s.FloorProof == 0 {
			l.sessions.Put(id, s.WithFloorProof(l.lastProof))
		}
	}
	row, _ := l.servers.Get(l.kind.EvidenceSource(l.view, l.witnessed))
	l.proofs.Put(l.lastProof, proof{server: row.View.Name, sent: now})
	l.proofs.Wake(l.lastProof, now+ConfirmationTimeout)
	l.stats.Confirmations++
	l.out = append(l.out, ConfirmLeadership{
		Confirmation: l.lastProof, Server: row.View.Name, Address: row.View.Address, Position: wanted,
	})
}

// proven lets go what the evidence covers, unless the evidence is too old to act on.
func (l *Lane) proven(now time.Duration, e LeadershipConfirmed) {
	p, ok := l.proofs.Get(e.Confirmation)
	if !ok {
		l.stats.StrayMessages++
		return
	}
	if l.kind.SemiSync {
		l.keep(now, p.server, e.End)
	}
	if now-p.sent > upstream.EvidenceTTL && l.kind.ResolvesOutcomes || e.Term < l.view.Term || e.Term > l.view.Term && !l.kind.ResolvesOutcomes {
		l.proofFailed(now, e.Confirmation)
		return
	}
	if !l.kind.ResolvesOutcomes && !l.vouches(now, p, e) {
		l.proofFailed(now, e.Confirmation)
		return
	}
	l.proofs.Delete(e.Confirmation)
	if !l.kind.ResolvesOutcomes {
		l.lead(p.sent)
		l.releaseLed(now)
		l.askAgain(now, e.Confirmation)
		return
	}
	ids := l.proving
	l.proving = nil
	for _, id := range ids {
		r, ok := l.requests.Get(id)
		switch {
		case !ok || r.Phase != PhaseConfirming:
		case r.Proof != 0 && r.Proof <= e.Confirmation:
			l.settleProven(now, p, r, e)
		default:
			l.proving = append(l.proving, id)
		}
	}
	l.floorsProven(now, e)
}

// vouches reports whether a replica's answer shows that nobody leads in the primary's place: it was not paused when it was asked,
// nor shortly before, since a promotion ends a pause as well.
func (l *Lane) vouches(now time.Duration, p proof, e LeadershipConfirmed) bool {
	if e.Paused {
		l.paused = now
	}
	return upstream.Settled(p.sent, l.paused)
}

// releaseLed answers what waited for evidence that the primary led, as far as the evidence goes.
func (l *Lane) releaseLed(now time.Duration) {
	ids := l.proving
	l.proving = nil
	for _, id := range ids {
		r, ok := l.requests.Get(id)
		switch {
		case !ok || r.Lead && r.Phase == PhaseRunning && l.ledAt(r.Arrived):
		case r.Keep && l.kept.Covers(r.Position):
			s, _ := l.sessions.Get(r.Session)
			l.answer(now, s, r, Replied{Position: r.Position})
		case r.Lead && r.Phase == PhaseConfirming && l.ledAt(r.Arrived):
			s, _ := l.sessions.Get(r.Session)
			l.answer(now, s, r, Replied{Position: r.Position})
		default:
			l.proving = append(l.proving, id)
		}
	}
}

// askAgain has the commits asked about once more that the answered question was to cover, and did not.
func (l *Lane) askAgain(now time.Duration, proof uint64) {
	for _, id := range l.proving {
		if r, ok := l.requests.Get(id); ok && r.Keep && r.Proof == proof {
			l.requests.Put(id, r.WithProof(0))
			l.witnessed++
			l.proveAt = max(l.proveAt, now+ConfirmationBackoff)
		}
	}
}

// retryLed sends again what a replaced primary answered and nobody vouched for.
func (l *Lane) retryLed() {
	ids := l.proving
	l.proving = nil
	for _, id := range ids {
		r, ok := l.requests.Get(id)
		switch {
		case !ok || r.Lead && r.Phase == PhaseRunning:
		case r.Keep:
			l.refuse(r, Refusal{Reason: ReasonUnknown, Detail: "the primary was replaced before a replica was seen to hold the commit"})
		case r.Lead && r.Statement.Kind == KindRead:
			r.Avoid = r.Server
			l.requeue(r)
		case r.Lead:
			l.refuse(r, Refusal{Reason: ReasonRolledBack, Retry: retryHint})
		default:
			l.proving = append(l.proving, id)
		}
	}
}

func (l *Lane) floorsProven(now time.Duration, e LeadershipConfirmed) {
	ids := l.floors
	l.floors = nil
	for _, id := range ids {
		s, ok := l.sessions.Get(id)
		switch {
		case !ok || s.FloorKnown:
		case s.FloorProof != 0 && s.FloorProof <= e.Confirmation:
			l.sessions.Put(id, s.WithFloor(e.End))
			l.floorKnown(now, id)
		default:
			l.floors = append(l.floors, id)
		}
	}
}

// settleProven answers a request whose commit is now known to be kept, or known to be gone.
func (l *Lane) settleProven(now time.Duration, p proof, r Request, e LeadershipConfirmed) {
	if f, lost := session.Lost(r.Position, e.Forks); lost {
		l.discarded(now, r, f)
		return
	}
	l.ensure(p.sent >= r.Answered, "evidence_after_commit", func() string {
		return fmt.Sprintf("request %d answered at %v, proof sent at %v", r.ID, r.Answered, p.sent)
	})
	l.ensure(now-p.sent <= upstream.EvidenceTTL, "evidence_fresh", func() string { return (now - p.sent).String() })
	l.ensure(e.Term >= r.Position.Term, "evidence_of_term", func() string {
		return fmt.Sprintf("committed in term %d, proven in %d", r.Position.Term, e.Term)
	})
	if r.Result == ResultNotRun {
		l.refuse(r, Refusal{Reason: ReasonNotRun, Key: r.Statement.Key})
		return
	}
	s, _ := l.sessions.Get(r.Session)
	floor := s.Floor.Max(r.Position)
	if r.Result == ResultRan {
		l.out = append(l.out, Complete{Session: r.Session, Seq: r.Seq, Tag: r.Outcome, Floor: floor})
	} else {
		l.out = append(l.out, Release{Session: r.Session, Seq: r.Seq, Floor: floor})
	}
	l.finish(r, func(s Session) Session { return s.WithFloor(r.Position) })
}

// discarded handles a commit that a promotion dropped: a proven primary's log has another entry in its place.
func (l *Lane) discarded(now time.Duration, r Request, f session.Fork) {
	l.note(operator.Record{Kind: operator.KindLost, Term: f.Term, Cause: "unacknowledged_commit_dropped"}.
		WithEvidence("position", r.Position.String()).WithEvidence("key", r.Statement.Key))
	if r.Result != ResultAnswered || r.Statement.Keyed() {
		l.settle(now, r)
		return
	}
	l.refuse(r, Refusal{Reason: ReasonDiscarded, Key: r.Statement.Key})
}

// proofFailed asks again, a little later, for everything that the failed proof was to cover.
func (l *Lane) proofFailed(now time.Duration, id uint64) {
	if _, ok := l.proofs.Get(id); !ok {
		l.stats.StrayMessages++
		return
	}
	l.proofs.Delete(id)
	l.witnessed++
	l.proveAt = max(l.proveAt, now+ConfirmationBackoff)
	for _, k := range l.proving {
		if r, ok := l.requests.Get(k); ok && r.Proof == id {
			l.requests.Put(k, r.WithProof(0))
		}
	}
	for _, k := range l.floors {
		if s, ok := l.sessions.Get(k); ok && s.FloorProof == id {
			l.sessions.Put(k, s.WithFloorProof(0))
		}
	}
}

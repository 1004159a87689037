package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
)

// maxBackoffSteps is the number of failed attempts after which the back-off of a promotion no longer grows.
const maxBackoffSteps = 4

// advancePromotions starts a promotion for each suspect group and advances promotions whose stage has ended.
func advancePromotions(w *Watch, now time.Duration) {
	for _, k := range w.groups.TakeDirty() {
		g, _ := w.groups.Get(k)
		w.startOrAbandon(now, g)
		w.changedGroups[k] = true
	}
	for _, k := range w.promotions.TakeDue(now) {
		p, _ := w.promotions.Get(k)
		w.advancePromotion(now, p)
	}
}

// startOrAbandon starts the promotion of a suspect group. It abandons a promotion if the suspicion was cleared, provided that the
// promotion can still be undone.
func (w *Watch) startOrAbandon(now time.Duration, g Group) {
	p, running := w.promotions.Get(g.Name)
	switch {
	case g.Suspect && !running:
		missed := now
		if s, ok := w.servers.Get(g.Primary); ok && s.FirstMissAt != 0 {
			missed = s.FirstMissAt
		}
		p = Promotion{Group: g.Name, Timeline: Timeline{FirstMiss: missed, Detected: now}}
		w.schedulePromotion(p.WithStage(StageBackoff, now+time.Duration(w.rank(g.Name))*w.kind.Timing.RankDelay))
	case !g.Suspect && running && (p.Stage == StageBackoff || w.kind.UsesLeases && p.Stage != StageOpening && !p.StepDownRequested):
		w.abandonPromotion(now, g, p)
	}
}

// abandonPromotion ends a promotion that is no longer needed, before a promotion order was given.
func (w *Watch) abandonPromotion(now time.Duration, g Group, p Promotion) {
	w.promotions.Delete(g.Name)
	if p.Lease.Valid(now) {
		w.resumeReplicas(now, g, 0)
	}
	w.releaseLease(now, p)
}

func (w *Watch) schedulePromotion(p Promotion) {
	w.promotions.Put(p.Group, p)
	w.promotions.SetDue(p.Group, p.Due)
}

func (w *Watch) advancePromotion(now time.Duration, p Promotion) {
	switch p.Stage {
	case StageBackoff:
		w.beginAttempt(now, p)
	case StageLeasing, StageRecording:
		w.retryAttempt(now, p)
	case StagePromising:
		w.finishPromising(now, p)
	case StageOpening:
		w.retryAttempt(now, p)
	case StageWaiting:
		w.chooseSuccessor(now, p)
	}
}

// beginAttempt requests promises. In groups with leases it first acquires the lease.
func (w *Watch) beginAttempt(now time.Duration, p Promotion) {
	g, _ := w.groups.Get(p.Group)
	switch {
	case !g.Suspect:
		w.abandonPromotion(now, g, p)
	case !w.kind.UsesLeases && g.Cause != CauseUnfinishedPromise && g.UnfinishedPromiseSince != 0 &&
		now-g.UnfinishedPromiseSince < w.kind.Timing.PromiseGrace:
		w.schedulePromotion(p.WithStage(StageBackoff, g.UnfinishedPromiseSince+w.kind.Timing.PromiseGrace))
	case w.kind.UsesLeases && !p.Lease.Valid(now):
		w.requestLease(now, p)
	default:
		w.requestPromises(now, g, p)
	}
}

// requestPromises asks the voters for promises at a term above every known promise. In groups with leases, which need the
// promises of all voters, it asks none while one of them is unresponsive.
func (w *Watch) requestPromises(now time.Duration, g Group, p Promotion) {
	e := w.failureEvidence(now, g)
	if w.kind.UsesLeases && slices.ContainsFunc(w.kind.Voters(e), func(s Server) bool { return s.unresponsive() }) {
		w.endWithoutSuccessor(now, g, p)
		return
	}
	p.Term = g.Term
	for _, s := range e.Servers {
		p.Term = max(p.Term, s.Status.Promised, s.Status.Term)
	}
	p.Term++
	voters := w.kind.Voters(e)
	p.StepDownRequested = w.kind.UsesLeases && slices.ContainsFunc(voters, func(s Server) bool { return s.Name == g.Primary })
	w.schedulePromotion(p.WithStage(StagePromising, now+w.kind.Timing.PromiseTimeout))
	w.actions = append(w.actions, RecordIntent{Group: p.Group, Term: p.Term})
	for _, s := range voters {
		w.actions = append(w.actions, RequestPromise{
			Group: p.Group, Server: s.Name, Address: s.Address, Term: p.Term, Timeout: w.kind.Timing.PromiseTimeout,
			StepDownFirst: w.kind.UsesLeases && s.Name == g.Primary,
		})
	}
}

// retryAttempt ends a failed attempt and schedules the next one after a back-off. The failed attempt's term is never reused, so
// that two servers cannot both open for writes in it.
func (w *Watch) retryAttempt(now time.Duration, p Promotion) {
	w.writeAuditRecord(operator.Record{
		Kind: operator.KindPromotion, Group: p.Group, Term: p.Term, Server: p.Chosen,
		Cause: "abandoned_" + string(p.Stage),
	}.WithEvidence("promises", fmt.Sprint(len(p.Promises))))
	w.schedulePromotion(p.WithRetry(now + w.jitter(w.kind.Timing.RankDelay*time.Duration(1+min(p.Attempts, maxBackoffSteps)))))
}

func (w *Watch) applyPromise(now time.Duration, e PromiseAnswered) {
	s, ok := w.servers.Get(e.Server)
	if !ok {
		return
	}
	if e.Status.Promised > s.Status.Promised {
		s.Status.Promised = e.Status.Promised
		w.servers.Put(e.Server, s)
	}
	p, ok := w.promotions.Get(s.Group)
	if !ok || p.Term != e.Term || !e.Granted || p.Stage != StagePromising && p.Stage != StageWaiting {
		return
	}
	p = p.WithPromise(Promise{Server: e.Server, Position: e.Status.Position})
	g, _ := w.groups.Get(s.Group)
	if p.Stage == StagePromising && len(w.kind.Candidates(w.failureEvidence(now, g), p.Promises, false)) > 0 {
		p = p.WithFence(now, w.kind.Timing.fenceDelay())
	}
	w.schedulePromotion(p)
}

// finishPromising ends the wait for promises and continues if the received ones are sufficient.
func (w *Watch) finishPromising(now time.Duration, p Promotion) {
	g, _ := w.groups.Get(p.Group)
	if len(w.kind.Candidates(w.failureEvidence(now, g), p.Promises, true)) == 0 {
		w.failAttempt(now, g, p)
		return
	}
	w.schedulePromotion(p.WithFence(now, w.kind.Timing.fenceDelay()))
}

// failAttempt ends an attempt that found no server to promote.
func (w *Watch) failAttempt(now time.Duration, g Group, p Promotion) {
	if w.kind.UsesLeases {
		w.endWithoutSuccessor(now, g, p)
	} else {
		w.retryAttempt(now, p)
	}
}

// chooseSuccessor chooses the promised server with the longest log. In groups with leases it first records that server's position
// as the floor, and the promotion order follows. The promises are checked again, as a server that has joined the group since then
// may not be fenced.
func (w *Watch) chooseSuccessor(now time.Duration, p Promotion) {
	g, _ := w.groups.Get(p.Group)
	e := w.failureEvidence(now, g)
	ps := w.kind.Candidates(e, p.Promises, true)
	switch {
	case w.kind.UsesLeases && !p.Lease.Valid(now):
		w.retryAttempt(now, p)
		return
	case len(ps) == 0:
		w.failAttempt(now, g, p)
		return
	}
	best := slices.MaxFunc(ps, func(a, b Promise) int {
		return cmp.Or(a.Position.Compare(b.Position), w.kind.BreakTie(e, a, b))
	})
	w.auditChoice(e, p, best)
	p = p.WithChosen(best.Server)
	if !w.kind.UsesLeases {
		w.orderPromotion(now, p)
		return
	}
	w.learnFloor(p.Group, best.Position)
	g, _ = w.groups.Get(p.Group)
	w.announceFloor(g)
	w.schedulePromotion(p.WithStage(StageRecording, now+leaseStoreTimeout))
	w.actions = append(w.actions, AcquireLease{
		Group: p.Group, Lease: p.Lease.WithHolder(w.node).WithActor(w.node).WithFloor(best.Position), SentAt: now,
	})
}

// orderPromotion orders the chosen server to open for writes.
func (w *Watch) orderPromotion(now time.Duration, p Promotion) {
	t := p.Timeline
	t.Ordered = now
	w.schedulePromotion(p.WithTimeline(t).WithStage(StageOpening, now+w.kind.Timing.OpenTimeout))
	s, _ := w.servers.Get(p.Chosen)
	w.actions = append(w.actions, OrderPromote{
		Group: p.Group, Server: s.Name, Address: s.Address, Term: p.Term, Token: p.Lease.Token, Deadline: p.Lease.ExpiresAt,
		Timeout: w.kind.Timing.OpenTimeout,
	})
}

// auditChoice writes an audit record with the data from which the successor was chosen.
func (w *Watch) auditChoice(e FailureEvidence, p Promotion, best Promise) {
	r := operator.Record{Kind: operator.KindPromotion, Group: p.Group, Server: best.Server, Term: p.Term, Cause: "ordered"}.
		WithEvidence("token", fmt.Sprint(p.Lease.Token))
	for _, s := range e.Servers {
		r = r.WithEvidence("last_"+s.Name, fmt.Sprintf("%s %s leaving %t", s.Status.Role, s.Status.Position, s.IsLeaving()))
	}
	for _, v := range p.Promises {
		r = r.WithEvidence("promise_"+v.Server, v.Position.String())
	}
	w.writeAuditRecord(r)
}

// applyPromoted applies the answer to a promotion order. A server that opens for writes later reports so in its status.
func (w *Watch) applyPromoted(now time.Duration, e PromoteAnswered) {
	s, ok := w.servers.Get(e.Server)
	if !ok {
		return
	}
	p, ok := w.promotions.Get(s.Group)
	if !ok || p.Stage != StageOpening || p.Term != e.Term || p.Chosen != e.Server {
		return
	}
	switch {
	case e.Accepted:
		w.probeGroupSoon(now, s.Group)
	case !e.Opened:
		w.retryAttempt(now, p)
	default:
		w.adoptRoute(now, s.Group, e.Term, e.Server, &e.Status, "promoted")
	}
}

// finishPromotion ends a group's promotion once a primary of a higher term is known.
func (w *Watch) finishPromotion(now time.Duration, g Group, term uint64, primary string, st *Status) {
	p, ok := w.promotions.Get(g.Name)
	if !ok || !w.kind.UsesLeases && p.Term > term {
		return
	}
	if p.Stage == StageOpening && p.Chosen == primary && st != nil {
		t := p.Timeline
		t.Opened = now
		w.writeAuditRecord(promotionRecord(g, p.WithTimeline(t), *st))
	}
	w.promotions.Delete(g.Name)
	if w.kind.UsesLeases && p.Lease.Valid(now) {
		// A promotion ends the pauses up to its own term. A failed attempt may have paused replicas at a term above that of the new
		// primary.
		w.resumeReplicas(now, g, term)
	}
	w.releaseLease(now, p)
}

// promotionRecord returns the audit record of a completed promotion with the duration of each stage.
func promotionRecord(g Group, p Promotion, st Status) operator.Record {
	t := p.Timeline
	r := operator.Record{Kind: operator.KindPromotion, Group: p.Group, Server: p.Chosen, Term: p.Term, Cause: g.Cause}
	r = r.WithEvidence("replaced", g.Primary)
	r = r.WithStageDuration(operator.StageDetection, t.Detected-t.FirstMiss)
	r = r.WithStageDuration(operator.StageFence, t.Fenced-t.Detected)
	r = r.WithStageDuration(operator.StageWait, t.Ordered-t.Fenced)
	r = r.WithStageDuration(operator.StageOpen, t.Opened-t.Ordered)
	r = r.WithEvidence("log_end", st.Position.String())
	for _, v := range p.Promises {
		r = r.WithEvidence("promise_"+v.Server, v.Position.String())
	}
	return r
}

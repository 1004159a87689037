package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
)

const maxBackoffSteps = 4

// advancePromotions starts a promotion for each suspect group and moves those that are under way.
func advancePromotions(w *Watch, now time.Duration) {
	for _, k := range w.groups.TakeDirty() {
		g, _ := w.groups.Get(k)
		w.plan(now, g)
		w.stale[k] = true
	}
	for _, k := range w.promotions.TakeDue(now) {
		p, _ := w.promotions.Get(k)
		w.advance(now, p)
	}
}

// plan opens the promotion of a suspect group, or drops one that has asked nobody yet.
func (w *Watch) plan(now time.Duration, g Group) {
	p, running := w.promotions.Get(g.Name)
	switch {
	case g.Suspect && !running:
		missed := now
		if s, ok := w.servers.Get(g.Primary); ok && s.FirstMiss != 0 {
			missed = s.FirstMiss
		}
		p = Promotion{Group: g.Name, Timeline: Timeline{Missed: missed, Detected: now}}
		w.schedule(p.WithStage(StageBackoff, now+time.Duration(w.rank(g.Name))*w.kind.Times.RankDelay))
	case !g.Suspect && running && (p.Stage == StageBackoff || w.kind.Leases && p.Stage != StageOpening && !p.Deposes):
		w.abandon(now, g, p)
	}
}

// abandon drops a promotion whose reason has passed before anybody was ordered to open.
func (w *Watch) abandon(now time.Duration, g Group, p Promotion) {
	w.promotions.Delete(g.Name)
	if p.Lease.Valid(now) {
		w.resumeAbove(now, g, 0)
	}
	w.release(now, p)
}

func (w *Watch) schedule(p Promotion) {
	w.promotions.Put(p.Group, p)
	w.promotions.Wake(p.Group, p.Due)
}

func (w *Watch) advance(now time.Duration, p Promotion) {
	switch p.Stage {
	case StageBackoff:
		w.begin(now, p)
	case StageLeasing, StageRecording:
		w.retry(now, p)
	case StagePromising:
		w.endPromising(now, p)
	case StageOpening:
		w.retry(now, p)
	case StageWaiting:
		w.open(now, p)
	}
}

// begin asks for promises, after a lease where the kind of group needs one.
func (w *Watch) begin(now time.Duration, p Promotion) {
	g, _ := w.groups.Get(p.Group)
	switch {
	case !g.Suspect:
		w.abandon(now, g, p)
	case !w.kind.Leases && g.Cause != CauseUnfinished && g.Unmended != 0 && now-g.Unmended < w.kind.Times.PromiseGrace:
		w.schedule(p.WithStage(StageBackoff, g.Unmended+w.kind.Times.PromiseGrace))
	case w.kind.Leases && !p.Lease.Valid(now):
		w.seekLease(now, p)
	default:
		w.askPromises(now, g, p)
	}
}

// askPromises asks the voters for their promise at a term above every promise known. Where all of them are needed, nobody is
// asked while one does not answer.
func (w *Watch) askPromises(now time.Duration, g Group, p Promotion) {
	e := w.evidence(now, g)
	if w.kind.Leases && slices.ContainsFunc(w.kind.Voters(e), func(s Server) bool { return s.owes() }) {
		w.giveUp(now, g, p)
		return
	}
	p.Term = g.Term
	for _, s := range e.Servers {
		p.Term = max(p.Term, s.Status.Promised, s.Status.Term)
	}
	p.Term++
	voters := w.kind.Voters(e)
	p.Deposes = w.kind.Leases && slices.ContainsFunc(voters, func(s Server) bool { return s.Name == g.Primary })
	w.schedule(p.WithStage(StagePromising, now+w.kind.Times.PromiseTimeout))
	w.out = append(w.out, Intend{Group: p.Group, Term: p.Term})
	for _, s := range voters {
		w.out = append(w.out, AskPromise{
			Group: p.Group, Server: s.Name, Address: s.Address, Term: p.Term, Timeout: w.kind.Times.PromiseTimeout,
			Depose: w.kind.Leases && s.Name == g.Primary,
		})
	}
}

// retry gives up an attempt; its term is never used again, so two servers cannot both open in it.
func (w *Watch) retry(now time.Duration, p Promotion) {
	w.note(operator.Record{
		Kind: operator.KindPromotion, Group: p.Group, Term: p.Term, Server: p.Chosen,
		Cause: "abandoned_" + string(p.Stage),
	}.WithEvidence("promises", fmt.Sprint(len(p.Promises))))
	w.schedule(p.WithRetry(now + w.jitter(w.kind.Times.RankDelay*time.Duration(1+min(p.Tries, maxBackoffSteps)))))
}

func (w *Watch) applyPromise(now time.Duration, e Promised) {
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
	if p.Stage == StagePromising && len(w.kind.Fenced(w.evidence(now, g), p.Promises, false)) > 0 {
		p = p.WithFence(now, w.kind.Times.fenceWait())
	}
	w.schedule(p)
}

// endPromising goes on with the promises that came, where they are enough.
func (w *Watch) endPromising(now time.Duration, p Promotion) {
	g, _ := w.groups.Get(p.Group)
	if len(w.kind.Fenced(w.evidence(now, g), p.Promises, true)) == 0 {
		w.fail(now, g, p)
		return
	}
	w.schedule(p.WithFence(now, w.kind.Times.fenceWait()))
}

// fail ends an attempt that found nobody to promote.
func (w *Watch) fail(now time.Duration, g Group, p Promotion) {
	if w.kind.Leases {
		w.giveUp(now, g, p)
	} else {
		w.retry(now, p)
	}
}

// open orders the promised server with the longest log to take over. A group that was given another server meanwhile is no
// longer fenced.
func (w *Watch) open(now time.Duration, p Promotion) {
	g, _ := w.groups.Get(p.Group)
	e := w.evidence(now, g)
	ps := w.kind.Fenced(e, p.Promises, true)
	switch {
	case w.kind.Leases && !p.Lease.Valid(now):
		w.retry(now, p)
		return
	case len(ps) == 0:
		w.fail(now, g, p)
		return
	}
	best := slices.MaxFunc(ps, func(a, b Promise) int {
		return cmp.Or(a.Position.Compare(b.Position), w.kind.Prefer(e, a, b))
	})
	w.noteOrder(e, p, best)
	p = p.WithChosen(best.Server)
	if !w.kind.Leases {
		w.order(now, p)
		return
	}
	w.schedule(p.WithStage(StageRecording, now+leaseTimeout))
	w.out = append(w.out, TakeLease{
		Group: p.Group, Lease: p.Lease.WithHolder(w.node).WithActor(w.node).WithFloor(best.Position), Sent: now,
	})
}

// order has the chosen server open.
func (w *Watch) order(now time.Duration, p Promotion) {
	t := p.Timeline
	t.Ordered = now
	w.schedule(p.WithTimeline(t).WithStage(StageOpening, now+w.kind.Times.OpenTimeout))
	s, _ := w.servers.Get(p.Chosen)
	w.out = append(w.out, OrderPromote{
		Group: p.Group, Server: s.Name, Address: s.Address, Term: p.Term, Token: p.Lease.Token, Until: p.Lease.Until,
		Timeout: w.kind.Times.OpenTimeout,
	})
}

// noteOrder records what a choice was made from.
func (w *Watch) noteOrder(e Evidence, p Promotion, best Promise) {
	r := operator.Record{Kind: operator.KindPromotion, Group: p.Group, Server: best.Server, Term: p.Term, Cause: "ordered"}.
		WithEvidence("token", fmt.Sprint(p.Lease.Token))
	for _, s := range e.Servers {
		r = r.WithEvidence("last_"+s.Name, fmt.Sprintf("%s %s leaving %t", s.Status.Role, s.Status.Position, s.Leaves()))
	}
	for _, v := range p.Promises {
		r = r.WithEvidence("promise_"+v.Server, v.Position.String())
	}
	w.note(r)
}

// applyPromoted takes the answer to an order to open; a server that opens only later shows so in its status.
func (w *Watch) applyPromoted(now time.Duration, e Promoted) {
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
		w.hurry(now, s.Group)
	case !e.Done:
		w.retry(now, p)
	default:
		w.learn(now, s.Group, e.Term, e.Server, &e.Status, "promoted")
	}
}

// endPromotion closes a group's promotion once a primary of a higher term is known.
func (w *Watch) endPromotion(now time.Duration, g Group, term uint64, primary string, st *Status) {
	p, ok := w.promotions.Get(g.Name)
	if !ok || !w.kind.Leases && p.Term > term {
		return
	}
	if p.Stage == StageOpening && p.Chosen == primary && st != nil {
		t := p.Timeline
		t.Opened = now
		w.note(promotionRecord(g, p.WithTimeline(t), *st))
	}
	w.promotions.Delete(g.Name)
	if w.kind.Leases && p.Lease.Valid(now) {
		// A promotion ends the pauses up to its own term. An attempt after a failed one asked for a higher term than the next.
		w.resumeAbove(now, g, term)
	}
	w.release(now, p)
}

func promotionRecord(g Group, p Promotion, st Status) operator.Record {
	t := p.Timeline
	r := operator.Record{Kind: operator.KindPromotion, Group: p.Group, Server: p.Chosen, Term: p.Term, Cause: g.Cause}
	r = r.WithEvidence("replaced", g.Primary)
	r = r.WithStageDuration(operator.StageDetection, t.Detected-t.Missed)
	r = r.WithStageDuration(operator.StageFence, t.Fenced-t.Detected)
	r = r.WithStageDuration(operator.StageWait, t.Ordered-t.Fenced)
	r = r.WithStageDuration(operator.StageOpen, t.Opened-t.Ordered)
	r = r.WithEvidence("log_end", st.Position.String())
	for _, v := range p.Promises {
		r = r.WithEvidence("promise_"+v.Server, v.Position.String())
	}
	return r
}

package upstream

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
)

// In a group with leases, a commit is acknowledged once one replica has received it. A promotion that examines the logs of all
// replicas therefore finds every acknowledged commit, unless the log that held it was lost before.

// recordLogLoss records that the log of a server is lost. If it was a replica, it may have been the only one to receive commits
// that the primary acknowledged.
func (w *Watch) recordLogLoss(now time.Duration, s Server) {
	g, ok := w.groups.Get(s.Group)
	if !ok || !w.kind.UsesLeases || s.Name == g.Primary {
		return
	}
	last := s.Status.Position
	p, _ := w.promotions.Get(s.Group)
	if i := slices.IndexFunc(p.Promises, func(v Promise) bool { return v.Server == s.Name }); i >= 0 {
		last = last.Max(p.Promises[i].Position)
	}
	g = g.WithFloor(last).WithLogLost(now)
	w.groups.Put(s.Group, g)
	w.announceFloor(g)
}

// applyCommitsAcknowledged raises a group's floor to what this node's traffic has acknowledged.
func (w *Watch) applyCommitsAcknowledged(e CommitsAcknowledged) {
	w.learnFloor(e.Group, e.Position)
	if g, _ := w.groups.Get(e.Group); g.Floor == e.Position {
		w.announceFloor(g)
	}
}

// announceFloor reports a group's floor to the peers.
func (w *Watch) announceFloor(g Group) {
	if w.kind.UsesLeases && !g.Floor.IsZero() {
		w.actions = append(w.actions, AnnounceFloor{Group: g.Name, Floor: g.Floor})
	}
}

// updateLogLoss ends the loss of a log once a replica holds all that the primary held after the loss. A primary that itself lacks
// acknowledged commits, as after a restart, is no reference.
func (w *Watch) updateLogLoss(g Group) Group {
	if g.LogLostAt == 0 {
		return g
	}
	p, ok := w.servers.Get(g.Primary)
	if ok && g.LogLossBound.At == 0 && p.StatusKnown && p.Status.Role == RolePrimary && p.Status.Term == g.Term &&
		p.StatusProbedAt >= g.LogLostAt && p.Status.Position.Covers(g.Floor) {
		g = g.WithLogLossBound(Sample{At: p.StatusProbedAt, Position: p.Status.Position})
	}
	if g.LogLossBound.At == 0 {
		return g
	}
	for _, s := range w.serversOf(g) {
		if s.Name != g.Primary && s.StatusKnown && s.Status.Role == RoleReplica && s.Status.Position.Covers(g.LogLossBound.Position) {
			w.writeAuditRecord(operator.Record{
				Kind: operator.KindMember, Group: g.Name, Server: s.Name, Term: g.Term, Cause: "log_replaced",
			}.WithEvidence("bound", g.LogLossBound.Position.String()).WithEvidence("holds", s.Status.Position.String()))
			return g.WithoutLogLoss()
		}
	}
	return g
}

// logLost reports whether the replicas may lack commits that the primary acknowledged.
func (e FailureEvidence) logLost() bool {
	return e.Group.LogLostAt != 0
}

// needsPrimary reports whether only the primary is known to hold all acknowledged commits, and may still respond.
func (e FailureEvidence) needsPrimary() bool {
	p, known := e.primary()
	return e.logLost() && known && p.StatusKnown && p.Status.Role == RolePrimary && p.Refusals == 0 &&
		e.Now-p.LastResponse < e.Timing.SilenceLimit
}

// afterLogLoss returns the promises from which a primary may be chosen although the log of a replica was lost: none until the other
// nodes have reported what they acknowledged, and only those of logs as long as that of a primary that has stepped down. If no
// replica holds as much, the former primary itself may be chosen.
func (e FailureEvidence) afterLogLoss(ps, candidates []Promise) []Promise {
	if !e.logLost() {
		return candidates
	}
	if e.Now-e.Group.LogLostAt < FloorSettleTime {
		return nil
	}
	i := slices.IndexFunc(ps, func(p Promise) bool { return p.Server == e.Group.Primary })
	if i < 0 {
		return candidates
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(p Promise) bool { return !p.Position.Covers(ps[i].Position) })
	if len(candidates) == 0 && ps[i].Position.Covers(e.Group.Floor) {
		return ps[i : i+1]
	}
	return candidates
}

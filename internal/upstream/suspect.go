package upstream

import (
	"fmt"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
)

// The causes for which a primary counts as failed and is replaced.
const (
	CauseConnectionRefused = "closed_door"
	CausePrimarySilent     = "silent_to_replicas"
	CauseQuorumLost        = "quorum_lost"
	CauseUnfinishedPromise = "unfinished_promise"
	CauseNoPrimary         = "no_primary"
)

// updateSuspicions decides for each changed group whether its primary has failed.
func updateSuspicions(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDirty() {
		if s, ok := w.servers.Get(k); ok {
			g, _ := w.groups.Get(s.Group)
			w.groups.Put(g.Name, g)
		}
	}
	for _, k := range w.groups.TakeDirty() {
		// A route that peers report for a group that this node does not watch is published to the group's lane as well.
		if g, _ := w.groups.Get(k); g.Watched {
			w.groups.Put(k, w.updateSuspicion(now, g))
		} else {
			w.groups.Put(k, g.WithoutSuspicion())
		}
	}
}

// updateSuspicion returns the group's row with its suspicion raised, kept or cleared.
func (w *Watch) updateSuspicion(now time.Duration, g Group) Group {
	g = w.updateUnfinishedPromise(now, g)
	g = w.updateNoPrimary(now, g)
	g = w.updateReplicationStall(now, g)
	g = w.updateLogLoss(g)
	cause := w.kind.DetectFailure(w.failureEvidence(now, g))
	switch {
	case cause == "" && g.Suspect:
		w.writeAuditRecord(operator.Record{
			Kind: operator.KindSuspicion, Group: g.Name, Server: g.Primary, Term: g.Term,
			Cause: "cleared",
		}.WithEvidence("was", g.Cause))
		g.Suspect = false
		g.Cause = ""
		if p, ok := w.servers.Get(g.Primary); ok && w.kind.UsesLeases && p.IsLeaving() {
			// What clears it is a floor that the last statuses of the replicas do not cover.
			w.probeGroupSoon(now, g.Name)
		}
	case cause != "" && !g.Suspect:
		g = g.WithSuspicion(now, cause)
		w.announceFloor(g)
		w.writeAuditRecord(w.suspicionRecord(now, g))
	}
	return g
}

// updateUnfinishedPromise updates the time since which a server has promised a term above the current one.
func (w *Watch) updateUnfinishedPromise(now time.Duration, g Group) Group {
	for _, s := range w.serversOf(g) {
		if s.Fresh(now, w.kind.Timing.FreshTTL) && s.Status.Promised > g.Term {
			if g.UnfinishedPromiseSince == 0 {
				g = g.WithUnfinishedPromise(now)
			}
			return g.WithPaused(now)
		}
	}
	return g.WithUnfinishedPromise(0)
}

// updateNoPrimary updates the time since which no server has reported itself as the group's primary.
func (w *Watch) updateNoPrimary(now time.Duration, g Group) Group {
	p, ok := w.servers.Get(g.Primary)
	switch {
	case ok && p.StatusKnown && p.Status.Role == RolePrimary && now-p.LastResponse < w.kind.Timing.PrimaryProbeInterval:
		return g.WithNoPrimary(0)
	case g.NoPrimarySince != 0:
		return g
	case ok && p.StatusKnown && p.Status.Role == RolePrimary:
		return g.WithNoPrimary(p.LastResponse)
	default:
		return g.WithNoPrimary(now)
	}
}

// updateReplicationStall updates the time since which no replica has received the log that the primary held when it was probed
// before the replicas.
func (w *Watch) updateReplicationStall(now time.Duration, g Group) Group {
	p, ok := w.servers.Get(g.Primary)
	if !ok || !p.StatusKnown || p.Status.Role != RolePrimary {
		return g.WithReplicationStalled(0)
	}
	probedLater, behind := 0, 0
	for _, s := range w.serversOf(g) {
		primary := Sample{At: p.StatusProbedAt, Position: p.Status.Position}
		if s.StatusProbedAt <= p.StatusProbedAt {
			primary = p.PreviousSample
		}
		if s.Name == g.Primary || !s.StatusKnown || s.StatusProbedAt <= primary.At {
			continue
		}
		probedLater++
		if !s.Status.Position.Covers(primary.Position) {
			behind++
		}
	}
	switch {
	case probedLater == 0:
		return g
	case behind < probedLater:
		return g.WithReplicationStalled(0)
	case g.ReplicationStalledSince == 0:
		return g.WithReplicationStalled(now)
	default:
		return g
	}
}

// FailureEvidence is a node's knowledge of a group, from which it decides whether the group's primary has failed.
type FailureEvidence struct {
	Now     time.Duration
	Group   Group
	Servers []Server
	Timing  Timing
}

func (w *Watch) failureEvidence(now time.Duration, g Group) FailureEvidence {
	return FailureEvidence{Now: now, Group: g, Servers: w.serversOf(g), Timing: w.kind.Timing}
}

// DetectQuorumFailure returns the cause for which the primary of a quorum group counts as failed, or "".
func DetectQuorumFailure(e FailureEvidence) string {
	fresh, silent, refused := e.countReports()
	p, known := e.primary()
	majority := len(e.Group.Servers)/2 + 1
	switch {
	case e.Group.UnfinishedPromiseSince != 0 && e.Now-e.Group.UnfinishedPromiseSince >= e.Timing.PromiseGrace:
		return CauseUnfinishedPromise
	case !known || e.Group.Term == 0:
		if fresh >= majority && e.Now >= e.Timing.SilenceLimit {
			return CauseNoPrimary
		}
	case p.Refusals >= MinRefusals && refused > 0:
		return CauseConnectionRefused
	case silent >= majority:
		return CausePrimarySilent
	case p.Fresh(e.Now, e.Timing.FreshTTL) && p.Status.Role == RolePrimary && p.Status.QuorumAge >= e.Timing.SilenceLimit &&
		fresh >= majority:
		return CauseQuorumLost
	}
	return ""
}

func (e FailureEvidence) primary() (Server, bool) {
	for _, s := range e.Servers {
		if s.Name == e.Group.Primary {
			return s, true
		}
	}
	return Server{}, false
}

// countReports returns how many servers have responded recently, and how many replicas report their primary as silent or its
// replication connection as refused.
func (e FailureEvidence) countReports() (fresh, silent, refused int) {
	for _, s := range e.Servers {
		if !s.Fresh(e.Now, e.Timing.FreshTTL) {
			continue
		}
		fresh++
		if s.Name == e.Group.Primary || s.Status.Role != RoleReplica || s.Status.Term != e.Group.Term {
			continue
		}
		if s.Status.PrimaryAge >= e.Timing.SilenceLimit {
			silent++
		}
		if s.Status.LinkClosed {
			refused++
		}
	}
	return fresh, silent, refused
}

func (w *Watch) serversOf(g Group) []Server {
	ss := make([]Server, 0, len(g.Servers))
	for _, n := range g.Servers {
		if s, ok := w.servers.Get(n); ok {
			ss = append(ss, s)
		}
	}
	return ss
}

// suspicionRecord returns the audit record of a suspicion, with each server's status as evidence.
func (w *Watch) suspicionRecord(now time.Duration, g Group) operator.Record {
	r := operator.Record{Kind: operator.KindSuspicion, Group: g.Name, Server: g.Primary, Term: g.Term, Cause: g.Cause}
	for _, s := range w.serversOf(g) {
		r = r.WithEvidence(s.Name, fmt.Sprintf(
			"heard %v ago, refusals %d, primary silent %v, link closed %t, promised %d",
			(now-s.LastResponse).Round(time.Millisecond), s.Refusals, s.Status.PrimaryAge.Round(time.Millisecond),
			s.Status.LinkClosed, s.Status.Promised))
	}
	return r
}

package upstream

import (
	"cmp"
	"slices"
	"time"
)

// The causes for a failover that occur in appointed groups only.
const (
	CausePrimaryLeaving = "leaving"
)

// replicaIdleTime is how long a replica must receive nothing to count as idle. It is several times the interval between two writes
// in a group that is in use.
const replicaIdleTime = 400 * time.Millisecond

// Appointed returns the kind of group whose primary the platform appoints on the order of the lease's holder. The primary
// acknowledges a commit only after a replica has received it. A replica that has made a promise is paused: it follows no primary
// for now. A promotion that has paused every replica has therefore fenced the primary, and the longest log of the replicas holds
// every acknowledged commit.
func Appointed() Kind {
	return Kind{
		Name: "appointed",
		Timing: Timing{
			// Responses to traffic show that most servers are alive. Only servers without a response for this long are probed.
			PrimaryProbeInterval: time.Second,
			ReplicaProbeInterval: 3 * time.Second,
			ShortProbeInterval:   150 * time.Millisecond,
			ProbeTimeout:         time.Second,
			OverdueAfter:         300 * time.Millisecond,
			FreshTTL:             4 * time.Second,
			AliveTTL:             5 * time.Second,
			// SilenceLimit exceeds the time for which a probe may be queued at a busy server.
			SilenceLimit: 1200 * time.Millisecond,
			// EvidenceTTL covers a query to the closest replica and a few requests after it.
			EvidenceTTL: 250 * time.Millisecond,
			// MinOpenDelay is less than the few hundred milliseconds that the platform takes to appoint a primary.
			MinOpenDelay:   200 * time.Millisecond,
			PromiseTimeout: time.Second,
			OpenTimeout:    3 * time.Second,
			RankDelay:      300 * time.Millisecond,
			PromiseGrace:   2500 * time.Millisecond,
			FollowInterval: 500 * time.Millisecond,
		},
		UsesLeases:       true,
		DetectFailure:    detectAppointedFailure,
		Voters:           appointedVoters,
		Candidates:       appointedCandidates,
		BreakTie:         preferNotLeaving,
		ConfirmsLeader:   confirmsLeader,
		NeedsFollowOrder: leadsOlderTerm,
	}
}

// detectAppointedFailure reports a primary as failed if its VM refuses connections, if it is leaving, if it sends no response while
// the replicas receive nothing, or if no replica receives its log. It also reports a group without a primary and an unfinished
// promise. It reports nothing until the group's list of servers counts as complete, and only an unfinished promise while no replica
// can be promoted.
func detectAppointedFailure(e FailureEvidence) string {
	p, known := e.primary()
	g := e.Group
	switch {
	case e.Now-g.FirstServerAt < ListSettleTime:
		// A server that is not listed yet may be the primary, or the only replica with the commits that the primary acknowledged.
		return ""
	case g.UnfinishedPromiseSince != 0 && e.Now-g.UnfinishedPromiseSince >= e.Timing.PromiseGrace:
		return CauseUnfinishedPromise
	case !e.hasSuccessor():
		return ""
	case !known && g.Term != 0:
		return CauseNoPrimary
	case known && p.IsLeaving():
		return CausePrimaryLeaving
	case known && p.Refusals >= MinRefusals:
		return CauseConnectionRefused
	case g.NoPrimarySince != 0 && e.Now-g.NoPrimarySince >= e.Timing.SilenceLimit && e.replicasIdle():
		if known {
			return CausePrimarySilent
		}
		return CauseNoPrimary
	case g.ReplicationStalledSince != 0 && e.Now-g.ReplicationStalledSince >= e.Timing.SilenceLimit:
		return CauseQuorumLost
	}
	return ""
}

// hasSuccessor reports whether a replica responds, is not leaving and has reached the floor. While only the primary is known to
// hold all acknowledged commits, no replica may succeed it. Commits that end as a leaving primary becomes suspect raise the floor
// above the last statuses, which has no effect for a while: the promises show what the replicas hold.
func (e FailureEvidence) hasSuccessor() bool {
	outdated := e.Group.Suspect && e.Group.Cause == CausePrimaryLeaving && e.Now-e.Group.SuspectSince < successorGrace
	return !e.needsPrimary() && slices.ContainsFunc(possibleReplicas(e), func(s Server) bool {
		return s.Fresh(e.Now, e.Timing.FreshTTL) && !s.IsLeaving() && (outdated || s.Status.Position.Covers(e.Group.Floor))
	})
}

// successorGrace is how long a leaving primary stays suspect although no status covers the floor. Several probes take less.
const successorGrace = time.Second

// replicasIdle reports whether no responding replica has received anything for replicaIdleTime, in which a live primary would have
// sent something. A replica whose status is older than SilenceLimit may have received something since.
func (e FailureEvidence) replicasIdle() bool {
	return !slices.ContainsFunc(possibleReplicas(e), func(s Server) bool {
		return s.Fresh(e.Now, e.Timing.FreshTTL) &&
			(e.Now-s.StatusProbedAt > e.Timing.SilenceLimit || s.StatusProbedAt-s.PositionSince < replicaIdleTime)
	})
}

// possibleReplicas returns every server but the primary, and also the primary once it reports the role of a replica. A server
// without a known status may be the only replica with a copy of the latest commits.
func possibleReplicas(e FailureEvidence) []Server {
	return slices.DeleteFunc(slices.Clone(e.Servers), func(s Server) bool {
		return s.Name == e.Group.Primary && (!s.StatusKnown || s.Status.Role == RolePrimary)
	})
}

// appointedVoters returns every replica, and also the primary while it responds. A server that joins the group during the promotion
// is not paused, and could enable a primary that has not stepped down to acknowledge commits again.
func appointedVoters(e FailureEvidence) []Server {
	voters := possibleReplicas(e)
	if p, ok := e.primary(); ok && p.Status.Role == RolePrimary && !p.unresponsive() {
		voters = append(voters, p)
	}
	return voters
}

// appointedCandidates requires the promises of all voters and returns those of replicas that have reached the floor.
func appointedCandidates(e FailureEvidence, ps []Promise, _ bool) []Promise {
	voters := appointedVoters(e)
	for _, s := range voters {
		if !slices.ContainsFunc(ps, func(p Promise) bool { return p.Server == s.Name }) {
			return nil
		}
	}
	return e.afterLogLoss(ps, slices.DeleteFunc(slices.Clone(ps), func(p Promise) bool {
		voter := slices.ContainsFunc(voters, func(s Server) bool { return s.Name == p.Server })
		return p.Server == e.Group.Primary || !p.Position.Covers(e.Group.Floor) || !voter
	}))
}

// preferNotLeaving prefers a server that is not leaving.
func preferNotLeaving(e FailureEvidence, a, b Promise) int {
	return cmp.Or(-cmp.Compare(e.leavingOrder(a.Server), e.leavingOrder(b.Server)), cmp.Compare(b.Server, a.Server))
}

func (e FailureEvidence) leavingOrder(server string) int {
	i := slices.IndexFunc(e.Servers, func(s Server) bool { return s.Name == server })
	if i >= 0 && e.Servers[i].IsLeaving() {
		return 1
	}
	return 0
}

// PauseSettleTime is how long a replica gives no leadership evidence after its pause has ended. A promotion also ends the
// pause, and the replica may report its old term until the next primary contacts it, which takes part of a second.
const PauseSettleTime = time.Second

// PauseSettled reports whether, at the given time, PauseSettleTime has passed since a server of the group was last known to be
// paused. A server that follows a primary at that time follows the primary of the known term. lastPaused is zero if no server was
// paused in this term.
func PauseSettled(at, lastPaused time.Duration) bool {
	return lastPaused == 0 || at >= lastPaused+PauseSettleTime
}

// confirmsLeader reports whether a replica of the current term was not paused when it was probed. A promotion pauses all replicas
// before its order, so the primary had not been replaced then. A primary that has stepped down is no evidence for its own
// leadership.
func confirmsLeader(g Group, s Server) bool {
	return s.Name != g.Primary && s.Status.Role == RoleReplica && s.Status.Promised == 0 && s.Status.Term == g.Term
}

// leadsOlderTerm reports whether a server is still the primary of an older term.
func leadsOlderTerm(g Group, s Server) bool {
	return s.Status.Role == RolePrimary && s.Status.Term < g.Term
}

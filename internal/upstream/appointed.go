package upstream

import (
	"cmp"
	"slices"
	"time"
)

// The causes for which a primary of an appointed group is replaced, besides those of every kind.
const (
	CausePrimaryLeaving = "leaving"
)

// stillFor is how long a replica must be seen to receive nothing, several times what lies between two writes of a group in use.
const stillFor = 400 * time.Millisecond

// Appointed is the kind of group whose primary the platform appoints by order of the lease's holder. A primary there
// acknowledges a commit only when a replica has received it, so a promotion that has paused every replica has fenced it, and
// the longest of their logs holds all that was acknowledged.
func Appointed() Kind {
	return Kind{
		Name: "appointed",
		Timing: Timing{
			// Traffic shows most servers alive; probes go to those from which nothing was heard for so long.
			PrimaryProbeInterval: time.Second,
			ReplicaProbeInterval: 3 * time.Second,
			ShortProbeInterval:   150 * time.Millisecond,
			ProbeTimeout:         time.Second,
			OverdueAfter:         300 * time.Millisecond,
			FreshTTL:             4 * time.Second,
			AliveTTL:             5 * time.Second,
			// Silence is above the time that a status question may wait behind other work at a busy server.
			SilenceLimit: 1200 * time.Millisecond,
			// EvidenceTTL covers a question to the closest replica and a few requests after it.
			EvidenceTTL: 250 * time.Millisecond,
			// OpensAfter is less than the some hundred milliseconds that the platform takes to appoint a primary.
			MinOpenDelay:   200 * time.Millisecond,
			PromiseTimeout: time.Second,
			OpenTimeout:    3 * time.Second,
			RankDelay:      300 * time.Millisecond,
			PromiseGrace:   2500 * time.Millisecond,
			FollowInterval: 500 * time.Millisecond,
		},
		UsesLeases:       true,
		DetectFailure:    judgeAppointed,
		Voters:           votersOf,
		Candidates:       allFenced,
		BreakTie:         preferStaying,
		ConfirmsLeader:   unpaused,
		NeedsFollowOrder: deposed,
	}
}

// judgeAppointed counts a primary as failed when its VM refuses connections, when it leaves, when nothing was heard from it
// while no replica received anything either, or when no replica follows it any more; all of that only once the group's list is
// complete.
func judgeAppointed(e FailureEvidence) string {
	p, known := e.primary()
	g := e.Group
	switch {
	case e.Now-g.FirstServerAt < ListSettleTime:
		// A server that is not listed yet may be the primary, or the only replica with what it acknowledged.
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
	case g.NoPrimarySince != 0 && e.Now-g.NoPrimarySince >= e.Timing.SilenceLimit && e.replicasStill():
		if known {
			return CausePrimarySilent
		}
		return CauseNoPrimary
	case g.ReplicationStalledSince != 0 && e.Now-g.ReplicationStalledSince >= e.Timing.SilenceLimit:
		return CauseQuorumLost
	}
	return ""
}

// hasSuccessor reports whether some replica answers and stays.
func (e FailureEvidence) hasSuccessor() bool {
	return slices.ContainsFunc(replicasOf(e), func(s Server) bool {
		return s.Fresh(e.Now, e.Timing.FreshTTL) && !s.IsLeaving() && s.Status.Position.Covers(e.Group.Floor)
	})
}

// replicasStill reports whether no replica that answers has received anything for a while, as a living primary would send.
func (e FailureEvidence) replicasStill() bool {
	return !slices.ContainsFunc(replicasOf(e), func(s Server) bool {
		return s.Fresh(e.Now, e.Timing.FreshTTL) &&
			(e.Now-s.StatusProbedAt > e.Timing.SilenceLimit || s.StatusProbedAt-s.PositionSince < stillFor)
	})
}

// replicasOf lists every server but the primary; a server of which nothing is known may be a replica with the only copy.
func replicasOf(e FailureEvidence) []Server {
	return slices.DeleteFunc(slices.Clone(e.Servers), func(s Server) bool {
		return s.Name == e.Group.Primary && (!s.StatusKnown || s.Status.Role == RolePrimary)
	})
}

// votersOf lists every replica, and the primary too while it answers: a server that joins the group meanwhile is not paused and
// would let it acknowledge again.
func votersOf(e FailureEvidence) []Server {
	voters := replicasOf(e)
	if p, ok := e.primary(); ok && p.Status.Role == RolePrimary && !p.owes() {
		voters = append(voters, p)
	}
	return voters
}

// allFenced needs the promise of every voter, and offers those of replicas that hold what the last promotion took over.
func allFenced(e FailureEvidence, ps []Promise, _ bool) []Promise {
	voters := votersOf(e)
	for _, s := range voters {
		if !slices.ContainsFunc(ps, func(p Promise) bool { return p.Server == s.Name }) {
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(ps), func(p Promise) bool {
		voter := slices.ContainsFunc(voters, func(s Server) bool { return s.Name == p.Server })
		return p.Server == e.Group.Primary || !p.Position.Covers(e.Group.Floor) || !voter
	})
}

// preferStaying avoids a server that is about to leave.
func preferStaying(e FailureEvidence, a, b Promise) int {
	return cmp.Or(-cmp.Compare(e.leaves(a.Server), e.leaves(b.Server)), cmp.Compare(b.Server, a.Server))
}

func (e FailureEvidence) leaves(server string) int {
	i := slices.IndexFunc(e.Servers, func(s Server) bool { return s.Name == server })
	if i >= 0 && e.Servers[i].IsLeaving() {
		return 1
	}
	return 0
}

// PauseSettleTime is how long a replica gives no leadership evidence after its pause has ended. A promotion also ends the
// pause, and the replica may report its old term until the next primary contacts it, which takes part of a second.
const PauseSettleTime = time.Second

// PauseSettled reports whether a server of a group that follows somebody at a moment follows the primary of the term that is known;
// paused is when a server of the group was last known to follow nobody, zero for never in this term.
func PauseSettled(at, paused time.Duration) bool {
	return paused == 0 || at >= paused+PauseSettleTime
}

// unpaused reports whether a replica was not paused when it was asked: a promotion pauses all replicas before it orders. A
// primary that has stepped down says nothing of the kind about itself.
func unpaused(g Group, s Server) bool {
	return s.Name != g.Primary && s.Status.Role == RoleReplica && s.Status.Promised == 0 && s.Status.Term == g.Term
}

// deposed reports whether a server still leads an older term.
func deposed(g Group, s Server) bool {
	return s.Status.Role == RolePrimary && s.Status.Term < g.Term
}

package upstream

import (
	"cmp"
	"slices"
	"time"
)

// The causes for which a primary of an appointed group is replaced, besides those of every kind.
const (
	CauseLeaving = "leaving"
)

// stillFor is how long a replica must be seen to receive nothing, several times what lies between two writes of a group in use.
const stillFor = 400 * time.Millisecond

// Appointed is the kind of group whose primary the platform appoints by order of the lease's holder. A primary there
// acknowledges a commit only when a replica has received it, so a promotion that has paused every replica has fenced it, and
// the longest of their logs holds all that was acknowledged.
func Appointed() Kind {
	return Kind{
		Name: "appointed",
		Times: Times{
			// Traffic shows most servers alive; probes go to those from which nothing was heard for so long.
			ProbeEvery:   time.Second,
			ProbeFar:     3 * time.Second,
			ProbeSoon:    150 * time.Millisecond,
			ProbeTimeout: time.Second,
			DoubtAfter:   300 * time.Millisecond,
			FreshFor:     4 * time.Second,
			AliveFor:     5 * time.Second,
			// Silence is above the time that a status question may wait behind other work at a busy server.
			Silence: 1200 * time.Millisecond,
			// EvidenceTTL covers a question to the closest replica and a few requests after it.
			EvidenceTTL: 250 * time.Millisecond,
			// OpensAfter is less than the some hundred milliseconds that the platform takes to appoint a primary.
			OpensAfter:     200 * time.Millisecond,
			PromiseTimeout: time.Second,
			OpenTimeout:    3 * time.Second,
			RankDelay:      300 * time.Millisecond,
			PromiseGrace:   2500 * time.Millisecond,
			FollowEvery:    500 * time.Millisecond,
		},
		Leases:  true,
		Judge:   judgeAppointed,
		Voters:  votersOf,
		Fenced:  allFenced,
		Prefer:  preferStaying,
		Leads:   unpaused,
		Outside: deposed,
	}
}

// judgeAppointed counts a primary as failed when its VM refuses connections, when it leaves, when nothing was heard from it
// while no replica received anything either, or when no replica follows it any more; all of that only once the group's list is
// complete.
func judgeAppointed(e Evidence) string {
	p, known := e.primary()
	g := e.Group
	switch {
	case e.Now-g.Known < ListSettle:
		// A server that is not listed yet may be the primary, or the only replica with what it acknowledged.
		return ""
	case g.Unmended != 0 && e.Now-g.Unmended >= e.Times.PromiseGrace:
		return CauseUnfinished
	case !e.hasSuccessor():
		return ""
	case !known && g.Term != 0:
		return CauseNone
	case known && p.Leaves():
		return CauseLeaving
	case known && p.Refusals >= RefusalsNeeded:
		return CauseClosed
	case g.Headless != 0 && e.Now-g.Headless >= e.Times.Silence && e.replicasStill():
		if known {
			return CauseSilent
		}
		return CauseNone
	case g.Stuck != 0 && e.Now-g.Stuck >= e.Times.Silence:
		return CauseQuorumLost
	}
	return ""
}

// hasSuccessor reports whether some replica answers and stays.
func (e Evidence) hasSuccessor() bool {
	return slices.ContainsFunc(replicasOf(e), func(s Server) bool {
		return s.Fresh(e.Now, e.Times.FreshFor) && !s.Leaves() && s.Status.Position.Covers(e.Group.Floor)
	})
}

// replicasStill reports whether no replica that answers has received anything for a while, as a living primary would send.
func (e Evidence) replicasStill() bool {
	return !slices.ContainsFunc(replicasOf(e), func(s Server) bool {
		return s.Fresh(e.Now, e.Times.FreshFor) && (e.Now-s.Asked > e.Times.Silence || s.Asked-s.Still < stillFor)
	})
}

// replicasOf lists every server but the primary; a server of which nothing is known may be a replica with the only copy.
func replicasOf(e Evidence) []Server {
	return slices.DeleteFunc(slices.Clone(e.Servers), func(s Server) bool {
		return s.Name == e.Group.Primary && (!s.Known || s.Status.Role == RolePrimary)
	})
}

// votersOf lists every replica, and the primary too while it answers: a server that joins the group meanwhile is not paused and
// would let it acknowledge again.
func votersOf(e Evidence) []Server {
	voters := replicasOf(e)
	if p, ok := e.primary(); ok && p.Status.Role == RolePrimary && !p.owes() {
		voters = append(voters, p)
	}
	return voters
}

// allFenced needs the promise of every voter, and offers those of replicas that hold what the last promotion took over.
func allFenced(e Evidence, ps []Promise, _ bool) []Promise {
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
func preferStaying(e Evidence, a, b Promise) int {
	return cmp.Or(-cmp.Compare(e.leaves(a.Server), e.leaves(b.Server)), cmp.Compare(b.Server, a.Server))
}

func (e Evidence) leaves(server string) int {
	i := slices.IndexFunc(e.Servers, func(s Server) bool { return s.Name == server })
	if i >= 0 && e.Servers[i].Leaves() {
		return 1
	}
	return 0
}

// PauseSettle is how long a replica whose pause has ended is no witness in its term. A promotion ends the pause as well, and the
// replica may show its old term until it hears from the next primary, which takes part of a second.
const PauseSettle = time.Second

// Settled reports whether a server of a group that follows somebody at a moment follows the primary of the term that is known;
// paused is when a server of the group was last known to follow nobody, zero for never in this term.
func Settled(at, paused time.Duration) bool {
	return paused == 0 || at >= paused+PauseSettle
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

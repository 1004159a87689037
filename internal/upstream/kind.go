package upstream

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what differs between the kinds of database groups, as one concrete set of functions.
type Kind struct {
	Name  string
	Times Times
	// Leases says that a promotion first takes a numbered lease in the platform's store, so that one node at a time orders.
	Leases bool
	// Judge returns why the primary of a group counts as failed, or "".
	Judge func(e Evidence) string
	// Voters lists the servers whose promises a promotion needs.
	Voters func(e Evidence) []Server
	// Fenced returns the promises to choose a primary from, or none while others may still acknowledge work; late says that
	// no more promises are waited for.
	Fenced func(e Evidence, ps []Promise, late bool) []Promise
	// Prefer orders promises of equal length, the better one above the other.
	Prefer func(e Evidence, a, b Promise) int
	// Leads reports whether a server's status shows that nobody can have replaced its group's primary when it was asked for.
	Leads func(g Group, s Server) bool
	// Outside reports whether a server has to be told to follow the group's primary.
	Outside func(g Group, s Server) bool
}

// Times are the limits by which a kind of group is watched and repaired.
type Times struct {
	// ProbeEvery is the time between probes of the server that is watched most closely, ProbeFar between those of others.
	ProbeEvery time.Duration
	ProbeFar   time.Duration
	// ProbeSoon is the time between probes in a group whose primary is in doubt.
	ProbeSoon time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before its connection is given up.
	ProbeTimeout time.Duration
	// DoubtAfter is the silence after which a group is probed at the shorter interval.
	DoubtAfter time.Duration
	// FreshFor is the age up to which a server's answer counts as evidence.
	FreshFor time.Duration
	// AliveFor is the age up to which a server's answer shows that it can be used.
	AliveFor time.Duration
	// Silence is how long a primary may be silent before that, seen by enough vantage points, counts as its failure.
	Silence time.Duration
	// EvidenceTTL is how long a proof of leadership may be acted on, and how long a promoter waits after fencing.
	EvidenceTTL time.Duration
	// OpensAfter is the least time from an order to open until it takes effect, which a promoter need not wait besides.
	OpensAfter time.Duration
	// PromiseTimeout bounds the wait for promises, OpenTimeout that for a new primary to open.
	PromiseTimeout time.Duration
	OpenTimeout    time.Duration
	// RankDelay keeps a lower-ranked node from racing the higher-ranked ones.
	RankDelay time.Duration
	// PromiseGrace is how long an unfinished promise of another node is left alone, unless leases tell who promotes.
	PromiseGrace time.Duration
	// FollowEvery is the time between orders to follow to the same server.
	FollowEvery time.Duration
}

// fenceWait is how long a promoter waits between fencing and its order.
func (t Times) fenceWait() time.Duration {
	return max(0, t.EvidenceTTL-t.OpensAfter)
}

// Quorum is the kind of group whose servers vote: a majority's promises fence the old primary, and the promised server with
// the longest log opens by itself.
func Quorum() Kind {
	return Kind{
		Name: "quorum",
		Times: Times{
			ProbeEvery: ProbeEvery, ProbeFar: ProbeEvery, ProbeSoon: ProbeSoon, ProbeTimeout: ProbeTimeout,
			DoubtAfter: DoubtAfter, FreshFor: FreshFor, AliveFor: 2 * ProbeTimeout, Silence: SilenceLimit,
			EvidenceTTL: EvidenceTTL, PromiseTimeout: PromiseTimeout, OpenTimeout: OpenTimeout, RankDelay: RankDelay,
			PromiseGrace: PromiseGrace, FollowEvery: FollowEvery,
		},
		Judge:   Judge,
		Voters:  func(e Evidence) []Server { return e.Servers },
		Fenced:  majorityFenced,
		Prefer:  preferPrimary,
		Leads:   func(Group, Server) bool { return false },
		Outside: outsideTerm,
	}
}

// majorityFenced needs a majority without the failed primary, or late also with it.
func majorityFenced(e Evidence, ps []Promise, late bool) []Promise {
	majority := len(e.Group.Servers) / 2
	if cs := candidates(e.Group, ps); len(cs) > majority {
		return cs
	}
	if late && len(ps) > majority {
		return ps
	}
	return nil
}

// candidates lists the promises that count. A primary that failed does not replace itself where the others are a majority:
// it may be reachable from here and yet cut off from its group.
func candidates(g Group, ps []Promise) []Promise {
	if g.Cause == CauseUnfinished || g.Cause == CauseNone {
		return ps
	}
	return slices.DeleteFunc(slices.Clone(ps), func(v Promise) bool { return v.Server == g.Primary })
}

// preferPrimary keeps the present primary where its log is as long as any, so that healing moves nobody.
func preferPrimary(e Evidence, a, b Promise) int {
	switch e.Group.Primary {
	case a.Server:
		return 1
	case b.Server:
		return -1
	default:
		return cmp.Compare(b.Server, a.Server)
	}
}

func outsideTerm(g Group, s Server) bool {
	outside := s.Status.Term < g.Term || s.Status.Role == RolePrimary && s.Status.Term == g.Term
	return outside && s.Status.Promised <= g.Term
}

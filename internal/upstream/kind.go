package upstream

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what differs between the kinds of database groups, as one concrete set of functions.
type Kind struct {
	Name   string
	Timing Timing
	// UsesLeases says that a promotion first takes a numbered lease in the platform's store, so that one node at a time orders.
	UsesLeases bool
	// DetectFailure returns why the primary of a group counts as failed, or "".
	DetectFailure func(e FailureEvidence) string
	// Voters lists the servers whose promises a promotion needs.
	Voters func(e FailureEvidence) []Server
	// Candidates returns the promises to choose a primary from, or none while others may still acknowledge work; late says that
	// no more promises are waited for.
	Candidates func(e FailureEvidence, ps []Promise, late bool) []Promise
	// BreakTie orders promises of equal length, the better one above the other.
	BreakTie func(e FailureEvidence, a, b Promise) int
	// ConfirmsLeader reports whether a server's status shows that nobody can have replaced its group's primary when it was asked for.
	ConfirmsLeader func(g Group, s Server) bool
	// NeedsFollowOrder reports whether a server has to be told to follow the group's primary.
	NeedsFollowOrder func(g Group, s Server) bool
}

// Timing are the limits by which a kind of group is watched and repaired.
type Timing struct {
	// PrimaryProbeInterval is the time between probes of the server that is watched most closely, ProbeFar between those of others.
	PrimaryProbeInterval time.Duration
	ReplicaProbeInterval time.Duration
	// ShortProbeInterval is the time between probes in a group whose primary is in doubt.
	ShortProbeInterval time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before its connection is given up.
	ProbeTimeout time.Duration
	// OverdueAfter is the silence after which a group is probed at the shorter interval.
	OverdueAfter time.Duration
	// FreshTTL is the age up to which a server's answer counts as evidence.
	FreshTTL time.Duration
	// AliveTTL is the age up to which a server's answer shows that it can be used.
	AliveTTL time.Duration
	// SilenceLimit is how long a primary may be silent before that, seen by enough vantage points, counts as its failure.
	SilenceLimit time.Duration
	// EvidenceTTL is how long a proof of leadership may be acted on, and how long a promoter waits after fencing.
	EvidenceTTL time.Duration
	// MinOpenDelay is the least time from an order to open until it takes effect, which a promoter need not wait besides.
	MinOpenDelay time.Duration
	// PromiseTimeout bounds the wait for promises, OpenTimeout that for a new primary to open.
	PromiseTimeout time.Duration
	OpenTimeout    time.Duration
	// RankDelay keeps a lower-ranked node from racing the higher-ranked ones.
	RankDelay time.Duration
	// PromiseGrace is how long an unfinished promise of another node is left alone, unless leases tell who promotes.
	PromiseGrace time.Duration
	// FollowInterval is the time between orders to follow to the same server.
	FollowInterval time.Duration
}

// fenceWait is how long a promoter waits between fencing and its order.
func (t Timing) fenceWait() time.Duration {
	return max(0, t.EvidenceTTL-t.MinOpenDelay)
}

// Quorum is the kind of group whose servers vote: a majority's promises fence the old primary, and the promised server with
// the longest log opens by itself.
func Quorum() Kind {
	return Kind{
		Name: "quorum",
		Timing: Timing{
			PrimaryProbeInterval: ProbeInterval, ReplicaProbeInterval: ProbeInterval, ShortProbeInterval: ShortProbeInterval,
			ProbeTimeout: ProbeTimeout,
			OverdueAfter: OverdueAfter, FreshTTL: FreshTTL, AliveTTL: 2 * ProbeTimeout, SilenceLimit: SilenceLimit,
			EvidenceTTL: EvidenceTTL, PromiseTimeout: PromiseTimeout, OpenTimeout: OpenTimeout, RankDelay: RankDelay,
			PromiseGrace: PromiseGrace, FollowInterval: FollowInterval,
		},
		DetectFailure:    DetectQuorumFailure,
		Voters:           func(e FailureEvidence) []Server { return e.Servers },
		Candidates:       majorityFenced,
		BreakTie:         preferPrimary,
		ConfirmsLeader:   func(Group, Server) bool { return false },
		NeedsFollowOrder: outsideTerm,
	}
}

// majorityFenced needs a majority without the failed primary, or late also with it.
func majorityFenced(e FailureEvidence, ps []Promise, late bool) []Promise {
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
	if g.Cause == CauseUnfinishedPromise || g.Cause == CauseNoPrimary {
		return ps
	}
	return slices.DeleteFunc(slices.Clone(ps), func(v Promise) bool { return v.Server == g.Primary })
}

// preferPrimary keeps the present primary where its log is as long as any, so that healing moves nobody.
func preferPrimary(e FailureEvidence, a, b Promise) int {
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

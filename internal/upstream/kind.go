package upstream

import (
	"cmp"
	"slices"
	"time"
)

// Kind holds the timing and functions that differ between the kinds of database groups.
type Kind struct {
	Name   string
	Timing Timing
	// UsesLeases makes a promotion first acquire a lease with a fencing token in the platform's store, so that only one node
	// at a time gives orders.
	UsesLeases bool
	// DetectFailure returns the cause for which the primary of a group counts as failed, or "".
	DetectFailure func(e FailureEvidence) string
	// Voters returns the servers that a promotion asks for promises.
	Voters func(e FailureEvidence) []Server
	// Candidates returns the promises to choose a primary from. It returns none while other servers may still acknowledge
	// writes. late is set once the wait for promises has ended.
	Candidates func(e FailureEvidence, ps []Promise, late bool) []Promise
	// BreakTie compares two promises with equal positions. The better one is the greater one.
	BreakTie func(e FailureEvidence, a, b Promise) int
	// ConfirmsLeader reports whether a server's status shows that the group's primary had not been replaced when the probe was
	// sent.
	ConfirmsLeader func(g Group, s Server) bool
	// NeedsFollowOrder reports whether a server must be ordered to follow the group's primary.
	NeedsFollowOrder func(g Group, s Server) bool
}

// Timing holds the intervals and limits of failure detection and failover.
type Timing struct {
	// PrimaryProbeInterval is the time between probes of the primary, ReplicaProbeInterval between probes of other servers.
	PrimaryProbeInterval time.Duration
	ReplicaProbeInterval time.Duration
	// ShortProbeInterval is the time between probes in a group that shows signs of a failure.
	ShortProbeInterval time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before its connection is closed.
	ProbeTimeout time.Duration
	// OverdueAfter is the time without a response after which a group is probed at ShortProbeInterval.
	OverdueAfter time.Duration
	// FreshTTL is how long a server's response counts as evidence.
	FreshTTL time.Duration
	// AliveTTL is how long after its last response a server counts as usable.
	AliveTTL time.Duration
	// SilenceLimit is how long a primary may send nothing before it counts as failed, if enough servers observe the silence.
	SilenceLimit time.Duration
	// EvidenceTTL is how long leadership evidence may be used, and how long a promotion waits after fencing.
	EvidenceTTL time.Duration
	// MinOpenDelay is the minimum time until a promotion order takes effect. It is subtracted from the wait after fencing.
	MinOpenDelay time.Duration
	// PromiseTimeout limits the wait for promises, OpenTimeout the wait until a new primary opens for writes.
	PromiseTimeout time.Duration
	OpenTimeout    time.Duration
	// RankDelay is the delay per rank before a node starts a promotion, so that lower-ranked nodes do not race higher-ranked
	// ones.
	RankDelay time.Duration
	// PromiseGrace is how long an unfinished promise to another node is tolerated. In groups with leases it does not delay a
	// promotion, as the lease decides which node promotes.
	PromiseGrace time.Duration
	// FollowInterval is the minimum time between two follow orders to the same server.
	FollowInterval time.Duration
}

// fenceDelay returns how long a promotion waits between fencing and the promotion order.
func (t Timing) fenceDelay() time.Duration {
	return max(0, t.EvidenceTTL-t.MinOpenDelay)
}

// Quorum returns the kind of group whose servers vote. The promises of a majority fence the old primary, and the promised
// server with the longest log opens for writes itself.
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
		Candidates:       quorumCandidates,
		BreakTie:         preferPrimary,
		ConfirmsLeader:   func(Group, Server) bool { return false },
		NeedsFollowOrder: outsideTerm,
	}
}

// quorumCandidates requires the promises of a majority without the failed primary. When the wait is over, a majority that
// includes the primary is enough.
func quorumCandidates(e FailureEvidence, ps []Promise, late bool) []Promise {
	majority := len(e.Group.Servers) / 2
	if cs := withoutFailedPrimary(e.Group, ps); len(cs) > majority {
		return cs
	}
	if late && len(ps) > majority {
		return ps
	}
	return nil
}

// withoutFailedPrimary removes the promise of a failed primary, so that it is not promoted again where the other servers form
// a majority. This node may reach the primary while a partition separates it from its group.
func withoutFailedPrimary(g Group, ps []Promise) []Promise {
	if g.Cause == CauseUnfinishedPromise || g.Cause == CauseNoPrimary {
		return ps
	}
	return slices.DeleteFunc(slices.Clone(ps), func(v Promise) bool { return v.Server == g.Primary })
}

// preferPrimary prefers the current primary, so that a primary with the longest log keeps its role after a recovery.
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

// outsideTerm reports whether a server has an older term, or is a second primary of the current one, and has not promised a
// higher term.
func outsideTerm(g Group, s Server) bool {
	outside := s.Status.Term < g.Term || s.Status.Role == RolePrimary && s.Status.Term == g.Term
	return outside && s.Status.Promised <= g.Term
}

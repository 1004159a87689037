package upstream

import "time"

const (
	// ProbeInterval is the time between probes of a server without signs of a failure.
	ProbeInterval = 100 * time.Millisecond
	// ShortProbeInterval is the time between probes in a group that shows signs of a failure.
	ShortProbeInterval = 25 * time.Millisecond
	// ProbeTimeout is how long a probe may stay unanswered before its connection is closed.
	ProbeTimeout = 400 * time.Millisecond
	// OverdueAfter is the time without a response after which a group is probed at ShortProbeInterval.
	OverdueAfter = 250 * time.Millisecond
	// SilenceLimit is how long a primary may send nothing before it counts as failed, if enough servers observe the silence. It
	// covers a pause of one second, two heartbeats of 50 ms, of which one may be lost, and the latency differences between regions.
	SilenceLimit = 1125 * time.Millisecond
	// FreshTTL is how long a server's response counts as evidence.
	FreshTTL = 300 * time.Millisecond
	// MinRefusals is how many consecutive probes of a primary must be refused before the refusals count as a failure.
	MinRefusals = 2
	// EvidenceTTL is how long leadership evidence may be used, and how long a promotion waits after fencing.
	EvidenceTTL = 100 * time.Millisecond
	// PromiseTimeout limits the wait for a majority of promises.
	PromiseTimeout = 250 * time.Millisecond
	// OpenTimeout limits the wait for the answer to a promotion order.
	OpenTimeout = 250 * time.Millisecond
	// RankDelay is the delay per rank before a node starts a promotion, so that lower-ranked nodes do not race higher-ranked
	// ones.
	RankDelay = 150 * time.Millisecond
	// PromiseGrace is how long an unfinished promise to another node is tolerated.
	PromiseGrace = 600 * time.Millisecond
	// FollowInterval is the minimum time between two follow orders to the same server.
	FollowInterval = 300 * time.Millisecond
	// MaxTickDelay is how late a step may run before the node discards the evidence that it has gathered.
	MaxTickDelay = 150 * time.Millisecond

	// ListSettleTime is how long after its first server a group's list of servers may be incomplete. Entries that expired while
	// the store was unavailable are back about two seconds after the store returns.
	ListSettleTime = 2500 * time.Millisecond
	// JoinSettleTime is how long the reports of a server that joined its group do not count as evidence. A promotion that began
	// before the server joined does not pause it, and ends within the lease's duration plus the time until its order takes effect.
	JoinSettleTime = LeaseDuration + LeaseSettleTime + time.Second
	// FloorSettleTime is how long after the loss of a replica's log the group's floor may lack commits that other nodes acknowledged.
	FloorSettleTime = 500 * time.Millisecond
	// startupWindow is how long after its start a node treats newly listed servers as existing members of their group.
	startupWindow = 2 * time.Second
	// stallAlertTime is how long a group is probed at ShortProbeInterval after a write has stalled.
	stallAlertTime = time.Second

	// WatchersPerGroup is how many nodes watch a group by rank, in addition to the nodes that serve it. In a fleet of at most
	// this size, every node watches every group. A group with its own list of promoters is watched only by nodes that serve it.
	WatchersPerGroup = 8

	// maxSamples is how many position samples of a primary are kept per group.
	maxSamples = 64
)

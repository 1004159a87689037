package upstream

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/pkg/session"
)

// Role is a server's replication role in its group.
type Role string

// The roles of a server.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is a server's own report in answer to a probe. Its durations are ages, measured on the server's own clock.
type Status struct {
	Role       Role             `json:"role"`
	Term       uint64           `json:"term"`
	Promised   uint64           `json:"promised"`
	Position   session.Position `json:"position"`
	Applied    session.Position `json:"applied"`
	Forks      []session.Fork   `json:"forks"`
	QuorumAge  time.Duration    `json:"quorum_age_ns"`
	PrimaryAge time.Duration    `json:"primary_age_ns"`
	LinkClosed bool             `json:"link_closed"`
	Leaving    bool             `json:"leaving"`
	// Lag is a replica's delay in applying the log that it has received.
	Lag time.Duration `json:"lag_ns,omitempty"`
}

// Server is the row of one database server. Times count from the start of the node.
type Server struct {
	Name        string
	Group       string
	Zone        string
	Address     string
	Status      Status
	StatusKnown bool
	// LastResponse is when the latest probe or request was sent that the server answered.
	LastResponse time.Duration
	ProbeSentAt  time.Duration
	ProbePending bool
	// Refusals is the number of refused probes since the last response.
	Refusals int
	// FirstMissAt is the time of the first probe that failed since the last response, zero if none has: when it was refused or,
	// after a timeout, when it was sent.
	FirstMissAt     time.Duration
	FollowOrderedAt time.Duration
	Incarnation     int64
	// JoinedAt is when the server joined its group, zero for one that was a member when the node started.
	JoinedAt time.Duration
	// OverdueSince is when an answer of the server was first found overdue, zero while none is.
	OverdueSince time.Duration
	// StatusProbedAt is when the probe was sent whose answer is Status.
	StatusProbedAt time.Duration
	// PreviousSample is the position in the previous status, and when that status was probed.
	PreviousSample Sample
	// PositionSince is when a probe first found the server at its current position.
	PositionSince time.Duration
	// LeavingInBundle and LeavingInVMList report whether the bundle and the platform's list of VMs mark the server as leaving.
	LeavingInBundle bool
	LeavingInVMList bool
}

// WithProbe returns the row with a probe pending since now.
func (s Server) WithProbe(now time.Duration) Server {
	s.ProbePending = true
	s.ProbeSentAt = now
	return s
}

// WithStatus returns the row with the answer to the probe that was sent at sentAt. The age of the status counts from then.
func (s Server) WithStatus(sentAt time.Duration, st Status) Server {
	s.ProbePending = false
	s.StatusKnown = true
	if st.Position != s.Status.Position {
		s.PositionSince = sentAt
	}
	s = s.WithResponse(max(s.LastResponse, sentAt))
	s.PreviousSample = Sample{At: s.StatusProbedAt, Position: s.Status.Position}
	s.StatusProbedAt = sentAt
	s.Status = st
	return s
}

// WithResponse returns the row after a response to traffic that was sent at the given time.
func (s Server) WithResponse(at time.Duration) Server {
	s.LastResponse = at
	s.Refusals = 0
	s.FirstMissAt = 0
	s.OverdueSince = 0
	return s
}

// WithOverdue returns the row of a server with an answer overdue since the given time.
func (s Server) WithOverdue(since time.Duration) Server {
	if s.OverdueSince == 0 {
		s.OverdueSince = since
	}
	return s
}

// WithRefusal returns the row after a probe whose connection was refused. A refusal shows that the VM was reached, which a
// timeout does not.
func (s Server) WithRefusal(now time.Duration) Server {
	s.ProbePending = false
	s.Refusals++
	if s.FirstMissAt == 0 {
		s.FirstMissAt = now
	}
	return s
}

// WithTimeout returns the row after a probe that was not answered in time.
func (s Server) WithTimeout() Server {
	s.ProbePending = false
	if s.FirstMissAt == 0 {
		s.FirstMissAt = s.ProbeSentAt
	}
	return s
}

// WithLeavingInBundle returns the row with the bundle's mark that the server is leaving set or cleared.
func (s Server) WithLeavingInBundle(leaving bool) Server {
	s.LeavingInBundle = leaving
	return s
}

// WithLeavingInVMList returns the row with the mark in the platform's list of VMs set or cleared.
func (s Server) WithLeavingInVMList(leaving bool) Server {
	s.LeavingInVMList = leaving
	return s
}

// IsLeaving reports whether the bundle, the platform's list of VMs or the server itself marks the server as leaving.
func (s Server) IsLeaving() bool {
	return s.LeavingInBundle || s.LeavingInVMList || s.Status.Leaving
}

// WithFollowOrder returns the row with the time of the last follow order.
func (s Server) WithFollowOrder(now time.Duration) Server {
	s.FollowOrderedAt = now
	return s
}

// WithSilenceReset returns the row with its silence counted from now, for a node that was itself paused.
func (s Server) WithSilenceReset(now time.Duration) Server {
	s.LastResponse = max(s.LastResponse, now)
	s.Refusals = 0
	s.FirstMissAt = 0
	s.ProbePending = false
	return s
}

// unresponsive reports whether the server has no known status, or has an answer missing or overdue.
func (s Server) unresponsive() bool {
	return !s.StatusKnown || s.Refusals > 0 || s.FirstMissAt != 0 || s.OverdueSince != 0
}

// Fresh reports whether the server's last response is at most limit old and thus counts as evidence.
func (s Server) Fresh(now, limit time.Duration) bool {
	return s.StatusKnown && s.Refusals == 0 && now-s.LastResponse <= limit
}

// Group is the row of one database group.
type Group struct {
	Name         string
	Servers      []string
	Term         uint64
	Primary      string
	Forks        []session.Fork
	Suspect      bool
	SuspectSince time.Duration
	Cause        string
	Samples      []Sample
	// UnfinishedPromiseSince is the time since which a server has promised a term above the group's, zero while none has.
	UnfinishedPromiseSince time.Duration
	// LastPausedAt is when a server was last known to have promised a term above the group's, zero if none has in this term.
	LastPausedAt time.Duration
	// Served is set if this node serves the group.
	Served bool
	// FirstServerAt is when the first server of the group became known.
	FirstServerAt time.Duration
	// Promoters are the nodes that may promote the group's servers. Nil stands for all nodes.
	Promoters []string
	// Watched is set if this node probes the group's servers and may promote one.
	Watched bool
	// LeaderConfirmedAt is when the latest probe was sent whose answer confirmed the primary as leader.
	LeaderConfirmedAt time.Duration
	// AlertUntil is the time until which the group is probed at ShortProbeInterval because a write stalled.
	AlertUntil time.Duration
	// NoPrimarySince is the time since which no server has reported itself as primary, zero while one does.
	NoPrimarySince time.Duration
	// ReplicationStalledSince is the time since which no replica has received the log that the primary held, zero while one has.
	ReplicationStalledSince time.Duration
	// Floor is the minimum position that a new primary must hold. The last promotion recorded it in the lease, and the loss of a
	// replica's log may raise it.
	Floor session.Position
	// LogLostAt is when the log of a replica was last lost, zero once another replica is known to hold LogLossBound. Until then the
	// group's replicas may lack commits that the primary acknowledged.
	LogLostAt time.Duration
	// LogLossBound is the log of the primary at its first probe after LogLostAt. At is zero while there is none.
	LogLossBound Sample
}

// WithFloor returns the row with a floor of at least the given position.
func (g Group) WithFloor(p session.Position) Group {
	g.Floor = g.Floor.Max(p)
	return g
}

// WithLogLost returns the row after the log of a replica was lost.
func (g Group) WithLogLost(now time.Duration) Group {
	g.LogLostAt = now
	g.LogLossBound = Sample{}
	return g
}

// WithLogLossBound returns the row with the primary's log after the loss of a replica's log.
func (g Group) WithLogLossBound(s Sample) Group {
	g.LogLossBound = s
	return g
}

// WithoutLogLoss returns the row of a group in which a replica holds all commits that the lost log may have held.
func (g Group) WithoutLogLoss() Group {
	g.LogLostAt = 0
	g.LogLossBound = Sample{}
	return g
}

// WithAlert returns the row of a group that is probed at ShortProbeInterval until the given time.
func (g Group) WithAlert(until time.Duration) Group {
	g.AlertUntil = until
	return g
}

// WithNoPrimary returns the row with the time since which no server reports itself as primary, or zero while one does.
func (g Group) WithNoPrimary(since time.Duration) Group {
	g.NoPrimarySince = since
	return g
}

// WithReplicationStalled returns the row with the time since which no replica receives the primary's log, or zero while one does.
func (g Group) WithReplicationStalled(since time.Duration) Group {
	g.ReplicationStalledSince = since
	return g
}

// WithLeaderConfirmed returns the row after a probe that was sent at the given time confirmed the primary as leader.
func (g Group) WithLeaderConfirmed(at time.Duration) Group {
	g.LeaderConfirmedAt = max(g.LeaderConfirmedAt, at)
	return g
}

// WithoutServer returns the row without a removed server. If that was the primary, the group has none.
func (g Group) WithoutServer(server string) Group {
	g.Servers = slices.DeleteFunc(slices.Clone(g.Servers), func(n string) bool { return n == server })
	if g.Primary == server {
		g.Primary = ""
	}
	return g
}

// WithListedPrimary returns the row with the primary of the current term, which had been removed.
func (g Group) WithListedPrimary(server string) Group {
	g.Primary = server
	return g
}

// WithWatch returns the row with other values of Served and Watched.
func (g Group) WithWatch(served, watched bool) Group {
	g.Served = served
	g.Watched = watched
	return g
}

// WithFirstServer returns the row of a group whose first server became known now.
func (g Group) WithFirstServer(now time.Duration) Group {
	g.FirstServerAt = now
	return g
}

// WithPromoters returns the row with the nodes that may promote the group's servers, nil for all nodes.
func (g Group) WithPromoters(nodes []string) Group {
	g.Promoters = nodes
	return g
}

// Sample states that at time At the group's log reached at least Position and its primary had the support of a majority.
type Sample struct {
	At       time.Duration
	Position session.Position
}

// WithServer returns the row of the named group with one more server.
func (g Group) WithServer(group, server string) Group {
	g = g.WithName(group)
	g.Servers = append(slices.Clone(g.Servers), server)
	return g
}

// WithName returns the row of the named group.
func (g Group) WithName(group string) Group {
	g.Name = group
	return g
}

// WithRoute returns the row with another primary at a higher term.
func (g Group) WithRoute(term uint64, primary string, fs []session.Fork) Group {
	if g.Term != 0 {
		g = g.WithoutLogLoss()
	}
	g.Term = term
	g.Primary = primary
	g.Forks = slices.Clone(fs)
	g.LeaderConfirmedAt = 0
	g.LastPausedAt = 0
	g.NoPrimarySince = 0
	g.ReplicationStalledSince = 0
	g.Samples = nil
	return g.WithoutSuspicion()
}

// WithForks returns the row with the fork points that its primary reported.
func (g Group) WithForks(fs []session.Fork) Group {
	g.Forks = slices.Clone(fs)
	return g
}

// WithSuspicion returns the row with its primary suspected of having failed since the given time.
func (g Group) WithSuspicion(since time.Duration, cause string) Group {
	g.Suspect = true
	g.SuspectSince = since
	g.Cause = cause
	return g
}

// WithoutSuspicion returns the row without a suspicion of its primary and without an unfinished promise.
func (g Group) WithoutSuspicion() Group {
	g.Suspect = false
	g.SuspectSince = 0
	g.Cause = ""
	g.UnfinishedPromiseSince = 0
	return g
}

// WithUnfinishedPromise returns the row with the time at which an unfinished promise was first seen, or zero for none.
func (g Group) WithUnfinishedPromise(at time.Duration) Group {
	g.UnfinishedPromiseSince = at
	return g
}

// WithPaused returns the row after a server of the group was found paused now.
func (g Group) WithPaused(now time.Duration) Group {
	g.LastPausedAt = now
	return g
}

// WithSample returns the row with one more sample. Only the latest samples are kept.
func (g Group) WithSample(s Sample) Group {
	g.Samples = append(slices.Clone(g.Samples), s)
	if n := len(g.Samples) - maxSamples; n > 0 {
		g.Samples = g.Samples[n:]
	}
	return g
}

// DataAsOf returns the latest time up to which the applied position p is known to cover the group's log, and whether one is known.
func (g Group) DataAsOf(p session.Position) (time.Duration, bool) {
	for i := len(g.Samples) - 1; i >= 0; i-- {
		if p.Covers(g.Samples[i].Position) {
			return g.Samples[i].At, true
		}
	}
	return 0, false
}

package upstream

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/pkg/session"
)

// Role is the part that a server plays in its group.
type Role string

// The roles of a server.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is what a server says of itself when probed; its durations are ages measured on the server's own clock.
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
	// Lag is how far a replica is behind in applying what it has received.
	Lag time.Duration `json:"lag_ns,omitempty"`
}

// Server is the row of one database server; times count from the start of the node.
type Server struct {
	Name            string
	Group           string
	Zone            string
	Address         string
	Status          Status
	StatusKnown     bool
	LastResponse    time.Duration
	ProbeSentAt     time.Duration
	ProbePending    bool
	Refusals        int
	FirstMissAt     time.Duration
	FollowOrderedAt time.Duration
	Incarnation     int64
	// JoinedAt is when the server came to its group, zero for one that was there when the node started.
	JoinedAt time.Duration
	// OverdueSince is since when the server owes an answer for longer than usual, zero while it does not.
	OverdueSince time.Duration
	// StatusProbedAt is when the probe left that brought Status.
	StatusProbedAt time.Duration
	// PreviousSample is what the status before the present one told.
	PreviousSample Sample
	// PositionSince is since when probes have found the server to hold the same log.
	PositionSince time.Duration
	// LeavingInBundle is what the bundle says, Listed what the platform's list of VMs says.
	LeavingInBundle bool
	LeavingInVMList bool
}

// WithProbe returns the row with a probe on its way since now.
func (s Server) WithProbe(now time.Duration) Server {
	s.ProbePending = true
	s.ProbeSentAt = now
	return s
}

// WithStatus returns the row with an answer to the probe sent at sent, from which its age counts.
func (s Server) WithStatus(sent time.Duration, st Status) Server {
	s.ProbePending = false
	s.StatusKnown = true
	if st.Position != s.Status.Position {
		s.PositionSince = sent
	}
	s = s.WithResponse(max(s.LastResponse, sent))
	s.PreviousSample = Sample{At: s.StatusProbedAt, Position: s.Status.Position}
	s.StatusProbedAt = sent
	s.Status = st
	return s
}

// WithResponse returns the row after an answer to traffic that was sent at a moment.
func (s Server) WithResponse(at time.Duration) Server {
	s.LastResponse = at
	s.Refusals = 0
	s.FirstMissAt = 0
	s.OverdueSince = 0
	return s
}

// WithOverdue returns the row of a server that owes an answer since a moment.
func (s Server) WithOverdue(since time.Duration) Server {
	if s.OverdueSince == 0 {
		s.OverdueSince = since
	}
	return s
}

// WithRefusal returns the row after a probe that met a closed door, which a silent path never gives.
func (s Server) WithRefusal(now time.Duration) Server {
	s.ProbePending = false
	s.Refusals++
	if s.FirstMissAt == 0 {
		s.FirstMissAt = now
	}
	return s
}

// WithTimeout returns the row after a probe that was never answered.
func (s Server) WithTimeout() Server {
	s.ProbePending = false
	if s.FirstMissAt == 0 {
		s.FirstMissAt = s.ProbeSentAt
	}
	return s
}

// WithLeavingInBundle returns the row of a server that the bundle calls leaving, or no longer does.
func (s Server) WithLeavingInBundle(leaving bool) Server {
	s.LeavingInBundle = leaving
	return s
}

// WithLeavingInVMList returns the row of a server that the platform's list calls leaving, or no longer does.
func (s Server) WithLeavingInVMList(leaving bool) Server {
	s.LeavingInVMList = leaving
	return s
}

// IsLeaving reports whether any source calls the server leaving: the bundle, the platform's list or the server itself.
func (s Server) IsLeaving() bool {
	return s.LeavingInBundle || s.LeavingInVMList || s.Status.Leaving
}

// WithFollowOrder returns the row with the moment of the last order to follow a primary.
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

// owes reports whether the server has not answered a probe as it should.
func (s Server) owes() bool {
	return !s.StatusKnown || s.Refusals > 0 || s.FirstMissAt != 0 || s.OverdueSince != 0
}

// Fresh reports whether the last answer is young enough to count as evidence.
func (s Server) Fresh(now, limit time.Duration) bool {
	return s.StatusKnown && s.Refusals == 0 && now-s.LastResponse <= limit
}

// Group is the row of one database group.
type Group struct {
	Name                   string
	Servers                []string
	Term                   uint64
	Primary                string
	Forks                  []session.Fork
	Suspect                bool
	SuspectSince           time.Duration
	Cause                  string
	Samples                []Sample
	UnfinishedPromiseSince time.Duration
	// LastPausedAt is when a server was last known to have promised a term above the group's, zero for never in this term.
	LastPausedAt time.Duration
	Served       bool
	// FirstServerAt is when the first server of the group became known.
	FirstServerAt time.Duration
	// Promoters share the duty of promoting, nil stands for all nodes.
	Promoters []string
	Watched   bool
	// LeaderConfirmedAt is when the probe left whose answer last showed that the primary had not been replaced.
	LeaderConfirmedAt time.Duration
	// AlertUntil is until when the group is probed at the shorter interval because a write stalled.
	AlertUntil time.Duration
	// NoPrimarySince is since when no server has shown itself as primary, zero while one does.
	NoPrimarySince time.Duration
	// ReplicationStalledSince is since when no replica has received what the primary held, zero while one has.
	ReplicationStalledSince time.Duration
	// Floor is the least position that a new primary must hold, as the last promotion recorded it.
	Floor session.Position
}

// WithFloor returns the row whose next primary must hold at least a position.
func (g Group) WithFloor(p session.Position) Group {
	g.Floor = g.Floor.Max(p)
	return g
}

// WithAlert returns the row of a group that is watched closely until a moment.
func (g Group) WithAlert(until time.Duration) Group {
	g.AlertUntil = until
	return g
}

// WithNoPrimary returns the row without a primary that shows itself since a moment, or zero for none.
func (g Group) WithNoPrimary(since time.Duration) Group {
	g.NoPrimarySince = since
	return g
}

// WithReplicationStalled returns the row with replicas that receive nothing since a moment, or zero for none.
func (g Group) WithReplicationStalled(since time.Duration) Group {
	g.ReplicationStalledSince = since
	return g
}

// WithLeaderConfirmed returns the row with evidence from a probe sent at a moment.
func (g Group) WithLeaderConfirmed(at time.Duration) Group {
	g.LeaderConfirmedAt = max(g.LeaderConfirmedAt, at)
	return g
}

// WithoutServer returns the row without a server that is gone; a primary that is gone leaves the group without one.
func (g Group) WithoutServer(server string) Group {
	g.Servers = slices.DeleteFunc(slices.Clone(g.Servers), func(n string) bool { return n == server })
	if g.Primary == server {
		g.Primary = ""
	}
	return g
}

// WithWatch returns the row with whether this node's callers use the group, and whether the node watches it.
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

// WithPromoters returns the row with the nodes among which the duty of promoting is shared, nil for all.
func (g Group) WithPromoters(nodes []string) Group {
	g.Promoters = nodes
	return g
}

// Sample says that at time At the group's log reached at least Position, and its primary then held a majority.
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

// WithRoute returns the row led by another primary at a higher term.
func (g Group) WithRoute(term uint64, primary string, fs []session.Fork) Group {
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

// WithSuspicion returns the row with its primary thought failed since the given time.
func (g Group) WithSuspicion(since time.Duration, cause string) Group {
	g.Suspect = true
	g.SuspectSince = since
	g.Cause = cause
	return g
}

// WithoutSuspicion returns the row with a primary that nothing speaks against.
func (g Group) WithoutSuspicion() Group {
	g.Suspect = false
	g.SuspectSince = 0
	g.Cause = ""
	g.UnfinishedPromiseSince = 0
	return g
}

// WithUnfinishedPromise returns the row with the moment at which an unfinished promise was first seen, or zero for none.
func (g Group) WithUnfinishedPromise(at time.Duration) Group {
	g.UnfinishedPromiseSince = at
	return g
}

// WithPaused returns the row with a server that is known to follow nobody now.
func (g Group) WithPaused(now time.Duration) Group {
	g.LastPausedAt = now
	return g
}

// WithSample returns the row with one more sample, of which only the latest are kept.
func (g Group) WithSample(s Sample) Group {
	g.Samples = append(slices.Clone(g.Samples), s)
	if n := len(g.Samples) - maxSamples; n > 0 {
		g.Samples = g.Samples[n:]
	}
	return g
}

// DataAsOf returns the latest moment whose log a server that applied up to p is known to hold, and whether there is one.
func (g Group) DataAsOf(p session.Position) (time.Duration, bool) {
	for i := len(g.Samples) - 1; i >= 0; i-- {
		if p.Covers(g.Samples[i].Position) {
			return g.Samples[i].At, true
		}
	}
	return 0, false
}

// Stage is how far a promotion has come.
type Stage string

// The stages of a promotion.
const (
	StagePromising Stage = "promising"
	StageWaiting   Stage = "waiting"
	StageOpening   Stage = "opening"
	StageBackoff   Stage = "backoff"
	// StageLeasing waits for the platform's store to say who may order changes of primary.
	StageLeasing Stage = "leasing"
	// StageRecording waits until the store holds what the chosen server's log must hold on to.
	StageRecording Stage = "recording"
)

// Promotion is the row of one attempt to replace a primary.
type Promotion struct {
	Group    string
	Term     uint64
	Stage    Stage
	Promises []Promise
	Chosen   string
	Due      time.Duration
	Timeline Timeline
	Attempts int
	Lease    Lease
	// StepDownRequested says that the old primary was asked to step down, so that there is no way back.
	StepDownRequested bool
}

// Promise is one server's word that it refuses terms below the promotion's.
type Promise struct {
	Server   string
	Position session.Position
}

// Timeline holds the moments of a failover, counted from the start of the node.
type Timeline struct {
	FirstMiss time.Duration
	Detected  time.Duration
	Fenced    time.Duration
	Ordered   time.Duration
	Opened    time.Duration
}

// WithPromise returns the row with one more promise; a server's second promise replaces its first.
func (p Promotion) WithPromise(v Promise) Promotion {
	ps := slices.DeleteFunc(slices.Clone(p.Promises), func(o Promise) bool { return o.Server == v.Server })
	p.Promises = append(ps, v)
	return p
}

// WithoutPromise returns the row without a server's promise.
func (p Promotion) WithoutPromise(server string) Promotion {
	p.Promises = slices.DeleteFunc(slices.Clone(p.Promises), func(o Promise) bool { return o.Server == server })
	return p
}

// WithStage returns the row in another stage that ends at due.
func (p Promotion) WithStage(s Stage, due time.Duration) Promotion {
	p.Stage = s
	p.Due = due
	return p
}

// WithFence returns the row with a majority of promises since now, waiting until old evidence has expired.
func (p Promotion) WithFence(now, ttl time.Duration) Promotion {
	p.Timeline.Fenced = now
	return p.WithStage(StageWaiting, now+ttl)
}

// WithChosen returns the row with the server to be promoted.
func (p Promotion) WithChosen(server string) Promotion {
	p.Chosen = server
	return p
}

// WithTimeline returns the row with other moments.
func (p Promotion) WithTimeline(t Timeline) Promotion {
	p.Timeline = t
	return p
}

// WithRetry returns the row waiting until due before its next attempt at a higher term.
func (p Promotion) WithRetry(due time.Duration) Promotion {
	p.Stage = StageBackoff
	p.Due = due
	p.Promises = nil
	p.Chosen = ""
	p.Attempts++
	return p
}

package caller

import (
	"cmp"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	// sampleInterval is the minimum time between two samples of a primary's position.
	sampleInterval = 20 * time.Millisecond
	// sampleRetention is how long samples are kept. For a class that accepts an older age, a younger sample serves as well.
	sampleRetention = 5 * time.Second
	// behindBackoff is how long reads that accept an age avoid a replica that lacked the position they need.
	behindBackoff = 100 * time.Millisecond
	// maxBehindDoublings limits how often behindBackoff doubles while the replica stays behind.
	maxBehindDoublings = 4
	// declinedBackoff is how long requests avoid a server that declined one.
	declinedBackoff = 25 * time.Millisecond
	// replicaReadWait is how long a commit waits for a replica's answer to a read to show that the replica holds the commit.
	// After that, the lane asks a replica.
	replicaReadWait = 5 * time.Millisecond
	// slowThreshold is the time after which an answer is overdue. Nearly all work takes less.
	slowThreshold = 400 * time.Millisecond
	// reportInterval is the minimum time between two reports to control about one server.
	reportInterval = 250 * time.Millisecond
	// acknowledgedInterval is the minimum time between two reports of acknowledged commits. It is several times shorter than
	// upstream.FloorSettleTime.
	acknowledgedInterval = 100 * time.Millisecond
)

// GroupKind holds what differs between kinds of database groups, as one concrete set of functions.
type GroupKind struct {
	Name string
	// NeedsConfirmation reports whether the answer to a request is held until evidence gathered after the answer confirms
	// it.
	NeedsConfirmation func(s Session, r Request) bool
	// HoldsAnswers is set if every answer is held until the lane has processed it, so that a request which the lane refuses
	// at the same moment is not answered as well. Answers must then be small enough to buffer.
	HoldsAnswers bool
	// NeedsLeadership reports whether the primary's answer to a request is valid only with evidence that it led when the
	// request arrived.
	NeedsLeadership func(r Request) bool
	// EvidenceSource names the server that can confirm the primary's leadership, "" if there is none. attempt counts the
	// confirmations that failed so far, so that a retry asks another server.
	EvidenceSource func(v upstream.GroupView, attempt int) string
	// SemiSync is set if a primary acknowledges a commit only after a replica has received it. That replica may have joined
	// during a promotion, which does not ask it for its log and so is not aware of the commit. The answer is therefore held
	// until an established replica is known to hold the commit.
	SemiSync bool
	// ReplicaCanServe reports whether a replica may run a read, and the position that its answer must show.
	ReplicaCanServe func(q RouteQuery, s Server) (session.Position, bool)
	// SupportsCancel is set if servers accept requests to cancel running work. Otherwise the lane closes the connection.
	SupportsCancel bool
	// RetriesBegin is set if the beginning of a transaction may be sent again when its answer was lost.
	RetriesBegin bool
	// ResolvesOutcomes is set if the outcome of a lost answer can be looked up by its key.
	ResolvesOutcomes bool
}

// Quorum is the kind of group whose primary confirms its commits and its replicas' age when asked.
func Quorum() GroupKind {
	return GroupKind{
		Name:              "quorum",
		NeedsConfirmation: commitNeedsConfirmation,
		NeedsLeadership:   func(Request) bool { return false },
		EvidenceSource:    func(v upstream.GroupView, _ int) string { return v.Primary },
		ReplicaCanServe:   freshReplica,
		SupportsCancel:    true,
		ResolvesOutcomes:  true,
		RetriesBegin:      true,
	}
}

// Appointed is the kind of group whose primary acknowledges only what a replica has received. A commit needs no leadership
// evidence, but an established replica must be known to hold it. Reads at the primary need evidence that no promotion had
// begun when they arrived, and each read at a replica carries the position that the replica must show. distanceRank is 0 for
// the own zone, 1 for another zone of the own region and 2 elsewhere.
func Appointed(distanceRank func(zone string) int) GroupKind {
	return GroupKind{
		Name:              "appointed",
		NeedsConfirmation: func(Session, Request) bool { return false },
		NeedsLeadership:   func(r Request) bool { return r.Statement.Kind == KindRead || r.Statement.Kind == KindBegin },
		EvidenceSource:    func(v upstream.GroupView, attempt int) string { return nearestReplica(v, distanceRank, attempt) },
		HoldsAnswers:      true,
		SemiSync:          true,
		ReplicaCanServe:   replicaCoversSample,
	}
}

// nearestReplica names a live replica, the nearest first and the others in turn on further attempts.
func nearestReplica(v upstream.GroupView, distanceRank func(zone string) int, attempt int) string {
	rs := slices.DeleteFunc(establishedReplicas(v), func(s upstream.ServerView) bool { return !s.Alive })
	if len(rs) == 0 {
		return ""
	}
	slices.SortStableFunc(rs, func(a, b upstream.ServerView) int {
		return cmp.Or(cmp.Compare(distanceRank(a.Zone), distanceRank(b.Zone)), cmp.Compare(a.Name, b.Name))
	})
	return rs[attempt%len(rs)].Name
}

// establishedReplicas lists the replicas that every promotion in progress includes, or all replicas if all have joined recently.
// A replica that joined recently is no evidence source while there are others, since a promotion in progress may not have paused
// it.
func establishedReplicas(v upstream.GroupView) []upstream.ServerView {
	rs := slices.DeleteFunc(slices.Clone(v.Servers), func(s upstream.ServerView) bool { return s.Name == v.Primary })
	if established := slices.DeleteFunc(
		slices.Clone(rs), func(s upstream.ServerView) bool { return s.JoinedRecently },
	); len(established) > 0 {
		return established
	}
	return rs
}

// recordReplicated records that a replica holds the group's log up to p, and answers the commits that waited for it.
func (l *Lane) recordReplicated(now time.Duration, server string, p session.Position) {
	known := slices.ContainsFunc(establishedReplicas(l.view), func(s upstream.ServerView) bool { return s.Name == server })
	if !known || p.Term != l.view.Term || l.replicatedTo.Covers(p) {
		return
	}
	l.replicatedTo = p
	covered := false
	for _, id := range l.awaitingConfirmation {
		if r, ok := l.requests.Get(id); ok && r.PendingReplica && p.Covers(r.Position) {
			// The replica received a write that was sent to the primary at r.Started, so it was not paused at that time.
			l.recordLeaderConfirmed(r.Started)
			covered = true
		}
	}
	if covered {
		l.releaseConfirmed(now)
	}
}

// recordAcknowledged records the acknowledgement of a commit.
func (l *Lane) recordAcknowledged(p session.Position) {
	l.acknowledgedTo = l.acknowledgedTo.Max(p)
}

// acknowledgedUnreported reports whether control needs to know of acknowledged commits that were not reported yet.
func (l *Lane) acknowledgedUnreported() bool {
	return l.view.FloorNeeded() && !l.reportedTo.Covers(l.acknowledgedTo)
}

// reportAcknowledged reports acknowledged commits to control while control needs to know them, at most once per
// acknowledgedInterval.
func reportAcknowledged(l *Lane, now time.Duration) {
	if !l.acknowledgedUnreported() || now < l.reportAcknowledgedAt {
		return
	}
	l.reportedTo, l.reportAcknowledgedAt = l.acknowledgedTo, now+acknowledgedInterval
	l.actions = append(l.actions, CommitsAcknowledged{Position: l.acknowledgedTo})
}

// freshReplica accepts a replica whose applied log is confirmed to be recent enough for the class and covers the session's
// required position.
func freshReplica(q RouteQuery, s Server) (session.Position, bool) {
	v := s.View
	ok := v.DataAsOfKnown && v.Applied.Covers(q.Session.RequiredPosition()) && q.Now-v.DataAsOf <= q.Request.Statement.Class.MaxAge()
	return q.Session.Floor, ok
}

// replicaCoversSample accepts a replica that is not known to lack the oldest sampled position that satisfies the read's
// maximum age.
func replicaCoversSample(q RouteQuery, s Server) (session.Position, bool) {
	at := q.Request.Arrived - q.Request.Statement.Class.MaxAge()
	for _, m := range q.Samples {
		if m.At >= at && q.LeaderAt(m.At) {
			need := m.Position.Max(q.Session.Floor)
			return need, s.View.Applied.Covers(need) || q.Now >= s.BehindUntil
		}
	}
	return session.Position{}, false
}

// sample keeps a primary's position as of the time at which it was requested.
func (l *Lane) sample(m upstream.Sample) {
	if m.At == 0 || m.Position.Term != l.view.Term {
		return
	}
	if n := len(l.samples); n > 0 && m.At < l.samples[n-1].At+sampleInterval {
		return
	}
	l.samples = append(l.samples, m)
	old := 0
	for old < len(l.samples) && l.samples[old].At < m.At-sampleRetention {
		old++
	}
	l.samples = l.samples[old:]
}

// needsLeadership reports whether the primary's answer to a request has to wait for evidence that the primary led.
func (l *Lane) needsLeadership(r Request) bool {
	return r.TxConn == 0 && l.kind.NeedsLeadership(r) && !l.leaderAt(r.Arrived)
}

// leaderAt reports whether the primary certainly led the group at a time, by control's evidence or the lane's own.
func (l *Lane) leaderAt(at time.Duration) bool {
	return l.view.WithLeaderConfirmed(l.lastLeaderConfirmed()).LeaderAt(at)
}

// lastLeaderConfirmed returns the time that the newest leadership evidence refers to. Zero means that there is none.
func (l *Lane) lastLeaderConfirmed() time.Duration {
	return max(l.leaderConfirmedAt, l.view.LeaderConfirmedAt)
}

// recordLeaderConfirmed records evidence that the primary led at a time and keeps leading for the evidence's lifetime.
func (l *Lane) recordLeaderConfirmed(at time.Duration) {
	l.leaderConfirmedAt = max(l.leaderConfirmedAt, at)
}

// reportResponse reports to control that a server answered, at most once per server and reportInterval. This saves control a
// probe.
func (l *Lane) reportResponse(server string, sent time.Duration) {
	row, _ := l.servers.Get(server)
	if sent < row.ResponseReportedAt+reportInterval {
		return
	}
	l.servers.Put(server, row.WithResponseReported(sent))
	l.actions = append(l.actions, ResponseReceived{Server: server, SentAt: sent})
}

// reportSuspect reports to control that a server failed to answer, at most once per server and reportInterval.
func (l *Lane) reportSuspect(now time.Duration, server string, stalled bool) {
	row, ok := l.servers.Get(server)
	if !ok || row.SuspicionReportedAt != 0 && now < row.SuspicionReportedAt+reportInterval {
		return
	}
	l.servers.Put(server, row.WithSuspicionReported(now))
	l.actions = append(l.actions, ServerSuspected{Server: server, WriteStalled: stalled})
}

package caller

import (
	"cmp"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	// sampleInterval is the least time between two samples of a primary's position.
	sampleInterval = 20 * time.Millisecond
	// sampleRetention is how long samples are kept: no class accepts reads of a greater age without a younger sample doing as well.
	sampleRetention = 5 * time.Second
	// behindBackoff is how long reads of a stated age keep away from a replica that lacked the position they need.
	behindBackoff = 100 * time.Millisecond
	// maxBehindDoublings bounds how often that time doubles while the replica goes on lacking.
	maxBehindDoublings = 4
	// declinedBackoff is how long requests keep away from a server that declined one.
	declinedBackoff = 25 * time.Millisecond
	// replicaReadWait is how long a commit waits for a replica's answer to a read to show that the replica holds it, before a replica
	// is asked.
	replicaReadWait = 5 * time.Millisecond
	// slowThreshold is how long a server may take before its answer is missed; nearly all work is shorter.
	slowThreshold = 400 * time.Millisecond
	// reportInterval is the least time between two reports to control about one server.
	reportInterval = 250 * time.Millisecond
)

// GroupKind is what differs between the kinds of database groups for a lane, as one concrete set of functions.
type GroupKind struct {
	Name string
	// NeedsConfirmation reports whether the answer to a request waits for evidence that is gathered after it.
	NeedsConfirmation func(s Session, r Request) bool
	// HoldsAnswers says that every answer goes to its caller only after the lane has taken note of it, so that a request which the
	// lane gave up in the same moment is not answered behind its back. Answers must be small then.
	HoldsAnswers bool
	// NeedsLeadership reports whether the answer of the primary to a request counts only with evidence that it led when the request
	// arrived.
	NeedsLeadership func(r Request) bool
	// EvidenceSource names the server that can give evidence about the primary; try counts questions that failed before.
	EvidenceSource func(v upstream.GroupView, try int) string
	// SemiSync says that a primary acknowledges a commit only when a replica has received it. That may be one that joined the
	// group during a promotion, which then knows nothing of the commit, so that another has to be seen to hold it.
	SemiSync bool
	// ReplicaCanServe reports whether a server other than the primary may run a read, and the position that its answer must show.
	ReplicaCanServe func(q RouteQuery, s Server) (session.Position, bool)
	// SupportsCancel says that servers can be asked to give up a request that runs; elsewhere its connection is closed.
	SupportsCancel bool
	// RetriesBegin says that a transaction's beginning may be sent again when its answer was lost.
	RetriesBegin bool
	// ResolvesOutcomes says that the outcome of a lost answer can be found out by its key.
	ResolvesOutcomes bool
}

// Quorum is the kind of group that proves its commits and its replicas' age by questions to its primary.
func Quorum() GroupKind {
	return GroupKind{
		Name:    "quorum",
		NeedsConfirmation:   commitNeedsConfirmation,
		NeedsLeadership:   func(Request) bool { return false },
		EvidenceSource: func(v upstream.GroupView, _ int) string { return v.Primary },
		ReplicaCanServe:  freshReplica,
		SupportsCancel: true,
		ResolvesOutcomes: true,

		RetriesBegin: true,
	}
}

// Appointed is the kind of group whose primary acknowledges only what a replica has received. Commits wait for nothing there,
// but what is read at the primary needs evidence that no promotion had begun when the read arrived, and a replica is told the
// position that it has to show. Nearness is zero for the own zone, one for the own region and two for others.
func Appointed(nearness func(zone string) int) GroupKind {
	return GroupKind{
		Name:       "appointed",
		NeedsConfirmation:      func(Session, Request) bool { return false },
		NeedsLeadership:      func(r Request) bool { return r.Statement.Kind == KindRead || r.Statement.Kind == KindBegin },
		EvidenceSource:    func(v upstream.GroupView, try int) string { return nearestReplica(v, nearness, try) },
		HoldsAnswers:      true,
		SemiSync: true,
		ReplicaCanServe:     replicaCoversSample,
	}
}

// nearestReplica names a replica that answers, the nearest first and then the others in turn. One that joined lately is no
// witness while there are others: a promotion under way may not have paused it.
func nearestReplica(v upstream.GroupView, nearness func(zone string) int, try int) string {
	rs := slices.DeleteFunc(establishedReplicas(v), func(s upstream.ServerView) bool { return !s.Alive })
	if len(rs) == 0 {
		return ""
	}
	slices.SortStableFunc(rs, func(a, b upstream.ServerView) int {
		return cmp.Or(cmp.Compare(nearness(a.Zone), nearness(b.Zone)), cmp.Compare(a.Name, b.Name))
	})
	return rs[try%len(rs)].Name
}

// establishedReplicas lists the replicas that every promotion under way knows of, or all where all are new.
func establishedReplicas(v upstream.GroupView) []upstream.ServerView {
	rs := slices.DeleteFunc(slices.Clone(v.Servers), func(s upstream.ServerView) bool { return s.Name == v.Primary })
	if old := slices.DeleteFunc(slices.Clone(rs), func(s upstream.ServerView) bool { return s.Joined }); len(old) > 0 {
		return old
	}
	return rs
}

// recordReplicated takes note that a replica holds the group's log up to a position, and answers the commits that waited for it.
func (l *Lane) recordReplicated(now time.Duration, server string, p session.Position) {
	known := slices.ContainsFunc(establishedReplicas(l.view), func(s upstream.ServerView) bool { return s.Name == server })
	if !known || p.Term != l.view.Term || l.replicatedTo.Covers(p) {
		return
	}
	l.replicatedTo = p
	waits := false
	for _, id := range l.awaitingConfirmation {
		if r, ok := l.requests.Get(id); ok && r.PendingReplica && p.Covers(r.Position) {
			// The replica has received what was sent to the primary at that time, so that it was not paused yet.
			l.recordLeaderConfirmed(r.Started)
			waits = true
		}
	}
	if waits {
		l.releaseConfirmed(now)
	}
}

// freshReplica wants a replica whose applied log is proven young enough, and long enough for the session.
func freshReplica(q RouteQuery, s Server) (session.Position, bool) {
	v := s.View
	ok := v.Proven && v.Applied.Covers(q.Session.RequiredPosition()) && q.Now-v.ProvenAt <= q.Request.Statement.Class.MaxAge()
	return q.Session.Floor, ok
}

// replicaCoversSample wants a replica that is not known to lack the oldest position that proves the read's age.
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

// sample keeps a primary's position as that of the moment at which it was asked for.
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

// needsLeadership reports whether a request's answer from the primary has to wait for evidence that it led.
func (l *Lane) needsLeadership(r Request) bool {
	return r.TxConn == 0 && l.kind.NeedsLeadership(r) && !l.leaderAt(r.Arrived)
}

// leaderAt reports whether the primary was surely the group's leader at a moment, by control's word or this lane's own.
func (l *Lane) leaderAt(at time.Duration) bool {
	return l.view.WithLed(l.lastLeaderConfirmed()).Led(at)
}

// lastLeaderConfirmed is the moment that the newest evidence of the primary's lead is about, zero for none.
func (l *Lane) lastLeaderConfirmed() time.Duration {
	return max(l.leaderConfirmedAt, l.view.LedAt)
}

// recordLeaderConfirmed keeps evidence that the primary led at a moment and would do so for the evidence's lifetime.
func (l *Lane) recordLeaderConfirmed(at time.Duration) {
	l.leaderConfirmedAt = max(l.leaderConfirmedAt, at)
}

// reportResponse tells control of an answer, which saves it a probe, at most once per interval and server.
func (l *Lane) reportResponse(server string, sent time.Duration) {
	row, _ := l.servers.Get(server)
	if sent < row.ResponseReportedAt+reportInterval {
		return
	}
	l.servers.Put(server, row.WithResponseReported(sent))
	l.actions = append(l.actions, ResponseReceived{Server: server, SentAt: sent})
}

// reportSuspect tells control that a server did not answer as it should.
func (l *Lane) reportSuspect(now time.Duration, server string, stalled bool) {
	row, ok := l.servers.Get(server)
	if !ok || row.SuspicionReportedAt != 0 && now < row.SuspicionReportedAt+reportInterval {
		return
	}
	l.servers.Put(server, row.WithSuspicionReported(now))
	l.actions = append(l.actions, ServerSuspected{Server: server, Stalled: stalled})
}

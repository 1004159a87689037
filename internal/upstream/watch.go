package upstream

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/table"
)

// Watch holds the tables of the groups that a node monitors, and the systems that run over them.
type Watch struct {
	node       string
	groups     *table.Table[string, Group]
	servers    *table.Table[string, Server]
	promotions *table.Table[string, Promotion]
	// lostFloors holds the groups whose floors the store may have lost. A group is due when its floor is to be recorded again.
	lostFloors *table.Table[string, struct{}]
	leases     *table.Table[string, observedLease]
	peers      []string
	nextStepAt time.Duration
	// startedAt is the time of the first step.
	startedAt time.Duration
	// storeEra is the newest era of the store that is known, and storeEraSince is when it became known.
	storeEra      uint64
	storeEraSince time.Duration
	changedGroups map[string]bool
	actions       []Action
	jitter        func(limit time.Duration) time.Duration
	kind          Kind
	systems       []system
}

type system struct {
	name string
	run  func(w *Watch, now time.Duration)
}

// Option configures a Watch.
type Option func(*Watch) error

// WithJitter replaces the source of random delays. The default always returns half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(w *Watch) error {
		w.jitter = f
		return nil
	}
}

// WithEvidenceTTL replaces the time for which leadership evidence is valid, and thus the wait between fencing and the promotion
// order.
func WithEvidenceTTL(d time.Duration) Option {
	return func(w *Watch) error {
		w.kind.Timing.EvidenceTTL = d
		return nil
	}
}

// WithSilenceLimit replaces the silence after which a primary counts as failed.
func WithSilenceLimit(d time.Duration) Option {
	return func(w *Watch) error {
		w.kind.Timing.SilenceLimit = d
		return nil
	}
}

// WithKind sets the kind of the groups. It must precede options that replace parts of the kind.
func WithKind(k Kind) Option {
	return func(w *Watch) error {
		w.kind = k
		return nil
	}
}

// WithFailureDetector replaces the function that decides whether a primary has failed.
func WithFailureDetector(f func(e FailureEvidence) string) Option {
	return func(w *Watch) error {
		w.kind.DetectFailure = f
		return nil
	}
}

// WithServer adds a server to its group.
func WithServer(name, group, zone, address string) Option {
	return func(w *Watch) error {
		if _, ok := w.servers.Get(name); ok {
			return fmt.Errorf("server %q is configured twice", name)
		}
		g, _ := w.groups.Get(group)
		w.groups.Put(group, g.WithServer(group, name).WithWatch(false, true))
		w.servers.Put(name, Server{Name: name, Group: group, Zone: zone, Address: address})
		w.servers.SetDue(name, 0)
		return nil
	}
}

// NewWatch returns the Watch of the named node. It fails if an option fails.
func NewWatch(node string, opts ...Option) (*Watch, error) {
	w := &Watch{
		node:          node,
		groups:        table.New[string, Group](),
		servers:       table.New[string, Server](),
		promotions:    table.New[string, Promotion](),
		lostFloors:    table.New[string, struct{}](),
		leases:        table.New[string, observedLease](),
		peers:         []string{node},
		nextStepAt:    table.Never,
		startedAt:     table.Never,
		changedGroups: map[string]bool{},
		jitter:        func(limit time.Duration) time.Duration { return limit / 2 },
		kind:          Quorum(),
	}
	w.systems = []system{
		{"timeouts", expireProbes},
		{"probes", sendProbes},
		{"suspicion", updateSuspicions},
		{"promotions", advancePromotions},
		{"floors", recordFloors},
		{"rejoin", orderFollowers},
		{"views", publishViews},
	}
	for _, o := range opts {
		if err := o(w); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Step applies the events since the last step and runs the systems. It returns the actions to carry out and the latest time for
// the next call.
func (w *Watch) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	w.actions = nil
	w.startedAt = min(w.startedAt, now)
	w.detectOwnPause(now)
	for _, e := range es {
		w.apply(now, e)
	}
	for _, s := range w.systems {
		s.run(w, now)
	}
	w.nextStepAt = min(w.servers.NextDue(), w.groups.NextDue(), w.promotions.NextDue(), w.lostFloors.NextDue())
	return w.actions, w.nextStepAt
}

// Group returns the row of a group, and whether there is one.
func (w *Watch) Group(name string) (Group, bool) {
	return w.groups.Get(name)
}

// detectOwnPause discards the evidence about servers if this node itself was paused, as their silence may be due to the pause.
func (w *Watch) detectOwnPause(now time.Duration) {
	if w.nextStepAt == table.Never || now-w.nextStepAt <= MaxTickDelay {
		return
	}
	for _, k := range w.servers.Keys() {
		s, _ := w.servers.Get(k)
		w.servers.Put(k, s.WithSilenceReset(now))
		w.servers.SetDue(k, now)
	}
	w.writeAuditRecord(operator.Record{Kind: operator.KindSuspicion, Cause: "own_pause"}.
		WithEvidence("late_by", (now - w.nextStepAt).String()))
}

func (w *Watch) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case ProbeSucceeded:
		w.applyProbeSuccess(now, e)
	case ProbeFailed:
		w.applyProbeFailure(now, e)
	case PromiseAnswered:
		w.applyPromise(now, e)
	case PromoteAnswered:
		w.applyPromoted(now, e)
	case RouteLearned:
		w.learnFloor(e.Group, e.Floor)
		w.adoptRoute(now, e.Group, e.Term, e.Primary, nil, "told")
	case CommitsAcknowledged:
		w.applyCommitsAcknowledged(e)
	case VMListed:
		if s, ok := w.servers.Get(e.Server); ok {
			w.servers.Put(e.Server, s.WithLeavingInVMList(e.Leaving))
		}
	case ServerConfigured:
		w.applyServerConfigured(now, e)
	case ResponseReceived:
		w.applyResponse(e)
	case ServerSuspected:
		w.applyServerSuspected(now, e)
	case ServerRemoved:
		w.applyServerRemoved(now, e.Server)
	case LeaseRead:
		w.applyLeaseRead(now, e)
	case LeaseAcquired:
		w.applyLeaseAcquired(now, e)
	case LeaseRequestFailed:
		w.applyLeaseRequestFailed(now, e)
	case StoreEraObserved:
		w.applyStoreEra(now, e)
	case FloorNotRecorded:
		w.scheduleFloor(now, e.Group)
	case PeersUpdated:
		w.peers = slices.Clone(e.Nodes)
		for _, k := range w.groups.Keys() {
			w.updateWatched(now, k)
		}
	case GroupServed:
		// A group may be served before any of its servers is known.
		g, _ := w.groups.Get(e.Group)
		w.groups.Put(e.Group, g.WithName(e.Group).WithWatch(e.Served, g.Watched).WithPromoters(e.Promoters))
		w.updateWatched(now, e.Group)
	}
}

// updateWatched decides whether this node watches a group. A group is watched by the nodes that serve it and, unless it has its
// own list of promoters, by its WatchersPerGroup highest-ranked nodes.
func (w *Watch) updateWatched(now time.Duration, group string) {
	g, _ := w.groups.Get(group)
	watched := g.Served || g.Promoters == nil && w.rank(group) < WatchersPerGroup
	if watched == g.Watched {
		return
	}
	w.groups.Put(group, g.WithWatch(g.Served, watched))
	for _, n := range g.Servers {
		if watched {
			w.servers.SetDue(n, now)
		} else {
			w.servers.SetDue(n, table.Never)
		}
	}
}

// applyServerConfigured applies a bundle's settings of a server. Only a bundle can add a server to a group.
func (w *Watch) applyServerConfigured(now time.Duration, e ServerConfigured) {
	s, known := w.servers.Get(e.Server)
	if !known {
		s = Server{Name: e.Server, Group: e.Group}
		g, _ := w.groups.Get(e.Group)
		if len(g.Servers) == 0 {
			g = g.WithFirstServer(now)
			if w.kind.UsesLeases {
				// This node does not know which servers were removed or restarted before.
				g = g.WithLogLost(now)
			}
		}
		w.groups.Put(e.Group, g.WithServer(e.Group, e.Server))
		w.updateWatched(now, e.Group)
	}
	if known && s.Incarnation != e.Incarnation {
		w.applyRestart(now, s)
		s = Server{Name: e.Server, Group: e.Group}
	}
	if joined := !known || s.Incarnation != e.Incarnation; joined && now > w.startedAt+startupWindow {
		s.JoinedAt = now
	}
	s.Zone = e.Zone
	s.Address = e.Address
	s.Incarnation = e.Incarnation
	w.servers.Put(e.Server, s.WithLeavingInBundle(e.Leaving))
	w.servers.SetDue(e.Server, now)
}

// applyResponse counts a response to traffic as a heartbeat, so that fewer probes are needed.
func (w *Watch) applyResponse(e ResponseReceived) {
	if s, ok := w.servers.Get(e.Server); ok && s.StatusKnown && e.SentAt > s.LastResponse {
		w.servers.Put(e.Server, s.WithResponse(e.SentAt))
	}
}

// applyServerSuspected probes a server without a recent response, and soon also the other servers of its group. After a stalled
// write it probes the server in any case, as a primary may still answer reads while no replica receives its writes.
func (w *Watch) applyServerSuspected(now time.Duration, e ServerSuspected) {
	s, ok := w.servers.Get(e.Server)
	if !ok || s.ProbePending || !e.WriteStalled && now-s.LastResponse < w.kind.Timing.OverdueAfter {
		return
	}
	s = s.WithOverdue(now)
	w.servers.Put(s.Name, s)
	w.servers.SetDue(s.Name, max(now, s.ProbeSentAt+w.kind.Timing.ShortProbeInterval))
	if g, ok := w.groups.Get(s.Group); ok && e.WriteStalled {
		w.groups.Put(g.Name, g.WithAlert(now+stallAlertTime))
	}
	w.probeGroupSoon(now, s.Group)
}

// applyRestart handles a new incarnation of a server, which knows nothing of the previous one's log. A promotion starts over, as
// one of its promises may be that of the previous incarnation.
func (w *Watch) applyRestart(now time.Duration, s Server) {
	w.writeAuditRecord(operator.Record{Kind: operator.KindMember, Group: s.Group, Server: s.Name, Cause: "restarted"})
	w.recordLogLoss(now, s)
	if p, ok := w.promotions.Get(s.Group); ok && p.Stage != StageOpening {
		w.retryAttempt(now, p)
	}
}

// applyServerRemoved deletes a permanently removed server.
func (w *Watch) applyServerRemoved(now time.Duration, server string) {
	s, ok := w.servers.Get(server)
	if !ok {
		return
	}
	g, _ := w.groups.Get(s.Group)
	w.writeAuditRecord(operator.Record{Kind: operator.KindLeaving, Group: s.Group, Server: server, Term: g.Term, Cause: "gone"}.
		WithEvidence("led", fmt.Sprint(g.Primary == server)))
	w.recordLogLoss(now, s)
	w.servers.Delete(server)
	g, _ = w.groups.Get(s.Group)
	w.groups.Put(s.Group, g.WithoutServer(server))
	w.probeGroupSoon(now, s.Group)
}

func (w *Watch) applyProbeSuccess(now time.Duration, e ProbeSucceeded) {
	s, ok := w.servers.Get(e.Server)
	if !ok || e.SentAt < s.StatusProbedAt {
		return
	}
	s = s.WithStatus(e.SentAt, e.Status)
	w.servers.Put(e.Server, s)
	w.servers.SetDue(e.Server, w.nextProbeAt(now, s))
	w.updateGroupFromStatus(now, s)
}

// updateGroupFromStatus updates the group's row from one server's status.
func (w *Watch) updateGroupFromStatus(now time.Duration, s Server) {
	st := s.Status
	if st.Role != RolePrimary {
		w.updateLeaderConfirmed(s)
		return
	}
	w.adoptRoute(now, s.Group, st.Term, s.Name, &st, "seen")
	w.restorePrimary(s)
	g, _ := w.groups.Get(s.Group)
	if g.Term != st.Term || g.Primary != s.Name {
		return
	}
	g = g.WithForks(st.Forks)
	at := s.StatusProbedAt - st.QuorumAge
	if n := len(g.Samples); n == 0 || g.Samples[n-1].At < at {
		g = g.WithSample(Sample{At: at, Position: st.Position})
	}
	w.groups.Put(s.Group, g)
}

// restorePrimary makes a primary that is listed again the primary of its group, if none has a higher term. Its entry may have been
// missing for a moment, as in a read of a store that lags, while the server went on.
func (w *Watch) restorePrimary(s Server) {
	g, _ := w.groups.Get(s.Group)
	if g.Primary != "" || g.Term == 0 || s.Status.Term != g.Term {
		return
	}
	w.groups.Put(g.Name, g.WithListedPrimary(s.Name))
	w.writeAuditRecord(operator.Record{Kind: operator.KindTerm, Group: g.Name, Server: s.Name, Term: g.Term, Cause: "listed_again"})
}

// updateLeaderConfirmed records a replica's status that confirms the primary as leader at the time when the probe was sent.
func (w *Watch) updateLeaderConfirmed(s Server) {
	if g, _ := w.groups.Get(s.Group); w.kind.ConfirmsLeader(g, s) && PauseSettled(s.StatusProbedAt, g.LastPausedAt) {
		w.groups.Put(s.Group, g.WithLeaderConfirmed(s.StatusProbedAt))
	}
}

// adoptRoute adopts a route if its term is higher than the known one. cause names the source of the route in the audit record.
func (w *Watch) adoptRoute(now time.Duration, group string, term uint64, primary string, st *Status, cause string) {
	g, ok := w.groups.Get(group)
	if !ok || term <= g.Term {
		return
	}
	old := g
	g = g.WithRoute(term, primary, g.Forks)
	if st != nil {
		g = g.WithForks(st.Forks)
	}
	w.groups.Put(group, g)
	w.finishPromotion(now, old, term, primary, st)
	for _, n := range g.Servers {
		w.servers.SetDue(n, now)
	}
	w.actions = append(w.actions, AnnouncePrimary{Group: group, Term: term, Primary: primary})
	w.writeAuditRecord(operator.Record{Kind: operator.KindTerm, Group: group, Server: primary, Term: term, Cause: cause}.
		WithEvidence("before", fmt.Sprintf("%s at term %d", old.Primary, old.Term)))
}

func (w *Watch) applyProbeFailure(now time.Duration, e ProbeFailed) {
	s, ok := w.servers.Get(e.Server)
	if !ok {
		return
	}
	if e.Refused {
		s = s.WithRefusal(now)
	} else {
		s = s.WithTimeout()
	}
	w.servers.Put(e.Server, s)
	w.servers.SetDue(e.Server, now+w.kind.Timing.ShortProbeInterval)
	w.probeGroupSoon(now, s.Group)
}

// probeGroupSoon schedules probes of a group's servers at ShortProbeInterval.
func (w *Watch) probeGroupSoon(now time.Duration, group string) {
	g, _ := w.groups.Get(group)
	for _, n := range g.Servers {
		if s, ok := w.servers.Get(n); ok && !s.ProbePending {
			w.servers.SetDue(n, max(now, s.ProbeSentAt+w.kind.Timing.ShortProbeInterval))
		}
	}
}

// probeInterval returns the time between probes of a server. It is shorter while the group shows signs of a failure.
func (w *Watch) probeInterval(now time.Duration, s Server) time.Duration {
	g, _ := w.groups.Get(s.Group)
	if _, ok := w.promotions.Get(s.Group); ok || g.Suspect || g.LogLostAt != 0 ||
		w.kind.UsesLeases && (g.ReplicationStalledSince != 0 || g.NoPrimarySince != 0 || now < g.AlertUntil) {
		return w.kind.Timing.ShortProbeInterval
	}
	if p, ok := w.servers.Get(g.Primary); ok && (p.FirstMissAt != 0 || p.OverdueSince != 0 || w.kind.UsesLeases && p.IsLeaving()) {
		return w.kind.Timing.ShortProbeInterval
	}
	st := s.Status
	if st.PrimaryAge > w.kind.Timing.OverdueAfter || st.QuorumAge > w.kind.Timing.OverdueAfter ||
		st.LinkClosed || st.Promised > g.Term {
		return w.kind.Timing.ShortProbeInterval
	}
	if s.Name == g.Primary {
		return w.kind.Timing.PrimaryProbeInterval
	}
	return w.kind.Timing.ReplicaProbeInterval
}

func (w *Watch) writeAuditRecord(r operator.Record) {
	w.actions = append(w.actions, WriteAuditRecord{Record: r})
}

// rank returns this node's position in the order in which nodes start a promotion in a group, zero for the first node.
func (w *Watch) rank(group string) int {
	g, _ := w.groups.Get(group)
	if g.Promoters != nil {
		return peer.Rank(w.node, group, g.Promoters)
	}
	return peer.Rank(w.node, group, w.peers)
}

package upstream

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/table"
)

// Watch holds the tables of the groups that a node looks after, and the systems that run over them.
type Watch struct {
	node       string
	groups     *table.Table[string, Group]
	servers    *table.Table[string, Server]
	promotions *table.Table[string, Promotion]
	leases     *table.Table[string, seen]
	peers      []string
	expected   time.Duration
	// began is the moment of the first step.
	began   time.Duration
	stale   map[string]bool
	out     []Action
	jitter  func(limit time.Duration) time.Duration
	kind    Kind
	systems []system
}

type system struct {
	name string
	run  func(w *Watch, now time.Duration)
}

// Option sets up a Watch.
type Option func(*Watch) error

// WithJitter replaces the source of random delays, which by default gives half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(w *Watch) error {
		w.jitter = f
		return nil
	}
}

// WithEvidenceTTL replaces the wait between fencing and opening.
func WithEvidenceTTL(d time.Duration) Option {
	return func(w *Watch) error {
		w.kind.Timing.EvidenceTTL = d
		return nil
	}
}

// WithSilenceLimit replaces the silence that counts as a primary's failure.
func WithSilenceLimit(d time.Duration) Option {
	return func(w *Watch) error {
		w.kind.Timing.SilenceLimit = d
		return nil
	}
}

// WithKind has the groups watched and repaired as those of another kind; it goes before options that replace parts of it.
func WithKind(k Kind) Option {
	return func(w *Watch) error {
		w.kind = k
		return nil
	}
}

// WithFailureDetector replaces the decision whether a primary has failed.
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
			return fmt.Errorf("server %q is named twice", name)
		}
		g, _ := w.groups.Get(group)
		w.groups.Put(group, g.WithServer(group, name).WithWatch(false, true))
		w.servers.Put(name, Server{Name: name, Group: group, Zone: zone, Address: address})
		w.servers.Wake(name, 0)
		return nil
	}
}

// NewWatch returns the watch of the named node.
func NewWatch(node string, opts ...Option) (*Watch, error) {
	w := &Watch{
		node:       node,
		groups:     table.New[string, Group](),
		servers:    table.New[string, Server](),
		promotions: table.New[string, Promotion](),
		leases:     table.New[string, seen](),
		peers:      []string{node},
		expected:   table.Never,
		began:      table.Never,
		stale:      map[string]bool{},
		jitter:     func(limit time.Duration) time.Duration { return limit / 2 },
		kind:       Quorum(),
	}
	w.systems = []system{
		{"timeouts", expireProbes},
		{"probes", sendProbes},
		{"suspicion", weighPrimaries},
		{"promotions", advancePromotions},
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

// Step takes what was learned since the last step and returns what to do, and when to be called again at the latest.
func (w *Watch) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	w.out = nil
	w.began = min(w.began, now)
	w.noticePause(now)
	for _, e := range es {
		w.apply(now, e)
	}
	for _, s := range w.systems {
		s.run(w, now)
	}
	w.expected = min(w.servers.NextDue(), w.groups.NextDue(), w.promotions.NextDue())
	return w.out, w.expected
}

// Group returns the row of a group, and whether there is one.
func (w *Watch) Group(name string) (Group, bool) {
	return w.groups.Get(name)
}

// noticePause drops evidence about others that stems from this node's own absence.
func (w *Watch) noticePause(now time.Duration) {
	if w.expected == table.Never || now-w.expected <= MaxTickDelay {
		return
	}
	for _, k := range w.servers.Keys() {
		s, _ := w.servers.Get(k)
		w.servers.Put(k, s.WithSilenceReset(now))
		w.servers.Wake(k, now)
	}
	w.note(operator.Record{Kind: operator.KindSuspicion, Cause: "own_pause"}.
		WithEvidence("late_by", (now - w.expected).String()))
}

func (w *Watch) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case ProbeSucceeded:
		w.applyStatus(now, e)
	case ProbeFailed:
		w.applyFailure(now, e)
	case PromiseAnswered:
		w.applyPromise(now, e)
	case PromoteAnswered:
		w.applyPromoted(now, e)
	case RouteLearned:
		w.learn(now, e.Group, e.Term, e.Primary, nil, "told")
	case VMListed:
		if s, ok := w.servers.Get(e.Server); ok {
			w.servers.Put(e.Server, s.WithLeavingInVMList(e.Leaving))
		}
	case ServerConfigured:
		w.configure(now, e)
	case ResponseReceived:
		w.hear(e)
	case ServerSuspected:
		w.doubt(now, e)
	case ServerRemoved:
		w.remove(now, e.Server)
	case LeaseRead:
		w.leaseRead(now, e)
	case LeaseAcquired:
		w.leaseTaken(now, e)
	case LeaseRequestFailed:
		w.leaseFailed(now, e)
	case PeersUpdated:
		w.peers = slices.Clone(e.Nodes)
		for _, k := range w.groups.Keys() {
			w.assign(now, k)
		}
	case GroupServed:
		// Callers may use a group before any of its servers is known.
		g, _ := w.groups.Get(e.Group)
		w.groups.Put(e.Group, g.WithName(e.Group).WithWatch(e.Served, g.Watched).WithPromoters(e.Promoters))
		w.assign(now, e.Group)
	}
}

// assign decides whether this node watches a group: those are its best-ranked nodes and those whose callers use it.
func (w *Watch) assign(now time.Duration, group string) {
	g, _ := w.groups.Get(group)
	watched := g.Served || g.Promoters == nil && w.rank(group) < WatchersPerGroup
	if watched == g.Watched {
		return
	}
	w.groups.Put(group, g.WithWatch(g.Served, watched))
	for _, n := range g.Servers {
		if watched {
			w.servers.Wake(n, now)
		} else {
			w.servers.Wake(n, table.Never)
		}
	}
}

// configure adopts what a bundle says of a server; a group gets a new member only through a bundle.
func (w *Watch) configure(now time.Duration, e ServerConfigured) {
	s, known := w.servers.Get(e.Server)
	if !known {
		s = Server{Name: e.Server, Group: e.Group}
		g, _ := w.groups.Get(e.Group)
		if len(g.Servers) == 0 {
			g = g.WithFirstServer(now)
		}
		w.groups.Put(e.Group, g.WithServer(e.Group, e.Server))
		w.assign(now, e.Group)
	}
	if known && s.Incarnation != e.Incarnation {
		w.reborn(now, s)
		s = Server{Name: e.Server, Group: e.Group}
	}
	if fresh := !known || s.Incarnation != e.Incarnation; fresh && now > w.began+meetWithin {
		s.JoinedAt = now
	}
	s.Zone = e.Zone
	s.Address = e.Address
	s.Incarnation = e.Incarnation
	w.servers.Put(e.Server, s.WithLeavingInBundle(e.Leaving))
	w.servers.Wake(e.Server, now)
}

// hear takes an answer to traffic for a sign of life, which saves a probe.
func (w *Watch) hear(e ResponseReceived) {
	if s, ok := w.servers.Get(e.Server); ok && s.StatusKnown && e.SentAt > s.LastResponse {
		w.servers.Put(e.Server, s.WithResponse(e.SentAt))
	}
}

// doubt probes a server of which nothing was heard lately, and the others of its group soon. A primary may go on answering
// reads while no replica receives its writes.
func (w *Watch) doubt(now time.Duration, e ServerSuspected) {
	s, ok := w.servers.Get(e.Server)
	if !ok || s.ProbePending || !e.WriteStalled && now-s.LastResponse < w.kind.Timing.OverdueAfter {
		return
	}
	s = s.WithOverdue(now)
	w.servers.Put(s.Name, s)
	w.servers.Wake(s.Name, max(now, s.ProbeSentAt+w.kind.Timing.ShortProbeInterval))
	if g, ok := w.groups.Get(s.Group); ok && e.WriteStalled {
		w.groups.Put(g.Name, g.WithAlert(now+alertFor))
	}
	w.hurry(now, s.Group)
}

// reborn begins a promotion anew whose promises may stem from an earlier life of a server.
func (w *Watch) reborn(now time.Duration, s Server) {
	w.note(operator.Record{Kind: operator.KindMember, Group: s.Group, Server: s.Name, Cause: "restarted"})
	if p, ok := w.promotions.Get(s.Group); ok && p.Stage != StageOpening {
		w.retry(now, p)
	}
}

// remove forgets a server that is gone for good.
func (w *Watch) remove(now time.Duration, server string) {
	s, ok := w.servers.Get(server)
	if !ok {
		return
	}
	g, _ := w.groups.Get(s.Group)
	w.note(operator.Record{Kind: operator.KindLeaving, Group: s.Group, Server: server, Term: g.Term, Cause: "gone"}.
		WithEvidence("led", fmt.Sprint(g.Primary == server)))
	w.servers.Delete(server)
	if g.Primary != server && w.kind.UsesLeases {
		// What a replica had received may have been acknowledged on its word alone.
		g = g.WithFloor(s.Status.Position)
	}
	w.groups.Put(s.Group, g.WithoutServer(server))
	w.hurry(now, s.Group)
}

func (w *Watch) applyStatus(now time.Duration, e ProbeSucceeded) {
	s, ok := w.servers.Get(e.Server)
	if !ok || e.SentAt < s.StatusProbedAt {
		return
	}
	s = s.WithStatus(e.SentAt, e.Status)
	w.servers.Put(e.Server, s)
	w.servers.Wake(e.Server, w.nextProbe(now, s))
	w.takeStatus(now, s)
}

// takeStatus draws what a group's row can learn from one server's status.
func (w *Watch) takeStatus(now time.Duration, s Server) {
	st := s.Status
	if st.Role != RolePrimary {
		w.takeLead(s)
		return
	}
	w.learn(now, s.Group, st.Term, s.Name, &st, "seen")
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

// takeLead keeps a replica's word that its group's primary had not been replaced when the probe left.
func (w *Watch) takeLead(s Server) {
	if g, _ := w.groups.Get(s.Group); w.kind.ConfirmsLeader(g, s) && PauseSettled(s.StatusProbedAt, g.LastPausedAt) {
		w.groups.Put(s.Group, g.WithLeaderConfirmed(s.StatusProbedAt))
	}
}

// learn adopts a route if its term is higher than the known one.
func (w *Watch) learn(now time.Duration, group string, term uint64, primary string, st *Status, how string) {
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
	w.endPromotion(now, old, term, primary, st)
	for _, n := range g.Servers {
		w.servers.Wake(n, now)
	}
	w.out = append(w.out, AnnouncePrimary{Group: group, Term: term, Primary: primary})
	w.note(operator.Record{Kind: operator.KindTerm, Group: group, Server: primary, Term: term, Cause: how}.
		WithEvidence("before", fmt.Sprintf("%s at term %d", old.Primary, old.Term)))
}

func (w *Watch) applyFailure(now time.Duration, e ProbeFailed) {
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
	w.servers.Wake(e.Server, now+w.kind.Timing.ShortProbeInterval)
	w.hurry(now, s.Group)
}

// hurry makes the other servers of a group be probed at the shorter interval.
func (w *Watch) hurry(now time.Duration, group string) {
	g, _ := w.groups.Get(group)
	for _, n := range g.Servers {
		if s, ok := w.servers.Get(n); ok && !s.ProbePending {
			w.servers.Wake(n, max(now, s.ProbeSentAt+w.kind.Timing.ShortProbeInterval))
		}
	}
}

// interval returns the time between probes of a server, shorter while its group is in doubt.
func (w *Watch) interval(now time.Duration, s Server) time.Duration {
	g, _ := w.groups.Get(s.Group)
	if _, ok := w.promotions.Get(s.Group); ok || g.Suspect ||
		w.kind.UsesLeases && (g.ReplicationStalledSince != 0 || g.NoPrimarySince != 0 || now < g.AlertUntil) {
		return w.kind.Timing.ShortProbeInterval
	}
	if p, ok := w.servers.Get(g.Primary); ok && (p.FirstMissAt != 0 || p.OverdueSince != 0) {
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

func (w *Watch) note(r operator.Record) {
	w.out = append(w.out, WriteAuditRecord{Record: r})
}

// rank is the place of this node in the order in which nodes take up a group's promotion.
func (w *Watch) rank(group string) int {
	g, _ := w.groups.Get(group)
	if g.Promoters != nil {
		return peer.Rank(w.node, group, g.Promoters)
	}
	return peer.Rank(w.node, group, w.peers)
}

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
		w.kind.Times.EvidenceTTL = d
		return nil
	}
}

// WithSilenceLimit replaces the silence that counts as a primary's failure.
func WithSilenceLimit(d time.Duration) Option {
	return func(w *Watch) error {
		w.kind.Times.Silence = d
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

// WithJudge replaces the decision whether a primary has failed.
func WithJudge(f func(e Evidence) string) Option {
	return func(w *Watch) error {
		w.kind.Judge = f
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
		w.groups.Put(group, g.WithServer(group, name).WithDuty(false, true))
		w.servers.Put(name, Server{Name: name, Group: group, Zone: zone, Address: address})
		w.servers.SetDue(name, 0)
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
	if w.expected == table.Never || now-w.expected <= PauseLimit {
		return
	}
	for _, k := range w.servers.Keys() {
		s, _ := w.servers.Get(k)
		w.servers.Put(k, s.WithFreshEvidence(now))
		w.servers.SetDue(k, now)
	}
	w.note(operator.Record{Kind: operator.KindSuspicion, Cause: "own_pause"}.
		WithEvidence("late_by", (now - w.expected).String()))
}

func (w *Watch) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Probed:
		w.applyStatus(now, e)
	case ProbeFailed:
		w.applyFailure(now, e)
	case Promised:
		w.applyPromise(now, e)
	case Promoted:
		w.applyPromoted(now, e)
	case Learned:
		w.learn(now, e.Group, e.Term, e.Primary, nil, "told")
	case Marked:
		if s, ok := w.servers.Get(e.Server); ok {
			w.servers.Put(e.Server, s.WithListed(e.Leaving))
		}
	case Configured:
		w.configure(now, e)
	case Heard:
		w.hear(e)
	case Doubted:
		w.doubt(now, e)
	case Removed:
		w.remove(now, e.Server)
	case LeaseRead:
		w.leaseRead(now, e)
	case LeaseTaken:
		w.leaseTaken(now, e)
	case LeaseFailed:
		w.leaseFailed(now, e)
	case Peers:
		w.peers = slices.Clone(e.Nodes)
		for _, k := range w.groups.Keys() {
			w.assign(now, k)
		}
	case Served:
		// Callers may use a group before any of its servers is known.
		g, _ := w.groups.Get(e.Group)
		w.groups.Put(e.Group, g.WithName(e.Group).WithDuty(e.On, g.Watched).WithNodes(e.Nodes))
		w.assign(now, e.Group)
	}
}

// assign decides whether this node watches a group: those are its best-ranked nodes and those whose callers use it.
func (w *Watch) assign(now time.Duration, group string) {
	g, _ := w.groups.Get(group)
	watched := g.Served || g.Nodes == nil && w.rank(group) < Watchers
	if watched == g.Watched {
		return
	}
	w.groups.Put(group, g.WithDuty(g.Served, watched))
	for _, n := range g.Servers {
		if watched {
			w.servers.SetDue(n, now)
		} else {
			w.servers.SetDue(n, table.Never)
		}
	}
}

// configure adopts what a bundle says of a server; a group gets a new member only through a bundle.
func (w *Watch) configure(now time.Duration, e Configured) {
	s, known := w.servers.Get(e.Server)
	if !known {
		s = Server{Name: e.Server, Group: e.Group}
		g, _ := w.groups.Get(e.Group)
		if len(g.Servers) == 0 {
			g = g.WithKnown(now)
		}
		w.groups.Put(e.Group, g.WithServer(e.Group, e.Server))
		w.assign(now, e.Group)
	}
	if known && s.Born != e.Born {
		w.reborn(now, s)
		s = Server{Name: e.Server, Group: e.Group}
	}
	if fresh := !known || s.Born != e.Born; fresh && now > w.began+meetWithin {
		s.Joined = now
	}
	s.Zone = e.Zone
	s.Address = e.Address
	s.Born = e.Born
	w.servers.Put(e.Server, s.WithLeaving(e.Leaving))
	w.servers.SetDue(e.Server, now)
}

// hear takes an answer to traffic for a sign of life, which saves a probe.
func (w *Watch) hear(e Heard) {
	if s, ok := w.servers.Get(e.Server); ok && s.Known && e.At > s.Heard {
		w.servers.Put(e.Server, s.WithHeard(e.At))
	}
}

// doubt probes a server of which nothing was heard lately, and the others of its group soon. A primary may go on answering
// reads while no replica receives its writes.
func (w *Watch) doubt(now time.Duration, e Doubted) {
	s, ok := w.servers.Get(e.Server)
	if !ok || s.Probing || !e.Stalled && now-s.Heard < w.kind.Times.DoubtAfter {
		return
	}
	s = s.WithDoubt(now)
	w.servers.Put(s.Name, s)
	w.servers.SetDue(s.Name, max(now, s.Sent+w.kind.Times.ProbeSoon))
	if g, ok := w.groups.Get(s.Group); ok && e.Stalled {
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
	if g.Primary != server && w.kind.Leases {
		// What a replica had received may have been acknowledged on its word alone.
		g = g.WithFloor(s.Status.Position)
	}
	w.groups.Put(s.Group, g.WithoutServer(server))
	w.hurry(now, s.Group)
}

func (w *Watch) applyStatus(now time.Duration, e Probed) {
	s, ok := w.servers.Get(e.Server)
	if !ok || e.Sent < s.Asked {
		return
	}
	s = s.WithStatus(e.Sent, e.Status)
	w.servers.Put(e.Server, s)
	w.servers.SetDue(e.Server, w.nextProbe(now, s))
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
	at := s.Asked - st.QuorumAge
	if n := len(g.Samples); n == 0 || g.Samples[n-1].At < at {
		g = g.WithSample(Sample{At: at, Position: st.Position})
	}
	w.groups.Put(s.Group, g)
}

// takeLead keeps a replica's word that its group's primary had not been replaced when the probe left.
func (w *Watch) takeLead(s Server) {
	if g, _ := w.groups.Get(s.Group); w.kind.Leads(g, s) && Settled(s.Asked, g.Paused) {
		w.groups.Put(s.Group, g.WithLed(s.Asked))
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
		w.servers.SetDue(n, now)
	}
	w.out = append(w.out, Announce{Group: group, Term: term, Primary: primary})
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
	w.servers.SetDue(e.Server, now+w.kind.Times.ProbeSoon)
	w.hurry(now, s.Group)
}

// hurry makes the other servers of a group be probed at the shorter interval.
func (w *Watch) hurry(now time.Duration, group string) {
	g, _ := w.groups.Get(group)
	for _, n := range g.Servers {
		if s, ok := w.servers.Get(n); ok && !s.Probing {
			w.servers.SetDue(n, max(now, s.Sent+w.kind.Times.ProbeSoon))
		}
	}
}

// interval returns the time between probes of a server, shorter while its group is in doubt.
func (w *Watch) interval(now time.Duration, s Server) time.Duration {
	g, _ := w.groups.Get(s.Group)
	if _, ok := w.promotions.Get(s.Group); ok || g.Suspect || w.kind.Leases && (g.Stuck != 0 || g.Headless != 0 || now < g.Alert) {
		return w.kind.Times.ProbeSoon
	}
	if p, ok := w.servers.Get(g.Primary); ok && (p.FirstMiss != 0 || p.Doubt != 0) {
		return w.kind.Times.ProbeSoon
	}
	st := s.Status
	if st.PrimaryAge > w.kind.Times.DoubtAfter || st.QuorumAge > w.kind.Times.DoubtAfter || st.LinkClosed || st.Promised > g.Term {
		return w.kind.Times.ProbeSoon
	}
	if s.Name == g.Primary {
		return w.kind.Times.ProbeEvery
	}
	return w.kind.Times.ProbeFar
}

func (w *Watch) note(r operator.Record) {
	w.out = append(w.out, Note{Record: r})
}

// rank is the place of this node in the order in which nodes take up a group's promotion.
func (w *Watch) rank(group string) int {
	g, _ := w.groups.Get(group)
	if g.Nodes != nil {
		return peer.Rank(w.node, group, g.Nodes)
	}
	return peer.Rank(w.node, group, w.peers)
}

package upstream

import (
	"maps"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
)

// orderFollowers orders servers outside the current term to follow the primary as replicas.
func orderFollowers(w *Watch, now time.Duration) {
	for _, k := range slices.Sorted(maps.Keys(w.changedGroups)) {
		g, _ := w.groups.Get(k)
		if g.Term == 0 {
			continue
		}
		p, _ := w.servers.Get(g.Primary)
		for _, s := range w.serversOf(g) {
			w.orderFollower(now, g, p, s)
		}
	}
}

func (w *Watch) orderFollower(now time.Duration, g Group, p, s Server) {
	if s.Name == g.Primary || !s.Fresh(now, w.kind.Timing.FreshTTL) || !w.kind.NeedsFollowOrder(g, s) {
		return
	}
	if s.FollowOrderedAt != 0 && now-s.FollowOrderedAt < w.kind.Timing.FollowInterval {
		return
	}
	w.servers.Put(s.Name, s.WithFollowOrder(now))
	w.actions = append(w.actions, OrderFollow{
		Group: g.Name, Server: s.Name, Address: s.Address, Term: g.Term, Primary: p.Address, Timeout: w.kind.Timing.OpenTimeout,
	})
	w.writeAuditRecord(operator.Record{
		Kind: operator.KindRejoin, Group: g.Name, Server: s.Name, Term: g.Term,
		Cause: "outside_term",
	}.WithEvidence("its_term", s.Status.Position.String()))
}

// publishViews publishes a snapshot of each changed group to its lane.
func publishViews(w *Watch, now time.Duration) {
	for _, k := range slices.Sorted(maps.Keys(w.changedGroups)) {
		delete(w.changedGroups, k)
		g, _ := w.groups.Get(k)
		w.actions = append(w.actions, PublishView{View: w.groupView(now, g)})
	}
}

func (w *Watch) groupView(now time.Duration, g Group) GroupView {
	v := GroupView{
		Name: g.Name, Term: g.Term, Primary: g.Primary, Suspect: g.Suspect, Forks: g.Forks, LeaderConfirmedAt: g.LeaderConfirmedAt,
		Fenced:       g.UnfinishedPromiseSince != 0 && w.kind.UsesLeases,
		LastPausedAt: g.LastPausedAt,
		EvidenceTTL:  w.kind.Timing.EvidenceTTL,
		LogLostAt:    g.LogLostAt,
	}
	if n := len(g.Samples); n > 0 {
		v.LatestSample = g.Samples[n-1]
	}
	for _, s := range w.serversOf(g) {
		at, ok := g.DataAsOf(s.Status.Applied)
		v.Servers = append(v.Servers, ServerView{
			Name: s.Name, Zone: s.Zone, Address: s.Address, Role: s.Status.Role, Term: s.Status.Term,
			Applied: s.Status.Applied, DataAsOf: at, DataAsOfKnown: ok,
			Alive: s.StatusKnown && s.Refusals == 0 && now-s.LastResponse <= w.kind.Timing.AliveTTL, Leaving: s.IsLeaving(),
			JoinedRecently: s.JoinedAt != 0 && now-s.JoinedAt < JoinSettleTime,
		})
	}
	return v
}

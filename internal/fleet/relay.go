package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/peerlink"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

// connectionsPerNode is how many connections to each server a node needs to serve a group: for its statements, for an idle
// transaction and for control. Where a server allows fewer per node, a few nodes serve the group for all.
const connectionsPerNode = 4

// minZoneConnections is the smallest share of a server's connections with which one node of each zone serves a group. With less, as
// few as a handful of open transactions hold them all.
const minZoneConnections = 8

// initRelay creates the relay, which forwards requests to the nodes that serve a group.
func (n *Node) initRelay() error {
	d, err := dispatcher.NewRelay(dispatcher.WithJitter(tick.Jitter), dispatcher.WithTrace(operator.TraceSampled))
	if err != nil {
		return err
	}
	n.relay = traffic.NewRelay(n.ctx, n.clock, d)
	n.relay.Callers = n.listener.Callers()
	n.relay.RequestPayload = n.listener.RequestPayload
	n.relay.HoldAnswer = func(o dispatcher.Outcome) bool {
		return n.listener.HoldAnswer(o.Session, o.Seq,
			platform.Answer{Body: o.Answer, State: o.State, Position: o.Position, Floor: o.Floor})
	}
	n.relay.Dial = func(ctx context.Context, address string, in traffic.LinkHandler) (traffic.Link, error) {
		return n.link.DialDispatcher(ctx, n.settings.Peer, address, n.memberZone(address), in)
	}
	n.relay.DialFailed = func(address string, err error) { n.auditDependency("dispatcher/"+address, "connection_refused", err) }
	n.relay.WriteAuditRecord, n.relay.Panicked = n.writeAuditRecord, n.logPanic
	return nil
}

// memberZone returns the zone of the live member at a peer address, or "".
func (n *Node) memberZone(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := slices.IndexFunc(n.members, func(u peer.Update) bool { return u.Address == address }); i >= 0 {
		return n.members[i].Zone
	}
	return ""
}

// newDispatchers returns the dispatchers of the zones and those of the regions. A zone without a region is a region of its own.
func newDispatchers(zones bundle.Zones) (zone, region *peer.Dispatchers) {
	return peer.NewDispatchers(), peer.NewDispatchers(peer.WithAreas(func(z string) string { return cmp.Or(zones.Region(z), z) }))
}

// servedByRegion reports whether one node of each region serves a group where few nodes serve it for all, and not one of each zone:
// if the share of a zone is below minZoneConnections, or too small for a connection for each tenant. Zones count that have members
// which are known to be dead, so that the loss of a zone moves no group. n.mu must be held.
func (n *Node) servedByRegion(g bundle.Group, tenants int) bool {
	zones := map[string]bool{}
	for _, u := range n.members {
		zones[u.Zone] = true
	}
	share := g.ConnectionsPerServer / max(1, n.knownZones, len(zones))
	return share < max(minZoneConnections, tenants)
}

// groupDispatchers returns the dispatchers among which the nodes that serve a group are chosen. n.mu must be held.
func (n *Node) groupDispatchers(g bundle.Group, tenants int) *peer.Dispatchers {
	if n.servedByRegion(g, tenants) {
		return n.regionDispatchers
	}
	return n.zoneDispatchers
}

// servedByFew reports whether the group's servers allow fewer than connectionsPerNode connections per node. n.mu must be held.
func (n *Node) servedByFew(g bundle.Group) bool {
	return len(n.members)*connectionsPerNode > g.ConnectionsPerServer
}

// servingNodes returns the names of the nodes that serve a group: all members if the group's servers allow connectionsPerNode
// connections from each, and one of each zone or region otherwise. It also returns those of them that may promote the group's
// servers: all, or the stand-ins if there are any. n.mu must be held.
func (n *Node) servingNodes(g bundle.Group, tenants int) (names, promoters []string) {
	if n.servedByFew(g) {
		dispatchers, standIns := n.groupDispatchers(g, tenants).Serving(g.Name, n.isSuspect)
		switch {
		case len(standIns) > 0:
			return slices.Concat(dispatchers, standIns), standIns
		case len(dispatchers) > 0:
			return dispatchers, dispatchers
		}
	}
	names = make([]string, 0, len(n.members))
	for _, u := range n.members {
		names = append(names, u.Name)
	}
	return names, names
}

// isSuspect reports whether a member does not answer. n.mu must be held.
func (n *Node) isSuspect(name string) bool {
	return n.suspects[name]
}

// nearestFirst sorts the nodes that serve a group by their distance from this node. Nodes at the same distance are ordered by a
// rendezvous hash that differs between nodes, which spreads the load. n.mu must be held.
func (n *Node) nearestFirst(names []string) []string {
	distance := map[string]int{}
	for _, u := range n.members {
		distance[u.Name] = n.settings.DistanceRank(u.Zone)
	}
	return peer.SortByRank(names, n.settings.Peer, func(node string) int { return distance[node] })
}

// memberListTimeout is how long a starting node waits for the member table. After that it assigns groups to the nodes that it
// knows.
const memberListTimeout = 2 * time.Second

// endMemberListWait lets the node assign groups although it has not read the member table.
func (n *Node) endMemberListWait() {
	n.mu.Lock()
	n.membersRead = true
	n.mu.Unlock()
	n.assignSources()
	n.updateShares()
}

// updateAssignments decides for each group which nodes serve it, and reports changes to the control thread and the relay. It opens
// the lane of a group that this node begins to serve. It does nothing until the member table was read or memberListTimeout has
// passed.
func (n *Node) updateAssignments(b bundle.Bundle) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.membersRead {
		return
	}
	groups := map[*peer.Dispatchers][]string{}
	for _, g := range b.Groups {
		d := n.groupDispatchers(g, len(b.Tenants))
		groups[d] = append(groups[d], g.Name)
	}
	for _, d := range []*peer.Dispatchers{n.zoneDispatchers, n.regionDispatchers} {
		d.Update(n.members, groups[d])
	}
	n.assignGroups(b)
}

// assignGroups decides for each group which nodes serve it. n.mu must be held.
func (n *Node) assignGroups(b bundle.Bundle) {
	for _, g := range b.Groups {
		names, promoters := n.servingNodes(g, len(b.Tenants))
		if slices.Equal(names, n.assignments[g.Name].nodes) {
			continue
		}
		local := slices.Contains(names, n.settings.Peer)
		if local {
			n.ensureLane(g.Name)
		}
		n.assignments[g.Name] = assignment{nodes: names, local: local}
		n.thread.Post(upstream.GroupServed{Group: g.Name, Served: local, Promoters: promoters})
		n.relay.Post(dispatcher.DispatchersAssigned{Group: g.Name, Peers: n.nearestFirst(slices.DeleteFunc(slices.Clone(names),
			func(name string) bool { return name == n.settings.Peer }))})
	}
}

// acceptJobStream returns the handlers of a stream on which another node forwards requests to this one.
func (n *Node) acceptJobStream(a peerlink.ReplySender) peerlink.JobHandlers {
	r := &inboundStream{node: n, answers: a, sessions: map[caller.SessionID]*platform.Session{}}
	r.account = n.budget.Detached(budget.Peer)
	n.mu.Lock()
	n.inboundStreams[r] = true
	n.mu.Unlock()
	if n.draining.Load() {
		a.Draining()
	}
	return peerlink.JobHandlers{Job: r.runJob, Abandoned: r.closeSession, Ended: r.closeAll}
}

// inboundStream holds the sessions of one stream from another node, keyed by that node's session ids.
type inboundStream struct {
	node    *Node
	answers peerlink.ReplySender
	// account is that of all sessions of the stream. No one of them can be closed for what all hold.
	account  *budget.Account
	mu       sync.Mutex
	sessions map[caller.SessionID]*platform.Session
}

// runJob hands a job to the lane of its group. It declines the job if this node does not serve the group or is draining, if the
// job belongs to a transaction that this node does not have, or if the statement cannot be parsed.
func (r *inboundStream) runJob(j dispatcher.Job) {
	r.mu.Lock()
	s, ok := r.sessions[j.Session]
	r.mu.Unlock()
	if !ok {
		l, serves := r.node.laneFor(j.Group)
		if j.Joined || !serves || r.node.draining.Load() {
			r.answers.Outcome(dispatcher.Outcome{Session: j.Session, Seq: j.Seq, Declined: true})
			return
		}
		s, ok = r.node.listener.OpenRemoteSession(platform.Route{Group: j.Group, Post: l.Post}, j.Floor, r.account,
			func(seq uint64, a platform.Answer) { r.sendAnswer(j.Session, s, seq, a) })
		if !ok {
			r.answers.Outcome(dispatcher.Outcome{Session: j.Session, Seq: j.Seq, Declined: true})
			return
		}
		r.mu.Lock()
		r.sessions[j.Session] = s
		r.mu.Unlock()
	}
	if err := s.Run(j); err != nil {
		r.node.auditDependency("job/"+j.Group, "call_failed", err)
		r.closeSession(j.Session)
		r.answers.Outcome(dispatcher.Outcome{Session: j.Session, Seq: j.Seq, Declined: true})
	}
}

// sendAnswer sends an answer back, unless its session was closed meanwhile. It closes the session unless the session has an open
// transaction.
func (r *inboundStream) sendAnswer(id caller.SessionID, s *platform.Session, seq uint64, a platform.Answer) {
	r.mu.Lock()
	current := r.sessions[id] == s
	r.mu.Unlock()
	if !current {
		a.Hold.Release()
		return
	}
	if !a.TransactionOpen() {
		r.closeSession(id)
	}
	r.answers.Outcome(dispatcher.Outcome{
		Session: id, Seq: seq, Answer: a.Body, State: a.State, TransactionOpen: a.TransactionOpen(), Position: a.Position, Floor: a.Floor,
		Done: a.Hold.Release,
	})
}

// closeSession ends a session and aborts its open transaction, if there is one.
func (r *inboundStream) closeSession(id caller.SessionID) {
	r.mu.Lock()
	s, ok := r.sessions[id]
	delete(r.sessions, id)
	r.mu.Unlock()
	if ok {
		s.Close()
	}
}

// closeAll ends all sessions of a closed stream.
func (r *inboundStream) closeAll() {
	r.node.mu.Lock()
	delete(r.node.inboundStreams, r)
	r.node.mu.Unlock()
	r.mu.Lock()
	ss := r.sessions
	r.sessions = map[caller.SessionID]*platform.Session{}
	r.mu.Unlock()
	for _, s := range ss {
		s.Close()
	}
}

// notifyDraining notifies all nodes that forward requests to this one that it accepts no new transactions.
func (n *Node) notifyDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.inboundStreams {
		r.answers.Draining()
	}
}

package fleet

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	listing "buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const (
	// queuedPerSlot is how many statements all nodes together may have at a server per statement that it runs at once. It keeps
	// the server busy while answers are in transit, and stays below the queue length at which the server declines statements.
	queuedPerSlot = 3
	// minSlots is the smallest share of a server's slots that a node gets, however large the fleet.
	minSlots = 2
	// controlConnections is how many connections a node keeps to a server besides those of the group's lane.
	controlConnections = 1
)

// adoptBundle makes a configuration active. It applies to new statements; open transactions finish under the configuration with
// which they began.
func (n *Node) adoptBundle(b bundle.Bundle, _ []byte) {
	n.updateAssignments(b)
	old := n.routes.Load()
	next := newRouteTable(b)
	n.updateTenantLimits(b.Version, next.limits)
	n.routes.Store(next)
	n.updateLimits()
	if next.restrictsAccess(old) {
		n.revokeSessions()
	}
}

// restrictsAccess reports whether a session that had access by an older configuration may have lost it.
func (r *routeTable) restrictsAccess(old *routeTable) bool {
	if !r.bundle.KeysRequired {
		return false
	}
	for k := range old.tenants {
		if _, ok := r.tenants[k]; !ok {
			return true
		}
	}
	return !old.bundle.KeysRequired || slices.ContainsFunc(old.bundle.Routes, func(o bundle.Route) bool {
		v, ok := r.routes[o.Database]
		return ok && o.Public && !v.Public
	})
}

// revokeSessions closes the sessions whose keys are no longer valid.
func (n *Node) revokeSessions() {
	revoked := 0
	for _, s := range n.listener.Sessions() {
		if !s.HasAccess() {
			s.Revoke()
			revoked++
		}
	}
	if revoked > 0 {
		n.writeAuditRecord(operator.Record{Kind: operator.KindRefusal, Cause: "key_revoked"}.
			WithEvidence("sessions", strconv.Itoa(revoked)))
	}
}

// ensureLane opens the lane of a group, unless it is open already. A lane stays open when other nodes take the group over, for the
// transactions that are open in it. n.mu must be held.
func (n *Node) ensureLane(group string) {
	if _, ok := n.lanes[group]; ok {
		return
	}
	l, err := n.openLane(group)
	if err != nil {
		n.log.Error("cannot start the lane of a database group", zap.String("group", group), zap.Error(err))
		return
	}
	n.lanes[group] = l
	if v, ok := n.views[group]; ok {
		l.Post(caller.ViewUpdated{View: v})
	}
}

// updateMembers records the live members and recomputes the shares of servers.
func (n *Node) updateMembers(a peer.MembersChanged) {
	n.memberLists.Add(1)
	n.mu.Lock()
	n.members = a.Members
	clear(n.suspects)
	for _, u := range a.Members {
		if u.State == peer.StateSuspect {
			n.suspects[u.Name] = true
		}
	}
	n.knownMembers, n.knownZones = a.Known, a.KnownZones
	n.membersRead = n.membersRead || a.VMsListed
	n.lostMembers, n.membersListed = a.Lost, a.VMsListed
	n.mu.Unlock()
	n.replaceLimitMembers()
	n.assignSources()
	n.updateShares()
}

// updateMember records whether a member answers. Where all dispatchers of a group have become suspect, or one is trusted again, the
// group is assigned anew. A member that has just been declared dead stays a suspect until updateMembers gets a list without it.
func (n *Node) updateMember(a peer.MemberChanged) {
	n.memberChanges.Add(1)
	b := n.routes.Load().bundle
	n.mu.Lock()
	if a.State == peer.StateSuspect || a.State == peer.StateDead {
		n.suspects[a.Name] = true
	} else {
		delete(n.suspects, a.Name)
	}
	if n.membersRead {
		n.assignGroups(b)
	}
	n.mu.Unlock()
	n.updateLimitMembers()
	n.updateLimits()
}

// updateShares recomputes which groups this node serves, and its share of each server.
func (n *Node) updateShares() {
	n.updateAssignments(n.routes.Load().bundle)
	n.updateLimits()
}

// updateServer records a server that the platform lists or has removed.
func (n *Node) updateServer(c listing.ServerChange) {
	cause := "listed"
	switch {
	case c.Removed:
		cause = "gone"
	case c.Entry.Leaving:
		cause = "leaving"
	}
	n.writeAuditRecord(operator.Record{Kind: operator.KindServer, Group: c.Entry.Service, Server: c.Entry.ID, Cause: cause}.
		WithEvidence("zone", c.Entry.Zone).WithEvidence("address", c.Entry.Address).
		WithEvidence("born", strconv.FormatInt(c.Entry.Incarnation, 10)))
	n.mu.Lock()
	if c.Removed {
		delete(n.listedServers, c.Entry.ID)
		delete(n.limits, c.Entry.ID)
	} else {
		n.listedServers[c.Entry.ID] = listedServer{group: c.Entry.Service, zone: c.Entry.Zone, slots: c.Entry.Slots}
	}
	n.mu.Unlock()
	if c.Removed {
		n.controlClient.RemoveServer(c.Entry.ID)
	}
	n.updateLimits()
}

// zoneOf returns the zone of a listed server, or "".
func (n *Node) zoneOf(server string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listedServers[server].zone
}

// updateLimits sends each lane the changes of this node's share of each server's slots and connections.
func (n *Node) updateLimits() {
	b := n.routes.Load().bundle
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, s := range n.listedServers {
		l, ok := n.lanes[s.group]
		g, known := b.Group(s.group)
		if !ok || !known {
			continue
		}
		a := n.assignments[s.group]
		rank := max(0, slices.Index(a.nodes, n.settings.Peer))
		limits := caller.LimitsUpdated{
			Server: id,
			Slots:  max(minSlots, n.visibleShare(a.nodes, peer.Share(s.slots*queuedPerSlot, max(1, len(a.nodes)), rank))),
			Conns:  max(1, n.visibleShare(a.nodes, peer.Share(g.ConnectionsPerServer, max(1, len(a.nodes)), rank))-controlConnections),
		}
		if !a.local && len(a.nodes) > 0 {
			// The lane only ends the transactions that are open in it. The connections belong to the nodes that serve the group.
			limits.Conns, limits.Retired = 1, true
		}
		limits.MaxSlots = n.maxSlots(g, s, limits.Slots)
		if n.limits[id] != limits {
			n.limits[id] = limits
			l.Post(limits)
		}
	}
}

// maxSlots returns how many of a server's slots this node's lane may use while the server has room: all that the nodes may have
// together where few nodes serve the group, and 0 for its share alone elsewhere. n.mu must be held.
func (n *Node) maxSlots(g bundle.Group, s listedServer, share int) int {
	if !n.servedByFew(g) {
		return 0
	}
	return max(share, n.visibleShare(n.assignments[g.Name].nodes, s.slots*queuedPerSlot))
}

// visibleShare reduces a node's share in proportion to the part of the fleet that the node considers alive, because the other
// nodes may serve the group as well. It returns the full share if all live members serve the group and are at least half of the
// known ones. n.mu must be held.
func (n *Node) visibleShare(nodes []string, share int) int {
	alive, known := len(n.members), max(n.knownMembers, len(n.members))
	if len(nodes) == alive && 2*alive >= known {
		return share
	}
	return share * alive / known
}

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
	// queuedPerSlot is how many statements all nodes together may have at a server for each that it runs at once: enough to
	// keep it busy while answers travel, and short of the queue at which it declines.
	queuedPerSlot = 3
	// leastSlots is a node's share of a server in a large fleet.
	leastSlots = 2
	// controlConns is how many connections a node keeps to a server besides those of its lane.
	controlConns = 1
)

// adopt puts a configuration in force: statements that come from now on go by it, transactions under way end as they began.
func (n *Node) adopt(b bundle.Bundle, _ []byte) {
	for _, g := range b.Groups {
		n.mu.Lock()
		_, ok := n.lanes[g.Name]
		n.mu.Unlock()
		if ok {
			continue
		}
		l, err := n.openLane(g.Name)
		if err != nil {
			n.log.Error("lane not opened", zap.String("group", g.Name), zap.Error(err))
			continue
		}
		n.mu.Lock()
		n.lanes[g.Name] = l
		n.mu.Unlock()
	}
	n.assignAll(b)
	n.routes.Store(newRouting(b))
	n.limitAll()
}

// setMembers shares servers out anew among the nodes that are there.
func (n *Node) setMembers(a peer.MembersChanged) {
	n.mu.Lock()
	n.members = a.Members
	n.known = a.Known
	n.met = n.met || a.Listed
	n.mu.Unlock()
	n.shareOut()
}

// shareOut decides anew what this node serves, and with how much of each server.
func (n *Node) shareOut() {
	n.assignAll(n.routes.Load().bundle)
	n.limitAll()
}

// setServer takes note of a server that the platform lists, or no longer does.
func (n *Node) setServer(c listing.ServerChange) {
	cause := "listed"
	switch {
	case c.Gone:
		cause = "gone"
	case c.Entry.Leaving:
		cause = "leaving"
	}
	n.keep(operator.Record{Kind: operator.KindServer, Group: c.Entry.Service, Server: c.Entry.ID, Cause: cause}.
		WithEvidence("zone", c.Entry.Zone).WithEvidence("address", c.Entry.Address).
		WithEvidence("born", strconv.FormatInt(c.Entry.Born, 10)))
	n.mu.Lock()
	if c.Gone {
		delete(n.slots, c.Entry.ID)
	} else {
		n.slots[c.Entry.ID] = server{group: c.Entry.Service, zone: c.Entry.Zone, slots: c.Entry.Slots}
	}
	n.mu.Unlock()
	if c.Gone {
		n.servers.Forget(c.Entry.ID)
	}
	n.limitAll()
}

// zoneOf returns the zone of a server that is listed, or "".
func (n *Node) zoneOf(server string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slots[server].zone
}

// limitAll gives each lane this node's share of each server's slots and connections.
func (n *Node) limitAll() {
	b := n.routes.Load().bundle
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, s := range n.slots {
		l, ok := n.lanes[s.group]
		g, known := b.Group(s.group)
		if !ok || !known {
			continue
		}
		nodes := n.serving[s.group].nodes
		rank := max(0, slices.Index(nodes, n.settings.Peer))
		l.Post(caller.LimitsUpdated{
			Server: id,
			Slots:  max(leastSlots, n.seen(nodes, peer.Share(s.slots*queuedPerSlot, max(1, len(nodes)), rank))),
			Conns:  max(1, n.seen(nodes, peer.Share(g.ConnectionsPerServer, max(1, len(nodes)), rank))-controlConns),
		})
	}
}

// seen cuts a node's share down to the part of the fleet that it sees, since the rest may be there all the same and serve the group
// as well. Where all nodes serve, the loss of a few is no reason. The lock is held.
func (n *Node) seen(nodes []string, share int) int {
	there, known := len(n.members), max(n.known, len(n.members))
	if len(nodes) == there && 2*there >= known {
		return share
	}
	return share * there / known
}

package proxy

import (
	"slices"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// adoptBundle makes a bundle the active one. New requests are classified by it; running requests keep the class that they have.
func (n *Node) adoptBundle(b bundle.Bundle, _ []byte) {
	previous := n.Bundle()
	n.bundle.Store(&b)
	for _, g := range b.Groups {
		for _, s := range g.Servers {
			n.thread.Post(upstream.ServerConfigured{
				Server: s.Name, Group: g.Name, Zone: s.Zone, Address: s.Address, Leaving: s.Leaving,
			})
		}
		if l, ok := n.lane(g.Name); ok {
			n.postLimits(l, g)
		}
	}
	n.markRemovedServers(previous, b)
}

// markRemovedServers marks servers that the next bundle no longer contains as leaving.
func (n *Node) markRemovedServers(previous, next bundle.Bundle) {
	for _, g := range previous.Groups {
		remaining, _ := next.Group(g.Name)
		for _, s := range g.Servers {
			if !slices.ContainsFunc(remaining.Servers, func(o bundle.Server) bool { return o.Name == s.Name }) {
				n.thread.Post(upstream.ServerConfigured{
					Server: s.Name, Group: g.Name, Zone: s.Zone, Address: s.Address, Leaving: true,
				})
			}
		}
	}
}

// updateMembers records the current members and recalculates this node's share of connections and slots in each lane.
func (n *Node) updateMembers(a peer.MembersChanged) {
	n.mu.Lock()
	n.members = a.Names()
	n.mu.Unlock()
	for _, g := range n.Bundle().Groups {
		if l, ok := n.lane(g.Name); ok {
			n.postLimits(l, g)
		}
	}
}

// postLimits sends a lane this node's share of each server's connections and slots. The share of slots applies only where slots are
// not leased.
func (n *Node) postLimits(l *traffic.Lane, g bundle.Group) {
	n.mu.Lock()
	members := n.members
	n.mu.Unlock()
	rank := max(0, slices.Index(members, n.settings.Node))
	for i, s := range g.Servers {
		l.Post(caller.LimitsUpdated{
			Server: s.Name,
			Slots:  peer.Share(g.SlotsPerServer, len(members), rank),
			Conns:  max(1, peer.Share(peer.Share(g.Connections, len(g.Servers), i), len(members), rank)),
		})
	}
}

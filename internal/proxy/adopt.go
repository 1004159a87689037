package proxy

import (
	"slices"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// adopt puts a bundle in force: requests that come from now on are classed by it, those under way finish as they began.
func (n *Node) adopt(b bundle.Bundle, _ []byte) {
	before := n.Bundle()
	n.bundle.Store(&b)
	for _, g := range b.Groups {
		for _, s := range g.Servers {
			n.thread.Post(upstream.ServerConfigured{
				Server: s.Name, Group: g.Name, Zone: s.Zone, Address: s.Address, Leaving: s.Leaving,
			})
		}
		if l, ok := n.lane(g.Name); ok {
			n.limit(l, g)
		}
	}
	n.retire(before, b)
}

// retire marks servers that the new bundle no longer names as leaving.
func (n *Node) retire(before, now bundle.Bundle) {
	for _, g := range before.Groups {
		kept, _ := now.Group(g.Name)
		for _, s := range g.Servers {
			if !slices.ContainsFunc(kept.Servers, func(o bundle.Server) bool { return o.Name == s.Name }) {
				n.thread.Post(upstream.ServerConfigured{
					Server: s.Name, Group: g.Name, Zone: s.Zone, Address: s.Address, Leaving: true,
				})
			}
		}
	}
}

// setMembers shares connections out anew among the nodes that are there.
func (n *Node) setMembers(a peer.MembersChanged) {
	n.mu.Lock()
	n.members = a.Names()
	n.mu.Unlock()
	for _, g := range n.Bundle().Groups {
		if l, ok := n.lane(g.Name); ok {
			n.limit(l, g)
		}
	}
}

// limit gives a lane this node's share of each server's connections, and of its slots where those are not leased.
func (n *Node) limit(l *traffic.Lane, g bundle.Group) {
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

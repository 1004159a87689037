package fleet

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/standin/metadata"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// scarceConnections is the connection limit of each server in deployments with many nodes.
const scarceConnections = 12

// startScarceDeployment returns a deployment of nodes in three zones whose servers accept scarceConnections connections each.
func startScarceDeployment(c *qt.C, nodes int) *deployment {
	d := startPlatform(c)
	d.platform.LimitConnections("books", scarceConnections)
	scarce := strings.Replace(config, `"MaxConns":33`, fmt.Sprintf(`"MaxConns":%d`, scarceConnections), 1)
	d.platform.Put("op", "config", fmt.Appendf(nil, scarce, 3, ""))
	for i := range nodes {
		d.startNode(c, fmt.Sprintf("node-%d", i+1), []string{"a", "b", "m"}[i%3])
	}
	for _, n := range d.nodes {
		waitUntil(c, "all nodes are members", func() bool { return len(n.Status().Members) == nodes })
	}
	d.awaitReady(c)
	return d
}

// assertAllServed has callers at every node write and read concurrently, and checks that no statement is refused.
func assertAllServed(c *qt.C, d *deployment, databases ...string) {
	c.Helper()
	const rounds = 20
	var callers sync.WaitGroup
	failed := make(chan string, rounds*len(d.nodes)*len(databases)*2)
	for i, n := range d.nodes {
		for _, database := range databases {
			s := connect(c, n, database)
			callers.Add(1)
			go func() {
				defer callers.Done()
				for k := range rounds {
					for _, text := range []string{fmt.Sprintf("WRITE item%d %d", i, k), fmt.Sprintf("READ item%d", i)} {
						if _, outcome := s.run(text); outcome != "I" {
							failed <- fmt.Sprintf("node %d, %s: %s: %s", i+1, database, text, outcome)
						}
					}
				}
			}()
		}
	}
	callers.Wait()
	close(failed)
	var all []string
	for f := range failed {
		all = append(all, f)
	}
	c.Assert(all, qt.HasLen, 0)
}

// learnsLimits reports whether a node shows a learned limit of a server.
func learnsLimits(n *Node) bool {
	return slices.ContainsFunc(n.Status().Lanes, func(l traffic.Snapshot) bool {
		return slices.ContainsFunc(l.Servers, func(s traffic.ServerSnapshot) bool { return s.Limit > 0 && s.BaselineMS > 0 })
	})
}

// TestMoreNodesThanConnections guards against nodes that exhaust a server's few connections, so that other nodes get none.
func TestMoreNodesThanConnections(t *testing.T) {
	t.Run("all callers are served", func(t *testing.T) {
		c := qt.New(t)
		d := startScarceDeployment(c, 15)
		waitUntil(c, "only a few nodes still connect to the servers", func() bool {
			return d.platform.MaxServerConnections("books") <= 3
		})
		before := d.platform.RejectedConnections("books")
		assertAllServed(c, d, "ledger", "tickets")
		c.Assert(d.platform.RejectedConnections("books")-before, qt.Equals, 0)
		waitUntil(c, "the status shows a learned limit", func() bool { return slices.ContainsFunc(d.nodes, learnsLimits) })
		assertNoViolations(c, d)
	})
}

// TestFleetStartsAtOnce guards against nodes of a large fleet that take the first few registered ones for all of it, serve every
// group with them, and watch and connect to every server.
func TestFleetStartsAtOnce(t *testing.T) {
	const nodes, zones = 40, 3
	c := qt.New(t)
	d := startScarceDeployment(c, nodes)
	served := 0
	for _, n := range d.nodes {
		served += len(n.Status().Lanes)
	}
	// A node may serve the group until it knows one of its zone that ranks before it.
	c.Assert(served <= 2*zones, qt.IsTrue, qt.Commentf("%d nodes have served the group", served))
	assertNoViolations(c, d)
}

// TestReturnIntoSlowStore guards against a node that is back from a loss of power while the store is slow, and makes one slow call
// after another before it knows the fleet: it finds its row in the list and needs no other call.
func TestReturnIntoSlowStore(t *testing.T) {
	const delay = 300 * time.Millisecond
	c := qt.New(t)
	d := startDeployment(c, 3)
	old := d.nodes[2]
	waitUntil(c, "the node is registered", func() bool { return d.platform.Value(tableMembers, old.settings.Peer) != nil })
	old.Stop()
	waitUntil(c, "the node has stopped", func() bool {
		l, err := net.Listen("tcp", old.settings.Peer)
		if err == nil {
			_ = l.Close()
		}
		return err == nil
	})
	writes := d.platform.Calls("/rows-tx")
	d.platform.SetStoreFaults(metadata.StoreFaults{Delay: delay})
	d.run(c, old.settings)
	n := d.nodes[len(d.nodes)-1]
	began := n.clock()
	waitUntil(c, "the node knows the fleet", func() bool { return len(n.Status().Members) == 3 })
	c.Check(n.clock()-began < 2*delay, qt.IsTrue)
	waitUntil(c, "node is ready", n.Ready)
	c.Check(d.platform.Calls("/rows-tx"), qt.Equals, writes)
}

// dispatcherAndPeer returns a node that serves the group for its zone, and another node of the same zone that does not.
func (d *deployment) dispatcherAndPeer(c *qt.C) (dispatcher, other *Node) {
	c.Helper()
	for _, n := range d.nodes {
		if _, ok := n.laneFor("books"); ok {
			dispatcher = n
			break
		}
	}
	for _, n := range d.nodes {
		if n != dispatcher && n.settings.Zone == dispatcher.settings.Zone {
			return dispatcher, n
		}
	}
	c.Fatal("no other node in the dispatcher's zone")
	return nil, nil
}

// TestDispatcherLost guards against nodes that keep sending requests to a lost or draining dispatcher, and against statements
// that are lost or run twice when the dispatcher changes.
func TestDispatcherLost(t *testing.T) {
	t.Run("stopped without draining", func(t *testing.T) {
		c := qt.New(t)
		d := startScarceDeployment(c, 9)
		dispatcher, other := d.dispatcherAndPeer(c)
		s := connect(c, other, "tickets")
		assertAnswers(s, "WRITE a 1", nil, "I")
		dispatcher.Stop()
		waitUntil(c, "the link to the dispatcher is lost", func() bool { return !other.relay.IsConnected(dispatcher.settings.Peer) })
		assertAnswers(s, "WRITE b 2", nil, "I")
		assertAnswers(s, "READ a", []string{"1"}, "I")
		assertAnswers(s, "READ b", []string{"2"}, "I")
		c.Assert(d.platform.Log("books"), qt.DeepEquals, []string{"a=1", "b=2"})
		assertNoViolations(c, d)
	})
	t.Run("during a transaction", func(t *testing.T) {
		c := qt.New(t)
		d := startScarceDeployment(c, 9)
		dispatcher, other := d.dispatcherAndPeer(c)
		s := connect(c, other, "ledger")
		assertAnswers(s, "BEGIN", nil, "T")
		assertAnswers(s, "WRITE a 1", nil, "T")
		dispatcher.Stop()
		waitUntil(c, "the link to the dispatcher is lost", func() bool { return !other.relay.IsConnected(dispatcher.settings.Peer) })
		_, outcome := s.run("WRITE a 2")
		c.Assert(outcome, qt.Equals, "ABORTED")
		_, outcome = s.run("COMMIT")
		c.Assert(outcome, qt.Equals, "ABORTED")
		assertAnswers(s, "READ a", []string{"none"}, "I")
	})
	t.Run("drained", func(t *testing.T) {
		c := qt.New(t)
		d := startScarceDeployment(c, 9)
		dispatcher, other := d.dispatcherAndPeer(c)
		open := connect(c, other, "ledger")
		assertAnswers(open, "BEGIN", nil, "T")
		drained := make(chan struct{})
		go func() {
			dispatcher.Drain()
			close(drained)
		}()
		s := connect(c, other, "tickets")
		for i, more := 0, true; more; i++ {
			_, outcome := s.run(fmt.Sprintf("WRITE a %d", i))
			c.Assert(outcome, qt.Equals, "I")
			if i == 20 {
				_, outcome = open.run("COMMIT")
				c.Assert(outcome, qt.Equals, "I")
			}
			select {
			case <-drained:
				more = i <= 20
			case <-time.After(10 * time.Millisecond):
			}
		}
		assertNoViolations(c, d)
	})
	t.Run("prepared statement and session variable are forwarded", func(t *testing.T) {
		c := qt.New(t)
		d := startScarceDeployment(c, 9)
		dispatcher, other := d.dispatcherAndPeer(c)
		s := connect(c, other, "ledger")
		assertAnswers(s, "SET v 1", nil, "I")
		assertAnswers(s, "PREPARE p WRITE WRITE", nil, "I")
		assertAnswers(s, "EXECUTE p a 7", nil, "I")
		dispatcher.Stop()
		assertAnswers(s, "READ a", []string{"7"}, "I")
	})
}

// assertServes waits until a node serves the group itself, or no longer does.
func assertServes(c *qt.C, n *Node, want bool) {
	c.Helper()
	waitUntil(c, fmt.Sprintf("the node serves the group: %t", want), func() bool {
		_, serves := n.laneFor("books")
		return serves == want
	})
}

// TestDispatchersSuspect guards against a node that is cut off together with the group's servers, and refuses its callers until it
// considers the group's dispatchers dead.
func TestDispatchersSuspect(t *testing.T) {
	c := qt.New(t)
	d := startScarceDeployment(c, 9)
	_, other := d.dispatcherAndPeer(c)
	other.mu.Lock()
	dispatchers := other.assignments["books"].nodes
	other.mu.Unlock()
	report := func(name string, s peer.State) { other.updateMember(peer.MemberChanged{Name: name, State: s}) }

	for _, name := range dispatchers[1:] {
		report(name, peer.StateSuspect)
	}
	assertServes(c, other, false)
	report(dispatchers[0], peer.StateSuspect)
	for _, n := range d.nodes {
		// The nodes that would be dispatchers in place of the suspects may be others.
		if n != other && !slices.Contains(dispatchers, n.settings.Peer) {
			report(n.settings.Peer, peer.StateSuspect)
		}
	}
	assertServes(c, other, true)
	s := connect(c, other, "tickets")
	assertAnswers(s, "WRITE a 1", nil, "I")
	report(dispatchers[0], peer.StateDead)
	assertServes(c, other, true)
	report(dispatchers[0], peer.StateAlive)
	assertServes(c, other, false)
	assertAnswers(s, "READ a", []string{"1"}, "I")
	assertNoViolations(c, d)
}

// TestLostMemberForgotten guards against a node that remembers each member that has ever been lost, in a fleet where members are
// replaced all the time.
func TestLostMemberForgotten(t *testing.T) {
	const lost = "10.0.0.9:8448"
	c := qt.New(t)
	n := startDeployment(c, 1).nodes[0]
	n.updateMember(peer.MemberChanged{Name: lost, State: peer.StateSuspect})
	n.updateMember(peer.MemberChanged{Name: lost, State: peer.StateDead, Previous: peer.StateSuspect})
	n.mu.Lock()
	members := n.members
	n.mu.Unlock()
	n.updateMembers(peer.MembersChanged{Members: members, Known: len(members) + 1, VMsListed: true})
	n.mu.Lock()
	defer n.mu.Unlock()
	c.Assert(n.suspects, qt.HasLen, 0)
}

// TestLearnedLimits guards against learned limits where each node serves a group with connections of its own.
func TestLearnedLimits(t *testing.T) {
	for _, k := range []struct {
		name          string
		members, want int
	}{
		{"as many connections as nodes need", 3, 0},
		{"few connections", 4, 12},
	} {
		t.Run(k.name, func(t *testing.T) {
			n := &Node{members: make([]peer.Update, k.members)}
			g := bundle.Group{Name: "books", ConnectionsPerServer: scarceConnections}
			qt.Assert(t, n.maxSlots(g, listedServer{group: "books", slots: 4}, 6), qt.Equals, k.want)
		})
	}
}

// TestVisibleShare guards against overload of a server by nodes that are partitioned from the fleet and each take a full
// dispatcher's share.
func TestVisibleShare(t *testing.T) {
	for _, k := range []struct {
		name                        string
		members, known, nodes, want int
	}{
		{"all nodes are alive", 20, 20, 3, 8},
		{"a quarter of the nodes is alive", 5, 20, 3, 2},
		{"all nodes serve and a few are lost", 15, 20, 15, 8},
		{"all live nodes serve and most nodes are lost", 5, 20, 5, 2},
		{"no other node is known yet", 1, 0, 0, 8},
	} {
		t.Run(k.name, func(t *testing.T) {
			n := &Node{members: make([]peer.Update, k.members), knownMembers: k.known}
			qt.Assert(t, n.visibleShare(make([]string, k.nodes), 8), qt.Equals, k.want)
		})
	}
}

package fleet

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/peer"
)

// fewConnections is how many connections each server takes where there are many nodes.
const fewConnections = 12

// startManyNodes returns a deployment of nodes over three zones whose servers take only a few connections each.
func startManyNodes(c *qt.C, nodes int) *deployment {
	d := startPlatform(c)
	d.platform.LimitConnections("books", fewConnections)
	limited := strings.Replace(config, `"MaxConns":33`, fmt.Sprintf(`"MaxConns":%d`, fewConnections), 1)
	d.platform.Put("op", "config", fmt.Appendf(nil, limited, 3, ""))
	for i := range nodes {
		d.start(c, fmt.Sprintf("node-%d", i+1), []string{"a", "b", "m"}[i%3])
	}
	for _, n := range d.nodes {
		waitUntil(c, "nodes know of each other", func() bool { return len(n.Status().Members) == nodes })
	}
	d.awaitReady(c)
	return d
}

// assertServesAll has callers at every node write and read at the same time, and wants each statement served when first asked.
func assertServesAll(c *qt.C, d *deployment, databases ...string) {
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
						if _, outcome := s.ask(text); outcome != "I" {
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

// TestMoreNodesThanConnections guards against nodes that starve each other of a server's few connections.
func TestMoreNodesThanConnections(t *testing.T) {
	t.Run("all callers are served", func(t *testing.T) {
		c := qt.New(t)
		d := startManyNodes(c, 15)
		waitUntil(c, "few nodes are left that ask servers for their status", func() bool {
			return d.platform.Connections("books") <= 3
		})
		before := d.platform.TurnedAway("books")
		assertServesAll(c, d, "ledger", "tickets")
		c.Assert(d.platform.TurnedAway("books")-before, qt.Equals, 0)
		assertNothingBroken(c, d)
	})
}

// dispatcher returns a node that serves the group for its zone, and another of the zone that does not.
func (d *deployment) dispatcher(c *qt.C) (serves, other *Node) {
	c.Helper()
	for _, n := range d.nodes {
		if _, ok := n.laneFor("books"); ok {
			serves = n
			break
		}
	}
	for _, n := range d.nodes {
		if n != serves && n.settings.Zone == serves.settings.Zone {
			return serves, n
		}
	}
	c.Fatal("no other node in the zone")
	return nil, nil
}

// TestDispatcherLost guards against callers whose node goes on asking a dispatcher that is gone, and against their work being lost
// or done twice meanwhile.
func TestDispatcherLost(t *testing.T) {
	t.Run("stopped at once", func(t *testing.T) {
		c := qt.New(t)
		d := startManyNodes(c, 9)
		serves, other := d.dispatcher(c)
		s := connect(c, other, "tickets")
		assertAnswers(s, "WRITE a 1", nil, "I")
		serves.Stop()
		waitUntil(c, "the link is lost", func() bool { return !other.relay.IsConnected(serves.settings.Peer) })
		assertAnswers(s, "WRITE b 2", nil, "I")
		assertAnswers(s, "READ a", []string{"1"}, "I")
		assertAnswers(s, "READ b", []string{"2"}, "I")
		c.Assert(d.platform.Log("books"), qt.DeepEquals, []string{"a=1", "b=2"})
		assertNothingBroken(c, d)
	})
	t.Run("in a transaction", func(t *testing.T) {
		c := qt.New(t)
		d := startManyNodes(c, 9)
		serves, other := d.dispatcher(c)
		s := connect(c, other, "ledger")
		assertAnswers(s, "BEGIN", nil, "T")
		assertAnswers(s, "WRITE a 1", nil, "T")
		serves.Stop()
		waitUntil(c, "the link is lost", func() bool { return !other.relay.IsConnected(serves.settings.Peer) })
		_, outcome := s.ask("WRITE a 2")
		c.Assert(outcome, qt.Equals, "ABORTED")
		_, outcome = s.ask("COMMIT")
		c.Assert(outcome, qt.Equals, "ABORTED")
		assertAnswers(s, "READ a", []string{"none"}, "I")
	})
	t.Run("drained", func(t *testing.T) {
		c := qt.New(t)
		d := startManyNodes(c, 9)
		serves, other := d.dispatcher(c)
		open := connect(c, other, "ledger")
		assertAnswers(open, "BEGIN", nil, "T")
		drained := make(chan struct{})
		go func() {
			serves.Drain()
			close(drained)
		}()
		s := connect(c, other, "tickets")
		for i, more := 0, true; more; i++ {
			_, outcome := s.ask(fmt.Sprintf("WRITE a %d", i))
			c.Assert(outcome, qt.Equals, "I")
			if i == 20 {
				_, outcome = open.ask("COMMIT")
				c.Assert(outcome, qt.Equals, "I")
			}
			select {
			case <-drained:
				more = i <= 20
			case <-time.After(10 * time.Millisecond):
			}
		}
		assertNothingBroken(c, d)
	})
	t.Run("a prepared statement and a value go along", func(t *testing.T) {
		c := qt.New(t)
		d := startManyNodes(c, 9)
		serves, other := d.dispatcher(c)
		s := connect(c, other, "ledger")
		assertAnswers(s, "SET v 1", nil, "I")
		assertAnswers(s, "PREPARE p WRITE WRITE", nil, "I")
		assertAnswers(s, "EXECUTE p a 7", nil, "I")
		serves.Stop()
		assertAnswers(s, "READ a", []string{"7"}, "I")
	})
}

// TestSeenShares guards against nodes that are cut off from the fleet and each take a whole dispatcher's share of a server.
func TestSeenShares(t *testing.T) {
	for _, k := range []struct {
		name                        string
		members, known, nodes, want int
	}{
		{"all nodes are seen", 20, 20, 3, 8},
		{"a quarter of the nodes is seen", 5, 20, 3, 2},
		{"all nodes serve, and a few are lost", 15, 20, 15, 8},
		{"all nodes that are seen serve, and most are not seen", 5, 20, 5, 2},
		{"nothing is known yet", 1, 0, 0, 8},
	} {
		t.Run(k.name, func(t *testing.T) {
			n := &Node{members: make([]peer.Update, k.members), known: k.known}
			qt.Assert(t, n.seen(make([]string, k.nodes), 8), qt.Equals, k.want)
		})
	}
}

package fleet

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startManyNodes returns a deployment of nodes over three zones whose servers take only a few connections each.
func startManyNodes(c *qt.C, nodes, limit int) *deployment {
	d := startPlatform(c)
	d.platform.LimitConnections("books", limit)
	d.platform.Put("op", "config", []byte(strings.Replace(fmt.Sprintf(config, 3, ""), `"MaxConns":33`, fmt.Sprintf(`"MaxConns":%d`, limit), 1)))
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
		d := startManyNodes(c, 15, 12)
		waitUntil(c, "few nodes are left that ask servers for their status", func() bool {
			return d.platform.Connections("books") <= 3
		})
		before := d.platform.TurnedAway("books")
		assertServesAll(c, d, "ledger", "tickets")
		c.Assert(d.platform.TurnedAway("books")-before, qt.Equals, 0)
		assertNothingBroken(c, d)
	})
}

package fleet

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/standin/metadata"
)

// restoreConfirmTime is longer than the time between two confirmations, after which the nodes have read all that was written.
const restoreConfirmTime = 1500 * time.Millisecond

func newRoute(version int) []byte {
	return fmt.Appendf(nil, config, version, fmt.Sprintf(`,{"Name":"n","Host":"new%d","Kind":"primary","Service":"books"}`, version))
}

// startPastCopy returns a deployment whose nodes have read past the version that it returns, to which the store can be restored.
func startPastCopy(c *qt.C) (*deployment, uint64) {
	c.Helper()
	d := startDeployment(c, 3)
	copied := d.platform.Version()
	for i := range 10 {
		d.platform.Put("noise", fmt.Sprint(i), nil)
	}
	time.Sleep(restoreConfirmTime)
	return d, copied
}

// TestChangesAfterRestore guards against configurations that nodes miss because the store gives versions out again.
func TestChangesAfterRestore(t *testing.T) {
	t.Run("a change below the version that the nodes have read", func(t *testing.T) {
		c := qt.New(t)
		d, copied := startPastCopy(c)
		d.platform.Restore(copied, func(put func(table, key string, value []byte)) {
			put("op", "config", newRoute(5))
			for i := range 20 {
				put("noise", fmt.Sprint(i), nil)
			}
		})
		assertInForce(c, d, 5, time.Now().Add(configTarget))
	})
	t.Run("a change while the store is below the version that the nodes have read", func(t *testing.T) {
		c := qt.New(t)
		d, copied := startPastCopy(c)
		d.platform.Restore(copied, nil)
		time.Sleep(restoreConfirmTime)
		d.platform.Put("op", "config", newRoute(5))
		assertInForce(c, d, 5, time.Now().Add(configTarget))
	})
	t.Run("a node that starts gets the configuration that the store has lost", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 3)
		copied := d.platform.Version()
		d.platform.Put("op", "config", newRoute(5))
		assertInForce(c, d, 5, time.Now().Add(configTarget))
		d.platform.Restore(copied, nil)
		time.Sleep(restoreConfirmTime)
		d.startNode(c, "added", "a")
		d.awaitReady(c)
		assertInForce(c, d, 5, time.Now().Add(configTarget))
	})
}

// TestServersAfterRestore guards against requests to a server that is leaving or gone and that the restored list names as ready.
func TestServersAfterRestore(t *testing.T) {
	for _, k := range []struct {
		name, group, server string
		change              func(d *deployment)
	}{
		{"a server that is leaving", "books", "i-books-3", func(d *deployment) {
			d.platform.ChangeServer("books", 2, metadata.Drain())
		}},
		{"a server that is gone", "books", "i-books-3", func(d *deployment) { d.platform.Delete("servers", "i-books-3") }},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			d := startDeployment(c, 2)
			usable := func(n *Node) bool {
				s, ok := n.view(k.group).Server(k.server)
				return ok && !s.Leaving
			}
			copied := d.platform.Version()
			k.change(d)
			for _, n := range d.nodes {
				waitUntil(c, "the server is out of use", func() bool { return !usable(n) })
			}
			d.platform.Restore(copied, nil)
			for end := time.Now().Add(2 * restoreConfirmTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, n := range d.nodes {
					c.Assert(usable(n), qt.IsFalse, qt.Commentf("%s uses the server again", n.settings.Node))
				}
			}
		})
	}
}

// TestOrdersAfterRestore guards against fencing tokens that fall or are given out twice, and against orders of two nodes at a time,
// when the store has lost the lease under which the last order was given.
func TestOrdersAfterRestore(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c, 3)
	copied := d.platform.Version()
	assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 1", nil, "I")
	d.platform.ChangeServer("books", 0, metadata.Down(true))
	waitUntil(c, "another server is primary", func() bool {
		n, _ := d.platform.Primary("books")
		return n > 0
	})
	holder := d.platform.LastHolder("books")
	var left []*Node
	for _, n := range d.nodes {
		if n.settings.Node == holder {
			n.Stop()
		} else {
			left = append(left, n)
		}
	}
	d.nodes = left
	d.platform.ChangeServer("books", 0, metadata.Down(false))
	for _, n := range d.nodes {
		waitUntil(c, "every node knows the new primary", func() bool { return n.view("books").Term > 1 })
	}
	d.platform.Restore(copied, nil)
	primary, _ := d.platform.Primary("books")
	d.platform.ChangeServer("books", primary, metadata.Down(true))
	waitUntil(c, "a third server is primary", func() bool {
		n, term := d.platform.Primary("books")
		return n >= 0 && n != primary && term > 2
	})
	c.Assert(d.platform.LastHolder("books"), qt.Not(qt.Equals), holder)
	assertAnswers(connect(c, d.nodes[0], "ledger"), "READ a", []string{"1"}, "I")
	assertNoViolations(c, d)
}

// TestMembersAfterRestore guards against nodes that start and do not find the others, whose rows the store has lost.
func TestMembersAfterRestore(t *testing.T) {
	c := qt.New(t)
	d := startPlatform(c)
	copied := d.platform.Version()
	for i := range 3 {
		d.startNode(c, fmt.Sprintf("node-%d", i+1), "a")
	}
	d.awaitReady(c)
	registered := func(n *Node) func() bool {
		return func() bool { return d.platform.Value(tableMembers, n.settings.Peer) != nil }
	}
	for _, n := range d.nodes {
		waitUntil(c, "the node is registered", registered(n))
	}
	d.platform.Restore(copied, nil)
	for _, n := range d.nodes {
		waitUntil(c, "the node is registered again", registered(n))
	}
}

// promoteOnlyCopy has a promotion choose the only replica with an acknowledged write. It returns the promoter.
func promoteOnlyCopy(c *qt.C, d *deployment) *Node {
	c.Helper()
	d.platform.ChangeServer("books", 2, metadata.StopReceiving(true))
	assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 1", nil, "I")
	d.platform.ChangeServer("books", 0, metadata.Down(true))
	for _, n := range d.nodes {
		waitUntil(c, "every node knows the next primary", func() bool { return n.view("books").Term == 2 })
	}
	primary, _ := d.platform.Primary("books")
	c.Assert(primary, qt.Equals, 1)
	holder := d.platform.LastHolder("books")
	return d.nodes[slices.IndexFunc(d.nodes, func(n *Node) bool { return n.settings.Node == holder })]
}

// TestFloorAfterRestore guards against the promotion of a replica without acknowledged commits, when the store has lost the lease
// that says which position the next primary must hold.
func TestFloorAfterRestore(t *testing.T) {
	for _, k := range []struct {
		name string
		// replace makes the nodes be replaced that know of the promotion.
		replace func(c *qt.C, d *deployment, promoter *Node)
	}{
		{"the promoter is lost", func(_ *qt.C, _ *deployment, promoter *Node) { promoter.Stop() }},
		{"all nodes are replaced", func(c *qt.C, d *deployment, _ *Node) {
			time.Sleep(2 * configTarget)
			for _, n := range d.nodes {
				n.Stop()
			}
			d.nodes = nil
			d.startNode(c, "new", "a")
			d.awaitReady(c)
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			d := startDeployment(c, 3)
			copied := d.platform.Version()
			promoter := promoteOnlyCopy(c, d)
			time.Sleep(restoreConfirmTime)
			d.platform.Restore(copied, nil)
			k.replace(c, d, promoter)
			for i := range 2 {
				d.platform.ChangeServer("books", i, metadata.Down(true))
				d.platform.Delete("servers", fmt.Sprintf("i-books-%d", i+1))
			}
			time.Sleep(12 * time.Second)
			primary, _ := d.platform.Primary("books")
			c.Check(primary, qt.Not(qt.Equals), 2)
			assertNoViolations(c, d)
		})
	}
}

// restoredDay is a deployment on which a drawn sequence of faults is played.
type restoredDay struct {
	*deployment
	c       *qt.C
	random  *rand.Rand
	version int
	// versions are those of the store after each step, to which it may be restored.
	versions []uint64
}

func (d *restoredDay) step(i int) {
	d.versions = append(d.versions, d.platform.Version())
	switch d.random.Intn(6) {
	case 0, 1:
		d.version++
		d.platform.Put("op", "config", newRoute(d.version))
	case 2:
		d.platform.Restore(d.versions[max(0, len(d.versions)-1-d.random.Intn(6))], nil)
		d.versions = nil
		time.Sleep(time.Duration(d.random.Intn(2000)) * time.Millisecond)
		d.platform.WriteAgain()
	case 3:
		primary, _ := d.platform.Primary("books")
		if primary < 0 {
			return
		}
		d.platform.ChangeServer("books", primary, metadata.Down(true))
		time.Sleep(time.Duration(500+d.random.Intn(2500)) * time.Millisecond)
		d.platform.ChangeServer("books", primary, metadata.Down(false))
	case 4:
		n := d.random.Intn(len(d.nodes))
		d.nodes[n].Stop()
		d.nodes = slices.Delete(d.nodes, n, n+1)
		d.startNode(d.c, fmt.Sprintf("added-%d", i), "a")
	case 5:
		s := connect(d.c, d.nodes[0], "ledger")
		if s.greeting == "READY I -" {
			s.run(fmt.Sprintf("WRITE a %d", i))
		}
	}
}

// restoredDays is the number of days that TestRestoredDays plays, unless the environment says otherwise.
const restoredDays = 6

func environmentInt(c *qt.C, name string, otherwise int) int {
	v := os.Getenv(name)
	if v == "" {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	c.Assert(err, qt.IsNil)
	return n
}

// TestRestoredDays guards against any rule that breaks when restores of the store meet failovers, lost nodes and changes of the
// configuration. BUCKTHORNPORT_SEED is the first seed and BUCKTHORNPORT_RUNS the number of seeds.
func TestRestoredDays(t *testing.T) {
	first := environmentInt(qt.New(t), "BUCKTHORNPORT_SEED", 0)
	for seed := first; seed < first+environmentInt(qt.New(t), "BUCKTHORNPORT_RUNS", restoredDays); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := &restoredDay{deployment: startDeployment(c, 3), c: c, random: rand.New(rand.NewSource(int64(seed))), version: 4}
			for i := range 14 {
				d.step(i)
				time.Sleep(time.Duration(d.random.Intn(1200)) * time.Millisecond)
			}
			d.platform.WriteAgain()
			d.version++
			d.platform.Put("op", "config", newRoute(d.version))
			d.awaitReady(c)
			assertInForce(c, d.deployment, uint64(d.version), time.Now().Add(configTarget))
			assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE last 1", nil, "I")
			assertNoViolations(c, d.deployment)
		})
	}
}

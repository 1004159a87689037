package peer_test

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/pkg/session"
)

// The default seed is fixed, so that each run draws the same values. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const ms = time.Millisecond

// fleet drives the memberships of many nodes on one virtual clock.
type fleet struct {
	*tick.VirtualClock
	random      *rand.Rand
	nodes       []*node
	partitioned func(a, b *node) bool
	loss        float64
	steps       int
	messages    int
	bytes       int
	// delay is added to the time that each message takes, and sent is called for each message.
	delay time.Duration
	// work is how long a node is busy with each message that it receives.
	work time.Duration
	sent func(from *node, a peer.Send)
	// acceptOlder disables the version check, so that nodes accept older bundles.
	acceptOlder bool
	// reverted counts bundles that replaced a newer one.
	reverted int
}

type node struct {
	f       *fleet
	name    string
	zone    string
	id      int
	members *peer.Membership
	alive   bool
	steps   int
	// busyUntil is the time until which the node is busy. What arrives or is due before waits.
	busyUntil time.Duration
	version   uint64
	// versionSince is when the node accepted its bundle version.
	versionSince time.Duration
	incarnation  uint64
	routes       map[string]uint64
	floors       map[string]session.Position
	// published counts the times that the membership reported changed members.
	published int
	changed   func(a peer.MemberChanged)
}

func newFleet(seed int64, n int) *fleet {
	return newZonedFleet(seed, n, func(int) string { return "z" })
}

// newZonedFleet returns a fleet whose nodes are in the given zones. The first letter of a zone is its region.
func newZonedFleet(seed int64, n int, zone func(i int) string) *fleet {
	f := &fleet{
		VirtualClock: &tick.VirtualClock{}, random: rand.New(rand.NewSource(seed)), partitioned: func(*node, *node) bool { return false },
		sent: func(*node, peer.Send) {},
	}
	for i := range n {
		f.nodes = append(f.nodes, &node{f: f, name: fmt.Sprintf("n%03d", i), zone: zone(i), id: i})
	}
	for _, x := range f.nodes {
		x.start()
	}
	return f
}

// start starts a node with the next incarnation. Its settings name three other nodes.
func (x *node) start() {
	x.alive = true
	x.incarnation++
	x.version = 0
	x.routes = map[string]uint64{}
	x.floors = map[string]session.Position{}
	opts := []peer.Option{
		peer.WithRandom(x.f.random.Intn), peer.WithRegion(func(zone string) string { return zone[:min(1, len(zone))] }),
	}
	for k := range 3 {
		o := x.f.nodes[(x.id+1+k*k)%len(x.f.nodes)]
		if o != x {
			opts = append(opts, peer.WithMember(o.name, o.zone, o.name))
		}
	}
	var err error
	if x.members, err = peer.NewMembership(x.name, x.zone, x.name, x.incarnation*1000, opts...); err != nil {
		panic(err)
	}
	x.f.After(time.Duration(x.f.random.Intn(500))*ms, func() { x.step() })
}

func (x *node) step(es ...peer.Event) {
	if !x.alive {
		return
	}
	x.f.steps++
	x.steps++
	step, incarnation := x.steps, x.incarnation
	as, wake := x.members.Step(x.f.Now(), es)
	for _, a := range as {
		x.perform(a)
	}
	x.f.After(max(0, wake-x.f.Now()), func() {
		x.whenFree(func() {
			if x.steps == step && x.incarnation == incarnation {
				x.step()
			}
		})
	})
}

// whenFree calls f now, or once the node is no longer busy.
func (x *node) whenFree(f func()) {
	if wait := x.busyUntil - x.f.Now(); wait > 0 {
		x.f.After(wait, f)
		return
	}
	f()
}

// receive handles a message, which takes the fleet's work.
func (x *node) receive(m peer.Message) {
	x.busyUntil = max(x.busyUntil, x.f.Now()) + x.f.work
	x.whenFree(func() { x.step(peer.MessageReceived{Message: m}) })
}

func (x *node) perform(a peer.Action) {
	switch a := a.(type) {
	case peer.Send:
		x.f.messages++
		x.f.sent(x, a)
		x.f.bytes += 40 + 30*len(a.Message.Updates) + 30*len(a.Message.Routes) + len(a.Message.Bundle)
		for _, o := range x.f.nodes {
			if o.name == a.To && !x.f.partitioned(x, o) && x.f.random.Float64() >= x.f.loss {
				x.f.After(x.f.delay+time.Duration(1+x.f.random.Intn(9))*ms, func() { o.receive(a.Message) })
			}
		}
	case peer.OfferBundle:
		x.accept(uint64(a.Bundle[0]), a.Bundle)
	case peer.MembersChanged:
		x.published++
	case peer.MemberChanged:
		if x.changed != nil {
			x.changed(a)
		}
	case peer.LearnRoute:
		x.routes[a.Route.Group] = a.Route.Term
		x.floors[a.Route.Group] = a.Route.Floor
	}
}

// accept handles a bundle that a node is offered: the node accepts it only if it is newer than its own.
func (x *node) accept(version uint64, b []byte) {
	if version <= x.version && !x.f.acceptOlder {
		return
	}
	if version < x.version {
		x.f.reverted++
	}
	x.version = version
	x.versionSince = x.f.Now()
	x.f.After(0, func() { x.step(peer.BundleAccepted{Version: version, Bundle: b}) })
}

func (f *fleet) rollOut(at *node, version uint64) {
	at.accept(version, []byte{byte(version)})
}

func (f *fleet) alive() []*node {
	var out []*node
	for _, x := range f.nodes {
		if x.alive {
			out = append(out, x)
		}
	}
	return out
}

func assertVersionEverywhere(t interface {
	Fatalf(format string, args ...any)
}, f *fleet, version uint64,
) {
	for _, x := range f.alive() {
		if x.version != version {
			t.Fatalf("node %s has bundle version %d, want %d", x.name, x.version, version)
		}
	}
}

func TestMembership(t *testing.T) {
	t.Run("every node finds all others", func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(1, 12)
		f.Run(20 * time.Second)
		for _, x := range f.nodes {
			c.Check(len(x.members.Alive()), qt.Equals, 12, qt.Commentf("%s", x.name))
		}
	})
	t.Run("all nodes detect that a node died and that it returned", func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2, 12)
		f.Run(20 * time.Second)
		f.nodes[4].alive = false
		f.Run(50 * time.Second)
		for _, x := range f.alive() {
			c.Check(len(x.members.Alive()), qt.Equals, 11, qt.Commentf("%s", x.name))
		}
		f.nodes[4].start()
		f.Run(80 * time.Second)
		for _, x := range f.alive() {
			c.Check(len(x.members.Alive()), qt.Equals, 12, qt.Commentf("%s", x.name))
		}
	})
	t.Run("no node is considered dead after a one-way partition between two nodes", func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3, 12)
		f.Run(20 * time.Second)
		f.partitioned = func(a, b *node) bool { return a.id == 1 && b.id == 2 }
		f.Run(60 * time.Second)
		for _, x := range f.nodes {
			c.Check(len(x.members.Alive()), qt.Equals, 12, qt.Commentf("%s", x.name))
		}
	})
	t.Run("a route of a lower term does not replace one of a higher term", func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(4, 8)
		f.Run(10 * time.Second)
		f.nodes[0].step(peer.RouteDiscovered{Route: peer.Route{Group: "g", Term: 5, Primary: "s1"}})
		f.Run(11 * time.Second)
		f.nodes[1].step(peer.RouteDiscovered{Route: peer.Route{Group: "g", Term: 4, Primary: "s0"}})
		f.Run(20 * time.Second)
		for _, x := range f.nodes[1:] {
			c.Check(x.routes["g"], qt.Equals, uint64(5), qt.Commentf("%s", x.name))
		}
	})
	t.Run("a floor and a higher term reach every node, in whatever order they are reported", func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(5, 8)
		f.Run(10 * time.Second)
		f.nodes[0].step(peer.RouteDiscovered{Route: peer.Route{Group: "g", Floor: session.Position{Term: 4, Offset: 9}}})
		f.nodes[1].step(peer.RouteDiscovered{Route: peer.Route{Group: "g", Term: 5, Primary: "s1"}})
		f.Run(20 * time.Second)
		for i, x := range f.nodes {
			c.Check(i == 1 || x.routes["g"] == 5, qt.IsTrue, qt.Commentf("%s", x.name))
			c.Check(i == 0 || x.floors["g"].Offset == 9, qt.IsTrue, qt.Commentf("%s", x.name))
		}
	})
}

// TestMembersUnchanged guards against work at every node for a member that is only slow to answer: a suspicion and its refutation
// change the list of members at none of them.
func TestMembersUnchanged(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 12)
	f.Run(20 * time.Second)
	suspected := 0
	for _, x := range f.nodes {
		x.published = 0
		x.changed = func(peer.MemberChanged) { suspected++ }
	}
	f.partitioned = func(a, b *node) bool { return a.id == 4 || b.id == 4 }
	f.Run(f.Now() + 2*time.Second)
	f.partitioned = func(*node, *node) bool { return false }
	f.Run(f.Now() + 10*time.Second)
	c.Check(suspected > 0, qt.IsTrue)
	for _, x := range f.nodes {
		c.Check(x.published, qt.Equals, 0, qt.Commentf("%s", x.name))
	}
}

// bytesAfterListing returns the bytes a second that a node of a fleet sends after all nodes have read the platform's list.
func bytesAfterListing(c *qt.C, nodes int) float64 {
	f := newFleet(7, nodes)
	var listed []peer.Update
	for _, x := range f.nodes {
		listed = append(listed, peer.Update{Name: x.name, Zone: "z", Address: x.name})
	}
	f.Run(time.Second)
	for _, x := range f.nodes {
		x.step(peer.VMsListed{Updates: listed})
	}
	f.Run(5 * time.Second)
	const window = 10 * time.Second
	f.bytes = 0
	f.Run(f.Now() + window)
	for _, x := range f.nodes {
		c.Assert(len(x.members.Alive()), qt.Equals, nodes, qt.Commentf("%s", x.name))
	}
	return float64(f.bytes) / window.Seconds() / float64(nodes)
}

// TestGossipAfterStart guards against a fleet that starts at once and gossips for minutes about members that every node has read
// from the platform's list: what a node sends must not depend on the size of the fleet.
func TestGossipAfterStart(t *testing.T) {
	c := qt.New(t)
	small, large := bytesAfterListing(c, 40), bytesAfterListing(c, 300)
	c.Logf("%.0f bytes a second with 300 nodes, %.0f with 40", large, small)
	c.Assert(large <= 1.25*small, qt.IsTrue, qt.Commentf("%.0f bytes a second with 300 nodes, %.0f with 40", large, small))
}

// TestListCompletesSeeds guards against seeds that serve no group until gossip tells their zones.
func TestListCompletesSeeds(t *testing.T) {
	c := qt.New(t)
	m, err := peer.NewMembership("n", "a", "n", 1, peer.WithMember("seed", "", "seed"))
	c.Assert(err, qt.IsNil)
	as, _ := m.Step(0, []peer.Event{peer.VMsListed{Updates: []peer.Update{{Name: "seed", Zone: "b", Address: "seed", Weight: 7}}}})
	published, ok := as[len(as)-1].(peer.MembersChanged)
	c.Assert(ok, qt.IsTrue)
	c.Assert(published.Members[1], qt.Equals, peer.Update{Name: "seed", Zone: "b", Address: "seed", Weight: 7})
}

// injectFault kills and restarts a node, partitions the fleet or drops messages, and runs the fleet for a while.
func injectFault(t *rapid.T, f *fleet) {
	switch rapid.SampledFrom([]string{"kill", "part", "one way", "lossy"}).Draw(t, "fault") {
	case "kill":
		x := f.nodes[rapid.IntRange(1, len(f.nodes)-1).Draw(t, "node")]
		x.alive = false
		f.After(time.Duration(rapid.IntRange(100, 8000).Draw(t, "dead_ms"))*ms, func() {
			if !x.alive {
				x.start()
			}
		})
	case "part":
		k := rapid.IntRange(1, len(f.nodes)-1).Draw(t, "part")
		f.partitioned = func(a, b *node) bool { return a.id < k != (b.id < k) }
	case "one way":
		k := rapid.IntRange(1, len(f.nodes)-1).Draw(t, "part")
		f.partitioned = func(a, b *node) bool { return a.id < k && b.id >= k }
	case "lossy":
		f.loss = 0.3
	}
	f.Run(f.Now() + time.Duration(rapid.IntRange(50, 6000).Draw(t, "wait_ms"))*ms)
}

// rollOutUnderFaults rolls out bundle versions from the first node under changing faults, removes the faults, and returns the
// fleet.
func rollOutUnderFaults(t *rapid.T, acceptOlder bool) *fleet {
	f := newFleet(int64(rapid.IntRange(1, 1<<30).Draw(t, "seed")), rapid.IntRange(3, 16).Draw(t, "nodes"))
	f.acceptOlder = acceptOlder
	f.Run(5 * time.Second)
	rolls := rapid.IntRange(1, 5).Draw(t, "rolls")
	for v := 1; v <= rolls; v++ {
		injectFault(t, f)
		f.rollOut(f.nodes[0], uint64(v))
		if acceptOlder && v > 1 {
			f.After(300*ms, func() { f.nodes[len(f.nodes)-1].accept(uint64(v-1), []byte{byte(v - 1)}) })
		}
	}
	f.partitioned = func(*node, *node) bool { return false }
	f.loss = 0
	f.Run(f.Now() + 90*time.Second)
	if f.reverted == 0 {
		assertVersionEverywhere(t, f, uint64(rolls))
	}
	return f
}

func TestBundlesSpreadUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if f := rollOutUnderFaults(t, false); f.reverted > 0 {
			t.Fatalf("%d bundles replaced a newer one", f.reverted)
		}
	})
}

// TestRevertingIsNoticed checks that TestBundlesSpreadUnderFaults detects nodes that accept older bundles.
func TestRevertingIsNoticed(t *testing.T) {
	c := qt.New(t)
	reverted := 0
	rapid.Check(t, func(t *rapid.T) {
		reverted += rollOutUnderFaults(t, true).reverted
	})
	c.Assert(reverted > 0, qt.IsTrue, qt.Commentf("no run detected that nodes accepted older bundles"))
}

// BenchmarkSpread measures how long a bundle takes to reach all nodes, and the control messages, bytes and CPU time per node.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{7, 50, 200, 600} {
		for _, replaced := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/third_replaced=%t", n, replaced), func(b *testing.B) {
				for range b.N {
					measureRollOut(b, n, replaced)
				}
			})
		}
	}
}

func measureRollOut(b *testing.B, n int, replaced bool) {
	f := newFleet(1, n)
	f.Run(60 * time.Second)
	f.messages, f.bytes, f.steps = 0, 0, 0
	start := time.Now()
	f.Run(f.Now() + 10*time.Second)
	perNode := float64(n) * 10
	b.ReportMetric(float64(f.messages)/perNode, "messages/node/s")
	b.ReportMetric(float64(f.bytes)/perNode, "bytes/node/s")
	b.ReportMetric(float64(time.Since(start).Microseconds())/perNode, "cpu_us/node/s")
	if replaced {
		for i := 1; i < n; i += 3 {
			f.nodes[i].start()
		}
	}
	at := f.Now()
	f.rollOut(f.nodes[0], 1)
	f.Run(at + 30*time.Second)
	var ds []time.Duration
	for _, x := range f.nodes {
		if x.version == 1 {
			ds = append(ds, x.versionSince-at)
		}
	}
	slices.Sort(ds)
	b.ReportMetric(float64(ds[len(ds)/2].Milliseconds()), "in_force_p50_ms")
	b.ReportMetric(float64(ds[len(ds)*99/100].Milliseconds()), "in_force_p99_ms")
	b.ReportMetric(float64(ds[len(ds)-1].Milliseconds()), "in_force_worst_ms")
	b.ReportMetric(float64(n-len(ds)), "missing")
	b.ReportMetric(0, "ns/op")
}

// TestRestartAfterClockStep guards against a node that restarts after its time of day has jumped back: its incarnation is then
// lower than that of its earlier start, which the others know as dead or alive.
func TestRestartAfterClockStep(t *testing.T) {
	for _, down := range []time.Duration{500 * ms, 30 * time.Second} {
		t.Run(fmt.Sprintf("down for %v", down), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(8, 12)
			f.Run(20 * time.Second)
			f.nodes[4].alive = false
			f.Run(f.Now() + down)
			f.nodes[4].incarnation -= 2
			f.nodes[4].start()
			f.Run(f.Now() + 5*time.Second)
			for _, x := range f.nodes {
				c.Check(len(x.members.Alive()), qt.Equals, 12, qt.Commentf("%s", x.name))
			}
		})
	}
}

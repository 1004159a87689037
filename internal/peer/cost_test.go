package peer_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/peer"
)

// costSizes are the sizes of fleets whose costs are compared.
var costSizes = []int{30, 100, 300, 1000}

// newListedFleet returns a fleet in six zones of two regions. Its nodes start within half a second and read the list of members
// after a second, when the first registered ones are in it. From then on, each message takes longer by the given delay.
func newListedFleet(n, registered int, delay time.Duration) *fleet {
	zones := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	f := newZonedFleet(9, n, func(i int) string { return zones[i%len(zones)] })
	var listed []peer.Update
	for _, x := range f.nodes[:registered] {
		listed = append(listed, peer.Update{Name: x.name, Zone: x.zone, Address: x.name})
	}
	f.Run(time.Second)
	f.delay = delay
	for _, x := range f.nodes {
		x.step(peer.VMsListed{Updates: listed})
	}
	return f
}

// cost is what a node spends in a second.
type cost struct {
	messages, bytes, remoteBytes, connections float64
}

// connectionIdle is how long a connection between two nodes stays open after its last message.
const connectionIdle = 3 * time.Second

// measureCost returns the cost of a node between two times. A message opens a connection if the two nodes have none.
func measureCost(f *fleet, from, to time.Duration) cost {
	type pair struct{ a, b string }
	used := map[pair]time.Duration{}
	var sum cost
	f.sent = func(x *node, a peer.Send) {
		p := pair{min(x.name, a.To), max(x.name, a.To)}
		last, ok := used[p]
		used[p] = f.Now()
		if f.Now() < from {
			return
		}
		bytes := float64(40 + 30*len(a.Message.Updates))
		sum.messages++
		sum.bytes += bytes
		if a.Zone[:1] != x.zone[:1] {
			sum.remoteBytes += bytes
		}
		if !ok || f.Now()-last > connectionIdle {
			sum.connections++
		}
	}
	f.Run(to)
	k := (to - from).Seconds() * float64(len(f.nodes))
	return cost{sum.messages / k, sum.bytes / k, sum.remoteBytes / k, sum.connections / k}
}

// growth returns the exponent with which a cost grows between two sizes.
func growth(small, large float64, sizes ...int) float64 {
	return math.Log(large/small) / math.Log(float64(sizes[1])/float64(sizes[0]))
}

// TestCostOfQuietFleet guards against pings that open a connection each, half of them to the other region, and against gossip
// that grows with the fleet. The bounds are a quarter of the 8 KB a second that a node may spend for control.
func TestCostOfQuietFleet(t *testing.T) {
	c := qt.New(t)
	costs := map[int]cost{}
	for _, n := range costSizes {
		v := measureCost(newListedFleet(n, n, 0), 12*time.Second, 22*time.Second)
		c.Logf("%d nodes: %.2f messages, %.0f bytes, %.0f to the other region, %.2f connections a node and second",
			n, v.messages, v.bytes, v.remoteBytes, v.connections)
		c.Check(v.bytes <= 2048, qt.IsTrue)
		c.Check(v.remoteBytes <= 100, qt.IsTrue)
		c.Check(v.connections <= 0.7, qt.IsTrue)
		costs[n] = v
	}
	small, large := costs[30], costs[300]
	c.Check(growth(small.messages, large.messages, 30, 300) <= 0.3, qt.IsTrue)
	c.Check(growth(small.bytes, large.bytes, 30, 300) <= 0.3, qt.IsTrue)
	c.Check(growth(small.connections, large.connections, 30, 300) <= 0.3, qt.IsTrue)
}

// TestCostOfStart guards against a list of members for nearly each message while a node hears of members that have registered
// after it has read the list: each list costs work that grows with the fleet.
func TestCostOfStart(t *testing.T) {
	c := qt.New(t)
	for _, n := range costSizes {
		f := newListedFleet(n, n*2/3, 0)
		f.Run(15 * time.Second)
		published, known := 0, n
		for _, x := range f.nodes {
			published += x.published
			known = min(known, len(x.members.Alive()))
		}
		c.Check(known >= n-n/10, qt.IsTrue, qt.Commentf("a node knows %d of %d", known, n))
		c.Logf("%d nodes: %.1f lists, %.0f messages and %.0f bytes a node in 15 s", n, float64(published)/float64(n),
			float64(f.messages)/float64(n), float64(f.bytes)/float64(n))
		c.Check(published <= 20*n, qt.IsTrue)
		c.Check(f.messages <= 90*n, qt.IsTrue)
	}
}

// TestBusyMachines guards against nodes of a busy fleet that suspect each other because acks arrive late. The news of suspicions
// and their refutations are work for all nodes and keep them busy.
func TestBusyMachines(t *testing.T) {
	for _, n := range []int{30, 300} {
		c := qt.New(t)
		f := newListedFleet(n, n, 250*time.Millisecond)
		f.Run(5 * time.Second)
		changes := 0
		for _, x := range f.nodes {
			x.changed = func(peer.MemberChanged) { changes++ }
		}
		f.messages = 0
		f.Run(15 * time.Second)
		c.Logf("%d nodes: %.1f changes and %.0f messages a node in 10 s", n, float64(changes)/float64(n), float64(f.messages)/float64(n))
		c.Check(changes <= n, qt.IsTrue)
		c.Check(f.messages <= 60*n, qt.IsTrue)
	}
}

// TestBusyStart guards against a fleet whose machines are busy with their start and then with the news of members that answered
// late, which makes them answer late again: without a bound on that news it never ends.
func TestBusyStart(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		c := qt.New(t)
		f := newListedFleet(n, n*2/3, 0)
		f.work = 40 * ms
		changes := 0
		for _, x := range f.nodes {
			x.busyUntil = f.Now() + time.Duration(f.random.Intn(3000))*ms
			x.changed = func(peer.MemberChanged) { changes++ }
		}
		for range 6 {
			changes, f.messages, f.bytes = 0, 0, 0
			f.Run(f.Now() + 5*time.Second)
			c.Logf("%d nodes, to %v: %.1f changes, %.1f messages and %.0f bytes a second", n, f.Now(), float64(changes)/float64(5*n),
				float64(f.messages)/float64(5*n), float64(f.bytes)/float64(5*n))
			c.Check(f.messages <= 10*5*n, qt.IsTrue)
			c.Check(f.bytes <= 8192*5*n, qt.IsTrue)
		}
		c.Check(changes <= n, qt.IsTrue)
	}
}

// TestLostNodeInLargeFleet guards against pings of neighbors that find a lost node later than pings of all members in turn.
func TestLostNodeInLargeFleet(t *testing.T) {
	for _, n := range []int{30, 300} {
		c := qt.New(t)
		f := newListedFleet(n, n, 0)
		f.Run(10 * time.Second)
		var suspected, dead time.Duration
		worst := time.Duration(0)
		for i := range 4 {
			lost := f.nodes[1+i*n/4]
			at := f.Now()
			lost.alive = false
			suspected, dead = 0, 0
			for _, x := range f.nodes {
				x.changed = func(a peer.MemberChanged) {
					switch {
					case a.Name == lost.name && a.State == peer.StateSuspect && suspected == 0:
						suspected = f.Now() - at
					case a.Name == lost.name && a.State == peer.StateDead:
						dead = f.Now() - at
					}
				}
			}
			f.Run(at + 12*time.Second)
			for _, x := range f.alive() {
				c.Check(len(x.members.Alive()), qt.Equals, n-1-i)
			}
			worst = max(worst, dead)
			c.Logf("%d nodes: first suspected after %v, dead at all after %v", n, suspected, dead)
		}
		c.Check(worst <= 8*time.Second, qt.IsTrue)
	}
}

// TestRegionCut guards against pings that stay in the region and find only after a minute that the other one is cut off. At most
// one member of the other region may still count as alive.
func TestRegionCut(t *testing.T) {
	for n, limit := range map[int]time.Duration{30: 14 * time.Second, 300: 26 * time.Second} {
		c := qt.New(t)
		f := newListedFleet(n, n, 0)
		f.Run(10 * time.Second)
		f.partitioned = func(a, b *node) bool { return a.zone[:1] != b.zone[:1] }
		f.Run(f.Now() + limit)
		known := 0
		for _, x := range f.nodes {
			known = max(known, len(x.members.Alive()))
		}
		c.Check(known <= n/2+1, qt.IsTrue, qt.Commentf("a node still counts %d of %d as alive", known, n))
	}
}

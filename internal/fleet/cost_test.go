package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/metadata"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// wideZones are the zones of a deployment in two regions.
var wideZones = bundle.Zones{
	{Name: "a", Region: "r"},
	{Name: "b", Region: "r"},
	{Name: "c", Region: "r"},
	{Name: "x", Region: "q"},
	{Name: "y", Region: "q"},
	{Name: "z", Region: "q"},
}

// startWidePlatform returns a deployment without nodes, with groups of three servers in different zones.
func startWidePlatform(c *qt.C, groups int) *deployment {
	const maxConns = 70
	d := &deployment{platform: metadata.New()}
	var services, routes []string
	for g := range groups {
		name := fmt.Sprintf("g%d", g)
		var zones []string
		for i := range 3 {
			zones = append(zones, wideZones[(g+i)%len(wideZones)].Name)
		}
		c.Assert(d.platform.AddGroup(name, zones, 300*time.Millisecond), qt.IsNil)
		d.platform.LimitConnections(name, maxConns)
		services = append(services, fmt.Sprintf(`{"Name":%q,"MaxConns":%d,"SyncReplicas":1}`, name, maxConns))
		routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Host":"h%d","Kind":"primary","TimeoutMs":8000,"Priority":1,"Service":%q}`,
			g, g, name))
	}
	d.platform.Put("op", "config", fmt.Appendf(nil, `{"Version":3,"Routes":[%s],"Services":[%s],"Limits":{"TxIdleMs":3000}}`,
		strings.Join(routes, ","), strings.Join(services, ",")))
	d.platformAddress = servePlatform(c, d.platform.Handler())
	return d
}

// startWideNodes starts nodes in all zones within 0.3 s.
func (d *deployment) startWideNodes(c *qt.C, nodes int) {
	var all []settings.FleetNode
	for i := range nodes {
		s := settings.FleetNode{
			Node: fmt.Sprintf("node-%d", i+1), Zone: wideZones[i%len(wideZones)].Name, Zones: wideZones, Listen: freeAddress(c),
			Ready: freeAddress(c), Peer: freeAddress(c), Store: d.platformAddress, Orders: d.platformAddress, GraceMS: 2000,
			LogLevel: "info",
		}
		for _, o := range all[:min(3, i)] {
			s.Seeds = append(s.Seeds, o.Peer)
		}
		all = append(all, s)
	}
	for _, s := range all {
		d.run(c, s)
		time.Sleep(300 * time.Millisecond / time.Duration(nodes))
	}
}

// controlCost is what the nodes of a deployment have spent: the processor time of the process, and the sums over all nodes.
type controlCost struct {
	at, cpu                                             time.Duration
	messages, bytes, connections                        map[metrics.Purpose]float64
	remoteBytes, lists, changes, lanes, links, logBytes float64
}

func (d *deployment) controlCost(c *qt.C) controlCost {
	var u unix.Rusage
	c.Assert(unix.Getrusage(unix.RUSAGE_SELF, &u), qt.IsNil)
	v := controlCost{
		at: d.nodes[0].clock(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), messages: map[metrics.Purpose]float64{},
		bytes: map[metrics.Purpose]float64{}, connections: map[metrics.Purpose]float64{},
	}
	for _, n := range d.nodes {
		s := n.Status()
		for p := metrics.Gossip; p <= metrics.Statements; p++ {
			v.messages[p] += float64(n.purposes.Messages(p))
			v.connections[p] += float64(n.purposes.Connections(p))
			v.bytes[p] += float64(n.purposes.Bytes(p, metrics.SameZone) + n.purposes.Bytes(p, metrics.SameRegion) +
				n.purposes.Bytes(p, metrics.OtherRegion))
			v.remoteBytes += float64(n.purposes.Bytes(p, metrics.OtherRegion))
		}
		v.lists += float64(n.memberLists.Load())
		v.changes += float64(n.memberChanges.Load())
		v.lanes += float64(len(s.Lanes))
		v.links += float64(s.RelayLinks)
	}
	d.log.mu.Lock()
	v.logBytes = float64(d.log.b.Len())
	d.log.mu.Unlock()
	return v
}

// report logs what a node has spent between two times, a second and in all.
func (v controlCost) report(c *qt.C, what string, since controlCost, nodes int) {
	seconds := (v.at - since.at).Seconds()
	per := func(now, before float64) float64 { return (now - before) / float64(nodes) }
	c.Logf("%s, %.1f s: %.0f ms of processor time a node, %.0f log bytes, %.1f lists, %.1f changes, %.2f lanes, %.2f links", what,
		seconds, per(float64(v.cpu.Milliseconds()), float64(since.cpu.Milliseconds())), per(v.logBytes, since.logBytes),
		per(v.lists, since.lists), per(v.changes, since.changes), v.lanes/float64(nodes), v.links/float64(nodes))
	c.Logf("   %.0f bytes to the other region", per(v.remoteBytes, since.remoteBytes))
	for p := metrics.Gossip; p <= metrics.Statements; p++ {
		c.Logf("   %s: %.1f messages, %.0f bytes, %.1f connections", p, per(v.messages[p], since.messages[p]),
			per(v.bytes[p], since.bytes[p]), per(v.connections[p], since.connections[p]))
	}
}

// TestMeasureControlCost reports what a fleet spends for control in its first 10 s and in the 15 s after them, with all nodes and
// the platform in one process. It runs only if BUCKTHORNPORT_MEASURE is the number of nodes.
func TestMeasureControlCost(t *testing.T) {
	nodes, err := strconv.Atoi(os.Getenv("BUCKTHORNPORT_MEASURE"))
	if err != nil {
		t.Skip("set BUCKTHORNPORT_MEASURE to a number of nodes to measure")
	}
	c := qt.New(t)
	d := startWidePlatform(c, 8)
	d.startWideNodes(c, nodes)
	start := controlCost{}
	time.Sleep(10 * time.Second)
	up := d.controlCost(c)
	ready := 0
	for _, n := range d.nodes {
		if n.Ready() {
			ready++
		}
	}
	up.report(c, fmt.Sprintf("%d nodes, %d ready, start", nodes, ready), start, nodes)
	time.Sleep(15 * time.Second)
	d.controlCost(c).report(c, "calm", up, nodes)
}

package fleet

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// TestServedByRegion guards against dispatchers that share a server's connections among so many that tenants compete for each one.
func TestServedByRegion(t *testing.T) {
	for _, k := range []struct {
		connections, tenants, zones, knownZones int
		want                                    bool
	}{
		{connections: 46, zones: 6, want: true},
		{connections: 53, zones: 6, want: false},
		{connections: 125, zones: 6, want: false},
		{connections: 151, zones: 6, want: false},
		{connections: 70, tenants: 76, zones: 6, want: true},
		{connections: 151, tenants: 25, zones: 6, want: false},
		{connections: 151, tenants: 26, zones: 6, want: true},
		{connections: 46, zones: 5, knownZones: 6, want: true},
	} {
		t.Run(fmt.Sprintf("%+v", k), func(t *testing.T) {
			n := &Node{knownZones: k.knownZones}
			for i := range 12 {
				n.members = append(n.members, peer.Update{Zone: fmt.Sprint("z", i%k.zones)})
			}
			qt.Assert(t, n.servedByRegion(bundle.Group{ConnectionsPerServer: k.connections}, k.tenants), qt.Equals, k.want)
		})
	}
}

// configWithConnections returns a version of the configuration with another limit of connections a server.
func configWithConnections(version, connections int) []byte {
	text := fmt.Sprintf(config, version, "")
	return []byte(strings.Replace(text, `"MaxConns":33`, fmt.Sprintf(`"MaxConns":%d`, connections), 1))
}

// countServing returns how many nodes serve the group.
func countServing(d *deployment) int {
	serving := 0
	for _, n := range d.nodes {
		if _, ok := n.laneFor("books"); ok {
			serving++
		}
	}
	return serving
}

// writeUntil has a caller write until stopped is set. It returns how many of its statements were not answered.
func writeUntil(s *session, key string, stopped *atomic.Bool) int {
	failed := 0
	for i := 0; !stopped.Load(); i++ {
		if _, outcome := s.run(fmt.Sprintf("WRITE %s %d", key, i)); outcome != "I" {
			failed++
		}
	}
	return failed
}

// TestMoveToRegions guards against requests that are lost, and transactions that are cut, when a change of the configuration
// moves a group from one node of each zone to one of each region and back.
func TestMoveToRegions(t *testing.T) {
	const byZone, byRegion = 24, 21
	c := qt.New(t)
	d := startScarceDeployment(c, 9)
	d.platform.LimitConnections("books", byZone)
	d.platform.Put("op", "config", configWithConnections(4, byZone))
	waitUntil(c, "one node of each zone serves", func() bool { return countServing(d) == 3 })
	open := connect(c, d.nodes[0], "ledger")
	assertAnswers(open, "BEGIN", nil, "T")
	assertAnswers(open, "WRITE open 1", nil, "T")
	var callers sync.WaitGroup
	var stopped atomic.Bool
	var failed atomic.Int64
	for i, n := range d.nodes {
		s := connect(c, n, "ledger")
		callers.Add(1)
		go func() {
			defer callers.Done()
			failed.Add(int64(writeUntil(s, fmt.Sprint("k", i), &stopped)))
		}()
	}
	for i, k := range []struct{ connections, serving int }{{byRegion, 2}, {byZone, 3}, {byRegion, 2}} {
		d.platform.Put("op", "config", configWithConnections(5+i, k.connections))
		waitUntil(c, "the group has moved", func() bool { return countServing(d) == k.serving })
		time.Sleep(100 * time.Millisecond)
		if i == 0 {
			assertAnswers(open, "COMMIT", nil, "I")
		}
	}
	stopped.Store(true)
	callers.Wait()
	c.Assert(failed.Load(), qt.Equals, int64(0))
	assertNoViolations(c, d)
}

// configWithTenants returns a version of the configuration with tenants and another limit of connections a server.
func configWithTenants(version, connections, tenants int) []byte {
	var list []string
	for i := range tenants {
		list = append(list, fmt.Sprintf(`{"Name":"t%d","ApiKeys":["key%d"],"RatePerS":1000,"Burst":1000}`, i, i))
	}
	text := strings.TrimSuffix(string(configWithConnections(version, connections)), "}")
	return []byte(text + `,"Tenants":[` + strings.Join(list, ",") + "]}")
}

// TestManyTenants guards against tenants that are refused, or answered with another's error, where there are fewer connections to a
// server than tenants, also while the group moves from a node of each region to all nodes and back.
func TestManyTenants(t *testing.T) {
	const scarce, plenty, tenants = 24, 120, 30
	c := qt.New(t)
	d := startScarceDeployment(c, 9)
	d.platform.LimitConnections("books", scarce)
	d.platform.Put("op", "config", configWithTenants(4, scarce, tenants))
	waitUntil(c, "one node of each region serves", func() bool { return countServing(d) == 2 })
	for _, n := range d.nodes {
		waitUntil(c, "the configuration is in force", func() bool { return n.Status().ConfigVersion == 4 })
	}
	waitUntil(c, "only the nodes that serve connect to the servers", func() bool {
		return d.platform.MaxServerConnections("books") <= 3
	})
	var callers sync.WaitGroup
	var stopped atomic.Bool
	var failed atomic.Int64
	for i := range tenants {
		s := connectWithKey(c, d.nodes[i%len(d.nodes)], "ledger", fmt.Sprintf("key%d", i))
		callers.Add(1)
		go func() {
			defer callers.Done()
			failed.Add(int64(writeUntil(s, fmt.Sprint("k", i), &stopped)))
		}()
	}
	for i, k := range []struct{ connections, serving int }{{scarce, 2}, {plenty, 9}, {scarce, 2}} {
		d.platform.LimitConnections("books", k.connections)
		d.platform.Put("op", "config", configWithTenants(5+i, k.connections, tenants))
		waitUntil(c, "the group has moved", func() bool { return countServing(d) == k.serving })
		time.Sleep(500 * time.Millisecond)
		c.Logf("%d connections: %d to a server, %d rejected", k.connections, d.platform.MaxServerConnections("books"),
			d.platform.RejectedConnections("books"))
	}
	waitUntil(c, "the connections are within the limit", func() bool { return d.platform.MaxServerConnections("books") <= scarce })
	stopped.Store(true)
	callers.Wait()
	c.Check(failed.Load(), qt.Equals, int64(0))
	assertNoViolations(c, d)
}

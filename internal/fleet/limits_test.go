package fleet

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/standin/metadata"
)

// limitedConfig returns a configuration whose only tenant, the one of all callers, has a limit.
func limitedConfig(version int, rate, burst float64) []byte {
	tenants := fmt.Sprintf(`"Tenants":[{"Name":"mvule","ApiKeys":["user"],"RatePerS":%v,"Burst":%v}],"Limits"`, rate, burst)
	return fmt.Appendf(nil, strings.Replace(config, `"Limits"`, strings.ReplaceAll(tenants, "%", "%%"), 1), version, "")
}

// startLimitedDeployment returns a deployment of three nodes whose tenant's bucket is full.
func startLimitedDeployment(c *qt.C, rate, burst float64) *deployment {
	d := &deployment{platform: metadata.New()}
	c.Assert(d.platform.AddGroup("books", []string{"a", "b", "m"}, 300*time.Millisecond), qt.IsNil)
	d.platform.Put("op", "config", limitedConfig(3, rate, burst))
	d.platformAddress = servePlatform(c, d.platform.Handler())
	for i := range 3 {
		d.startNode(c, fmt.Sprintf("node-%d", i+1), []string{"a", "b", "m"}[i])
	}
	for _, n := range d.nodes {
		waitUntil(c, "all nodes are members", func() bool { return len(n.Status().Members) == 3 })
	}
	d.awaitReady(c)
	assertAnswers(connect(c, d.nodes[0], "ledger"), "READ a", []string{"none"}, "I")
	time.Sleep(time.Duration((burst+1)/rate*1e9) + 200*time.Millisecond)
	return d
}

// hammer has callers at each of the nodes send reads one after another for a time. It returns how many were served.
func hammer(c *qt.C, nodes []*Node, callers int, d time.Duration) int {
	var served atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(d)
	for _, n := range nodes {
		for range callers {
			s := connect(c, n, "board")
			all.Add(1)
			go func() {
				defer all.Done()
				for time.Now().Before(end) {
					if _, outcome := s.run("READ a"); outcome == "I" {
						served.Add(1)
					}
					time.Sleep(2 * time.Millisecond)
				}
			}()
		}
	}
	all.Wait()
	return int(served.Load())
}

// TestTenantLimit guards against a limit that each node applies for itself, and against operations that are counted more than once.
func TestTenantLimit(t *testing.T) {
	t.Run("all nodes share a limit", func(t *testing.T) {
		const rate, burst, seconds = 40, 40, 3
		c := qt.New(t)
		d := startLimitedDeployment(c, rate, burst)
		served := hammer(c, d.nodes, 2, seconds*time.Second)
		c.Logf("%d operations served in %d s", served, seconds)
		c.Check(served <= rate*seconds+burst+rate*3/10+5, qt.IsTrue)
		c.Check(served >= rate*seconds, qt.IsTrue)
	})
	t.Run("a refusal tells when the operation fits", func(t *testing.T) {
		c := qt.New(t)
		d := startLimitedDeployment(c, 0.5, 1)
		s := connect(c, d.nodes[1], "ledger")
		assertAnswers(s, "SET v 1", nil, "I")
		assertAnswers(s, "PREPARE p READ q1", nil, "I")
		assertAnswers(s, "BEGIN", nil, "T")
		for i := range 20 {
			assertAnswers(s, fmt.Sprintf("WRITE rent %d", i), nil, "T")
		}
		assertAnswers(s, "COMMIT", nil, "I")
		var answer string
		served := -1
		for ; !strings.HasPrefix(answer, "ERROR"); served++ {
			s.send("READ rent")
			answer = s.line()
			for l := answer; !strings.HasPrefix(l, "READY"); {
				l = s.line()
			}
		}
		c.Assert(answer, qt.Matches, `ERROR BUSY .*over the tenant's limit; retry after [1-9]\d* ms`)
		c.Assert(served >= 4 && served <= 7, qt.IsTrue, qt.Commentf("%d served", served))
		assertAnswers(s, "SET v 2", nil, "I")
		var b strings.Builder
		d.nodes[1].writeLimitMetrics(metrics.NewTextWriter(&b, "n"))
		c.Assert(b.String(), qt.Contains, `outcome="refused"} 1`)
	})
	t.Run("a limit takes effect with its configuration", func(t *testing.T) {
		c := qt.New(t)
		d := startLimitedDeployment(c, 500, 500)
		d.platform.Put("op", "config", limitedConfig(4, 5, 5))
		for _, n := range d.nodes {
			waitUntil(c, "the configuration is in force", func() bool { return n.routes.Load().bundle.Version == 4 })
		}
		served := hammer(c, d.nodes, 2, 2*time.Second)
		c.Check(served <= 5*2+5+5, qt.IsTrue, qt.Commentf("%d served", served))
	})
	t.Run("without limits nothing runs", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		assertAnswers(connect(c, d.nodes[0], "ledger"), "READ a", []string{"none"}, "I")
		c.Assert(d.nodes[0].tenantLimits.Load(), qt.IsNil)
	})
}

// TestTenantLimitHomeLost guards against a fleet that stops serving a limited tenant, or stops limiting it, when the node that
// lends its credit is gone.
func TestTenantLimitHomeLost(t *testing.T) {
	const rate, burst, seconds = 40, 40, 4
	for _, k := range []struct {
		name string
		end  func(n *Node)
	}{
		{"stopped without draining", func(n *Node) { n.Stop() }},
		{"drained", func(n *Node) { n.Drain() }},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			d := startLimitedDeployment(c, rate, burst)
			var members []peer.Update
			for _, n := range d.nodes {
				members = append(members, peer.Update{Name: n.settings.Peer})
			}
			first := peer.SortByRank(peer.LimitHomes(members), "mvule", func(string) int { return 0 })[0]
			var home *Node
			var others []*Node
			for _, n := range d.nodes {
				if n.settings.Peer == first {
					home = n
				} else {
					others = append(others, n)
				}
			}
			go k.end(home)
			served := hammer(c, others, 3, seconds*time.Second)
			c.Logf("%d operations served in %d s", served, seconds)
			c.Check(served >= rate*seconds/3, qt.IsTrue)
			c.Check(float64(served) <= (rate*seconds+burst)*1.1+20, qt.IsTrue)
		})
	}
}

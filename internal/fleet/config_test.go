package fleet

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/standin/metadata"
)

const (
	// configTarget is the time within which an acknowledged configuration must be in force everywhere.
	configTarget = 3 * time.Second
	// narrowLink is the bandwidth in bytes per second between the store and the region q.
	narrowLink = 245_000
	// maxCopies is one more than the readers and substitutes of a region, which may each read a change once.
	maxCopies = 5
)

// manyRoutes returns the JSON of routes to append to config.
func manyRoutes(prefix string, count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, `,{"Name":"%s-%04d","Host":"%s%04d","Kind":"primary","TimeoutMs":8000,"TargetLatencyMs":8000,"Priority":1,`+
			`"Service":"books"}`, prefix, i, prefix, i)
	}
	return b.String()
}

// assertInForce checks that all nodes adopt a configuration version before a deadline.
func assertInForce(c *qt.C, d *deployment, version uint64, deadline time.Time) {
	c.Helper()
	for _, n := range d.nodes {
		waitUntil(c, "the configuration is in force", func() bool { return n.routes.Load().bundle.Version >= version })
		c.Check(time.Now().Before(deadline), qt.IsTrue,
			qt.Commentf("%s in %s adopted version %d, %v after the deadline", n.settings.Node, n.settings.Zone, version,
				time.Since(deadline)))
	}
}

// startBehindLink returns a deployment with three quarters of its nodes behind a narrow link to the store.
func startBehindLink(c *qt.C, nodes int) (*deployment, *metadata.Link) {
	c.Helper()
	d := startPlatform(c)
	link := metadata.NewLink(narrowLink)
	d.regionLinks = map[string]*metadata.Link{"q": link}
	for i := range nodes {
		d.startNode(c, fmt.Sprintf("node-%d", i+1), []string{"a", "m", "m", "m"}[i%4])
	}
	d.awaitReady(c)
	for _, n := range d.nodes {
		waitUntil(c, "all nodes are members", func() bool { return len(n.Status().Members) == len(d.nodes) })
	}
	// While the fleet forms, more nodes take themselves for readers. Their last polls end within configReadWait.
	time.Sleep(configReadWait + restoreConfirmTime)
	return d, link
}

// TestConfigOverNarrowLink guards against one copy of a large configuration for each node of a region, which take the link between
// regions longer than an acknowledged change may take.
func TestConfigOverNarrowLink(t *testing.T) {
	t.Run("two large configurations in succession", func(t *testing.T) {
		c := qt.New(t)
		d, link := startBehindLink(c, 16)
		d.platform.Put("op", "config", fmt.Appendf(nil, config, 5, manyRoutes("more", 500)))
		d.platform.Put("op", "config", fmt.Appendf(nil, config, 7, manyRoutes("more", 500)))
		assertInForce(c, d, 7, time.Now().Add(configTarget))
		c.Logf("%d bytes crossed the link", link.Bytes())
	})
	t.Run("a configuration that takes longer than a confirmation may", func(t *testing.T) {
		c := qt.New(t)
		d, link := startBehindLink(c, 20)
		before := link.Bytes()
		large := fmt.Appendf(nil, config, 5, manyRoutes("more", 1500))
		d.platform.Put("op", "config", large)
		for _, n := range d.nodes {
			waitUntil(c, "the configuration is in force", func() bool { return n.routes.Load().bundle.Version == 5 })
		}
		copies := float64(link.Bytes()-before) / float64(base64.StdEncoding.EncodedLen(len(large)))
		c.Check(copies < maxCopies, qt.IsTrue, qt.Commentf("%.1f copies crossed the link", copies))
	})
}

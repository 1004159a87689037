package fleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/loopback"
	"buckthornport.example/buckthornport/internal/standin/metadata"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const config = `{"Version":%d,"Routes":[
{"Name":"r1","Host":"ledger","Kind":"primary","TimeoutMs":8000,"TargetLatencyMs":8000,"Priority":1,"Service":"books"},
{"Name":"r2","Host":"board","Kind":"bounded_staleness","TimeoutMs":8000,"Priority":2,"Service":"books","MaxStalenessMs":1500},
{"Name":"r3","Host":"tickets","Kind":"read_your_writes","TimeoutMs":8000,"Priority":2,"Service":"books","MaxStalenessMs":2500}%s],
"Services":[{"Name":"books","MaxConns":33,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}}`

// deployment is a platform with one group of three servers and some nodes, all on loopback addresses.
type deployment struct {
	platform *metadata.Platform
	// platformAddress is the address of the platform's store and promotion orders. Nodes in zones of regionLinks reach it through
	// the link of their region.
	platformAddress string
	regionLinks     map[string]*metadata.Link
	nodes           []*Node
	log             lockedBuffer
}

// lockedBuffer is a log that several nodes write to concurrently.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) Sync() error { return nil }

func (b *lockedBuffer) records(c *qt.C) []operator.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	rs, err := operator.ReadLogs(bytes.NewReader(b.b.Bytes()))
	c.Assert(err, qt.IsNil)
	return rs
}

func freeAddress(c *qt.C) string {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func startDeployment(c *qt.C, nodes int) *deployment {
	d := startPlatform(c)
	for i := range nodes {
		d.startNode(c, fmt.Sprintf("node-%d", i+1), "a")
	}
	d.awaitReady(c)
	return d
}

// startPlatform returns a deployment without nodes.
func startPlatform(c *qt.C) *deployment {
	d := &deployment{platform: metadata.New()}
	c.Assert(d.platform.AddGroup("books", []string{"a", "b", "m"}, 300*time.Millisecond), qt.IsNil)
	d.platform.Put("op", "config", fmt.Appendf(nil, config, 3, ""))
	d.platformAddress = servePlatform(c, d.platform.Handler())
	return d
}

// servePlatform serves a handler of the platform's calls on a loopback address.
func servePlatform(c *qt.C, h http.Handler) string {
	srv := httptest.NewServer(h)
	c.Cleanup(srv.CloseClientConnections)
	return strings.TrimPrefix(srv.URL, "http://")
}

func (d *deployment) awaitReady(c *qt.C) {
	for _, n := range d.nodes {
		waitUntil(c, "node is ready", n.Ready)
	}
}

func (d *deployment) startNode(c *qt.C, name, zone string) {
	s := settings.FleetNode{
		Node: name, Zone: zone, Zones: bundle.Zones{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "m", Region: "q"}},
		Listen: freeAddress(c), Ready: freeAddress(c), Peer: freeAddress(c), Store: d.platformAddress, Orders: d.platformAddress,
		GraceMS: 2000, LogLevel: "info",
	}
	if l, ok := d.regionLinks[s.Zones.Region(zone)]; ok {
		s.Store = servePlatform(c, l.Handler(d.platform.Handler()))
	}
	if len(d.nodes) > 0 {
		s.Seeds = []string{d.nodes[0].settings.Peer}
	}
	d.run(c, s)
}

// run starts a node with the given settings.
func (d *deployment) run(c *qt.C, s settings.FleetNode) {
	level := zap.NewAtomicLevel()
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), &d.log, level)
	n, err := New(context.Background(), s, WithLogger(zap.New(core), level))
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- n.Run() }()
	c.Cleanup(func() {
		n.Stop()
		c.Assert(<-done, qt.IsNil)
	})
	d.nodes = append(d.nodes, n)
}

// waitUntil polls a condition and fails the test if it does not hold within about 30 s.
func waitUntil(c *qt.C, condition string, holds func() bool) {
	for i := 0; !holds(); i++ {
		time.Sleep(10 * time.Millisecond)
		if i == 3000 {
			c.Fatalf("condition not met within the time limit: %s", condition)
		}
	}
}

// session is the connection of a caller.
type session struct {
	c          *qt.C
	conn       net.Conn
	r          *bufio.Reader
	statements int
	// greeting is the first line that the node sent.
	greeting string
}

func connect(c *qt.C, n *Node, database string) *session {
	return connectWithKey(c, n, database, "user")
}

func connectWithKey(c *qt.C, n *Node, database, key string) *session {
	conn, err := net.Dial("tcp", n.settings.Listen)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	s := &session{c: c, conn: conn, r: bufio.NewReader(conn)}
	_, err = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	c.Assert(err, qt.IsNil)
	s.greeting = s.line()
	return s
}

// lastID returns the id of the session's last statement.
func (s *session) lastID() string {
	return fmt.Sprintf("id%d-%s", s.statements, s.conn.LocalAddr())
}

func (s *session) line() string {
	l, err := s.r.ReadString('\n')
	s.c.Assert(err, qt.IsNil)
	return strings.TrimSuffix(l, "\r\n")
}

// run sends a statement and returns the rows of its answer, and an error code or else the transaction state after it.
func (s *session) run(text string) (rows []string, outcome string) {
	s.send(text)
	return s.answer()
}

func (s *session) send(text string) {
	s.statements++
	_, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", s.lastID(), text)
	s.c.Assert(err, qt.IsNil)
}

// answer returns the answer to the last statement, as run does.
func (s *session) answer() (rows []string, outcome string) {
	for {
		fs := strings.Fields(s.line())
		switch fs[0] {
		case "DATAROW":
			rows = append(rows, fs[1])
		case "ERROR":
			outcome = fs[1]
		case "READY":
			if outcome == "" {
				outcome = fs[1]
			}
			return rows, outcome
		}
	}
}

// runUntilAccepted repeats a statement while it is refused with a code that guarantees that nothing was committed.
func (s *session) runUntilAccepted(text string) (rows []string, outcome string) {
	for range 100 {
		rows, outcome = s.run(text)
		if outcome != "BUSY" && outcome != "ABORTED" && outcome != "READONLY" {
			return rows, outcome
		}
		time.Sleep(50 * time.Millisecond)
	}
	return rows, outcome
}

func assertAnswers(s *session, text string, rows []string, outcome string) {
	s.c.Helper()
	got, state := s.runUntilAccepted(text)
	s.c.Assert(state, qt.Equals, outcome, qt.Commentf("%s", text))
	s.c.Assert(got, qt.DeepEquals, rows, qt.Commentf("%s", text))
}

func assertNoViolations(c *qt.C, d *deployment) {
	c.Helper()
	c.Assert(d.platform.Violations(), qt.HasLen, 0)
}

// TestEndToEnd serves callers over real sockets, also across a change of primary.
func TestEndToEnd(t *testing.T) {
	t.Run("statements", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 2)
		s := connect(c, d.nodes[0], "ledger")
		c.Assert(s.greeting, qt.Equals, "READY I -")
		assertAnswers(s, "WRITE rent 7", nil, "I")
		assertAnswers(s, "READ rent", []string{"7"}, "I")
		assertAnswers(s, "SET v 1", nil, "I")
		assertAnswers(s, "PREPARE p READ q1", nil, "I")
		assertAnswers(s, "BEGIN", nil, "T")
		assertAnswers(s, "WRITE rent 8", nil, "T")
		assertAnswers(s, "READ rent", []string{"8"}, "T")
		assertAnswers(s, "COMMIT", nil, "I")
		assertAnswers(s, "BEGIN", nil, "T")
		assertAnswers(s, "WRITE rent 9", nil, "T")
		assertAnswers(s, "ROLLBACK", nil, "I")
		assertAnswers(connect(c, d.nodes[1], "ledger"), "READ rent", []string{"8"}, "I")
		assertAnswers(s, "NONSENSE", nil, "MALFORMED")
		assertAnswers(s, "EXECUTE missing 1", nil, "NOSTMT")
		assertNoViolations(c, d)
	})
	t.Run("read your writes", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.ChangeServer("books", 1, metadata.Lag(400*time.Millisecond))
		d.platform.ChangeServer("books", 2, metadata.Lag(400*time.Millisecond))
		s := connect(c, d.nodes[0], "tickets")
		for i := range 20 {
			assertAnswers(s, fmt.Sprintf("WRITE weight %d", i), nil, "I")
			assertAnswers(s, "READ weight", []string{fmt.Sprint(i)}, "I")
		}
	})
	t.Run("routes", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		c.Assert(connect(c, d.nodes[0], "nowhere").greeting, qt.Matches, "ERROR NODB .*")
		s := connect(c, d.nodes[0], "ledger")
		assertAnswers(s, "READ a", []string{"none"}, "I")
		d.platform.Put("op", "config", fmt.Appendf(nil, config, 9, `,{"Name":"r4","Host":"new","Kind":"primary","Service":"books"}`))
		waitUntil(c, "the new route is active", func() bool {
			_, err := d.nodes[0].routeFor("new", bundle.KeyDigest{})
			return err == nil
		})
		d.platform.Put("op", "config", []byte(`{"Version":10,"Routes":[],"Services":[]}`))
		waitUntil(c, "the routes are removed", func() bool {
			_, err := d.nodes[0].routeFor("ledger", bundle.KeyDigest{})
			return err != nil
		})
		_, outcome := s.run("READ a")
		c.Assert(outcome, qt.Equals, "NODB")
	})
	t.Run("unreadable server row is ignored", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.platform.Put("servers", "i-odd", []byte(`{"Service":7,"Addr":"nowhere"`))
		s := connect(c, d.nodes[0], "ledger")
		assertAnswers(s, "READ a", []string{"none"}, "I")
	})
	for _, k := range []struct {
		name   string
		change metadata.ServerChange
	}{
		{"primary crashes", metadata.Down(true)},
		{"primary is unreachable", metadata.Unresponsive(true)},
		{"primary is drained", metadata.Drain()},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			d := startDeployment(c, 3)
			s := connect(c, d.nodes[0], "ledger")
			assertAnswers(s, "WRITE before 1", nil, "I")
			d.platform.ChangeServer("books", 0, k.change)
			waitUntil(c, "another server is primary", func() bool {
				n, term := d.platform.Primary("books")
				return n > 0 && term > 1
			})
			for _, n := range d.nodes {
				waitUntil(c, "every node knows the new primary", func() bool { return n.view("books").Term > 1 })
			}
			o := connect(c, d.nodes[1], "ledger")
			assertAnswers(o, "WRITE after 2", nil, "I")
			assertAnswers(o, "READ before", []string{"1"}, "I")
			c.Assert(d.platform.Log("books"), qt.DeepEquals, []string{"before=1", "after=2"})
			assertNoViolations(c, d)
		})
	}
}

// TestStoreFaults checks that nodes keep serving while the store is unavailable, and apply its changes once it is available
// again.
func TestStoreFaults(t *testing.T) {
	for _, k := range []struct {
		name   string
		faults metadata.StoreFaults
	}{
		{"unavailable", metadata.StoreFaults{Status: http.StatusServiceUnavailable}},
		{"too many requests", metadata.StoreFaults{Status: http.StatusTooManyRequests}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			d := startDeployment(c, 1)
			d.platform.SetStoreFaults(k.faults)
			d.platform.DropHistory()
			s := connect(c, d.nodes[0], "ledger")
			assertAnswers(s, "WRITE a 1", nil, "I")
			d.platform.Put("op", "config", fmt.Appendf(nil, config, 5, `,{"Name":"r4","Host":"new","Kind":"primary","Service":"books"}`))
			d.platform.SetStoreFaults(metadata.StoreFaults{})
			waitUntil(c, "the change is active", func() bool {
				_, err := d.nodes[0].routeFor("new", bundle.KeyDigest{})
				return err == nil
			})
			assertAnswers(s, "READ a", []string{"1"}, "I")
		})
	}
	t.Run("lost answers", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 2)
		d.platform.SetStoreFaults(metadata.StoreFaults{LoseAnswers: true})
		d.platform.ChangeServer("books", 0, metadata.Down(true))
		time.Sleep(time.Second)
		d.platform.SetStoreFaults(metadata.StoreFaults{})
		assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 1", nil, "I")
		assertNoViolations(c, d)
	})
}

// TestFleetChanges checks that callers are served while nodes, configurations, addresses and connections change.
func TestFleetChanges(t *testing.T) {
	t.Run("all nodes are replaced at once", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 2)
		assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 1", nil, "I")
		old := d.nodes
		for _, n := range old {
			n.Stop()
		}
		d.nodes = nil
		for i := range 2 {
			d.startNode(c, fmt.Sprintf("new-%d", i+1), "a")
		}
		for _, n := range d.nodes {
			waitUntil(c, "new node is ready", n.Ready)
		}
		assertAnswers(connect(c, d.nodes[1], "ledger"), "READ a", []string{"1"}, "I")
	})
	t.Run("a node is added", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		d.startNode(c, "added", "a")
		for _, n := range d.nodes {
			waitUntil(c, "both nodes are members", func() bool { return len(n.Status().Members) == 2 })
		}
		d.awaitReady(c)
		assertAnswers(connect(c, d.nodes[1], "ledger"), "WRITE a 1", nil, "I")
	})
	t.Run("server row has the address of another service's server", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		c.Assert(d.platform.AddGroup("other", []string{"a", "b", "m"}, time.Millisecond), qt.IsNil)
		d.platform.ListWrongAddress("books", 1, "other", 1)
		s := connect(c, d.nodes[0], "board")
		for range 30 {
			assertAnswers(s, "READ a", []string{"none"}, "I")
		}
		c.Assert(d.platform.Reads("other"), qt.Equals, 0)
	})
	t.Run("burst of configurations", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		more := ""
		for i := range 350 {
			more += fmt.Sprintf(`,{"Name":"m%d","Host":"more%d","Kind":"primary","TimeoutMs":8000,"Service":"books"}`, i, i)
			if i%10 == 9 {
				d.platform.Put("op", "config", fmt.Appendf(nil, config, 10+i, more))
				assertAnswers(s, fmt.Sprintf("WRITE a %d", i), nil, "I")
			}
		}
		waitUntil(c, "the last configuration is active", func() bool {
			_, err := d.nodes[0].routeFor("more349", bundle.KeyDigest{})
			return err == nil
		})
		assertAnswers(connect(c, d.nodes[0], "more349"), "READ a", []string{"349"}, "I")
	})
	t.Run("connections to servers are reset", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		for i := range 10 {
			assertAnswers(s, fmt.Sprintf("WRITE a %d", i), nil, "I")
			for n := range 3 {
				d.platform.ChangeServer("books", n, metadata.CloseConnections())
			}
		}
		assertAnswers(s, "READ a", []string{"9"}, "I")
		assertNoViolations(c, d)
	})
}

// TestDrain checks that a draining node lets open transactions finish before it closes their sessions.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c, 1)
	n := d.nodes[0]
	s := connect(c, n, "ledger")
	assertAnswers(s, "BEGIN", nil, "T")
	drained := make(chan struct{})
	go func() {
		n.Drain()
		close(drained)
	}()
	waitUntil(c, "node is not ready", func() bool { return !n.Ready() })
	assertAnswers(s, "WRITE a 1", nil, "T")
	assertAnswers(s, "COMMIT", nil, "I")
	<-drained
	c.Assert(d.platform.Log("books"), qt.DeepEquals, []string{"a=1"})
}

// beginDrain begins to drain a node and returns a channel that is closed at its end.
func beginDrain(c *qt.C, n *Node) <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		n.Drain()
		close(drained)
	}()
	waitUntil(c, "node is not ready", func() bool { return !n.Ready() })
	return drained
}

// TestDrainAnswersAll guards against requests that a server runs and that a stopping node leaves without an answer (LOST,
// review/3).
func TestDrainAnswersAll(t *testing.T) {
	transactionsEnd := func(n *Node) time.Duration {
		return n.settings.Grace()/2 + 100*time.Millisecond
	}
	t.Run("a commit after half of the grace period", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		assertAnswers(s, "BEGIN", nil, "T")
		assertAnswers(s, "WRITE a 1", nil, "T")
		drained := beginDrain(c, d.nodes[0])
		time.Sleep(transactionsEnd(d.nodes[0]))
		_, outcome := s.run("COMMIT")
		c.Assert(outcome, qt.Equals, "ABORTED")
		<-drained
		c.Assert(d.platform.Log("books"), qt.HasLen, 0)
	})
	t.Run("a write that runs until the node stops", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		s := connect(c, d.nodes[0], "ledger")
		assertAnswers(s, "WRITE a 1", nil, "I")
		d.platform.ChangeServer("books", 0, metadata.Work(3*time.Second))
		s.send("WRITE b 2")
		waitUntil(c, "a server runs the write", func() bool { return slices.Contains(d.platform.Log("books"), "b=2") })
		drained := beginDrain(c, d.nodes[0])
		c.Assert(s.conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		_, outcome := s.answer()
		c.Assert(outcome, qt.Equals, "INDOUBT")
		<-drained
	})
	t.Run("a new session after half of the grace period", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 1)
		assertAnswers(connect(c, d.nodes[0], "ledger"), "BEGIN", nil, "T")
		drained := beginDrain(c, d.nodes[0])
		time.Sleep(transactionsEnd(d.nodes[0]))
		c.Assert(connect(c, d.nodes[0], "ledger").greeting, qt.Matches, "ERROR BUSY .*")
		<-drained
	})
	t.Run("a commit at another node after half of the grace period", func(t *testing.T) {
		c := qt.New(t)
		d := startScarceDeployment(c, 9)
		_, n := d.dispatcherAndPeer(c)
		s := connect(c, n, "ledger")
		assertAnswers(s, "BEGIN", nil, "T")
		assertAnswers(s, "WRITE a 1", nil, "T")
		drained := beginDrain(c, n)
		time.Sleep(transactionsEnd(n))
		_, outcome := s.run("COMMIT")
		c.Assert(outcome, qt.Equals, "ABORTED")
		<-drained
		c.Assert(d.platform.Log("books"), qt.HasLen, 0)
	})
}

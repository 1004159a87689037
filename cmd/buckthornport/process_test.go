package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"buckthornport.example/buckthornport/internal/proxy"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/group"
	"buckthornport.example/buckthornport/internal/standin/loopback"
	"buckthornport.example/buckthornport/internal/standin/platform"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// runAsProgramEnv is the environment variable that makes the test binary run the program.
const runAsProgramEnv = "BUCKTHORNPORT_TEST_AS_PROGRAM"

// TestMain runs the program instead of the tests if runAsProgramEnv is set. Tests start the program as separate processes this
// way.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// cluster is a deployment of separate processes: a platform, a database group and three proxies.
type cluster struct {
	dir      string
	proxies  []*exec.Cmd
	settings []settings.Proxy
	group    group.Settings
	platform string
	bundle   bundle.Bundle
}

func freeAddress(c *qt.C) string {
	c.Helper()
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func (cl *cluster) writeJSON(c *qt.C, name string, v any) string {
	c.Helper()
	body, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(cl.dir, name)
	c.Assert(os.WriteFile(file, body, 0o600), qt.IsNil)
	return file
}

// startProcess starts the program and waits until it listens on address. If the test fails, it logs the program's output.
func (cl *cluster) startProcess(c *qt.C, address string, args ...string) *exec.Cmd {
	c.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	log, err := os.Create(filepath.Join(cl.dir, strings.ReplaceAll(address, ":", "_")+".log"))
	c.Assert(err, qt.IsNil)
	cmd.Stderr = log
	c.Assert(cmd.Start(), qt.IsNil)
	c.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
	c.Cleanup(func() {
		if text, err := os.ReadFile(log.Name()); err == nil && c.Failed() {
			c.Logf("log of the process on %s: %s", address, text)
		}
	})
	waitUntil(c, "listening on "+address, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return cmd
}

func waitUntil(c *qt.C, what string, f func() bool) {
	c.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("timed out waiting for: %s", what)
}

func newCluster(c *qt.C) *cluster {
	c.Helper()
	cl := &cluster{dir: c.TempDir(), platform: freeAddress(c)}
	cl.startProcess(c, cl.platform, "standin", "platform", "--settings",
		cl.writeJSON(c, "platform.json", platform.Settings{Listen: cl.platform}))
	cl.group = group.Settings{
		Name: "ledger", Connections: 30, SlotsPerServer: 5, ConnectMS: 1, ReceiveMS: 1, LagMS: 20,
		Engine: group.EngineSQLite, Admin: freeAddress(c),
	}
	for i := range 3 {
		cl.group.Servers = append(cl.group.Servers, group.ServerSettings{Name: fmt.Sprintf("s%d", i), Address: freeAddress(c)})
	}
	cl.startProcess(c, cl.group.Servers[2].Address, "standin", "group", "--settings", cl.writeJSON(c, "group.json", cl.group))
	cl.makeBundle(c)
	for i := range 3 {
		p := settings.Proxy{
			Node: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i), Listen: freeAddress(c), Status: freeAddress(c), Peer: freeAddress(c),
			Platform: cl.platform, BundleFile: cl.writeJSON(c, "bundle.json", cl.bundle), UpstreamUser: "app",
			TokenKey: base64.StdEncoding.EncodeToString([]byte("0123456789abcdef")),
			Policy:   "ours", LogLevel: "info", DrainMS: 8000,
		}
		for _, o := range cl.settings {
			p.Peers = append(p.Peers, settings.Peer{Name: o.Node, Zone: o.Zone, Address: o.Peer})
		}
		cl.settings = append(cl.settings, p)
		cl.proxies = append(cl.proxies, cl.startProxy(c, i))
	}
	return cl
}

func (cl *cluster) startProxy(c *qt.C, i int) *exec.Cmd {
	c.Helper()
	return cl.startProcess(c, cl.settings[i].Listen, "proxy", "--settings",
		cl.writeJSON(c, cl.settings[i].Node+".json", cl.settings[i]))
}

// makeBundle creates two signing keys and a bundle that requires both.
func (cl *cluster) makeBundle(c *qt.C) {
	c.Helper()
	var keys []bundle.Key
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleKeyCommand{Name: k, Out: filepath.Join(cl.dir, k+".key")}.Run(), qt.IsNil)
		keys = append(keys, bundle.Key{Name: k, Public: readPublicKey(c, filepath.Join(cl.dir, k+".key"))})
	}
	cl.bundle = bundle.Bundle{
		Deployment: "test", Version: 1, Keys: keys, SignaturesNeeded: 2,
		Callers: []bundle.Caller{{User: "demo", Databases: []string{"ledger"}}},
	}
	g := bundle.Group{Name: "ledger", Connections: 30, SlotsPerServer: 5, Classes: []bundle.Class{{
		Name: "ticket", Match: bundle.Match{Verbs: []string{"insert"}, Tables: []string{"tickets"}}, NotRepeatable: true,
	}}}
	for i, v := range cl.group.Servers {
		zone := fmt.Sprintf("z%d", i)
		cl.bundle.Zones = append(cl.bundle.Zones, bundle.Zone{Name: zone, Region: "r"})
		g.Servers = append(g.Servers, bundle.Server{Name: v.Name, Zone: zone, Address: v.Address})
	}
	cl.bundle = cl.bundle.WithGroup(g)
}

func (cl *cluster) connect(i int) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(cl.settings[i].Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	return pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=demo dbname=ledger sslmode=disable", host, port))
}

func (cl *cluster) openSession(c *qt.C, i int) *pgx.Conn {
	c.Helper()
	conn, err := cl.connect(i)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func mustExec(c *qt.C, conn *pgx.Conn, sql string) {
	c.Helper()
	_, err := conn.Exec(context.Background(), sql)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", sql))
}

// insertWithRetry repeats a statement while the answer says that it did not run. Any other error fails the test.
func insertWithRetry(c *qt.C, conn *pgx.Conn, sql string) {
	c.Helper()
	for {
		_, err := conn.Exec(context.Background(), sql)
		if err == nil {
			return
		}
		c.Assert(err, qt.ErrorMatches, "ERROR: not run: .*")
	}
}

func countTickets(c *qt.C, conn *pgx.Conn, where string) int {
	c.Helper()
	var n int
	c.Assert(conn.QueryRow(context.Background(), "select count(*) from tickets where "+where).Scan(&n), qt.IsNil)
	return n
}

func (cl *cluster) status(i int) (proxy.Status, error) {
	var st proxy.Status
	body, err := fetch(context.Background(), cl.settings[i].Status, "/status")
	if err != nil {
		return st, err
	}
	return st, json.Unmarshal(body, &st)
}

func (cl *cluster) postAdmin(c *qt.C, path string) {
	c.Helper()
	resp, err := http.Post("http://"+cl.group.Admin+path, "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
}

// TestProcesses covers what needs separate processes: signals, killed and frozen proxies, and rolls through the platform. All
// subtests use one cluster.
func TestProcesses(t *testing.T) {
	c := qt.New(t)
	parent := c
	cl := newCluster(c)
	mustExec(c, cl.openSession(c, 0), "create table tickets (id integer primary key, what text)")

	t.Run("a rolled bundle takes effect on every node and cannot be replaced by an older one", func(t *testing.T) {
		c := qt.New(t)
		cl.roll(c, cl.bundle.WithVersion(2))
		for i := range cl.proxies {
			waitUntil(c, "version 2 on node "+cl.settings[i].Node, func() bool {
				st, err := cl.status(i)
				return err == nil && st.BundleVersion == 2
			})
		}
		err := cl.tryRoll(c, cl.bundle.WithVersion(1))
		c.Assert(err, qt.ErrorMatches, ".*version 2 is in force")
	})
	t.Run("SIGKILL of a proxy during a transaction leaves no partial write", func(t *testing.T) {
		c := qt.New(t)
		conn := cl.openSession(c, 1)
		tx, err := conn.Begin(context.Background())
		c.Assert(err, qt.IsNil)
		_, err = tx.Exec(context.Background(), "insert into tickets values (100, 'half')")
		c.Assert(err, qt.IsNil)
		c.Assert(cl.proxies[1].Process.Kill(), qt.IsNil)
		c.Assert(tx.Commit(context.Background()), qt.IsNotNil)
		other := cl.openSession(c, 0)
		mustExec(c, other, "insert into tickets values (101, 'whole')")
		c.Assert(countTickets(c, other, "id = 100"), qt.Equals, 0)
		c.Assert(countTickets(c, other, "id = 101"), qt.Equals, 1)
		cl.proxies[1] = cl.startProxy(parent, 1)
	})
	t.Run("a frozen node that resumes after a failover loses no writes", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(cl.proxies[2].Process.Signal(syscall.SIGSTOP), qt.IsNil)
		cl.postAdmin(c, "/servers/s0/kill")
		other := cl.openSession(c, 0)
		mustExec(c, other, "insert into tickets values (200, 'after')")
		cl.postAdmin(c, "/servers/s0/revive")
		c.Assert(cl.proxies[2].Process.Signal(syscall.SIGCONT), qt.IsNil)
		resumed := cl.openSession(c, 2)
		mustExec(c, resumed, "insert into tickets values (201, 'woken')")
		c.Assert(countTickets(c, resumed, "id in (200, 201)"), qt.Equals, 2)
	})
	t.Run("a primary partitioned from its group loses no acknowledged write", func(t *testing.T) {
		c := qt.New(t)
		conn := cl.openSession(c, 0)
		oldPrimary := cl.primaryName(c)
		for _, o := range cl.group.Servers {
			if o.Name != oldPrimary {
				cl.postAdmin(c, "/links/"+oldPrimary+"/"+o.Name+"/cut")
			}
		}
		insertWithRetry(c, conn, "insert into tickets values (300, 'cut')")
		c.Assert(cl.primaryName(c), qt.Not(qt.Equals), oldPrimary)
		for _, o := range cl.group.Servers {
			if o.Name != oldPrimary {
				cl.postAdmin(c, "/links/"+oldPrimary+"/"+o.Name+"/join")
			}
		}
		c.Assert(countTickets(c, cl.openSession(c, 1), "id = 300"), qt.Equals, 1)
	})
	t.Run("SIGHUP drops no connection", func(t *testing.T) {
		c := qt.New(t)
		conn := cl.openSession(c, 0)
		c.Assert(cl.proxies[0].Process.Signal(syscall.SIGHUP), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		mustExec(c, conn, "insert into tickets values (400, 'reloaded')")
	})
	t.Run("SIGTERM under load interrupts no request", func(t *testing.T) {
		c := qt.New(t)
		cl.drainUnderLoad(c, 1)
	})
}

// primaryName returns the server that the stand-in reports as primary in the highest term.
func (cl *cluster) primaryName(c *qt.C) string {
	c.Helper()
	body, err := fetch(context.Background(), cl.group.Admin, "/report")
	c.Assert(err, qt.IsNil)
	var r group.Report
	c.Assert(json.Unmarshal(body, &r), qt.IsNil)
	best := r.Servers[0]
	for _, v := range r.Servers {
		if v.Status.Role == "primary" && (best.Status.Role != "primary" || v.Status.Term > best.Status.Term) {
			best = v
		}
	}
	return best.Name
}

func (cl *cluster) roll(c *qt.C, b bundle.Bundle) {
	c.Helper()
	c.Assert(cl.tryRoll(c, b), qt.IsNil)
}

func (cl *cluster) tryRoll(c *qt.C, b bundle.Bundle) error {
	c.Helper()
	file := cl.writeJSON(c, "roll.json", b)
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleSignCommand{File: file, Name: k, Key: filepath.Join(cl.dir, k+".key"), Out: file}.Run(), qt.IsNil)
	}
	roll := bundleRollCommand{storeFlags: storeFlags{Platform: cl.platform, Deployment: "test"}, File: file, Expect: -1}
	return roll.Run(&environment{ctx: context.Background()})
}

// drainUnderLoad sends requests through a proxy while a SIGTERM drains it. Requests may fail only because the connection was
// closed, and the proxy must exit without an error, as it does only if no caller was left at the end of the drain.
func (cl *cluster) drainUnderLoad(c *qt.C, i int) {
	c.Helper()
	const callers = 4
	failures := make(chan error, callers)
	for k := range callers {
		conn := cl.openSession(c, i)
		go func() {
			for n := 0; ; n++ {
				_, err := conn.Exec(context.Background(), "insert into tickets values (null, $1)", fmt.Sprint(k, "-", n))
				if err != nil {
					failures <- err
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	c.Assert(cl.proxies[i].Process.Signal(syscall.SIGTERM), qt.IsNil)
	for range callers {
		c.Check(<-failures, qt.ErrorMatches, ".*(57P01|conn closed|connection reset|broken pipe|unexpected EOF).*")
	}
	c.Check(cl.proxies[i].Wait(), qt.IsNil)
}

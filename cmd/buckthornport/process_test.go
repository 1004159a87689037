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

const runAsProgramEnv = "BUCKTHORNPORT_TEST_AS_PROGRAM"

// TestMain lets the test binary stand in for the program, so that tests can run it as processes of their own.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// cluster is a deployment of processes: a platform, a group and three proxies.
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

func (s *cluster) writeJSON(c *qt.C, name string, v any) string {
	c.Helper()
	body, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(s.dir, name)
	c.Assert(os.WriteFile(file, body, 0o600), qt.IsNil)
	return file
}

// startProcess runs the program with arguments and waits until it says that it is ready.
func (s *cluster) startProcess(c *qt.C, address string, args ...string) *exec.Cmd {
	c.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	log, err := os.Create(filepath.Join(s.dir, strings.ReplaceAll(address, ":", "_")+".log"))
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
			c.Logf("%s said: %s", address, text)
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
	c.Fatalf("never happened: %s", what)
}

func newCluster(c *qt.C) *cluster {
	c.Helper()
	s := &cluster{dir: c.TempDir(), platform: freeAddress(c)}
	s.startProcess(c, s.platform, "standin", "platform", "--settings",
		s.writeJSON(c, "platform.json", platform.Settings{Listen: s.platform}))
	s.group = group.Settings{
		Name: "ledger", Connections: 30, SlotsPerServer: 5, ConnectMS: 1, ReceiveMS: 1, LagMS: 20,
		Engine: group.EngineSQLite, Admin: freeAddress(c),
	}
	for i := range 3 {
		s.group.Servers = append(s.group.Servers, group.ServerSettings{Name: fmt.Sprintf("s%d", i), Address: freeAddress(c)})
	}
	s.startProcess(c, s.group.Servers[2].Address, "standin", "group", "--settings", s.writeJSON(c, "group.json", s.group))
	s.makeBundle(c)
	for i := range 3 {
		p := settings.Proxy{
			Node: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i), Listen: freeAddress(c), Status: freeAddress(c), Peer: freeAddress(c),
			Platform: s.platform, BundleFile: s.writeJSON(c, "bundle.json", s.bundle), UpstreamUser: "app",
			TokenKey: base64.StdEncoding.EncodeToString([]byte("0123456789abcdef")),
			Policy:   "ours", LogLevel: "info", DrainMS: 8000,
		}
		for _, o := range s.settings {
			p.Peers = append(p.Peers, settings.Peer{Name: o.Node, Zone: o.Zone, Address: o.Peer})
		}
		s.settings = append(s.settings, p)
		s.proxies = append(s.proxies, s.startProxy(c, i))
	}
	return s
}

func (s *cluster) startProxy(c *qt.C, i int) *exec.Cmd {
	c.Helper()
	return s.startProcess(c, s.settings[i].Listen, "proxy", "--settings", s.writeJSON(c, s.settings[i].Node+".json", s.settings[i]))
}

func (s *cluster) makeBundle(c *qt.C) {
	c.Helper()
	var keys []bundle.Key
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleKeyCommand{Name: k, Out: filepath.Join(s.dir, k+".key")}.Run(), qt.IsNil)
		keys = append(keys, bundle.Key{Name: k, Public: readPublicKey(c, filepath.Join(s.dir, k+".key"))})
	}
	s.bundle = bundle.Bundle{
		Deployment: "test", Version: 1, Keys: keys, SignaturesNeeded: 2,
		Callers: []bundle.Caller{{User: "demo", Databases: []string{"ledger"}}},
	}
	g := bundle.Group{Name: "ledger", Connections: 30, SlotsPerServer: 5, Classes: []bundle.Class{{
		Name: "ticket", Match: bundle.Match{Verbs: []string{"insert"}, Tables: []string{"tickets"}}, NotRepeatable: true,
	}}}
	for i, v := range s.group.Servers {
		zone := fmt.Sprintf("z%d", i)
		s.bundle.Zones = append(s.bundle.Zones, bundle.Zone{Name: zone, Region: "r"})
		g.Servers = append(g.Servers, bundle.Server{Name: v.Name, Zone: zone, Address: v.Address})
	}
	s.bundle = s.bundle.WithGroup(g)
}

func (s *cluster) connect(i int) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(s.settings[i].Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	return pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=demo dbname=ledger sslmode=disable", host, port))
}

func (s *cluster) openSession(c *qt.C, i int) *pgx.Conn {
	c.Helper()
	conn, err := s.connect(i)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func mustExec(c *qt.C, conn *pgx.Conn, sql string) {
	c.Helper()
	_, err := conn.Exec(context.Background(), sql)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", sql))
}

// insertWithRetry asks again for as long as the answer says that the request did not run.
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

func (s *cluster) status(i int) (proxy.Status, error) {
	var st proxy.Status
	body, err := fetch(context.Background(), s.settings[i].Status, "/status")
	if err != nil {
		return st, err
	}
	return st, json.Unmarshal(body, &st)
}

func (s *cluster) postAdmin(c *qt.C, path string) {
	c.Helper()
	resp, err := http.Post("http://"+s.group.Admin+path, "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
}

// TestProcesses runs one site through what can only be shown with processes of their own.
func TestProcesses(t *testing.T) {
	c := qt.New(t)
	site := c
	s := newCluster(c)
	mustExec(c, s.openSession(c, 0), "create table tickets (id integer primary key, what text)")

	t.Run("a bundle is in force on every node, and an older one never comes back", func(t *testing.T) {
		c := qt.New(t)
		s.roll(c, s.bundle.WithVersion(2))
		for i := range s.proxies {
			waitUntil(c, "version 2 on node "+s.settings[i].Node, func() bool {
				st, err := s.status(i)
				return err == nil && st.BundleVersion == 2
			})
		}
		err := s.tryRoll(c, s.bundle.WithVersion(1))
		c.Assert(err, qt.ErrorMatches, ".*version 2 is already active")
	})
	t.Run("SIGKILL of a proxy in mid-transaction leaves nothing behind", func(t *testing.T) {
		c := qt.New(t)
		conn := s.openSession(c, 1)
		tx, err := conn.Begin(context.Background())
		c.Assert(err, qt.IsNil)
		_, err = tx.Exec(context.Background(), "insert into tickets values (100, 'half')")
		c.Assert(err, qt.IsNil)
		c.Assert(s.proxies[1].Process.Kill(), qt.IsNil)
		c.Assert(tx.Commit(context.Background()), qt.IsNotNil)
		other := s.openSession(c, 0)
		mustExec(c, other, "insert into tickets values (101, 'whole')")
		c.Assert(countTickets(c, other, "id = 100"), qt.Equals, 0)
		c.Assert(countTickets(c, other, "id = 101"), qt.Equals, 1)
		s.proxies[1] = s.startProxy(site, 1)
	})
	t.Run("a frozen node that wakes up after a failover harms nothing", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(s.proxies[2].Process.Signal(syscall.SIGSTOP), qt.IsNil)
		s.postAdmin(c, "/servers/s0/kill")
		other := s.openSession(c, 0)
		mustExec(c, other, "insert into tickets values (200, 'after')")
		s.postAdmin(c, "/servers/s0/revive")
		c.Assert(s.proxies[2].Process.Signal(syscall.SIGCONT), qt.IsNil)
		woken := s.openSession(c, 2)
		mustExec(c, woken, "insert into tickets values (201, 'woken')")
		c.Assert(countTickets(c, woken, "id in (200, 201)"), qt.Equals, 2)
	})
	t.Run("a primary cut off from its group loses no acknowledged work", func(t *testing.T) {
		c := qt.New(t)
		conn := s.openSession(c, 0)
		leader := s.primaryName(c)
		for _, o := range s.group.Servers {
			if o.Name != leader {
				s.postAdmin(c, "/links/"+leader+"/"+o.Name+"/cut")
			}
		}
		insertWithRetry(c, conn, "insert into tickets values (300, 'cut')")
		c.Assert(s.primaryName(c), qt.Not(qt.Equals), leader)
		for _, o := range s.group.Servers {
			if o.Name != leader {
				s.postAdmin(c, "/links/"+leader+"/"+o.Name+"/join")
			}
		}
		c.Assert(countTickets(c, s.openSession(c, 1), "id = 300"), qt.Equals, 1)
	})
	t.Run("SIGTERM under load cuts off no request", func(t *testing.T) {
		c := qt.New(t)
		s.drainUnderLoad(c, 1)
	})
}

// primaryName asks the stand-in who leads the highest term.
func (s *cluster) primaryName(c *qt.C) string {
	c.Helper()
	body, err := fetch(context.Background(), s.group.Admin, "/report")
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

func (s *cluster) roll(c *qt.C, b bundle.Bundle) {
	c.Helper()
	c.Assert(s.tryRoll(c, b), qt.IsNil)
}

func (s *cluster) tryRoll(c *qt.C, b bundle.Bundle) error {
	c.Helper()
	file := s.writeJSON(c, "roll.json", b)
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleSignCommand{File: file, Name: k, Key: filepath.Join(s.dir, k+".key"), Out: file}.Run(), qt.IsNil)
	}
	roll := bundleRollCommand{storeFlags: storeFlags{Platform: s.platform, Deployment: "test"}, File: file, Expect: -1}
	return roll.Run(&environment{ctx: context.Background()})
}

// drainUnderLoad has callers work through a proxy while it is told to leave; every request that was begun is answered.
func (s *cluster) drainUnderLoad(c *qt.C, i int) {
	c.Helper()
	const callers = 4
	broken := make(chan error, callers)
	for k := range callers {
		conn := s.openSession(c, i)
		go func() {
			for n := 0; ; n++ {
				_, err := conn.Exec(context.Background(), "insert into tickets values (null, $1)", fmt.Sprint(k, "-", n))
				if err != nil {
					broken <- err
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	c.Assert(s.proxies[i].Process.Signal(syscall.SIGTERM), qt.IsNil)
	for range callers {
		c.Check(<-broken, qt.ErrorMatches, ".*(57P01|conn closed|connection reset|broken pipe|unexpected EOF).*")
	}
	c.Check(s.proxies[i].Wait(), qt.IsNil)
}

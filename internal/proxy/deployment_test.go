package proxy_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"buckthornport.example/buckthornport/internal/proxy"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/group"
	"buckthornport.example/buckthornport/internal/standin/loopback"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// deployment is a group and two proxies that run in this process and listen on free ports.
type deployment struct {
	group    *group.Group
	settings group.Settings
	nodes    []*proxy.Node
	listen   []string
	status   []string
	stopped  []chan error
	peers    []string
}

// drainMS is the drain time of the nodes.
const drainMS = 5000

func freeAddress(c *qt.C) string {
	c.Helper()
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

// change returns a changed bundle for a deployment.
type change func(b bundle.Bundle) bundle.Bundle

// startDeployment starts a group of three servers and two proxies, and stops them when the test ends.
func startDeployment(c *qt.C, change change) *deployment {
	c.Helper()
	s := group.Settings{
		Name: "ledger", Connections: 30, SlotsPerServer: 5, ConnectMS: 1, ReceiveMS: 1, LagMS: 20, Engine: group.EngineSQLite,
	}
	for i := range 3 {
		s.Servers = append(s.Servers, group.ServerSettings{Name: fmt.Sprintf("s%d", i), Address: freeAddress(c)})
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &deployment{settings: s, peers: []string{freeAddress(c), freeAddress(c)}}
	var err error
	d.group, err = group.New(ctx, s)
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- d.group.Run(ctx) }()
	for i := range 2 {
		d.startNode(c, i, change(d.bundle()))
	}
	c.Cleanup(func() {
		for i, n := range d.nodes {
			n.Stop()
			c.Check(<-d.stopped[i], qt.IsNil)
		}
		stop()
		c.Check(<-done, qt.ErrorIs, context.Canceled)
	})
	return d
}

func (d *deployment) startNode(c *qt.C, i int, b bundle.Bundle) {
	c.Helper()
	s := settings.Proxy{
		Node: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i), Listen: freeAddress(c), Status: freeAddress(c),
		TokenKey: base64.StdEncoding.EncodeToString([]byte("0123456789abcdef")), UpstreamUser: "app", DrainMS: drainMS,
	}
	s.Peer = d.peers[i]
	for k, a := range d.peers {
		if k != i {
			s.Peers = append(s.Peers, settings.Peer{Name: fmt.Sprintf("n%d", k), Zone: fmt.Sprintf("z%d", k), Address: a})
		}
	}
	n, err := proxy.New(context.Background(), s, b)
	c.Assert(err, qt.IsNil)
	d.nodes = append(d.nodes, n)
	d.listen = append(d.listen, s.Listen)
	d.status = append(d.status, s.Status)
	stopped := make(chan error, 1)
	d.stopped = append(d.stopped, stopped)
	go func() { stopped <- n.Run() }()
	select {
	case <-n.Ready():
	case err := <-stopped:
		c.Fatalf("node %d did not start: %v", i, err)
	}
}

func (d *deployment) bundle() bundle.Bundle {
	b := bundle.Bundle{Deployment: "test", Version: 1, Callers: []bundle.Caller{
		{User: "demo", Databases: []string{"ledger"}},
		{User: "locked", Databases: []string{"ledger"}, Secret: lockedVerifier},
	}}
	g := bundle.Group{Name: "ledger", Connections: 30, SlotsPerServer: 5, Classes: []bundle.Class{
		{
			Name: "ticket", Match: bundle.Match{Verbs: []string{"insert", "update"}, Tables: []string{"tickets"}},
			NotRepeatable: true,
		},
		{Name: "board", Match: bundle.Match{Verbs: []string{"select"}, Tables: []string{"tickets"}}, MaxAgeMS: 2000},
	}}
	for i, s := range d.settings.Servers {
		g.Servers = append(g.Servers, bundle.Server{Name: s.Name, Zone: fmt.Sprintf("z%d", i), Address: s.Address})
	}
	return b.WithGroup(g)
}

func unchanged(b bundle.Bundle) bundle.Bundle { return b }

// connect opens a session through the proxy with the given index.
func (d *deployment) connect(c *qt.C, i int, options string) *pgx.Conn {
	c.Helper()
	conn, err := d.tryConnect(i, "demo", "ledger", options)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (d *deployment) tryConnect(i int, user, database, options string) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(d.listen[i])
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	return pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable %s", host, port, user, database, options))
}

func exec(c *qt.C, conn *pgx.Conn, sql string, args ...any) string {
	c.Helper()
	tag, err := conn.Exec(context.Background(), sql, args...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", sql))
	return tag.String()
}

// queryValue returns the single value of a query's result.
func queryValue[T any](c *qt.C, conn *pgx.Conn, sql string, args ...any) T {
	c.Helper()
	var v T
	c.Assert(conn.QueryRow(context.Background(), sql, args...).Scan(&v), qt.IsNil, qt.Commentf("%s", sql))
	return v
}

// assertSQLState checks that err is a PostgreSQL error with the given SQLSTATE.
func assertSQLState(c *qt.C, err error, state string) {
	c.Helper()
	var pe *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pe)
	c.Assert(pe.Code, qt.Equals, state, qt.Commentf("%s", pe.Message))
}

// assertNoViolations checks that no node violated an invariant, no server exceeded its slots and no replica failed to apply a
// change.
func assertNoViolations(c *qt.C, d *deployment) {
	c.Helper()
	for _, n := range d.nodes {
		for _, l := range n.Status().Lanes {
			c.Check(l.Stats.Violations, qt.Equals, uint64(0))
		}
	}
	for _, s := range d.group.Report().Servers {
		c.Check(s.SlotsExceeded, qt.Equals, int64(0), qt.Commentf("slots of %s", s.Name))
		c.Check(s.ApplyErrors, qt.Equals, 0, qt.Commentf("apply errors of %s", s.Name))
	}
}

// waitUntil waits until a condition holds. It fails the test after about 10 s.
func waitUntil(c *qt.C, condition string, f func() bool) {
	c.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("condition not reached in time: %s", condition)
}

func run(t *testing.T, name string, f func(c *qt.C)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { f(qt.New(t)) })
}

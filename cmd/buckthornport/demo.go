package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/proxy"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/group"
	"buckthornport.example/buckthornport/internal/standin/platform"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const (
	readHeaderTimeout = 5 * time.Second
	// demoDrainMS is the time in milliseconds that the demo's proxies wait for callers to finish.
	demoDrainMS = 3000
	// progressInterval is the minimum time between updates of the load command's progress bar.
	progressInterval = 500 * time.Millisecond
)

type demoCommand struct {
	Listen    string `default:"127.0.0.1:6432" help:"Address of the first proxy; the second takes the next port."`
	Status    string `default:"127.0.0.1:6480" help:"Status address of the first proxy; the second takes the next port."`
	Group     string `default:"127.0.0.1:7001" help:"Address of the first database server; the others take the next ports."`
	Admin     string `default:"127.0.0.1:7010" help:"Address of the group's admin interface, which makes servers fail."`
	Platform  string `default:"127.0.0.1:7020" help:"Address of the platform stand-in."`
	Peer      string `default:"127.0.0.1:7030" help:"Peer address of the first proxy; the second takes the next port."`
	Policy    string `enum:"ours,fifo" default:"ours" help:"Scheduling policy of the proxies: ours or fifo."`
	Engine    string `enum:"sqlite,null" default:"sqlite" help:"Storage engine of the servers: sqlite, or null to run no statements."`
	LagMS     int    `default:"50" help:"Replication lag in milliseconds."`
	ServiceUS int    `name:"service" default:"0" help:"Time in microseconds that every statement holds its slot beyond its run time."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged."`
	Lines     bool   `help:"Run on a stand-in of the users' platform, with its line protocol."`
}

// Run starts a database group, a platform and two proxies, and prints commands to try.
func (c demoCommand) Run(env *environment) error {
	log, _, err := newLogger(c.LogLevel)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Lines {
		return c.runLines(env, log)
	}
	d, err := c.newDeployment(log)
	if err != nil {
		return trace.Wrap(err)
	}
	var rg run.Group
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	addActor(&rg, ctx, d.group.Run)
	addHTTPServer(&rg, c.Admin, d.group.Handler())
	addHTTPServer(&rg, c.Platform, d.platform.Handler())
	for _, n := range d.nodes {
		rg.Add(n.Run, func(error) { n.Stop() })
	}
	rg.Add(func() error { return d.drainOnSignal(env, stop) }, func(error) { stop() })
	go d.printWhenReady(ctx, c, log)
	if err := rg.Run(); !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}

// deployment holds the parts of the demo, which all run in this process.
type deployment struct {
	group    *group.Group
	platform *platform.Platform
	nodes    []*proxy.Node
}

// newDeployment creates the group, the platform and the proxies without running them.
func (c demoCommand) newDeployment(log *zap.Logger) (*deployment, error) {
	gs, err := c.groupSettings()
	if err != nil {
		return nil, err
	}
	d := &deployment{platform: platform.New(platform.Settings{Listen: c.Platform})}
	if d.group, err = group.New(context.Background(), gs); err != nil {
		return nil, err
	}
	var key [32]byte
	if _, err := rand.Read(key[:]); err != nil {
		return nil, err
	}
	for i, name := range demoNodes {
		s := settings.Proxy{
			Node: name, Zone: demoZones[i], UpstreamUser: "buckthornport", DrainMS: demoDrainMS, Policy: c.Policy,
			TokenKey: base64.StdEncoding.EncodeToString(key[:]), Platform: c.Platform,
		}
		if s.Listen, err = offsetPort(c.Listen, i); err != nil {
			return nil, err
		}
		if s.Status, err = offsetPort(c.Status, i); err != nil {
			return nil, err
		}
		if s.Peer, err = offsetPort(c.Peer, i); err != nil {
			return nil, err
		}
		peer, err := offsetPort(c.Peer, 1-i)
		if err != nil {
			return nil, err
		}
		s.Peers = []settings.Peer{{Name: demoNodes[1-i], Zone: demoZones[1-i], Address: peer}}
		n, err := proxy.New(context.Background(), s, demoBundle(gs),
			proxy.WithLogger(log.With(zap.String("node", name)), zap.NewAtomicLevel()))
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, n)
	}
	return d, nil
}

var (
	demoNodes = []string{"proxy-a", "proxy-b"}
	demoZones = []string{"nairobi-a", "nairobi-b", "mombasa"}
)

func (c demoCommand) groupSettings() (group.Settings, error) {
	s := group.Settings{
		Name: "ledger", Connections: 30, SlotsPerServer: 5, ConnectMS: 10, ReceiveMS: 1, LagMS: c.LagMS, Engine: c.Engine,
		ServiceUS: c.ServiceUS,
	}
	for i := range demoZones {
		a, err := offsetPort(c.Group, i)
		if err != nil {
			return s, err
		}
		s.Servers = append(s.Servers, group.ServerSettings{Name: fmt.Sprintf("ledger-%d", i+1), Address: a})
	}
	return s, nil
}

// demoBundle returns a bundle for one group. The user demo connects without a password, and there is one class each for
// affirmations, blotters and reconciliation.
func demoBundle(s group.Settings) bundle.Bundle {
	g := bundle.Group{Name: s.Name, Connections: s.Connections, SlotsPerServer: s.SlotsPerServer, Classes: []bundle.Class{
		{Name: "affirmation", Match: matchTable("affirmations", "insert", "update"), NotRepeatable: true, DeadlineMS: 3000},
		{Name: "blotter", Match: matchTable("affirmations", "select"), MaxAgeMS: 2000, DeadlineMS: 1500},
		{Name: "reconciliation", Match: matchTable("positions", "select"), Long: true, DeadlineMS: 60_000},
	}}
	b := bundle.Bundle{Deployment: "demo", Version: 1, Callers: []bundle.Caller{{User: "demo", Databases: []string{s.Name}}}}
	for i, v := range s.Servers {
		b.Zones = append(b.Zones, bundle.Zone{Name: demoZones[i], Region: demoZones[i]})
		g.Servers = append(g.Servers, bundle.Server{Name: v.Name, Zone: demoZones[i], Address: v.Address})
	}
	return b.WithGroup(g)
}

// matchTable matches statements with one of the verbs on a table.
func matchTable(table string, verbs ...string) bundle.Match {
	return bundle.Match{Verbs: verbs, Tables: []string{table}}
}

// offsetPort returns the address with its port increased by n.
func offsetPort(address string, n int) (string, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+uint16(n)).String(), nil
}

// drainOnSignal waits for a signal and drains both proxies. A second signal stops the demo immediately.
func (d *deployment) drainOnSignal(env *environment, stop context.CancelFunc) error {
	<-env.ctx.Done()
	go func() {
		<-env.forceStop
		stop()
	}()
	for _, n := range d.nodes {
		n.Drain()
	}
	stop()
	return context.Canceled
}

// printWhenReady waits until all proxies are ready, then prints the addresses and the commands to try.
func (d *deployment) printWhenReady(ctx context.Context, c demoCommand, log *zap.Logger) {
	for _, n := range d.nodes {
		select {
		case <-n.Ready():
		case <-ctx.Done():
			return
		}
	}
	host, port, _ := net.SplitHostPort(c.Listen)
	second, _ := offsetPort(c.Listen, 1)
	fmt.Printf(demoHelp, c.Listen, second, c.Status, c.Admin, host, port, c.Admin, c.Status)
	log.Info("ready", zap.String("what", "demo"), zap.String("listen", c.Listen))
}

const demoHelp = `buckthornport demo
  proxies   %s and %s
  status    http://%s/status
  servers   http://%s/report

Try:
  psql "host=%s port=%s user=demo dbname=ledger sslmode=disable"
  create table affirmations (id integer primary key, trade text);
  insert into affirmations values (1, 'irs-7');

Then make the primary fail, query the other proxy and read the audit trail:
  curl -X POST http://%s/servers/ledger-1/kill
  curl http://%s/audit
Ctrl-C drains the proxies and stops the demo.
`

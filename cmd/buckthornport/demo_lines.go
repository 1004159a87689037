package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/fleet"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/metadata"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// demoConfig is the platform's configuration. It routes three databases to the demo's only group.
const demoConfig = `{"Version": 1, "Routes": [
  {"Name": "ledger", "Host": "ledger", "Kind": "primary", "TimeoutMs": 3000, "TargetLatencyMs": 400, "Service": "books"},
  {"Name": "board", "Host": "board", "Kind": "bounded_staleness", "TimeoutMs": 3000, "Service": "books", "MaxStalenessMs": 1500},
  {"Name": "tickets", "Host": "tickets", "Kind": "read_your_writes", "Service": "books", "MaxStalenessMs": 2500}],
 "Services": [{"Name": "books", "MaxConns": 33, "SyncReplicas": 1}], "Limits": {"TxIdleMs": 3000}}`

// demoPromotionTime is the delay after which the platform carries out a promotion order.
const demoPromotionTime = 600 * time.Millisecond

// runLines runs the demo with proxies for the users' platform, which serve its line protocol.
func (c demoCommand) runLines(env *environment, log *zap.Logger) error {
	p := metadata.New()
	if err := p.AddGroup("books", []string{"nairobi-a", "nairobi-b", "mombasa"}, demoPromotionTime); err != nil {
		return trace.Wrap(err)
	}
	p.Put("op", "config", []byte(demoConfig))
	var rg run.Group
	ctx, stop := context.WithCancel(env.ctx)
	defer stop()
	addActor(&rg, ctx, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	addHTTPServer(&rg, c.Platform, p.Handler())
	addHTTPServer(&rg, c.Admin, p.AdminHandler("books"))
	for i, name := range demoNodes {
		n, err := c.newLinesNode(i, name, log)
		if err != nil {
			return trace.Wrap(err)
		}
		rg.Add(n.Run, func(error) { n.Stop() })
	}
	second, err := offsetPort(c.Listen, 1)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Printf(`Two proxies serve the line protocol at %s and %s.
Try it with a program that sends lines ending in CR LF, such as nc or telnet:

    printf 'STARTUP ledger me\r\nQUERY 1 WRITE rent 7\r\nQUERY 2 READ rent\r\nTERMINATE\r\n' | nc -q 2 %s
    curl -X POST http://%s/servers/0/down      # the primary fails and another server is promoted

`, c.Listen, second, strings.Replace(c.Listen, ":", " ", 1), c.Admin)
	if err := rg.Run(); !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}

// newLinesNode returns the proxy with index i, configured for the stand-in of the users' platform.
func (c demoCommand) newLinesNode(i int, name string, log *zap.Logger) (*fleet.Node, error) {
	s := settings.FleetNode{
		Node: name, Zone: "nairobi-a", Store: c.Platform, Orders: c.Platform, GraceMS: demoDrainMS, LogLevel: c.LogLevel,
		Zones: []bundle.Zone{
			{Name: "nairobi-a", Region: "nairobi"}, {Name: "nairobi-b", Region: "nairobi"}, {Name: "mombasa", Region: "mombasa"},
		},
	}
	var err error
	for _, a := range []struct {
		target *string
		base   string
		offset int
	}{{&s.Listen, c.Listen, i}, {&s.Status, c.Status, i}, {&s.Peer, c.Peer, i}, {&s.Ready, c.Group, i}} {
		if *a.target, err = offsetPort(a.base, a.offset); err != nil {
			return nil, err
		}
	}
	seed, err := offsetPort(c.Peer, 1-i)
	if err != nil {
		return nil, err
	}
	s.Seeds = []string{seed}
	return fleet.New(context.Background(), s, fleet.WithLogger(log.With(zap.String("node", name)), zap.NewAtomicLevel()))
}

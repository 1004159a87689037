package fleet

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/peerlink"
	listing "buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/tenant"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

// Node is one proxy process on the platform.
type Node struct {
	settings settings.FleetNode
	log      *zap.Logger
	level    zap.AtomicLevel
	limiter  *operator.Limiter
	// droppedLogLines returns how many lines the log sink dropped.
	droppedLogLines func() uint64
	clock           tick.Clock
	start           time.Time
	store           *platform.Store
	controlClient   *platform.ControlClient
	orders          *platform.OrderClient
	listener        *platform.Listener
	// budget bounds what callers and other connections may hold.
	budget *budget.Pool
	thread *control.Thread
	link   *peerlink.Link
	relay  *traffic.Relay
	// tenantLimits is nil until a configuration limits a tenant.
	tenantLimits atomic.Pointer[tenantLimits]
	routes       atomic.Pointer[routeTable]
	draining     atomic.Bool
	grace        atomic.Int64
	ctx          context.Context
	stop         context.CancelFunc

	// panics counts the panics that cost a connection each.
	panics                 atomic.Int64
	serverBytes, peerBytes metrics.ByteCounter
	failovers              *operator.FailoverMetrics
	// purposes counts messages and connections by purpose, memberLists the member lists that were applied, and memberChanges the
	// changes of a member's state.
	purposes                   metrics.PurposeCounter
	memberLists, memberChanges atomic.Int64

	mu      sync.Mutex
	lanes   map[string]*traffic.Lane
	members []peer.Update
	// knownMembers counts all known members, including those that are considered dead, and knownZones their zones.
	knownMembers int
	knownZones   int
	// suspects holds the members that do not answer.
	suspects map[string]bool
	// membersRead is set once the member table was read, or memberListTimeout has passed.
	membersRead bool
	// eraBegun holds a value after the store has begun a new era.
	eraBegun chan struct{}
	// sources are those that were last assigned to the mirror, nil at first.
	sources *listing.SourcesAssigned
	// lostTables holds the tables of which the last read failed.
	lostTables map[string]bool
	// assignments holds the serving nodes of each group, and zoneDispatchers and regionDispatchers those among which they are chosen
	// where a few serve for all.
	assignments       map[string]assignment
	zoneDispatchers   *peer.Dispatchers
	regionDispatchers *peer.Dispatchers
	// inboundStreams are the streams on which other nodes forward requests to this one.
	inboundStreams map[*inboundStream]bool
	listedServers  map[string]listedServer
	// limits holds the limits of each listed server that were last sent to its lane.
	limits map[string]caller.LimitsUpdated
	views  map[string]upstream.GroupView
	// lostMembers are the members that are considered dead. membersListed is set once the member table was read.
	lostMembers   []peer.Update
	membersListed bool
	// limitMembers holds the homes and witnesses of the tenants' limits.
	limitMembers tenant.MembersChanged
}

// assignment holds the nodes that serve a group; local is set if this node is one of them.
type assignment struct {
	nodes []string
	local bool
}

// listedServer is what the platform lists about a server, as far as this node's share of the server depends on it.
type listedServer struct {
	group string
	zone  string
	slots int
}

// routeTable is the active bundle with its routes indexed by database, and the names of its tenants by their keys' digests.
type routeTable struct {
	bundle  bundle.Bundle
	routes  map[string]bundle.Route
	tenants map[bundle.KeyDigest]string
	// limits holds the tenants with limits.
	limits map[string]tenant.Limit
}

func newRouteTable(b bundle.Bundle) *routeTable {
	r := &routeTable{bundle: b, routes: make(map[string]bundle.Route, len(b.Routes)), tenants: b.TenantKeys(), limits: limitsOf(b)}
	for _, v := range b.Routes {
		r.routes[v.Database] = v
	}
	return r
}

// Option configures a Node.
type Option func(*Node) error

// WithLogger sets the logger and the level that Reload changes. The default logger discards everything.
func WithLogger(l *zap.Logger, level zap.AtomicLevel) Option {
	return func(n *Node) error {
		n.log = l
		n.level = level
		return nil
	}
}

// WithDroppedLogLines sets the function that returns how many lines the log sink dropped.
func WithDroppedLogLines(f func() uint64) Option {
	return func(n *Node) error {
		n.droppedLogLines = f
		return nil
	}
}

// New returns a node that starts to serve when Run is called.
func New(ctx context.Context, s settings.FleetNode, opts ...Option) (*Node, error) {
	n := &Node{
		settings: s, log: zap.NewNop(), level: zap.NewAtomicLevel(), droppedLogLines: func() uint64 { return 0 },
		limiter: operator.NewLimiter(), failovers: operator.NewFailoverMetrics(),
		clock: tick.NewClock(), start: time.Now(),
		members:    []peer.Update{{Name: s.Peer, Zone: s.Zone, Address: s.Peer, Weight: s.CPUWeight()}},
		lostTables: map[string]bool{}, eraBegun: make(chan struct{}, 1),
		assignments: map[string]assignment{}, suspects: map[string]bool{},
		inboundStreams: map[*inboundStream]bool{},
		lanes:          map[string]*traffic.Lane{}, listedServers: map[string]listedServer{}, limits: map[string]caller.LimitsUpdated{},
		views: map[string]upstream.GroupView{},
	}
	for _, o := range opts {
		if err := o(n); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	n.zoneDispatchers, n.regionDispatchers = newDispatchers(s.Zones)
	n.ctx, n.stop = context.WithCancel(ctx)
	n.routes.Store(newRouteTable(bundle.Bundle{}))
	n.grace.Store(int64(s.Grace()))
	n.store = platform.NewStore(s.Store)
	n.store.EraChanged = n.changeEra
	n.controlClient = platform.NewControlClient(s.Node)
	n.controlClient.WrapConn = func(server string, conn net.Conn) net.Conn {
		return n.serverBytes.WrapConn(conn, s.Distance(n.zoneOf(server)))
	}
	n.controlClient.Connecting = func() { n.purposes.AddConnection(metrics.Control) }
	n.orders = platform.NewOrderClient(s.Orders, s.Node, n.leaseValid)
	n.listener = platform.NewListener(n.routeFor)
	n.listener.Panicked = n.logPanic
	n.budget = n.newBudget()
	n.listener.Budget = n.budget
	n.listener.RoutesKnown = func() bool { return n.routes.Load().bundle.Version != 0 }
	for _, f := range []func() error{n.initLink, n.initThread, n.initRelay} {
		if err := f(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return n, nil
}

// Run serves until the context ends, Drain finishes or Stop is called, and then returns nil. It returns an error if it cannot
// listen on one of its addresses, or if a part of the node fails.
func (n *Node) Run() error {
	var g run.Group
	for _, l := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{n.settings.Listen, n.listener.Serve},
		{n.settings.Peer, n.limited(budget.Peer, n.link.Serve)},
		{n.settings.Ready, n.limited(budget.HTTP, n.serveReady)},
		{n.settings.Status, n.limited(budget.HTTP, n.serveStatus)},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return trace.Wrap(err)
		}
		g.Add(func() error { return l.serve(listener) }, func(error) { _ = listener.Close() })
	}
	g.Add(n.budget.Run, func(error) { n.stop() })
	g.Add(n.thread.Run, func(error) { n.stop() })
	g.Add(n.relay.Run, func(error) { n.stop() })
	g.Add(n.followMembers, func(error) { n.stop() })
	defer time.AfterFunc(memberListTimeout, n.endMemberListWait).Stop()
	n.log.Info("start", zap.String("zone", n.settings.Zone), zap.String("listen", n.settings.Listen))
	err := g.Run()
	n.link.Close()
	n.controlClient.Close()
	n.log.Info("stop", zap.Error(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// limited returns a function that serves connections of a class within the node's limits.
func (n *Node) limited(class budget.Class, serve func(net.Listener) error) func(net.Listener) error {
	return func(l net.Listener) error { return serve(traffic.LimitListener(l, n.budget, class, nil)) }
}

func (n *Node) serveReady(l net.Listener) error {
	if err := traffic.NewHTTPServer(platform.ReadyHandler(n.Ready)).Serve(l); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Ready reports whether the node should get new connections. It is ready when it has a configuration, is not draining, and for
// each group either knows the primary or has a link to a node that serves the group.
func (n *Node) Ready() bool {
	if n.draining.Load() {
		return false
	}
	b := n.routes.Load().bundle
	n.mu.Lock()
	defer n.mu.Unlock()
	return b.Version != 0 && !slices.ContainsFunc(b.Groups, func(g bundle.Group) bool { return !n.groupReachable(g.Name) })
}

// groupReachable reports whether requests for a group can be run or forwarded. n.mu must be held.
func (n *Node) groupReachable(group string) bool {
	a := n.assignments[group]
	if a.local {
		return n.views[group].Primary != ""
	}
	return slices.ContainsFunc(a.nodes, n.relay.IsConnected)
}

func (n *Node) logInvariantViolation(invariant, detail string) {
	n.log.Error("invariant violated", zap.String("invariant", invariant), zap.String("detail", detail))
}

// logPanic counts and logs a panic that cost a connection.
func (n *Node) logPanic(err error) {
	n.panics.Add(1)
	n.log.Error("a connection was closed after a panic", zap.Error(err))
}

// Context returns the context that ends with the node.
func (n *Node) Context() context.Context {
	return n.ctx
}

// Stop ends the node without draining it.
func (n *Node) Stop() {
	n.stop()
}

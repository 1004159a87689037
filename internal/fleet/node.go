package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/peerlink"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

// readTimeout bounds the platform's question about readiness.
const readTimeout = 5 * time.Second

// Node is one proxy process on the platform.
type Node struct {
	settings settings.FleetNode
	log      *zap.Logger
	level    zap.AtomicLevel
	limiter  *operator.Limiter
	// logDropped counts lines that the log's writer did not take.
	logDropped func() uint64
	clock      tick.Clock
	start      time.Time
	store      *platform.Store
	servers    *platform.Control
	orders     *platform.Orders
	front      *platform.Front
	thread     *control.Thread
	link       *peerlink.Link
	relay      *traffic.Relay
	routes     atomic.Pointer[routing]
	draining   atomic.Bool
	grace      atomic.Int64
	ctx        context.Context
	stop       context.CancelFunc

	serverBytes, peerBytes metrics.Bytes
	failovers              *operator.FailoverMetrics

	mu      sync.Mutex
	lanes   map[string]*traffic.Lane
	members []peer.Update
	// known counts the members that are thought dead as well.
	known int
	// met says that the fleet's list was read, or waited for long enough; registering adds this node to it once.
	met         bool
	registering sync.Once
	// serving says which nodes serve each group, remotes are the streams of those that hand requests to this one.
	serving map[string]serving
	remotes map[*remoteSessions]bool
	slots   map[string]server
	views   map[string]upstream.GroupView
}

// serving is which nodes serve a group, and whether this is one of them.
type serving struct {
	nodes []string
	here  bool
}

// server is what the platform's list says of a server, as far as shares depend on it.
type server struct {
	group string
	zone  string
	slots int
}

// routing is the bundle in force, indexed by database.
type routing struct {
	bundle bundle.Bundle
	routes map[string]bundle.Route
}

func newRouting(b bundle.Bundle) *routing {
	r := &routing{bundle: b, routes: make(map[string]bundle.Route, len(b.Routes))}
	for _, v := range b.Routes {
		r.routes[v.Database] = v
	}
	return r
}

// Option sets up a Node.
type Option func(*Node) error

// WithLogger replaces the logger, which is silent unless set, and names the level that a reload may change.
func WithLogger(l *zap.Logger, level zap.AtomicLevel) Option {
	return func(n *Node) error {
		n.log = l
		n.level = level
		return nil
	}
}

// WithDroppedLogLines tells how many lines the log's writer did not take.
func WithDroppedLogLines(f func() uint64) Option {
	return func(n *Node) error {
		n.logDropped = f
		return nil
	}
}

// New returns a node that does not serve yet.
func New(ctx context.Context, s settings.FleetNode, opts ...Option) (*Node, error) {
	n := &Node{
		settings: s, log: zap.NewNop(), level: zap.NewAtomicLevel(), logDropped: func() uint64 { return 0 },
		limiter: operator.NewLimiter(), failovers: operator.NewFailoverMetrics(),
		clock: tick.NewClock(), start: time.Now(),
		members: []peer.Update{{Name: s.Peer, Zone: s.Zone, Address: s.Peer, Weight: s.CPUWeight()}},
		serving: map[string]serving{}, remotes: map[*remoteSessions]bool{},
		lanes: map[string]*traffic.Lane{}, slots: map[string]server{}, views: map[string]upstream.GroupView{},
	}
	for _, o := range opts {
		if err := o(n); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	n.ctx, n.stop = context.WithCancel(ctx)
	n.routes.Store(newRouting(bundle.Bundle{}))
	n.grace.Store(int64(s.GraceMS))
	n.store = platform.NewStore(s.Store)
	n.servers = platform.NewControl(s.Node)
	n.servers.Wrap = func(server string, conn net.Conn) net.Conn {
		return n.serverBytes.Conn(conn, s.Distance(n.zoneOf(server)))
	}
	n.orders = platform.NewOrders(s.Orders, s.Node, n.mayOrder)
	n.front = platform.NewFront(n.route)
	n.front.Known = func() bool { return n.routes.Load().bundle.Version != 0 }
	for _, f := range []func() error{n.makeLink, n.makeThread, n.makeRelay} {
		if err := f(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return n, nil
}

// Run serves until the context ends or Drain has finished.
func (n *Node) Run() error {
	var g run.Group
	for _, l := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{n.settings.Listen, n.front.Serve},
		{n.settings.Peer, n.link.Serve},
		{n.settings.Ready, n.serveReady},
		{n.settings.Status, n.serveStatus},
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
	g.Add(n.thread.Run, func(error) { n.stop() })
	g.Add(n.relay.Run, func(error) { n.stop() })
	for _, f := range n.feeds() {
		g.Add(func() error { return n.follow(f) }, func(error) { n.stop() })
	}
	defer time.AfterFunc(meetWithin, n.meet).Stop()
	n.log.Info("start", zap.String("zone", n.settings.Zone), zap.String("listen", n.settings.Listen))
	err := g.Run()
	n.link.Close()
	n.servers.Close()
	n.log.Info("stop", zap.Error(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

func (n *Node) serveReady(l net.Listener) error {
	srv := &http.Server{Handler: platform.ReadyHandler(n.Ready), ReadTimeout: readTimeout}
	if err := srv.Serve(l); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Ready reports whether the node should get new connections: it knows its routes, and for each group it has found a primary or a
// node that serves the group.
func (n *Node) Ready() bool {
	if n.draining.Load() {
		return false
	}
	b := n.routes.Load().bundle
	n.mu.Lock()
	defer n.mu.Unlock()
	return b.Version != 0 && !slices.ContainsFunc(b.Groups, func(g bundle.Group) bool { return !n.reaches(g.Name) })
}

// reaches reports whether requests for a group have somewhere to go; the lock is held.
func (n *Node) reaches(group string) bool {
	s := n.serving[group]
	if s.here {
		return n.views[group].Primary != ""
	}
	return slices.ContainsFunc(s.nodes, n.relay.Up)
}

func (n *Node) violated(invariant, detail string) {
	n.log.Error("invariant violated", zap.String("invariant", invariant), zap.String("detail", detail))
}

// Stop ends the node at once.
func (n *Node) Stop() {
	n.stop()
}

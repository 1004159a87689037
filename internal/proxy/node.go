package proxy

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
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
	"buckthornport.example/buckthornport/internal/pgwire"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/tablehttp"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	maxRecords        = 2000
	drainPollInterval = 20 * time.Millisecond
)

// Node is a proxy node. A process can run several nodes.
type Node struct {
	settings settings.Proxy
	log      *zap.Logger
	level    zap.AtomicLevel
	limiter  *operator.Limiter
	clock    tick.Clock
	start    time.Time
	signer   *session.Signer
	listener *pgwire.Listener
	// budget bounds what callers and other connections may hold.
	budget        *budget.Pool
	thread        *control.Thread
	link          *peerlink.Link
	store         *tablehttp.Client
	controlClient *pgwire.ControlClient
	bundle        atomic.Pointer[bundle.Bundle]
	ctx           context.Context
	stop          context.CancelFunc
	ready         chan struct{}

	serverBytes, peerBytes metrics.ByteCounter
	failovers              *operator.FailoverMetrics

	// openLaneMu serializes the opening of lanes, so that concurrent first callers of a database do not open two lanes.
	openLaneMu sync.Mutex

	mu             sync.Mutex
	lanes          map[string]*traffic.Lane
	members        []string
	records        []operator.Record
	controlClients []*pgwire.ControlClient
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

// New returns a node that starts to serve when Run is called. It uses the bundle b until it receives a newer one.
func New(ctx context.Context, s settings.Proxy, b bundle.Bundle, opts ...Option) (*Node, error) {
	n := &Node{
		settings: s, log: zap.NewNop(), level: zap.NewAtomicLevel(),
		limiter: operator.NewLimiter(), failovers: operator.NewFailoverMetrics(),
		clock: tick.NewClock(), start: time.Now(), members: []string{s.Node},
		lanes: map[string]*traffic.Lane{}, ready: make(chan struct{}),
	}
	n.bundle.Store(&b)
	for _, p := range s.Peers {
		n.members = append(n.members, p.Name)
	}
	slices.Sort(n.members)
	for _, o := range opts {
		if err := o(n); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	n.ctx, n.stop = context.WithCancel(ctx)
	if s.Platform != "" {
		n.store = tablehttp.New(s.Platform)
	}
	key, err := base64.StdEncoding.DecodeString(s.TokenKey)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if n.signer, err = session.NewSigner(key); err != nil {
		return nil, trace.Wrap(err)
	}
	for _, f := range []func() error{n.checkCertificates, n.initLink, n.initThread, n.initListener} {
		if err := f(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return n, nil
}

// Run serves until the context ends, Drain finishes or Stop is called, and then returns nil. It returns an error if it cannot
// listen on one of its addresses, or if a part of the node fails.
func (n *Node) Run() error {
	listener, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	var g run.Group
	g.Add(func() error { return n.listener.Serve(listener) }, func(error) { _ = listener.Close() })
	g.Add(n.budget.Run, func(error) { n.stop() })
	g.Add(n.thread.Run, func(error) { n.stop() })
	if err := n.addListeners(&g); err != nil {
		return trace.Wrap(err)
	}
	if n.store != nil {
		g.Add(n.poll, func(error) { n.stop() })
	}
	n.log.Info("ready", zap.String("zone", n.settings.Zone), zap.String("listen", listener.Addr().String()),
		zap.String("status", n.settings.Status), zap.Uint64("bundle_version", n.Bundle().Version))
	close(n.ready)
	err = g.Run()
	n.link.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.controlClients {
		c.Close()
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// addListeners adds the status server and the listener for peers, if the settings contain addresses for them.
func (n *Node) addListeners(g *run.Group) error {
	if n.settings.Status != "" {
		serve, stop, err := n.statusServer()
		if err != nil {
			return err
		}
		g.Add(serve, stop)
	}
	if n.settings.Peer == "" {
		return nil
	}
	l, err := net.Listen("tcp", n.settings.Peer)
	if err != nil {
		return err
	}
	peers := traffic.LimitListener(l, n.budget, budget.Peer, nil)
	g.Add(func() error { return n.link.Serve(peers) }, func(error) { _ = l.Close() })
	return nil
}

// Ready returns a channel that is closed when the node listens.
func (n *Node) Ready() <-chan struct{} {
	return n.ready
}

// Bundle returns the active bundle.
func (n *Node) Bundle() bundle.Bundle {
	return *n.bundle.Load()
}

// writeLaneRecord writes a record of a lane. Records about single requests go only to the log, at a limited rate; the audit trail
// holds the state changes that operators look up later.
func (n *Node) writeLaneRecord(r operator.Record) {
	if r.Kind != operator.KindRequest {
		n.WriteAuditRecord(r)
		return
	}
	n.writeLimitedRecord(r)
}

// writeLimitedRecord writes a record to the log only, at a limited rate.
func (n *Node) writeLimitedRecord(r operator.Record) {
	now := n.clock()
	if n.limiter.Admit(now, r) {
		n.log.Info("audit", zap.Any("record", r.WithOrigin(n.settings.Node, now, n.start.Add(now).UTC())))
	}
	if summary, ok := n.limiter.SuppressedSummary(now); ok {
		n.WriteAuditRecord(summary)
	}
}

// WriteAuditRecord writes a record that does not come from the control thread's own decisions to the audit trail.
func (n *Node) WriteAuditRecord(r operator.Record) {
	n.thread.Post(control.RecordReported{Record: r})
}

// logAuditRecord writes a record of the audit trail to the log, and keeps it for the status page.
func (n *Node) logAuditRecord(r operator.Record) {
	n.failovers.Observe(r)
	n.mu.Lock()
	n.records = append(n.records, r)
	if len(n.records) > maxRecords {
		n.records = n.records[1:]
	}
	n.mu.Unlock()
	n.log.Info("audit", zap.Any("record", r))
}

// Records returns the latest records of this node's audit trail, oldest first.
func (n *Node) Records() []operator.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.records)
}

func (n *Node) logInvariantViolation(invariant, detail string) {
	n.log.Error("invariant violated", zap.String("invariant", invariant), zap.String("detail", detail))
}

// logPanic logs a panic that cost a connection.
func (n *Node) logPanic(err error) {
	n.log.Error("a connection was closed after a panic", zap.Error(err))
}

// Stop ends the node without draining it.
func (n *Node) Stop() {
	n.stop()
}

// Drain refuses new sessions, ends open sessions between their transactions and then stops the node. It waits at most for the drain
// time of the settings, of which open transactions have the first half. It returns the number of sessions that were still open,
// which are cut off once each request that was read is answered.
func (n *Node) Drain() int {
	n.listener.Drain()
	n.thread.Post(peer.DrainStarted{})
	n.WriteAuditRecord(operator.Record{Kind: operator.KindDrain, Cause: "begun"})
	n.postToLanes(caller.DrainStarted{})
	started, drainTime := n.clock(), time.Duration(n.settings.DrainMS)*time.Millisecond
	open := n.awaitSessions(started + drainTime/2)
	if open > 0 {
		n.postToLanes(caller.DrainTransactions{})
		open = n.awaitSessions(started + drainTime)
	}
	if open > 0 {
		n.postToLanes(caller.DrainDeadline{})
	}
	n.WriteAuditRecord(operator.Record{Kind: operator.KindDrain, Cause: "finished"}.WithEvidence("cut_off", fmt.Sprint(open)))
	time.Sleep(drainPollInterval)
	n.stop()
	return open
}

// awaitSessions waits until no session is open, the given time is reached or the node is stopped. It returns the number of open
// sessions.
func (n *Node) awaitSessions(until time.Duration) int {
	open := n.openSessions()
	for ; open > 0 && n.clock() < until; open = n.openSessions() {
		select {
		case <-n.ctx.Done():
			return open
		case <-time.After(drainPollInterval):
		}
	}
	return open
}

func (n *Node) postToLanes(e caller.Event) {
	for _, l := range n.allLanes() {
		l.Post(e)
	}
}

// openSessions returns the number of open sessions.
func (n *Node) openSessions() int {
	return int(n.listener.Stats().OpenSessions.Load())
}

func (n *Node) allLanes() []*traffic.Lane {
	n.mu.Lock()
	defer n.mu.Unlock()
	ls := make([]*traffic.Lane, 0, len(n.lanes))
	for _, l := range n.lanes {
		ls = append(ls, l)
	}
	return ls
}

// laneFor returns the lane of a database, and opens it for the first caller. It returns false if the active bundle does not contain
// the database, or if the lane cannot be opened.
func (n *Node) laneFor(database string) (*traffic.Lane, bool) {
	if l, ok := n.lane(database); ok {
		return l, true
	}
	g, ok := n.Bundle().Group(database)
	if !ok {
		return nil, false
	}
	n.openLaneMu.Lock()
	defer n.openLaneMu.Unlock()
	if l, ok := n.lane(database); ok {
		return l, true
	}
	l, err := n.openLane(g)
	if err != nil {
		n.log.Error("cannot open lane", zap.String("database", database), zap.Error(err))
		return nil, false
	}
	n.thread.Post(upstream.GroupServed{Group: database, Served: true})
	return l, true
}

func (n *Node) lane(database string) (*traffic.Lane, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.lanes[database]
	return l, ok
}

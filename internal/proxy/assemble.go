package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/peerlink"
	"buckthornport.example/buckthornport/internal/pgwire"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

func (n *Node) initLink() error {
	var err error
	n.link, err = peerlink.New(func(m peer.Message) { n.thread.Post(peer.MessageReceived{Message: m}) },
		peerlink.WithTLS(n.peerTLS), peerlink.WithPanicHandler(n.logPanic),
		peerlink.WithByteCounter(func(_ metrics.Purpose, zone string, bytes int) { n.peerBytes.AddSent(n.distance(zone), bytes) }))
	return err
}

func (n *Node) initThread() error {
	w, err := n.newWatch()
	if err != nil {
		return err
	}
	incarnation := uint64(n.start.UnixNano())
	opts := []peer.Option{peer.WithRandom(tick.RandomIntN)}
	for _, p := range n.settings.Peers {
		opts = append(opts, peer.WithMember(p.Name, p.Zone, p.Address))
	}
	m, err := peer.NewMembership(n.settings.Node, n.settings.Zone, n.settings.Peer, incarnation, opts...)
	if err != nil {
		return err
	}
	o, err := platform.NewOutbox(n.settings.Node, incarnation, platform.WithJitter(tick.Jitter))
	if err != nil {
		return err
	}
	d := control.NewNode(n.settings.Node, n.Bundle(), w, m, o)
	d.WallTime = func(elapsed time.Duration) time.Time { return n.start.Add(elapsed).UTC() }
	n.thread = control.NewThread(n.ctx, n.clock, d)
	n.connectThread()
	return nil
}

func (n *Node) newWatch() (*upstream.Watch, error) {
	opts := []upstream.Option{upstream.WithJitter(tick.Jitter)}
	for _, g := range n.Bundle().Groups {
		for _, s := range g.Servers {
			opts = append(opts, upstream.WithServer(s.Name, g.Name, s.Zone, s.Address))
		}
	}
	return upstream.NewWatch(n.settings.Node, opts...)
}

// connectThread sets the functions through which the control thread performs its actions.
func (n *Node) connectThread() {
	n.controlClient = n.newControlClient()
	t := n.thread
	t.Status = n.controlClient.Status
	t.Promise = n.controlClient.Promise
	t.Promote = n.controlClient.Promote
	t.Follow = n.controlClient.Follow
	t.IsConnectionRefused = traffic.IsConnectionRefused
	t.Send = n.link.Send
	t.PutRecords = n.putRecords
	t.RecordIntent = n.recordIntent
	t.AnnouncePrimary = n.announcePrimary
	t.AdoptBundle = n.adoptBundle
	t.MembersChanged = n.updateMembers
	t.LogAuditRecord = n.logAuditRecord
	t.PublishView = func(v upstream.GroupView) {
		if l, ok := n.lane(v.Name); ok {
			l.Post(caller.ViewUpdated{View: v})
		}
	}
}

// newControlClient returns a control client that is closed when Run returns.
func (n *Node) newControlClient() *pgwire.ControlClient {
	c := pgwire.NewControlClient(n.settings.Node, func(address string) (*pgconn.Config, error) {
		return upstreamConfig(address, pgwire.ControlUser, n.settings.UpstreamPassword, "")
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.controlClients = append(n.controlClients, c)
	return c
}

func upstreamConfig(address, user, password, database string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable", host, port, user, database))
	if err != nil {
		return nil, err
	}
	cfg.Password = password
	return cfg, nil
}

// openLane creates the lane of a group and starts it.
func (n *Node) openLane(g bundle.Group) (*traffic.Lane, error) {
	policy, _ := caller.PolicyNamed(n.settings.Policy)
	opts := []caller.Option{
		caller.WithJitter(tick.Jitter), caller.WithPolicy(policy), caller.WithViolationHandler(n.logInvariantViolation),
		caller.WithTrace(operator.TraceSampled),
	}
	if policy.LeaseSlots {
		opts = append(opts, caller.WithSlotLeases(uint64(n.start.UnixNano())))
	}
	d, err := caller.NewLane(g.Name, n.settings.Zone, opts...)
	if err != nil {
		return nil, err
	}
	l := traffic.NewLane(n.ctx, g.Name, n.clock, d)
	l.WriteAuditRecord, l.Panicked = n.writeLaneRecord, n.logPanic
	l.ConfirmLeadership = n.newControlClient().ConfirmLeadership
	l.RequestSlots = n.newControlClient().RequestSlots
	l.Callers = n.listener.Callers(g.Name)
	l.Dial = n.dialer(g.Name)
	n.postLimits(l, g)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lanes[g.Name] = l
	go func() { _ = l.Run() }()
	return l, nil
}

// dialFunc opens an upstream connection that posts its events with post.
type dialFunc func(ctx context.Context, a caller.Open, post func(caller.Event)) (traffic.UpstreamConn, error)

// dialer returns the function that opens upstream connections to a database and counts their bytes.
func (n *Node) dialer(database string) dialFunc {
	return func(ctx context.Context, a caller.Open, post func(caller.Event)) (traffic.UpstreamConn, error) {
		cfg, err := upstreamConfig(a.Address, n.settings.UpstreamUser, n.settings.UpstreamPassword, database)
		if err != nil {
			return traffic.UpstreamConn{}, err
		}
		dial, distance := cfg.DialFunc, n.distance(n.zoneOf(a.Server))
		cfg.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return n.serverBytes.WrapConn(conn, distance), nil
		}
		u, err := pgwire.DialUpstream(ctx, a.Conn, cfg, post)
		if err != nil {
			return traffic.UpstreamConn{}, err
		}
		return u.LaneConn(n.listener), nil
	}
}

func (n *Node) initListener() error {
	var prefix [6]byte
	if _, err := rand.Read(prefix[:]); err != nil {
		return err
	}
	var err error
	if n.listener, err = pgwire.NewListener(n.signer, n.settings.Node+"-"+hex.EncodeToString(prefix[:]), n.withTLS()); err != nil {
		return err
	}
	n.listener.Panicked = n.logPanic
	n.budget = n.newBudget()
	n.listener.Budget = n.budget
	n.listener.Lane = func(database string) (func(caller.Event), bool) {
		l, ok := n.laneFor(database)
		if !ok {
			return nil, false
		}
		return l.Post, true
	}
	n.listener.Authorize = n.authorize
	n.listener.Access = func(user, database string) (string, error) {
		c, err := n.permittedCaller(user, database)
		return c.Tenant, err
	}
	n.listener.Classify = func(database, verb string, tables []string) (bundle.Class, uint64) {
		b := n.bundle.Load()
		g, _ := b.Group(database)
		return g.Classify(verb, tables), b.Version
	}
	return nil
}

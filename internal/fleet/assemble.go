package fleet

import (
	"context"
	"encoding/json"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/peerlink"
	listing "buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

// tableLeases holds a row for each group with the lease under which its primary may be changed.
const tableLeases = "buckthornport_leases"

func (n *Node) makeLink() error {
	var err error
	n.link, err = peerlink.New(func(m peer.Message) { n.thread.Post(peer.Received{Message: m}) },
		peerlink.WithJobs(n.serveJobs),
		peerlink.WithCounted(func(zone string, bytes int) { n.peerBytes.Sent(n.settings.Distance(zone), bytes) }))
	return err
}

func (n *Node) makeThread() error {
	w, err := upstream.NewWatch(n.settings.Peer, upstream.WithKind(upstream.Appointed()), upstream.WithJitter(tick.Jitter))
	if err != nil {
		return err
	}
	life := uint64(n.start.UnixNano())
	opts := []peer.Option{peer.WithRandom(tick.Random), peer.WithWeight(n.settings.Weight())}
	for _, a := range n.settings.Seeds {
		if a != n.settings.Peer {
			opts = append(opts, peer.WithMember(a, "", a))
		}
	}
	m, err := peer.NewMembership(n.settings.Peer, n.settings.Zone, n.settings.Peer, life, opts...)
	if err != nil {
		return err
	}
	o, err := listing.NewOutbox(n.settings.Node, life, listing.WithJitter(tick.Jitter))
	if err != nil {
		return err
	}
	d := control.NewNode(n.settings.Node, bundle.Bundle{}, w, m, o)
	d.Wall = n.wall
	d.Accept = acceptConfig
	d.Spreads = false
	n.thread = control.NewThread(n.ctx, n.clock, d)
	n.connectThread()
	return nil
}

// acceptConfig takes the operator's newest configuration; that the store has accepted it is the sign-off.
func acceptConfig(current bundle.Bundle, encoded []byte) (bundle.Bundle, error) {
	b, err := platform.DecodeConfig("platform", encoded)
	switch {
	case err != nil:
		return bundle.Bundle{}, err
	case b.Version <= current.Version:
		return bundle.Bundle{}, control.ErrKnown
	}
	return b, nil
}

// connectThread gives the control thread the functions by which it acts.
func (n *Node) connectThread() {
	t := n.thread
	t.Status = n.servers.Status
	t.Promise = n.servers.Promise
	t.Promote = n.orders.Promote
	t.Follow = n.servers.Follow
	t.Resume = n.servers.Resume
	t.Refused = traffic.Refused
	t.ReadLease = n.readLease
	t.TakeLease = n.takeLease
	t.FreeLease = n.freeLease
	t.Send = n.link.Send
	// Logs are the audit trail here, and leases the only thing that is left in the store.
	t.Put = func(context.Context, listing.PutRecords) error { return nil }
	t.Intend = func(upstream.Intend) {}
	t.Announce = func(upstream.Announce) {}
	t.Adopt = n.adopt
	t.Members = n.setMembers
	t.Listed = n.setServer
	t.Note = n.keep
	t.Publish = n.publish
	t.Failed = func(call, subject string, err error) {
		n.keep(operator.Record{Kind: operator.KindDependency, Server: subject, Cause: "call_failed"}.
			WithEvidence("call", call).WithEvidence("error", err.Error()))
	}
}

func (n *Node) publish(v upstream.GroupView) {
	n.mu.Lock()
	n.views[v.Name] = v
	l, ok := n.lanes[v.Name]
	n.mu.Unlock()
	if ok {
		l.Post(caller.ViewUpdated{View: v})
	}
}

// view returns the picture of a group as control last published it.
func (n *Node) view(group string) upstream.GroupView {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.views[group]
}

// mayOrder reports whether the lease behind an order still holds on this node's own clock.
func (n *Node) mayOrder(a upstream.OrderPromote) bool {
	return n.clock() < a.Until
}

func (n *Node) readLease(ctx context.Context, a upstream.ReadLease) (upstream.Lease, error) {
	sent := n.clock()
	r, err := n.store.ReadRow(ctx, tableLeases, a.Group)
	if err != nil {
		return upstream.Lease{}, err
	}
	return decodeLease(r, sent)
}

// decodeLease decodes a lease whose row was asked for at sent: the store's clock showed its time then or later.
func decodeLease(r platform.Row, sent time.Duration) (upstream.Lease, error) {
	l := upstream.Lease{Version: r.Version}.WithStoreTime(r.StoreTime, sent)
	if r.Version == 0 {
		return l, nil
	}
	err := json.Unmarshal(r.Value, &l)
	return l, err
}

// takeLease writes the lease if its row is unchanged, and otherwise returns the one that is there.
func (n *Node) takeLease(ctx context.Context, a upstream.TakeLease) (upstream.Lease, bool, error) {
	raw, err := json.Marshal(a.Lease)
	if err != nil {
		return upstream.Lease{}, false, err
	}
	sent := n.clock()
	r, taken, err := n.store.Replace(ctx, tableLeases, a.Group, raw, a.Lease.Version)
	if err != nil {
		return upstream.Lease{}, false, err
	}
	if taken {
		a.Lease.Version = r.Version
		return a.Lease.WithStoreTime(r.StoreTime, sent), true, nil
	}
	l, err := decodeLease(r, sent)
	return l, false, err
}

func (n *Node) freeLease(ctx context.Context, a upstream.FreeLease) error {
	version := a.Lease.Version
	raw, err := json.Marshal(a.Lease)
	if err != nil {
		return err
	}
	r, freed, err := n.store.Replace(ctx, tableLeases, a.Group, raw, version)
	if err != nil || freed {
		return err
	}
	if l, err := decodeLease(r, n.clock()); err != nil || l.Token != a.Lease.Token {
		return err
	}
	_, _, err = n.store.Replace(ctx, tableLeases, a.Group, raw, r.Version)
	return err
}

// openLane starts the lane of a group.
func (n *Node) openLane(group string) (*traffic.Lane, error) {
	d, err := caller.NewLane(group, n.settings.Zone, caller.WithJitter(tick.Jitter),
		caller.WithGroupKind(caller.Appointed(n.settings.Nearness)),
		caller.WithPolicy(caller.Quickest(n.settings.Nearness)), caller.WithViolationHandler(n.violated), caller.WithTrace(operator.Traced))
	if err != nil {
		return nil, err
	}
	l := traffic.NewLane(n.ctx, group, n.clock, d)
	l.Note = n.keep
	l.Callers = n.front.Callers()
	l.Hold = n.servers.Witness(group)
	l.Heard = func(a caller.ResponseReceived) { n.thread.Post(upstream.Heard{Server: a.Server, At: a.SentAt}) }
	l.Doubted = func(a caller.ServerSuspected) { n.thread.Post(upstream.Doubted{Server: a.Server, Stalled: a.Stalled}) }
	l.Dial = func(ctx context.Context, a caller.Open, post func(caller.Event)) (traffic.Upstream, error) {
		u, err := n.servers.DialUpstream(ctx, n.front, group, a, post)
		if err != nil {
			n.depend(a.Server, "connection_refused", err)
		}
		return u, err
	}
	go func() { _ = l.Run() }()
	return l, nil
}

// route returns where the statements of a database go now.
func (n *Node) route(database string) (platform.Route, bool) {
	r := n.routes.Load()
	v, ok := r.routes[database]
	if !ok {
		return platform.Route{}, false
	}
	route := platform.Route{Group: v.Group, Class: v.Class, Version: r.bundle.Version}
	if l, ok := n.laneFor(v.Group); ok {
		route.Post = l.Post
	} else {
		route.Post, route.Relayed = n.relayFor(v.Group), true
	}
	return route, true
}

// laneFor returns the lane of a group that this node serves.
func (n *Node) laneFor(group string) (*traffic.Lane, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.serving[group].here {
		return nil, false
	}
	l, ok := n.lanes[group]
	return l, ok
}

// relayFor returns what takes the events of callers whose group other nodes serve.
func (n *Node) relayFor(group string) func(e caller.Event) {
	return func(e caller.Event) {
		if o, ok := e.(caller.SessionOpened); ok {
			n.relay.Post(dispatcher.Opened{Session: o.Session, Group: group, Floor: o.Floor})
			return
		}
		n.relay.Post(e)
	}
}

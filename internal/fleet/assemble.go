package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/metrics"
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

// tableLeases holds one row per group: the lease that allows its holder to change the group's primary.
const tableLeases = "buckthornport_leases"

func (n *Node) initLink() error {
	var err error
	n.link, err = peerlink.New(func(m peer.Message) { n.thread.Post(peer.MessageReceived{Message: m}) },
		peerlink.WithJobHandlers(n.acceptJobStream), peerlink.WithPanicHandler(n.logPanic),
		peerlink.WithTableHandler(func(from string, t listing.TableMessage) {
			n.thread.Post(listing.MessageReceived{From: from, Message: t})
		}),
		peerlink.WithLimitHandler(n.receiveLimit, n.noteUnreachable),
		peerlink.WithConnectionCounter(n.purposes.AddConnection),
		peerlink.WithByteCounter(func(p metrics.Purpose, zone string, bytes int) {
			d := n.settings.Distance(zone)
			n.peerBytes.AddSent(d, bytes)
			n.purposes.AddMessage(p, d, bytes)
		}))
	return err
}

func (n *Node) initThread() error {
	w, err := upstream.NewWatch(n.settings.Peer, upstream.WithKind(upstream.Appointed()), upstream.WithJitter(tick.Jitter))
	if err != nil {
		return err
	}
	incarnation := uint64(n.start.UnixNano())
	opts := []peer.Option{
		peer.WithRandom(tick.RandomIntN), peer.WithWeight(n.settings.CPUWeight()), peer.WithRegion(n.settings.Zones.Region),
	}
	for _, a := range n.settings.Seeds {
		if a != n.settings.Peer {
			opts = append(opts, peer.WithMember(a, "", a))
		}
	}
	m, err := peer.NewMembership(n.settings.Peer, n.settings.Zone, n.settings.Peer, incarnation, opts...)
	if err != nil {
		return err
	}
	o, err := listing.NewOutbox(n.settings.Node, incarnation, listing.WithJitter(tick.Jitter))
	if err != nil {
		return err
	}
	d := control.NewNode(n.settings.Node, bundle.Bundle{}, w, m, o)
	d.WallTime = n.wallTime
	d.AcceptBundle = n.acceptNewerConfig
	d.GossipBundles = false
	if d.Mirror, err = newMirror(); err != nil {
		return err
	}
	n.thread = control.NewThread(n.ctx, n.clock, d)
	n.connectThread()
	n.connectMirror()
	return nil
}

// acceptNewerConfig accepts a configuration that is newer than the current one. It checks no signatures, because the store's
// acceptance of a configuration replaces the operator's signature.
func (n *Node) acceptNewerConfig(current bundle.Bundle, encoded []byte) (bundle.Bundle, error) {
	b, rejected, err := platform.DecodeConfig("platform", encoded)
	switch {
	case err != nil:
		return bundle.Bundle{}, err
	case b.Version <= current.Version:
		return bundle.Bundle{}, control.ErrBundleActive
	}
	if len(rejected) > 0 {
		n.log.Warn("tenants left out of the configuration", zap.Uint64("version", b.Version), zap.Errors("errors", rejected))
	}
	return b, nil
}

// connectThread sets the functions through which the control thread performs its actions.
func (n *Node) connectThread() {
	t := n.thread
	t.Status = n.controlClient.Status
	t.Promise = n.controlClient.Promise
	t.Promote = n.orders.Promote
	t.Follow = n.controlClient.Follow
	t.Resume = n.controlClient.Resume
	t.IsConnectionRefused = traffic.IsConnectionRefused
	t.ReadLease = n.readLease
	t.AcquireLease = n.acquireLease
	t.ReleaseLease = n.releaseLease
	t.RecordFloor = n.recordFloor
	t.Send = n.link.Send
	// Audit records go to the log on this platform, and a promotion stores nothing but its lease.
	t.PutRecords = func(context.Context, listing.PutRecords) error { return nil }
	t.RecordIntent = func(upstream.RecordIntent) {}
	t.AnnouncePrimary = func(upstream.AnnouncePrimary) {}
	t.AdoptBundle = n.adoptBundle
	t.MembersChanged, t.MemberChanged = n.updateMembers, n.updateMember
	t.ServerChanged = n.updateServer
	t.LogAuditRecord = n.writeAuditRecord
	t.PublishView = n.publishView
	t.CallFailed = func(call, subject string, err error) {
		n.writeAuditRecord(operator.Record{Kind: operator.KindDependency, Server: subject, Cause: "call_failed"}.
			WithEvidence("call", call).WithEvidence("error", err.Error()))
	}
}

func (n *Node) publishView(v upstream.GroupView) {
	n.mu.Lock()
	n.views[v.Name] = v
	l, ok := n.lanes[v.Name]
	n.mu.Unlock()
	if ok {
		l.Post(caller.ViewUpdated{View: v})
	}
}

// view returns the snapshot of a group that control published last.
func (n *Node) view(group string) upstream.GroupView {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.views[group]
}

// leaseValid reports whether the lease behind a promotion order is still valid on this node's clock.
func (n *Node) leaseValid(a upstream.OrderPromote) bool {
	return n.clock() < a.Deadline
}

func (n *Node) readLease(ctx context.Context, a upstream.ReadLease) (upstream.Lease, error) {
	sentAt := n.clock()
	r, err := n.store.ReadRow(ctx, tableLeases, a.Group)
	if err != nil {
		return upstream.Lease{}, err
	}
	return n.decodeLease(r, sentAt), nil
}

const (
	// unreadableHolder is the holder of a lease whose row can't be read.
	unreadableHolder = "(unreadable)"
	// maxToken is above all tokens that are given out. It leaves room for later ones.
	maxToken = 1 << 62
)

// decodeLease decodes a lease row that was requested at sentAt. The store read its clock at sentAt or later. A row that can't be
// read counts as the lease of an unknown holder. Its token is taken from the store's clock, which is ahead of all tokens of the
// era, as they count orders.
func (n *Node) decodeLease(r platform.Row, sentAt time.Duration) upstream.Lease {
	empty := upstream.Lease{Version: r.Version}.WithStoreTime(r.StoreTime, sentAt).WithStoreEra(r.Era)
	if r.Version == 0 {
		return empty
	}
	l := empty
	err := json.Unmarshal(r.Value, &l)
	if err == nil && l.Token > maxToken {
		err = fmt.Errorf("token %d is above %d", l.Token, uint64(maxToken))
	}
	if err != nil {
		n.writeAuditRecord(operator.Record{Kind: operator.KindLease, Group: r.Key, Cause: "row_unreadable"}.
			WithEvidence("error", err.Error()))
		l = empty
		l.Holder, l.Token, l.Era = unreadableHolder, l.TokenFloor()+uint64(max(0, r.StoreTime.Milliseconds())), r.Era
	}
	return l
}

// acquireLease writes the lease if the row still has the lease's version. Otherwise it returns the stored lease and false. It
// fails if the store came back from a copy after the row was read, since the version then means nothing.
func (n *Node) acquireLease(ctx context.Context, a upstream.AcquireLease) (upstream.Lease, bool, error) {
	raw, err := json.Marshal(a.Lease)
	if err != nil {
		return upstream.Lease{}, false, err
	}
	sentAt := n.clock()
	r, acquired, err := n.store.CompareAndSet(ctx, tableLeases, a.Group, raw, a.Lease.Version)
	switch {
	case err != nil:
		return upstream.Lease{}, false, err
	case r.Era != a.Lease.StoreEra:
		return upstream.Lease{}, false, platform.ErrRestored
	case acquired:
		a.Lease.Version = r.Version
		return a.Lease.WithStoreTime(r.StoreTime, sentAt), true, nil
	}
	return n.decodeLease(r, sentAt), false, nil
}

// releaseLease writes the released lease. If the row was changed but still has the same fencing token, it repeats the write
// with the row's new version. A lease with another token or of another era of the store is left unchanged.
func (n *Node) releaseLease(ctx context.Context, a upstream.ReleaseLease) error {
	if n.store.Era() != a.Lease.StoreEra {
		return platform.ErrRestored
	}
	version := a.Lease.Version
	raw, err := json.Marshal(a.Lease)
	if err != nil {
		return err
	}
	r, released, err := n.store.CompareAndSet(ctx, tableLeases, a.Group, raw, version)
	if err != nil || released {
		return err
	}
	if l := n.decodeLease(r, n.clock()); l.Token != a.Lease.Token || l.StoreEra != a.Lease.StoreEra {
		return nil
	}
	_, _, err = n.store.CompareAndSet(ctx, tableLeases, a.Group, raw, r.Version)
	return err
}

// recordFloor raises the floor in a lease row. It fails if the row changes meanwhile.
func (n *Node) recordFloor(ctx context.Context, a upstream.RecordFloor) error {
	r, err := n.store.ReadRow(ctx, tableLeases, a.Group)
	if err != nil {
		return err
	}
	l := n.decodeLease(r, n.clock())
	if l.Floor.Covers(a.Floor) {
		return nil
	}
	raw, err := json.Marshal(l.WithFloor(a.Floor))
	if err != nil {
		return err
	}
	_, recorded, err := n.store.CompareAndSet(ctx, tableLeases, a.Group, raw, r.Version)
	if err == nil && !recorded {
		err = errRowChanged
	}
	return err
}

// errRowChanged reports that a row was changed between its read and its write.
var errRowChanged = errors.New("the row was changed meanwhile")

// openLane creates the lane of a group and starts it.
func (n *Node) openLane(group string) (*traffic.Lane, error) {
	d, err := caller.NewLane(group, n.settings.Zone, caller.WithJitter(tick.Jitter),
		caller.WithGroupKind(caller.Appointed(n.settings.DistanceRank)),
		caller.WithPolicy(caller.Adaptive(n.settings.DistanceRank)), caller.WithViolationHandler(n.logInvariantViolation),
		caller.WithTrace(operator.TraceSampled))
	if err != nil {
		return nil, err
	}
	l := traffic.NewLane(n.ctx, group, n.clock, d)
	l.WriteAuditRecord, l.Panicked = n.writeAuditRecord, n.logPanic
	l.Callers = n.listener.Callers()
	l.ConfirmLeadership = n.controlClient.LeadershipConfirmer(group)
	l.ResponseReceived = func(a caller.ResponseReceived) {
		n.thread.Post(upstream.ResponseReceived{Server: a.Server, SentAt: a.SentAt})
	}
	l.ServerSuspected = func(a caller.ServerSuspected) {
		n.thread.Post(upstream.ServerSuspected{Server: a.Server, WriteStalled: a.WriteStalled})
	}
	l.CommitsAcknowledged = func(a caller.CommitsAcknowledged) {
		n.thread.Post(upstream.CommitsAcknowledged{Group: group, Position: a.Position})
	}
	l.Dial = func(ctx context.Context, a caller.Open, post func(caller.Event)) (traffic.UpstreamConn, error) {
		n.purposes.AddConnection(metrics.Statements)
		u, err := n.controlClient.DialUpstream(ctx, n.listener, group, a, post)
		switch {
		case errors.Is(err, traffic.ErrConnectionLimit):
			n.auditDependency(a.Server, "connection_limit", err)
		case err != nil:
			n.auditDependency(a.Server, "connection_refused", err)
		}
		return u, err
	}
	go func() { _ = l.Run() }()
	return l, nil
}

// routeFor returns the route for new statements of a database by the active configuration.
func (n *Node) routeFor(database string, key bundle.KeyDigest) (platform.Route, error) {
	r := n.routes.Load()
	v, ok := r.routes[database]
	if !ok {
		return platform.Route{}, platform.ErrNoDatabase
	}
	name, known := r.tenants[key]
	if r.bundle.KeysRequired && !v.Public && !known {
		return platform.Route{}, platform.ErrUnknownKey
	}
	route := platform.Route{
		Group: v.Group, Class: v.Class, Version: r.bundle.Version, Tenant: name, Admission: n.admissionFor(r, name),
	}
	if l, ok := n.laneFor(v.Group); ok {
		route.Post = l.Post
	} else {
		route.Post, route.Relayed = n.relayPost(v.Group), true
	}
	return route, nil
}

// laneFor returns the lane of a group, if this node serves the group.
func (n *Node) laneFor(group string) (*traffic.Lane, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.assignments[group].local {
		return nil, false
	}
	l, ok := n.lanes[group]
	return l, ok
}

// relayPost returns the function that hands callers' events to the relay, for a group that other nodes serve.
func (n *Node) relayPost(group string) func(e caller.Event) {
	return func(e caller.Event) {
		if o, ok := e.(caller.SessionOpened); ok {
			n.relay.Post(dispatcher.SessionOpened{Session: o.Session, Group: group, Floor: o.Floor})
			return
		}
		n.relay.Post(e)
	}
}

package control

import (
	"context"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const (
	// putTimeout bounds one write of audit records.
	putTimeout = 5 * time.Second
	// leaseTimeout bounds one lease request or resume order. A request that timed out may still take effect.
	leaseTimeout = 1200 * time.Millisecond
)

// Thread is the control thread of a node. It runs the decisions of a Node in one loop. Slow calls run in their own goroutines
// and post their results as events.
type Thread struct {
	// Status, Promise, Promote and Follow send a request to one server of a group.
	Status  func(ctx context.Context, a upstream.Probe) (upstream.Status, error)
	Promise func(ctx context.Context, a upstream.RequestPromise) (upstream.OrderResponse, error)
	Promote func(ctx context.Context, a upstream.OrderPromote) (upstream.OrderResponse, error)
	Follow  func(ctx context.Context, a upstream.OrderFollow) (upstream.OrderResponse, error)
	// Resume ends a promise that a server made. ReadLease, AcquireLease, ReleaseLease and RecordFloor call the platform's store.
	// Only kinds of groups with leases need these functions.
	Resume       func(ctx context.Context, a upstream.OrderResume) error
	ReadLease    func(ctx context.Context, a upstream.ReadLease) (upstream.Lease, error)
	AcquireLease func(ctx context.Context, a upstream.AcquireLease) (l upstream.Lease, acquired bool, err error)
	ReleaseLease func(ctx context.Context, a upstream.ReleaseLease) error
	RecordFloor  func(ctx context.Context, a upstream.RecordFloor) error
	// CallFailed reports a call that failed. The decisions see only that no answer arrives.
	CallFailed func(call, subject string, err error)
	// IsConnectionRefused reports whether an error shows that the VM is reachable but no process serves the port.
	IsConnectionRefused func(err error) bool
	// Send sends a message to a peer.
	Send func(a peer.Send)
	// PutRecords writes audit records as one object. RecordIntent and AnnouncePrimary report promotions to the table service.
	PutRecords      func(ctx context.Context, a platform.PutRecords) error
	RecordIntent    func(a upstream.RecordIntent)
	AnnouncePrimary func(a upstream.AnnouncePrimary)
	// PublishView passes the snapshot of a group to its lane. AdoptBundle applies a bundle. MembersChanged reports the members,
	// MemberChanged the state of one of them; it may be nil.
	PublishView    func(v upstream.GroupView)
	AdoptBundle    func(b bundle.Bundle, encoded []byte)
	MembersChanged func(a peer.MembersChanged)
	MemberChanged  func(a peer.MemberChanged)
	// ServerChanged reports a server that was added to the platform's server list, changed in it or removed from it.
	ServerChanged func(c platform.ServerChange)
	// ReadTable and ReadChanges read a table of the platform's store. HistoryGone reports whether an error of ReadChanges shows that
	// the store no longer has the changes that were asked for. SendTable sends a message about a table to a peer, and TableChanged
	// applies changed rows. Only nodes with a Mirror need these functions.
	ReadTable    func(ctx context.Context, a platform.ReadTable) (platform.RowsRead, error)
	ReadChanges  func(ctx context.Context, a platform.ReadChanges) (platform.RowsRead, error)
	HistoryGone  func(err error) bool
	SendTable    func(a platform.SendTable)
	TableChanged func(a platform.TableChanged)
	// LogAuditRecord writes an audit record to the node's own log.
	LogAuditRecord func(r operator.Record)

	ctx  context.Context
	loop *tick.Loop[Event, Action]
}

// NewThread returns the control thread of a node.
func NewThread(ctx context.Context, clock tick.Clock, n *Node) *Thread {
	t := &Thread{ctx: ctx, ServerChanged: func(platform.ServerChange) {}, CallFailed: func(string, string, error) {}}
	t.loop = tick.NewLoop(clock, n.Step, t.perform)
	return t
}

// Run runs the loop until the context ends.
func (t *Thread) Run() error {
	return t.loop.Run(t.ctx)
}

// Post queues an event for the thread.
func (t *Thread) Post(e Event) {
	t.loop.Post(e)
}

func (t *Thread) perform(a Action) {
	switch a := a.(type) {
	case upstream.Probe:
		go t.probe(a)
	case upstream.RequestPromise:
		go t.requestPromise(a)
	case upstream.OrderPromote:
		go t.orderPromote(a)
	case upstream.OrderFollow:
		go t.orderFollow(a)
	case upstream.PublishView:
		t.PublishView(a.View)
	case upstream.RecordIntent:
		go t.RecordIntent(a)
	case upstream.AnnouncePrimary:
		go t.AnnouncePrimary(a)
	default:
		t.performLease(a)
	}
}

func (t *Thread) performLease(a Action) {
	switch a := a.(type) {
	case upstream.ReadLease:
		go t.readLease(a)
	case upstream.AcquireLease:
		go t.acquireLease(a)
	case upstream.ReleaseLease:
		go t.releaseLease(a)
	case upstream.OrderResume:
		go t.orderResume(a)
	case upstream.RecordFloor:
		go t.recordFloor(a)
	default:
		t.performOther(a)
	}
}

func (t *Thread) performOther(a Action) {
	switch a := a.(type) {
	case peer.Send:
		t.Send(a)
	case peer.MembersChanged:
		t.MembersChanged(a)
	case peer.MemberChanged:
		if t.MemberChanged != nil {
			t.MemberChanged(a)
		}
	case platform.PutRecords:
		go t.putRecords(a)
	case platform.MirrorAction:
		t.performMirror(a)
	case BundleAdopted:
		t.AdoptBundle(a.Bundle, a.Encoded)
	case platform.ServerChange:
		t.ServerChanged(a)
	case LogAuditRecord:
		t.LogAuditRecord(a.Record)
	}
}

func (t *Thread) performMirror(a platform.MirrorAction) {
	sentAt := t.loop.Clock()
	switch a := a.(type) {
	case platform.ReadTable:
		go func() {
			r, err := t.ReadTable(t.ctx, a)
			t.finishRead(a.Table, sentAt, r, err)
		}()
	case platform.ReadChanges:
		go func() {
			r, err := t.ReadChanges(t.ctx, a)
			t.finishRead(a.Table, sentAt, r, err)
		}()
	case platform.SendTable:
		t.SendTable(a)
	case platform.TableChanged:
		t.TableChanged(a)
	}
}

func (t *Thread) finishRead(name string, sentAt time.Duration, r platform.RowsRead, err error) {
	if err != nil {
		t.Post(platform.ReadFailed{Table: name, HistoryGone: t.HistoryGone(err)})
		return
	}
	r.Table, r.SentAt = name, sentAt
	t.Post(r)
}

func (t *Thread) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.ctx, d)
}

func (t *Thread) putRecords(a platform.PutRecords) {
	ctx, stop := t.withTimeout(putTimeout)
	defer stop()
	if err := t.PutRecords(ctx, a); err != nil {
		t.Post(platform.ObjectUnconfirmed{Name: a.Name})
		return
	}
	t.Post(platform.ObjectStored{Name: a.Name})
}

func (t *Thread) probe(a upstream.Probe) {
	ctx, stop := t.withTimeout(a.Timeout)
	defer stop()
	st, err := t.Status(ctx, a)
	if err != nil {
		if t.IsConnectionRefused(err) || ctx.Err() == nil {
			t.Post(upstream.ProbeFailed{Server: a.Server, Refused: t.IsConnectionRefused(err)})
		}
		return
	}
	t.Post(upstream.ProbeSucceeded{Server: a.Server, SentAt: a.SentAt, Status: st})
}

func (t *Thread) requestPromise(a upstream.RequestPromise) {
	ctx, stop := t.withTimeout(a.Timeout)
	defer stop()
	r, err := t.Promise(ctx, a)
	if err != nil {
		t.CallFailed("promise", a.Server, err)
		return
	}
	t.Post(upstream.PromiseAnswered{Server: a.Server, Term: a.Term, Granted: r.Granted, Status: r.Status})
}

func (t *Thread) orderPromote(a upstream.OrderPromote) {
	ctx, stop := t.withTimeout(a.Timeout)
	defer stop()
	r, err := t.Promote(ctx, a)
	if err != nil {
		t.CallFailed("promote", a.Server, err)
		return
	}
	t.Post(upstream.PromoteAnswered{Server: a.Server, Term: a.Term, Opened: r.Granted, Status: r.Status, Accepted: r.Accepted})
}

func (t *Thread) orderFollow(a upstream.OrderFollow) {
	ctx, stop := t.withTimeout(a.Timeout)
	defer stop()
	if _, err := t.Follow(ctx, a); err != nil {
		t.CallFailed("follow", a.Server, err)
	}
}

func (t *Thread) orderResume(a upstream.OrderResume) {
	ctx, stop := t.withTimeout(leaseTimeout)
	defer stop()
	if err := t.Resume(ctx, a); err != nil {
		t.CallFailed("resume", a.Server, err)
	}
}

func (t *Thread) readLease(a upstream.ReadLease) {
	ctx, stop := t.withTimeout(leaseTimeout)
	defer stop()
	l, err := t.ReadLease(ctx, a)
	if err != nil {
		t.CallFailed("read lease", a.Group, err)
		t.Post(upstream.LeaseRequestFailed(a))
		return
	}
	t.Post(upstream.LeaseRead{Group: a.Group, Lease: l})
}

func (t *Thread) acquireLease(a upstream.AcquireLease) {
	ctx, stop := t.withTimeout(leaseTimeout)
	defer stop()
	l, acquired, err := t.AcquireLease(ctx, a)
	switch {
	case err != nil:
		t.CallFailed("take lease", a.Group, err)
		t.Post(upstream.LeaseRequestFailed{Group: a.Group})
	case acquired:
		t.Post(upstream.LeaseAcquired{Group: a.Group, Lease: l, SentAt: a.SentAt})
	default:
		t.Post(upstream.LeaseRead{Group: a.Group, Lease: l})
	}
}

func (t *Thread) releaseLease(a upstream.ReleaseLease) {
	ctx, stop := t.withTimeout(leaseTimeout)
	defer stop()
	if err := t.ReleaseLease(ctx, a); err != nil {
		t.CallFailed("free lease", a.Group, err)
	}
}

func (t *Thread) recordFloor(a upstream.RecordFloor) {
	ctx, stop := t.withTimeout(leaseTimeout)
	defer stop()
	if err := t.RecordFloor(ctx, a); err != nil {
		t.CallFailed("record floor", a.Group, err)
		t.Post(upstream.FloorNotRecorded{Group: a.Group})
	}
}

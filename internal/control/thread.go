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

const putTimeout = 5 * time.Second

// Thread is the control thread of a node: one loop, whose slow calls run beside it and come back as events.
type Thread struct {
	// Status, Promise, Promote and Follow speak to one server of a group.
	Status  func(ctx context.Context, a upstream.Probe) (upstream.Status, error)
	Promise func(ctx context.Context, a upstream.AskPromise) (upstream.Granted, error)
	Promote func(ctx context.Context, a upstream.OrderPromote) (upstream.Granted, error)
	Follow  func(ctx context.Context, a upstream.OrderFollow) (upstream.Granted, error)
	// Refused reports whether an error means that the VM answered and nobody listens there.
	Refused func(err error) bool
	// Send sends a message to a peer.
	Send func(a peer.Send)
	// Put writes audit records as one object; Intend and Announce tell the table service about promotions.
	Put      func(ctx context.Context, a platform.PutRecords) error
	Intend   func(a upstream.Intend)
	Announce func(a upstream.Announce)
	// Publish hands the picture of a group to its lane; Adopt puts a bundle in force; Members tells who is there.
	Publish func(v upstream.GroupView)
	Adopt   func(b bundle.Bundle, encoded []byte)
	Members func(names []string)
	// Note takes a record of the audit trail for the node's own log.
	Note func(r operator.Record)

	ctx  context.Context
	loop *tick.Loop[Event, Action]
}

// NewThread returns the control thread of a node.
func NewThread(ctx context.Context, clock tick.Clock, n *Node) *Thread {
	t := &Thread{ctx: ctx}
	t.loop = tick.NewLoop(clock, n.Step, t.perform)
	return t
}

// Run works until the context ends.
func (t *Thread) Run() error {
	return t.loop.Run(t.ctx)
}

// Post hands events to the thread.
func (t *Thread) Post(e Event) {
	t.loop.Post(e)
}

func (t *Thread) perform(a Action) {
	switch a := a.(type) {
	case upstream.Probe:
		go t.probe(a)
	case upstream.AskPromise:
		go t.askPromise(a)
	case upstream.OrderPromote:
		go t.orderPromote(a)
	case upstream.OrderFollow:
		go t.orderFollow(a)
	case upstream.Publish:
		t.Publish(a.View)
	case upstream.Intend:
		go t.Intend(a)
	case upstream.Announce:
		go t.Announce(a)
	default:
		t.performOther(a)
	}
}

func (t *Thread) performOther(a Action) {
	switch a := a.(type) {
	case peer.Send:
		t.Send(a)
	case peer.MembersChanged:
		t.Members(a.Names)
	case platform.PutRecords:
		go t.put(a)
	case BundleAdopted:
		t.Adopt(a.Bundle, a.Encoded)
	case Note:
		t.Note(a.Record)
	}
}

func (t *Thread) within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.ctx, d)
}

func (t *Thread) put(a platform.PutRecords) {
	ctx, stop := t.within(putTimeout)
	defer stop()
	if err := t.Put(ctx, a); err != nil {
		t.Post(platform.StoreFailed{Name: a.Name})
		return
	}
	t.Post(platform.Stored{Name: a.Name})
}

func (t *Thread) probe(a upstream.Probe) {
	ctx, stop := t.within(upstream.ProbeTimeout)
	defer stop()
	st, err := t.Status(ctx, a)
	if err != nil {
		if t.Refused(err) || ctx.Err() == nil {
			t.Post(upstream.ProbeFailed{Server: a.Server, Refused: t.Refused(err)})
		}
		return
	}
	t.Post(upstream.Probed{Server: a.Server, Sent: a.Sent, Status: st})
}

func (t *Thread) askPromise(a upstream.AskPromise) {
	ctx, stop := t.within(upstream.PromiseTimeout)
	defer stop()
	if g, err := t.Promise(ctx, a); err == nil {
		t.Post(upstream.Promised{Server: a.Server, Term: a.Term, Granted: g.Granted, Status: g.Status})
	}
}

func (t *Thread) orderPromote(a upstream.OrderPromote) {
	ctx, stop := t.within(upstream.OpenTimeout)
	defer stop()
	if g, err := t.Promote(ctx, a); err == nil {
		t.Post(upstream.Promoted{Server: a.Server, Term: a.Term, Done: g.Granted, Status: g.Status})
	}
}

func (t *Thread) orderFollow(a upstream.OrderFollow) {
	ctx, stop := t.within(upstream.OpenTimeout)
	defer stop()
	_, _ = t.Follow(ctx, a)
}

package traffic

import (
	"context"
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/tick"
)

// linkDialTimeout bounds the opening of a link to a dispatcher. It allows for several attempts.
const linkDialTimeout = 1200 * time.Millisecond

// Relay runs the traffic that a node forwards to dispatchers.
type Relay struct {
	// Callers answers the callers in their protocol.
	Callers Callers
	// RequestPayload returns what a dispatcher needs to run a request, and false if the request no longer waits for its answer.
	RequestPayload func(id caller.SessionID, seq uint64) (dispatcher.Payload, bool)
	// HoldAnswer holds an answer until Release, and reports whether the caller still waits for it.
	HoldAnswer func(o dispatcher.Outcome) bool
	// Dial opens a link to a dispatcher. The link passes the messages that it receives to the handler.
	Dial func(ctx context.Context, peer string, h LinkHandler) (Link, error)
	// DialFailed reports a link that could not be opened.
	DialFailed func(peer string, err error)
	// WriteAuditRecord writes a record to the audit trail.
	WriteAuditRecord func(r operator.Record)
	// Panicked reports a panic that cost a link.
	Panicked func(err error)

	decisions *dispatcher.Relay
	loop      *tick.Loop[dispatcher.Event, dispatcher.Action]
	ctx       context.Context

	mu    sync.Mutex
	links map[string]*Link
	stats dispatcher.Stats
}

// Link is the interface to one dispatcher. Serve runs until the link ends. The other functions never block; false means that the
// link is closed or cannot keep up.
type Link struct {
	Serve   func()
	Forward func(j dispatcher.Job) bool
	Abandon func(id caller.SessionID) bool
	Ping    func() bool
	Close   func()
}

// LinkHandler handles the messages that a dispatcher sends over a link.
type LinkHandler struct {
	Outcome  func(o dispatcher.Outcome)
	Pong     func()
	Draining func()
}

// NewRelay returns a relay that performs the actions of the given decisions.
func NewRelay(ctx context.Context, clock tick.Clock, d *dispatcher.Relay) *Relay {
	r := &Relay{ctx: ctx, decisions: d, links: map[string]*Link{}, Panicked: func(error) {}}
	r.loop = tick.NewLoop(clock, r.step, r.perform)
	return r
}

// Run runs the loop until the context ends, and then closes all links.
func (r *Relay) Run() error {
	err := r.loop.Run(r.ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.Close()
	}
	return err
}

// Post queues an event for the relay.
func (r *Relay) Post(e dispatcher.Event) {
	r.loop.Post(e)
}

// IsConnected reports whether the link to a dispatcher is open.
func (r *Relay) IsConnected(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.links[peer]
	return ok
}

// Stats returns the counters since the relay's start and the number of open links.
func (r *Relay) Stats() (s dispatcher.Stats, links int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats, len(r.links)
}

func (r *Relay) step(now time.Duration, es []dispatcher.Event) ([]dispatcher.Action, time.Duration) {
	as, next := r.decisions.Step(now, es)
	r.mu.Lock()
	r.stats = r.decisions.Stats()
	r.mu.Unlock()
	return as, next
}

func (r *Relay) perform(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Connect:
		go r.connect(a.Peer)
	case dispatcher.Disconnect:
		if l, ok := r.link(a.Peer); ok {
			l.Close()
		}
	case dispatcher.Forward:
		r.forward(a)
	case dispatcher.Abandon:
		if l, ok := r.link(a.Peer); ok && !l.Abandon(a.Session) {
			l.Close()
		}
	case dispatcher.Ping:
		if l, ok := r.link(a.Peer); ok && !l.Ping() {
			l.Close()
		}
	case caller.WriteAuditRecord:
		r.WriteAuditRecord(a.Record)
	default:
		performAnswer(r.Callers, a)
	}
}

// performAnswer answers a caller. It uses a new goroutine, because the caller may be slow to read.
func performAnswer(c Callers, a any) {
	switch a := a.(type) {
	case caller.Release:
		go c.Release(a)
	case caller.Complete:
		go c.Complete(a)
	case caller.Refuse:
		go c.Refuse(a)
	case caller.EndSession:
		go c.EndSession(a.Session)
	case caller.RouteExplained:
		a.Reply(a.Explanation)
	}
}

func (r *Relay) link(peer string) (*Link, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.links[peer]
	return l, ok
}

// forward sends a request to its dispatcher. It does nothing if the caller has just disconnected, since the decisions then get a
// caller.SessionClosed event. A request that the link did not take has not run: it may go elsewhere, also if it writes.
func (r *Relay) forward(a dispatcher.Forward) {
	p, ok := r.RequestPayload(a.Session, a.Seq)
	if !ok {
		return
	}
	l, open := r.link(a.Peer)
	if open && l.Forward(dispatcher.Job{Forward: a, Payload: p}) {
		return
	}
	r.Post(dispatcher.Declined{Peer: a.Peer, Session: a.Session, Seq: a.Seq})
	if open {
		l.Close()
	}
}

// connect opens a link and serves it until it ends.
func (r *Relay) connect(peer string) {
	ctx, stop := context.WithTimeout(r.ctx, linkDialTimeout)
	l, err := r.Dial(ctx, peer, r.linkHandler(peer))
	stop()
	if err != nil {
		r.DialFailed(peer, err)
		r.Post(dispatcher.LinkLost{Peer: peer})
		return
	}
	r.mu.Lock()
	r.links[peer] = &l
	r.mu.Unlock()
	r.Post(dispatcher.LinkUp{Peer: peer})
	if err := Contain(l.Serve); err != nil {
		r.Panicked(err)
		l.Close()
	}
	r.mu.Lock()
	if r.links[peer] == &l {
		delete(r.links, peer)
	}
	r.mu.Unlock()
	r.Post(dispatcher.LinkLost{Peer: peer})
}

func (r *Relay) linkHandler(peer string) LinkHandler {
	return LinkHandler{
		Pong:     func() { r.Post(dispatcher.Pong{Peer: peer}) },
		Draining: func() { r.Post(dispatcher.Draining{Peer: peer}) },
		Outcome: func(o dispatcher.Outcome) {
			switch {
			case o.Declined:
				r.Post(dispatcher.Declined{Peer: peer, Session: o.Session, Seq: o.Seq})
			case r.HoldAnswer(o):
				r.Post(dispatcher.Answered{Peer: peer, Session: o.Session, Seq: o.Seq, Floor: o.Floor, TransactionOpen: o.TransactionOpen})
			default:
				r.Post(dispatcher.Pong{Peer: peer})
			}
		},
	}
}

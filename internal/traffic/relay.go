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

// linkTimeout bounds the opening of a link to a dispatcher; within it a lost packet of the handshake is repeated once.
const linkTimeout = 1200 * time.Millisecond

// Relay is the traffic that a node hands to dispatchers.
type Relay struct {
	// Callers is the wire that the callers speak.
	Callers Callers
	// Work returns what a dispatcher needs to run a request that waits for its answer.
	Work func(id caller.SessionID, seq uint64) (dispatcher.Work, bool)
	// Hold keeps an answer for its caller until Release, and reports whether the caller still waits for it.
	Hold func(o dispatcher.Outcome) bool
	// Dial opens a link to a dispatcher, whose messages go to the given door.
	Dial func(ctx context.Context, peer string, in Inbound) (Link, error)
	// Failed takes note of a link that could not be opened.
	Failed func(peer string, err error)
	// Note puts a record into the audit trail.
	Note func(r operator.Record)

	decisions *dispatcher.Relay
	loop      *tick.Loop[dispatcher.Event, dispatcher.Action]
	ctx       context.Context

	mu    sync.Mutex
	links map[string]*Link
	stats dispatcher.Stats
}

// Link is the door to one dispatcher. Serve runs until the link ends; the others never block, and false stands for a link that is
// gone or cannot keep up.
type Link struct {
	Serve   func()
	Forward func(j dispatcher.Job) bool
	Abandon func(id caller.SessionID) bool
	Ask     func() bool
	Close   func()
}

// Inbound is where a link hands over what its dispatcher says.
type Inbound struct {
	Outcome func(o dispatcher.Outcome)
	Alive   func()
	Leaving func()
}

// NewRelay returns a relay that carries out the given decisions.
func NewRelay(ctx context.Context, clock tick.Clock, d *dispatcher.Relay) *Relay {
	r := &Relay{ctx: ctx, decisions: d, links: map[string]*Link{}}
	r.loop = tick.NewLoop(clock, r.step, r.perform)
	return r
}

// Run works until the context ends, and then closes all links.
func (r *Relay) Run() error {
	err := r.loop.Run(r.ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.Close()
	}
	return err
}

// Post hands events to the relay.
func (r *Relay) Post(e dispatcher.Event) {
	r.loop.Post(e)
}

// Up reports whether the link to a dispatcher is open.
func (r *Relay) Up(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.links[peer]
	return ok
}

// Stats returns the counts since the relay's start, and how many links are open.
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
	case dispatcher.Ask:
		if l, ok := r.link(a.Peer); ok && !l.Ask() {
			l.Close()
		}
	case caller.WriteAuditRecord:
		r.Note(a.Record)
	default:
		performAnswer(r.Callers, a)
	}
}

// performAnswer writes to a caller, in a goroutine of its own because the caller may be slow to read.
func performAnswer(c Callers, a any) {
	switch a := a.(type) {
	case caller.Release:
		go c.Release(a)
	case caller.Complete:
		go c.Complete(a)
	case caller.Refuse:
		go c.Refuse(a)
	case caller.EndSession:
		go c.End(a.Session)
	}
}

func (r *Relay) link(peer string) (*Link, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.links[peer]
	return l, ok
}

// forward hands a request over. If its caller has just gone, the decisions hear of that by themselves.
func (r *Relay) forward(a dispatcher.Forward) {
	w, ok := r.Work(a.Session, a.Seq)
	if !ok {
		return
	}
	if l, open := r.link(a.Peer); open && !l.Forward(dispatcher.Job{Forward: a, Work: w}) {
		l.Close()
	}
}

// connect opens a link and serves it until it ends.
func (r *Relay) connect(peer string) {
	ctx, stop := context.WithTimeout(r.ctx, linkTimeout)
	l, err := r.Dial(ctx, peer, r.inbound(peer))
	stop()
	if err != nil {
		r.Failed(peer, err)
		r.Post(dispatcher.LinkLost{Peer: peer})
		return
	}
	r.mu.Lock()
	r.links[peer] = &l
	r.mu.Unlock()
	r.Post(dispatcher.LinkUp{Peer: peer})
	l.Serve()
	r.mu.Lock()
	if r.links[peer] == &l {
		delete(r.links, peer)
	}
	r.mu.Unlock()
	r.Post(dispatcher.LinkLost{Peer: peer})
}

func (r *Relay) inbound(peer string) Inbound {
	return Inbound{
		Alive:   func() { r.Post(dispatcher.Alive{Peer: peer}) },
		Leaving: func() { r.Post(dispatcher.Leaving{Peer: peer}) },
		Outcome: func(o dispatcher.Outcome) {
			switch {
			case o.Declined:
				r.Post(dispatcher.Declined{Peer: peer, Session: o.Session, Seq: o.Seq})
			case r.Hold(o):
				r.Post(dispatcher.Answered{Peer: peer, Session: o.Session, Seq: o.Seq, Floor: o.Floor, Open: o.Open})
			default:
				r.Post(dispatcher.Alive{Peer: peer})
			}
		},
	}
}

package dispatcher

import (
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/table"
)

// Relay holds the tables of the requests that a node hands to dispatchers, and the systems that run over them each tick.
type Relay struct {
	groups   *table.Table[string, group]
	nodes    *table.Table[string, node]
	sessions *table.Table[caller.SessionID, callerSession]
	requests *table.Table[caller.SessionID, request]
	queue    []caller.SessionID
	expected time.Duration
	jitter   func(limit time.Duration) time.Duration
	trace    func(id string) bool
	stats    Stats
	out      []Action
	systems  []system
}

type system struct {
	name string
	run  func(r *Relay, now time.Duration)
}

// Option sets up a Relay.
type Option func(*Relay) error

// WithJitter replaces the source of random delays, which by default gives half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(r *Relay) error {
		r.jitter = f
		return nil
	}
}

// WithTrace has the way of those requests recorded, by their callers' names for them, that f picks.
func WithTrace(f func(id string) bool) Option {
	return func(r *Relay) error {
		r.trace = f
		return nil
	}
}

// NewRelay returns the relay of a node that knows no dispatchers yet.
func NewRelay(opts ...Option) (*Relay, error) {
	r := &Relay{
		groups:   table.New[string, group](),
		nodes:    table.New[string, node](),
		sessions: table.New[caller.SessionID, callerSession](),
		requests: table.New[caller.SessionID, request](),
		expected: table.Never,
		jitter:   func(limit time.Duration) time.Duration { return limit / 2 },
		trace:    func(string) bool { return false },
	}
	r.systems = []system{
		{"deadlines", expireRequests},
		{"silence", weighSilence},
		{"dispatch", dispatch},
	}
	for _, o := range opts {
		if err := o(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Stats returns the counts since the relay's start.
func (r *Relay) Stats() Stats {
	return r.stats
}

// Step takes what happened since the last step and returns what to do, and when to be called again at the latest.
func (r *Relay) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	r.out = nil
	r.noticePause(now)
	for _, e := range es {
		r.apply(now, e)
	}
	for _, s := range r.systems {
		s.run(r, now)
	}
	r.sessions.TakeDirty()
	r.requests.TakeDirty()
	r.nodes.TakeDirty()
	r.groups.TakeDirty()
	r.expected = min(r.requests.NextDue(), r.nodes.NextDue())
	return r.out, r.expected
}

// noticePause forgets a silence that stems from this node's own absence.
func (r *Relay) noticePause(now time.Duration) {
	if r.expected == table.Never || now-r.expected <= ownPause {
		return
	}
	for _, k := range r.nodes.Keys() {
		if n, _ := r.nodes.Get(k); n.phase == linkUp {
			r.nodes.Put(k, n.withHeard(now))
			r.nodes.Wake(k, now+silentAfter)
		}
	}
}

func (r *Relay) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Opened:
		r.sessions.Put(e.Session, callerSession{group: e.Group, floor: e.Floor})
	case caller.SessionClosed:
		r.closeSession(e.Session)
	case caller.RequestReceived:
		r.ask(now, e)
	case Assigned:
		r.assign(now, e)
	case LinkUp:
		r.linkUp(now, e.Peer)
	case LinkLost:
		r.linkLost(now, e.Peer)
	case Alive:
		r.hear(now, e.Peer)
	case Leaving:
		if n, ok := r.nodes.Get(e.Peer); ok {
			r.nodes.Put(e.Peer, n.withLeaving())
		}
	case Answered:
		r.answered(now, e)
	case Declined:
		r.declined(now, e)
	}
}

package dispatcher

import (
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/table"
)

// Relay holds the tables of the requests that a node forwards to dispatchers, and the systems that run over them each tick.
type Relay struct {
	groups     *table.Table[string, group]
	nodes      *table.Table[string, node]
	sessions   *table.Table[caller.SessionID, callerSession]
	requests   *table.Table[caller.SessionID, request]
	queue      []caller.SessionID
	nextStepAt time.Duration
	// draining is set once the node runs no further requests before it stops.
	draining bool
	jitter   func(limit time.Duration) time.Duration
	trace    func(id string) bool
	stats    Stats
	actions  []Action
	systems  []system
}

type system struct {
	name string
	run  func(r *Relay, now time.Duration)
}

// Option configures a Relay.
type Option func(*Relay) error

// WithJitter sets the source of random delays below a limit. By default the delay is half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(r *Relay) error {
		r.jitter = f
		return nil
	}
}

// WithTrace writes an audit record whenever a request is forwarded for whose ID f returns true.
func WithTrace(f func(id string) bool) Option {
	return func(r *Relay) error {
		r.trace = f
		return nil
	}
}

// NewRelay returns a relay without dispatchers. The error is that of an option.
func NewRelay(opts ...Option) (*Relay, error) {
	r := &Relay{
		groups:     table.New[string, group](),
		nodes:      table.New[string, node](),
		sessions:   table.New[caller.SessionID, callerSession](),
		requests:   table.New[caller.SessionID, request](),
		nextStepAt: table.Never,
		jitter:     func(limit time.Duration) time.Duration { return limit / 2 },
		trace:      func(string) bool { return false },
	}
	r.systems = []system{
		{"deadlines", expireRequests},
		{"silence", checkLinks},
		{"dispatch", dispatch},
	}
	for _, o := range opts {
		if err := o(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Stats returns the counts since the relay was created.
func (r *Relay) Stats() Stats {
	return r.stats
}

// Step applies the events since the last step. It returns the resulting actions, and the time by which Step must be called again.
func (r *Relay) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	r.actions = nil
	r.detectOwnPause(now)
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
	r.nextStepAt = min(r.requests.NextDue(), r.nodes.NextDue())
	return r.actions, r.nextStepAt
}

// detectOwnPause restarts the timeouts of all links when this step is late, because this node could not receive pongs during
// its own pause.
func (r *Relay) detectOwnPause(now time.Duration) {
	if r.nextStepAt == table.Never || now-r.nextStepAt <= maxTickDelay {
		return
	}
	for _, k := range r.nodes.Keys() {
		if n, _ := r.nodes.Get(k); n.phase == linkUp {
			r.nodes.Put(k, n.withContact(now))
			r.nodes.SetDue(k, now+pingAfter)
		}
	}
}

func (r *Relay) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case SessionOpened:
		r.sessions.Put(e.Session, callerSession{group: e.Group, floor: e.Floor})
	case caller.SessionClosed:
		r.closeSession(e.Session)
	case caller.RequestReceived:
		r.receiveRequest(now, e)
	case caller.DrainTransactions:
		r.drain(now)
	case caller.DrainDeadline:
		r.answerAll(now)
	case RouteQuestion:
		r.explainRoute(now, e)
	case DispatchersAssigned:
		r.assign(now, e)
	case LinkUp:
		r.linkUp(now, e.Peer)
	case LinkLost:
		r.linkLost(now, e.Peer)
	case Pong:
		r.recordContact(now, e.Peer)
	case Draining:
		if n, ok := r.nodes.Get(e.Peer); ok {
			r.nodes.Put(e.Peer, n.withDraining())
		}
	case Answered:
		r.answered(now, e)
	case Declined:
		r.declined(now, e)
	}
}

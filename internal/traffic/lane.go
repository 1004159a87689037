package traffic

import (
	"context"
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/tick"
)

const (
	dialTimeout   = 2 * time.Second
	cancelTimeout = time.Second
	slotsTimeout  = 400 * time.Millisecond
)

// Lane is the traffic of one database on this node.
type Lane struct {
	// Callers is the wire that the lane's callers speak.
	Callers Callers
	// Dial opens an upstream connection.
	Dial func(ctx context.Context, a caller.Open, post func(caller.Event)) (Upstream, error)
	// Hold asks a primary what a majority holds; false stands for a proof that it cannot give.
	Hold func(ctx context.Context, a caller.ConfirmLeadership) (caller.LeadershipConfirmed, bool, error)
	// Slots asks a server for slots.
	Slots func(ctx context.Context, a caller.RequestSlots) (caller.SlotsGranted, error)
	// Heard and Doubted tell control of servers that answered, and of some that did not.
	Heard   func(a caller.ResponseReceived)
	Doubted func(a caller.ServerSuspected)
	// Note puts a record into the audit trail.
	Note func(r operator.Record)

	database  string
	decisions *caller.Lane
	loop      *tick.Loop[caller.Event, caller.Action]
	ctx       context.Context

	mu        sync.Mutex
	upstreams map[caller.ConnID]Upstream
	dialing   map[caller.ConnID]context.CancelFunc
	snapshot  Snapshot
	taken     time.Duration
	stale     bool
}

// Callers is the door to a lane's callers; each function may be called from any goroutine and must not block for long.
type Callers struct {
	// Waiting reports whether a request still waits for its answer.
	Waiting func(id caller.SessionID, seq uint64) bool
	// Release, Complete and Refuse answer a request.
	Release  func(a caller.Release)
	Complete func(a caller.Complete)
	Refuse   func(a caller.Refuse)
	// End closes a session between two requests, Stop closes all sessions of the lane at once.
	End  func(id caller.SessionID)
	Stop func()
}

// Upstream is the door to one upstream connection. Serve runs what Send, Lookup and Bury hand over until the connection ends;
// Cancel asks for the end of what runs.
type Upstream struct {
	Serve  func()
	Send   func(a caller.Send)
	Lookup func(a caller.LookupOutcome)
	Bury   func(a caller.WriteTombstone)
	Cancel func(ctx context.Context)
	Close  func()
}

// Snapshot is what a lane tells operators about itself; it is never changed after it was made.
type Snapshot struct {
	Database string           `json:"database"`
	Stats    caller.Stats     `json:"stats"`
	Requests int              `json:"requests_in_flight"`
	Sessions int              `json:"sessions"`
	Servers  []ServerSnapshot `json:"servers"`
}

// ServerSnapshot is what a lane uses of one server.
type ServerSnapshot struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Alive   bool   `json:"alive"`
	Leaving bool   `json:"leaving"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Open    int    `json:"open"`
	Conns   int    `json:"connections"`
}

const snapshotEvery = 200 * time.Millisecond

// NewLane returns a lane that carries out the given decisions.
func NewLane(ctx context.Context, database string, clock tick.Clock, d *caller.Lane) *Lane {
	l := &Lane{
		database: database, decisions: d, ctx: ctx,
		Heard: func(caller.ResponseReceived) {}, Doubted: func(caller.ServerSuspected) {},
		upstreams: map[caller.ConnID]Upstream{}, dialing: map[caller.ConnID]context.CancelFunc{}, taken: -snapshotEvery,
	}
	l.loop = tick.NewLoop(clock, l.step, l.perform)
	return l
}

// Run works until the context ends, and then closes all upstream connections.
func (l *Lane) Run() error {
	err := l.loop.Run(l.ctx)
	l.Callers.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.upstreams {
		u.Close()
	}
	return err
}

// Post hands events to the lane.
func (l *Lane) Post(e caller.Event) {
	l.loop.Post(e)
}

// Snapshot returns the lane's latest picture of itself.
func (l *Lane) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshot
}

func (l *Lane) step(now time.Duration, es []caller.Event) ([]caller.Action, time.Duration) {
	as, next := l.decisions.Step(now, es)
	l.stale = l.stale || len(es) > 0
	switch {
	case l.stale && now-l.taken >= snapshotEvery:
		l.taken = now
		l.stale = false
		l.takeSnapshot()
	case l.stale:
		next = min(next, l.taken+snapshotEvery)
	}
	return as, next
}

func (l *Lane) takeSnapshot() {
	s := Snapshot{Database: l.database, Stats: l.decisions.Stats()}
	s.Requests, s.Sessions = l.decisions.InFlight()
	for _, v := range l.decisions.Servers() {
		s.Servers = append(s.Servers, ServerSnapshot{
			Name: v.View.Name, Role: string(v.View.Role), Term: v.View.Term, Alive: v.View.Alive,
			Leaving: v.View.Leaving, Slots: v.Slots, Running: v.Running, Open: v.OpenConns, Conns: v.ConnLimit,
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshot = s
}

func (l *Lane) perform(a caller.Action) {
	switch a := a.(type) {
	case caller.Open:
		l.open(a)
	case caller.Close:
		l.close(a.Conn)
	case caller.Send:
		l.send(a)
	case caller.LookupOutcome:
		if u, ok := l.upstream(a.Conn); ok {
			u.Lookup(a)
		}
	case caller.WriteTombstone:
		if u, ok := l.upstream(a.Conn); ok {
			u.Bury(a)
		}
	case caller.CancelUpstream:
		l.cancel(a)
	case caller.ConfirmLeadership:
		go l.prove(a)
	case caller.RequestSlots:
		go l.askSlots(a)
	case caller.ResponseReceived:
		l.Heard(a)
	case caller.ServerSuspected:
		l.Doubted(a)
	case caller.WriteAuditRecord:
		l.Note(a.Record)
	default:
		performAnswer(l.Callers, a)
	}
}

func (l *Lane) upstream(id caller.ConnID) (Upstream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.upstreams[id]
	return u, ok
}

func (l *Lane) open(a caller.Open) {
	ctx, stop := context.WithTimeout(l.ctx, dialTimeout)
	l.mu.Lock()
	l.dialing[a.Conn] = stop
	l.mu.Unlock()
	go l.dial(ctx, a)
}

func (l *Lane) dial(ctx context.Context, a caller.Open) {
	u, err := l.Dial(ctx, a, l.Post)
	l.mu.Lock()
	stop, wanted := l.dialing[a.Conn]
	delete(l.dialing, a.Conn)
	if err == nil && wanted {
		l.upstreams[a.Conn] = u
	}
	l.mu.Unlock()
	if wanted {
		stop()
	}
	switch {
	case err != nil:
		l.Post(caller.ConnFailed{Conn: a.Conn})
	case !wanted:
		u.Close()
	default:
		l.Post(caller.ConnOpened{Conn: a.Conn})
		u.Serve()
		l.forget(a.Conn)
		l.Post(caller.ConnLost{Conn: a.Conn})
	}
}

func (l *Lane) forget(id caller.ConnID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.upstreams, id)
}

func (l *Lane) close(id caller.ConnID) {
	l.mu.Lock()
	stop, dialing := l.dialing[id]
	delete(l.dialing, id)
	u, open := l.upstreams[id]
	delete(l.upstreams, id)
	l.mu.Unlock()
	if dialing {
		stop()
	}
	if open {
		u.Close()
	}
}

// send runs a request; where its caller has just gone, the connection stays as it was.
func (l *Lane) send(a caller.Send) {
	u, open := l.upstream(a.Conn)
	if !open || !l.Callers.Waiting(a.Session, a.Seq) {
		l.Post(caller.RequestInterrupted{Conn: a.Conn, Request: a.Request, Unsent: true})
		l.close(a.Conn)
		return
	}
	u.Send(a)
}

func (l *Lane) cancel(a caller.CancelUpstream) {
	u, ok := l.upstream(a.Conn)
	if !ok {
		l.Post(caller.CancelDone{Conn: a.Conn})
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(l.ctx, cancelTimeout)
		defer stop()
		u.Cancel(ctx)
	}()
}

func (l *Lane) askSlots(a caller.RequestSlots) {
	ctx, stop := context.WithTimeout(l.ctx, slotsTimeout)
	defer stop()
	r, err := l.Slots(ctx, a)
	if err != nil {
		l.Post(caller.SlotsFailed{Seq: a.Seq, Server: a.Server})
		return
	}
	l.Post(r)
}

func (l *Lane) prove(a caller.ConfirmLeadership) {
	ctx, stop := context.WithTimeout(l.ctx, caller.ConfirmationTimeout)
	defer stop()
	e, ok, err := l.Hold(ctx, a)
	if err != nil || !ok {
		l.Post(caller.LeadershipUnconfirmed{Confirmation: a.Confirmation})
		return
	}
	l.Post(e)
}

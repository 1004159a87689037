package traffic

import (
	"context"
	"errors"
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

// ErrConnectionLimit reports that a server refused a connection because it has as many as it accepts.
var ErrConnectionLimit = errors.New("the server has as many connections as it accepts")

// Lane runs the traffic of one database on this node.
type Lane struct {
	// Callers answers the lane's callers in their protocol.
	Callers Callers
	// Dial opens an upstream connection.
	Dial func(ctx context.Context, a caller.Open, post func(caller.Event)) (UpstreamConn, error)
	// ConfirmLeadership asks a primary which position a majority holds. It returns false if the primary cannot confirm that it
	// still leads.
	ConfirmLeadership func(ctx context.Context, a caller.ConfirmLeadership) (caller.LeadershipConfirmed, bool, error)
	// RequestSlots requests slots from a server.
	RequestSlots func(ctx context.Context, a caller.RequestSlots) (caller.SlotsGranted, error)
	// ResponseReceived and ServerSuspected report to control that a server answered or failed to answer.
	ResponseReceived func(a caller.ResponseReceived)
	ServerSuspected  func(a caller.ServerSuspected)
	// CommitsAcknowledged reports to control which commits were acknowledged.
	CommitsAcknowledged func(a caller.CommitsAcknowledged)
	// WriteAuditRecord writes a record to the audit trail.
	WriteAuditRecord func(r operator.Record)
	// Panicked reports a panic that cost an upstream connection.
	Panicked func(err error)

	database  string
	decisions *caller.Lane
	loop      *tick.Loop[caller.Event, caller.Action]
	ctx       context.Context

	mu            sync.Mutex
	upstreams     map[caller.ConnID]UpstreamConn
	dialing       map[caller.ConnID]context.CancelFunc
	snapshot      Snapshot
	snapshotAt    time.Duration
	snapshotStale bool
}

// Callers is the interface to a lane's callers. Its functions may be called from any goroutine and must not block for long.
type Callers struct {
	// IsWaiting reports whether a request still waits for its answer.
	IsWaiting func(id caller.SessionID, seq uint64) bool
	// Release, Complete and Refuse answer a request.
	Release  func(a caller.Release)
	Complete func(a caller.Complete)
	Refuse   func(a caller.Refuse)
	// EndSession closes a session between two requests. CloseSessions closes all sessions of the lane at once.
	EndSession    func(id caller.SessionID)
	CloseSessions func()
}

// UpstreamConn is the interface to one upstream connection. Serve runs what Send, LookupOutcome and WriteTombstone queue, until
// the connection ends. Cancel asks the server to cancel the running request.
type UpstreamConn struct {
	Serve          func()
	Send           func(a caller.Send)
	LookupOutcome  func(a caller.LookupOutcome)
	WriteTombstone func(a caller.WriteTombstone)
	Cancel         func(ctx context.Context)
	Close          func()
}

// Snapshot is the state of a lane as operators see it. It is immutable.
type Snapshot struct {
	Database string           `json:"database"`
	Stats    caller.Stats     `json:"stats"`
	Requests int              `json:"requests_in_flight"`
	Sessions int              `json:"sessions"`
	Servers  []ServerSnapshot `json:"servers"`
}

// ServerSnapshot is the state of one server in a lane.
type ServerSnapshot struct {
	Name      string `json:"name"`
	Role      string `json:"role"`
	Term      uint64 `json:"term"`
	Alive     bool   `json:"alive"`
	Leaving   bool   `json:"leaving"`
	Slots     int    `json:"slots"`
	Running   int    `json:"running"`
	OpenConns int    `json:"open"`
	ConnLimit int    `json:"connections"`
	// Limit is the learned limit of running requests, 0 if the limit is Slots. BaselineMS is the mean of the best recent answer times,
	// Slowdown how many times longer the latest answers took, and Failing the part of recent work that failed.
	Limit      float64 `json:"limit"`
	BaselineMS float64 `json:"baseline_ms"`
	Slowdown   float64 `json:"slowdown"`
	Failing    float64 `json:"failing"`
}

const snapshotInterval = 200 * time.Millisecond

// NewLane returns a lane that performs the actions of the given decisions.
func NewLane(ctx context.Context, database string, clock tick.Clock, d *caller.Lane) *Lane {
	l := &Lane{
		database: database, decisions: d, ctx: ctx,
		ResponseReceived: func(caller.ResponseReceived) {}, ServerSuspected: func(caller.ServerSuspected) {}, Panicked: func(error) {},
		CommitsAcknowledged: func(caller.CommitsAcknowledged) {},
		upstreams:           map[caller.ConnID]UpstreamConn{}, dialing: map[caller.ConnID]context.CancelFunc{},
		snapshotAt: -snapshotInterval,
	}
	l.loop = tick.NewLoop(clock, l.step, l.perform)
	return l
}

// Run runs the loop until the context ends, and then closes all sessions and upstream connections.
func (l *Lane) Run() error {
	err := l.loop.Run(l.ctx)
	l.Callers.CloseSessions()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.upstreams {
		u.Close()
	}
	return err
}

// Post queues an event for the lane.
func (l *Lane) Post(e caller.Event) {
	l.loop.Post(e)
}

// Snapshot returns the lane's latest snapshot.
func (l *Lane) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshot
}

func (l *Lane) step(now time.Duration, es []caller.Event) ([]caller.Action, time.Duration) {
	as, next := l.decisions.Step(now, es)
	l.snapshotStale = l.snapshotStale || len(es) > 0
	switch {
	case l.snapshotStale && now-l.snapshotAt >= snapshotInterval:
		l.snapshotAt = now
		l.snapshotStale = false
		l.takeSnapshot()
	case l.snapshotStale:
		next = min(next, l.snapshotAt+snapshotInterval)
	}
	return as, next
}

func (l *Lane) takeSnapshot() {
	s := Snapshot{Database: l.database, Stats: l.decisions.Stats()}
	s.Requests, s.Sessions = l.decisions.InFlight()
	for _, v := range l.decisions.Servers() {
		learned := caller.Capacity{}
		if v.Capacity.Max > 0 {
			learned = v.Capacity
		}
		s.Servers = append(s.Servers, ServerSnapshot{
			Name: v.View.Name, Role: string(v.View.Role), Term: v.View.Term, Alive: v.View.Alive,
			Leaving: v.View.Leaving, Slots: v.Slots, Running: v.Running, OpenConns: v.OpenConns, ConnLimit: v.ConnLimit,
			Limit: learned.Limit, BaselineMS: learned.Baseline.Seconds() * 1000, Slowdown: learned.Slowdown, Failing: learned.Failing,
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
			u.LookupOutcome(a)
		}
	case caller.WriteTombstone:
		if u, ok := l.upstream(a.Conn); ok {
			u.WriteTombstone(a)
		}
	case caller.CancelUpstream:
		l.cancel(a)
	case caller.ConfirmLeadership:
		go l.confirmLeadership(a)
	case caller.RequestSlots:
		go l.requestSlots(a)
	case caller.ResponseReceived:
		l.ResponseReceived(a)
	case caller.ServerSuspected:
		l.ServerSuspected(a)
	case caller.CommitsAcknowledged:
		l.CommitsAcknowledged(a)
	case caller.WriteAuditRecord:
		l.WriteAuditRecord(a.Record)
	default:
		performAnswer(l.Callers, a)
	}
}

func (l *Lane) upstream(id caller.ConnID) (UpstreamConn, bool) {
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
		l.Post(caller.ConnFailed{Conn: a.Conn, Full: errors.Is(err, ErrConnectionLimit)})
	case !wanted:
		u.Close()
	default:
		l.Post(caller.ConnOpened{Conn: a.Conn})
		if err := Contain(u.Serve); err != nil {
			l.Panicked(err)
			u.Close()
		}
		l.removeUpstream(a.Conn)
		l.Post(caller.ConnLost{Conn: a.Conn})
	}
}

func (l *Lane) removeUpstream(id caller.ConnID) {
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

// send runs a request. If the connection is closed or the caller no longer waits for the answer, it reports the request as unsent
// and closes the connection.
func (l *Lane) send(a caller.Send) {
	u, open := l.upstream(a.Conn)
	if !open || !l.Callers.IsWaiting(a.Session, a.Seq) {
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

func (l *Lane) requestSlots(a caller.RequestSlots) {
	ctx, stop := context.WithTimeout(l.ctx, slotsTimeout)
	defer stop()
	r, err := l.RequestSlots(ctx, a)
	if err != nil {
		l.Post(caller.SlotsFailed{Seq: a.Seq, Server: a.Server})
		return
	}
	l.Post(r)
}

func (l *Lane) confirmLeadership(a caller.ConfirmLeadership) {
	ctx, stop := context.WithTimeout(l.ctx, caller.ConfirmationTimeout)
	defer stop()
	e, ok, err := l.ConfirmLeadership(ctx, a)
	if err != nil || !ok {
		l.Post(caller.LeadershipUnconfirmed{Confirmation: a.Confirmation})
		return
	}
	l.Post(e)
}

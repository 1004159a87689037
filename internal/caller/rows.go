package caller

import (
	"time"

	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// SessionID identifies a session of a node.
type SessionID uint64

// RequestID identifies a request of a lane.
type RequestID uint64

// ConnID identifies an upstream connection of a lane. IDs are never reused, so that a late message about a closed connection
// cannot match a newer one.
type ConnID uint64

// Kind is the effect of a statement on a session's transaction.
type Kind uint8

// The kinds of statements.
const (
	KindRead Kind = iota
	KindWrite
	KindBegin
	KindCommit
	KindRollback
)

// Statement is what routing decisions need to know about a request. The request's bytes stay with the encoding.
type Statement struct {
	Kind  Kind
	Class bundle.Class
	// Key is the idempotency key, "" for none, and Version the configuration version that classified the request.
	Key     string
	Version uint64
	// ID is the caller's own name for the request, for the audit trail.
	ID string
	// ReadOnly is set if the statement begins a read-only transaction.
	ReadOnly bool
	// Writes is set if a batch which begins or commits a transaction also writes in it.
	Writes bool
	// Tenant is the tenant that sent the request, "" for none.
	Tenant string
	// Waited is how long the request has waited for its tenant's limit. It counts towards the deadline and the queue timeout.
	Waited time.Duration
}

// Keyed reports whether the request carries an idempotency key, which is stored with its work.
func (s Statement) Keyed() bool {
	return s.Key != ""
}

// Session is the row of one caller's session.
type Session struct {
	ID       SessionID
	User     string
	OpenedAt time.Duration
	// Floor is the position of the session's own work, Seen the highest position that a read has shown it.
	Floor      session.Position
	Seen       session.Position
	FloorKnown bool
	// FloorConfirmation is the confirmation from which the session learns its floor, zero for none.
	FloorConfirmation uint64
	// AllowStale is set if the session accepts stale reads, since no primary could confirm its floor.
	AllowStale bool
	// Active is the request in flight, zero for none.
	Active RequestID
	// TxConn is the connection of the open transaction, zero for none.
	TxConn ConnID
	// WriteSent is set if a request which writes has joined the transaction.
	WriteSent bool
	// WriteSucceeded is set if a write in the transaction was answered with success.
	WriteSucceeded bool
	// TxKey is the idempotency key that is stored with the transaction's commit.
	TxKey string
	// TxFailed is set if the transaction is lost and the caller has not ended it yet.
	TxFailed bool
	// Closing is set if the session ends when it has no request and no transaction.
	Closing bool
}

// WithFloor returns the row with its floor known and at least p.
func (s Session) WithFloor(p session.Position) Session {
	s.Floor = s.Floor.Max(p)
	s.FloorKnown = true
	s.FloorConfirmation = 0
	return s
}

// WithFloorConfirmation returns the row of a session that learns its floor from a confirmation.
func (s Session) WithFloorConfirmation(id uint64) Session {
	s.FloorConfirmation = id
	return s
}

// WithLoweredFloor returns the row after the caller was notified that work after the fork is lost.
func (s Session) WithLoweredFloor(f session.Fork) Session {
	s.Floor = session.Position{Term: f.Term, Offset: f.Start}
	s.Seen = s.Floor
	return s
}

// WithSeen returns the row after a read that showed a server's state at p.
func (s Session) WithSeen(p session.Position) Session {
	s.Seen = s.Seen.Max(p)
	return s
}

// WithAllowStale returns the row of a caller that accepts stale reads because no primary could confirm its floor.
func (s Session) WithAllowStale() Session {
	s.AllowStale = true
	return s
}

// WithActive returns the row with its request in flight, or zero for none.
func (s Session) WithActive(id RequestID) Session {
	s.Active = id
	return s
}

// WithTransaction returns the row with an open transaction on a connection.
func (s Session) WithTransaction(c ConnID) Session {
	s.TxConn = c
	return s
}

// WithWriteSent returns the row after a write joined its transaction. The first key is kept for the commit.
func (s Session) WithWriteSent(key string) Session {
	s.WriteSent = true
	if s.TxKey == "" {
		s.TxKey = key
	}
	return s
}

// WithWriteSucceeded returns the row after a write in its transaction succeeded.
func (s Session) WithWriteSucceeded() Session {
	s.WriteSucceeded = true
	return s
}

// WithoutTransaction returns the row outside of any transaction.
func (s Session) WithoutTransaction() Session {
	s.TxConn = 0
	s.WriteSent = false
	s.WriteSucceeded = false
	s.TxKey = ""
	s.TxFailed = false
	return s
}

// WithFailedTransaction returns the row whose transaction is lost but not yet ended by its caller.
func (s Session) WithFailedTransaction() Session {
	s = s.WithoutTransaction()
	s.TxFailed = true
	return s
}

// WithClosing returns the row of a session that ends when it has no request and no transaction.
func (s Session) WithClosing() Session {
	s.Closing = true
	return s
}

// RequiredPosition is the position that a server must have applied to serve the session's reads.
func (s Session) RequiredPosition() session.Position {
	return s.Floor.Max(s.Seen)
}

// Phase is the state of a request.
type Phase uint8

// The phases of a request.
const (
	// PhaseFloor waits until the session's floor is known.
	PhaseFloor Phase = iota
	PhaseQueued
	PhaseRunning
	// PhaseConfirming has an answer that waits for evidence.
	PhaseConfirming
	// PhaseResolving looks up the outcome of a lost answer.
	PhaseResolving
)

// Result is what is known about a request's outcome.
type Result uint8

// The results of a request. ResultRan and ResultNotRun come from the lookup of a lost answer's outcome.
const (
	ResultAnswered Result = iota
	ResultRan
	ResultNotRun
)

// Request is the row of one request.
type Request struct {
	ID        RequestID
	Session   SessionID
	Seq       uint64
	Statement Statement
	Phase     Phase
	// Arrived, Deadline, Started and Answered are when the request arrived, expires, was last sent and was answered.
	Arrived  time.Duration
	Deadline time.Duration
	Started  time.Duration
	Answered time.Duration
	Conn     ConnID
	Server   string
	// Position is the end of the request's commit in the log. Confirmation is the confirmation that it waits for, zero for
	// none.
	Position     session.Position
	Confirmation uint64
	Attempts     int
	// InFlight is the number of the lane's requests at the server when the request was last sent, including itself.
	InFlight int
	// Sent is set if an attempt may have run on a server, SentBefore if one before the last may have.
	Sent       bool
	SentBefore bool
	Cancelled  bool
	Result     Result
	// Outcome is the command tag stored under the request's key.
	Outcome string
	// AvoidServer is the server of the request's last failed attempt.
	AvoidServer string
	// TxConn is the connection of the transaction that the request belongs to.
	TxConn ConnID
	// Traced is set if each step of the request is recorded, even if nothing fails.
	Traced bool
	// Held is set if the answer is delivered only when the lane releases it.
	Held bool
	// PendingLeadership is set if the answer waits for evidence that the primary led when the request arrived.
	// PendingReplica is set if the answer waits until a replica is known to hold what the request committed.
	PendingLeadership bool
	PendingReplica    bool
}

// WithPendingReplica returns the row of a request whose commit at p was answered but is not yet known to be held by a
// replica.
func (r Request) WithPendingReplica(p session.Position) Request {
	r.Phase = PhaseConfirming
	r.Position = p
	r.PendingReplica = true
	r.Confirmation = 0
	return r
}

// WithHeld returns the row of a request whose answer is held, or not, until the lane releases it.
func (r Request) WithHeld(held bool) Request {
	r.Held = held
	return r
}

// WithPendingLeadership returns the row of a request whose answer waits for leadership evidence.
func (r Request) WithPendingLeadership() Request {
	r.PendingLeadership = true
	return r
}

// WithoutPendingLeadership returns the row of a request that is to be sent again.
func (r Request) WithoutPendingLeadership() Request {
	r.PendingLeadership = false
	r.Confirmation = 0
	return r
}

// WithPhase returns the row in another phase.
func (r Request) WithPhase(p Phase) Request {
	r.Phase = p
	return r
}

// WithRun returns the row running on a connection.
func (r Request) WithRun(now time.Duration, c ConnID, server string) Request {
	r.Phase = PhaseRunning
	r.Conn = c
	r.Server = server
	r.Started = now
	r.Attempts++
	r.SentBefore = r.Sent
	r.Sent = true
	return r
}

// WithInFlight returns the row sent as one of n requests of the lane at its server.
func (r Request) WithInFlight(n int) Request {
	r.InFlight = n
	return r
}

// WithoutConn returns the row after its connection was released or lost.
func (r Request) WithoutConn() Request {
	r.Conn = 0
	return r
}

// WithUnsent returns the row after an attempt of which no byte was sent.
func (r Request) WithUnsent() Request {
	r.Sent = r.SentBefore
	r.Conn = 0
	r.Attempts--
	return r
}

// WithDeclined returns the row after an attempt that the server did not run.
func (r Request) WithDeclined(server string) Request {
	r.AvoidServer = server
	r.Sent = r.SentBefore
	r.Conn = 0
	return r
}

// WithConfirming returns the row waiting for evidence about the position of its commit.
func (r Request) WithConfirming(now time.Duration, p session.Position, res Result) Request {
	r.Phase = PhaseConfirming
	r.Position = p
	r.Result = res
	r.Answered = now
	r.Confirmation = 0
	return r
}

// WithConfirmation returns the row with the confirmation that it waits for.
func (r Request) WithConfirmation(id uint64) Request {
	r.Confirmation = id
	return r
}

// WithOutcome returns the row with the outcome stored under its key.
func (r Request) WithOutcome(tag string) Request {
	r.Outcome = tag
	return r
}

// WithCancelled returns the row after a cancel was sent for it.
func (r Request) WithCancelled() Request {
	r.Cancelled = true
	return r
}

// WithResolving returns the row whose answer was lost and whose outcome is looked up until the deadline.
func (r Request) WithResolving(deadline time.Duration) Request {
	r.Phase = PhaseResolving
	r.Conn = 0
	r.Deadline = max(r.Deadline, deadline)
	return r
}

// ConnPhase is the state of an upstream connection.
type ConnPhase uint8

// The phases of an upstream connection. ConnInTransaction waits for the next request of its transaction.
const (
	ConnOpening ConnPhase = iota
	ConnIdle
	ConnBusy
	ConnInTransaction
)

// Conn is the row of one upstream connection.
type Conn struct {
	ID     ConnID
	Server string
	// Tenant is the tenant whose requests the connection serves, "" for requests without one.
	Tenant  string
	Phase   ConnPhase
	Request RequestID
	Session SessionID
	// PhaseSince is when the phase began.
	PhaseSince time.Duration
	OpenedAt   time.Duration
	// Long is set if the running request belongs to a long class.
	Long bool
	// Transaction is set if the connection belongs to an open transaction, or to a request that begins one.
	Transaction bool
	// Cancelling is set if a cancel request may still be in flight, which must not cancel another request.
	Cancelling bool
}

// WithCancelling returns the row with a cancel request in flight, or with none.
func (c Conn) WithCancelling(on bool) Conn {
	c.Cancelling = on
	return c
}

// WithTransaction returns the row in an open transaction, or in none.
func (c Conn) WithTransaction(open bool) Conn {
	c.Transaction = open
	return c
}

// WithPhase returns the row in another phase since now.
func (c Conn) WithPhase(now time.Duration, p ConnPhase) Conn {
	c.Phase = p
	c.PhaseSince = now
	return c
}

// WithRequest returns the row bound to a request, or to none.
func (c Conn) WithRequest(r RequestID, long bool) Conn {
	c.Request = r
	c.Long = long
	return c
}

// WithSession returns the row used by a session's transaction, or by none.
func (c Conn) WithSession(s SessionID) Conn {
	c.Session = s
	return c
}

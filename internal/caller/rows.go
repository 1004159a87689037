package caller

import (
	"time"

	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// SessionID numbers the sessions of a node.
type SessionID uint64

// RequestID numbers the requests of a lane.
type RequestID uint64

// ConnID numbers the upstream connections of a lane; it is never used again, so it is an epoch as well.
type ConnID uint64

// Kind says what a statement does to a session's transaction.
type Kind uint8

// The kinds of statements.
const (
	KindRead Kind = iota
	KindWrite
	KindBegin
	KindCommit
	KindRollback
)

// Statement is what the decisions need to know of a request; the bytes stay with the encoding.
type Statement struct {
	Kind    Kind
	Class   bundle.Class
	Key     string
	Version uint64
	// ID is the caller's own name for the request, for the log.
	ID string
	// ReadOnly says that the transaction which a statement begins only reads.
	ReadOnly bool
	// Writes says that a batch which begins or commits a transaction writes in it as well.
	Writes bool
}

// Keyed reports whether the request must leave its idempotency key with its work.
func (s Statement) Keyed() bool {
	return s.Key != ""
}

// Session is the row of one caller's session.
type Session struct {
	ID         SessionID
	User       string
	OpenedAt    time.Duration
	Floor      session.Position
	Seen       session.Position
	FloorKnown bool
	FloorConfirmation uint64
	AllowStale      bool
	Active     RequestID
	TxConn       ConnID
	WriteSent      bool
	// WriteSucceeded says that a write in the transaction was answered with success.
	WriteSucceeded bool
	TxKey     string
	TxFailed  bool
	Closing bool
}

// WithFloor returns the row with its floor known and at least p.
func (s Session) WithFloor(p session.Position) Session {
	s.Floor = s.Floor.Max(p)
	s.FloorKnown = true
	s.FloorConfirmation = 0
	return s
}

// WithFloorConfirmation returns the row waiting for the numbered proof to learn its floor.
func (s Session) WithFloorConfirmation(id uint64) Session {
	s.FloorConfirmation = id
	return s
}

// WithLoweredFloor returns the row after its caller was told that work beyond the fork is lost.
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

// WithAllowStale returns the row of a caller that accepts stale reads because no primary could tell its floor.
func (s Session) WithAllowStale() Session {
	s.AllowStale = true
	return s
}

// WithActive returns the row with the request that it waits for, or zero for none.
func (s Session) WithActive(id RequestID) Session {
	s.Active = id
	return s
}

// WithTransaction returns the row with an open transaction on a connection.
func (s Session) WithTransaction(c ConnID) Session {
	s.TxConn = c
	return s
}

// WithWriteSent returns the row after a write in its transaction; a key is kept for the commit.
func (s Session) WithWriteSent(key string) Session {
	s.WriteSent = true
	if s.TxKey == "" {
		s.TxKey = key
	}
	return s
}

// WithWriteSucceeded returns the row after a write in its transaction that succeeded.
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

// WithFailedTransaction returns the row whose transaction is gone but not yet ended by its caller.
func (s Session) WithFailedTransaction() Session {
	s = s.WithoutTransaction()
	s.TxFailed = true
	return s
}

// WithClosing returns the row of a session that ends as soon as nothing is in flight.
func (s Session) WithClosing() Session {
	s.Closing = true
	return s
}

// RequiredPosition is the position that a server must have applied to serve the session's reads.
func (s Session) RequiredPosition() session.Position {
	return s.Floor.Max(s.Seen)
}

// Phase is how far a request has come.
type Phase uint8

// The phases of a request.
const (
	PhaseFloor Phase = iota
	PhaseQueued
	PhaseRunning
	PhaseConfirming
	PhaseResolving
)

// Result is what settlement found out about a request.
type Result uint8

// The results of settlement.
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
	Arrived   time.Duration
	Deadline  time.Duration
	Started   time.Duration
	Answered  time.Duration
	Conn      ConnID
	Server    string
	Position  session.Position
	Confirmation     uint64
	Attempts  int
	Sent      bool
	Cancelled bool
	Result    Result
	Outcome   string
	// AvoidServer is the server that failed the request's last attempt.
	AvoidServer string
	// TxConn is the connection of the transaction that the request belongs to.
	TxConn ConnID
	// Traced says that the request's way is recorded even if nothing goes wrong.
	Traced bool
	// Held says that the answer goes to its caller only by the lane's word.
	Held bool
	// PendingLeadership says that the answer waits for evidence that the primary led when the request arrived, Keep that it waits until a
	// replica is known to hold what the request committed.
	PendingLeadership bool
	PendingReplica bool
}

// WithPendingReplica returns the row of a request whose commit ends at p, answered but not yet known to be held by a replica.
func (r Request) WithPendingReplica(p session.Position) Request {
	r.Phase = PhaseConfirming
	r.Position = p
	r.PendingReplica = true
	r.Confirmation = 0
	return r
}

// WithHeld returns the row of a request whose answer is kept back, or not, until the lane has taken note of it.
func (r Request) WithHeld(held bool) Request {
	r.Held = held
	return r
}

// WithPendingLeadership returns the row of a request whose answer waits for evidence about the primary.
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
	r.Sent = true
	return r
}

// WithoutConn returns the row after its connection was given back or lost.
func (r Request) WithoutConn() Request {
	r.Conn = 0
	return r
}

// WithUnsent returns the row after an attempt of which no byte left.
func (r Request) WithUnsent() Request {
	r.Sent = false
	r.Conn = 0
	r.Attempts--
	return r
}

// WithDeclined returns the row after an attempt that the server did not run.
func (r Request) WithDeclined(server string) Request {
	r.AvoidServer = server
	r.Sent = false
	r.Conn = 0
	return r
}

// WithConfirming returns the row waiting for evidence about the position at which it committed.
func (r Request) WithConfirming(now time.Duration, p session.Position, res Result) Request {
	r.Phase = PhaseConfirming
	r.Position = p
	r.Result = res
	r.Answered = now
	r.Confirmation = 0
	return r
}

// WithConfirmation returns the row with the number of the proof that it waits for.
func (r Request) WithConfirmation(id uint64) Request {
	r.Confirmation = id
	return r
}

// WithOutcome returns the row with the outcome recorded under its key.
func (r Request) WithOutcome(tag string) Request {
	r.Outcome = tag
	return r
}

// WithCancelled returns the row after a cancel was sent for it.
func (r Request) WithCancelled() Request {
	r.Cancelled = true
	return r
}

// WithResolving returns the row whose answer was lost and whose outcome must be looked up until the deadline.
func (r Request) WithResolving(deadline time.Duration) Request {
	r.Phase = PhaseResolving
	r.Conn = 0
	r.Deadline = max(r.Deadline, deadline)
	return r
}

// ConnPhase is the state of an upstream connection.
type ConnPhase uint8

// The phases of an upstream connection.
const (
	ConnOpening ConnPhase = iota
	ConnIdle
	ConnBusy
	ConnInTransaction
)

// Conn is the row of one upstream connection.
type Conn struct {
	ID      ConnID
	Server  string
	Phase   ConnPhase
	Request RequestID
	Session SessionID
	PhaseSince   time.Duration
	OpenedAt  time.Duration
	// Long says that the request which runs on the connection belongs to a class of long ones.
	Long bool
	// Cancelling says that a cancel may still be on its way, which must not hit another request.
	Cancelling bool
}

// WithCancelling returns the row with a cancel on its way, or with none any more.
func (c Conn) WithCancelling(on bool) Conn {
	c.Cancelling = on
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

// WithSession returns the row held by a session's transaction, or by none.
func (c Conn) WithSession(s SessionID) Conn {
	c.Session = s
	return c
}

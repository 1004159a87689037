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
	Arrived    time.Duration
	Floor      session.Position
	Seen       session.Position
	FloorKnown bool
	FloorProof uint64
	Stale      bool
	Active     RequestID
	Conn       ConnID
	Wrote      bool
	// Changed says that a write in the transaction was answered with success.
	Changed bool
	Key     string
	Failed  bool
	Closing bool
}

// WithFloor returns the row with its floor known and at least p.
func (s Session) WithFloor(p session.Position) Session {
	s.Floor = s.Floor.Max(p)
	s.FloorKnown = true
	s.FloorProof = 0
	return s
}

// WithFloorProof returns the row waiting for the numbered proof to learn its floor.
func (s Session) WithFloorProof(id uint64) Session {
	s.FloorProof = id
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

// WithStale returns the row of a caller that accepts stale reads because no primary could tell its floor.
func (s Session) WithStale() Session {
	s.Stale = true
	return s
}

// WithActive returns the row with the request that it waits for, or zero for none.
func (s Session) WithActive(id RequestID) Session {
	s.Active = id
	return s
}

// WithTransaction returns the row with an open transaction on a connection.
func (s Session) WithTransaction(c ConnID) Session {
	s.Conn = c
	return s
}

// WithWrite returns the row after a write in its transaction; a key is kept for the commit.
func (s Session) WithWrite(key string) Session {
	s.Wrote = true
	if s.Key == "" {
		s.Key = key
	}
	return s
}

// WithChange returns the row after a write in its transaction that succeeded.
func (s Session) WithChange() Session {
	s.Changed = true
	return s
}

// WithoutTransaction returns the row outside of any transaction.
func (s Session) WithoutTransaction() Session {
	s.Conn = 0
	s.Wrote = false
	s.Changed = false
	s.Key = ""
	s.Failed = false
	return s
}

// WithFailedTransaction returns the row whose transaction is gone but not yet ended by its caller.
func (s Session) WithFailedTransaction() Session {
	s = s.WithoutTransaction()
	s.Failed = true
	return s
}

// WithClosing returns the row of a session that ends as soon as nothing is in flight.
func (s Session) WithClosing() Session {
	s.Closing = true
	return s
}

// Need is the position that a server must have applied to serve the session's reads.
func (s Session) Need() session.Position {
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
	Proof     uint64
	Attempts  int
	Sent      bool
	Cancelled bool
	Result    Result
	Outcome   string
	// Avoid is the server that failed the request's last attempt.
	Avoid string
	// Joined is the connection of the transaction that the request belongs to.
	Joined ConnID
	// Traced says that the request's way is recorded even if nothing goes wrong.
	Traced bool
	// Held says that the answer goes to its caller only by the lane's word.
	Held bool
	// Lead says that the answer waits for evidence that the primary led when the request arrived, Keep that it waits until a
	// replica is known to hold what the request committed.
	Lead bool
	Keep bool
}

// WithKeep returns the row of a request whose commit ends at p, answered but not yet known to be held by a replica.
func (r Request) WithKeep(p session.Position) Request {
	r.Phase = PhaseConfirming
	r.Position = p
	r.Keep = true
	r.Proof = 0
	return r
}

// WithHeld returns the row of a request whose answer is kept back, or not, until the lane has taken note of it.
func (r Request) WithHeld(held bool) Request {
	r.Held = held
	return r
}

// WithLead returns the row of a request whose answer waits for evidence about the primary.
func (r Request) WithLead() Request {
	r.Lead = true
	return r
}

// WithoutLead returns the row of a request that is to be sent again.
func (r Request) WithoutLead() Request {
	r.Lead = false
	r.Proof = 0
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
	r.Avoid = server
	r.Sent = false
	r.Conn = 0
	return r
}

// WithProving returns the row waiting for evidence about the position at which it committed.
func (r Request) WithProving(now time.Duration, p session.Position, res Result) Request {
	r.Phase = PhaseConfirming
	r.Position = p
	r.Result = res
	r.Answered = now
	r.Proof = 0
	return r
}

// WithProof returns the row with the number of the proof that it waits for.
func (r Request) WithProof(id uint64) Request {
	r.Proof = id
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

// WithSettling returns the row whose answer was lost and whose outcome must be looked up until the deadline.
func (r Request) WithSettling(deadline time.Duration) Request {
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
	Since   time.Duration
	Opened  time.Duration
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
	c.Since = now
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

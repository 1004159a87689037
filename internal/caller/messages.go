package caller

import (
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// Event is something that happened to callers, requests, connections or servers, as input to a lane.
type Event interface{ callerEvent() }

// SessionOpened reports a caller that passed authentication. HasFloor is set if it presented a session token.
type SessionOpened struct {
	Session  SessionID
	User     string
	Floor    session.Position
	HasFloor bool
}

// SessionClosed reports that a caller disconnected.
type SessionClosed struct {
	Session SessionID
}

// RequestReceived reports a caller's request. Seq numbers the requests of a session.
type RequestReceived struct {
	Session   SessionID
	Seq       uint64
	Statement Statement
}

// TokenReceived reports a session token that a caller presented after its session was opened.
type TokenReceived struct {
	Session SessionID
	Floor   session.Position
}

// CancelRequested reports that a caller asked to cancel its request in flight.
type CancelRequested struct {
	Session SessionID
}

// CancelDone reports that no cancel request for the connection is in flight any more.
type CancelDone struct {
	Conn ConnID
}

// ConnOpened reports an upstream connection that is ready for use.
type ConnOpened struct {
	Conn ConnID
}

// ConnFailed reports an upstream connection that could not be opened. Full is set if the server has as many connections as it
// accepts.
type ConnFailed struct {
	Conn ConnID
	Full bool
}

// ConnLost reports an upstream connection that broke while it served no request.
type ConnLost struct {
	Conn ConnID
}

// Replied reports a server's complete answer to a request.
type Replied struct {
	Conn            ConnID
	Request         RequestID
	Position        session.Position
	TransactionOpen bool
	Failed          bool
	// Tag is the command tag of the answer.
	Tag string
	// Duplicate is set if the request's key was already present, so that the server did not do the work again.
	Duplicate bool
}

// RequestInterrupted reports that a request's connection broke before the complete answer arrived.
type RequestInterrupted struct {
	Conn    ConnID
	Request RequestID
	// Unsent is set if no byte of the request was sent, Streamed if part of the answer went to the caller.
	Unsent   bool
	Streamed bool
	// GivenUp is set if the lane itself closed the connection.
	GivenUp bool
}

// LeadershipConfirmed reports that, after the confirmation was requested, the primary led Term and a majority held its log
// up to the requested position.
type LeadershipConfirmed struct {
	Confirmation uint64
	Term         uint64
	End          session.Position
	Forks        []session.Fork
	// Paused is set if the answering server follows no primary because a promotion paused it.
	Paused bool
}

// LeadershipUnconfirmed reports that a server could not confirm the primary's leadership.
type LeadershipUnconfirmed struct {
	Confirmation uint64
}

// OutcomeLookedUp reports the outcome that is stored under a request's key, if there is one. Tombstoned is set if it is a
// tombstone.
type OutcomeLookedUp struct {
	Conn       ConnID
	Request    RequestID
	Found      bool
	Tombstoned bool
	Outcome    string
	Position   session.Position
}

// TombstoneWritten reports the result of inserting a tombstone. Duplicate is set if the key already had an outcome.
type TombstoneWritten struct {
	Conn      ConnID
	Request   RequestID
	Duplicate bool
	Position  session.Position
}

// ViewUpdated reports a newer snapshot of the lane's group.
type ViewUpdated struct {
	View upstream.GroupView
}

// LimitsUpdated sets this node's share of a server's slots and connections. Retired is set if the node does not serve the group any
// more, and finishes only what it has accepted.
type LimitsUpdated struct {
	Server  string
	Slots   int
	Conns   int
	Retired bool
	// MaxSlots is what the slots may grow to while the server's answers show that there is room. Zero means that Slots is fixed.
	MaxSlots int
}

// DrainStarted reports that the node is draining.
type DrainStarted struct{}

// DrainTransactions reports that the time has passed in which open transactions may end on a draining node. From now on each of
// their requests is refused, except one that ends its transaction by rolling it back.
type DrainTransactions struct{}

// DrainDeadline reports that a draining node is about to stop. Requests that still run are answered with what is known about them.
type DrainDeadline struct{}

func (SessionOpened) callerEvent()         {}
func (SessionClosed) callerEvent()         {}
func (RequestReceived) callerEvent()       {}
func (TokenReceived) callerEvent()         {}
func (CancelRequested) callerEvent()       {}
func (CancelDone) callerEvent()            {}
func (ConnOpened) callerEvent()            {}
func (ConnFailed) callerEvent()            {}
func (ConnLost) callerEvent()              {}
func (Replied) callerEvent()               {}
func (RequestInterrupted) callerEvent()    {}
func (LeadershipConfirmed) callerEvent()   {}
func (LeadershipUnconfirmed) callerEvent() {}
func (OutcomeLookedUp) callerEvent()       {}
func (TombstoneWritten) callerEvent()      {}
func (ViewUpdated) callerEvent()           {}
func (LimitsUpdated) callerEvent()         {}
func (DrainStarted) callerEvent()          {}
func (DrainTransactions) callerEvent()     {}
func (DrainDeadline) callerEvent()         {}

// Action is something that the lane's owner has to do.
type Action interface{ callerAction() }

// Open starts an upstream connection.
type Open struct {
	Conn    ConnID
	Server  string
	Address string
	// Tenant is the tenant that the server is told, "" for none.
	Tenant string
}

// Close closes an upstream connection immediately.
type Close struct {
	Conn ConnID
}

// KeyInsert is the way in which a request's idempotency key is stored with its work.
type KeyInsert uint8

// The ways of storing a key.
const (
	// KeyInsertNone stores no key.
	KeyInsertNone KeyInsert = iota
	// KeyInsertTransaction runs the request and the insertion of its key in one new transaction.
	KeyInsertTransaction
	// KeyInsertBeforeCommit inserts the key in the open transaction before the request, which is its commit.
	KeyInsertBeforeCommit
)

// Send runs a request on a connection. With Hold, the answer is held until Release, Refuse or Complete.
type Send struct {
	Conn       ConnID
	Request    RequestID
	Session    SessionID
	Seq        uint64
	Hold       bool
	KeyInsert  KeyInsert
	Key        string
	AllowStale bool
	// RequiredPosition is the position that the answer to a read must show. An answer with a lower position is not
	// delivered.
	RequiredPosition session.Position
}

// Release delivers a held answer to its caller.
type Release struct {
	Session SessionID
	Seq     uint64
	Floor   session.Position
}

// Complete answers a request with the outcome stored under its key.
type Complete struct {
	Session SessionID
	Seq     uint64
	Tag     string
	Floor   session.Position
}

// Refuse answers a request with an error.
type Refuse struct {
	Session SessionID
	Seq     uint64
	Refusal Refusal
	// TransactionFailed is set if the transaction is lost and the caller still has to end it.
	TransactionFailed bool
	// PartSent is set if part of the answer was already sent to the caller.
	PartSent bool
}

// LookupOutcome asks the current primary for the outcome stored under a key.
type LookupOutcome struct {
	Conn    ConnID
	Request RequestID
	Key     string
}

// WriteTombstone inserts a tombstone under a key, so that the work can never be committed later.
type WriteTombstone struct {
	Conn    ConnID
	Request RequestID
	Key     string
}

// ConfirmLeadership asks a server to confirm that the primary leads and that a majority holds Position.
type ConfirmLeadership struct {
	Confirmation uint64
	Server       string
	Address      string
	Position     session.Position
}

// CancelUpstream cancels the request that runs on a connection. CancelDone follows when no cancel request is in flight any
// more.
type CancelUpstream struct {
	Conn    ConnID
	Request RequestID
}

// EndSession closes a session between two requests because the node is draining.
type EndSession struct {
	Session SessionID
}

// WriteAuditRecord appends a record to the audit trail.
type WriteAuditRecord struct {
	Record operator.Record
}

// ResponseReceived reports to control that a server answered a request that was sent at SentAt.
type ResponseReceived struct {
	Server string
	SentAt time.Duration
}

// ServerSuspected reports to control that a server failed to answer. WriteStalled is set if the answer to a write is overdue.
type ServerSuspected struct {
	Server       string
	WriteStalled bool
}

// CommitsAcknowledged reports to control that commits up to a position were acknowledged to their callers.
type CommitsAcknowledged struct {
	Position session.Position
}

func (CommitsAcknowledged) callerAction() {}
func (ResponseReceived) callerAction()    {}
func (ServerSuspected) callerAction()     {}
func (Open) callerAction()                {}
func (Close) callerAction()               {}
func (Send) callerAction()                {}
func (Release) callerAction()             {}
func (Complete) callerAction()            {}
func (Refuse) callerAction()              {}
func (LookupOutcome) callerAction()       {}
func (WriteTombstone) callerAction()      {}
func (ConfirmLeadership) callerAction()   {}
func (CancelUpstream) callerAction()      {}
func (EndSession) callerAction()          {}
func (WriteAuditRecord) callerAction()    {}

// Reason is the reason for which a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonOverload means that the request could not be served within its deadline; it did not run.
	ReasonOverload Reason = iota
	// ReasonNoPrimary means that no primary could be reached; the request did not run.
	ReasonNoPrimary
	// ReasonTimeout means that the deadline passed before the request was sent; it did not run.
	ReasonTimeout
	// ReasonDraining means that the node is draining; the request did not run.
	ReasonDraining
	// ReasonNotRun means that the answer was lost, and that a tombstone prevents the request from ever running.
	ReasonNotRun
	// ReasonRolledBack means that the transaction was lost before its commit and had no effect.
	ReasonRolledBack
	// ReasonDiscarded means that the transaction committed on a primary that was replaced, and that the promotion dropped
	// it.
	ReasonDiscarded
	// ReasonUnknown means that the outcome could not be resolved in time.
	ReasonUnknown
	// ReasonInterrupted means that a read failed after part of its answer was sent, failed too often, or was answered
	// without evidence that the primary led.
	ReasonInterrupted
	// ReasonLostWork means that a promotion dropped work that this session had seen.
	ReasonLostWork
	// ReasonNoFloor means that no primary confirmed the session's floor in time; the request did not run.
	ReasonNoFloor
	// ReasonFailedTransaction means that the caller has to end its failed transaction first; the request did not run.
	ReasonFailedTransaction
	// ReasonCancelled means that the caller cancelled the request before it was sent.
	ReasonCancelled
	// ReasonOverLimit means that the tenant has reached the limit of its operations; the request did not run.
	ReasonOverLimit
)

// Refusal is a typed error for a caller. Retry is a hint for the delay before the next attempt; zero means no hint.
type Refusal struct {
	Reason Reason
	Key    string
	Retry  time.Duration
	Detail string
}

// NotRun reports whether the refusal guarantees that the request did not run and never will.
func (r Refusal) NotRun() bool {
	switch r.Reason {
	case ReasonUnknown, ReasonInterrupted:
		return false
	default:
		return true
	}
}

// SQLState returns the SQLSTATE that callers receive with the refusal.
func (r Refusal) SQLState() string {
	switch r.Reason {
	case ReasonOverload:
		return "53300"
	case ReasonNoPrimary, ReasonTimeout:
		return "57P03"
	case ReasonDraining:
		return "57P01"
	case ReasonNotRun, ReasonRolledBack, ReasonDiscarded:
		return "40001"
	case ReasonUnknown:
		return "08007"
	case ReasonInterrupted:
		return "08006"
	case ReasonLostWork:
		return "XP001"
	case ReasonNoFloor:
		return "XP002"
	case ReasonFailedTransaction:
		return "25P02"
	case ReasonOverLimit:
		return "53400"
	default:
		return "57014"
	}
}

// Error returns the refusal's message and its detail.
func (r Refusal) Error() string {
	s := refusalTexts[r.Reason]
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	return s
}

var refusalTexts = map[Reason]string{
	ReasonOverload:          "not run: the database has no capacity for this request within its deadline",
	ReasonNoPrimary:         "not run: the database has no reachable primary",
	ReasonTimeout:           "not run: the deadline passed while the request was waiting",
	ReasonDraining:          "not run: this proxy is leaving, connect again",
	ReasonNotRun:            "not run: the answer was lost, and the request can no longer take effect",
	ReasonRolledBack:        "not run: the transaction was lost before its commit",
	ReasonDiscarded:         "not run: the primary was replaced before the commit was held by a majority",
	ReasonUnknown:           "outcome unknown: the answer was lost and could not be settled in time",
	ReasonInterrupted:       "the answer was cut short",
	ReasonLostWork:          "a change of primary dropped work that this session had seen",
	ReasonNoFloor:           "not run: no primary can tell what this session has written",
	ReasonFailedTransaction: "not run: the current transaction has failed, end it first",
	ReasonCancelled:         "not run: cancelled by the caller",
	ReasonOverLimit:         "not run: over the tenant's limit",
}

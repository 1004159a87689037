package caller

import (
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// Event is something that a lane learned about callers or their requests.
type Event interface{ callerEvent() }

// SessionOpened is a caller that passed authentication; HasFloor tells whether it brought a token.
type SessionOpened struct {
	Session  SessionID
	User     string
	Floor    session.Position
	HasFloor bool
}

// SessionClosed is a caller that went away.
type SessionClosed struct {
	Session SessionID
}

// RequestReceived is a request; Seq counts the requests of a session.
type RequestReceived struct {
	Session   SessionID
	Seq       uint64
	Statement Statement
}

// TokenReceived is a token that a caller handed over after its session had begun.
type TokenReceived struct {
	Session SessionID
	Floor   session.Position
}

// CancelRequested is a caller's wish to give up the request in flight.
type CancelRequested struct {
	Session SessionID
}

// CancelDone says that no cancel for the connection is on its way any more.
type CancelDone struct {
	Conn ConnID
}

// ConnOpened is an upstream connection that is ready for use.
type ConnOpened struct {
	Conn ConnID
}

// ConnFailed is an upstream connection that could not be opened.
type ConnFailed struct {
	Conn ConnID
}

// ConnLost is an upstream connection that broke while it was not serving a request.
type ConnLost struct {
	Conn ConnID
}

// Replied is the whole answer of a server to a request.
type Replied struct {
	Conn     ConnID
	Request  RequestID
	Position session.Position
	TransactionOpen     bool
	Failed   bool
	Tag      string
	// Duplicate says that the request's key was already present, so that its work was not done again.
	Duplicate bool
}

// RequestInterrupted is a request whose connection broke before the whole answer came.
type RequestInterrupted struct {
	Conn     ConnID
	Request  RequestID
	Unsent   bool
	Streamed bool
	// GivenUp says that the lane itself closed the connection.
	GivenUp bool
}

// LeadershipConfirmed is a primary's word that it led Term, and a majority held its log up to the position asked for, after the
// proof was sent.
type LeadershipConfirmed struct {
	Confirmation uint64
	Term  uint64
	End   session.Position
	Forks []session.Fork
	// Paused says that the asked server followed nobody, since a promotion had paused it.
	Paused bool
}

// LeadershipUnconfirmed is a proof that the asked server could not give.
type LeadershipUnconfirmed struct {
	Confirmation uint64
}

// OutcomeLookedUp is the outcome recorded under a request's key, if there is one.
type OutcomeLookedUp struct {
	Conn     ConnID
	Request  RequestID
	Found    bool
	Tombstoned   bool
	Outcome  string
	Position session.Position
}

// TombstoneWritten is the answer to the insertion of a tombstone under a request's key.
type TombstoneWritten struct {
	Conn      ConnID
	Request   RequestID
	Duplicate bool
	Position  session.Position
}

// ViewUpdated is a newer picture of the lane's group.
type ViewUpdated struct {
	View upstream.GroupView
}

// LimitsUpdated sets this node's share of each server's slots and connections.
type LimitsUpdated struct {
	Server string
	Slots  int
	Conns  int
}

// DrainStarted says that the node is leaving.
type DrainStarted struct{}

func (SessionOpened) callerEvent() {}
func (SessionClosed) callerEvent() {}
func (RequestReceived) callerEvent()         {}
func (TokenReceived) callerEvent()    {}
func (CancelRequested) callerEvent()   {}
func (CancelDone) callerEvent()    {}
func (ConnOpened) callerEvent()    {}
func (ConnFailed) callerEvent()    {}
func (ConnLost) callerEvent()      {}
func (Replied) callerEvent()       {}
func (RequestInterrupted) callerEvent()        {}
func (LeadershipConfirmed) callerEvent()        {}
func (LeadershipUnconfirmed) callerEvent()   {}
func (OutcomeLookedUp) callerEvent()      {}
func (TombstoneWritten) callerEvent()        {}
func (ViewUpdated) callerEvent()        {}
func (LimitsUpdated) callerEvent()       {}
func (DrainStarted) callerEvent()    {}

// Action is something that a lane is to do.
type Action interface{ callerAction() }

// Open starts an upstream connection.
type Open struct {
	Conn    ConnID
	Server  string
	Address string
}

// Close ends an upstream connection at once.
type Close struct {
	Conn ConnID
}

// KeyInsert says how a request's key is left with its work.
type KeyInsert uint8

// The ways of leaving a key.
const (
	// KeyInsertNone leaves no key.
	KeyInsertNone KeyInsert = iota
	// KeyInsertTransaction puts the request into a transaction of its own together with the key.
	KeyInsertTransaction
	// KeyInsertBeforeCommit inserts the key before the commit that the request is.
	KeyInsertBeforeCommit
)

// Send runs a request on a connection; a held answer waits for Release, Refuse or Complete.
type Send struct {
	Conn    ConnID
	Request RequestID
	Session SessionID
	Seq     uint64
	Hold    bool
	KeyInsert    KeyInsert
	Key     string
	AllowStale   bool
	// RequiredPosition is the position that a read's answer must show; an answer that shows less goes nowhere.
	RequiredPosition session.Position
}

// Release gives a held answer to its caller.
type Release struct {
	Session SessionID
	Seq     uint64
	Floor   session.Position
}

// Complete answers a request with the outcome that was recorded under its key.
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
	// TransactionFailed says that the caller still has to end a transaction that is gone.
	TransactionFailed bool
	// PartSent says that part of the answer went out already.
	PartSent bool
}

// LookupOutcome asks the current primary for the outcome recorded under a key.
type LookupOutcome struct {
	Conn    ConnID
	Request RequestID
	Key     string
}

// WriteTombstone inserts a tombstone under a key, so that the work can never land after it.
type WriteTombstone struct {
	Conn    ConnID
	Request RequestID
	Key     string
}

// ConfirmLeadership asks a primary for a proof that it leads and that a majority holds Position.
type ConfirmLeadership struct {
	Confirmation    uint64
	Server   string
	Address  string
	Position session.Position
}

// CancelUpstream cancels what runs on a connection, and reports CancelDone when no cancel is on its way any more.
type CancelUpstream struct {
	Conn    ConnID
	Request RequestID
}

// EndSession closes a session between two requests because the node is leaving.
type EndSession struct {
	Session SessionID
}

// WriteAuditRecord puts a record into the audit trail.
type WriteAuditRecord struct {
	Record operator.Record
}

// ResponseReceived tells control that a server answered a request that was sent at At.
type ResponseReceived struct {
	Server string
	SentAt     time.Duration
}

// ServerSuspected tells control that a server did not answer as it should; Stalled says that the answer to a write is missing.
type ServerSuspected struct {
	Server  string
	Stalled bool
}

func (ResponseReceived) callerAction()          {}
func (ServerSuspected) callerAction()        {}
func (Open) callerAction()           {}
func (Close) callerAction()          {}
func (Send) callerAction()           {}
func (Release) callerAction()        {}
func (Complete) callerAction()       {}
func (Refuse) callerAction()         {}
func (LookupOutcome) callerAction()         {}
func (WriteTombstone) callerAction()           {}
func (ConfirmLeadership) callerAction()          {}
func (CancelUpstream) callerAction() {}
func (EndSession) callerAction()     {}
func (WriteAuditRecord) callerAction()           {}

// Reason says why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonOverload means that the request could not be served within its deadline; it did not run.
	ReasonOverload Reason = iota
	// ReasonNoPrimary means that no primary could be reached; the request did not run.
	ReasonNoPrimary
	// ReasonTimeout means that the deadline passed before the request was sent; it did not run.
	ReasonTimeout
	// ReasonDraining means that the node is leaving; the request did not run.
	ReasonDraining
	// ReasonNotRun means that the answer was lost, and a tombstone now keeps the request from ever running.
	ReasonNotRun
	// ReasonRolledBack means that the transaction was lost before its commit; none of it ran.
	ReasonRolledBack
	// ReasonDiscarded means that the transaction committed on a primary that was replaced, and is gone for good.
	ReasonDiscarded
	// ReasonUnknown means that the outcome could not be settled in time.
	ReasonUnknown
	// ReasonInterrupted means that a read broke after part of its answer had gone out, or too often.
	ReasonInterrupted
	// ReasonLostWork means that a promotion dropped work which this session had been shown.
	ReasonLostWork
	// ReasonNoFloor means that no primary could tell what this session has done; the request did not run.
	ReasonNoFloor
	// ReasonFailedTransaction means that the transaction has to be ended first; the request did not run.
	ReasonFailedTransaction
	// ReasonCancelled means that the caller cancelled the request before it was sent.
	ReasonCancelled
)

// Refusal is a typed error for a caller.
type Refusal struct {
	Reason Reason
	Key    string
	Retry  time.Duration
	Detail string
}

// NotRun reports whether the refusal promises that the request did not and will not run.
func (r Refusal) NotRun() bool {
	switch r.Reason {
	case ReasonUnknown, ReasonInterrupted:
		return false
	default:
		return true
	}
}

// SQLState is the five-character code under which callers see the refusal.
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
	default:
		return "57014"
	}
}

// Error describes the refusal to a person.
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
	ReasonInterrupted:               "the answer was cut short",
	ReasonLostWork:          "a change of primary dropped work that this session had seen",
	ReasonNoFloor:           "not run: no primary can tell what this session has written",
	ReasonFailedTransaction: "not run: the current transaction has failed, end it first",
	ReasonCancelled:         "not run: cancelled by the caller",
}

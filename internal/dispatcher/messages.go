package dispatcher

import (
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

// Event is an event of the caller package about sessions and their requests, or one of this package.
type Event any

// Action is an action of the caller package that answers a request, or one of this package.
type Action any

// SessionOpened is a caller whose session uses a group that other nodes serve.
type SessionOpened struct {
	Session caller.SessionID
	Group   string
	Floor   session.Position
}

// DispatchersAssigned names the nodes that serve a group, the preferred one first.
type DispatchersAssigned struct {
	Group string
	Peers []string
}

// LinkUp is a link to a dispatcher that can be used.
type LinkUp struct {
	Peer string
}

// LinkLost is a link that could not be opened, or broke.
type LinkLost struct {
	Peer string
}

// Pong is a dispatcher's sign of life.
type Pong struct {
	Peer string
}

// Draining is a dispatcher that takes no new transactions.
type Draining struct {
	Peer string
}

// Answered is a dispatcher's answer to a request; the answer itself is held for its caller until Release.
type Answered struct {
	Peer    string
	Session caller.SessionID
	Seq     uint64
	Floor   session.Position
	// Open says that a transaction goes on at the dispatcher.
	Open bool
}

// Declined is a request that a dispatcher did not take.
type Declined struct {
	Peer    string
	Session caller.SessionID
	Seq     uint64
}

// Connect opens a link to a dispatcher.
type Connect struct {
	Peer string
}

// Disconnect closes the link to a dispatcher.
type Disconnect struct {
	Peer string
}

// Forward hands a request to a dispatcher.
type Forward struct {
	Peer      string
	Group     string
	Session   caller.SessionID
	Seq       uint64
	Floor     session.Position
	Statement caller.Statement
	// Joined says that the request belongs to a transaction that is open at the dispatcher, outside of which it must not run.
	Joined bool
}

// Abandon tells a dispatcher that a session's caller is gone.
type Abandon struct {
	Peer    string
	Session caller.SessionID
}

// Ping asks a dispatcher for a sign of life.
type Ping struct {
	Peer string
}

// Payload is what a dispatcher needs besides the decisions to run a statement as its caller meant it.
type Payload struct {
	// Text is the statement as it came.
	Text string
	// Shape is what the prepared statement that Text executes stands for, if it does, and Writes whether that writes.
	Shape  string
	Writes bool
	// Names and Values are the session's own values in the order in which they were first set.
	Names  []string
	Values []string
}

// Job is a request as it travels to a dispatcher.
type Job struct {
	Forward
	Payload
}

// Outcome is the answer to a job as it travels back.
type Outcome struct {
	Session caller.SessionID
	Seq     uint64
	// Declined says that the dispatcher did not take the job; nothing else is set then.
	Declined bool
	// Answer is what the caller is told, State that of its session afterwards, as the front spells it; Open says that a
	// transaction goes on.
	Answer []byte
	State  string
	Open   bool
	// Position is the newest that the caller has been shown, Floor what its own writes reached.
	Position session.Position
	Floor    session.Position
}

// Stats counts what happened to the requests that were handed to dispatchers.
type Stats struct {
	Requests  uint64 `json:"requests"`
	Answered  uint64 `json:"answered"`
	Refused   uint64 `json:"refused"`
	Unknown   uint64 `json:"unknown"`
	Resent    uint64 `json:"sent_again"`
	Declined  uint64 `json:"declined"`
	Stray     uint64 `json:"stray"`
	LinksLost uint64 `json:"links_lost"`
}

const (
	// silentAfter is how long a dispatcher may leave a request unanswered before it is asked for a sign of life, and signWithin
	// how long it has for that before requests go elsewhere: the answer takes no work, so that a longer silence than a few
	// round trips between regions and a turn of a busy processor means trouble.
	silentAfter = 300 * time.Millisecond
	signWithin  = 300 * time.Millisecond
	// goneAfter is the silence after the question at which the link is given up.
	goneAfter = 1200 * time.Millisecond
	// retryFirst and retryMost bound the pause before a link that failed is opened again; it doubles in between.
	retryFirst = 200 * time.Millisecond
	retryMost  = 3200 * time.Millisecond
	// answerMargin is how much longer than the request's own deadline its answer may take to come back.
	answerMargin = 300 * time.Millisecond
	// maxAttempts bounds how many dispatchers a read is handed to that may have run it.
	maxAttempts = 3
	// declinedFor is how long a node that declined a request is given none of the same group.
	declinedFor = 50 * time.Millisecond
	// unreachableFor is how long requests wait for a link to any dispatcher of a group; from then on they are refused at once until
	// one is open. A node that starts again is back sooner.
	unreachableFor = time.Second
	// maxOpening bounds the links that are opened at once for one request.
	maxOpening = 2
	// ownPause is the lateness of a step after which silence is this node's own.
	ownPause = 150 * time.Millisecond
	// retryHint is when a caller may ask again where no dispatcher can be reached.
	retryHint = 200 * time.Millisecond
)

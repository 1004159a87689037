package dispatcher

import (
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

// Event is an input of a Relay: an event of this package, or one of package caller about sessions and requests.
type Event any

// Action is an output of a Relay: an action of this package, or one of package caller that answers a request.
type Action any

// SessionOpened reports a new session of a group that other nodes serve.
type SessionOpened struct {
	Session caller.SessionID
	Group   string
	Floor   session.Position
}

// DispatchersAssigned lists the nodes that serve a group, in order of preference.
type DispatchersAssigned struct {
	Group string
	Peers []string
}

// LinkUp reports that the link to a dispatcher is ready for use.
type LinkUp struct {
	Peer string
}

// LinkLost reports that the link to a dispatcher could not be opened, or broke.
type LinkLost struct {
	Peer string
}

// Pong is a dispatcher's answer to a Ping.
type Pong struct {
	Peer string
}

// Draining reports that a dispatcher accepts no new transactions.
type Draining struct {
	Peer string
}

// Answered reports a dispatcher's answer to a request. The answer itself is held elsewhere until caller.Release sends it to the
// caller.
type Answered struct {
	Peer    string
	Session caller.SessionID
	Seq     uint64
	Floor   session.Position
	// TransactionOpen reports whether the session has an open transaction at the dispatcher.
	TransactionOpen bool
}

// Declined reports that a dispatcher did not accept a request. The request has not run.
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

// Forward sends a request to a dispatcher.
type Forward struct {
	Peer      string
	Group     string
	Session   caller.SessionID
	Seq       uint64
	Floor     session.Position
	Statement caller.Statement
	// Joined marks a request of a transaction that is open at the dispatcher. It must not run outside that transaction.
	Joined bool
}

// Abandon reports to a dispatcher that the answers to the work of a session are no longer needed.
type Abandon struct {
	Peer    string
	Session caller.SessionID
}

// Ping asks a dispatcher for a Pong, to check that it responds.
type Ping struct {
	Peer string
}

// Payload holds the statement text and the session variables that a dispatcher needs to run a forwarded request.
type Payload struct {
	// Text is the statement as the caller sent it.
	Text string
	// Shape is the prepared statement that Text executes, empty if it executes none. Writes reports whether that statement writes.
	Shape  string
	Writes bool
	// Names and Values are the session variables in the order in which they were first set.
	Names  []string
	Values []string
}

// Job is a request as it is sent to a dispatcher.
type Job struct {
	Forward
	Payload
}

// Outcome is the answer to a Job.
type Outcome struct {
	Session caller.SessionID
	Seq     uint64
	// Declined reports that the dispatcher did not accept the job. The fields below are then unset.
	Declined bool
	// Answer is the encoded answer for the caller. State is the session state after it, in the encoding of the caller's protocol.
	// TransactionOpen reports whether a transaction is open after it.
	Answer          []byte
	State           string
	TransactionOpen bool
	// Position is the newest position that the caller has read, Floor the position of its own last write.
	Position session.Position
	Floor    session.Position
	// Done, if not nil, is called at the dispatcher once the outcome was sent or dropped.
	Done func()
}

// Stats counts the requests for groups that other nodes serve, by result. Unknown counts refusals whose request may have run, and
// Stray counts answers that match no pending request.
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
	// pingAfter is the time without an answer after which a dispatcher is pinged. pongTimeout is the time for the pong, after which
	// new requests and unanswered reads go to other dispatchers. A pong needs no database work, so a delay above a few round trips
	// between regions and the scheduling delay of a busy processor indicates a failure.
	pingAfter   = 300 * time.Millisecond
	pongTimeout = 300 * time.Millisecond
	// disconnectAfter is the time after a ping without a pong at which the link is closed.
	disconnectAfter = 1200 * time.Millisecond
	// minReconnectDelay and maxReconnectDelay bound the exponential back-off before a failed link is opened again.
	minReconnectDelay = 200 * time.Millisecond
	maxReconnectDelay = 3200 * time.Millisecond
	// answerMargin extends the request's own deadline by the time that the answer needs to arrive.
	answerMargin = 300 * time.Millisecond
	// maxAttempts bounds the dispatchers that may have run a read.
	maxAttempts = 3
	// declineBackoff is how long a dispatcher that declined a request gets no other requests of the same group.
	declineBackoff = 50 * time.Millisecond
	// linkWaitTimeout is how long requests of a group wait while none of its dispatchers has a usable link. Later ones are refused
	// at once until a link is up. A restarted node is back sooner.
	linkWaitTimeout = time.Second
	// maxOpening bounds the links that are opened at the same time for one request.
	maxOpening = 2
	// maxTickDelay is the delay of a step above which missing pongs are attributed to a pause of this node.
	maxTickDelay = 150 * time.Millisecond
	// retryHint is the delay suggested to callers while no dispatcher can be reached.
	retryHint = 200 * time.Millisecond
)

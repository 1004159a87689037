package tenant

import (
	"time"

	"buckthornport.example/buckthornport/internal/caller"
)

// Limit limits the operations of a tenant: at most Rate*s + Burst run in any s seconds.
type Limit struct {
	Rate  float64
	Burst float64
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages between nodes.
const (
	KindAskCredit MessageKind = iota + 1
	KindGrantCredit
	KindAskLease
	KindGiveLease
)

// Message is what nodes exchange about limits. An answer has the Seq of its question.
type Message struct {
	Kind MessageKind
	Seq  uint64
	// Version is the version of the configuration from which the limits in Asks come.
	Version uint64
	Asks    []Ask
	Grants  []Grant
	// Tenants are those for which a home asks a witness for the lease, or for which the witness gives it.
	Tenants []string
	// Fallback is set if a home asks nodes that take the place of lost witnesses.
	Fallback bool
}

// Ask asks a tenant's home for credit: Need for operations that wait, and Want more for operations that are expected.
type Ask struct {
	Tenant string
	Need   int
	Want   int
	Limit  Limit
}

// Grant lends credit. If it is less than needed, either RetryAfter is the time until the next operation fits, or Unready is set,
// because the node is not the home, or cannot lend at present, or Filling, because the home is new and the operations may wait.
type Grant struct {
	Tenant     string
	Credit     int
	RetryAfter time.Duration
	Unready    bool
	Filling    bool
}

// Event is an input to a Limiter.
type Event interface{ tenantEvent() }

// Requested reports a caller's operation. It is refused if it still waits at Deadline.
type Requested struct {
	Session  caller.SessionID
	Seq      uint64
	Tenant   string
	Deadline time.Duration
}

// Cancelled reports that a caller disconnected.
type Cancelled struct {
	Session caller.SessionID
}

// DrainStarted reports that the node passes no more operations on.
type DrainStarted struct{}

// LimitsChanged reports the limits of all limited tenants in a version of the configuration.
type LimitsChanged struct {
	Version uint64
	Limits  map[string]Limit
}

// MembersChanged reports the members of the fleet.
type MembersChanged struct {
	// Homes are the members that serve as homes, in order of rank. Witnesses are those that confirm a home, also lost ones.
	Homes     []string
	Witnesses []string
	// Suspects are members that do not answer, also lost ones.
	Suspects []string
	// Alive counts the members that answer, and Known all that have not left the fleet.
	Alive int
	Known int
	// Complete is set once the node has read the list of all members. Before that it borrows, but neither lends nor confirms.
	Complete bool
}

// Unreachable reports that a node refused a connection.
type Unreachable struct {
	Node string
}

// Received reports a message from another node.
type Received struct {
	From    string
	Message Message
}

func (Requested) tenantEvent()      {}
func (Cancelled) tenantEvent()      {}
func (DrainStarted) tenantEvent()   {}
func (LimitsChanged) tenantEvent()  {}
func (MembersChanged) tenantEvent() {}
func (Unreachable) tenantEvent()    {}
func (Received) tenantEvent()       {}

// Action is an output of a Limiter.
type Action interface{ tenantAction() }

// Admit lets an operation run that has waited for some time.
type Admit struct {
	Session caller.SessionID
	Seq     uint64
	Waited  time.Duration
}

// Cause is the cause for which an operation was refused.
type Cause uint8

// The causes of a refusal.
const (
	// CauseLimit means that the tenant is over its limit.
	CauseLimit Cause = iota
	// CauseNoAnswer means that the tenant's home did not lend credit before the operation's deadline.
	CauseNoAnswer
	// CauseDraining means that the node is draining.
	CauseDraining
)

// Refuse refuses an operation. RetryAfter is the time until it fits the limit, zero if it is not known.
type Refuse struct {
	Session    caller.SessionID
	Seq        uint64
	Tenant     string
	Cause      Cause
	RetryAfter time.Duration
}

// Send sends a message to another node.
type Send struct {
	To      string
	Message Message
}

func (Admit) tenantAction()  {}
func (Refuse) tenantAction() {}
func (Send) tenantAction()   {}

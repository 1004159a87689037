package upstream

import (
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/session"
)

// Event is an input of Watch.Step: a fact about upstreams that a node has learned.
type Event interface{ upstreamEvent() }

// ProbeSucceeded is a server's answer to the probe that was sent at SentAt.
type ProbeSucceeded struct {
	Server string
	SentAt time.Duration
	Status Status
}

// ProbeFailed reports a probe without an answer. The VM refused the connection, or the probe timed out.
type ProbeFailed struct {
	Server  string
	Refused bool
}

// PromiseAnswered is a server's answer to RequestPromise.
type PromiseAnswered struct {
	Server  string
	Term    uint64
	Granted bool
	Status  Status
}

// PromoteAnswered is a server's answer to OrderPromote.
type PromoteAnswered struct {
	Server string
	Term   uint64
	Opened bool
	Status Status
	// Accepted is set if the order was accepted and the server will open for writes later.
	Accepted bool
}

// OrderResponse is a server's answer to an order, with the server's status after the order.
type OrderResponse struct {
	Granted bool   `json:"granted"`
	Status  Status `json:"status"`
	// Accepted is set if a promotion order was accepted and will be carried out later.
	Accepted bool `json:"accepted,omitempty"`
}

// ResponseReceived reports that a server answered a request of this node's traffic that was sent at SentAt.
type ResponseReceived struct {
	Server string
	SentAt time.Duration
}

// ServerSuspected reports that a server failed to answer traffic and should be probed at once. WriteStalled is set if the
// missing answer is that of a write.
type ServerSuspected struct {
	Server       string
	WriteStalled bool
}

// RouteLearned reports a group's primary and floor, as a peer or the platform's store has announced them. Either may be missing.
type RouteLearned struct {
	Group   string
	Term    uint64
	Primary string
	Floor   session.Position
}

// CommitsAcknowledged reports that this node's traffic has acknowledged commits of a group up to a position.
type CommitsAcknowledged struct {
	Group    string
	Position session.Position
}

// VMListed reports whether the platform's list of VMs marks a server as leaving.
type VMListed struct {
	Server  string
	Leaving bool
}

// ServerConfigured adds a server that a newer bundle lists, or updates the bundle's settings for it.
type ServerConfigured struct {
	Server  string
	Group   string
	Zone    string
	Address string
	Leaving bool
	// Incarnation distinguishes successive servers with the same name. It is zero for a server that keeps its state.
	Incarnation int64
}

// ServerRemoved reports that a server was permanently removed from its group.
type ServerRemoved struct {
	Server string
}

// GroupServed reports whether this node serves a group. A node watches each group that it serves, whatever its rank. Promoters
// are the nodes that may promote the group's servers; nil stands for all nodes.
type GroupServed struct {
	Group     string
	Served    bool
	Promoters []string
}

// PeersUpdated replaces the list of nodes that may promote servers of groups without a list of their own.
type PeersUpdated struct {
	Nodes []string
}

func (ProbeSucceeded) upstreamEvent()      {}
func (ProbeFailed) upstreamEvent()         {}
func (PromiseAnswered) upstreamEvent()     {}
func (PromoteAnswered) upstreamEvent()     {}
func (RouteLearned) upstreamEvent()        {}
func (CommitsAcknowledged) upstreamEvent() {}
func (VMListed) upstreamEvent()            {}
func (ServerConfigured) upstreamEvent()    {}
func (PeersUpdated) upstreamEvent()        {}
func (GroupServed) upstreamEvent()         {}
func (ServerRemoved) upstreamEvent()       {}
func (ResponseReceived) upstreamEvent()    {}
func (ServerSuspected) upstreamEvent()     {}

// Action is an output of Watch.Step that the node has to carry out.
type Action interface{ upstreamAction() }

// Probe requests a server's status.
type Probe struct {
	Group   string
	Server  string
	Address string
	SentAt  time.Duration
	Timeout time.Duration
}

// RequestPromise asks a server to promise that it refuses all terms below Term. The promise is made to this node alone.
// StepDownFirst makes a primary step down before it promises.
type RequestPromise struct {
	StepDownFirst bool
	Group         string
	Server        string
	Address       string
	Term          uint64
	Timeout       time.Duration
}

// OrderPromote orders a server to open for writes as primary of Term. In groups with leases, Token is the lease's fencing token
// and Deadline the time after which the order must not be sent.
type OrderPromote struct {
	Group    string
	Server   string
	Address  string
	Term     uint64
	Token    uint64
	Deadline time.Duration
	Timeout  time.Duration
}

// OrderFollow orders a server to follow the primary of Term.
type OrderFollow struct {
	Group   string
	Server  string
	Address string
	Term    uint64
	Primary string
	Timeout time.Duration
}

// PublishView passes the current view of a group to its traffic lane.
type PublishView struct {
	View GroupView
}

// AnnouncePrimary reports a group's primary to the peers and the platform's store.
type AnnouncePrimary struct {
	Group   string
	Term    uint64
	Primary string
}

// AnnounceFloor reports to the peers the position that a group's next primary must hold.
type AnnounceFloor struct {
	Group string
	Floor session.Position
}

// RecordIntent records in the platform's store that a promotion begins. The promotion does not wait for the answer.
type RecordIntent struct {
	Group string
	Term  uint64
}

// WriteAuditRecord appends a record to the audit trail.
type WriteAuditRecord struct {
	Record operator.Record
}

func (Probe) upstreamAction()            {}
func (RequestPromise) upstreamAction()   {}
func (OrderPromote) upstreamAction()     {}
func (OrderFollow) upstreamAction()      {}
func (PublishView) upstreamAction()      {}
func (AnnouncePrimary) upstreamAction()  {}
func (AnnounceFloor) upstreamAction()    {}
func (RecordIntent) upstreamAction()     {}
func (WriteAuditRecord) upstreamAction() {}

// GroupView is the immutable snapshot of a group that control publishes to the group's traffic lane.
type GroupView struct {
	Name    string
	Term    uint64
	Primary string
	Suspect bool
	// Fenced is set while a promotion in progress prevents the primary from acknowledging writes.
	Fenced  bool
	Forks   []session.Fork
	Servers []ServerView
	// LeaderConfirmedAt is a time at which the primary was confirmed as leader, zero for none. The primary cannot be replaced
	// until EvidenceTTL after that time.
	LeaderConfirmedAt time.Duration
	EvidenceTTL       time.Duration
	// LastPausedAt is when a server of the group was last known to be paused, zero if none was in this term. A paused server
	// does not follow any primary.
	LastPausedAt time.Duration
	// LatestSample is the latest position that the primary reported to a probe.
	LatestSample Sample
	// LogLostAt is when the log of a replica was lost that the others are not known to replace, zero if there is none.
	LogLostAt time.Duration
}

// FloorNeeded reports whether control needs to know at once which commits the group's traffic acknowledges.
func (g GroupView) FloorNeeded() bool {
	return g.Suspect || g.LogLostAt != 0
}

// WithLeaderConfirmed returns the view with another time at which the primary was confirmed as leader.
func (g GroupView) WithLeaderConfirmed(at time.Duration) GroupView {
	g.LeaderConfirmedAt = at
	return g
}

// LeaderAt reports whether the view's primary is confirmed as the group's leader at the given time.
func (g GroupView) LeaderAt(at time.Duration) bool {
	return g.LeaderConfirmedAt != 0 && at <= g.LeaderConfirmedAt+g.EvidenceTTL
}

// ServerView is the snapshot of one server. DataAsOf is the latest time up to which the server is known to have applied the
// group's log.
type ServerView struct {
	Name          string
	Zone          string
	Address       string
	Role          Role
	Term          uint64
	Applied       session.Position
	DataAsOf      time.Duration
	DataAsOfKnown bool
	Alive         bool
	Leaving       bool
	// JoinedRecently is set while a promotion in progress may not know that the server has joined its group.
	JoinedRecently bool
}

// Server returns the snapshot of the named server, and whether the view has one.
func (g GroupView) Server(name string) (ServerView, bool) {
	for _, s := range g.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return ServerView{}, false
}

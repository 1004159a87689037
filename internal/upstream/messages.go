package upstream

import (
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/session"
)

// Event is something that a node learned about upstreams.
type Event interface{ upstreamEvent() }

// ProbeSucceeded is a server's answer to the probe that was sent at Sent.
type ProbeSucceeded struct {
	Server string
	SentAt time.Duration
	Status Status
}

// ProbeFailed is a probe without an answer: refused by the VM, or silent until its timeout.
type ProbeFailed struct {
	Server  string
	Refused bool
}

// PromiseAnswered is a server's answer to a request for its promise.
type PromiseAnswered struct {
	Server  string
	Term    uint64
	Granted bool
	Status  Status
}

// PromoteAnswered is a server's answer to the order to open as primary.
type PromoteAnswered struct {
	Server string
	Term   uint64
	Opened bool
	Status Status
	// Accepted says that the order was taken and the server will open by and by.
	Accepted bool
}

// OrderResponse is a server's answer to an order, with its status after it.
type OrderResponse struct {
	Granted bool   `json:"granted"`
	Status  Status `json:"status"`
	// Accepted says that an order to open was taken and will be carried out by and by.
	Accepted bool `json:"accepted,omitempty"`
}

// ResponseReceived says that a server answered a request of this node's traffic which was sent at At.
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

// RouteLearned is a route that a peer or the platform's store reported.
type RouteLearned struct {
	Group   string
	Term    uint64
	Primary string
}

// VMListed says whether the platform's list of VMs calls a server leaving.
type VMListed struct {
	Server  string
	Leaving bool
}

// ServerConfigured adds a server that a newer bundle names, or changes what the bundle says of it.
type ServerConfigured struct {
	Server  string
	Group   string
	Zone    string
	Address string
	Leaving bool
	// Incarnation tells lives of a server apart that bear the same name; zero stands for a server that keeps its state.
	Incarnation int64
}

// ServerRemoved takes a server out of its group, since it is gone for good.
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

// PeersUpdated replaces the list of nodes that share the duty of promoting.
type PeersUpdated struct {
	Nodes []string
}

func (ProbeSucceeded) upstreamEvent()   {}
func (ProbeFailed) upstreamEvent()      {}
func (PromiseAnswered) upstreamEvent()  {}
func (PromoteAnswered) upstreamEvent()  {}
func (RouteLearned) upstreamEvent()     {}
func (VMListed) upstreamEvent()         {}
func (ServerConfigured) upstreamEvent() {}
func (PeersUpdated) upstreamEvent()     {}
func (GroupServed) upstreamEvent()      {}
func (ServerRemoved) upstreamEvent()    {}
func (ResponseReceived) upstreamEvent() {}
func (ServerSuspected) upstreamEvent()  {}

// Action is something that a node is to do about upstreams.
type Action interface{ upstreamAction() }

// Probe asks a server for its status.
type Probe struct {
	Group   string
	Server  string
	Address string
	SentAt  time.Duration
	Timeout time.Duration
}

// RequestPromise asks a server to refuse all terms below Term, for this node alone; Depose says that it has to step down first.
type RequestPromise struct {
	StepDownFirst bool
	Group         string
	Server        string
	Address       string
	Term          uint64
	Timeout       time.Duration
}

// OrderPromote has a server open as primary of Term. Token is the fencing token under which the order is given, if the group's kind
// has leases, and Until the moment after which it must not be given any more.
type OrderPromote struct {
	Group    string
	Server   string
	Address  string
	Term     uint64
	Token    uint64
	Deadline time.Duration
	Timeout  time.Duration
}

// OrderFollow tells a server to follow the primary of Term.
type OrderFollow struct {
	Group   string
	Server  string
	Address string
	Term    uint64
	Primary string
	Timeout time.Duration
}

// PublishView makes the current view of one group known to its traffic lane.
type PublishView struct {
	View GroupView
}

// AnnouncePrimary tells peers and the platform's store who leads a group.
type AnnouncePrimary struct {
	Group   string
	Term    uint64
	Primary string
}

// RecordIntent records in the platform's store that a promotion begins; nothing waits for the answer.
type RecordIntent struct {
	Group string
	Term  uint64
}

// WriteAuditRecord puts a record into the audit trail.
type WriteAuditRecord struct {
	Record operator.Record
}

func (Probe) upstreamAction()            {}
func (RequestPromise) upstreamAction()   {}
func (OrderPromote) upstreamAction()     {}
func (OrderFollow) upstreamAction()      {}
func (PublishView) upstreamAction()      {}
func (AnnouncePrimary) upstreamAction()  {}
func (RecordIntent) upstreamAction()     {}
func (WriteAuditRecord) upstreamAction() {}

// GroupView is the immutable picture of one group that control hands to the group's traffic lane.
type GroupView struct {
	Name    string
	Term    uint64
	Primary string
	Suspect bool
	// Fenced says that a promotion is under way which keeps the primary from acknowledging writes.
	Fenced  bool
	Forks   []session.Fork
	Servers []ServerView
	// LeaderConfirmedAt is a moment at which the primary had surely not been replaced, and would not be for EvidenceTTL after it.
	LeaderConfirmedAt time.Duration
	EvidenceTTL       time.Duration
	// LastPausedAt is when a server of the group was last known to follow nobody, zero for never in this term.
	LastPausedAt time.Duration
	// LatestSample is the latest position that the primary reported to a probe.
	LatestSample Sample
}

// WithLeaderConfirmed returns the view with another moment at which the primary had surely not been replaced.
func (g GroupView) WithLeaderConfirmed(at time.Duration) GroupView {
	g.LeaderConfirmedAt = at
	return g
}

// LeaderAt reports whether the primary of the view was surely the group's leader at the given moment.
func (g GroupView) LeaderAt(at time.Duration) bool {
	return g.LeaderConfirmedAt != 0 && at <= g.LeaderConfirmedAt+g.EvidenceTTL
}

// ServerView is the picture of one server; ProvenAt is the moment whose log it is known to have applied.
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
	// JoinedRecently says that the server came to its group so lately that a promotion under way may not know of it.
	JoinedRecently bool
}

// Server returns the picture of the named server, and whether there is one.
func (g GroupView) Server(name string) (ServerView, bool) {
	for _, s := range g.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return ServerView{}, false
}

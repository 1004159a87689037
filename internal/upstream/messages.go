package upstream

import (
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/session"
)

// Event is something that a node learned about upstreams.
type Event interface{ upstreamEvent() }

// Probed is a server's answer to the probe that was sent at Sent.
type Probed struct {
	Server string
	Sent   time.Duration
	Status Status
}

// ProbeFailed is a probe without an answer: refused by the VM, or silent until its timeout.
type ProbeFailed struct {
	Server  string
	Refused bool
}

// Promised is a server's answer to a request for its promise.
type Promised struct {
	Server  string
	Term    uint64
	Granted bool
	Status  Status
}

// Promoted is a server's answer to the order to open as primary.
type Promoted struct {
	Server string
	Term   uint64
	Done   bool
	Status Status
	// Accepted says that the order was taken and the server will open by and by.
	Accepted bool
}

// Granted is a server's answer to an order, with its status after it.
type Granted struct {
	Granted bool   `json:"granted"`
	Status  Status `json:"status"`
	// Accepted says that an order to open was taken and will be carried out by and by.
	Accepted bool `json:"accepted,omitempty"`
}

// Heard says that a server answered a request of this node's traffic which was sent at At.
type Heard struct {
	Server string
	At     time.Duration
}

// Doubted says that traffic met a server that did not answer as it should, so that it is worth a probe at once; Stalled says
// that the answer to a write is missing.
type Doubted struct {
	Server  string
	Stalled bool
}

// Learned is a route that a peer or the platform's store reported.
type Learned struct {
	Group   string
	Term    uint64
	Primary string
}

// Marked says whether the platform's list of VMs calls a server leaving.
type Marked struct {
	Server  string
	Leaving bool
}

// Configured adds a server that a newer bundle names, or changes what the bundle says of it.
type Configured struct {
	Server  string
	Group   string
	Zone    string
	Address string
	Leaving bool
	// Born tells lives of a server apart that bear the same name; zero stands for a server that keeps its state.
	Born int64
}

// Removed takes a server out of its group, since it is gone for good.
type Removed struct {
	Server string
}

// Served says whether this node serves a group, which it then watches whatever its rank. Nodes are those among which the duty of
// promoting is shared, all nodes unless set.
type Served struct {
	Group string
	On    bool
	Nodes []string
}

// Peers replaces the list of nodes that share the duty of promoting.
type Peers struct {
	Nodes []string
}

func (Probed) upstreamEvent()      {}
func (ProbeFailed) upstreamEvent() {}
func (Promised) upstreamEvent()    {}
func (Promoted) upstreamEvent()    {}
func (Learned) upstreamEvent()     {}
func (Marked) upstreamEvent()      {}
func (Configured) upstreamEvent()  {}
func (Peers) upstreamEvent()       {}
func (Served) upstreamEvent()      {}
func (Removed) upstreamEvent()     {}
func (Heard) upstreamEvent()       {}
func (Doubted) upstreamEvent()     {}

// Action is something that a node is to do about upstreams.
type Action interface{ upstreamAction() }

// Probe asks a server for its status.
type Probe struct {
	Group   string
	Server  string
	Address string
	Sent    time.Duration
	Timeout time.Duration
}

// AskPromise asks a server to refuse all terms below Term, for this node alone; Depose says that it has to step down first.
type AskPromise struct {
	Depose  bool
	Group   string
	Server  string
	Address string
	Term    uint64
	Timeout time.Duration
}

// OrderPromote has a server open as primary of Term. Token is the fencing token under which the order is given, if the group's kind
// has leases, and Until the moment after which it must not be given any more.
type OrderPromote struct {
	Group   string
	Server  string
	Address string
	Term    uint64
	Token   uint64
	Until   time.Duration
	Timeout time.Duration
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

// Publish makes the current view of one group known to its traffic lane.
type Publish struct {
	View GroupView
}

// Announce tells peers and the platform's store who leads a group.
type Announce struct {
	Group   string
	Term    uint64
	Primary string
}

// Intend records in the platform's store that a promotion begins; nothing waits for the answer.
type Intend struct {
	Group string
	Term  uint64
}

// Note puts a record into the audit trail.
type Note struct {
	Record operator.Record
}

func (Probe) upstreamAction()        {}
func (AskPromise) upstreamAction()   {}
func (OrderPromote) upstreamAction() {}
func (OrderFollow) upstreamAction()  {}
func (Publish) upstreamAction()      {}
func (Announce) upstreamAction()     {}
func (Intend) upstreamAction()       {}
func (Note) upstreamAction()         {}

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
	// LedAt is a moment at which the primary had surely not been replaced, and would not be for EvidenceTTL after it.
	LedAt       time.Duration
	EvidenceTTL time.Duration
	// Paused is when a server of the group was last known to follow nobody, zero for never in this term.
	Paused time.Duration
	// Sample is the latest position that the primary reported to a probe.
	Sample Sample
}

// WithLed returns the view with another moment at which the primary had surely not been replaced.
func (g GroupView) WithLed(at time.Duration) GroupView {
	g.LedAt = at
	return g
}

// Led reports whether the primary of the view was surely the group's leader at the given moment.
func (g GroupView) Led(at time.Duration) bool {
	return g.LedAt != 0 && at <= g.LedAt+g.EvidenceTTL
}

// ServerView is the picture of one server; ProvenAt is the moment whose log it is known to have applied.
type ServerView struct {
	Name     string
	Zone     string
	Address  string
	Role     Role
	Term     uint64
	Applied  session.Position
	ProvenAt time.Duration
	Proven   bool
	Alive    bool
	Leaving  bool
	// Joined says that the server came to its group so lately that a promotion under way may not know of it.
	Joined bool
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

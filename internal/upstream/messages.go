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
}

// Granted is a server's answer to an order, with its status after it.
type Granted struct {
	Granted bool   `json:"granted"`
	Status  Status `json:"status"`
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
}

// Served says whether callers of this node use a group, which it then watches whatever its rank.
type Served struct {
	Group string
	On    bool
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

// Action is something that a node is to do about upstreams.
type Action interface{ upstreamAction() }

// Probe asks a server for its status.
type Probe struct {
	Server  string
	Address string
	Sent    time.Duration
}

// AskPromise asks a server to refuse all terms below Term, for this node alone.
type AskPromise struct {
	Server  string
	Address string
	Term    uint64
}

// OrderPromote tells a server to open as primary of Term.
type OrderPromote struct {
	Server  string
	Address string
	Term    uint64
}

// OrderFollow tells a server to follow the primary of Term.
type OrderFollow struct {
	Server  string
	Address string
	Term    uint64
	Primary string
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
	Forks   []session.Fork
	Servers []ServerView
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

package caller

import (
	"fmt"
	"slices"
	"time"
)

// RouteQuestion asks where a request would go now. The request is not run, and nothing changes.
type RouteQuestion struct {
	Statement Statement
	// Reply receives the answer. It must not block.
	Reply func(e RouteExplanation)
}

func (RouteQuestion) callerEvent() {}

// RouteExplained is the answer to a RouteQuestion.
type RouteExplained struct {
	Explanation RouteExplanation
	Reply       func(e RouteExplanation)
}

func (RouteExplained) callerAction() {}

// The decisions of a RouteExplanation.
const (
	DecisionSend    = "send"
	DecisionOpen    = "open a connection"
	DecisionWait    = "wait"
	DecisionRefuse  = "refuse"
	DecisionForward = "forward"
)

// RouteExplanation says where a request would go now, and why. Times are in milliseconds.
type RouteExplanation struct {
	Group    string `json:"group"`
	Tenant   string `json:"tenant,omitempty"`
	Decision string `json:"decision"`
	Why      string `json:"why"`
	// Target is the server or the node that would get the request, "" if none would now.
	Target string `json:"target,omitempty"`
	Queue  string `json:"queue,omitempty"`
	// Ahead counts the requests that would be served before, ExpectedWaitMS is the expected wait behind them and PatienceMS how long
	// the request would wait at most.
	Ahead          int            `json:"ahead"`
	ExpectedWaitMS float64        `json:"expected_wait_ms"`
	PatienceMS     float64        `json:"patience_ms"`
	Servers        []ServerChoice `json:"servers,omitempty"`
	Nodes          []NodeChoice   `json:"nodes,omitempty"`
}

// ServerChoice says what a route makes of one server. Rank is its place in the order of preference from 1, zero if the server is
// excluded.
type ServerChoice struct {
	Server      string  `json:"server"`
	Role        string  `json:"role"`
	Zone        string  `json:"zone"`
	Rank        int     `json:"rank"`
	Why         string  `json:"why"`
	Running     int     `json:"running"`
	FreeSlots   int     `json:"free_slots"`
	IdleConns   int     `json:"idle_connections"`
	OpenConns   int     `json:"open_connections"`
	ConnLimit   int     `json:"connections_limit"`
	MeanTimeMS  float64 `json:"mean_answer_ms"`
	Transaction int     `json:"transactions"`
}

// NodeChoice says what a route makes of one node that serves the group.
type NodeChoice struct {
	Node string `json:"node"`
	Why  string `json:"why"`
}

// explainRoute answers a RouteQuestion with the decisions that the lane would take now.
func (l *Lane) explainRoute(now time.Duration, e RouteQuestion) {
	s := Session{FloorKnown: true}
	r := Request{Statement: e.Statement, Arrived: now, Deadline: now + e.Statement.Class.Deadline(), Phase: PhaseQueued}
	x := RouteExplanation{Group: l.group, Tenant: e.Statement.Tenant}
	q := l.routeQuery(now, s, r)
	var order []Server
	switch {
	case acceptsAge(r):
		q.Servers = l.eligible(q)
		order = l.policy.Route(q)
	case q.Primary != "":
		row, _ := l.servers.Get(q.Primary)
		order = []Server{row}
	}
	for _, row := range l.groupServers() {
		x.Servers = append(x.Servers, l.explainServer(q, row, order))
	}
	l.decideRoute(now, r, order, &x)
	l.actions = append(l.actions, RouteExplained{Explanation: x, Reply: e.Reply})
}

// explainServer says why a server may run the request, or may not.
func (l *Lane) explainServer(q RouteQuery, s Server, order []Server) ServerChoice {
	c := ServerChoice{
		Server: s.View.Name, Role: string(s.View.Role), Zone: s.View.Zone, Running: s.Running, FreeSlots: s.FreeSlots(),
		OpenConns: s.OpenConns, ConnLimit: s.ConnLimit, MeanTimeMS: toMS(s.MeanAnswerTime), Transaction: s.Transactions,
		Rank: 1 + slices.IndexFunc(order, func(o Server) bool { return o.View.Name == s.View.Name }),
	}
	for _, id := range s.IdleConns {
		if k, _ := l.conns.Get(id); k.Tenant == q.Request.Statement.Tenant {
			c.IdleConns++
		}
	}
	_, replicaOK := l.kind.ReplicaCanServe(q, s)
	switch {
	case !s.View.Alive:
		c.Why = "it does not answer"
	case s.View.Leaving && s.View.Name != q.Primary:
		c.Why = "it is leaving"
	case c.Rank == 0 && !acceptsAge(q.Request):
		c.Why = "only the primary may run the request"
	case q.Now < s.DeclinedUntil:
		c.Why = fmt.Sprintf("it declined a request; it is tried again in %v", s.DeclinedUntil-q.Now)
	case c.Rank == 0 && !replicaOK:
		c.Why = "it is not known to hold data that are recent enough"
	case c.Rank == 0:
		c.Why = "it is not expected to answer in time"
	case s.Slots == 0:
		c.Why = "it may run the request once this node has a slot there"
	case c.FreeSlots <= 0:
		c.Why = "it may run the request, but this node uses all of its slots there"
	default:
		c.Why = "it may run the request"
	}
	return c
}

// decideRoute fills in the decision about a request that may go to the given servers, best first.
func (l *Lane) decideRoute(now time.Duration, r Request, order []Server, x *RouteExplanation) {
	queue := l.policy.SelectQueue(r, l.slowClass(r))
	p := l.place(queue, r)
	patience := l.queuedUntil(r) - now
	wait, stall := l.expectedWait(p), l.stall(now, p)
	x.Queue, x.Ahead = queue.String(), p.ahead
	x.ExpectedWaitMS, x.PatienceMS = toMS(max(wait, stall)), toMS(patience)
	switch {
	case l.draining:
		x.Decision, x.Why = DecisionRefuse, "the node is draining"
	case !l.policy.Admit(max(wait, stall), patience):
		x.Decision, x.Why = DecisionRefuse, "the expected wait is too long for the class"
	case len(order) == 0 && l.leader() == "":
		x.Decision, x.Why = DecisionWait, "the group has no primary"
	case p.ahead > 0:
		x.Decision, x.Why = DecisionWait, "other requests are served before it"
	default:
		l.chooseServer(r, order, x)
	}
}

// chooseServer fills in the server that would get a request before which no other one waits.
func (l *Lane) chooseServer(r Request, order []Server, x *RouteExplanation) {
	x.Decision, x.Why = DecisionWait, "no server that may run it has a free slot"
	if r.Statement.Kind == KindBegin {
		if order = l.withTransactionRoom(order); len(order) == 0 {
			x.Why = "open transactions hold their part of the connections"
			return
		}
	}
	for _, row := range order {
		if row.FreeSlots() <= 0 {
			continue
		}
		if _, ok := l.idleConn(row, r.Statement.Tenant); ok {
			x.Decision, x.Target, x.Why = DecisionSend, row.View.Name, "it is the first in order with a free slot and an idle connection"
			return
		}
		if x.Target == "" {
			x.Decision, x.Target, x.Why = DecisionOpen, row.View.Name, "no server with a free slot has an idle connection"
		}
	}
}

func toMS(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// String returns the queue's name in explanations.
func (q QueueID) String() string {
	return [...]string{"transactions", "outcomes", "short", "aged", "long"}[q]
}

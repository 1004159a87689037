package caller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// Policy decides how a lane shares scarce server capacity. Each field may be replaced on its own.
type Policy struct {
	Name string
	// SelectQueue selects the queue for a request. slow is set if its class takes longer to answer than most.
	SelectQueue func(r Request, slow bool) QueueID
	// QueueTimeout is how long a request may wait for a server that is available. After that it is refused without having
	// run.
	QueueTimeout func(r Request) time.Duration
	// Share returns the name under which a request takes part in sharing its queue fairly. Requests of one name are served in order
	// of arrival.
	Share func(r Request) string
	// TxLimit is how many open transactions a lane may have at a server, given its shares of the server's connections and slots.
	TxLimit func(conns, slots int) int
	// Route orders the servers that may run a read, best first.
	Route func(q RouteQuery) []Server
	// LongLimit is how many of a server's slots requests of long classes may hold at once.
	LongLimit func(slots int) int
	// Admit reports whether a request with the given expected wait should be queued. left is the time until its deadline.
	Admit func(wait, left time.Duration) bool
	// ReplicaWait is how long a read that replicas may serve waits for one before it takes a slot of the primary.
	ReplicaWait time.Duration
	// MinIdle is how many idle connections to a server are kept, and IdleTimeout how long others stay idle. A zero
	// IdleTimeout keeps all.
	MinIdle     int
	IdleTimeout time.Duration
	// LeaseSlots is set if nodes request slots from servers instead of using static shares.
	LeaseSlots bool
	// Capacity is the rule by which the lane learns how much work a server takes, without functions for a fixed share.
	Capacity CapacityRule
}

const defaultReplicaWait = 40 * time.Millisecond

// RouteQuery is the input of Route. Servers are those that may run the request, and Primary is the server that leads the
// group, or "" if none is known.
type RouteQuery struct {
	Now      time.Duration
	Zone     string
	Session  Session
	Request  Request
	Servers  []Server
	Primary  string
	Rotation int
	// OpenCost returns the time until the request has a connection to a server. It is nil if that plays no part.
	OpenCost func(s Server) time.Duration
	// Samples are positions of the primary, oldest first. LeaderAt reports whether the primary certainly led at a time.
	Samples  []upstream.Sample
	LeaderAt func(at time.Duration) bool
	// Work returns the learned times of the request's kind of work at a server.
	Work func(server string) WorkTime
}

// DefaultPolicy selects queues by class, keeps slots free of long work and sends reads that accept an age to sufficiently
// recent replicas.
func DefaultPolicy() Policy {
	return Policy{
		Name:         "ours",
		SelectQueue:  func(r Request, _ bool) QueueID { return queueByClass(r) },
		QueueTimeout: waitUntilDeadline,
		Share:        shareByTenant,
		TxLimit:      unlimited,
		Route:        routeNearest,
		LongLimit:    func(slots int) int { return max(1, slots-1-slots/3) },
		Admit:        func(wait, left time.Duration) bool { return wait <= left },
		LeaseSlots:   true,
		ReplicaWait:  defaultReplicaWait,
	}
}

// FIFO is the baseline policy: one queue in arrival order, reads in rotation over the servers, and no refusal before the
// deadline.
func FIFO() Policy {
	return Policy{
		Name:         "fifo",
		SelectQueue:  func(Request, bool) QueueID { return QueueShort },
		QueueTimeout: waitUntilDeadline,
		Share:        func(Request) string { return "" },
		TxLimit:      unlimited,
		Route:        routeRotation,
		LongLimit:    func(slots int) int { return slots },
		Admit:        func(time.Duration, time.Duration) bool { return true },
	}
}

// PolicyNamed returns the policy of that name, and whether it exists.
func PolicyNamed(name string) (Policy, bool) {
	switch name {
	case "", "ours":
		return DefaultPolicy(), true
	case "fifo":
		return FIFO(), true
	default:
		return Policy{}, false
	}
}

// shareByTenant shares queues between tenants.
func shareByTenant(r Request) string {
	return r.Statement.Tenant
}

// unlimited lets open transactions hold all connections.
func unlimited(int, int) int {
	return math.MaxInt
}

// smallConnShare is the share of a server's connections below which open transactions may hold more than half of it. Half of it
// would leave slots unused while transactions wait. Only nodes of fleets in which each node serves for itself have such shares.
const smallConnShare = 7

// halfOfConns lets open transactions hold half of the connections, so that single statements go on while transactions wait for
// their callers. Of a small share, they may hold as many connections as there are slots, but for one.
func halfOfConns(conns, slots int) int {
	if conns >= smallConnShare {
		return conns / 2
	}
	return max(1, conns/2, min(conns-1, slots))
}

// waitUntilDeadline lets a request wait until its deadline.
func waitUntilDeadline(r Request) time.Duration {
	return r.Deadline - r.Arrived
}

// waitWithinObjective lets a request wait for its class's QueueTimeout, but not beyond its deadline.
func waitWithinObjective(r Request) time.Duration {
	return min(QueueTimeout(r.Statement.Class), waitUntilDeadline(r))
}

// QueueTimeout is the part of a class's latency objective after which a request that still waits would most likely miss it.
// Its caller can then try another node. Without an objective it is the deadline.
func QueueTimeout(c bundle.Class) time.Duration {
	if d := time.Duration(c.ObjectiveMS) * time.Millisecond; d > 0 {
		return min(d*queueTimeoutTenths/10, c.Deadline())
	}
	return c.Deadline()
}

// queueByAnswerTime is queueByClass with reads of slow classes behind the others. When slots are scarce, serving the shorter
// reads first answers more requests. Reads of tenants stay together: the surplus of a hot tenant would keep those of the others
// behind it from being served at all, and a slow class costs its tenant more of its share.
func queueByAnswerTime(r Request, slow bool) QueueID {
	if q := queueByClass(r); q != QueueAged || !slow || r.Statement.Tenant != "" {
		return q
	}
	return QueueLong
}

func queueByClass(r Request) QueueID {
	switch {
	case r.Statement.Class.Long:
		return QueueLong
	case r.Statement.Kind == KindRead && r.Statement.Class.MaxAgeMS > 0:
		return QueueAged
	default:
		return QueueShort
	}
}

// routeNearest prefers replicas over the primary, servers of the own zone over others, and then the server with the fewest
// running requests.
func routeNearest(q RouteQuery) []Server {
	ss := slices.Clone(q.Servers)
	rank := func(s Server) int {
		switch {
		case s.View.Name == q.Primary:
			return 2
		case s.View.Zone == q.Zone:
			return 0
		default:
			return 1
		}
	}
	slices.SortStableFunc(ss, func(a, b Server) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Running, b.Running))
	})
	return ss
}

func routeRotation(q RouteQuery) []Server {
	ss := slices.Clone(q.Servers)
	if len(ss) == 0 {
		return nil
	}
	n := q.Rotation % len(ss)
	return append(ss[n:len(ss):len(ss)], ss[:n]...)
}

const (
	// initialAnswerTime is the assumed answer time of a server that has not answered yet.
	initialAnswerTime = 20 * time.Millisecond
	// connectWait is how long a read waits for a connection to a replica that is being opened, before it takes a slot of the
	// primary. Opening takes 12 ms plus the round trip.
	connectWait = 30 * time.Millisecond
	// spareConnTimeout exceeds the pauses between a session's statements. It is short because a server counts the connections
	// of nodes that lost power for seconds, and during that time other nodes can open only the connections that are left.
	spareConnTimeout = 300 * time.Millisecond
	// queueTimeoutTenths is the part of its objective, in tenths, that a request may wait for a server.
	queueTimeoutTenths = 7
	// admittedWaitTenths is the longest expected wait of a request that is queued, in tenths of the time until it would be refused.
	// The rest covers what the estimate misses: a request that is refused at once can still be served elsewhere.
	admittedWaitTenths = 7
	// primaryPenalty is how much slower a read may be at a replica before it takes a slot of the primary.
	primaryPenalty = 30 * time.Millisecond
)

// distancePenalties are the network delays that routing adds for a server of the own zone, of another zone of the own region,
// and of another region.
var distancePenalties = [...]time.Duration{0, 3 * time.Millisecond, 40 * time.Millisecond}

// Quickest is DefaultPolicy with static shares of slots and with reads sent where the answer is expected first. distanceRank
// is 0 for the own zone, 1 for another zone of the own region and 2 elsewhere.
func Quickest(distanceRank func(zone string) int) Policy {
	p := DefaultPolicy()
	p.Name = "quickest"
	p.LeaseSlots = false
	p.ReplicaWait = connectWait
	p.TxLimit = halfOfConns
	p.SelectQueue = queueByAnswerTime
	p.QueueTimeout = waitWithinObjective
	p.Admit = func(wait, left time.Duration) bool { return wait <= left*admittedWaitTenths/10 }
	p.MinIdle = 1
	p.IdleTimeout = spareConnTimeout
	p.Route = func(q RouteQuery) []Server { return routeQuickest(q, distanceRank) }
	return p
}

func routeQuickest(q RouteQuery, distanceRank func(zone string) int) []Server {
	cost := func(s Server) time.Duration {
		took := s.MeanAnswerTime
		if took == 0 {
			took = initialAnswerTime
		}
		c := took*time.Duration(1+s.Running)/2 + distancePenalties[min(distanceRank(s.View.Zone), len(distancePenalties)-1)]
		if s.View.Name == q.Primary {
			c += primaryPenalty
		}
		if q.OpenCost != nil {
			c += q.OpenCost(s)
		}
		return c
	}
	ss := slices.Clone(q.Servers)
	slices.SortStableFunc(ss, func(a, b Server) int { return cmp.Compare(cost(a), cost(b)) })
	return ss
}

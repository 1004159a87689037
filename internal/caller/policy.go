package caller

import (
	"cmp"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// Policy is how a lane shares out scarce servers; each field may be replaced on its own.
type Policy struct {
	Name string
	// SelectQueue puts a request into one of the lane's queues; slow says that its class takes longer than most.
	SelectQueue func(r Request, slow bool) QueueID
	// QueueTimeout is how long a request may wait for a server that is there; it never runs after that.
	QueueTimeout func(r Request) time.Duration
	// Route orders the servers that may run a read, best first.
	Route func(q RouteQuery) []Server
	// LongLimit is how many of a server's slots long requests may hold at once.
	LongLimit func(slots int) int
	// Admit tells whether a request that would wait so long is worth queueing.
	Admit func(wait, left time.Duration) bool
	// ReplicaWait is how long a read that replicas may serve waits for one before it takes a slot of the primary.
	ReplicaWait time.Duration
	// MinIdle is how many idle connections to a server are kept, and SpareFor how long others stay idle; zero keeps all.
	MinIdle     int
	IdleTimeout time.Duration
	// LeaseSlots says that nodes ask servers for slots instead of keeping static shares.
	LeaseSlots bool
}

const defaultReplicaWait = 40 * time.Millisecond

// RouteQuery is what Route decides from; Servers are those that may run the request, and Primary is the server that leads the group,
// if one is known.
type RouteQuery struct {
	Now      time.Duration
	Zone     string
	Session  Session
	Request  Request
	Servers  []Server
	Primary  string
	Rotation int
	// Samples are the positions of the primary, oldest first, and Led tells whether it surely led at a moment.
	Samples []upstream.Sample
	LeaderAt     func(at time.Duration) bool
}

// DefaultPolicy orders by class, keeps slots free of long work and sends stale reads to proven replicas.
func DefaultPolicy() Policy {
	return Policy{
		Name:      "ours",
		SelectQueue:     func(r Request, _ bool) QueueID { return queueByClass(r) },
		QueueTimeout:  waitUntilDeadline,
		Route:     routeNearest,
		LongLimit: func(slots int) int { return max(1, slots-1-slots/3) },
		Admit:     func(wait, left time.Duration) bool { return wait <= left },
		LeaseSlots:    true,

		ReplicaWait: defaultReplicaWait,
	}
}

// FIFO is the baseline: one queue in arrival order, reads in rotation, nothing refused before its deadline.
func FIFO() Policy {
	return Policy{
		Name:      "fifo",
		SelectQueue:     func(Request, bool) QueueID { return QueueShort },
		QueueTimeout:  waitUntilDeadline,
		Route:     routeRotation,
		LongLimit: func(slots int) int { return slots },
		Admit:     func(time.Duration, time.Duration) bool { return true },
	}
}

// PolicyNamed returns the policy of that name, and whether there is one.
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

// waitUntilDeadline lets a request wait as long as it may take.
func waitUntilDeadline(r Request) time.Duration {
	return r.Deadline - r.Arrived
}

// waitWithinObjective lets a request wait for its class's patience.
func waitWithinObjective(r Request) time.Duration {
	return min(QueueTimeout(r.Statement.Class), waitUntilDeadline(r))
}

// QueueTimeout is the part of a class's objective after which a request that still waits would most likely be late; its caller can
// ask another node then. Without an objective it is the deadline.
func QueueTimeout(c bundle.Class) time.Duration {
	if d := time.Duration(c.ObjectiveMS) * time.Millisecond; d > 0 {
		return min(d*queueTimeoutTenths/10, c.Deadline())
	}
	return c.Deadline()
}

// queueByAnswerTime is orderByClass with reads of slow classes behind the others: where slots are short, more requests are answered
// with those that take less.
func queueByAnswerTime(r Request, slow bool) QueueID {
	if q := queueByClass(r); q != QueueStale || !slow {
		return q
	}
	return QueueLong
}

func queueByClass(r Request) QueueID {
	switch {
	case r.Statement.Class.Long:
		return QueueLong
	case r.Statement.Kind == KindRead && r.Statement.Class.MaxAgeMS > 0:
		return QueueStale
	default:
		return QueueShort
	}
}

// routeNearest prefers replicas over the primary, servers of the own zone over others, and the least loaded of those.
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
	// initialAnswerTime is what an answer of a server is taken to take before the first came.
	initialAnswerTime = 20 * time.Millisecond
	// connectWait is how long a read waits for a connection to a replica that is being opened, which takes 12 ms and the way
	// there and back, before it takes a slot of the primary.
	connectWait = 30 * time.Millisecond
	// spareConnTimeout is above the pauses between a session's statements. Connections of nodes that lost power count at a server for
	// seconds, in which only what the others did not use can be opened.
	spareConnTimeout = 300 * time.Millisecond
	// queueTimeoutTenths is the part of its objective, in tenths, that a request may wait for a server.
	queueTimeoutTenths = 7
	// primaryPenalty is how much slower a read may be at a replica before it takes a slot of the primary.
	primaryPenalty = 30 * time.Millisecond
)

// distancePenalties are what a read pays for the way to a server of the own zone, of the own region, and of another.
var distancePenalties = [...]time.Duration{0, 3 * time.Millisecond, 40 * time.Millisecond}

// Quickest is Ours with static shares of slots, and reads sent where they are likely to be answered first; nearness is zero for
// the own zone, one for the own region and two for others.
func Quickest(nearness func(zone string) int) Policy {
	p := DefaultPolicy()
	p.Name = "quickest"
	p.LeaseSlots = false
	p.ReplicaWait = connectWait
	p.SelectQueue = queueByAnswerTime
	p.QueueTimeout = waitWithinObjective
	p.MinIdle = 1
	p.IdleTimeout = spareConnTimeout
	p.Route = func(q RouteQuery) []Server { return routeQuickest(q, nearness) }
	return p
}

func routeQuickest(q RouteQuery, nearness func(zone string) int) []Server {
	cost := func(s Server) time.Duration {
		took := s.MeanAnswerTime
		if took == 0 {
			took = initialAnswerTime
		}
		c := took*time.Duration(1+s.Running)/2 + distancePenalties[min(nearness(s.View.Zone), len(distancePenalties)-1)]
		if s.View.Name == q.Primary {
			c += primaryPenalty
		}
		return c
	}
	ss := slices.Clone(q.Servers)
	slices.SortStableFunc(ss, func(a, b Server) int { return cmp.Compare(cost(a), cost(b)) })
	return ss
}

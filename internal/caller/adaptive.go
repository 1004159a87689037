package caller

import (
	"cmp"
	"slices"
	"time"
)

const (
	// trialInterval is how long a replica may go without a request before it is tried with one of at least trialReads reads.
	// longTrialInterval is the time after which any read will do, and the interval for a server that fails more than failingServer of
	// its work: there, a trial costs its caller an answer. Without trialReads, lanes with few reads had 5% of them late while
	// a server was 8 times slower.
	trialInterval     = 400 * time.Millisecond
	trialReads        = 20
	longTrialInterval = 1600 * time.Millisecond
	failingServer     = 0.15
	// failurePenalty is the expected time that a failed read costs its caller, who has to come back.
	failurePenalty = 400 * time.Millisecond
	// loadOffset damps the effect of the requests that run at a server on its expected time, since the first of them find free slots.
	loadOffset = 2.0
)

// Adaptive is Quickest with limits and routes that are learned from each server's answers, for groups that few nodes serve for all.
// At servers without LimitsUpdated.MaxSlots it decides as Quickest does.
func Adaptive(distanceRank func(zone string) int) Policy {
	p := Quickest(distanceRank)
	p.Name = "adaptive"
	p.Capacity = LearnedCapacity()
	quickest := p.Route
	p.Route = func(q RouteQuery) []Server {
		if slices.ContainsFunc(q.Servers, func(s Server) bool { return s.Capacity.Max == 0 }) {
			return quickest(q)
		}
		return routeLearned(q, distanceRank)
	}
	return p
}

// minIdle returns how many idle connections to a server are kept. A lane whose limit may exceed its share opens many connections
// at a crest, and each one that it closed and opens again costs the server 12 ms of a slot.
func (l *Lane) minIdle(row Server) int {
	if !l.learns(row) {
		return l.policy.MinIdle
	}
	return max(l.policy.MinIdle, row.Capacity.Allowed()/2)
}

// opensEnough reports whether as many connections to a server are being opened as requests may be sent there. Without this bound,
// one free slot had all requests that waited open connections, which took the server's slots for 200 ms.
func (l *Lane) opensEnough(row Server) bool {
	return l.learns(row) && row.OpeningConns >= max(1, row.FreeSlots())
}

// routeLearned orders servers by the expected time to completion. A replica that was not heard of for a while is tried first.
func routeLearned(q RouteQuery, distanceRank func(zone string) int) []Server {
	type choice struct {
		server Server
		cost   time.Duration
	}
	cs := make([]choice, 0, len(q.Servers))
	best := time.Duration(-1)
	for _, s := range q.Servers {
		cost := expectedTime(q, s) + distancePenalties[min(distanceRank(s.View.Zone), len(distancePenalties)-1)]
		if best < 0 || cost < best {
			best = cost
		}
		if s.View.Name == q.Primary {
			cost += primaryPenalty
		}
		if dueForTrial(q, s) {
			cost = 0
		}
		cs = append(cs, choice{s, cost})
	}
	slices.SortStableFunc(cs, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	left := q.Request.Arrived + QueueTimeout(q.Request.Statement.Class)*10/queueTimeoutTenths - q.Now
	ss := make([]Server, 0, len(cs))
	for _, c := range cs {
		if c.cost <= left || best > left {
			ss = append(ss, c.server)
		}
	}
	if q.Request.AvoidServer != "" {
		return withRoom(ss)
	}
	return ss
}

// withRoom returns the servers that have free slots, or all if none has. A read that was sent before does not wait for a full
// replica while the primary has room.
func withRoom(ss []Server) []Server {
	free := slices.DeleteFunc(slices.Clone(ss), func(s Server) bool { return s.FreeSlots() <= 0 })
	if len(free) == 0 {
		return ss
	}
	return free
}

// expectedTime is the time in which a server is expected to answer one more request. While requests run there, it is at least the
// time since the server last answered, so that a server which has stopped is noticed before its answers.
func expectedTime(q RouteQuery, s Server) time.Duration {
	w := q.Work(s.View.Name)
	took := w.Recent
	if took == 0 {
		took = cmp.Or(s.MeanAnswerTime, initialAnswerTime)
	}
	if s.Running > 0 {
		took = max(took, q.Now-max(s.Capacity.HeardAt, s.BusySince))
	}
	at := float64(took) * (loadOffset + float64(s.Running+1)) / (loadOffset + max(w.InFlight, 1))
	switch {
	case q.OpenCost != nil:
		at += float64(q.OpenCost(s))
	case len(s.IdleConns) == 0:
		at += float64(openTime(s))
	}
	return time.Duration(at + s.Capacity.Failing*float64(failurePenalty))
}

// dueForTrial reports whether a replica should get a read although others are expected to answer sooner.
func dueForTrial(q RouteQuery, s Server) bool {
	interval := trialInterval
	if s.Capacity.Failing > failingServer || q.Rotation-s.Capacity.RoutedUntil < trialReads {
		interval = longTrialInterval
	}
	return s.View.Name != q.Primary && s.Running == 0 && q.Now-s.Capacity.HeardAt >= interval
}

package upstream_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// simulation drives one Watch with a simulated group of three servers, the lease in the store and the platform's orders. Answers
// arrive after 1 ms.
type simulation struct {
	c        *qt.C
	w        *upstream.Watch
	now      time.Duration
	status   map[string]upstream.Status
	silent   map[string]bool
	refusing map[string]bool
	lease    upstream.Lease
	// era is that of the store.
	era uint64
	// storeDown leaves requests about the lease unanswered. storeDelay delays the answers to AcquireLease.
	storeDown     bool
	storeDelay    time.Duration
	pending       []pendingEvent
	promoteOrders []upstream.OrderPromote
	paused        []string
	followOrders  []string
	steppedDown   bool
	// withholdsPromise is the name of a server that does not answer RequestPromise.
	withholdsPromise string
	resumeOrders     []string
	view             upstream.GroupView
	auditRecords     []operator.Record
	// announcedFloor is the last floor that was reported to the peers.
	announcedFloor session.Position
}

type pendingEvent struct {
	at time.Duration
	e  upstream.Event
}

// startSimulation returns a simulation whose servers were configured 100 ms ago.
func startSimulation(c *qt.C) *simulation {
	c.Helper()
	s := emptySimulation(c)
	for _, n := range []string{"p", "a", "b"} {
		s.step(s.configured(n, false))
	}
	s.step(upstream.GroupServed{Group: "g", Served: true})
	s.run(100 * time.Millisecond)
	c.Assert(s.view.Primary, qt.Equals, "p")
	return s
}

// emptySimulation returns a simulation without a configured server.
func emptySimulation(c *qt.C) *simulation {
	c.Helper()
	w, err := upstream.NewWatch("n0", upstream.WithKind(upstream.Appointed()))
	c.Assert(err, qt.IsNil)
	return &simulation{
		c: c, w: w, now: time.Second, silent: map[string]bool{}, refusing: map[string]bool{}, status: map[string]upstream.Status{
			"p": {Role: upstream.RolePrimary, Term: 1, Position: position(1, 100)},
			"a": {Role: upstream.RoleReplica, Term: 1, Position: position(1, 100)},
			"b": {Role: upstream.RoleReplica, Term: 1, Position: position(1, 100)},
		},
	}
}

// newSimulation returns a simulation in which ListSettleTime has passed, so that the group's list counts as complete.
func newSimulation(c *qt.C) *simulation {
	c.Helper()
	s := startSimulation(c)
	s.run(upstream.ListSettleTime)
	return s
}

func position(term, offset uint64) session.Position {
	return session.Position{Term: term, Offset: offset}
}

func (s *simulation) configured(server string, leaving bool) upstream.Event {
	return upstream.ServerConfigured{Server: server, Group: "g", Zone: "z", Address: server, Leaving: leaving}
}

func (s *simulation) step(es ...upstream.Event) {
	as, _ := s.w.Step(s.now, es)
	for _, a := range as {
		s.perform(a)
	}
}

// run advances the time by d in steps of 1 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += time.Millisecond
		var due []upstream.Event
		var rest []pendingEvent
		for _, p := range s.pending {
			if p.at <= s.now {
				due = append(due, p.e)
			} else {
				rest = append(rest, p)
			}
		}
		s.pending = rest
		s.step(due...)
	}
}

func (s *simulation) answerLater(e upstream.Event) {
	s.pending = append(s.pending, pendingEvent{s.now + time.Millisecond, e})
}

func (s *simulation) perform(a upstream.Action) {
	switch a := a.(type) {
	case upstream.Probe:
		if s.refusing[a.Server] {
			s.answerLater(upstream.ProbeFailed{Server: a.Server, Refused: true})
		} else if !s.silent[a.Server] {
			s.answerLater(upstream.ProbeSucceeded{Server: a.Server, SentAt: a.SentAt, Status: s.status[a.Server]})
		}
	case upstream.RequestPromise:
		if st := s.status[a.Server]; !s.silent[a.Server] && !s.refusing[a.Server] && s.withholdsPromise != a.Server {
			if a.StepDownFirst {
				st.Role = upstream.RoleReplica
				s.steppedDown = true
			}
			if st.Role == upstream.RoleReplica {
				st.Promised = a.Term
			}
			s.status[a.Server] = st
			s.paused = append(s.paused, a.Server)
			s.answerLater(upstream.PromiseAnswered{Server: a.Server, Term: a.Term, Granted: st.Role == upstream.RoleReplica, Status: st})
		}
	case upstream.OrderResume:
		st := s.status[a.Server]
		st.Promised = 0
		s.status[a.Server] = st
		s.resumeOrders = append(s.resumeOrders, a.Server)
	case upstream.OrderFollow:
		s.followOrders = append(s.followOrders, a.Server)
	case upstream.OrderPromote:
		s.promoteOrders = append(s.promoteOrders, a)
		s.answerLater(upstream.PromoteAnswered{Server: a.Server, Term: a.Term, Accepted: true})
	case upstream.PublishView:
		s.view = a.View
	case upstream.AnnounceFloor:
		s.announcedFloor = a.Floor
	case upstream.WriteAuditRecord:
		s.auditRecords = append(s.auditRecords, a.Record)
	default:
		s.performLeaseAction(a)
	}
}

func (s *simulation) performLeaseAction(a upstream.Action) {
	if s.storeDown {
		return
	}
	switch a := a.(type) {
	case upstream.ReadLease:
		s.answerLater(upstream.LeaseRead{Group: "g", Lease: s.lease.WithStoreTime(s.now, s.now).WithStoreEra(s.era)})
	case upstream.AcquireLease:
		if a.Lease.Version != s.lease.Version {
			s.answerLater(upstream.LeaseRead{Group: "g", Lease: s.lease.WithStoreTime(s.now, s.now).WithStoreEra(s.era)})
			return
		}
		s.lease = a.Lease.WithStoreTime(s.now, s.now)
		s.lease.Version++
		s.pending = append(s.pending, pendingEvent{
			s.now + s.storeDelay + time.Millisecond, upstream.LeaseAcquired{Group: "g", Lease: s.lease, SentAt: a.SentAt},
		})
	case upstream.ReleaseLease:
		if a.Lease.Version == s.lease.Version {
			s.lease = a.Lease
			s.lease.Version++
		}
	}
}

// appointPrimary simulates the platform's execution of a promotion order.
func (s *simulation) appointPrimary(server string) {
	term := uint64(0)
	for _, st := range s.status {
		term = max(term, st.Term)
	}
	for n, st := range s.status {
		if st.Promised <= term+1 || n == server {
			st.Promised = 0
		}
		if n != "p" || server == "p" {
			st.Term = term + 1
		}
		if n == server {
			st.Role = upstream.RolePrimary
		}
		s.status[n] = st
	}
}

// pauseReplicas pauses the replicas, as a promotion with the given term does.
func (s *simulation) pauseReplicas(term uint64) {
	for _, n := range []string{"a", "b"} {
		st := s.status[n]
		st.Promised = term
		s.status[n] = st
	}
}

func (s *simulation) setPosition(server string, p session.Position) {
	st := s.status[server]
	st.Position = p
	s.status[server] = st
}

func assertPromoteOrders(s *simulation, servers ...string) {
	s.c.Helper()
	var got []string
	for _, o := range s.promoteOrders {
		got = append(got, o.Server)
	}
	s.c.Assert(got, qt.DeepEquals, servers, qt.Commentf("paused servers %v, audit records %v", s.paused, s.auditRecords))
}

func assertNonePaused(s *simulation) {
	s.c.Helper()
	for n, st := range s.status {
		s.c.Assert(st.Promised, qt.Equals, uint64(0), qt.Commentf("promised term of server %s", n))
	}
}

func TestAppointedDetection(t *testing.T) {
	for _, k := range []struct {
		name   string
		fail   func(s *simulation)
		within time.Duration
	}{
		{"refuses connections", func(s *simulation) { s.refusing["p"] = true }, 2 * time.Second},
		{"is silent", func(s *simulation) { s.silent["p"] = true }, 2500 * time.Millisecond},
		{"is leaving", func(s *simulation) { s.step(s.configured("p", true)) }, time.Second},
		{"is removed", func(s *simulation) { s.step(upstream.ServerRemoved{Server: "p"}) }, 2500 * time.Millisecond},
		{"is cut off from its replicas", func(s *simulation) {
			s.setPosition("p", position(1, 120))
			s.step(upstream.ServerSuspected{Server: "p", WriteStalled: true})
		}, 2500 * time.Millisecond},
	} {
		t.Run(k.name, func(t *testing.T) {
			s := newSimulation(qt.New(t))
			k.fail(s)
			s.run(k.within)
			assertPromoteOrders(s, "a")
		})
	}
	t.Run("is not listed yet after a store outage in which entries expired", func(t *testing.T) {
		s := emptySimulation(qt.New(t))
		s.step(upstream.GroupServed{Group: "g", Served: true}, s.configured("a", false))
		s.run(2 * time.Second)
		s.step(s.configured("p", false), s.configured("b", false))
		s.run(3 * time.Second)
		assertPromoteOrders(s)
		s.c.Assert(s.paused, qt.HasLen, 0)
		s.c.Assert(s.view.Primary, qt.Equals, "p")
	})
	t.Run("is healthy", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.run(20 * time.Second)
		assertPromoteOrders(s)
		s.c.Assert(s.paused, qt.HasLen, 0)
	})
	t.Run("is silent to this node but still replicates", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.silent["p"] = true
		for i := range 60 {
			s.setPosition("a", position(1, 101+uint64(i)))
			s.run(100 * time.Millisecond)
		}
		assertPromoteOrders(s)
	})
	t.Run("advances between probes of its replicas", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		for i := range 50 {
			p := position(1, 101+uint64(i))
			s.setPosition("p", p)
			s.setPosition("a", p)
			s.setPosition("b", p)
			s.run(200 * time.Millisecond)
		}
		assertPromoteOrders(s)
	})
}

func TestAppointedChoice(t *testing.T) {
	t.Run("the replica with the longest log", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.setPosition("a", position(1, 90))
		s.refusing["p"] = true
		s.run(2 * time.Second)
		assertPromoteOrders(s, "b")
	})
	t.Run("of replicas with equal logs, one that is not leaving", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.step(s.configured("a", true))
		s.refusing["p"] = true
		s.run(2 * time.Second)
		assertPromoteOrders(s, "b")
	})
	t.Run("a leaving replica, if no other has the acknowledged commits", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.step(s.configured("a", true))
		s.setPosition("b", position(1, 90))
		s.refusing["p"] = true
		s.run(2 * time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("no replica while one of them does not respond", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.refusing["p"] = true
		s.silent["b"] = true
		s.run(6 * time.Second)
		assertPromoteOrders(s)
		s.c.Assert(s.status["a"].Promised, qt.Equals, uint64(0), qt.Commentf("server a stays paused between attempts"))
	})
	t.Run("the other replica once the unresponsive one is removed", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.refusing["p"] = true
		s.silent["b"] = true
		s.run(2 * time.Second)
		s.step(upstream.ServerRemoved{Server: "b"})
		s.run(2 * time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("no replica behind the position of a removed replica", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.setPosition("a", position(1, 90))
		s.run(4 * time.Second)
		s.step(upstream.ServerRemoved{Server: "b"})
		s.refusing["p"] = true
		s.run(4 * time.Second)
		assertPromoteOrders(s)
		assertNonePaused(s)
	})
	t.Run("no replica behind the position that the last promotion chose", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.setPosition("b", position(1, 40))
		s.refusing["p"] = true
		s.run(2 * time.Second)
		assertPromoteOrders(s, "a")
		s.appointPrimary("a")
		s.run(500 * time.Millisecond)
		s.c.Assert(s.view.Primary, qt.Equals, "a")
		s.step(upstream.ServerRemoved{Server: "p"})
		s.refusing["a"] = true
		s.run(4 * time.Second)
		assertPromoteOrders(s, "a")
		s.c.Assert(s.lease.Floor, qt.Equals, position(1, 100))
	})
	t.Run("no replica behind the position that a peer has announced", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.step(upstream.RouteLearned{Group: "g", Floor: position(1, 101)})
		s.refusing["p"] = true
		s.run(3 * time.Second)
		assertPromoteOrders(s)
		s.setPosition("b", position(1, 101))
		s.run(3 * time.Second)
		assertPromoteOrders(s, "b")
	})
	t.Run("no replica after the restart of one that had promised", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.refusing["p"] = true
		for len(s.paused) < 2 {
			s.run(time.Millisecond)
		}
		s.step(upstream.ServerConfigured{Server: "b", Group: "g", Zone: "z", Address: "b", Incarnation: 2})
		s.silent["b"] = true
		s.run(100 * time.Millisecond)
		assertPromoteOrders(s)
	})
}

func TestAppointedLease(t *testing.T) {
	t.Run("held by another node delays the promotion until it expires", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.lease = upstream.Lease{Token: 7, Holder: "n1", Version: 3}
		s.refusing["p"] = true
		s.run(4 * time.Second)
		assertPromoteOrders(s)
		s.run(3 * time.Second)
		assertPromoteOrders(s, "a")
		s.c.Assert(s.promoteOrders[0].Token > 7, qt.IsTrue)
	})
	t.Run("granted too late is not used", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.storeDelay = upstream.LeaseDuration
		s.refusing["p"] = true
		s.run(12 * time.Second)
		assertPromoteOrders(s)
		s.c.Assert(s.paused, qt.HasLen, 0)
	})
	t.Run("that the store does not grant prevents every order and pause", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.storeDown = true
		s.refusing["p"] = true
		s.run(6 * time.Second)
		assertPromoteOrders(s)
		s.c.Assert(s.paused, qt.HasLen, 0)
		s.storeDown = false
		s.run(3 * time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("is released after the promotion", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.refusing["p"] = true
		s.run(1500 * time.Millisecond)
		s.appointPrimary("a")
		s.run(500 * time.Millisecond)
		s.c.Assert(s.view.Primary, qt.Equals, "a")
		s.c.Assert(s.lease.Holder, qt.Equals, "")
	})
	t.Run("released by another node after a promotion is not acquired during the handover delay", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.lease = upstream.Lease{Token: 7, Actor: "n1", ReleasedMS: s.now.Milliseconds(), Version: 3}
		s.refusing["p"] = true
		s.run(upstream.LeaseHandoverDelay - 200*time.Millisecond)
		assertPromoteOrders(s)
		s.run(time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("released by this node can be acquired again at once", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.lease = upstream.Lease{Token: 7, Actor: "n0", ReleasedMS: s.now.Milliseconds(), Version: 3}
		s.refusing["p"] = true
		s.run(1500 * time.Millisecond)
		assertPromoteOrders(s, "a")
	})
	t.Run("records when it was released", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.refusing["p"] = true
		s.run(1500 * time.Millisecond)
		s.appointPrimary("a")
		s.run(500 * time.Millisecond)
		s.c.Assert(s.lease.Actor, qt.Equals, "n0")
		releasedAt := time.Duration(s.lease.ReleasedMS) * time.Millisecond
		s.c.Assert(releasedAt > s.promoteOrders[0].Deadline-upstream.LeaseDuration && releasedAt <= s.now, qt.IsTrue,
			qt.Commentf("released at %v", releasedAt))
	})
	t.Run("held by an earlier process of this node is not acquired until that process's orders have taken effect", func(t *testing.T) {
		s := startSimulation(qt.New(t))
		s.lease = upstream.Lease{Token: 7, Holder: "n0", Version: 3}
		s.pauseReplicas(2)
		s.refusing["p"] = true
		s.run(max(upstream.LeaseSettleTime, upstream.ListSettleTime) - 200*time.Millisecond)
		assertPromoteOrders(s)
		s.run(600 * time.Millisecond)
		assertPromoteOrders(s, "a")
	})
	t.Run("has a fencing token that increases with each order", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.refusing["p"] = true
		s.run(20 * time.Second)
		last := uint64(0)
		for _, o := range s.promoteOrders {
			s.c.Assert(o.Token > last, qt.IsTrue)
			last = o.Token
		}
		s.c.Assert(len(s.promoteOrders) > 1, qt.IsTrue, qt.Commentf("an order without effect was not repeated"))
	})
}

// startEra makes the store come back from a copy with the given lease.
func (s *simulation) startEra(era uint64, l upstream.Lease) {
	s.era, s.lease = era, l
	s.step(upstream.StoreEraObserved{Era: era})
}

// TestLeaseOverRestores guards against two nodes that give orders at a time, and against tokens that are given out twice, when the
// store has lost a lease.
func TestLeaseOverRestores(t *testing.T) {
	const oldLeases = upstream.LeaseDuration + upstream.LeaseSettleTime
	t.Run("a lease may be lost, so none is acquired until it has expired", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.startEra(1, upstream.Lease{})
		s.run(oldLeases)
		s.startEra(2, upstream.Lease{})
		s.refusing["p"] = true
		s.run(oldLeases - 100*time.Millisecond)
		assertPromoteOrders(s)
		assertNonePaused(s)
		s.run(3 * time.Second)
		assertPromoteOrders(s, "a")
		s.c.Assert(s.promoteOrders[0].Token > 2<<32, qt.IsTrue)
	})
	t.Run("a lease of the current era is complete", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.startEra(2, upstream.Lease{Token: 2<<32 + 4, Era: 2, Version: 3})
		s.refusing["p"] = true
		s.run(1500 * time.Millisecond)
		assertPromoteOrders(s, "a")
		s.c.Assert(s.promoteOrders[0].Token > 2<<32+4, qt.IsTrue)
	})
	t.Run("the same version is another lease in another era", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.startEra(1, upstream.Lease{Token: 7, Holder: "n1", Era: 1, Version: 3})
		s.refusing["p"] = true
		s.run(2 * time.Second)
		s.startEra(2, upstream.Lease{Token: 2<<32 + 1, Holder: "n2", Era: 2, Version: 3})
		s.run(oldLeases - 500*time.Millisecond)
		assertPromoteOrders(s)
		s.run(3 * time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("a promotion under a lost lease gives no order", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.startEra(1, upstream.Lease{Era: 1, Version: 3})
		s.withholdsPromise = "b"
		s.refusing["p"] = true
		for len(s.paused) == 0 {
			s.run(time.Millisecond)
		}
		s.startEra(2, upstream.Lease{})
		s.withholdsPromise = ""
		s.run(oldLeases - 100*time.Millisecond)
		assertPromoteOrders(s)
		s.run(3 * time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("a lease that was acquired before is not used", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.startEra(1, upstream.Lease{Era: 1, Version: 3})
		s.storeDelay = 300 * time.Millisecond
		s.refusing["p"] = true
		for s.lease.Holder == "" {
			s.run(time.Millisecond)
		}
		s.startEra(2, upstream.Lease{})
		s.run(oldLeases - 100*time.Millisecond)
		assertPromoteOrders(s)
		assertNonePaused(s)
	})
	t.Run("an answer of an earlier era is not used", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.startEra(2, upstream.Lease{Era: 2, Version: 3})
		s.era = 1
		s.refusing["p"] = true
		s.run(2 * oldLeases)
		s.c.Assert(s.lease.Holder, qt.Equals, "")
	})
	t.Run("a release in the future of another clock delays by no more than the handover", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.startEra(2, upstream.Lease{Token: 2<<32 + 4, Actor: "n1", ReleasedMS: time.Hour.Milliseconds(), Era: 2, Version: 3})
		s.refusing["p"] = true
		s.run(upstream.LeaseHandoverDelay + 2*time.Second)
		assertPromoteOrders(s, "a")
	})
}

func TestAppointedAbandoned(t *testing.T) {
	t.Run("the pauses of another node's unfinished promotion are ended under the lease", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.pauseReplicas(2)
		s.run(12 * time.Second)
		assertNonePaused(s)
		assertPromoteOrders(s)
		s.c.Assert(s.lease.Token > 0, qt.IsTrue)
	})
	t.Run("a pause with a term above that of the new primary ends at once", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.pauseReplicas(2)
		s.refusing["p"] = true
		for len(s.promoteOrders) == 0 {
			s.run(time.Millisecond)
		}
		s.appointPrimary("a")
		s.run(300 * time.Millisecond)
		s.c.Assert(s.view.Primary, qt.Equals, "a")
		assertNonePaused(s)
	})
	t.Run("a primary that responds again before the order stays primary", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.refusing["p"] = true
		for len(s.paused) == 0 {
			s.run(time.Millisecond)
		}
		delete(s.refusing, "p")
		s.step(upstream.ProbeSucceeded{Server: "p", SentAt: s.now, Status: s.status["p"]})
		s.run(3 * time.Second)
		assertPromoteOrders(s)
		assertNonePaused(s)
	})
}

// assertLedBy checks that a server leads the group without a suspicion, and that no replica is paused.
func assertLedBy(s *simulation, server string) {
	s.c.Helper()
	s.c.Check(s.view.Primary, qt.Equals, server)
	s.c.Check(s.view.Suspect, qt.IsFalse)
	assertNonePaused(s)
}

// TestPrimaryListedAgain guards against a group without a primary for good after the entry of its primary was missing for a moment,
// as in a read of a store that lags: the primary itself goes on, and is no replica that could promise anything.
func TestPrimaryListedAgain(t *testing.T) {
	for _, missing := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprintf("after %v, before an order takes effect", missing), func(t *testing.T) {
			s := newSimulation(qt.New(t))
			s.withholdsPromise = "p"
			s.step(upstream.ServerRemoved{Server: "p"})
			s.run(missing)
			s.step(s.configured("p", false))
			s.run(4 * time.Second)
			assertLedBy(s, "p")
		})
	}
	t.Run("after an order that takes no effect", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.step(upstream.ServerRemoved{Server: "p"})
		for len(s.promoteOrders) == 0 {
			s.run(time.Millisecond)
		}
		s.withholdsPromise = "p"
		s.step(s.configured("p", false))
		s.run(upstream.Appointed().Timing.OpenTimeout + 4*time.Second)
		assertLedBy(s, "p")
	})
	t.Run("after its replacement it is no primary", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.step(upstream.ServerRemoved{Server: "p"})
		s.run(time.Second)
		assertPromoteOrders(s, "a")
		s.appointPrimary("a")
		s.step(s.configured("p", false))
		s.run(4 * time.Second)
		s.c.Check(s.view.Primary, qt.Equals, "a")
	})
}

func TestPrimaryStepsDownBeforeTheOrder(t *testing.T) {
	t.Run("if it responds", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.step(s.configured("p", true))
		s.run(time.Second)
		assertPromoteOrders(s, "a")
		s.c.Assert(s.steppedDown, qt.IsTrue)
	})
	t.Run("and no order is given while its promise is missing", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.withholdsPromise = "p"
		s.step(s.configured("p", true))
		s.run(900 * time.Millisecond)
		assertPromoteOrders(s)
	})
	t.Run("and is not promoted again for its longer log", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.step(s.configured("p", true))
		s.setPosition("p", position(1, 105))
		s.run(time.Second)
		assertPromoteOrders(s, "a")
	})
}

func TestEmptyLogs(t *testing.T) {
	s := newSimulation(qt.New(t))
	for n := range s.status {
		s.setPosition(n, session.Position{})
	}
	s.run(10 * time.Second)
	assertPromoteOrders(s)
	s.refusing["p"] = true
	s.run(2 * time.Second)
	s.appointPrimary(s.promoteOrders[0].Server)
	s.run(10 * time.Second)
	assertPromoteOrders(s, "a")
}

func TestDeposedPrimary(t *testing.T) {
	s := newSimulation(qt.New(t))
	s.silent["p"] = true
	s.run(2500 * time.Millisecond)
	s.appointPrimary("a")
	s.run(500 * time.Millisecond)
	s.c.Assert(s.view.Primary, qt.Equals, "a")
	delete(s.silent, "p")
	s.run(2 * time.Second)
	s.c.Assert(s.followOrders, qt.Contains, "p")
	s.c.Assert(s.view.Primary, qt.Equals, "a")
}

// TestTwoPromoters checks that the orders of two nodes that detect the same failed primary have increasing fencing tokens. The
// nodes share one lease.
func TestTwoPromoters(t *testing.T) {
	c := qt.New(t)
	a, b := newSimulation(c), newSimulation(c)
	other, err := upstream.NewWatch("n1", upstream.WithKind(upstream.Appointed()))
	c.Assert(err, qt.IsNil)
	b.w = other
	for _, n := range []string{"p", "a", "b"} {
		b.step(b.configured(n, false))
	}
	b.step(upstream.GroupServed{Group: "g", Served: true})
	b.run(100 * time.Millisecond)
	a.run(100 * time.Millisecond)
	a.refusing["p"], b.refusing["p"] = true, true
	var tokens []uint64
	for range 15000 {
		before := len(a.promoteOrders) + len(b.promoteOrders)
		a.run(time.Millisecond)
		b.lease, b.status = a.lease, a.status
		b.run(time.Millisecond)
		a.lease = b.lease
		if len(a.promoteOrders)+len(b.promoteOrders) > before {
			for _, s := range []*simulation{a, b} {
				for _, o := range s.promoteOrders[max(0, len(s.promoteOrders)-1):] {
					if n := len(tokens); n == 0 || o.Token > tokens[n-1] {
						tokens = append(tokens, o.Token)
					}
				}
			}
		}
	}
	c.Assert(len(tokens), qt.Equals, len(a.promoteOrders)+len(b.promoteOrders), qt.Commentf("orders with increasing fencing tokens"))
	c.Assert(len(tokens) > 1, qt.IsTrue)
}

func TestEvidenceOfLeadership(t *testing.T) {
	confirmedAt := func(s *simulation) time.Duration {
		s.run(4 * time.Second)
		return s.view.LeaderConfirmedAt
	}
	t.Run("a following replica gives evidence", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.c.Assert(confirmedAt(s) > 2*time.Second, qt.IsTrue)
	})
	for _, k := range []struct {
		name string
		st   upstream.Status
	}{
		{"a paused replica", upstream.Status{Role: upstream.RoleReplica, Term: 1, Promised: 2, Position: position(1, 100)}},
		{"a replica of a newer term", upstream.Status{Role: upstream.RoleReplica, Term: 2, Position: position(2, 100)}},
	} {
		t.Run(k.name+" gives no evidence", func(t *testing.T) {
			s := newSimulation(qt.New(t))
			s.storeDown = true
			s.status["a"], s.status["b"] = k.st, k.st
			s.c.Assert(confirmedAt(s) < 2*time.Second, qt.IsTrue, qt.Commentf("leader confirmed at %v", s.view.LeaderConfirmedAt))
		})
	}
	t.Run("a replica whose pause has just ended gives no evidence, as a promotion may have ended the pause", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		probeReplicas := func() time.Duration {
			for _, n := range []string{"a", "b"} {
				s.step(upstream.ProbeSucceeded{Server: n, SentAt: s.now, Status: s.status[n]})
			}
			s.run(time.Millisecond)
			return s.view.LeaderConfirmedAt
		}
		s.pauseReplicas(2)
		probeReplicas()
		s.pauseReplicas(0)
		ended := s.now
		s.c.Assert(probeReplicas() < ended, qt.IsTrue)
		s.run(upstream.PauseSettleTime / 2)
		s.c.Assert(probeReplicas() < ended, qt.IsTrue)
		s.run(upstream.PauseSettleTime)
		s.c.Assert(probeReplicas() > ended, qt.IsTrue)
	})
	t.Run("a primary that has stepped down gives no evidence for itself", func(t *testing.T) {
		s := newSimulation(qt.New(t))
		s.storeDown = true
		s.silent["a"], s.silent["b"] = true, true
		s.status["p"] = upstream.Status{Role: upstream.RoleReplica, Term: 1, Position: position(1, 100)}
		s.c.Assert(confirmedAt(s) < 2*time.Second, qt.IsTrue, qt.Commentf("leader confirmed at %v", s.view.LeaderConfirmedAt))
	})
}

func TestTrafficSavesProbes(t *testing.T) {
	probes := func(responses bool) int {
		s := newSimulation(qt.New(t))
		n := 0
		for range 100 {
			if responses {
				s.step(upstream.ResponseReceived{Server: "p", SentAt: s.now},
					upstream.ResponseReceived{Server: "a", SentAt: s.now},
					upstream.ResponseReceived{Server: "b", SentAt: s.now})
			}
			before := len(s.pending)
			s.run(100 * time.Millisecond)
			n += max(0, len(s.pending)-before)
		}
		return n
	}
	t.Run("a server that answers requests is not probed", func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(c)
		sent := 0
		for range 200 {
			for _, n := range []string{"p", "a", "b"} {
				s.step(upstream.ResponseReceived{Server: n, SentAt: s.now})
			}
			as, _ := s.w.Step(s.now, nil)
			for _, a := range as {
				if _, ok := a.(upstream.Probe); ok {
					sent++
				}
			}
			s.run(20 * time.Millisecond)
		}
		c.Assert(sent, qt.Equals, 0)
		c.Assert(probes(true) <= probes(false), qt.IsTrue)
	})
	t.Run("a suspected server is probed at once, unless it has just responded", func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(c)
		s.run(700 * time.Millisecond)
		as, _ := s.w.Step(s.now, []upstream.Event{upstream.ServerSuspected{Server: "p"}})
		c.Assert(fmt.Sprintf("%T", firstProbe(as)), qt.Equals, "upstream.Probe")
		s = newSimulation(c)
		s.step(upstream.ResponseReceived{Server: "p", SentAt: s.now})
		as, _ = s.w.Step(s.now, []upstream.Event{upstream.ServerSuspected{Server: "p"}})
		c.Assert(firstProbe(as), qt.IsNil)
	})
}

func firstProbe(as []upstream.Action) upstream.Action {
	for _, a := range as {
		if p, ok := a.(upstream.Probe); ok {
			return p
		}
	}
	return nil
}

// TestLargeFleet checks that a node whose rank is too low to watch a group still learns the group's primary.
func TestLargeFleet(t *testing.T) {
	peers := upstream.PeersUpdated{}
	for i := range 4 * upstream.WatchersPerGroup {
		peers.Nodes = append(peers.Nodes, fmt.Sprintf("n%d", i))
	}
	watch := func(c *qt.C) *simulation {
		w, err := upstream.NewWatch("n0", upstream.WithKind(upstream.Appointed()))
		c.Assert(err, qt.IsNil)
		s := &simulation{c: c, w: w, now: time.Second, silent: map[string]bool{}, refusing: map[string]bool{}}
		s.status = map[string]upstream.Status{
			"p": {Role: upstream.RolePrimary, Term: 1, Position: position(1, 100)},
			"a": {Role: upstream.RoleReplica, Term: 1, Position: position(1, 100)},
		}
		return s
	}
	// unranked returns the name of a group for which this node's rank is too low to watch it.
	unranked := func() string {
		for i := 0; ; i++ {
			if g := fmt.Sprintf("g%d", i); peer.Rank("n0", g, peers.Nodes) >= upstream.WatchersPerGroup {
				return g
			}
		}
	}
	t.Run("a served group is watched, whether it was served or configured first", func(t *testing.T) {
		s := watch(qt.New(t))
		g := unranked()
		s.step(peers, upstream.GroupServed{Group: g, Served: true})
		for _, n := range []string{"p", "a"} {
			s.step(upstream.ServerConfigured{Server: n, Group: g, Zone: "z", Address: n})
		}
		s.step(peers)
		s.run(100 * time.Millisecond)
		s.c.Assert(s.view.Primary, qt.Equals, "p")
	})
	t.Run("the route of an unwatched group is adopted", func(t *testing.T) {
		s := watch(qt.New(t))
		g := unranked()
		for _, n := range []string{"p", "a"} {
			s.step(upstream.ServerConfigured{Server: n, Group: g, Zone: "z", Address: n})
		}
		s.step(peers)
		s.step(upstream.RouteLearned{Group: g, Term: 7, Primary: "a"})
		s.c.Assert(s.view.Primary, qt.Equals, "a")
		s.c.Assert(s.view.Term, qt.Equals, uint64(7))
	})
}

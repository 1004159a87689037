package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/upstream"
)

// deafReplica returns a simulation in which replica a has received nothing since position 100, while the primary and replica b went
// on to 140. Traffic keeps the known positions of both old.
func deafReplica(c *qt.C) *simulation {
	c.Helper()
	s := newSimulation(c)
	s.setPosition("p", position(1, 140))
	s.setPosition("b", position(1, 140))
	return s
}

// fail makes servers send no response.
func (s *simulation) fail(servers ...string) {
	for _, n := range servers {
		s.silent[n] = true
	}
}

func (s *simulation) recover(servers ...string) {
	for _, n := range servers {
		delete(s.silent, n)
	}
}

// acknowledgeAll reports that this node's traffic has acknowledged all that the primary of deafReplica holds.
func (s *simulation) acknowledgeAll() {
	s.step(upstream.CommitsAcknowledged{Group: "g", Position: position(1, 140)})
}

func assertNotPromoted(s *simulation) {
	s.c.Helper()
	assertPromoteOrders(s)
	s.c.Assert(s.steppedDown, qt.IsFalse, qt.Commentf("audit records %v", s.auditRecords))
}

// TestRemovedReplicaHeldCommits guards against a promotion of a replica that lacks acknowledged commits, after the replica that
// held them was removed (LOST, review/1).
func TestRemovedReplicaHeldCommits(t *testing.T) {
	t.Run("the primary runs all the time", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.fail("b")
		s.step(upstream.ServerSuspected{Server: "p", WriteStalled: true})
		s.run(time.Second)
		s.step(upstream.ServerRemoved{Server: "b"})
		s.run(8 * time.Second)
		assertNotPromoted(s)
	})
	t.Run("the primary runs and the replica is only cut off from the store", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.step(upstream.ServerRemoved{Server: "b"}, upstream.ServerSuspected{Server: "p", WriteStalled: true})
		s.run(8 * time.Second)
		assertNotPromoted(s)
	})
	t.Run("the primary has crashed and traffic knows what was acknowledged", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.fail("b", "p")
		s.run(500 * time.Millisecond)
		s.acknowledgeAll()
		s.step(upstream.ServerRemoved{Server: "b"})
		s.run(8 * time.Second)
		assertNotPromoted(s)
		s.recover("p")
		s.run(time.Second)
		s.c.Assert(s.view.Primary, qt.Equals, "p")
		assertNotPromoted(s)
	})
	t.Run("the primary has crashed and another node reports what was acknowledged", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.fail("b", "p")
		s.step(upstream.ServerRemoved{Server: "b"})
		s.run(300 * time.Millisecond)
		s.step(upstream.RouteLearned{Group: "g", Floor: position(1, 140)})
		s.run(8 * time.Second)
		assertNotPromoted(s)
	})
	t.Run("the replica had made a promise", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.withholdsPromise = "a"
		s.refusing["p"] = true
		for !s.hasPaused("b") {
			s.run(time.Millisecond)
		}
		s.run(2 * time.Millisecond)
		s.step(upstream.ServerRemoved{Server: "b"})
		s.withholdsPromise = ""
		s.run(8 * time.Second)
		assertNotPromoted(s)
	})
	t.Run("before this node has started", func(t *testing.T) {
		s := emptySimulation(qt.New(t))
		s.setPosition("p", position(1, 140))
		s.step(upstream.GroupServed{Group: "g", Served: true}, s.configured("p", false), s.configured("a", false))
		s.run(100 * time.Millisecond)
		s.step(upstream.ServerSuspected{Server: "p", WriteStalled: true})
		s.run(8 * time.Second)
		assertNotPromoted(s)
	})
	t.Run("a replica has caught up when the primary fails", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.fail("b")
		s.step(upstream.ServerRemoved{Server: "b"})
		s.run(time.Second)
		s.setPosition("a", position(1, 140))
		s.run(time.Second)
		s.refusing["p"] = true
		s.run(2 * time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("the primary fails with it and a replica holds all that was acknowledged", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.setPosition("a", position(1, 140))
		s.fail("b")
		s.refusing["p"] = true
		s.acknowledgeAll()
		s.step(upstream.ServerRemoved{Server: "b"})
		s.run(3 * time.Second)
		assertPromoteOrders(s, "a")
	})
}

func (s *simulation) hasPaused(server string) bool {
	return s.status[server].Promised != 0
}

// TestFloorIsAnnounced checks that nodes tell each other what was acknowledged when the log of a replica is lost.
func TestFloorIsAnnounced(t *testing.T) {
	s := deafReplica(qt.New(t))
	s.step(upstream.ServerRemoved{Server: "b"})
	s.c.Assert(s.view.FloorNeeded(), qt.IsTrue)
	s.acknowledgeAll()
	s.c.Assert(s.announcedFloor, qt.Equals, position(1, 140))
}

// TestRestartedReplicaHeldCommits guards against a promotion of a replica that lacks acknowledged commits, after the replica that
// held them has started again with nothing (LOST, review/2).
func TestRestartedReplicaHeldCommits(t *testing.T) {
	restart := func(s *simulation) {
		s.setPosition("b", position(1, 0))
		s.step(upstream.ServerConfigured{Server: "b", Group: "g", Zone: "z", Address: "b", Incarnation: 2})
	}
	t.Run("the primary has crashed", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.fail("p")
		s.acknowledgeAll()
		restart(s)
		s.run(8 * time.Second)
		assertNotPromoted(s)
		s.recover("p")
		s.run(time.Second)
		s.c.Assert(s.view.Primary, qt.Equals, "p")
		assertNotPromoted(s)
	})
	t.Run("the primary runs and no replica receives its log", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		restart(s)
		s.step(upstream.ServerSuspected{Server: "p", WriteStalled: true})
		s.run(8 * time.Second)
		assertNotPromoted(s)
	})
	t.Run("the primary leaves while the other replica is behind", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		restart(s)
		s.acknowledgeAll()
		s.step(s.configured("p", true))
		s.run(4 * time.Second)
		assertNotPromoted(s)
		s.setPosition("a", position(1, 140))
		s.run(2 * time.Second)
		assertPromoteOrders(s, "a")
	})
	t.Run("the restarted replica has caught up when the primary fails", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		restart(s)
		s.setPosition("b", position(1, 140))
		s.run(time.Second)
		s.refusing["p"] = true
		s.run(3 * time.Second)
		assertPromoteOrders(s, "b")
	})
	t.Run("the primary has started again with nothing", func(t *testing.T) {
		s := deafReplica(qt.New(t))
		s.status["p"] = upstream.Status{Role: upstream.RoleReplica}
		s.step(upstream.ServerConfigured{Server: "p", Group: "g", Zone: "z", Address: "p", Incarnation: 2})
		s.run(3 * time.Second)
		assertPromoteOrders(s, "b")
	})
}

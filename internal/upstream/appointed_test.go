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

// rig plays a group of three servers, the store's lease and the platform's orders around one watch, all answers after 1 ms.
type rig struct {
	c       *qt.C
	w       *upstream.Watch
	now     time.Duration
	status  map[string]upstream.Status
	silent  map[string]bool
	refuses map[string]bool
	lease   upstream.Lease
	// storeDown leaves questions about the lease unanswered, storeLate answers takings after so long.
	storeDown bool
	storeLate time.Duration
	pending   []pendingEvent
	ordered   []upstream.OrderPromote
	paused    []string
	followed  []string
	deposed   bool
	// keepsBack is a server that does not answer a request for its promise.
	keepsBack string
	resumed   []string
	view      upstream.GroupView
	notes     []operator.Record
}

type pendingEvent struct {
	at time.Duration
	e  upstream.Event
}

// startRig returns a rig that has just heard of the group's servers.
func startRig(c *qt.C) *rig {
	c.Helper()
	r := emptyRig(c)
	for _, n := range []string{"p", "a", "b"} {
		r.tell(r.entry(n, false))
	}
	r.tell(upstream.GroupServed{Group: "g", Served: true})
	r.run(100 * time.Millisecond)
	c.Assert(r.view.Primary, qt.Equals, "p")
	return r
}

// emptyRig returns a rig that has heard of no server.
func emptyRig(c *qt.C) *rig {
	c.Helper()
	w, err := upstream.NewWatch("n0", upstream.WithKind(upstream.Appointed()))
	c.Assert(err, qt.IsNil)
	return &rig{
		c: c, w: w, now: time.Second, silent: map[string]bool{}, refuses: map[string]bool{}, status: map[string]upstream.Status{
			"p": {Role: upstream.RolePrimary, Term: 1, Position: at(1, 100)},
			"a": {Role: upstream.RoleReplica, Term: 1, Position: at(1, 100)},
			"b": {Role: upstream.RoleReplica, Term: 1, Position: at(1, 100)},
		},
	}
}

// newRig returns a rig whose group has been known for as long as its list may be incomplete.
func newRig(c *qt.C) *rig {
	c.Helper()
	r := startRig(c)
	r.run(upstream.ListSettleTime)
	return r
}

func at(term, offset uint64) session.Position {
	return session.Position{Term: term, Offset: offset}
}

func (r *rig) entry(server string, leaving bool) upstream.Event {
	return upstream.ServerConfigured{Server: server, Group: "g", Zone: "z", Address: server, Leaving: leaving}
}

func (r *rig) tell(es ...upstream.Event) {
	as, _ := r.w.Step(r.now, es)
	for _, a := range as {
		r.perform(a)
	}
}

// run lets time pass in steps of 1 ms.
func (r *rig) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += time.Millisecond
		var due []upstream.Event
		var rest []pendingEvent
		for _, p := range r.pending {
			if p.at <= r.now {
				due = append(due, p.e)
			} else {
				rest = append(rest, p)
			}
		}
		r.pending = rest
		r.tell(due...)
	}
}

func (r *rig) later(e upstream.Event) {
	r.pending = append(r.pending, pendingEvent{r.now + time.Millisecond, e})
}

func (r *rig) perform(a upstream.Action) {
	switch a := a.(type) {
	case upstream.Probe:
		if r.refuses[a.Server] {
			r.later(upstream.ProbeFailed{Server: a.Server, Refused: true})
		} else if !r.silent[a.Server] {
			r.later(upstream.ProbeSucceeded{Server: a.Server, SentAt: a.SentAt, Status: r.status[a.Server]})
		}
	case upstream.RequestPromise:
		if st := r.status[a.Server]; !r.silent[a.Server] && !r.refuses[a.Server] && r.keepsBack != a.Server {
			if a.StepDownFirst {
				st.Role = upstream.RoleReplica
				r.deposed = true
			}
			if st.Role == upstream.RoleReplica {
				st.Promised = a.Term
			}
			r.status[a.Server] = st
			r.paused = append(r.paused, a.Server)
			r.later(upstream.PromiseAnswered{Server: a.Server, Term: a.Term, Granted: st.Role == upstream.RoleReplica, Status: st})
		}
	case upstream.OrderResume:
		st := r.status[a.Server]
		st.Promised = 0
		r.status[a.Server] = st
		r.resumed = append(r.resumed, a.Server)
	case upstream.OrderFollow:
		r.followed = append(r.followed, a.Server)
	case upstream.OrderPromote:
		r.ordered = append(r.ordered, a)
		r.later(upstream.PromoteAnswered{Server: a.Server, Term: a.Term, Accepted: true})
	case upstream.PublishView:
		r.view = a.View
	case upstream.WriteAuditRecord:
		r.notes = append(r.notes, a.Record)
	default:
		r.performLease(a)
	}
}

func (r *rig) performLease(a upstream.Action) {
	if r.storeDown {
		return
	}
	switch a := a.(type) {
	case upstream.ReadLease:
		r.later(upstream.LeaseRead{Group: "g", Lease: r.lease.WithStoreTime(r.now, r.now)})
	case upstream.AcquireLease:
		if a.Lease.Version != r.lease.Version {
			r.later(upstream.LeaseRead{Group: "g", Lease: r.lease.WithStoreTime(r.now, r.now)})
			return
		}
		r.lease = a.Lease.WithStoreTime(r.now, r.now)
		r.lease.Version++
		r.pending = append(r.pending, pendingEvent{
			r.now + r.storeLate + time.Millisecond, upstream.LeaseAcquired{Group: "g", Lease: r.lease, SentAt: a.SentAt},
		})
	case upstream.ReleaseLease:
		if a.Lease.Version == r.lease.Version {
			r.lease = a.Lease
			r.lease.Version++
		}
	}
}

// appoint plays the platform carrying out an order.
func (r *rig) appoint(server string) {
	term := uint64(0)
	for _, st := range r.status {
		term = max(term, st.Term)
	}
	for n, st := range r.status {
		if st.Promised <= term+1 || n == server {
			st.Promised = 0
		}
		if n != "p" || server == "p" {
			st.Term = term + 1
		}
		if n == server {
			st.Role = upstream.RolePrimary
		}
		r.status[n] = st
	}
}

// pauseReplicas leaves the replicas as a promoter of that term left them.
func (r *rig) pauseReplicas(term uint64) {
	for _, n := range []string{"a", "b"} {
		st := r.status[n]
		st.Promised = term
		r.status[n] = st
	}
}

func (r *rig) hold(server string, p session.Position) {
	st := r.status[server]
	st.Position = p
	r.status[server] = st
}

func assertOrdered(r *rig, servers ...string) {
	r.c.Helper()
	var got []string
	for _, o := range r.ordered {
		got = append(got, o.Server)
	}
	r.c.Assert(got, qt.DeepEquals, servers, qt.Commentf("paused %v, notes %v", r.paused, r.notes))
}

func assertNobodyPaused(r *rig) {
	r.c.Helper()
	for n, st := range r.status {
		r.c.Assert(st.Promised, qt.Equals, uint64(0), qt.Commentf("%s", n))
	}
}

func TestAppointedDetection(t *testing.T) {
	for _, k := range []struct {
		name   string
		fail   func(r *rig)
		within time.Duration
	}{
		{"refuses connections", func(r *rig) { r.refuses["p"] = true }, 2 * time.Second},
		{"is silent", func(r *rig) { r.silent["p"] = true }, 2500 * time.Millisecond},
		{"is to leave", func(r *rig) { r.tell(r.entry("p", true)) }, time.Second},
		{"is gone", func(r *rig) { r.tell(upstream.ServerRemoved{Server: "p"}) }, 2500 * time.Millisecond},
		{"is cut off from its replicas", func(r *rig) {
			r.hold("p", at(1, 120))
			r.tell(upstream.ServerSuspected{Server: "p", WriteStalled: true})
		}, 2500 * time.Millisecond},
	} {
		t.Run(k.name, func(t *testing.T) {
			r := newRig(qt.New(t))
			k.fail(r)
			r.run(k.within)
			assertOrdered(r, "a")
		})
	}
	t.Run("is not listed yet, as after an outage of the store in which entries lapsed", func(t *testing.T) {
		r := emptyRig(qt.New(t))
		r.tell(upstream.GroupServed{Group: "g", Served: true}, r.entry("a", false))
		r.run(2 * time.Second)
		r.tell(r.entry("p", false), r.entry("b", false))
		r.run(3 * time.Second)
		assertOrdered(r)
		r.c.Assert(r.paused, qt.HasLen, 0)
		r.c.Assert(r.view.Primary, qt.Equals, "p")
	})
	t.Run("is well", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.run(20 * time.Second)
		assertOrdered(r)
		r.c.Assert(r.paused, qt.HasLen, 0)
	})
	t.Run("is silent here and yet feeds its replicas", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.silent["p"] = true
		for i := range 60 {
			r.hold("a", at(1, 101+uint64(i)))
			r.run(100 * time.Millisecond)
		}
		assertOrdered(r)
	})
	t.Run("moved on while its replicas were not asked", func(t *testing.T) {
		r := newRig(qt.New(t))
		for i := range 50 {
			p := at(1, 101+uint64(i))
			r.hold("p", p)
			r.hold("a", p)
			r.hold("b", p)
			r.run(200 * time.Millisecond)
		}
		assertOrdered(r)
	})
}

func TestAppointedChoice(t *testing.T) {
	t.Run("the longest log", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.hold("a", at(1, 90))
		r.refuses["p"] = true
		r.run(2 * time.Second)
		assertOrdered(r, "b")
	})
	t.Run("of equal logs the server that stays", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.tell(r.entry("a", true))
		r.refuses["p"] = true
		r.run(2 * time.Second)
		assertOrdered(r, "b")
	})
	t.Run("a server that leaves, if it alone holds what was acknowledged", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.tell(r.entry("a", true))
		r.hold("b", at(1, 90))
		r.refuses["p"] = true
		r.run(2 * time.Second)
		assertOrdered(r, "a")
	})
	t.Run("nobody while a replica cannot be asked", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.refuses["p"] = true
		r.silent["b"] = true
		r.run(6 * time.Second)
		assertOrdered(r)
		r.c.Assert(r.status["a"].Promised, qt.Equals, uint64(0), qt.Commentf("left paused between attempts"))
	})
	t.Run("the other once that replica is gone", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.refuses["p"] = true
		r.silent["b"] = true
		r.run(2 * time.Second)
		r.tell(upstream.ServerRemoved{Server: "b"})
		r.run(2 * time.Second)
		assertOrdered(r, "a")
	})
	t.Run("nobody that lacks what a replica had before it was gone", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.hold("a", at(1, 90))
		r.run(4 * time.Second)
		r.tell(upstream.ServerRemoved{Server: "b"})
		r.refuses["p"] = true
		r.run(4 * time.Second)
		assertOrdered(r)
		assertNobodyPaused(r)
	})
	t.Run("nobody that lags behind what the last promotion chose", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.hold("b", at(1, 40))
		r.refuses["p"] = true
		r.run(2 * time.Second)
		assertOrdered(r, "a")
		r.appoint("a")
		r.run(500 * time.Millisecond)
		r.c.Assert(r.view.Primary, qt.Equals, "a")
		r.tell(upstream.ServerRemoved{Server: "p"})
		r.refuses["a"] = true
		r.run(4 * time.Second)
		assertOrdered(r, "a")
		r.c.Assert(r.lease.Floor, qt.Equals, at(1, 100))
	})
	t.Run("a replica that started again promised nothing", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.refuses["p"] = true
		for len(r.paused) < 2 {
			r.run(time.Millisecond)
		}
		r.tell(upstream.ServerConfigured{Server: "b", Group: "g", Zone: "z", Address: "b", Incarnation: 2})
		r.silent["b"] = true
		r.run(100 * time.Millisecond)
		assertOrdered(r)
	})
}

func TestAppointedLease(t *testing.T) {
	t.Run("of another node is waited for", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.lease = upstream.Lease{Token: 7, Holder: "n1", Version: 3}
		r.refuses["p"] = true
		r.run(4 * time.Second)
		assertOrdered(r)
		r.run(3 * time.Second)
		assertOrdered(r, "a")
		r.c.Assert(r.ordered[0].Token > 7, qt.IsTrue)
	})
	t.Run("that comes too late is not used", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.storeLate = upstream.LeaseDuration
		r.refuses["p"] = true
		r.run(12 * time.Second)
		assertOrdered(r)
		r.c.Assert(r.paused, qt.HasLen, 0)
	})
	t.Run("that the store does not give keeps everyone as they are", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.storeDown = true
		r.refuses["p"] = true
		r.run(6 * time.Second)
		assertOrdered(r)
		r.c.Assert(r.paused, qt.HasLen, 0)
		r.storeDown = false
		r.run(3 * time.Second)
		assertOrdered(r, "a")
	})
	t.Run("is given back when the promotion is over", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.refuses["p"] = true
		r.run(1500 * time.Millisecond)
		r.appoint("a")
		r.run(500 * time.Millisecond)
		r.c.Assert(r.view.Primary, qt.Equals, "a")
		r.c.Assert(r.lease.Holder, qt.Equals, "")
	})
	t.Run("given back by another node that has just promoted is left alone", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.lease = upstream.Lease{Token: 7, Actor: "n1", ReleasedMS: r.now.Milliseconds(), Version: 3}
		r.refuses["p"] = true
		r.run(upstream.LeaseHandoverDelay - 200*time.Millisecond)
		assertOrdered(r)
		r.run(time.Second)
		assertOrdered(r, "a")
	})
	t.Run("given back by this node may be taken again at once", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.lease = upstream.Lease{Token: 7, Actor: "n0", ReleasedMS: r.now.Milliseconds(), Version: 3}
		r.refuses["p"] = true
		r.run(1500 * time.Millisecond)
		assertOrdered(r, "a")
	})
	t.Run("tells when it was given back", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.refuses["p"] = true
		r.run(1500 * time.Millisecond)
		r.appoint("a")
		r.run(500 * time.Millisecond)
		r.c.Assert(r.lease.Actor, qt.Equals, "n0")
		acted := time.Duration(r.lease.ReleasedMS) * time.Millisecond
		r.c.Assert(acted > r.ordered[0].Deadline-upstream.LeaseDuration && acted <= r.now, qt.IsTrue, qt.Commentf("%v", acted))
	})
	t.Run("that an earlier process of this node took is left alone until its order must have taken effect", func(t *testing.T) {
		r := startRig(qt.New(t))
		r.lease = upstream.Lease{Token: 7, Holder: "n0", Version: 3}
		r.pauseReplicas(2)
		r.refuses["p"] = true
		r.run(max(upstream.LeaseSettleTime, upstream.ListSettleTime) - 200*time.Millisecond)
		assertOrdered(r)
		r.run(600 * time.Millisecond)
		assertOrdered(r, "a")
	})
	t.Run("tokens only grow", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.refuses["p"] = true
		r.run(20 * time.Second)
		last := uint64(0)
		for _, o := range r.ordered {
			r.c.Assert(o.Token > last, qt.IsTrue)
			last = o.Token
		}
		r.c.Assert(len(r.ordered) > 1, qt.IsTrue, qt.Commentf("an order without effect is repeated"))
	})
}

func TestAppointedAbandoned(t *testing.T) {
	t.Run("a pause that another node left is ended under the lease", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.pauseReplicas(2)
		r.run(12 * time.Second)
		assertNobodyPaused(r)
		assertOrdered(r)
		r.c.Assert(r.lease.Token > 0, qt.IsTrue)
	})
	t.Run("a pause above the term of the new primary ends at once", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.pauseReplicas(2)
		r.refuses["p"] = true
		for len(r.ordered) == 0 {
			r.run(time.Millisecond)
		}
		r.appoint("a")
		r.run(300 * time.Millisecond)
		r.c.Assert(r.view.Primary, qt.Equals, "a")
		assertNobodyPaused(r)
	})
	t.Run("a primary that comes back before the order keeps its place", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.refuses["p"] = true
		for len(r.paused) == 0 {
			r.run(time.Millisecond)
		}
		delete(r.refuses, "p")
		r.tell(upstream.ProbeSucceeded{Server: "p", SentAt: r.now, Status: r.status["p"]})
		r.run(3 * time.Second)
		assertOrdered(r)
		assertNobodyPaused(r)
	})
}

func TestPrimaryStepsDownBeforeTheOrder(t *testing.T) {
	t.Run("if it answers", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.tell(r.entry("p", true))
		r.run(time.Second)
		assertOrdered(r, "a")
		r.c.Assert(r.deposed, qt.IsTrue)
	})
	t.Run("and nobody is ordered while it keeps its answer back", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.keepsBack = "p"
		r.tell(r.entry("p", true))
		r.run(900 * time.Millisecond)
		assertOrdered(r)
	})
	t.Run("its longer log does not make it the next one", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.tell(r.entry("p", true))
		r.hold("p", at(1, 105))
		r.run(time.Second)
		assertOrdered(r, "a")
	})
}

func TestEmptyLogs(t *testing.T) {
	r := newRig(qt.New(t))
	for n := range r.status {
		r.hold(n, session.Position{})
	}
	r.run(10 * time.Second)
	assertOrdered(r)
	r.refuses["p"] = true
	r.run(2 * time.Second)
	r.appoint(r.ordered[0].Server)
	r.run(10 * time.Second)
	assertOrdered(r, "a")
}

func TestDeposedPrimary(t *testing.T) {
	r := newRig(qt.New(t))
	r.silent["p"] = true
	r.run(2500 * time.Millisecond)
	r.appoint("a")
	r.run(500 * time.Millisecond)
	r.c.Assert(r.view.Primary, qt.Equals, "a")
	delete(r.silent, "p")
	r.run(2 * time.Second)
	r.c.Assert(r.followed, qt.Contains, "p")
	r.c.Assert(r.view.Primary, qt.Equals, "a")
}

// TestTwoPromoters has two watches see one dead primary with one lease between them.
func TestTwoPromoters(t *testing.T) {
	c := qt.New(t)
	a, b := newRig(c), newRig(c)
	other, err := upstream.NewWatch("n1", upstream.WithKind(upstream.Appointed()))
	c.Assert(err, qt.IsNil)
	b.w = other
	for _, n := range []string{"p", "a", "b"} {
		b.tell(b.entry(n, false))
	}
	b.tell(upstream.GroupServed{Group: "g", Served: true})
	b.run(100 * time.Millisecond)
	a.run(100 * time.Millisecond)
	a.refuses["p"], b.refuses["p"] = true, true
	var tokens []uint64
	for range 15000 {
		before := len(a.ordered) + len(b.ordered)
		a.run(time.Millisecond)
		b.lease, b.status = a.lease, a.status
		b.run(time.Millisecond)
		a.lease = b.lease
		if len(a.ordered)+len(b.ordered) > before {
			for _, r := range []*rig{a, b} {
				for _, o := range r.ordered[max(0, len(r.ordered)-1):] {
					if n := len(tokens); n == 0 || o.Token > tokens[n-1] {
						tokens = append(tokens, o.Token)
					}
				}
			}
		}
	}
	c.Assert(len(tokens), qt.Equals, len(a.ordered)+len(b.ordered), qt.Commentf("each order has a token above all before it"))
	c.Assert(len(tokens) > 1, qt.IsTrue)
}

func TestEvidenceOfLeadership(t *testing.T) {
	led := func(r *rig) time.Duration {
		r.run(4 * time.Second)
		return r.view.LeaderConfirmedAt
	}
	t.Run("a replica that follows gives it", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.c.Assert(led(r) > 2*time.Second, qt.IsTrue)
	})
	for _, k := range []struct {
		name string
		st   upstream.Status
	}{
		{"a paused replica", upstream.Status{Role: upstream.RoleReplica, Term: 1, Promised: 2, Position: at(1, 100)}},
		{"a replica of a newer term", upstream.Status{Role: upstream.RoleReplica, Term: 2, Position: at(2, 100)}},
	} {
		t.Run(k.name+" gives none", func(t *testing.T) {
			r := newRig(qt.New(t))
			r.storeDown = true
			r.status["a"], r.status["b"] = k.st, k.st
			r.c.Assert(led(r) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", r.view.LeaderConfirmedAt))
		})
	}
	t.Run("a replica whose pause has just ended gives none, as a promotion ends it too", func(t *testing.T) {
		r := newRig(qt.New(t))
		answer := func() time.Duration {
			for _, n := range []string{"a", "b"} {
				r.tell(upstream.ProbeSucceeded{Server: n, SentAt: r.now, Status: r.status[n]})
			}
			r.run(time.Millisecond)
			return r.view.LeaderConfirmedAt
		}
		r.pauseReplicas(2)
		answer()
		r.pauseReplicas(0)
		ended := r.now
		r.c.Assert(answer() < ended, qt.IsTrue)
		r.run(upstream.PauseSettleTime / 2)
		r.c.Assert(answer() < ended, qt.IsTrue)
		r.run(upstream.PauseSettleTime)
		r.c.Assert(answer() > ended, qt.IsTrue)
	})
	t.Run("a primary that stepped down gives none about itself", func(t *testing.T) {
		r := newRig(qt.New(t))
		r.storeDown = true
		r.silent["a"], r.silent["b"] = true, true
		r.status["p"] = upstream.Status{Role: upstream.RoleReplica, Term: 1, Position: at(1, 100)}
		r.c.Assert(led(r) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", r.view.LeaderConfirmedAt))
	})
}

func TestTrafficSavesProbes(t *testing.T) {
	probes := func(heard bool) int {
		r := newRig(qt.New(t))
		n := 0
		for range 100 {
			if heard {
				r.tell(upstream.ResponseReceived{Server: "p", SentAt: r.now},
					upstream.ResponseReceived{Server: "a", SentAt: r.now},
					upstream.ResponseReceived{Server: "b", SentAt: r.now})
			}
			before := len(r.pending)
			r.run(100 * time.Millisecond)
			n += max(0, len(r.pending)-before)
		}
		return n
	}
	t.Run("none are sent to servers that answer requests", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		asked := 0
		for range 200 {
			for _, n := range []string{"p", "a", "b"} {
				r.tell(upstream.ResponseReceived{Server: n, SentAt: r.now})
			}
			as, _ := r.w.Step(r.now, nil)
			for _, a := range as {
				if _, ok := a.(upstream.Probe); ok {
					asked++
				}
			}
			r.run(20 * time.Millisecond)
		}
		c.Assert(asked, qt.Equals, 0)
		c.Assert(probes(true) <= probes(false), qt.IsTrue)
	})
	t.Run("doubt asks at once, but not about a server just heard", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(c)
		r.run(700 * time.Millisecond)
		as, _ := r.w.Step(r.now, []upstream.Event{upstream.ServerSuspected{Server: "p"}})
		c.Assert(fmt.Sprintf("%T", firstProbe(as)), qt.Equals, "upstream.Probe")
		r = newRig(c)
		r.tell(upstream.ResponseReceived{Server: "p", SentAt: r.now})
		as, _ = r.w.Step(r.now, []upstream.Event{upstream.ServerSuspected{Server: "p"}})
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

// TestLargeFleet keeps a node informed that is not among those that watch a group by rank.
func TestLargeFleet(t *testing.T) {
	peers := upstream.PeersUpdated{}
	for i := range 4 * upstream.WatchersPerGroup {
		peers.Nodes = append(peers.Nodes, fmt.Sprintf("n%d", i))
	}
	watch := func(c *qt.C) *rig {
		w, err := upstream.NewWatch("n0", upstream.WithKind(upstream.Appointed()))
		c.Assert(err, qt.IsNil)
		r := &rig{c: c, w: w, now: time.Second, silent: map[string]bool{}, refuses: map[string]bool{}}
		r.status = map[string]upstream.Status{
			"p": {Role: upstream.RolePrimary, Term: 1, Position: at(1, 100)},
			"a": {Role: upstream.RoleReplica, Term: 1, Position: at(1, 100)},
		}
		return r
	}
	// unranked names a group that this node's rank leaves to others.
	unranked := func() string {
		for i := 0; ; i++ {
			if g := fmt.Sprintf("g%d", i); peer.Rank("n0", g, peers.Nodes) >= upstream.WatchersPerGroup {
				return g
			}
		}
	}
	t.Run("a group whose callers it has, however it came to know of it", func(t *testing.T) {
		r := watch(qt.New(t))
		g := unranked()
		r.tell(peers, upstream.GroupServed{Group: g, Served: true})
		for _, n := range []string{"p", "a"} {
			r.tell(upstream.ServerConfigured{Server: n, Group: g, Zone: "z", Address: n})
		}
		r.tell(peers)
		r.run(100 * time.Millisecond)
		r.c.Assert(r.view.Primary, qt.Equals, "p")
	})
	t.Run("a group that it does not watch", func(t *testing.T) {
		r := watch(qt.New(t))
		g := unranked()
		for _, n := range []string{"p", "a"} {
			r.tell(upstream.ServerConfigured{Server: n, Group: g, Zone: "z", Address: n})
		}
		r.tell(peers)
		r.tell(upstream.RouteLearned{Group: g, Term: 7, Primary: "a"})
		r.c.Assert(r.view.Primary, qt.Equals, "a")
		r.c.Assert(r.view.Term, qt.Equals, uint64(7))
	})
}

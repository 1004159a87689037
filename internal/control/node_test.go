package control_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/table"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// fakeNode runs the decision steps of one node and performs their actions on the fakes.
type fakeNode struct {
	process
	w           *world
	watch       *upstream.Watch
	lane        *caller.Lane
	conns       map[caller.ConnID]*fakeConn
	pending     map[requestKey]*request
	sessions    map[caller.SessionID]*fakeCaller
	lastSession caller.SessionID
	stepSeq     [2]int
	stepsAtTime int
	stepTime    time.Duration
}

// incarnationBits is the number of low bits that one incarnation of a node has for numbering its slot requests, so that two
// incarnations never use the same number.
const incarnationBits = 32

// maxStepsAtOnce is far above the number of events at one point in time. A loop that takes more steps is spinning.
const maxStepsAtOnce = 10_000

// checkBusyLoop panics if a lane keeps asking to run again at the current time.
func (n *fakeNode) checkBusyLoop() {
	if n.w.Now() != n.stepTime {
		n.stepTime, n.stepsAtTime = n.w.Now(), 0
	}
	n.stepsAtTime++
	if n.stepsAtTime > maxStepsAtOnce {
		panic(fmt.Sprintf("seed %d: lane of node %s spins at %v", n.w.seed, n.name, n.w.Now()))
	}
}

type requestKey struct {
	session caller.SessionID
	seq     uint64
}

// request is one request as its caller sent it.
type request struct {
	kind    caller.Kind
	payload string
	key     string
	caller  *fakeCaller
	mustSee []string
	failed  bool
	// retry is set if an earlier attempt under the same key is in doubt.
	retry bool
}

func newFakeNode(w *world, name, zone string) *fakeNode {
	return &fakeNode{process: process{name: name, zone: zone}, w: w}
}

func (n *fakeNode) start() {
	n.alive = true
	n.incarnation++
	n.conns = map[caller.ConnID]*fakeConn{}
	n.pending = map[requestKey]*request{}
	n.sessions = map[caller.SessionID]*fakeCaller{}
	n.newWatch()
	n.newLane()
	var names []string
	for _, o := range n.w.nodes {
		names = append(names, o.name)
	}
	n.stepControl(upstream.PeersUpdated{Nodes: names})
	for _, s := range n.w.servers {
		n.stepTraffic(caller.LimitsUpdated{Server: s.name, Conns: 10})
	}
}

func (n *fakeNode) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.w.rng.Int63n(int64(limit) + 1))
}

func (n *fakeNode) newWatch() {
	opts := []upstream.Option{upstream.WithJitter(n.jitter)}
	for _, s := range n.w.servers {
		opts = append(opts, upstream.WithServer(s.name, "ledger", s.zone, s.name))
	}
	var err error
	if n.watch, err = upstream.NewWatch(n.name, append(opts, n.w.opts.watchOptions...)...); err != nil {
		panic(err)
	}
}

func (n *fakeNode) newLane() {
	onViolation := func(invariant, detail string) { n.w.reportViolation(n.name, invariant, detail) }
	opts := []caller.Option{
		caller.WithSlotLeases(uint64(n.incarnation) << incarnationBits), caller.WithJitter(n.jitter),
		caller.WithViolationHandler(onViolation),
	}
	var err error
	if n.lane, err = caller.NewLane("ledger", n.zone, append(opts, n.w.opts.laneOptions...)...); err != nil {
		panic(err)
	}
}

func (n *fakeNode) kill() {
	n.alive = false
	n.incarnation++
	for _, s := range n.w.servers {
		if !n.w.blockedZones[[2]string{n.zone, s.zone}] {
			n.w.After(n.w.latency(n.zone, s.zone), func() { s.slots.Remove(n.name) })
		}
	}
	for _, c := range n.conns {
		c.closed = true
		delete(c.server.conns, c.id)
	}
	for _, k := range slices.Sorted(maps.Keys(n.sessions)) {
		n.w.After(n.w.latency(n.zone, n.zone), n.sessions[k].nodeLost)
	}
}

// stepControl runs a control step, performs its actions and schedules the next step.
func (n *fakeNode) stepControl(es ...upstream.Event) {
	n.w.steps++
	as, wake := n.watch.Step(n.w.Now(), es)
	n.stepSeq[0]++
	seq := n.stepSeq[0]
	for _, a := range as {
		n.performControl(a)
	}
	n.wakeAt(wake, func() {
		if n.stepSeq[0] == seq {
			n.stepControl()
		}
	})
}

// stepTraffic runs a step of the lane, performs its actions and schedules the next step.
func (n *fakeNode) stepTraffic(es ...caller.Event) {
	n.w.steps++
	n.checkBusyLoop()
	as, wake := n.lane.Step(n.w.Now(), es)
	n.stepSeq[1]++
	seq := n.stepSeq[1]
	for _, a := range as {
		n.performTraffic(a)
	}
	n.wakeAt(wake, func() {
		if n.stepSeq[1] == seq {
			n.stepTraffic()
		}
	})
}

func (n *fakeNode) wakeAt(at time.Duration, f func()) {
	if at == table.Never {
		return
	}
	incarnation := n.incarnation
	n.w.After(max(0, at-n.w.Now()), func() { n.w.deliver(&n.process, incarnation, f) })
}

func (n *fakeNode) performControl(a upstream.Action) {
	switch a := a.(type) {
	case upstream.Probe:
		s := n.w.serverAt(a.Address)
		n.w.rpc(&n.process, &s.process, func() func() {
			e := upstream.ProbeSucceeded{Server: a.Server, SentAt: a.SentAt, Status: s.core.Status(n.w.Now())}
			return func() { n.stepControl(e) }
		}, func() { n.stepControl(upstream.ProbeFailed{Server: a.Server, Refused: true}) })
	case upstream.RequestPromise:
		s := n.w.serverAt(a.Address)
		n.w.rpc(&n.process, &s.process, func() func() {
			ok := n.w.opts.noFence || s.core.Promise(a.Term, n.name)
			e := upstream.PromiseAnswered{Server: a.Server, Term: a.Term, Granted: ok, Status: s.core.Status(n.w.Now())}
			return func() { n.stepControl(e) }
		}, func() {})
	case upstream.OrderPromote:
		n.orderPromote(a)
	case upstream.OrderFollow:
		s := n.w.serverAt(a.Address)
		n.w.rpc(&n.process, &s.process, func() func() {
			s.core.Follow(n.w.Now(), a.Term)
			return func() {}
		}, func() {})
	case upstream.PublishView:
		n.stepTraffic(caller.ViewUpdated{View: a.View})
	case upstream.WriteAuditRecord:
		n.writeAuditRecord(a.Record)
	}
}

func (n *fakeNode) orderPromote(a upstream.OrderPromote) {
	s := n.w.serverAt(a.Address)
	n.w.rpc(&n.process, &s.process, func() func() {
		for _, _, ok := s.core.ApplyNext(); ok; _, _, ok = s.core.ApplyNext() {
		}
		if n.w.opts.noFence {
			s.core.Promise(a.Term, n.name)
		}
		ok := s.core.Promote(n.w.Now(), a.Term, n.name)
		s.replicate()
		e := upstream.PromoteAnswered{Server: a.Server, Term: a.Term, Opened: ok, Status: s.core.Status(n.w.Now())}
		return func() { n.stepControl(e) }
	}, func() {})
}

func (n *fakeNode) writeAuditRecord(r operator.Record) {
	if r.Kind == operator.KindPromotion && !strings.HasPrefix(r.Cause, "abandoned") {
		n.w.history.promotions = append(n.w.history.promotions, r)
	}
	n.w.records = append(n.w.records, n.w.Now().String()+" "+n.name+" "+string(r.Kind)+" "+r.Cause)
}

func (n *fakeNode) performTraffic(a caller.Action) {
	switch a := a.(type) {
	case caller.Open:
		n.open(a)
	case caller.Close:
		if c, ok := n.conns[a.Conn]; ok {
			c.closed = true
			delete(n.conns, a.Conn)
			delete(c.server.conns, c.id)
		}
	case caller.Send:
		n.send(a)
	case caller.LookupOutcome:
		n.lookupOutcome(a)
	case caller.WriteTombstone:
		n.writeTombstone(a)
	case caller.ConfirmLeadership:
		n.confirmLeadership(a)
	case caller.RequestSlots:
		n.requestSlots(a)
	case caller.CancelUpstream:
		n.w.After(5*ms, func() {
			n.w.deliver(&n.process, n.incarnation, func() { n.stepTraffic(caller.CancelDone{Conn: a.Conn}) })
		})
	case caller.Release:
		q := n.pending[requestKey{a.Session, a.Seq}]
		n.reply(a.Session, a.Seq, reply{ok: q != nil && !q.failed, floor: a.Floor})
	case caller.Complete:
		n.reply(a.Session, a.Seq, reply{ok: a.Tag != "ROLLBACK", floor: a.Floor})
	case caller.Refuse:
		n.reply(a.Session, a.Seq, reply{refusal: a.Refusal})
	}
}

func (n *fakeNode) open(a caller.Open) {
	s := n.w.serverAt(a.Address)
	n.w.lastConn++
	c := &fakeConn{id: n.w.lastConn, server: s, node: n, laneID: a.Conn}
	n.w.rpc(&n.process, &s.process, func() func() {
		return func() {
			if c.closed {
				return
			}
			n.conns[a.Conn] = c
			s.conns[c.id] = c
			n.w.After(10*ms, func() {
				n.w.deliver(&n.process, n.incarnation, func() { n.stepTraffic(caller.ConnOpened{Conn: a.Conn}) })
			})
		}
	}, func() { n.stepTraffic(caller.ConnFailed{Conn: a.Conn}) })
	n.w.After(300*ms, func() {
		if _, ok := n.conns[a.Conn]; !ok && n.alive {
			c.closed = true
			n.w.deliver(&n.process, n.incarnation, func() { n.stepTraffic(caller.ConnFailed{Conn: a.Conn}) })
		}
	})
}

func (n *fakeNode) connReset(c *fakeConn) {
	delete(n.conns, c.laneID)
	n.stepTraffic(caller.ConnLost{Conn: c.laneID})
}

func (n *fakeNode) runOnServer(id caller.ConnID, f func(c *fakeConn) caller.Event) {
	n.runOnServerThen(id, f, func(caller.Event) {})
}

// runOnServerThen runs f on the connection's server after the service time, and passes the resulting event to the lane and to
// then. A blackholed or closed connection delivers nothing.
func (n *fakeNode) runOnServerThen(id caller.ConnID, f func(c *fakeConn) caller.Event, then func(e caller.Event)) {
	c, ok := n.conns[id]
	if !ok || c.blackholed {
		return
	}
	s := c.server
	stall := max(0, c.stalledUntil-n.w.Now())
	n.w.send(&n.process, &s.process, func() {
		incarnation := s.incarnation
		n.w.After(stall, func() {
			if s.incarnation == incarnation {
				s.beginRequest()
			}
		})
		n.w.After(n.w.serviceDuration(serviceTime)+stall, func() {
			n.w.deliver(&s.process, incarnation, func() {
				s.running--
				e := f(c)
				if e == nil {
					return
				}
				arrive := func() {
					if !c.closed && !c.blackholed {
						n.stepTraffic(e)
						then(e)
					}
				}
				n.w.send(&s.process, &n.process, arrive)
				if n.w.rng.Float64() < n.w.repeatRate {
					n.w.After(n.w.randomDuration(0, 2*time.Second), func() { n.w.send(&s.process, &n.process, arrive) })
				}
			})
		})
	})
}

// send runs a request on its server. An answer that need not be held goes to the caller at once.
func (n *fakeNode) send(a caller.Send) {
	q, ok := n.pending[requestKey{a.Session, a.Seq}]
	if !ok {
		return
	}
	n.runOnServerThen(a.Conn, func(c *fakeConn) caller.Event { return c.execute(a, q) }, func(e caller.Event) {
		if _, waiting := n.pending[requestKey{a.Session, a.Seq}]; waiting && !a.Hold {
			n.reply(a.Session, a.Seq, reply{ok: !e.(caller.Replied).Failed})
		}
	})
}

// execute processes a request on the server. A commit takes effect at this instant.
func (c *fakeConn) execute(a caller.Send, q *request) caller.Event {
	s := c.server
	r := caller.Replied{Conn: a.Conn, Request: a.Request, TransactionOpen: c.inTransaction}
	defer func() { q.failed = r.Failed }()
	switch q.kind {
	case caller.KindRead:
		c.node.checkRead(s, a, q)
		r.Position = s.core.AppliedPosition()
	case caller.KindBegin:
		c.inTransaction = true
		r.TransactionOpen = true
		r.Position = s.core.AppliedPosition()
	case caller.KindWrite:
		if c.inTransaction {
			c.pendingWrites = append(c.pendingWrites, q.payload)
			r.Position = s.core.AppliedPosition()
			break
		}
		c.commit(a, []string{q.payload}, &r)
	case caller.KindCommit:
		c.commit(a, c.pendingWrites, &r)
		c.inTransaction = false
		c.pendingWrites = nil
		r.TransactionOpen = false
	case caller.KindRollback:
		c.inTransaction = false
		c.pendingWrites = nil
		r.TransactionOpen = false
		r.Tag = "ROLLBACK"
	}
	return r
}

func (c *fakeConn) commit(a caller.Send, payloads []string, r *caller.Replied) {
	s := c.server
	r.Tag = "COMMIT"
	if !s.w.opts.noKeys && a.KeyInsert != caller.KeyInsertNone && (s.has("key:"+a.Key) || s.has("tomb:"+a.Key)) {
		r.Duplicate = true
		return
	}
	body := strings.Join(payloads, "+")
	if a.KeyInsert != caller.KeyInsertNone {
		body = "key:" + a.Key
		s.w.history.statementsByKey[a.Key] = payloads
	}
	p, err := s.core.Commit(body)
	if err != nil {
		r.Failed = true
		return
	}
	r.Position = p
	s.replicate()
}

func (n *fakeNode) lookupOutcome(a caller.LookupOutcome) {
	n.runOnServer(a.Conn, func(c *fakeConn) caller.Event {
		s := c.server
		if !s.core.Leads() {
			return caller.RequestInterrupted{Conn: a.Conn, Request: a.Request}
		}
		ran, tombstoned := s.has("key:"+a.Key), s.has("tomb:"+a.Key)
		return caller.OutcomeLookedUp{
			Conn: a.Conn, Request: a.Request, Found: ran || tombstoned, Tombstoned: tombstoned, Outcome: "COMMIT",
			Position: s.core.Position(),
		}
	})
}

func (n *fakeNode) writeTombstone(a caller.WriteTombstone) {
	n.runOnServer(a.Conn, func(c *fakeConn) caller.Event {
		s := c.server
		if s.has("key:" + a.Key) {
			return caller.TombstoneWritten{Conn: a.Conn, Request: a.Request, Duplicate: true}
		}
		if n.w.opts.noTombstone {
			return caller.TombstoneWritten{Conn: a.Conn, Request: a.Request, Position: s.core.Position()}
		}
		p, err := s.core.Commit("tomb:" + a.Key)
		if err != nil {
			return caller.RequestInterrupted{Conn: a.Conn, Request: a.Request}
		}
		s.replicate()
		return caller.TombstoneWritten{Conn: a.Conn, Request: a.Request, Position: p}
	})
}

func (n *fakeNode) requestSlots(a caller.RequestSlots) {
	s := n.w.serverAt(a.Address)
	n.w.rpc(&n.process, &s.process, func() func() {
		c := s.slots.Request(n.w.Now(), n.name, a.Seq, a.Short, a.Long, a.Retained, a.RetainedLong)
		e := caller.SlotsGranted{
			Seq: a.Seq, Server: a.Server, Slots: c.Slots, LongSlots: c.LongSlots, Contended: s.slots.Contended(n.name),
			Restarted: s.slots.Restarted(n.w.Now()),
		}
		return func() { n.stepTraffic(e) }
	}, func() { n.stepTraffic(caller.SlotsFailed{Seq: a.Seq, Server: a.Server}) })
}

// confirmLeadership answers once the server can confirm the requested position, and fails if the server does not lead.
func (n *fakeNode) confirmLeadership(a caller.ConfirmLeadership) {
	s := n.w.serverAt(a.Address)
	n.w.rpc(&n.process, &s.process, func() func() {
		return func() {}
	}, func() { n.stepTraffic(caller.LeadershipUnconfirmed{Confirmation: a.Confirmation}) })
	n.w.send(&n.process, &s.process, func() {
		s.replicate()
		n.awaitConfirmation(s, a, n.w.Now(), 0)
	})
}

func (n *fakeNode) awaitConfirmation(s *fakeServer, a caller.ConfirmLeadership, since time.Duration, tries int) {
	answer := func(e caller.Event) { n.w.send(&s.process, &n.process, func() { n.stepTraffic(e) }) }
	if n.w.opts.primaryOnly && s.core.Leads() {
		answer(caller.LeadershipConfirmed{
			Confirmation: a.Confirmation, Term: s.core.Term(), End: s.core.Position(), Forks: s.core.Status(0).Forks,
		})
		return
	}
	held, _ := s.core.MajorityHolds(a.Position, since)
	if held {
		answer(caller.LeadershipConfirmed{
			Confirmation: a.Confirmation, Term: s.core.Term(), End: s.core.MajorityPosition(), Forks: s.core.Status(0).Forks,
		})
		return
	}
	if !s.core.Leads() || tries > 150 {
		answer(caller.LeadershipUnconfirmed{Confirmation: a.Confirmation})
		return
	}
	incarnation := s.incarnation
	n.w.After(2*ms, func() {
		n.w.deliver(&s.process, incarnation, func() { n.awaitConfirmation(s, a, since, tries+1) })
	})
}

type reply struct {
	ok      bool
	refusal caller.Refusal
	floor   session.Position
}

func (n *fakeNode) reply(id caller.SessionID, seq uint64, r reply) {
	q, ok := n.pending[requestKey{id, seq}]
	if !ok {
		n.w.reportViolation(n.name, "answer_bound", "answer without a pending request")
		return
	}
	delete(n.pending, requestKey{id, seq})
	incarnation := n.incarnation
	n.w.After(ms, func() {
		if n.incarnation == incarnation {
			q.caller.handleReply(q, r)
		}
	})
}

func (n *fakeNode) floor(id caller.SessionID) session.Position {
	s, _ := n.lane.Session(id)
	return s.Floor
}

// checkRead checks that a read sees every write that was acknowledged to its session before.
func (n *fakeNode) checkRead(s *fakeServer, a caller.Send, q *request) {
	if a.AllowStale {
		return
	}
	for _, p := range q.mustSee {
		if !s.hasApplied(p) {
			n.w.reportViolation(n.name, "session_sees_own_work", fmt.Sprintf(
				"payload %s is missing on server %s at %v; session floor %v; in the leader's log: %t",
				p, s.name, s.core.AppliedPosition(), n.floor(a.Session), n.w.leader().has(p)))
		}
	}
}

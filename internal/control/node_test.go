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

// fakeNode drives one node's decision steps and carries out their actions on the fakes.
type fakeNode struct {
	place
	w      *world
	watch  *upstream.Watch
	lane   *caller.Lane
	conns  map[caller.ConnID]*fakeConn
	asked  map[askedKey]*ask
	sess   map[caller.SessionID]*fakeClient
	lastID caller.SessionID
	tick   [2]int
	spins  int
	spinAt time.Duration
}

// lifeBits leaves each life of a node its own range of numbers for questions.
const lifeBits = 32

// maxStepsAtOnce is far more steps than events can come at one moment; a loop that makes more never sleeps.
const maxStepsAtOnce = 10_000

// checkSpin ends a run in which a lane asks to be woken at the moment that it is at, over and over.
func (n *fakeNode) checkSpin() {
	if n.w.Now() != n.spinAt {
		n.spinAt, n.spins = n.w.Now(), 0
	}
	n.spins++
	if n.spins > maxStepsAtOnce {
		panic(fmt.Sprintf("seed %d: %s spins at %v", n.w.seed, n.name, n.w.Now()))
	}
}

type askedKey struct {
	session caller.SessionID
	seq     uint64
}

// ask is one request as its caller made it.
type ask struct {
	kind    caller.Kind
	payload string
	key     string
	client  *fakeClient
	must    []string
	failed  bool
	// retry says that an earlier attempt under the same key is in doubt.
	retry bool
}

func newFakeNode(w *world, name, zone string) *fakeNode {
	return &fakeNode{place: place{name: name, zone: zone}, w: w}
}

func (n *fakeNode) start() {
	n.alive = true
	n.starts++
	n.conns = map[caller.ConnID]*fakeConn{}
	n.asked = map[askedKey]*ask{}
	n.sess = map[caller.SessionID]*fakeClient{}
	n.newWatch()
	n.newLane()
	var names []string
	for _, o := range n.w.nodes {
		names = append(names, o.name)
	}
	n.control(upstream.Peers{Nodes: names})
	for _, s := range n.w.servers {
		n.traffic(caller.LimitsUpdated{Server: s.name, Conns: 10})
	}
}

func (n *fakeNode) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.w.rnd.Int63n(int64(limit) + 1))
}

func (n *fakeNode) newWatch() {
	opts := []upstream.Option{upstream.WithJitter(n.jitter)}
	for _, s := range n.w.servers {
		opts = append(opts, upstream.WithServer(s.name, "ledger", s.zone, s.name))
	}
	var err error
	if n.watch, err = upstream.NewWatch(n.name, append(opts, n.w.opts.watch...)...); err != nil {
		panic(err)
	}
}

func (n *fakeNode) newLane() {
	violated := func(invariant, detail string) { n.w.violated(n.name, invariant, detail) }
	opts := []caller.Option{
		caller.WithSlotLeases(uint64(n.starts) << lifeBits), caller.WithJitter(n.jitter), caller.WithViolationHandler(violated),
	}
	var err error
	if n.lane, err = caller.NewLane("ledger", n.zone, append(opts, n.w.opts.lane...)...); err != nil {
		panic(err)
	}
}

func (n *fakeNode) kill() {
	n.alive = false
	n.starts++
	for _, s := range n.w.servers {
		if !n.w.cuts[[2]string{n.zone, s.zone}] {
			n.w.After(n.w.latency(n.zone, s.zone), func() { s.slots.Drop(n.name) })
		}
	}
	for _, c := range n.conns {
		c.closed = true
		delete(c.server.conns, c.id)
	}
	for _, k := range slices.Sorted(maps.Keys(n.sess)) {
		n.w.After(n.w.latency(n.zone, n.zone), n.sess[k].lostNode)
	}
}

// control runs the control step, unless the node is paused or dead.
func (n *fakeNode) control(es ...upstream.Event) {
	n.w.steps++
	as, wake := n.watch.Step(n.w.Now(), es)
	n.tick[0]++
	mine := n.tick[0]
	for _, a := range as {
		n.doControl(a)
	}
	n.wakeAt(wake, func() {
		if n.tick[0] == mine {
			n.control()
		}
	})
}

// traffic runs the lane's step.
func (n *fakeNode) traffic(es ...caller.Event) {
	n.w.steps++
	n.checkSpin()
	as, wake := n.lane.Step(n.w.Now(), es)
	n.tick[1]++
	mine := n.tick[1]
	for _, a := range as {
		n.doTraffic(a)
	}
	n.wakeAt(wake, func() {
		if n.tick[1] == mine {
			n.traffic()
		}
	})
}

func (n *fakeNode) wakeAt(at time.Duration, f func()) {
	if at == table.Never {
		return
	}
	started := n.starts
	n.w.After(max(0, at-n.w.Now()), func() { n.w.deliver(&n.place, started, f) })
}

func (n *fakeNode) doControl(a upstream.Action) {
	switch a := a.(type) {
	case upstream.Probe:
		s := n.w.serverAt(a.Address)
		n.w.rpc(&n.place, &s.place, func() func() {
			e := upstream.Probed{Server: a.Server, Sent: a.Sent, Status: s.core.Status(n.w.Now())}
			return func() { n.control(e) }
		}, func() { n.control(upstream.ProbeFailed{Server: a.Server, Refused: true}) })
	case upstream.AskPromise:
		s := n.w.serverAt(a.Address)
		n.w.rpc(&n.place, &s.place, func() func() {
			ok := n.w.opts.noFence || s.core.Promise(a.Term, n.name)
			e := upstream.Promised{Server: a.Server, Term: a.Term, Granted: ok, Status: s.core.Status(n.w.Now())}
			return func() { n.control(e) }
		}, func() {})
	case upstream.OrderPromote:
		n.orderPromote(a)
	case upstream.OrderFollow:
		s := n.w.serverAt(a.Address)
		n.w.rpc(&n.place, &s.place, func() func() {
			s.core.Follow(n.w.Now(), a.Term)
			return func() {}
		}, func() {})
	case upstream.Publish:
		n.traffic(caller.ViewUpdated{View: a.View})
	case upstream.Note:
		n.note(a.Record)
	}
}

func (n *fakeNode) orderPromote(a upstream.OrderPromote) {
	s := n.w.serverAt(a.Address)
	n.w.rpc(&n.place, &s.place, func() func() {
		for _, _, ok := s.core.Apply(); ok; _, _, ok = s.core.Apply() {
		}
		if n.w.opts.noFence {
			s.core.Promise(a.Term, n.name)
		}
		ok := s.core.Promote(n.w.Now(), a.Term, n.name)
		s.replicate()
		e := upstream.Promoted{Server: a.Server, Term: a.Term, Done: ok, Status: s.core.Status(n.w.Now())}
		return func() { n.control(e) }
	}, func() {})
}

func (n *fakeNode) note(r operator.Record) {
	if r.Kind == operator.KindPromotion && !strings.HasPrefix(r.Cause, "abandoned") {
		n.w.ledger.promotions = append(n.w.ledger.promotions, r)
	}
	n.w.records = append(n.w.records, n.w.Now().String()+" "+n.name+" "+string(r.Kind)+" "+r.Cause)
}

func (n *fakeNode) doTraffic(a caller.Action) {
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
		n.lookup(a)
	case caller.WriteTombstone:
		n.bury(a)
	case caller.ConfirmLeadership:
		n.prove(a)
	case caller.RequestSlots:
		n.askSlots(a)
	case caller.CancelUpstream:
		n.w.After(5*ms, func() { n.w.deliver(&n.place, n.starts, func() { n.traffic(caller.CancelDone{Conn: a.Conn}) }) })
	case caller.Release:
		q := n.asked[askedKey{a.Session, a.Seq}]
		n.reply(a.Session, a.Seq, reply{ok: q != nil && !q.failed, floor: a.Floor})
	case caller.Complete:
		n.reply(a.Session, a.Seq, reply{ok: a.Tag != "ROLLBACK", floor: a.Floor})
	case caller.Refuse:
		n.reply(a.Session, a.Seq, reply{refusal: a.Refusal})
	}
}

func (n *fakeNode) open(a caller.Open) {
	s := n.w.serverAt(a.Address)
	n.w.conns++
	c := &fakeConn{id: n.w.conns, server: s, node: n, laneID: a.Conn}
	n.w.rpc(&n.place, &s.place, func() func() {
		return func() {
			if c.closed {
				return
			}
			n.conns[a.Conn] = c
			s.conns[c.id] = c
			n.w.After(10*ms, func() {
				n.w.deliver(&n.place, n.starts, func() { n.traffic(caller.ConnOpened{Conn: a.Conn}) })
			})
		}
	}, func() { n.traffic(caller.ConnFailed{Conn: a.Conn}) })
	n.w.After(300*ms, func() {
		if _, ok := n.conns[a.Conn]; !ok && n.alive {
			c.closed = true
			n.w.deliver(&n.place, n.starts, func() { n.traffic(caller.ConnFailed{Conn: a.Conn}) })
		}
	})
}

func (n *fakeNode) connBroke(c *fakeConn) {
	delete(n.conns, c.laneID)
	n.traffic(caller.ConnLost{Conn: c.laneID})
}

func (n *fakeNode) over(id caller.ConnID, f func(c *fakeConn) caller.Event) {
	n.overThen(id, f, func(caller.Event) {})
}

// overThen runs f on the server after its service time, over a connection that may be silent or gone.
func (n *fakeNode) overThen(id caller.ConnID, f func(c *fakeConn) caller.Event, then func(e caller.Event)) {
	c, ok := n.conns[id]
	if !ok || c.silent {
		return
	}
	s := c.server
	stuck := max(0, c.stuck-n.w.Now())
	n.w.send(&n.place, &s.place, func() {
		started := s.starts
		n.w.After(stuck, func() {
			if s.starts == started {
				s.begin()
			}
		})
		n.w.After(n.w.service(serviceTime)+stuck, func() {
			n.w.deliver(&s.place, started, func() {
				s.running--
				e := f(c)
				if e == nil {
					return
				}
				arrive := func() {
					if !c.closed && !c.silent {
						n.traffic(e)
						then(e)
					}
				}
				n.w.send(&s.place, &n.place, arrive)
				if n.w.rnd.Float64() < n.w.repeats {
					n.w.After(n.w.between(0, 2*time.Second), func() { n.w.send(&s.place, &n.place, arrive) })
				}
			})
		})
	})
}

// send runs a request; an answer that is not held goes out as it comes.
func (n *fakeNode) send(a caller.Send) {
	q, ok := n.asked[askedKey{a.Session, a.Seq}]
	if !ok {
		return
	}
	n.overThen(a.Conn, func(c *fakeConn) caller.Event { return c.execute(a, q) }, func(e caller.Event) {
		if _, waits := n.asked[askedKey{a.Session, a.Seq}]; waits && !a.Hold {
			n.reply(a.Session, a.Seq, reply{ok: !e.(caller.Replied).Failed})
		}
	})
}

// execute is what a server does with a request; a commit is decided at this instant.
func (c *fakeConn) execute(a caller.Send, q *ask) caller.Event {
	s := c.server
	r := caller.Replied{Conn: a.Conn, Request: a.Request, TransactionOpen: c.open}
	defer func() { q.failed = r.Failed }()
	switch q.kind {
	case caller.KindRead:
		c.node.checkRead(s, a, q)
		r.Position = s.core.AppliedPosition()
	case caller.KindBegin:
		c.open = true
		r.TransactionOpen = true
		r.Position = s.core.AppliedPosition()
	case caller.KindWrite:
		if c.open {
			c.wrote = append(c.wrote, q.payload)
			r.Position = s.core.AppliedPosition()
			break
		}
		c.commit(a, []string{q.payload}, &r)
	case caller.KindCommit:
		c.commit(a, c.wrote, &r)
		c.open = false
		c.wrote = nil
		r.TransactionOpen = false
	case caller.KindRollback:
		c.open = false
		c.wrote = nil
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
		s.w.ledger.work[a.Key] = payloads
	}
	p, err := s.core.Commit(body)
	if err != nil {
		r.Failed = true
		return
	}
	r.Position = p
	s.replicate()
}

func (n *fakeNode) lookup(a caller.LookupOutcome) {
	n.over(a.Conn, func(c *fakeConn) caller.Event {
		s := c.server
		if !s.core.Leads() {
			return caller.RequestInterrupted{Conn: a.Conn, Request: a.Request}
		}
		ran, buried := s.has("key:"+a.Key), s.has("tomb:"+a.Key)
		return caller.OutcomeLookedUp{
			Conn: a.Conn, Request: a.Request, Found: ran || buried, Tombstoned: buried, Outcome: "COMMIT",
			Position: s.core.Position(),
		}
	})
}

func (n *fakeNode) bury(a caller.WriteTombstone) {
	n.over(a.Conn, func(c *fakeConn) caller.Event {
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

func (n *fakeNode) askSlots(a caller.RequestSlots) {
	s := n.w.serverAt(a.Address)
	n.w.rpc(&n.place, &s.place, func() func() {
		c := s.slots.Ask(n.w.Now(), n.name, a.Seq, a.Short, a.Long, a.Retained, a.RetainedLong)
		e := caller.SlotsGranted{
			Seq: a.Seq, Server: a.Server, Slots: c.Slots, LongSlots: c.LongSlots, Contended: s.slots.Contended(n.name),
			Restarted: s.slots.Restarted(n.w.Now()),
		}
		return func() { n.traffic(e) }
	}, func() { n.traffic(caller.SlotsFailed{Seq: a.Seq, Server: a.Server}) })
}

// prove answers once the server can show what was asked for, and fails when it does not lead.
func (n *fakeNode) prove(a caller.ConfirmLeadership) {
	s := n.w.serverAt(a.Address)
	n.w.rpc(&n.place, &s.place, func() func() {
		return func() {}
	}, func() { n.traffic(caller.LeadershipUnconfirmed{Confirmation: a.Confirmation}) })
	n.w.send(&n.place, &s.place, func() {
		s.replicate()
		n.awaitProof(s, a, n.w.Now(), 0)
	})
}

func (n *fakeNode) awaitProof(s *fakeServer, a caller.ConfirmLeadership, since time.Duration, tries int) {
	answer := func(e caller.Event) { n.w.send(&s.place, &n.place, func() { n.traffic(e) }) }
	if n.w.opts.primaryOnly && s.core.Leads() {
		answer(caller.LeadershipConfirmed{Confirmation: a.Confirmation, Term: s.core.Term(), End: s.core.Position(), Forks: s.core.Status(0).Forks})
		return
	}
	held, _ := s.core.Holds(a.Position, since)
	if held {
		answer(caller.LeadershipConfirmed{Confirmation: a.Confirmation, Term: s.core.Term(), End: s.core.Held(), Forks: s.core.Status(0).Forks})
		return
	}
	if !s.core.Leads() || tries > 150 {
		answer(caller.LeadershipUnconfirmed{Confirmation: a.Confirmation})
		return
	}
	started := s.starts
	n.w.After(2*ms, func() {
		n.w.deliver(&s.place, started, func() { n.awaitProof(s, a, since, tries+1) })
	})
}

type reply struct {
	ok      bool
	refusal caller.Refusal
	floor   session.Position
}

func (n *fakeNode) reply(id caller.SessionID, seq uint64, r reply) {
	q, ok := n.asked[askedKey{id, seq}]
	if !ok {
		n.w.violated(n.name, "answer_bound", "answer to nobody")
		return
	}
	delete(n.asked, askedKey{id, seq})
	started := n.starts
	n.w.After(ms, func() {
		if n.starts == started {
			q.client.answered(q, r)
		}
	})
}

func (n *fakeNode) floor(id caller.SessionID) session.Position {
	s, _ := n.lane.Session(id)
	return s.Floor
}

// checkRead holds a read against what its session was told before.
func (n *fakeNode) checkRead(s *fakeServer, a caller.Send, q *ask) {
	if a.AllowStale {
		return
	}
	for _, p := range q.must {
		if !s.shows(p) {
			n.w.violated(n.name, "session_sees_own_work", fmt.Sprintf("%s is missing on %s at %v, floor %v, held by the leader: %t",
				p, s.name, s.core.AppliedPosition(), n.floor(a.Session), n.w.leader().has(p)))
		}
	}
}

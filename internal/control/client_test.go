package control_test

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// ledger is what callers were told, to be held against the servers' logs at the end of a run.
type ledger struct {
	acked      map[string]bool
	notRun     map[string]bool
	unknown    int
	lostTold   int
	work       map[string][]string
	promotions []operator.Record
	reads      int
	gaps       map[int][]gap
	latencies  []time.Duration
}

type gap struct {
	from, to time.Duration
}

func newLedger() ledger {
	return ledger{acked: map[string]bool{}, notRun: map[string]bool{}, work: map[string][]string{}, gaps: map[int][]gap{}}
}

// fakeClient is a caller that works without pause and roams between nodes.
type fakeClient struct {
	w        *world
	id       int
	node     *fakeNode
	session  caller.SessionID
	seq      uint64
	floor    session.Position
	must     []string
	current  *ask
	sentAt   time.Duration
	script   []*ask
	lastGood time.Duration
	count    int
	epoch    int
	stopped  bool
	// inTransaction follows what the caller believes about its session.
	inTransaction bool
}

// begin opens a session on some live node.
func (c *fakeClient) begin() {
	if c.stopped {
		return
	}
	c.epoch++
	n := c.w.nodes[c.w.rnd.Intn(len(c.w.nodes))]
	if !n.alive {
		c.w.After(20*ms, c.begin)
		return
	}
	c.node = n
	n.lastID++
	c.session = n.lastID
	c.inTransaction = false
	c.seq = 0
	e := caller.SessionOpened{Session: c.session, User: fmt.Sprint(c.id)}
	if c.w.rnd.Intn(2) == 0 && !c.floor.IsZero() {
		e.Floor, e.HasFloor = c.floor, true
	}
	id, started := c.session, n.starts
	c.w.After(ms, func() {
		c.w.deliver(&n.place, started, func() {
			n.sess[id] = c
			n.traffic(e)
		})
	})
	c.next()
}

// leave closes the session and goes to another node.
func (c *fakeClient) leave() {
	n, id, started := c.node, c.session, c.node.starts
	c.w.After(ms, func() {
		c.w.deliver(&n.place, started, func() {
			delete(n.sess, id)
			for k := range n.asked {
				if k.session == id {
					delete(n.asked, k)
				}
			}
			n.traffic(caller.SessionClosed{Session: id})
		})
	})
	c.begin()
}

func (c *fakeClient) think() time.Duration {
	if c.w.opts.think > 0 {
		return c.w.opts.think
	}
	return time.Duration(5+c.w.rnd.Intn(40)) * ms
}

// next asks the next thing of the script, or makes up a new one.
func (c *fakeClient) next() {
	epoch := c.epoch
	c.w.After(c.think(), func() {
		if c.epoch != epoch || c.stopped {
			return
		}
		if len(c.script) == 0 {
			c.script = c.plan()
		}
		q := c.script[0]
		c.script = c.script[1:]
		c.ask(q)
	})
}

func (c *fakeClient) plan() []*ask {
	c.count++
	p := fmt.Sprintf("c%d-%d", c.id, c.count)
	x := c.w.rnd.Intn(100)
	if c.w.opts.calm {
		x = 0
	}
	if c.w.rnd.Intn(100) < c.w.opts.reads {
		return []*ask{{kind: caller.KindRead}}
	}
	switch {
	case x < 50:
		return []*ask{{kind: caller.KindWrite, payload: p, key: p}}
	case x < 65:
		return []*ask{{kind: caller.KindWrite, payload: p}}
	case x < 90:
		return []*ask{{kind: caller.KindRead}}
	default:
		return []*ask{
			{kind: caller.KindBegin},
			{kind: caller.KindWrite, payload: p, key: p},
			{kind: caller.KindCommit, payload: p, key: p},
		}
	}
}

func (c *fakeClient) ask(q *ask) {
	q.client = c
	q.must = slices.Clone(c.must)
	c.current = q
	c.sentAt = c.w.Now()
	c.seq++
	n, id, seq, started, epoch := c.node, c.session, c.seq, c.node.starts, c.epoch
	class := bundle.Class{Name: "work", AcknowledgeAfter: c.w.opts.ack, DeadlineMS: c.w.opts.deadlineMS}
	if q.kind == caller.KindRead {
		class = bundle.Class{Name: "blotter", MaxAgeMS: 2000}
	}
	e := caller.RequestReceived{Session: id, Seq: seq, Statement: caller.Statement{Kind: q.kind, Class: class, Key: q.key}}
	c.w.After(ms, func() {
		c.w.deliver(&n.place, started, func() {
			if _, ok := n.sess[id]; !ok {
				return
			}
			n.asked[askedKey{id, seq}] = q
			n.traffic(e)
		})
	})
	c.w.After(20*time.Second, func() {
		if c.epoch == epoch && c.current == q {
			c.again(q)
			c.leave()
		}
	})
}

// lostNode is what a caller sees when its proxy dies.
func (c *fakeClient) lostNode() {
	q := c.current
	c.script = nil
	if q != nil {
		c.again(q)
	}
	c.begin()
}

// again decides what a caller does about a request of whose outcome it heard nothing.
func (c *fakeClient) again(q *ask) {
	c.current = nil
	c.script = nil
	if q.key == "" || q.kind == caller.KindBegin {
		return
	}
	if q.kind == caller.KindCommit {
		c.w.ledger.unknown++
		return
	}
	c.script = []*ask{{kind: caller.KindWrite, payload: q.payload, key: q.key, retry: true}}
}

func (c *fakeClient) answered(q *ask, r reply) {
	if c.current != q {
		return
	}
	c.current = nil
	c.floor = c.floor.Max(r.floor)
	switch q.kind {
	case caller.KindBegin:
		c.inTransaction = r.ok
	case caller.KindCommit, caller.KindRollback:
		c.inTransaction = false
	}
	switch {
	case r.ok:
		c.good(q)
	case r.refusal.Reason == caller.ReasonLostWork:
		c.w.ledger.lostTold++
		c.must = nil
		c.floor = session.Position{}
	case r.refusal.NotRun() && q.kind != caller.KindRead:
		c.refused(q, r.refusal)
		c.script = nil
		if q.kind == caller.KindWrite && c.inTransaction {
			c.script = []*ask{{kind: caller.KindRollback}}
		}
	case r.refusal.Reason == caller.ReasonUnknown && q.key != "" && q.kind == caller.KindWrite:
		c.w.ledger.unknown++
		c.script = []*ask{{kind: q.kind, payload: q.payload, key: q.key, retry: true}}
	default:
		c.script = nil
	}
	if len(c.script) == 0 && c.w.rnd.Intn(20) == 0 {
		c.leave()
		return
	}
	c.next()
}

func (q *ask) logged() string {
	if q.key != "" {
		return "key:" + q.key
	}
	return q.payload
}

func (c *fakeClient) good(q *ask) {
	if q.kind == caller.KindRead {
		c.w.ledger.reads++
		return
	}
	if q.kind == caller.KindBegin || q.kind == caller.KindRollback || q.kind == caller.KindWrite && c.inTransaction {
		return
	}
	c.must = append(c.must, q.logged())
	if len(c.must) > 20 {
		c.must = c.must[1:]
	}
	l := &c.w.ledger
	l.acked[q.logged()] = true
	l.latencies = append(l.latencies, c.w.Now()-c.sentAt)
	if c.lastGood > 0 {
		l.gaps[c.id] = append(l.gaps[c.id], gap{c.lastGood, c.w.Now()})
	}
	c.lastGood = c.w.Now()
}

// refused notes what must never show up. A refusal speaks of one attempt: where an earlier attempt under the same key is
// still in doubt, only one that was settled by a tombstone speaks of the key.
func (c *fakeClient) refused(q *ask, why caller.Refusal) {
	if q.kind == caller.KindBegin || q.kind == caller.KindRollback || q.retry && why.Reason != caller.ReasonNotRun {
		return
	}
	c.w.ledger.notRun[q.logged()] = true
}

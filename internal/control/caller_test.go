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

// history holds the answers that callers received. It is compared with the servers' logs at the end of a run.
type history struct {
	acked           map[string]bool
	notRun          map[string]bool
	unknown         int
	lostWorkReports int
	statementsByKey map[string][]string
	promotions      []operator.Record
	reads           int
	gaps            map[int][]gap
	latencies       []time.Duration
}

type gap struct {
	from, to time.Duration
}

func newHistory() history {
	return history{acked: map[string]bool{}, notRun: map[string]bool{}, statementsByKey: map[string][]string{}, gaps: map[int][]gap{}}
}

// fakeCaller is a caller that sends one request after another and switches between nodes.
type fakeCaller struct {
	w         *world
	id        int
	node      *fakeNode
	session   caller.SessionID
	seq       uint64
	floor     session.Position
	mustSee   []string
	current   *request
	sentAt    time.Duration
	script    []*request
	lastAcked time.Duration
	count     int
	epoch     int
	stopped   bool
	// inTransaction is the caller's own view of its session's state.
	inTransaction bool
}

// openSession opens a session on a random node. If that node is dead, it tries again later.
func (c *fakeCaller) openSession() {
	if c.stopped {
		return
	}
	c.epoch++
	n := c.w.nodes[c.w.rng.Intn(len(c.w.nodes))]
	if !n.alive {
		c.w.After(20*ms, c.openSession)
		return
	}
	c.node = n
	n.lastSession++
	c.session = n.lastSession
	c.inTransaction = false
	c.seq = 0
	e := caller.SessionOpened{Session: c.session, User: fmt.Sprint(c.id)}
	if c.w.rng.Intn(2) == 0 && !c.floor.IsZero() {
		e.Floor, e.HasFloor = c.floor, true
	}
	id, incarnation := c.session, n.incarnation
	c.w.After(ms, func() {
		c.w.deliver(&n.process, incarnation, func() {
			n.sessions[id] = c
			n.stepTraffic(e)
		})
	})
	c.sendNext()
}

// switchNode closes the session and opens another one on a random node.
func (c *fakeCaller) switchNode() {
	n, id, incarnation := c.node, c.session, c.node.incarnation
	c.w.After(ms, func() {
		c.w.deliver(&n.process, incarnation, func() {
			delete(n.sessions, id)
			for k := range n.pending {
				if k.session == id {
					delete(n.pending, k)
				}
			}
			n.stepTraffic(caller.SessionClosed{Session: id})
		})
	})
	c.openSession()
}

func (c *fakeCaller) thinkTime() time.Duration {
	if c.w.opts.thinkTime > 0 {
		return c.w.opts.thinkTime
	}
	return time.Duration(5+c.w.rng.Intn(40)) * ms
}

// sendNext sends the next request of the script after the think time. It makes a new script if none is left.
func (c *fakeCaller) sendNext() {
	epoch := c.epoch
	c.w.After(c.thinkTime(), func() {
		if c.epoch != epoch || c.stopped {
			return
		}
		if len(c.script) == 0 {
			c.script = c.newScript()
		}
		q := c.script[0]
		c.script = c.script[1:]
		c.send(q)
	})
}

func (c *fakeCaller) newScript() []*request {
	c.count++
	p := fmt.Sprintf("c%d-%d", c.id, c.count)
	x := c.w.rng.Intn(100)
	if c.w.opts.keyedWritesOnly {
		x = 0
	}
	if c.w.rng.Intn(100) < c.w.opts.readPercent {
		return []*request{{kind: caller.KindRead}}
	}
	switch {
	case x < 50:
		return []*request{{kind: caller.KindWrite, payload: p, key: p}}
	case x < 65:
		return []*request{{kind: caller.KindWrite, payload: p}}
	case x < 90:
		return []*request{{kind: caller.KindRead}}
	default:
		return []*request{
			{kind: caller.KindBegin},
			{kind: caller.KindWrite, payload: p, key: p},
			{kind: caller.KindCommit, payload: p, key: p},
		}
	}
}

func (c *fakeCaller) send(q *request) {
	q.caller = c
	q.mustSee = slices.Clone(c.mustSee)
	c.current = q
	c.sentAt = c.w.Now()
	c.seq++
	n, id, seq, incarnation, epoch := c.node, c.session, c.seq, c.node.incarnation, c.epoch
	class := bundle.Class{Name: "work", AcknowledgeAfter: c.w.opts.ack, DeadlineMS: c.w.opts.deadlineMS}
	if q.kind == caller.KindRead {
		class = bundle.Class{Name: "blotter", MaxAgeMS: 2000}
	}
	e := caller.RequestReceived{Session: id, Seq: seq, Statement: caller.Statement{Kind: q.kind, Class: class, Key: q.key}}
	c.w.After(ms, func() {
		c.w.deliver(&n.process, incarnation, func() {
			if _, ok := n.sessions[id]; !ok {
				return
			}
			n.pending[requestKey{id, seq}] = q
			n.stepTraffic(e)
		})
	})
	c.w.After(20*time.Second, func() {
		if c.epoch == epoch && c.current == q {
			c.retryWithoutAnswer(q)
			c.switchNode()
		}
	})
}

// nodeLost handles the loss of the caller's proxy.
func (c *fakeCaller) nodeLost() {
	q := c.current
	c.script = nil
	if q != nil {
		c.retryWithoutAnswer(q)
	}
	c.openSession()
}

// retryWithoutAnswer decides how the caller goes on after a request without an answer.
func (c *fakeCaller) retryWithoutAnswer(q *request) {
	c.current = nil
	c.script = nil
	if q.key == "" || q.kind == caller.KindBegin {
		return
	}
	if q.kind == caller.KindCommit {
		c.w.history.unknown++
		return
	}
	c.script = []*request{{kind: caller.KindWrite, payload: q.payload, key: q.key, retry: true}}
}

func (c *fakeCaller) handleReply(q *request, r reply) {
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
		c.recordSuccess(q)
	case r.refusal.Reason == caller.ReasonLostWork:
		c.w.history.lostWorkReports++
		c.mustSee = nil
		c.floor = session.Position{}
	case r.refusal.NotRun() && q.kind != caller.KindRead:
		c.recordNotRun(q, r.refusal)
		c.script = nil
		if q.kind == caller.KindWrite && c.inTransaction {
			c.script = []*request{{kind: caller.KindRollback}}
		}
	case r.refusal.Reason == caller.ReasonUnknown && q.key != "" && q.kind == caller.KindWrite:
		c.w.history.unknown++
		c.script = []*request{{kind: q.kind, payload: q.payload, key: q.key, retry: true}}
	default:
		c.script = nil
	}
	if len(c.script) == 0 && c.w.rng.Intn(20) == 0 {
		c.switchNode()
		return
	}
	c.sendNext()
}

// logPayload returns the payload under which a server's log holds the request.
func (q *request) logPayload() string {
	if q.key != "" {
		return "key:" + q.key
	}
	return q.payload
}

func (c *fakeCaller) recordSuccess(q *request) {
	if q.kind == caller.KindRead {
		c.w.history.reads++
		return
	}
	if q.kind == caller.KindBegin || q.kind == caller.KindRollback || q.kind == caller.KindWrite && c.inTransaction {
		return
	}
	c.mustSee = append(c.mustSee, q.logPayload())
	if len(c.mustSee) > 20 {
		c.mustSee = c.mustSee[1:]
	}
	h := &c.w.history
	h.acked[q.logPayload()] = true
	h.latencies = append(h.latencies, c.w.Now()-c.sentAt)
	if c.lastAcked > 0 {
		h.gaps[c.id] = append(h.gaps[c.id], gap{c.lastAcked, c.w.Now()})
	}
	c.lastAcked = c.w.Now()
}

// recordNotRun records a write that must not be in the log. A refusal is about one attempt: if an earlier attempt under the same
// key is in doubt, only a refusal that a tombstone confirms is about the key.
func (c *fakeCaller) recordNotRun(q *request, refusal caller.Refusal) {
	if q.kind == caller.KindBegin || q.kind == caller.KindRollback || q.retry && refusal.Reason != caller.ReasonNotRun {
		return
	}
	c.w.history.notRun[q.logPayload()] = true
}

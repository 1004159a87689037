package caller

import (
	"fmt"
	"time"
)

// classAnswerTime is the row of one class of requests: the exponentially weighted mean of its answer times.
type classAnswerTime struct {
	mean time.Duration
}

// withAnswer returns the row after an answer that took d.
func (c classAnswerTime) withAnswer(d time.Duration) classAnswerTime {
	if c.mean == 0 {
		c.mean = d
	}
	c.mean += time.Duration(meanWeight * float64(d-c.mean))
	return c
}

const (
	// allClasses is the key of the row for all classes together.
	allClasses = ""
	// slowClassTenths is the mean answer time above which a class is slow, in tenths of the mean over all classes.
	slowClassTenths = 13
)

const (
	// maxIntervalGrowth and minIntervalLimit bound the influence of a single interval between departures on their mean.
	maxIntervalGrowth = 4
	minIntervalLimit  = 20 * time.Millisecond
	// departureWeight is the weight of the latest interval in the mean.
	departureWeight = 0.03
)

const (
	// maxStallRetry bounds the time to return that a refused caller is told because nothing leaves a queue.
	maxStallRetry = time.Second
	// stallMemory is how long a stall is remembered after the last request has joined the queue, in times that it may wait.
	stallMemory = 2
)

// departureStats is the row of one queue, or of the BEGINs held in it: the weighted mean interval between departures while
// other requests waited in it.
type departureStats struct {
	lastAt   time.Duration
	interval time.Duration
	nonEmpty bool
	// waitingSince is the time since which requests have waited in the queue and none was sent, zero if the last one that was sent
	// left it empty. It stays as it is while requests give up. joinedAt is when the last one joined.
	waitingSince time.Duration
	joinedAt     time.Duration
}

// withJoin returns the row after a request has joined the queue, which waits for at most the given time.
func (d departureStats) withJoin(now, patience time.Duration) departureStats {
	if d.waitingSince == 0 || now-d.joinedAt > stallMemory*patience {
		d.waitingSince = now
	}
	d.joinedAt = now
	return d
}

// withDeparture returns the row after a request left the queue. nonEmpty is set if others still wait in it.
func (d departureStats) withDeparture(now time.Duration, nonEmpty bool) departureStats {
	switch {
	case d.nonEmpty && d.interval == 0:
		d.interval = now - d.lastAt
	case d.nonEmpty:
		// A single pause, as while a primary is replaced, says little about the departures after it.
		took := min(now-d.lastAt, max(maxIntervalGrowth*d.interval, minIntervalLimit))
		d.interval += time.Duration(departureWeight * float64(took-d.interval))
	}
	d.lastAt = now
	d.nonEmpty = nonEmpty
	d.waitingSince = 0
	if nonEmpty {
		d.waitingSince = now
	}
	return d
}

// enqueue puts a request into its queue, or refuses it at once if the policy does not admit it.
func (l *Lane) enqueue(now time.Duration, r Request) {
	s, _ := l.sessions.Get(r.Session)
	r = r.WithPhase(PhaseQueued)
	l.requests.Put(r.ID, r)
	l.requests.SetDue(r.ID, r.Deadline)
	if s.TxConn == 0 {
		l.requests.SetDue(r.ID, min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r)))
	}
	if s.TxConn != 0 {
		l.join(QueueTransaction, r)
		return
	}
	q := l.policy.SelectQueue(r, l.slowClass(r))
	patience := l.queuedUntil(r) - now
	p := l.place(q, r)
	wait, stall := l.expectedWait(p), l.stall(now, p)
	if !l.policy.Admit(max(wait, stall), patience) {
		back := max(wait, min(stall, maxStallRetry))
		// The random part keeps those refused at a crest from returning all at once.
		l.refuse(r, Refusal{
			Reason: ReasonOverload, Retry: max(back/2+l.jitter(back), time.Millisecond),
			Detail: fmt.Sprintf("expected wait %v, nothing sent for %v", wait, stall),
		})
		return
	}
	d, _ := l.departures.Get(p.departures)
	l.departures.Put(p.departures, d.withJoin(now, patience))
	l.departures.TakeDirty()
	l.join(q, r)
}

// requeue puts a request that has to be sent again at the head of its tenant's requests.
func (l *Lane) requeue(r Request) {
	r = r.WithPhase(PhaseQueued).WithoutPendingLeadership()
	l.requests.Put(r.ID, r)
	l.requests.SetDue(r.ID, max(l.now, min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r))))
	q := l.policy.SelectQueue(r, l.slowClass(r))
	l.rejoin(q, r)
}

// queuedUntil returns when a request that still waits is refused: at its queue timeout, or at its deadline while there is no
// primary.
func (l *Lane) queuedUntil(r Request) time.Duration {
	if l.leader() == "" {
		return r.Deadline
	}
	return min(r.Deadline, r.Arrived+l.policy.QueueTimeout(r))
}

// place is where a request would join a queue: behind ahead others, of which departures is the row.
type place struct {
	departures int
	ahead      int
	empty      bool
}

// place returns where a request would join a queue.
func (l *Lane) place(q QueueID, r Request) place {
	f := l.queues[q]
	row, _ := f.flows.Get(l.policy.Share(r))
	if r.Statement.Kind == KindBegin && len(f.held) > 0 {
		return place{departures: int(q) + heldDepartures, ahead: f.held.ahead(len(row.held))}
	}
	return place{departures: int(q), ahead: f.waiting.ahead(len(row.ids)), empty: len(f.waiting) == 0}
}

// expectedWait estimates how long a request that joins a queue would wait, from the interval at which requests leave it. The
// interval covers every cause of delay: slots, connections and the work itself.
func (l *Lane) expectedWait(p place) time.Duration {
	d, _ := l.departures.Get(p.departures)
	return d.interval * time.Duration(p.ahead)
}

// stall returns how long requests have waited in a queue while none has left it. A request that joins is likely to wait as long
// again. It is zero while the queue is empty, so that one request finds out whether the stall has ended, and without a primary: the
// next one takes up all that wait.
func (l *Lane) stall(now time.Duration, p place) time.Duration {
	d, _ := l.departures.Get(p.departures)
	if p.empty || d.waitingSince == 0 || l.leader() == "" {
		return 0
	}
	return now - d.waitingSince
}

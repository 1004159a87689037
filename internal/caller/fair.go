package caller

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/table"
	"buckthornport.example/buckthornport/internal/upstream"
)

const (
	// heldDepartures is added to a queue's number to get the row of the departures of the BEGINs that are held in it.
	heldDepartures = int(queueCount)
	// maxFlowScan is how many tenants whose requests can't start yet are passed over in one queue per step, at the head of the ring
	// and after it. Of each, at most maxTenantScan requests are looked at.
	maxFlowScan   = 16
	maxTenantScan = 4
	// maxCostQuanta bounds the cost of a request, in quanta, so that one slow class doesn't keep its tenant waiting for many rounds.
	maxCostQuanta = 8
)

// flow is the row of one tenant in a queue: its requests that wait there, in the order in which they are served.
type flow struct {
	ids []RequestID
	// held are requests that begin a transaction, and wait until a server has room for one.
	held []RequestID
	// deficit is the service time that the tenant may still use in this round.
	deficit time.Duration
	// inRing and inHeldRing are set while the tenant is in the rings of the queue.
	inRing     bool
	inHeldRing bool
}

// fairQueue is a queue that tenants share by deficit round robin. ring holds the tenants that wait, the next one to be served
// first, and heldRing those with held requests.
type fairQueue struct {
	flows    *table.Table[string, flow]
	ring     []string
	heldRing []string
	// waiting and held count the entries of the flows. Requests that were refused meanwhile count until a step comes by.
	waiting entryCounts
	held    entryCounts
	// heldStarted is set if the last request that was started was a held one. Held requests and others alternate while both wait:
	// those that are released together would keep the others waiting otherwise.
	heldStarted bool
	// next is where the last step stopped that looked at tenants beyond the first maxFlowScan ones, counted from there.
	next int
}

// entryCounts counts the tenants by their entries in a list: the element at k is how many have more than k.
type entryCounts []int

// withChange returns the counts after a tenant's entries have changed in number.
func (n entryCounts) withChange(from, to int) entryCounts {
	for ; from < to; from++ {
		if from == len(n) {
			n = append(n, 0)
		}
		n[from]++
	}
	for ; from > to; from-- {
		n[from-1]--
	}
	for len(n) > 0 && n[len(n)-1] == 0 {
		n = n[:len(n)-1]
	}
	return n
}

// ahead returns how many entries are served before a new one of a tenant that has some already: of each tenant as many, and one
// more.
func (n entryCounts) ahead(own int) int {
	sum := 0
	for k := range min(own+1, len(n)) {
		sum += n[k]
	}
	return sum
}

// total returns the number of entries of all tenants.
func (n entryCounts) total() int {
	return n.ahead(len(n))
}

func newFairQueue() fairQueue {
	return fairQueue{flows: table.New[string, flow]()}
}

// put replaces the row of a tenant. The row goes with the tenant's last place in a ring.
func (f *fairQueue) put(name string, old, row flow) {
	f.waiting = f.waiting.withChange(len(old.ids), len(row.ids))
	f.held = f.held.withChange(len(old.held), len(row.held))
	if row.inRing || row.inHeldRing {
		f.flows.Put(name, row)
	} else {
		f.flows.Delete(name)
	}
	f.flows.TakeDirty()
}

// withRing returns the row of a tenant that has a place in the ring. One that had none joins at the end.
func (l *Lane) withRing(q QueueID, name string, row flow) flow {
	if !row.inRing {
		row.inRing = true
		row.deficit = l.quantum()
		l.queues[q].ring = append(l.queues[q].ring, name)
	}
	return row
}

// withHeld returns the row of a tenant with another held request.
func (l *Lane) withHeld(q QueueID, name string, row flow, id RequestID) flow {
	row.held = append(row.held, id)
	if !row.inHeldRing {
		row.inHeldRing = true
		l.queues[q].heldRing = append(l.queues[q].heldRing, name)
	}
	return row
}

// join puts a request at the end of its tenant's requests.
func (l *Lane) join(q QueueID, r Request) {
	name := l.policy.Share(r)
	old, _ := l.queues[q].flows.Get(name)
	row := old
	if r.Statement.Kind == KindBegin && r.TxConn == 0 && len(row.held) > 0 {
		row = l.withHeld(q, name, row, r.ID)
	} else {
		row = l.withRing(q, name, row)
		row.ids = append(row.ids, r.ID)
	}
	l.queues[q].put(name, old, row)
}

// rejoin puts a request at the head of its tenant's requests.
func (l *Lane) rejoin(q QueueID, r Request) {
	name := l.policy.Share(r)
	old, _ := l.queues[q].flows.Get(name)
	row := l.withRing(q, name, old)
	row.ids = slices.Insert(row.ids, 0, r.ID)
	l.queues[q].put(name, old, row)
}

// dropRefused removes requests that were refused from the head of a tenant's requests. The row stays until a step comes by.
func (l *Lane) dropRefused(q QueueID, name string) {
	f := &l.queues[q]
	old, ok := f.flows.Get(name)
	if !ok {
		return
	}
	row := old
	row.ids, row.held = l.withoutRefused(old.ids), l.withoutRefused(old.held)
	f.put(name, old, row)
}

func (l *Lane) withoutRefused(ids []RequestID) []RequestID {
	for len(ids) > 0 {
		if r, ok := l.requests.Get(ids[0]); ok && l.stillQueued(r) {
			break
		}
		ids = ids[1:]
	}
	return ids
}

// dispatchQueues starts the requests that have a slot and a connection, queue by queue in order of priority.
func dispatchQueues(l *Lane, now time.Duration) {
	l.requests.TakeDirty()
	l.conns.TakeDirty()
	l.servers.TakeDue(now)
	l.replicaWaitUntil = 0
	waiting := map[connKey]int{}
	for q := range l.queues {
		if f := &l.queues[q]; !f.heldStarted || len(f.ring) == 0 {
			l.dispatchHeld(now, QueueID(q), waiting, 1)
		}
		l.dispatch(now, QueueID(q), waiting)
		l.dispatchHeld(now, QueueID(q), waiting, len(l.queues[q].heldRing))
	}
}

// dispatchHeld starts at most as many held requests as given, for which there is room now. Tenants take turns. The first
// maxTenantScan of those in the ring are looked at, as the requests of one may wait for another server than those of the next.
func (l *Lane) dispatchHeld(now time.Duration, q QueueID, waiting map[connKey]int, limit int) {
	f := &l.queues[q]
	for i := 0; i < min(len(f.heldRing), maxTenantScan) && limit > 0 && l.mayStart(q); {
		name := f.heldRing[i]
		old, _ := f.flows.Get(name)
		row := old
		row.held = l.withoutRefused(old.held)
		if len(row.held) > 0 {
			r, _ := l.requests.Get(row.held[0])
			if l.startRequest(now, r, waiting) != startLeft {
				f.put(name, old, row)
				i++
				continue
			}
			limit--
			f.heldStarted = true
			row.held = row.held[1:]
			row.deficit -= l.cost(r)
			l.recordDeparture(now, int(q)+heldDepartures, len(row.held) > 0 || len(f.heldRing) > 1)
		}
		f.heldRing = slices.Delete(f.heldRing, i, i+1)
		if row.inHeldRing = len(row.held) > 0; row.inHeldRing {
			f.heldRing = append(f.heldRing, name)
		}
		f.put(name, old, row)
	}
}

// dispatch starts requests of the tenants in the ring. A tenant that has used up its deficit goes to the end of the ring, and
// one whose requests can't start yet keeps its place.
func (l *Lane) dispatch(now time.Duration, q QueueID, waiting map[connKey]int) {
	f := &l.queues[q]
	var blocked [maxFlowScan]string
	n, i := 0, 0
	for i < len(f.ring) && n < maxFlowScan && l.mayStart(q) {
		name := f.ring[i]
		i++
		switch l.serveFlow(now, q, name, waiting) {
		case flowBlocked:
			blocked[n] = name
			n++
		case flowExhausted:
			f.ring = append(f.ring, name)
		}
	}
	copy(f.ring[i-n:i], blocked[:n])
	f.ring = f.ring[i-n:]
	if n == maxFlowScan {
		l.dispatchBeyond(now, q, waiting)
	}
}

// dispatchBeyond starts requests of tenants behind the first maxFlowScan ones, of which none could start. Each step goes on
// where the last one stopped.
func (l *Lane) dispatchBeyond(now time.Duration, q QueueID, waiting map[connKey]int) {
	f := &l.queues[q]
	if f.next += maxFlowScan; f.next >= len(f.ring) {
		f.next = maxFlowScan
	}
	for n := 0; n < maxFlowScan && f.next < len(f.ring) && l.mayStart(q); n++ {
		if l.serveFlow(now, q, f.ring[f.next], waiting) == flowEmpty {
			f.ring = slices.Delete(f.ring, f.next, f.next+1)
		} else {
			f.next++
		}
	}
	f.next -= maxFlowScan
}

// mayStart reports whether a step that looks at another tenant may find a request that can start. Where slots are leased, each
// request that waits is counted as demand for them.
func (l *Lane) mayStart(q QueueID) bool {
	if len(l.queues[q].ring) == 1 || q == QueueTransaction || l.leaseSlots {
		return true
	}
	return slices.ContainsFunc(l.view.Servers, func(v upstream.ServerView) bool {
		s, _ := l.servers.Get(v.Name)
		return s.FreeSlots() > 0
	})
}

// flowState is the state of a tenant's row after a step has looked at it.
type flowState uint8

const (
	// flowEmpty means that nothing of the tenant waits any more, but for held requests.
	flowEmpty flowState = iota
	// flowBlocked means that its next requests can't start yet.
	flowBlocked
	// flowExhausted means that its deficit is used up.
	flowExhausted
)

// serveFlow starts a tenant's requests. A tenant that waits alone is not limited by its deficit.
func (l *Lane) serveFlow(now time.Duration, q QueueID, name string, waiting map[connKey]int) flowState {
	f := &l.queues[q]
	old, _ := f.flows.Get(name)
	row := old
	alone := f.flows.Len() == 1
	limit := maxTenantScan
	if alone {
		limit = maxQueueScan
	}
	var skipped [maxQueueScan]RequestID
	n, i := 0, 0
	for i < len(row.ids) && n < limit && (alone || row.deficit > 0) {
		r, ok := l.requests.Get(row.ids[i])
		i++
		if !ok || !l.stillQueued(r) {
			continue
		}
		switch l.startRequest(now, r, waiting) {
		case startLeft:
			f.heldStarted = false
			l.recordDeparture(now, int(q), n > 0 || i < len(row.ids) || !alone)
			if !alone {
				row.deficit -= l.cost(r)
			}
		case startHeld:
			row = l.withHeld(q, name, row, r.ID)
			d, _ := l.departures.Get(int(q) + heldDepartures)
			l.departures.Put(int(q)+heldDepartures, d.withJoin(now, l.queuedUntil(r)-now))
		default:
			skipped[n] = r.ID
			n++
		}
	}
	copy(row.ids[i-n:i], skipped[:n])
	row.ids = row.ids[i-n:]
	state := flowBlocked
	switch {
	case len(row.ids) == 0:
		state = flowEmpty
		row.inRing = false
	case row.deficit <= 0 && !alone:
		state = flowExhausted
		row.deficit += l.quantum()
	}
	f.put(name, old, row)
	return state
}

// recordDeparture records that a request has left a queue.
func (l *Lane) recordDeparture(now time.Duration, row int, nonEmpty bool) {
	d, _ := l.departures.Get(row)
	l.departures.Put(row, d.withDeparture(now, nonEmpty))
	l.departures.TakeDirty()
}

// quantum is the service time that each tenant may use in a round: the mean over all classes.
func (l *Lane) quantum() time.Duration {
	if all, ok := l.answerTimes.Get(allClasses); ok {
		return max(time.Millisecond, all.mean)
	}
	return initialAnswerTime
}

// cost is the expected service time of a request.
func (l *Lane) cost(r Request) time.Duration {
	c, ok := l.answerTimes.Get(r.Statement.Class.Name)
	if !ok {
		return l.quantum()
	}
	return min(max(time.Millisecond, c.mean), maxCostQuanta*l.quantum())
}

package tenant

import (
	"maps"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/table"
)

const (
	// askTimeout is how long an answer of a home is awaited before it is asked again. A home in another region answers after 16 ms.
	askTimeout = 100 * time.Millisecond
	// probeInterval is the shortest time between two questions to a home that has no credit left.
	probeInterval = 25 * time.Millisecond
	// askInterval is the shortest time between two questions to a home, which bounds the messages about a tenant that sends hundreds
	// of operations a second to one node.
	askInterval = 5 * time.Millisecond
	// accountTimeout is how long an unused account is kept.
	accountTimeout = 10 * time.Second
)

// Account holds the credit that a node has borrowed, and the operations that wait for some.
type Account struct {
	homes    *homes
	lifetime time.Duration
	version  uint64
	limits   map[string]Limit
	tenants  *table.Table[string, account]
	waiting  *table.Table[caller.SessionID, waiter]
	asks     *table.Table[uint64, question]
	// askedAt is when each home was last asked.
	askedAt  map[string]time.Duration
	lastSeq  uint64
	draining bool
	stats    *Stats
	emit     func(a Action)
}

func newAccount(h *homes, lifetime time.Duration, seq uint64, stats *Stats, emit func(a Action)) *Account {
	return &Account{
		homes: h, lifetime: lifetime, lastSeq: seq, stats: stats, emit: emit, askedAt: map[string]time.Duration{},
		tenants: table.New[string, account](),
		waiting: table.New[caller.SessionID, waiter](), asks: table.New[uint64, question](),
	}
}

// request admits an operation for which there is credit, and refuses one of a tenant that is known to have none left. Others wait.
func (a *Account) request(now time.Duration, e Requested) {
	w := waiter{seq: e.Seq, tenant: e.Tenant, at: now}
	if a.draining {
		a.refuse(e.Session, w, CauseDraining, 0)
		return
	}
	if _, limited := a.limits[e.Tenant]; !limited {
		a.admit(now, e.Session, w)
		return
	}
	t, _ := a.tenants.Get(e.Tenant)
	t = t.withArrival(now)
	if len(t.queue) == 0 {
		var ok bool
		if t, ok = t.withoutOne(now); ok {
			a.tenants.Put(e.Tenant, t.withAdmitted(now))
			a.admit(now, e.Session, w)
			return
		}
	}
	if now < t.refusedUntil {
		if t.asked > 0 || now < t.probeAt {
			a.tenants.Put(e.Tenant, t)
			a.refuse(e.Session, w, CauseLimit, t.refusedUntil-now)
			return
		}
		t.probeAt = now + probeInterval
	}
	a.stats.row(e.Tenant).Waited++
	a.waiting.Put(e.Session, w)
	a.waiting.SetDue(e.Session, e.Deadline)
	t = t.withQueued(e.Session)
	if t.alone.unreadySince != 0 {
		t = a.admitAlone(now, e.Tenant, t)
	}
	a.tenants.Put(e.Tenant, t)
}

func (a *Account) admit(now time.Duration, id caller.SessionID, w waiter) {
	a.stats.row(w.tenant).Admitted++
	a.emit(Admit{Session: id, Seq: w.seq, Waited: now - w.at})
}

func (a *Account) refuse(id caller.SessionID, w waiter, why Cause, retry time.Duration) {
	a.stats.row(w.tenant).Refused++
	a.emit(Refuse{Session: id, Seq: w.seq, Tenant: w.tenant, Cause: why, RetryAfter: retry})
}

// leave removes a session's operation from the queue, and returns it.
func (a *Account) leave(id caller.SessionID) (waiter, bool) {
	w, ok := a.waiting.Get(id)
	if !ok {
		return w, false
	}
	a.waiting.Delete(id)
	t, _ := a.tenants.Get(w.tenant)
	a.tenants.Put(w.tenant, t.withoutQueued(id))
	return w, true
}

// drain refuses all operations that wait.
func (a *Account) drain() {
	a.draining = true
	for _, id := range a.waiting.Keys() {
		if w, ok := a.leave(id); ok {
			a.refuse(id, w, CauseDraining, 0)
		}
	}
}

// changeLimits drops the credit of tenants whose limits have changed, and admits what waits of those that have none any more.
func (a *Account) changeLimits(now time.Duration, e LimitsChanged) {
	old := a.limits
	a.version, a.limits = e.Version, e.Limits
	for _, name := range a.tenants.Keys() {
		limit, limited := a.limits[name]
		if limited && limit == old[name] {
			continue
		}
		t, _ := a.tenants.Get(name)
		t.parcels, t.refusedUntil = nil, 0
		t.admitted, t.alone = 0, t.alone.withNewLimit()
		a.tenants.Put(name, t)
		for _, id := range t.queue {
			if w, ok := a.waiting.Get(id); ok && !limited {
				a.leave(id)
				a.admit(now, id, w)
			}
		}
	}
}

// abandonAsks stops waiting for the answers of homes that are passed over, so that the next ones are asked.
func (a *Account) abandonAsks(now time.Duration) {
	for _, seq := range a.asks.Keys() {
		if q, _ := a.asks.Get(seq); !q.overdue && a.homes.passedOver(now, q.home) {
			a.giveUp(seq, q)
		}
	}
}

// giveUp stops counting on the answer to a question. Late credit is still accepted until it expires.
func (a *Account) giveUp(seq uint64, q question) {
	for name, n := range q.needs {
		t, _ := a.tenants.Get(name)
		a.tenants.Put(name, t.withAsked(-n))
	}
	a.asks.Put(seq, q.withOverdue())
	a.asks.SetDue(seq, q.at+a.lifetime)
}

// receive uses the answer to a question.
func (a *Account) receive(now time.Duration, from string, m Message) {
	q, ok := a.asks.Get(m.Seq)
	if !ok || q.home != from {
		return
	}
	if !q.overdue {
		a.giveUp(m.Seq, q)
	}
	a.asks.Delete(m.Seq)
	for _, g := range m.Grants {
		if need, asked := q.needs[g.Tenant]; asked {
			a.receiveGrant(now, q, need, g)
		}
	}
}

// receiveGrant serves the operations that wait from new credit. If the home has too little, it refuses those for which it asked.
func (a *Account) receiveGrant(now time.Duration, q question, need int, g Grant) {
	t, _ := a.tenants.Get(g.Tenant)
	if expires := q.at + a.lifetime; g.Credit > 0 && expires > now {
		a.stats.CreditReceived += uint64(g.Credit)
		t = t.withParcel(parcel{credit: g.Credit, expires: expires})
	}
	for len(t.queue) > 0 {
		next, ok := t.withoutOne(now)
		if !ok {
			break
		}
		id := t.queue[0]
		t = next.withoutQueued(id).withAdmitted(now)
		a.pass(now, id)
	}
	if !g.Unready {
		t.alone = t.alone.withAnswer()
	}
	short := need - g.Credit
	switch {
	case short <= 0:
		// Operations that come until then may fit as well: the time was told by another home, or the limit was raised.
		t.refusedUntil = 0
	case g.Unready:
		t.askAfter = now + askTimeout
		t = a.admitAlone(now, g.Tenant, t)
	case g.Filling:
		t.askAfter = now + askTimeout
	default:
		t.refusedUntil = now + g.RetryAfter
		t.probeAt = now + min(g.RetryAfter, probeInterval)
		for range min(short, len(t.queue)-t.asked) {
			id := t.queue[0]
			t = t.withoutQueued(id)
			w, _ := a.waiting.Get(id)
			a.waiting.Delete(id)
			a.refuse(id, w, CauseLimit, g.RetryAfter)
		}
	}
	a.tenants.Put(g.Tenant, t)
}

// pass admits an operation that has waited.
func (a *Account) pass(now time.Duration, id caller.SessionID) {
	w, _ := a.waiting.Get(id)
	a.waiting.Delete(id)
	a.admit(now, id, w)
}

// expire refuses operations at their deadlines, gives up questions without an answer, and drops accounts that are no longer used.
func (a *Account) expire(now time.Duration) {
	for _, id := range a.waiting.TakeDue(now) {
		if w, ok := a.leave(id); ok {
			a.refuse(id, w, CauseNoAnswer, 0)
		}
	}
	for _, seq := range a.asks.TakeDue(now) {
		if q, _ := a.asks.Get(seq); q.overdue {
			a.asks.Delete(seq)
		} else {
			a.giveUp(seq, q)
		}
	}
	for _, name := range a.tenants.TakeDue(now) {
		t, _ := a.tenants.Get(name)
		a.tenants.Put(name, t)
		if len(t.queue) == 0 && t.asked == 0 && now-t.usedAt >= accountTimeout {
			a.tenants.Delete(name)
		}
	}
}

// ask asks the homes for the credit that the waiting operations need and that no unanswered question covers. Each home gets one
// message for all its tenants, at most every askInterval.
func (a *Account) ask(now time.Duration) {
	maps.DeleteFunc(a.askedAt, func(_ string, at time.Duration) bool { return now >= at+askInterval })
	asks := map[string][]Ask{}
	var order []string
	for _, name := range a.tenants.TakeDirty() {
		t, _ := a.tenants.Get(name)
		a.tenants.SetDue(name, max(t.usedAt+accountTimeout, now+askTimeout))
		need := len(t.queue) - t.asked
		if need <= 0 {
			continue
		}
		home := a.homes.home(now, name)
		if home == "" {
			t = a.admitAlone(now, name, t)
			a.tenants.Put(name, t)
		}
		if home == "" || now < t.askAfter {
			a.tenants.SetDue(name, max(t.askAfter, now+probeInterval))
			continue
		}
		if at, ok := a.askedAt[home]; ok {
			a.tenants.SetDue(name, at+askInterval)
			continue
		}
		if len(asks[home]) == 0 {
			order = append(order, home)
		}
		asks[home] = append(asks[home], Ask{Tenant: name, Need: need, Want: t.expected(a.lifetime), Limit: a.limits[name]})
		a.tenants.Put(name, t.withAsked(need))
	}
	a.tenants.TakeDirty()
	a.waiting.TakeDirty()
	for _, home := range order {
		a.sendAsks(now, home, asks[home])
	}
	a.asks.TakeDirty()
}

func (a *Account) sendAsks(now time.Duration, home string, asks []Ask) {
	q := question{home: home, at: now, needs: make(map[string]int, len(asks))}
	for _, k := range asks {
		q.needs[k.Tenant] = k.Need
		a.stats.CreditAsked += uint64(k.Need + k.Want)
	}
	if home != a.homes.self {
		a.askedAt[home] = now
	}
	a.lastSeq++
	a.asks.Put(a.lastSeq, q)
	a.asks.SetDue(a.lastSeq, now+askTimeout)
	a.emit(Send{To: home, Message: Message{Kind: KindAskCredit, Seq: a.lastSeq, Version: a.version, Asks: asks}})
}

// nextDue returns when the account has to act next.
func (a *Account) nextDue() time.Duration {
	return min(a.waiting.NextDue(), a.asks.NextDue(), a.tenants.NextDue())
}

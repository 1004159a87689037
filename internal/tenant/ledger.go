package tenant

import (
	"math"
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// bucketTimeout is how long the bucket of a tenant is kept after the node was last its home.
	bucketTimeout = 10 * time.Second
	// dividedShares is into how many parts the tolerance is divided. All parts of a divided fleet together lend at one of them.
	dividedShares = 4
	// maxRefusalMS bounds the time until the next token that a home tells, in milliseconds.
	maxRefusalMS = 5000
)

// Ledger lends the credit of the tenants of which the node is the home.
type Ledger struct {
	homes    *homes
	bounds   Bounds
	version  uint64
	limits   map[string]Limit
	newer    map[string]newerLimit
	buckets  *table.Table[string, bucket]
	leases   *leases
	stats    *Stats
	emit     func(a Action)
	reassign bool
}

// newerLimit is a limit from a configuration that the node does not have yet.
type newerLimit struct {
	version uint64
	limit   Limit
}

func newLedger(h *homes, b Bounds, seq uint64, stats *Stats, emit func(a Action)) *Ledger {
	return &Ledger{
		homes: h, bounds: b, newer: map[string]newerLimit{}, buckets: table.New[string, bucket](), leases: newLeases(seq),
		stats: stats, emit: emit,
	}
}

// refill returns how buckets are refilled at present. A node that sees less than a third of the fleet lends its share of a small
// rate, which needs no lease.
func (l *Ledger) refill() refill {
	if l.homes.share > 0 {
		return refill{share: l.homes.share}
	}
	share := l.homes.aliveShare()
	return refill{low: l.bounds.slackShare() * share, slow: l.bounds.Tolerance / dividedShares * share}
}

// bringUpToDate refills all buckets. It is called before what the refill depends on changes.
func (l *Ledger) bringUpToDate(now time.Duration) {
	r := l.refill()
	for _, name := range l.buckets.Keys() {
		b, _ := l.buckets.Get(name)
		l.buckets.Put(name, b.withTime(now, r))
	}
}

// updateQuorums recomputes all leases after the witnesses have changed.
func (l *Ledger) updateQuorums(now time.Duration) {
	names, quorum := l.homes.witnesses()
	for _, name := range l.buckets.Keys() {
		b, _ := l.buckets.Get(name)
		l.buckets.Put(name, b.withQuorum(now, names, quorum))
	}
	l.reassign = true
}

func (l *Ledger) changeLimits(now time.Duration, e LimitsChanged) {
	l.bringUpToDate(now)
	l.version, l.limits = e.Version, e.Limits
	for name, v := range l.newer {
		if v.version <= e.Version {
			delete(l.newer, name)
		}
	}
	for _, name := range l.buckets.Keys() {
		if limit, limited := l.limit(name); limited {
			b, _ := l.buckets.Get(name)
			l.buckets.Put(name, b.withLimit(now, limit, l.bounds))
		} else {
			l.buckets.Delete(name)
		}
	}
	l.reassign = true
}

// limit returns the newest known limit of a tenant, and whether it has one.
func (l *Ledger) limit(name string) (Limit, bool) {
	if v, ok := l.newer[name]; ok {
		return v.limit, true
	}
	limit, ok := l.limits[name]
	return limit, ok
}

// learnLimit adopts the limit of a borrower that has a newer configuration.
func (l *Ledger) learnLimit(now time.Duration, version uint64, k Ask) {
	if version <= max(l.version, l.newer[k.Tenant].version) || !(k.Limit.Rate > 0) {
		return
	}
	old, limited := l.limit(k.Tenant)
	l.newer[k.Tenant] = newerLimit{version: version, limit: k.Limit}
	if b, ok := l.buckets.Get(k.Tenant); ok && old != k.Limit {
		l.buckets.Put(k.Tenant, b.withTime(now, l.refill()).withLimit(now, k.Limit, l.bounds))
	}
	l.reassign = l.reassign || !limited
}

// assign determines of which tenants the node is the home. It asks for the leases of new ones and gives up those of others.
func (l *Ledger) assign(now time.Duration) {
	l.reassign = false
	for name := range l.limits {
		l.assignTenant(now, name)
	}
	for name := range l.newer {
		l.assignTenant(now, name)
	}
	for _, name := range l.buckets.Keys() {
		if b, _ := l.buckets.Get(name); !b.mine && now-b.usedAt >= bucketTimeout {
			l.buckets.Delete(name)
		}
	}
}

func (l *Ledger) assignTenant(now time.Duration, name string) {
	mine := l.homes.members.Complete && l.homes.home(now, name) == l.homes.self
	b, ok := l.buckets.Get(name)
	switch {
	case mine && !ok:
		limit, _ := l.limit(name)
		l.buckets.Put(name, bucket{
			limit: limit, capacity: l.bounds.capacity(limit), at: now, mine: true, usedAt: now, initial: l.bounds.slackShare(),
		})
		l.leases.renewAt = now
	case mine && !b.mine:
		b.mine = true
		l.buckets.Put(name, b.withTime(now, l.refill()))
		l.leases.renewAt = now
	case !mine && b.mine:
		b.usedAt = now
		l.buckets.Put(name, b.withTime(now, l.refill()).withoutLease(l.leases.lastSeq))
		l.leases.renewAt = now
	}
}

// lend answers a question for credit.
func (l *Ledger) lend(now time.Duration, from string, m Message) {
	for _, k := range m.Asks {
		l.learnLimit(now, m.Version, k)
	}
	if l.reassign {
		l.assign(now)
	}
	answer := Message{Kind: KindGrantCredit, Seq: m.Seq}
	for _, k := range m.Asks {
		g := l.grant(now, k)
		l.stats.CreditLent += uint64(g.Credit)
		answer.Grants = append(answer.Grants, g)
	}
	l.emit(Send{To: from, Message: answer})
}

// grant lends what an operation needs if the bucket holds it, and what it wants more only from the upper half of the bucket: the
// tenant is then well below its limit, so that credit which expires unused costs it nothing.
func (l *Ledger) grant(now time.Duration, k Ask) Grant {
	if _, limited := l.limit(k.Tenant); l.limits != nil && !limited {
		return Grant{Tenant: k.Tenant, Credit: k.Need}
	}
	b, ok := l.buckets.Get(k.Tenant)
	if !ok || !b.mine {
		return Grant{Tenant: k.Tenant, Unready: true}
	}
	r := l.refill()
	b = b.withTime(now, r)
	n := min(k.Need, max(0, int(b.tokens)))
	more := min(k.Want, int(b.tokens-float64(n)-b.capacity/2))
	g := Grant{Tenant: k.Tenant, Credit: n}
	if n == k.Need {
		g.Credit += max(0, more)
	} else {
		g.Unready = r.share == 0 || now >= b.leasedUntil
		g.Filling = !g.Unready && now < b.fullAt
		ms := math.Ceil((float64(n) + 1 - b.tokens) / (b.limit.Rate * max(r.share, r.slow)) * 1e3)
		g.RetryAfter = time.Duration(min(ms, maxRefusalMS)) * time.Millisecond
	}
	l.buckets.Put(k.Tenant, b.withLent(now, g.Credit, l.bounds.Lifetime()))
	return g
}

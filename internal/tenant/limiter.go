package tenant

import (
	"time"
)

// maxLifetime is the longest time for which credit may be used after it was asked for.
const maxLifetime = 300 * time.Millisecond

// Bounds is the tolerance around a tenant's limit: in any window, Rate*Window + Burst operations and Tolerance times as many plus
// Slack more may run. It covers credit that is out and homes that change.
type Bounds struct {
	Window    time.Duration
	Tolerance float64
	Slack     float64
}

// DefaultBounds returns the default tolerance.
func DefaultBounds() Bounds {
	return Bounds{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}
}

// Lifetime returns how long credit may be used. What a tenant gains in it may take up 0.6 of the tolerance.
func (b Bounds) Lifetime() time.Duration {
	return min(maxLifetime, time.Duration(0.6*b.Tolerance*float64(b.Window)))
}

// slackShares is into how many parts the slack is divided. One part enlarges the buckets. A new bucket begins with one part, so
// that a window may hold three of them, and all parts of a divided fleet together have one part.
const slackShares = 4

// slackShare returns one part of the slack.
func (b Bounds) slackShare() float64 {
	return b.Slack / slackShares
}

// capacity returns the size of the token bucket of a tenant. Without a part of the slack, a tenant with a burst of 1.4 whose
// operations arrive at random would see 29% of them refused at 0.6 of its rate; with 5 operations more it is 0.2%. A bucket smaller
// than one token would never admit an operation.
func (b Bounds) capacity(l Limit) float64 {
	return max(1, l.Burst+b.slackShare())
}

// Limiter decides about the operations that arrive at a node, and about the credit of the tenants of which the node is the home.
type Limiter struct {
	self    string
	bounds  Bounds
	seq     uint64
	homes   *homes
	account *Account
	ledger  *Ledger
	stats   *Stats
	actions []Action
	// local holds the messages of the node to itself.
	local   []Message
	started bool
}

// Option configures a Limiter.
type Option func(l *Limiter)

// WithBounds sets the tolerance. The default is DefaultBounds.
func WithBounds(b Bounds) Option {
	return func(l *Limiter) { l.bounds = b }
}

// WithIncarnation sets a number that is higher in each life of a node. It keeps messages of an earlier life apart.
func WithIncarnation(i uint64) Option {
	return func(l *Limiter) { l.seq = i }
}

// New returns the Limiter of the node with the given name.
func New(self string, opts ...Option) *Limiter {
	l := &Limiter{self: self, bounds: DefaultBounds(), homes: newHomes(self), stats: &Stats{rows: map[string]*Counts{}}}
	for _, o := range opts {
		o(l)
	}
	l.account = newAccount(l.homes, l.bounds.Lifetime(), l.seq, l.stats, l.emit)
	l.ledger = newLedger(l.homes, l.bounds, l.seq, l.stats, l.emit)
	return l
}

// emit adds an action. Messages to the node itself are delivered in the same step.
func (l *Limiter) emit(a Action) {
	if s, ok := a.(Send); ok {
		if s.To == l.self {
			l.local = append(l.local, s.Message)
			return
		}
		l.stats.MessagesSent++
	}
	l.actions = append(l.actions, a)
}

// Step handles events, and returns actions and the time of the next step if no event arrives before.
func (l *Limiter) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	if !l.started {
		l.started = true
		l.ledger.leases.silentUntil = now + leaseTime
	}
	l.actions = nil
	for _, e := range es {
		l.handle(now, e)
	}
	l.account.expire(now)
	l.expireHomes(now)
	if l.ledger.reassign {
		l.ledger.assign(now)
	}
	l.ledger.renewLeases(now)
	l.account.ask(now)
	for len(l.local) > 0 {
		m := l.local[0]
		l.local = l.local[1:]
		l.receive(now, l.self, m)
		if len(l.local) == 0 {
			l.account.ask(now)
		}
	}
	l.ledger.buckets.TakeDirty()
	return l.actions, min(l.account.nextDue(), l.ledger.nextDue(), l.nextHomeDue())
}

// expireHomes returns to the homes that refused a connection a while ago, and replaces lost witnesses.
func (l *Limiter) expireHomes(now time.Duration) {
	if now >= l.homes.raiseAt {
		l.ledger.bringUpToDate(now)
		l.homes.updateShare(now)
	}
	if now >= l.homes.fallbackAt() {
		l.ledger.bringUpToDate(now)
		l.homes.fallback = true
		l.ledger.updateQuorums(now)
	}
	for name, until := range l.homes.refused {
		if now >= until {
			delete(l.homes.refused, name)
			l.ledger.reassign = true
		}
	}
}

func (l *Limiter) nextHomeDue() time.Duration {
	next := min(l.homes.fallbackAt(), l.homes.raiseAt)
	for _, until := range l.homes.refused {
		next = min(next, until)
	}
	return next
}

func (l *Limiter) handle(now time.Duration, e Event) {
	switch e := e.(type) {
	case Requested:
		l.account.request(now, e)
	case Cancelled:
		l.account.leave(e.Session)
	case DrainStarted:
		l.account.drain()
	case LimitsChanged:
		if e.Version < l.ledger.version {
			return
		}
		l.account.changeLimits(now, e)
		l.ledger.changeLimits(now, e)
	case MembersChanged:
		l.ledger.bringUpToDate(now)
		divided := l.homes.members.Complete && l.homes.share == 0
		l.homes.update(now, e)
		if divided && l.homes.share > 0 {
			l.ledger.leases.silentUntil = now + fallbackDelay
		}
		l.ledger.updateQuorums(now)
		l.account.abandonAsks(now)
	case Unreachable:
		if e.Node != l.self {
			l.homes.refused[e.Node] = now + unreachableTime
			l.ledger.reassign = true
			l.account.abandonAsks(now)
		}
	case Received:
		l.receive(now, e.From, e.Message)
	}
}

func (l *Limiter) receive(now time.Duration, from string, m Message) {
	switch m.Kind {
	case KindAskCredit:
		l.ledger.lend(now, from, m)
	case KindGrantCredit:
		l.account.receive(now, from, m)
	case KindAskLease:
		l.ledger.confirm(now, from, m)
	case KindGiveLease:
		l.ledger.confirmed(now, from, m)
	}
}

// RefusedFor returns how long the node refuses operations of a tenant at once because the tenant has used up its limit.
func (l *Limiter) RefusedFor(name string, now time.Duration) time.Duration {
	t, _ := l.account.tenants.Get(name)
	return max(0, t.refusedUntil-now)
}

// Stats returns a snapshot of the counters.
func (l *Limiter) Stats() Stats {
	return l.stats.snapshot()
}

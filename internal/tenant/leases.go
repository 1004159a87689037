package tenant

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// leaseTime is how long a witness's confirmation lasts, from when the home asked for it. A new home has to wait that long for the
	// lease of one that was lost.
	leaseTime = 1200 * time.Millisecond
	// renewInterval is the time between two questions, so that one may be lost.
	renewInterval = 500 * time.Millisecond
	// retryInterval is the time between two questions while a lease is missing.
	retryInterval = 100 * time.Millisecond
	// holderTimeout is how long a witness remembers a home that no longer asks.
	holderTimeout = 10 * time.Second
)

// leases holds the questions of a home to its witnesses, and what the node promised to other homes as a witness.
type leases struct {
	lastSeq  uint64
	renewAt  time.Duration
	named    bool
	asks     *table.Table[uint64, time.Duration]
	promises *table.Table[string, promise]
	holders  *table.Table[string, holder]
	// silentUntil is the time until which the node promises nothing: after a restart because it may have promised before, and after
	// it was in a small part of the fleet because the other part may still have replaced the witnesses.
	silentUntil time.Duration
}

func newLeases(seq uint64) *leases {
	return &leases{
		lastSeq: seq, renewAt: table.Never, asks: table.New[uint64, time.Duration](), promises: table.New[string, promise](),
		holders: table.New[string, holder](),
	}
}

// promise returns those of the tenants in a question for which the node confirms the home, which are none unless agrees is set. It
// confirms one home at a time. A home that names a tenant no longer has given up its lease.
func (s *leases) promise(now time.Duration, home string, m Message, agrees bool) []string {
	h, _ := s.holders.Get(home)
	if m.Seq <= h.seq {
		return nil
	}
	for _, name := range h.tenants {
		if p, _ := s.promises.Get(name); p.home == home && !slices.Contains(m.Tenants, name) {
			s.promises.Delete(name)
		}
	}
	s.holders.Put(home, holder{seq: m.Seq, tenants: m.Tenants})
	s.holders.SetDue(home, now+holderTimeout)
	if now < s.silentUntil || !agrees {
		return nil
	}
	var given []string
	for _, name := range m.Tenants {
		if p, ok := s.promises.Get(name); ok && p.home != home && now < p.until {
			continue
		}
		s.promises.Put(name, promise{home: home, until: now + leaseTime})
		s.promises.SetDue(name, now+leaseTime)
		given = append(given, name)
	}
	return given
}

// expire drops what is no longer needed.
func (s *leases) expire(now time.Duration) {
	for _, name := range s.promises.TakeDue(now) {
		s.promises.Delete(name)
	}
	for _, name := range s.holders.TakeDue(now) {
		s.holders.Delete(name)
	}
	for _, seq := range s.asks.TakeDue(now) {
		s.asks.Delete(seq)
	}
	s.promises.TakeDirty()
	s.holders.TakeDirty()
	s.asks.TakeDirty()
}

// renewLeases asks the witnesses for the leases of all tenants of which the node is the home. Once it is the home of none, it asks
// a last time without naming any, which gives up the leases.
func (l *Ledger) renewLeases(now time.Duration) {
	s := l.leases
	s.expire(now)
	if now < s.renewAt {
		return
	}
	s.renewAt = table.Never
	var mine []string
	interval := renewInterval
	for _, name := range l.buckets.Keys() {
		if b, _ := l.buckets.Get(name); b.mine {
			mine = append(mine, name)
			if now >= b.leasedUntil && l.homes.share > 0 {
				interval = retryInterval
			}
		}
	}
	if len(mine) == 0 && !s.named {
		return
	}
	if s.named = len(mine) > 0; s.named {
		s.renewAt = now + interval
	}
	s.lastSeq++
	s.asks.Put(s.lastSeq, now)
	s.asks.SetDue(s.lastSeq, now+leaseTime)
	names, _ := l.homes.witnesses()
	for _, w := range names {
		l.emit(Send{To: w, Message: Message{Kind: KindAskLease, Seq: s.lastSeq, Tenants: mine, Fallback: l.homes.fallback}})
	}
}

// confirm answers a home that asks for leases. A node confirms only while it sees a third of the fleet, and only a home that agrees
// with it on whether the witnesses are lost.
func (l *Ledger) confirm(now time.Duration, from string, m Message) {
	agrees := m.Fallback == l.homes.fallback && l.homes.share > 0
	given := l.leases.promise(now, from, m, agrees)
	if len(given) > 0 {
		l.emit(Send{To: from, Message: Message{Kind: KindGiveLease, Seq: m.Seq, Tenants: given}})
	}
}

// confirmed adds the confirmations of a witness. They count from when they were asked for.
func (l *Ledger) confirmed(now time.Duration, from string, m Message) {
	at, ok := l.leases.asks.Get(m.Seq)
	if !ok || now >= at+leaseTime {
		return
	}
	names, quorum := l.homes.witnesses()
	r := l.refill()
	for _, name := range m.Tenants {
		if b, ok := l.buckets.Get(name); ok && b.mine && m.Seq > b.staleSeq {
			b = b.withTime(now, r).withConfirmation(confirmation{witness: from, until: at + leaseTime})
			l.buckets.Put(name, b.withQuorum(now, names, quorum))
		}
	}
}

// nextDue returns when the ledger has to act next.
func (l *Ledger) nextDue() time.Duration {
	s := l.leases
	return min(s.renewAt, s.promises.NextDue(), s.holders.NextDue(), s.asks.NextDue())
}

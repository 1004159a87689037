package tenant

import (
	"slices"
	"time"
)

// confirmation is a witness's consent that a node is the home of a tenant, until it expires.
type confirmation struct {
	witness string
	until   time.Duration
}

// bucket is the row of a tenant at its home: a token bucket that is refilled at the tenant's rate while the node holds the lease.
// It is an immutable value.
type bucket struct {
	limit    Limit
	capacity float64
	tokens   float64
	at       time.Duration
	// initial is what the bucket gets with its first lease. Until fullAt, it may be empty although the tenant is below its limit.
	initial float64
	fullAt  time.Duration
	// mine is set while the node considers itself the home, usedAt is when it last did.
	mine   bool
	usedAt time.Duration
	// confirmations that came in answer to questions up to staleSeq do not count.
	confirmations []confirmation
	staleSeq      uint64
	// leasedUntil is until when enough witnesses have confirmed the node.
	leasedUntil time.Duration
	// recent and earlier count the credit that was lent since slotAt, and in a credit's lifetime before it.
	recent  int
	earlier int
	slotAt  time.Duration
}

// maxFillTime bounds the time during which a new bucket lets operations wait that it would refuse later. Usually, that is twice the
// time that filling it takes: by then what waited for the new home is admitted.
const maxFillTime = 2 * time.Second

// refill holds how buckets are refilled. Under a lease, a bucket tends towards share of its capacity: below, it gains tokens at
// share of the tenant's rate, above, it loses them at the rest, which the home in another part of the fleet may gain. Without a
// lease it tends towards low: it loses tokens at the rate, and gains them at slow of it.
type refill struct {
	share float64
	low   float64
	slow  float64
}

// withTime returns the bucket as of now.
func (b bucket) withTime(now time.Duration, r refill) bucket {
	if r.share > 0 {
		b = b.towards(min(now, b.leasedUntil), r.share*b.capacity, r.share, 1-r.share)
	}
	return b.towards(now, min(b.capacity, r.low), r.slow, 1)
}

// towards returns the bucket at a time until which it has gained and lost tokens at the given parts of the rate, towards a level.
func (b bucket) towards(at time.Duration, level, gain, loss float64) bucket {
	if at <= b.at {
		return b
	}
	rated := b.limit.Rate * (at - b.at).Seconds()
	if b.tokens > level {
		b.tokens = max(level, b.tokens-loss*rated)
	} else {
		b.tokens = min(level, b.tokens+gain*rated)
	}
	b.at = at
	return b
}

// withLent returns the bucket after credit was lent.
func (b bucket) withLent(now time.Duration, credit int, lifetime time.Duration) bucket {
	if now-b.slotAt >= lifetime {
		b.earlier, b.recent = b.recent, 0
		if now-b.slotAt >= 2*lifetime {
			b.earlier = 0
		}
		b.slotAt = now
	}
	b.recent += credit
	b.tokens -= float64(credit)
	return b
}

// withLimit returns the bucket with another limit. Where that is lower, credit that may still be used counts against it.
func (b bucket) withLimit(now time.Duration, l Limit, bounds Bounds) bucket {
	old := b.limit
	b.limit, b.capacity = l, bounds.capacity(l)
	if l.Rate >= old.Rate && l.Burst >= old.Burst {
		return b
	}
	b = b.withLent(now, 0, bounds.Lifetime())
	b.tokens = max(min(b.tokens, b.capacity-float64(b.recent+b.earlier)), -b.capacity)
	return b
}

// withConfirmation returns the bucket after a witness has confirmed the node.
func (b bucket) withConfirmation(c confirmation) bucket {
	b.confirmations = slices.DeleteFunc(slices.Clone(b.confirmations), func(o confirmation) bool { return o.witness == c.witness })
	b.confirmations = append(b.confirmations, c)
	return b
}

// withQuorum returns the bucket with the lease that the confirmations of the given witnesses make up.
func (b bucket) withQuorum(now time.Duration, witnesses []string, quorum int) bucket {
	var until []time.Duration
	for _, c := range b.confirmations {
		if c.until > now && slices.Contains(witnesses, c.witness) {
			until = append(until, c.until)
		}
	}
	b.leasedUntil = 0
	if quorum > 0 && len(until) >= quorum {
		slices.Sort(until)
		b.leasedUntil = until[len(until)-quorum]
		if b.initial > 0 {
			b.tokens = min(b.capacity, b.tokens+b.initial)
			b.initial = 0
			b.fullAt = now + min(maxFillTime, time.Duration(2*b.capacity/b.limit.Rate*float64(time.Second)))
		}
	}
	return b
}

// withoutLease returns the bucket after the lease was given up. seq is the last question about it.
func (b bucket) withoutLease(seq uint64) bucket {
	b.mine, b.confirmations, b.leasedUntil, b.staleSeq = false, nil, 0, seq
	return b
}

// promise is the row of a tenant at a witness: the node that it has confirmed as the home.
type promise struct {
	home  string
	until time.Duration
}

// holder is the row of a home at a witness: its last question and the tenants that it named.
type holder struct {
	seq     uint64
	tenants []string
}

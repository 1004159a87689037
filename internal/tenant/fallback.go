package tenant

import (
	"math"
	"time"
)

const (
	// fallbackPart is the part of its recent rate, or of an equal share of the limit, that a node admits without credit while no home
	// is ready. Nodes that are cut off and a home that has not noticed it yet thus stay within the tolerance together. A home that
	// only does not answer may be slow: operations wait until the membership suspects it.
	fallbackPart = 0.4
	// admittedMemory is the time constant of the recent rate. It is as long as the window in which operations are bounded, so that a
	// burst counts little.
	admittedMemory = 5 * time.Second
	// recentRateTime is how long without an answer that holds. By then another home answers, or the nodes without one are few, and
	// lateFallbackPart of the equal share is left.
	recentRateTime   = 3 * time.Second
	lateFallbackPart = 0.1
	// fallbackBurst is the size of a node's own bucket, as the time for which its rate fills it; it holds one operation at least.
	fallbackBurst = 500 * time.Millisecond
)

// fallback is the token bucket with which a node admits operations of one tenant while no home is ready. It is an immutable value.
type fallback struct {
	// unreadySince is when the first home was not ready, zero if the last answer said how much credit there is.
	unreadySince time.Duration
	// recentRate is the rate of the node's admitted operations at that time.
	recentRate float64
	tokens     float64
	at         time.Duration
}

// withUnready returns the bucket after a home was not ready.
func (f fallback) withUnready(now time.Duration, recentRate float64) fallback {
	if f.unreadySince == 0 {
		f.unreadySince, f.recentRate = now, recentRate
	}
	return f
}

// withAnswer returns the bucket after an answer of a home. Its tokens stay, so that homes that come and go do not fill it anew.
func (f fallback) withAnswer() fallback {
	f.unreadySince = 0
	return f
}

// withNewLimit returns the bucket after the tenant's limit has changed: the rate of before may be far above the new one.
func (f fallback) withNewLimit() fallback {
	f.recentRate, f.tokens = 0, min(f.tokens, 1)
	return f
}

// withTime returns the bucket as of now, for a node whose equal share of the limit is given in operations per second.
func (f fallback) withTime(now time.Duration, share float64) fallback {
	rate := share * lateFallbackPart
	if now < f.unreadySince+recentRateTime {
		rate = max(share, f.recentRate) * fallbackPart
	}
	size := max(1, rate*fallbackBurst.Seconds())
	if f.at == 0 {
		f.tokens = size
	} else {
		f.tokens = min(size, f.tokens+rate*(now-f.at).Seconds())
	}
	f.at = now
	return f
}

// withoutOne returns the bucket without one operation, and whether it had one.
func (f fallback) withoutOne() (fallback, bool) {
	if f.unreadySince == 0 || f.tokens < 1 {
		return f, false
	}
	f.tokens--
	return f, true
}

// withAdmitted returns the account after an operation was admitted.
func (a account) withAdmitted(now time.Duration) account {
	a.admitted = a.admittedRate(now)*admittedMemory.Seconds() + 1
	a.admittedAt = now
	return a
}

// admittedRate returns the moving rate of the admitted operations per second.
func (a account) admittedRate(now time.Duration) float64 {
	return a.admitted * math.Exp(-(now-a.admittedAt).Seconds()/admittedMemory.Seconds()) / admittedMemory.Seconds()
}

// equalShare returns a node's equal share of a limit in operations per second. It is zero while the fleet's size is not known.
func (h *homes) equalShare(l Limit) float64 {
	if !h.members.Complete {
		return 0
	}
	return l.Rate / float64(max(1, h.members.Known, h.members.Alive))
}

// admitAlone admits operations of a tenant that wait while no home is ready, as far as the node's own bucket goes.
func (a *Account) admitAlone(now time.Duration, name string, t account) account {
	t.alone = t.alone.withUnready(now, t.admittedRate(now)).withTime(now, a.homes.equalShare(a.limits[name]))
	for len(t.queue) > 0 {
		f, ok := t.alone.withoutOne()
		if !ok {
			break
		}
		id := t.queue[0]
		t = t.withoutQueued(id).withAdmitted(now)
		t.alone = f
		if t.asked > len(t.queue) {
			t.asked = len(t.queue)
		}
		a.stats.Alone++
		a.pass(now, id)
	}
	return t
}

package tenant

import (
	"math"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
)

// waiter is the row of an operation that waits for credit.
type waiter struct {
	seq    uint64
	tenant string
	at     time.Duration
}

// question is the row of a message that asked for credit. The needs are those of its tenants.
type question struct {
	home  string
	at    time.Duration
	needs map[string]int
	// overdue is set once the operations no longer count on an answer.
	overdue bool
}

func (q question) withOverdue() question {
	q.overdue = true
	return q
}

// parcel is credit that expires.
type parcel struct {
	credit  int
	expires time.Duration
}

// account is the row of a tenant at a node where its callers arrive. It is an immutable value.
type account struct {
	parcels []parcel
	// queue holds the sessions whose operations wait, oldest first. asked is how many of them an unanswered question covers.
	queue []caller.SessionID
	asked int
	// refusedUntil is the time until which the home has no credit. Until then the home is asked again from probeAt on.
	refusedUntil time.Duration
	probeAt      time.Duration
	// askAfter is the time before which the home is not asked again.
	askAfter time.Duration
	// arrivals is an exponentially decaying count of the operations, as of usedAt, and admitted one of those admitted.
	arrivals   float64
	usedAt     time.Duration
	admitted   float64
	admittedAt time.Duration
	// alone admits operations while no home is ready.
	alone fallback
}

// arrivalMemory is the time constant of the moving rate of a tenant's operations.
const arrivalMemory = time.Second

func (a account) withArrival(now time.Duration) account {
	a.arrivals = a.arrivals*math.Exp(-(now-a.usedAt).Seconds()/arrivalMemory.Seconds()) + 1
	a.usedAt = now
	return a
}

// expected returns how many operations are expected within a time.
func (a account) expected(within time.Duration) int {
	return int(math.Round(a.arrivals * within.Seconds() / arrivalMemory.Seconds()))
}

func (a account) withParcel(p parcel) account {
	a.parcels = append(slices.Clone(a.parcels), p)
	return a
}

// withoutOne returns the account without one credit, and whether it had one. Credit that expires first is used first.
func (a account) withoutOne(now time.Duration) (account, bool) {
	ps := make([]parcel, 0, len(a.parcels))
	for _, p := range a.parcels {
		if p.expires > now && p.credit > 0 {
			ps = append(ps, p)
		}
	}
	a.parcels = ps
	if len(ps) == 0 {
		return a, false
	}
	first := 0
	for i, p := range ps {
		if p.expires < ps[first].expires {
			first = i
		}
	}
	ps[first].credit--
	return a, true
}

func (a account) withQueued(id caller.SessionID) account {
	a.queue = append(slices.Clone(a.queue), id)
	return a
}

func (a account) withoutQueued(id caller.SessionID) account {
	a.queue = slices.DeleteFunc(slices.Clone(a.queue), func(o caller.SessionID) bool { return o == id })
	return a
}

func (a account) withAsked(n int) account {
	a.asked = max(0, a.asked+n)
	return a
}

package tick

import (
	"container/heap"
	"time"
)

// VirtualClock is a simulated clock with a queue of scheduled calls. Its time advances only from one call to the next, so that
// property tests and other harnesses can run decisions without sockets or waiting.
type VirtualClock struct {
	now       time.Duration
	calls     calls
	lastOrder uint64
}

// Now returns the virtual time. During a call, that is the time for which the call was scheduled.
func (v *VirtualClock) Now() time.Duration {
	return v.now
}

// After schedules one call of f at d from now. Calls for the same time run in the order in which they were scheduled.
func (v *VirtualClock) After(d time.Duration, f func()) {
	v.lastOrder++
	heap.Push(&v.calls, call{at: v.now + d, order: v.lastOrder, f: f})
}

// Run makes all calls that are due up to the given time, and sets the clock to that time.
func (v *VirtualClock) Run(until time.Duration) {
	for len(v.calls) > 0 && v.calls[0].at <= until {
		c := heap.Pop(&v.calls).(call)
		v.now = c.at
		c.f()
	}
	v.now = until
}

type call struct {
	at    time.Duration
	order uint64
	f     func()
}

type calls []call

func (c calls) Len() int { return len(c) }

func (c calls) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].order < c[j].order
}

func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *calls) Push(x any) { *c = append(*c, x.(call)) }

// Pop implements heap.Interface.
func (c *calls) Pop() any {
	o := *c
	x := o[len(o)-1]
	*c = o[:len(o)-1]
	return x
}

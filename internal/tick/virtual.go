package tick

import (
	"container/heap"
	"time"
)

// VirtualClock is a clock that stands still between the calls that are due on it. It drives decisions without sockets or waiting:
// property runs use it, and so can any other harness.
type VirtualClock struct {
	now   time.Duration
	calls calls
	last  uint64
}

// Now returns the time of the call that is being made.
func (v *VirtualClock) Now() time.Duration {
	return v.now
}

// After has f called once, d from now; calls that are due together are made in the order in which they were asked for.
func (v *VirtualClock) After(d time.Duration, f func()) {
	v.last++
	heap.Push(&v.calls, call{at: v.now + d, order: v.last, f: f})
}

// Run makes all calls that are due up to a time, and stops there.
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

// Push is for container/heap.
func (c *calls) Push(x any) { *c = append(*c, x.(call)) }

// Pop is for container/heap.
func (c *calls) Pop() any {
	o := *c
	x := o[len(o)-1]
	*c = o[:len(o)-1]
	return x
}

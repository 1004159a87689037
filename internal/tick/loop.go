package tick

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"buckthornport.example/buckthornport/internal/table"
)

// Clock returns the time since the start of the process. It is monotonic.
type Clock func() time.Duration

// NewClock returns a clock that starts now. It also counts the time for which the machine is suspended, because evidence and
// leases age meanwhile. Go's own monotonic time does not count it.
func NewClock() Clock {
	start := sinceBoot()
	return func() time.Duration { return sinceBoot() - start }
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("cannot read CLOCK_BOOTTIME, the clock that counts the time of suspension: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Loop passes posted events to Step, and the actions that Step returns to Perform. Both run in the goroutine that calls Run.
// Step also returns the time of its next call if no event arrives before, or table.Never.
type Loop[E, A any] struct {
	Clock   Clock
	Step    func(now time.Duration, es []E) ([]A, time.Duration)
	Perform func(a A)

	mu     sync.Mutex
	events []E
	spare  []E
	wake   chan struct{}
}

// NewLoop returns a loop; Run starts it.
func NewLoop[E, A any](c Clock, step func(time.Duration, []E) ([]A, time.Duration), perform func(A)) *Loop[E, A] {
	return &Loop[E, A]{Clock: c, Step: step, Perform: perform, wake: make(chan struct{}, 1)}
}

// Post queues events for the next step; it never blocks.
func (l *Loop[E, A]) Post(es ...E) {
	l.mu.Lock()
	l.events = append(l.events, es...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run calls Step until the context ends, and returns the context's error.
func (l *Loop[E, A]) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		as, next := l.Step(l.Clock(), l.takeEvents())
		for _, a := range as {
			l.Perform(a)
		}
		l.armTimer(timer, next)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// takeEvents returns the queued events. It swaps two buffers, so that a busy loop need not allocate new ones.
func (l *Loop[E, A]) takeEvents() []E {
	l.mu.Lock()
	defer l.mu.Unlock()
	es := l.events
	l.events = l.spare[:0]
	l.spare = es
	return es
}

func (l *Loop[E, A]) armTimer(t *time.Timer, next time.Duration) {
	if next == table.Never {
		t.Stop()
		return
	}
	t.Reset(max(0, next-l.Clock()))
}

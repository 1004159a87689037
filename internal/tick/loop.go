package tick

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"buckthornport.example/buckthornport/internal/table"
)

// Clock returns the time since the start of the process, which never goes back.
type Clock func() time.Duration

// NewClock returns a clock that starts now. It counts the time for which the machine is suspended, which Go's own monotonic
// time does not: evidence and leases age all the while.
func NewClock() Clock {
	start := sinceBoot()
	return func() time.Duration { return sinceBoot() - start }
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("this system has no clock that counts suspension: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Loop feeds posted events to Step and its actions to Perform, all in the goroutine that calls Run.
type Loop[E, A any] struct {
	Clock   Clock
	Step    func(now time.Duration, es []E) ([]A, time.Duration)
	Perform func(a A)

	mu     sync.Mutex
	events []E
	spare  []E
	wake   chan struct{}
}

// NewLoop returns a loop that is not yet running.
func NewLoop[E, A any](c Clock, step func(time.Duration, []E) ([]A, time.Duration), perform func(A)) *Loop[E, A] {
	return &Loop[E, A]{Clock: c, Step: step, Perform: perform, wake: make(chan struct{}, 1)}
}

// Post hands over events; it never blocks.
func (l *Loop[E, A]) Post(es ...E) {
	l.mu.Lock()
	l.events = append(l.events, es...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run steps until the context ends.
func (l *Loop[E, A]) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		as, next := l.Step(l.Clock(), l.take())
		for _, a := range as {
			l.Perform(a)
		}
		l.arm(timer, next)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// take swaps the two event buffers, so that a busy loop allocates nothing for them.
func (l *Loop[E, A]) take() []E {
	l.mu.Lock()
	defer l.mu.Unlock()
	es := l.events
	l.events = l.spare[:0]
	l.spare = es
	return es
}

func (l *Loop[E, A]) arm(t *time.Timer, next time.Duration) {
	if next == table.Never {
		t.Stop()
		return
	}
	t.Reset(max(0, next-l.Clock()))
}

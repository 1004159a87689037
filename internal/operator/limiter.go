package operator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// linesPerSecond is how many records of one kind and cause a node logs in a second: at 500 bytes each, all that can be
	// frequent at once stays below 64 KB/s.
	linesPerSecond = 20
	// tellEvery is the time between records about what was left out.
	tellEvery = 5 * time.Second
)

// Limiter bounds how many records of each kind and cause are logged; it may be used by any goroutine.
type Limiter struct {
	mu     sync.Mutex
	window time.Duration
	told   time.Duration
	counts map[subject]int
	left   map[subject]int
	total  uint64
}

type subject struct {
	kind  Kind
	cause string
}

// NewLimiter returns a limiter that has seen nothing.
func NewLimiter() *Limiter {
	return &Limiter{counts: map[subject]int{}, left: map[subject]int{}}
}

// Admit reports whether a record may be logged now.
func (l *Limiter) Admit(now time.Duration, r Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.window >= time.Second {
		l.window = now
		clear(l.counts)
	}
	s := subject{r.Kind, r.Cause}
	l.counts[s]++
	if l.counts[s] <= linesPerSecond {
		return true
	}
	l.left[s]++
	l.total++
	return false
}

// SuppressedSummary returns a record of what was left out since the last one, if it is time for it.
func (l *Limiter) SuppressedSummary(now time.Duration) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.left) == 0 || now-l.told < tellEvery {
		return Record{}, false
	}
	r := Record{Kind: KindGap, Cause: "log_limit"}
	ss := make([]string, 0, len(l.left))
	for s, n := range l.left {
		ss = append(ss, fmt.Sprintf("%s/%s=%d", s.kind, s.cause, n))
	}
	slices.Sort(ss)
	for _, s := range ss {
		r = r.WithEvidence("left_out", s)
	}
	l.told = now
	clear(l.left)
	return r, true
}

// TotalSuppressed returns how many records were left out since the start.
func (l *Limiter) TotalSuppressed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// traceOne is the share of requests, one in so many, whose way is logged although nothing went wrong.
const traceOne = 32

// TraceSampled reports whether a request's way is logged although nothing went wrong; it depends on the id alone, so that all nodes
// pick the same requests.
func TraceSampled(id string) bool {
	return xxhash.Sum64String(id)%traceOne == 0
}

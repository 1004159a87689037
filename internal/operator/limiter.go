package operator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecordsPerSecond is how many records of one kind and cause a node logs per second. At 500 bytes per record, all kinds
	// that can be frequent at the same time stay below 64 KB/s.
	maxRecordsPerSecond = 20
	// summaryInterval is the time between two records about suppressed records.
	summaryInterval = 5 * time.Second
)

// Limiter limits the rate of logged records by kind and cause. It is safe for concurrent use.
type Limiter struct {
	mu              sync.Mutex
	windowStart     time.Duration
	lastSummary     time.Duration
	counts          map[kindCause]int
	suppressed      map[kindCause]int
	totalSuppressed uint64
}

type kindCause struct {
	kind  Kind
	cause string
}

// NewLimiter returns a limiter without any counted records.
func NewLimiter() *Limiter {
	return &Limiter{counts: map[kindCause]int{}, suppressed: map[kindCause]int{}}
}

// Admit counts a record and reports whether it may be logged now.
func (l *Limiter) Admit(now time.Duration, r Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.windowStart >= time.Second {
		l.windowStart = now
		clear(l.counts)
	}
	k := kindCause{r.Kind, r.Cause}
	l.counts[k]++
	if l.counts[k] <= maxRecordsPerSecond {
		return true
	}
	l.suppressed[k]++
	l.totalSuppressed++
	return false
}

// SuppressedSummary returns a record with the number of suppressed records per kind and cause since the last summary. It
// returns false if none were suppressed or the last summary is less than summaryInterval old.
func (l *Limiter) SuppressedSummary(now time.Duration) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suppressed) == 0 || now-l.lastSummary < summaryInterval {
		return Record{}, false
	}
	r := Record{Kind: KindGap, Cause: "log_limit"}
	ss := make([]string, 0, len(l.suppressed))
	for k, n := range l.suppressed {
		ss = append(ss, fmt.Sprintf("%s/%s=%d", k.kind, k.cause, n))
	}
	slices.Sort(ss)
	for _, s := range ss {
		r = r.WithEvidence("left_out", s)
	}
	l.lastSummary = now
	clear(l.suppressed)
	return r, true
}

// TotalSuppressed returns how many records were suppressed since the start.
func (l *Limiter) TotalSuppressed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalSuppressed
}

// traceSampleInterval is the sampling interval of tracing: one request in so many is traced even if it succeeds.
const traceSampleInterval = 32

// TraceSampled reports whether a request's path is logged even if it succeeds. The choice depends on the request id alone, so
// that all nodes trace the same requests.
func TraceSampled(id string) bool {
	return xxhash.Sum64String(id)%traceSampleInterval == 0
}

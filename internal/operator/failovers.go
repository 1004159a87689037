package operator

import (
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/metrics"
)

// The stages of a promotion, in order. Detection ends when the primary counts as failed, fence when the old term is fenced, wait
// when the promotion order is sent, and open when the new primary answers as one.
const (
	StageDetection = "detection"
	StageFence     = "fence"
	StageWait      = "wait"
	StageOpen      = "open"
)

var stages = [...]string{StageDetection, StageFence, StageWait, StageOpen}

// WithStageDuration returns the record with the duration of a promotion stage as evidence.
func (r Record) WithStageDuration(stage string, d time.Duration) Record {
	return r.WithEvidence(stage, d.String())
}

// StageDuration returns the duration of a promotion stage, and false if the record has none.
func (r Record) StageDuration(stage string) (time.Duration, bool) {
	d, err := time.ParseDuration(r.evidenceValue(stage))
	return d, err == nil
}

// FailoverMetrics counts records about suspicions, promotions and changes of primary, and the durations of the stages of
// finished promotions. It is safe for concurrent use.
type FailoverMetrics struct {
	mu     sync.Mutex
	counts map[Kind]map[string]uint64
	stages [len(stages)]metrics.Histogram
}

// NewFailoverMetrics returns metrics with all counts at zero.
func NewFailoverMetrics() *FailoverMetrics {
	return &FailoverMetrics{counts: map[Kind]map[string]uint64{KindSuspicion: {}, KindPromotion: {}, KindTerm: {}}}
}

// Observe counts a record about a suspicion, a promotion or a change of primary; it ignores other kinds.
func (f *FailoverMetrics) Observe(r Record) {
	// The outer map never changes, so this look-up needs no lock. Most records are about requests and end here.
	causes, ok := f.counts[r.Kind]
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	causes[r.Cause]++
	if r.Kind != KindPromotion {
		return
	}
	for i, s := range stages {
		if d, ok := r.StageDuration(s); ok {
			f.stages[i] = f.stages[i].WithSample(d)
		}
	}
}

// Write writes the counts by kind and cause, and a histogram for each stage.
func (f *FailoverMetrics) Write(t metrics.TextWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind, causes := range f.counts {
		for cause, n := range causes {
			t.Line("failover_events_total", n, "kind", string(kind), "cause", cause)
		}
	}
	for i, s := range stages {
		t.Histogram("promotion_stage_seconds", f.stages[i], "stage", s)
	}
}

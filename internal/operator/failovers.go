package operator

import (
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/metrics"
)

// The stages of a promotion, in order: until the primary counted as failed, until the old term was fenced, until the order was
// sent, and until the new primary answered as one.
const (
	StageDetection = "detection"
	StageFence     = "fence"
	StageWait      = "wait"
	StageOpen      = "open"
)

var stages = [...]string{StageDetection, StageFence, StageWait, StageOpen}

// WithStageDuration returns the record with how long a stage of a promotion took.
func (r Record) WithStageDuration(stage string, took time.Duration) Record {
	return r.WithEvidence(stage, took.String())
}

// StageDuration returns how long a stage took, if the record says so.
func (r Record) StageDuration(stage string) (time.Duration, bool) {
	took, err := time.ParseDuration(r.value(stage))
	return took, err == nil
}

// FailoverMetrics counts suspicions and promotions, and how long the stages of finished promotions took; its methods may be called
// from any goroutine.
type FailoverMetrics struct {
	mu     sync.Mutex
	counts map[Kind]map[string]uint64
	stages [len(stages)]metrics.Histogram
}

// NewFailoverMetrics returns empty counts.
func NewFailoverMetrics() *FailoverMetrics {
	return &FailoverMetrics{counts: map[Kind]map[string]uint64{KindSuspicion: {}, KindPromotion: {}, KindTerm: {}}}
}

// Observe takes note of a record; those of other kinds are left out.
func (f *FailoverMetrics) Observe(r Record) {
	// The kinds never change, so that the many records of requests take no lock.
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
		if took, ok := r.StageDuration(s); ok {
			f.stages[i] = f.stages[i].WithSample(took)
		}
	}
}

// Write writes the counts by kind and cause, and the stages.
func (f *FailoverMetrics) Write(t metrics.Text) {
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

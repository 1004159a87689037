package upstream

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/pkg/session"
)

// Stage is the stage of a promotion.
type Stage string

// The stages of a promotion.
const (
	StagePromising Stage = "promising"
	StageWaiting   Stage = "waiting"
	StageOpening   Stage = "opening"
	StageBackoff   Stage = "backoff"
	// StageLeasing waits for the platform's store to grant the lease under which promotion orders are given.
	StageLeasing Stage = "leasing"
	// StageRecording waits until the store has recorded the chosen server's position as the floor.
	StageRecording Stage = "recording"
)

// Promotion is the row of one attempt to replace a primary.
type Promotion struct {
	Group    string
	Term     uint64
	Stage    Stage
	Promises []Promise
	Chosen   string
	Due      time.Duration
	Timeline Timeline
	Attempts int
	Lease    Lease
	// StepDownRequested is set once the old primary was asked to step down. The attempt is then no longer abandoned when the
	// suspicion is cleared.
	StepDownRequested bool
}

// Promise is one server's promise to refuse terms below the promotion's.
type Promise struct {
	Server   string
	Position session.Position
}

// Timeline holds the times at which the steps of a failover occurred, counted from the start of the node.
type Timeline struct {
	// FirstMiss is the old primary's FirstMissAt, or the time of detection if none of its probes failed.
	FirstMiss time.Duration
	Detected  time.Duration
	Fenced    time.Duration
	Ordered   time.Duration
	Opened    time.Duration
}

// WithPromise returns the row with one more promise; a server's second promise replaces its first.
func (p Promotion) WithPromise(v Promise) Promotion {
	ps := slices.DeleteFunc(slices.Clone(p.Promises), func(o Promise) bool { return o.Server == v.Server })
	p.Promises = append(ps, v)
	return p
}

// WithoutPromise returns the row without a server's promise.
func (p Promotion) WithoutPromise(server string) Promotion {
	p.Promises = slices.DeleteFunc(slices.Clone(p.Promises), func(o Promise) bool { return o.Server == server })
	return p
}

// WithStage returns the row in another stage, which ends at due.
func (p Promotion) WithStage(s Stage, due time.Duration) Promotion {
	p.Stage = s
	p.Due = due
	return p
}

// WithFence returns the row fenced at now, in the stage that waits until leadership evidence of the old primary has expired.
func (p Promotion) WithFence(now, ttl time.Duration) Promotion {
	p.Timeline.Fenced = now
	return p.WithStage(StageWaiting, now+ttl)
}

// WithChosen returns the row with the server to be promoted.
func (p Promotion) WithChosen(server string) Promotion {
	p.Chosen = server
	return p
}

// WithTimeline returns the row with another timeline.
func (p Promotion) WithTimeline(t Timeline) Promotion {
	p.Timeline = t
	return p
}

// WithRetry returns the row waiting until due before its next attempt, which uses a higher term.
func (p Promotion) WithRetry(due time.Duration) Promotion {
	p.Stage = StageBackoff
	p.Due = due
	p.Promises = nil
	p.Chosen = ""
	p.Attempts++
	return p
}

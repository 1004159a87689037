package platform

import (
	"fmt"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/table"
)

const (
	// FlushInterval is how long records are collected before they are written as one object.
	FlushInterval = 2 * time.Second
	// FlushIntervalPerNode times the number of nodes is the interval in a larger fleet, so that the rate of objects stays bounded.
	FlushIntervalPerNode = 20 * time.Millisecond
	// FlushThreshold is the number of pending records that are written without waiting for the interval.
	FlushThreshold = 500
	// MaxPendingRecords bounds the records that are kept in memory during an outage of the store.
	MaxPendingRecords = 5000

	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// Outbox keeps a node's audit records until the object store has confirmed them. In a long outage it drops the oldest records, and
// writes a gap record with their number.
type Outbox struct {
	node            string
	incarnation     uint64
	seq             uint64
	pending         []operator.Record
	sending         *batch
	oldestAt        time.Duration
	unreportedDrops uint64
	backoff         time.Duration
	retryAt         time.Duration
	jitter          func(limit time.Duration) time.Duration
	written         uint64
	totalDropped    uint64
	attempts        uint64
	interval        time.Duration
}

// batch holds the records of one object. Retries send the same name and content, so that a write whose answer was lost is
// harmless.
type batch struct {
	name    string
	records []operator.Record
}

// Option configures an Outbox.
type Option func(*Outbox) error

// WithJitter sets the source of random delays below a limit. By default the delay is half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(o *Outbox) error {
		o.jitter = f
		return nil
	}
}

// NewOutbox returns the outbox of a node. The incarnation distinguishes this start of the node from others in object names. The
// error is that of an option.
func NewOutbox(node string, incarnation uint64, opts ...Option) (*Outbox, error) {
	o := &Outbox{
		node: node, incarnation: incarnation, retryAt: table.Never, interval: FlushInterval,
		jitter: func(limit time.Duration) time.Duration { return limit / 2 },
	}
	for _, f := range opts {
		if err := f(o); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// Event is an input of an Outbox.
type Event interface{ platformEvent() }

// RecordAdded reports a new audit record.
type RecordAdded struct {
	Record operator.Record
}

// ObjectStored reports that the store confirmed an object.
type ObjectStored struct {
	Name string
}

// ObjectUnconfirmed reports that the store did not confirm an object. The object may still have been stored.
type ObjectUnconfirmed struct {
	Name string
}

// FleetSizeChanged reports the number of nodes that write to the same store.
type FleetSizeChanged struct {
	Nodes int
}

func (FleetSizeChanged) platformEvent()  {}
func (RecordAdded) platformEvent()       {}
func (ObjectStored) platformEvent()      {}
func (ObjectUnconfirmed) platformEvent() {}

// PutRecords writes records as one object.
type PutRecords struct {
	Name    string
	Records []operator.Record
}

// Counts counts the records since the outbox was created, by state, and the attempts to write an object.
type Counts struct {
	Written  uint64 `json:"written"`
	Waiting  uint64 `json:"waiting"`
	Dropped  uint64 `json:"dropped"`
	Attempts uint64 `json:"attempts"`
}

// Counts returns the counts since the outbox was created.
func (o *Outbox) Counts() Counts {
	n := uint64(len(o.pending))
	if o.sending != nil {
		n += uint64(len(o.sending.records))
	}
	return Counts{Written: o.written, Waiting: n, Dropped: o.totalDropped, Attempts: o.attempts}
}

// Step applies the events since the last step. It returns the objects to write, and the time by which Step must be called again.
func (o *Outbox) Step(now time.Duration, es []Event) ([]PutRecords, time.Duration) {
	for _, e := range es {
		o.apply(now, e)
	}
	var out []PutRecords
	if p, ok := o.next(now); ok {
		out = append(out, p)
	}
	return out, o.nextWake()
}

func (o *Outbox) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case RecordAdded:
		o.addRecord(now, e.Record)
	case FleetSizeChanged:
		o.interval = max(FlushInterval, time.Duration(e.Nodes)*FlushIntervalPerNode)
	case ObjectStored:
		if o.sending != nil && o.sending.name == e.Name {
			o.written += uint64(len(o.sending.records))
			o.sending = nil
			o.backoff = 0
			o.retryAt = table.Never
		}
	case ObjectUnconfirmed:
		if o.sending != nil && o.sending.name == e.Name {
			o.backoff = min(maxBackoff, max(minBackoff, 2*o.backoff))
			o.retryAt = now + o.backoff/2 + o.jitter(o.backoff/2)
		}
	}
}

func (o *Outbox) addRecord(now time.Duration, r operator.Record) {
	if len(o.pending) == 0 {
		o.oldestAt = now
	}
	if len(o.pending) >= MaxPendingRecords {
		o.pending = o.pending[1:]
		o.unreportedDrops++
		o.totalDropped++
	}
	o.pending = append(o.pending, r)
}

// next returns the batch to write or retry now, if there is one.
func (o *Outbox) next(now time.Duration) (PutRecords, bool) {
	switch {
	case o.sending != nil && now >= o.retryAt:
		o.retryAt = table.Never
	case o.sending == nil && o.due(now):
		o.startBatch()
	default:
		return PutRecords{}, false
	}
	o.attempts++
	return PutRecords{Name: o.sending.name, Records: o.sending.records}, true
}

func (o *Outbox) due(now time.Duration) bool {
	return len(o.pending) >= FlushThreshold || len(o.pending) > 0 && now >= o.oldestAt+o.interval
}

// startBatch moves the pending records into a new batch, which starts with a gap record if records were dropped.
func (o *Outbox) startBatch() {
	o.seq++
	b := &batch{name: fmt.Sprintf("audit/%s/%016x-%08d", o.node, o.incarnation, o.seq)}
	if o.unreportedDrops > 0 {
		gap := operator.Record{Kind: operator.KindGap, Node: o.node, Cause: "store_unreachable"}
		b.records = append(b.records, gap.WithEvidence("dropped", fmt.Sprint(o.unreportedDrops)))
		o.unreportedDrops = 0
	}
	b.records = append(b.records, o.pending...)
	o.pending = nil
	o.sending = b
}

func (o *Outbox) nextWake() time.Duration {
	switch {
	case o.sending != nil:
		return o.retryAt
	case len(o.pending) > 0:
		return o.oldestAt + o.interval
	default:
		return table.Never
	}
}

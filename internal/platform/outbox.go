package platform

import (
	"fmt"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/table"
)

const (
	// FlushInterval is how long records are gathered before they are written as one object.
	FlushInterval = 2 * time.Second
	// FlushIntervalPerNode is what each node of the fleet adds to that time, so that a large fleet does not write more objects.
	FlushIntervalPerNode = 20 * time.Millisecond
	// FlushThreshold is the number of records that are written without waiting longer.
	FlushThreshold = 500
	// MaxPendingRecords bounds the records that wait in memory during an outage.
	MaxPendingRecords = 5000

	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
)

// Outbox keeps a node's audit records until the object store has them; it drops the oldest in a long outage, and says so.
type Outbox struct {
	node     string
	life     uint64
	seq      uint64
	waiting  []operator.Record
	sending  *batch
	oldest   time.Duration
	dropped  uint64
	backoff  time.Duration
	retryAt  time.Duration
	jitter   func(limit time.Duration) time.Duration
	written  uint64
	lost     uint64
	attempts uint64
	interval time.Duration
}

// batch is the records of one object; the same name and content are sent until the store has them, so that a lost answer
// does no harm.
type batch struct {
	name    string
	records []operator.Record
}

// Option sets up an Outbox.
type Option func(*Outbox) error

// WithJitter replaces the source of random delays, which by default gives half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(o *Outbox) error {
		o.jitter = f
		return nil
	}
}

// NewOutbox returns the outbox of a node; life tells this life of the node from its others.
func NewOutbox(node string, life uint64, opts ...Option) (*Outbox, error) {
	o := &Outbox{
		node: node, life: life, retryAt: table.Never, interval: FlushInterval,
		jitter: func(limit time.Duration) time.Duration { return limit / 2 },
	}
	for _, f := range opts {
		if err := f(o); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// Event is something that an outbox learned.
type Event interface{ platformEvent() }

// RecordAdded is a new audit record.
type RecordAdded struct {
	Record operator.Record
}

// ObjectStored says that the store has an object.
type ObjectStored struct {
	Name string
}

// ObjectUnconfirmed says that the store did not confirm an object, which it may have all the same.
type ObjectUnconfirmed struct {
	Name string
}

// FleetSizeChanged says how many nodes write to the same store.
type FleetSizeChanged struct {
	Nodes int
}

func (FleetSizeChanged) platformEvent()  {}
func (RecordAdded) platformEvent()       {}
func (ObjectStored) platformEvent()      {}
func (ObjectUnconfirmed) platformEvent() {}

// PutRecords asks for records to be written as one object.
type PutRecords struct {
	Name    string
	Records []operator.Record
}

// Counts are what became of the records so far.
type Counts struct {
	Written  uint64 `json:"written"`
	Waiting  uint64 `json:"waiting"`
	Dropped  uint64 `json:"dropped"`
	Attempts uint64 `json:"attempts"`
}

// Counts returns what became of the records so far.
func (o *Outbox) Counts() Counts {
	n := uint64(len(o.waiting))
	if o.sending != nil {
		n += uint64(len(o.sending.records))
	}
	return Counts{Written: o.written, Waiting: n, Dropped: o.lost, Attempts: o.attempts}
}

// Step takes what happened since the last step and returns what to write, and when to be called again at the latest.
func (o *Outbox) Step(now time.Duration, es []Event) ([]PutRecords, time.Duration) {
	for _, e := range es {
		o.apply(now, e)
	}
	var out []PutRecords
	if p, ok := o.next(now); ok {
		out = append(out, p)
	}
	return out, o.wake()
}

func (o *Outbox) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case RecordAdded:
		o.keep(now, e.Record)
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
			o.backoff = min(maxBackoff, max(firstBackoff, 2*o.backoff))
			o.retryAt = now + o.backoff/2 + o.jitter(o.backoff/2)
		}
	}
}

func (o *Outbox) keep(now time.Duration, r operator.Record) {
	if len(o.waiting) == 0 {
		o.oldest = now
	}
	if len(o.waiting) >= MaxPendingRecords {
		o.waiting = o.waiting[1:]
		o.dropped++
		o.lost++
	}
	o.waiting = append(o.waiting, r)
}

// next returns the batch that is to be written now, if there is one.
func (o *Outbox) next(now time.Duration) (PutRecords, bool) {
	switch {
	case o.sending != nil && now >= o.retryAt:
		o.retryAt = table.Never
	case o.sending == nil && o.due(now):
		o.pack()
	default:
		return PutRecords{}, false
	}
	o.attempts++
	return PutRecords{Name: o.sending.name, Records: o.sending.records}, true
}

func (o *Outbox) due(now time.Duration) bool {
	return len(o.waiting) >= FlushThreshold || len(o.waiting) > 0 && now >= o.oldest+o.interval
}

// pack moves what waits into one batch, headed by a record of what had to be dropped.
func (o *Outbox) pack() {
	o.seq++
	b := &batch{name: fmt.Sprintf("audit/%s/%016x-%08d", o.node, o.life, o.seq)}
	if o.dropped > 0 {
		gap := operator.Record{Kind: operator.KindGap, Node: o.node, Cause: "store_unreachable"}
		b.records = append(b.records, gap.WithEvidence("dropped", fmt.Sprint(o.dropped)))
		o.dropped = 0
	}
	b.records = append(b.records, o.waiting...)
	o.waiting = nil
	o.sending = b
}

func (o *Outbox) wake() time.Duration {
	switch {
	case o.sending != nil:
		return o.retryAt
	case len(o.waiting) > 0:
		return o.oldest + o.interval
	default:
		return table.Never
	}
}

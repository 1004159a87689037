package platform

import (
	"cmp"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// requestTimeout is how long a request to another node may stay unanswered before it is sent to a node that announces the same
	// change again.
	requestTimeout = 700 * time.Millisecond
	// firstReadDelay is how long a node without a copy waits for other nodes before it reads the store.
	firstReadDelay = 500 * time.Millisecond
	// announceInterval is the minimum progress of a confirmation that is passed on.
	announceInterval = 500 * time.Millisecond
	// minReadInterval is the minimum time between two reads of the store.
	minReadInterval = 100 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the exponential back-off after a failed read. Each delay is jittered, so that nodes do
	// not return to the store all at once.
	minReadBackoff = 150 * time.Millisecond
	maxReadBackoff = 800 * time.Millisecond
	// firstRequests is how many nodes a node without a copy asks for one.
	firstRequests = 2
	// maxDeletedRows is the number of deleted rows that a copy keeps in order to report them to other nodes.
	maxDeletedRows = 1000
)

// TableRules say how a table of the store is followed.
type TableRules struct {
	Name string
	// ReadWait is how long a reader's call to the store waits for a change. Its answer confirms that the copy is complete.
	ReadWait time.Duration
	// ConfirmTimeout is the time without a confirmation after which a node reads the store itself.
	ConfirmTimeout time.Duration
	// BatchDelay is the delay of the next read after one that returned changes, which come in bursts.
	BatchDelay time.Duration
}

// Mirror holds this node's copies of tables of the platform's store, and decides where their changes are read. A few nodes of each
// region read the store. They announce each change, and at intervals that there was none, to their successors among the nodes of
// the region, which pass it on. A node that hears nothing reads the store itself.
type Mirror struct {
	copies *table.Table[string, Copy]
	rows   map[string]*table.Table[string, Row]
	// changes holds the last change of each large row.
	changes map[string]map[string]valueChange
	// deleted counts the deleted rows of each table.
	deleted    map[string]int
	sources    SourcesAssigned
	assigned   bool
	jitter     func(limit time.Duration) time.Duration
	actions    []MirrorAction
	changedNow map[string]bool
}

// MirrorOption configures a Mirror.
type MirrorOption func(*Mirror) error

// WithTable makes a Mirror follow a table.
func WithTable(r TableRules) MirrorOption {
	return func(m *Mirror) error {
		m.copies.Put(r.Name, Copy{Rules: r})
		m.rows[r.Name] = table.New[string, Row]()
		m.changes[r.Name] = map[string]valueChange{}
		return nil
	}
}

// WithMirrorJitter sets the source of random delays below a limit. By default the delay is half the limit.
func WithMirrorJitter(f func(limit time.Duration) time.Duration) MirrorOption {
	return func(m *Mirror) error {
		m.jitter = f
		return nil
	}
}

// NewMirror returns a Mirror that reads nothing until its sources are assigned. The error is that of an option.
func NewMirror(opts ...MirrorOption) (*Mirror, error) {
	m := &Mirror{
		copies: table.New[string, Copy](), rows: map[string]*table.Table[string, Row]{}, changes: map[string]map[string]valueChange{},
		deleted: map[string]int{},
		jitter:  func(limit time.Duration) time.Duration { return limit / 2 },
	}
	for _, o := range opts {
		if err := o(m); err != nil {
			return nil, err
		}
	}
	m.copies.TakeDirty()
	return m, nil
}

// Copy returns how far the copy of a table reaches, and whether the table is followed.
func (m *Mirror) Copy(name string) (Copy, bool) {
	return m.copies.Get(name)
}

// Step applies the events since the last step. It returns the resulting actions, and the time by which Step must be called again.
func (m *Mirror) Step(now time.Duration, es []MirrorEvent) ([]MirrorAction, time.Duration) {
	m.actions = nil
	m.changedNow = map[string]bool{}
	for _, e := range es {
		m.apply(now, e)
	}
	m.read(now)
	m.announce(now)
	return m.actions, m.copies.NextDue()
}

func (m *Mirror) apply(now time.Duration, e MirrorEvent) {
	switch e := e.(type) {
	case SourcesAssigned:
		m.assignSources(now, e)
	case RowsRead:
		m.applyRead(now, e)
	case ReadFailed:
		m.applyReadFailure(now, e)
	case MessageReceived:
		m.receive(now, e.From, e.Message)
	}
}

// assignSources applies a change of the readers and successors. A node without a copy asks some of its successors for theirs.
func (m *Mirror) assignSources(now time.Duration, e SourcesAssigned) {
	first := !m.assigned
	becameReader := e.Reader && !m.sources.Reader
	m.sources, m.assigned = e, true
	for _, k := range m.copies.Keys() {
		c, _ := m.copies.Get(k)
		switch {
		case becameReader:
			m.schedule(c.WithReadAt(now))
		case first:
			m.schedule(c.WithReadAt(now + firstReadDelay + m.jitter(firstReadDelay)))
			for _, p := range e.Successors[:min(firstRequests, len(e.Successors))] {
				m.send(p, TableMessage{Kind: TableRequested, Table: k})
			}
		}
	}
}

func (m *Mirror) schedule(c Copy) {
	m.copies.Put(c.Rules.Name, c)
	m.copies.SetDue(c.Rules.Name, c.ReadAt)
}

// read starts the reads of the store that are due.
func (m *Mirror) read(now time.Duration) {
	for _, k := range m.copies.TakeDue(now) {
		c, _ := m.copies.Get(k)
		if c.Reading {
			continue
		}
		m.copies.Put(k, c.WithReading(true))
		if !c.Known {
			m.actions = append(m.actions, ReadTable{Table: k})
			continue
		}
		a := ReadChanges{Table: k, After: c.Version}
		if m.sources.Reader {
			a.Wait = c.Rules.ReadWait
		}
		m.actions = append(m.actions, a)
	}
}

// applyRead applies the store's answer to a read.
func (m *Mirror) applyRead(now time.Duration, e RowsRead) {
	c, ok := m.copies.Get(e.Table)
	if !ok {
		return
	}
	c = c.WithReading(false).WithFailures(0)
	lastChange := c.LastChange
	if e.All {
		lastChange = e.Version
	}
	for _, r := range e.Rows {
		lastChange = max(lastChange, r.Version)
	}
	c, changed := m.update(c, e.Rows, e.All, max(e.Version, lastChange), lastChange)
	c = c.WithConfirmed(now)
	switch {
	case !m.sources.Reader:
		c = m.withNextRead(now, c)
	case changed:
		c = c.WithReadAt(now + c.Rules.BatchDelay)
	default:
		c = c.WithReadAt(max(now, e.SentAt+minReadInterval))
	}
	m.schedule(c)
	if changed {
		m.reportChange(e.Table, e.Rows, e.All, SourceStore, e.Transfer)
	}
}

// withNextRead returns the row of a copy with the time at which a node that is no reader reads the store unless the copy is
// confirmed before.
func (m *Mirror) withNextRead(now time.Duration, c Copy) Copy {
	return c.WithReadAt(max(now, c.ConfirmedAt+c.Rules.ConfirmTimeout) + m.jitter(c.Rules.ConfirmTimeout/4))
}

func (m *Mirror) applyReadFailure(now time.Duration, e ReadFailed) {
	c, ok := m.copies.Get(e.Table)
	if !ok {
		return
	}
	c = c.WithReading(false)
	if e.HistoryGone {
		m.schedule(c.WithKnown(false).WithReadAt(now))
		return
	}
	delay := min(minReadBackoff<<min(c.Failures, 8), maxReadBackoff)
	m.schedule(c.WithFailures(c.Failures + 1).WithReadAt(now + delay/2 + m.jitter(delay/2)))
}

// update applies rows to a copy: the whole table if all is set, and changes otherwise. The copy is then complete up to version. It
// reports whether the table changed, and returns the copy unchanged if it is as new already.
func (m *Mirror) update(c Copy, rs []Row, all bool, version, lastChange uint64) (Copy, bool) {
	if c.Known && version < c.Version {
		return c, false
	}
	rows := m.rows[c.Rules.Name]
	changed := !c.Known
	listed := map[string]bool{}
	for _, r := range rs {
		listed[r.Key] = true
		if old, ok := rows.Get(r.Key); !ok || old.Version < r.Version {
			changed = true
			m.put(c.Rules.Name, old, r)
		}
	}
	if all {
		for _, k := range rows.Keys() {
			if !listed[k] {
				changed = true
				rows.Delete(k)
			}
		}
		m.deleted[c.Rules.Name] = 0
		c = c.WithHistoryFrom(version)
	}
	rows.TakeDirty()
	c = m.dropDeleted(c.WithKnown(true).WithVersion(version, max(c.LastChange, lastChange)))
	m.changedNow[c.Rules.Name] = m.changedNow[c.Rules.Name] || changed
	return c, changed
}

func (m *Mirror) put(name string, old, r Row) {
	m.rows[name].Put(r.Key, r)
	switch {
	case r.Deleted && !old.Deleted:
		m.deleted[name]++
	case !r.Deleted && old.Deleted:
		m.deleted[name]--
	}
	delete(m.changes[name], r.Key)
	if len(old.Value) >= minDeltaBytes && len(r.Value) >= minDeltaBytes {
		m.changes[name][r.Key] = valueChange{from: old, to: r}
	}
}

// dropDeleted forgets the older half of the deleted rows if there are more than maxDeletedRows. Nodes whose copies are older then
// need the whole table.
func (m *Mirror) dropDeleted(c Copy) Copy {
	rows := m.rows[c.Rules.Name]
	if m.deleted[c.Rules.Name] <= maxDeletedRows {
		return c
	}
	var deleted []Row
	for _, k := range rows.Keys() {
		if r, _ := rows.Get(k); r.Deleted {
			deleted = append(deleted, r)
		}
	}
	slices.SortFunc(deleted, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range deleted[:len(deleted)-maxDeletedRows/2] {
		rows.Delete(r.Key)
		m.deleted[c.Rules.Name]--
		c = c.WithHistoryFrom(max(c.HistoryFrom, r.Version))
	}
	return c
}

func (m *Mirror) reportChange(name string, rs []Row, all bool, source string, transfer time.Duration) {
	m.actions = append(m.actions, TableChanged{Table: name, Rows: rs, All: all, Source: source, Transfer: transfer})
}

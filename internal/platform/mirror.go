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
	// firstReadDelayPerNode and maxFirstReadDelay bound how long a node without a copy waits for other nodes before it reads the
	// store. In a small region a few more calls cost less than the wait.
	firstReadDelayPerNode = 20 * time.Millisecond
	maxFirstReadDelay     = 500 * time.Millisecond
	// announceInterval is the minimum progress of a confirmation that is passed on.
	announceInterval = 500 * time.Millisecond
	// minReadInterval is the minimum time between two reads of the store.
	minReadInterval = 100 * time.Millisecond
	// maxBurstDoublings bounds the growth of the delay between the reads of a burst.
	maxBurstDoublings = 8
	// minReadBackoff and maxReadBackoff bound the exponential back-off after a failed read. Each delay is jittered, so that nodes do
	// not return to the store all at once.
	minReadBackoff = 150 * time.Millisecond
	maxReadBackoff = 800 * time.Millisecond
	// followerBackoffPerNode and maxFollowerBackoff bound the delay after a failed read of a node that is neither reader nor
	// substitute.
	followerBackoffPerNode = 20 * time.Millisecond
	maxFollowerBackoff     = 3 * time.Second
	// firstRequests is how many nodes a node without a copy asks for one.
	firstRequests = 2
	// maxArrivalWait is how long after its last confirmation a node that is neither reader nor substitute waits for a change that is
	// on its way.
	maxArrivalWait = 10 * time.Second
	// followerPatience is how many times longer than a substitute another node waits for a confirmation.
	followerPatience = 1.5
	// maxDeletedRows is the number of deleted rows that a copy keeps in order to report them to other nodes.
	maxDeletedRows = 1000
)

// TableRules say how a table of the store is followed.
type TableRules struct {
	Name string
	// ReadWait is how long a reader's call to the store waits for a change. Its answer confirms that the copy is complete.
	ReadWait time.Duration
	// ConfirmTimeout is the time without a confirmation after which a substitute reads the store itself. Other nodes wait for
	// followerPatience times as long, so that a slow change is not read by all of them.
	ConfirmTimeout time.Duration
	// BatchDelay is the longest delay of the next read after one that returned changes, which come in bursts. A burst ends with a
	// read that waited for as long, or that returned none.
	BatchDelay time.Duration
	// CompareAge, if not nil, compares the ages of two values of a row by their writer's own numbering: a negative result means that
	// a was written before b, zero that this is unknown or that they are equally old. Where the store has lost a later value, the
	// copy keeps it until the writer writes the row again.
	CompareAge func(a, b []byte) int
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
	case ReadProgressed:
		if c, ok := m.copies.Get(e.Table); ok {
			m.passArriving(now, c, now)
		}
	case MessageReceived:
		m.receive(now, e.From, e.Message)
	}
}

// assignSources applies a change of the readers and successors. A node that starts asks some of its successors for their copies,
// also if it reads the store itself: they may hold what the store has lost. At its start a substitute reads the store at once: the
// readers may have started later.
func (m *Mirror) assignSources(now time.Duration, e SourcesAssigned) {
	first := !m.assigned
	becameReader := e.Reader && !m.sources.Reader
	delay := min(time.Duration(e.Nodes)*firstReadDelayPerNode, maxFirstReadDelay)
	m.sources, m.assigned = e, true
	for _, k := range m.copies.Keys() {
		c, _ := m.copies.Get(k)
		switch {
		case becameReader, first && e.Substitute:
			m.schedule(c.WithReadAt(now))
		case first:
			m.schedule(c.WithReadAt(now + delay + m.jitter(delay)))
		}
		if !first {
			continue
		}
		for _, p := range e.Successors[:min(firstRequests, len(e.Successors))] {
			m.send(p, TableMessage{Kind: TableRequested, Table: k})
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

// applyRead applies the store's answer to a read. In a new era of the store, its changes after a version of an earlier era mean
// nothing, and the whole table is read.
func (m *Mirror) applyRead(now time.Duration, e RowsRead) {
	c, ok := m.copies.Get(e.Table)
	if !ok {
		return
	}
	c = c.WithReading(false).WithFailures(0)
	if !e.All {
		c = c.WithHistoryLosses(0)
	}
	switch {
	case e.Era < c.Era:
		m.schedule(c.WithReadAt(now + minReadInterval))
		return
	case e.Era > c.Era && !e.All:
		m.schedule(c.WithKnown(false).WithReadAt(now))
		return
	}
	lastChange := c.LastChange
	if e.All {
		lastChange = e.Version
	}
	for _, r := range e.Rows {
		lastChange = max(lastChange, r.Version)
	}
	c, changed := m.update(c, change{
		rows: e.Rows, all: e.All, era: e.Era, version: max(e.Version, lastChange), lastChange: lastChange, source: SourceStore,
		transfer: e.Transfer,
	})
	c = c.WithConfirmed(now)
	switch {
	case !m.sources.Reader:
		c = m.withReadPostponed(c.WithReadAt(now + minReadInterval))
	case changed:
		if now-e.SentAt >= c.Rules.BatchDelay {
			c = c.WithBurstReads(0)
		}
		c = c.WithReadAt(now + c.batchDelay()).WithBurstReads(c.BurstReads + 1)
	default:
		c = c.WithReadAt(max(now, e.SentAt+minReadInterval)).WithBurstReads(0)
	}
	m.schedule(c)
}

// withReadPostponed returns the row of a copy with the time at which a node that is no reader reads the store unless the copy is
// confirmed before. While a change is on its way to another node, it waits longer, substitutes a little and all others up to
// maxArrivalWait: more copies would hold each other up.
func (m *Mirror) withReadPostponed(c Copy) Copy {
	followerTimeout := time.Duration(followerPatience * float64(c.Rules.ConfirmTimeout))
	timeout, limit := followerTimeout, maxArrivalWait
	if m.sources.Substitute {
		timeout, limit = c.Rules.ConfirmTimeout, followerTimeout
	}
	at := max(c.ConfirmedAt+timeout, min(c.ArrivingAt+timeout, c.ConfirmedAt+limit))
	return c.WithReadAt(max(c.ReadAt, at+m.jitter(c.Rules.ConfirmTimeout/4)))
}

func (m *Mirror) applyReadFailure(now time.Duration, e ReadFailed) {
	c, ok := m.copies.Get(e.Table)
	if !ok {
		return
	}
	c = c.WithReading(false)
	switch {
	case e.HistoryGone && c.HistoryLosses == 0:
		m.schedule(c.WithKnown(false).WithHistoryLosses(1).WithReadAt(now))
	case e.HistoryGone:
		// While the store keeps losing its history, each change is read as a whole table.
		m.schedule(c.WithKnown(false).WithHistoryLosses(c.HistoryLosses + 1).WithReadAt(now + m.backoff(c.HistoryLosses)))
	default:
		m.schedule(c.WithFailures(c.Failures + 1).WithReadAt(now + m.backoff(c.Failures)))
	}
}

// backoff returns a random delay that grows with the number of failures. A node that is neither reader nor substitute waits the
// longer the more nodes its region has: the readers find out when the store is back.
func (m *Mirror) backoff(failures int) time.Duration {
	delay := min(minReadBackoff<<min(failures, 8), maxReadBackoff)
	if !m.sources.Reader && !m.sources.Substitute {
		delay = max(delay, min(time.Duration(m.sources.Nodes)*followerBackoffPerNode, maxFollowerBackoff))
	}
	return delay/2 + m.jitter(delay/2)
}

// change is a change of a copy: the whole table as of a version if all is set, and the changed rows up to that version otherwise.
type change struct {
	rows       []Row
	all        bool
	era        uint64
	version    uint64
	lastChange uint64
	// restored is set for the first change of a copy after the store came back from a copy.
	restored bool
	source   string
	transfer time.Duration
}

// update applies a change to a copy and reports whether the table changed. A copy that is as new already stays as it is, except for
// rows of which the store has lost a later value.
func (m *Mirror) update(c Copy, v change) (Copy, bool) {
	stale := c.Known && (v.era < c.Era || v.era == c.Era && v.version < c.Version)
	newEra := v.era != c.Era
	v.restored = newEra && c.Era != 0
	rows := m.rows[c.Rules.Name]
	changed := !c.Known
	listed := map[string]bool{}
	var applied []Row
	for _, r := range v.rows {
		listed[r.Key] = true
		old, ok := rows.Get(r.Key)
		switch {
		case stale && (newEra || !ok || r.Version > old.Version), !newEra && ok && !c.Rules.replaces(r, old):
			continue
		case newEra && ok:
			r = c.Rules.latest(r, old)
		}
		changed = true
		m.put(c.Rules.Name, old, r)
		applied = append(applied, r)
	}
	if stale {
		m.reportChange(c, false, applied, v)
		return c, changed
	}
	if newEra {
		clear(m.changes[c.Rules.Name])
	}
	if v.all {
		changed = m.deleteUnlisted(c, listed, v.version) || changed
		c = c.WithHistoryFrom(v.version)
		applied = m.listRows(c.Rules.Name)
	}
	rows.TakeDirty()
	lastChange := v.lastChange
	if !newEra {
		lastChange = max(lastChange, c.LastChange)
	}
	c = m.dropDeleted(c.WithKnown(true).WithEra(v.era).WithVersion(v.version, lastChange))
	if changed {
		m.reportChange(c, v.all, applied, v)
	}
	return c, changed
}

// deleteUnlisted marks the rows that a whole table lacks as deleted, and reports whether there are any.
func (m *Mirror) deleteUnlisted(c Copy, listed map[string]bool, version uint64) bool {
	rows := m.rows[c.Rules.Name]
	found := false
	for _, k := range rows.Keys() {
		if old, _ := rows.Get(k); !listed[k] && !old.Deleted {
			found = true
			m.put(c.Rules.Name, old, Row{Key: k, Version: version, Deleted: true})
		}
	}
	return found
}

// listRows returns all rows of a table that are not deleted.
func (m *Mirror) listRows(name string) []Row {
	var out []Row
	for _, k := range m.rows[name].Keys() {
		if r, _ := m.rows[name].Get(k); !r.Deleted {
			out = append(out, r)
		}
	}
	return out
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

// reportChange reports rows of a copy that have changed, or all its rows if all is set.
func (m *Mirror) reportChange(c Copy, all bool, rs []Row, v change) {
	if !all && len(rs) == 0 {
		return
	}
	m.changedNow[c.Rules.Name] = true
	m.actions = append(m.actions, TableChanged{
		Table: c.Rules.Name, Era: v.era, Rows: rs, All: all, Restored: v.restored, Source: v.source, Transfer: v.transfer,
	})
}

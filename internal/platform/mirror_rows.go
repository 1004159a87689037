package platform

import (
	"slices"
	"time"
)

// SourceStore is the source of a change that this node read from the store itself.
const SourceStore = "store"

// Row is a row of a table in the platform's store. Version is the store's version of its last change. A deleted row has no value.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
	// Delta is set in a message if Value is the difference to the value that the receiver has.
	Delta bool
}

// replaces reports whether a row replaces another of the same era: it is of a later version of the store, or of the same one and
// holds a later value, which the store has lost.
func (t TableRules) replaces(r, old Row) bool {
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return t.CompareAge != nil && !r.Deleted && !old.Deleted && t.CompareAge(r.Value, old.Value) > 0
}

// latest returns a row that was read in a new era of the store, with the remembered value if that is a later one, which the store
// has lost.
func (t TableRules) latest(r, remembered Row) Row {
	if t.CompareAge != nil && !r.Deleted && !remembered.Deleted && t.CompareAge(r.Value, remembered.Value) < 0 {
		r.Value = remembered.Value
	}
	return r
}

// valueChange is the change of a large row's value. delta is the row in its shortest form for a copy that has the row from, and has
// no key before it is first needed.
type valueChange struct {
	from, to, delta Row
}

// WithDelta returns the change with its shortest form.
func (v valueChange) WithDelta() valueChange {
	if v.delta.Key != "" {
		return v
	}
	v.delta = v.to
	if d := encodeDelta(v.from.Value, v.to.Value); len(d) < len(v.to.Value) {
		v.delta.Value, v.delta.Delta = d, true
	}
	return v
}

// WithoutDelta returns the row with its whole value. The error reports that the difference is to another value than that of old.
func (r Row) WithoutDelta(old Row) (Row, error) {
	if !r.Delta {
		return r, nil
	}
	v, err := decodeDelta(old.Value, r.Value)
	r.Value, r.Delta = v, false
	return r, err
}

// Copy is the row of a followed table: how far this node's copy of the table reaches.
type Copy struct {
	Rules TableRules
	// Known is set once this node has a copy of the whole table in the era Era of the store; versions of different eras can't be
	// compared. The copy holds all changes up to Version, a version of the whole store. LastChange is the version of the latest change
	// of the table: every copy with at least this version is complete.
	Known      bool
	Era        uint64
	Version    uint64
	LastChange uint64
	// HistoryFrom is the version after which the copy also knows the rows that were deleted.
	HistoryFrom uint64
	// ConfirmedAt is the latest time at which the copy is known to have been complete. AnnouncedAt is the value of ConfirmedAt that
	// was last passed on.
	ConfirmedAt time.Duration
	AnnouncedAt time.Duration
	// ArrivingAt is the latest time at which a change is known to have been on its way from the store to a node of the region.
	ArrivingAt time.Duration
	// Reading is set while a read of the store is under way. ReadAt is when the next one begins. Failures counts the failed reads
	// since the last successful one.
	Reading  bool
	ReadAt   time.Duration
	Failures int
	// HistoryLosses counts the reads of changes that the store no longer had, since one that it had.
	HistoryLosses int
	// BurstReads counts the reads of the current burst that have returned changes.
	BurstReads int
	// RequestedAt is when another node was asked for changes, zero if it has answered. Waiting are the nodes that have asked this
	// one before it had a copy.
	RequestedAt time.Duration
	Waiting     []string
}

// WithKnown returns the row with another value of Known. A copy that becomes known has no more nodes waiting for it once it is
// announced.
func (c Copy) WithKnown(known bool) Copy {
	c.Known = known
	return c
}

// WithEra returns the row in another era of the store.
func (c Copy) WithEra(era uint64) Copy {
	c.Era = era
	return c
}

// WithVersion returns the row of a copy that is complete up to a version and holds a latest change.
func (c Copy) WithVersion(version, lastChange uint64) Copy {
	c.Version, c.LastChange = version, lastChange
	return c
}

// WithHistoryFrom returns the row with another version after which deleted rows are known.
func (c Copy) WithHistoryFrom(version uint64) Copy {
	c.HistoryFrom = version
	return c
}

// WithConfirmed returns the row of a copy that was complete at the given time.
func (c Copy) WithConfirmed(at time.Duration) Copy {
	c.ConfirmedAt = max(c.ConfirmedAt, at)
	return c
}

// WithArriving returns the row of a copy of which a change was on its way at the given time.
func (c Copy) WithArriving(at time.Duration) Copy {
	c.ArrivingAt = max(c.ArrivingAt, at)
	return c
}

// WithAnnounced returns the row after a confirmation was passed on to the successors and the nodes that waited.
func (c Copy) WithAnnounced(at time.Duration) Copy {
	c.AnnouncedAt = at
	c.Waiting = nil
	return c
}

// WithReading returns the row with or without a read under way.
func (c Copy) WithReading(reading bool) Copy {
	c.Reading = reading
	return c
}

// WithReadAt returns the row with the time of the next read.
func (c Copy) WithReadAt(at time.Duration) Copy {
	c.ReadAt = at
	return c
}

// WithFailures returns the row with the number of failed reads.
func (c Copy) WithFailures(n int) Copy {
	c.Failures = n
	return c
}

// WithHistoryLosses returns the row with the number of reads of changes that the store no longer had.
func (c Copy) WithHistoryLosses(n int) Copy {
	c.HistoryLosses = n
	return c
}

// WithBurstReads returns the row with the number of reads of the current burst.
func (c Copy) WithBurstReads(n int) Copy {
	c.BurstReads = n
	return c
}

// batchDelay returns the time until the next read after one that returned changes. It doubles with each read of a burst, so that
// the first changes are known at once.
func (c Copy) batchDelay() time.Duration {
	return min(minReadInterval<<min(c.BurstReads, maxBurstDoublings), c.Rules.BatchDelay)
}

// WithRequest returns the row with the time of the unanswered request to another node, zero for none.
func (c Copy) WithRequest(at time.Duration) Copy {
	c.RequestedAt = at
	return c
}

// WithWaiting returns the row with one more node that waits for the copy.
func (c Copy) WithWaiting(node string) Copy {
	if !slices.Contains(c.Waiting, node) {
		c.Waiting = append(slices.Clone(c.Waiting), node)
	}
	return c
}

// TableMessageKind is the kind of a TableMessage.
type TableMessageKind uint8

// The kinds of messages about a table.
const (
	// TableAnnounced says how far the sender's copy reaches.
	TableAnnounced TableMessageKind = iota
	// TableRequested asks for the changes after a version, or for the whole table if it is zero.
	TableRequested
	// TableSent holds the changes after a version, or the whole table.
	TableSent
	// TableArriving says that a change is on its way from the store, which takes long.
	TableArriving
)

// TableMessage is a message between two nodes about their copies of a table.
type TableMessage struct {
	Kind  TableMessageKind
	Table string
	// Era is the era of the store to which the versions of the message belong.
	Era        uint64
	Version    uint64
	LastChange uint64
	// Age is how long ago the sender's copy is known to have been complete, or the change to have been on its way.
	Age   time.Duration
	After uint64
	All   bool
	Rows  []Row
}

// MirrorEvent is an input of a Mirror.
type MirrorEvent interface{ mirrorEvent() }

// SourcesAssigned reports whether this node reads the store for others, or is among the first to do so when the readers are lost,
// and the nodes to which it passes changes on. Nodes is the number of nodes of the region.
type SourcesAssigned struct {
	Reader     bool
	Substitute bool
	Successors []string
	Nodes      int
}

// RowsRead is the store's answer to a read that was sent at SentAt: the whole table if All is set, and its changes otherwise.
type RowsRead struct {
	Table    string
	Rows     []Row
	Era      uint64
	Version  uint64
	All      bool
	SentAt   time.Duration
	Transfer time.Duration
}

// ReadProgressed reports that a part of the store's answer to a read has arrived.
type ReadProgressed struct {
	Table string
}

// ReadFailed reports a read without an answer. HistoryGone is set if the store no longer has the changes that were asked for.
type ReadFailed struct {
	Table       string
	HistoryGone bool
}

// MessageReceived reports a message from another node.
type MessageReceived struct {
	From    string
	Message TableMessage
}

func (SourcesAssigned) mirrorEvent() {}
func (RowsRead) mirrorEvent()        {}
func (ReadFailed) mirrorEvent()      {}
func (ReadProgressed) mirrorEvent()  {}
func (MessageReceived) mirrorEvent() {}

// MirrorAction is an output of a Mirror.
type MirrorAction interface{ mirrorAction() }

// ReadTable reads a whole table from the store.
type ReadTable struct {
	Table string
}

// ReadChanges reads the changes of a table after a version from the store, which waits for one if there is none.
type ReadChanges struct {
	Table string
	After uint64
	Wait  time.Duration
}

// SendTable sends a message to another node. Delivery is not guaranteed.
type SendTable struct {
	To      string
	Message TableMessage
}

// TableChanged reports changed rows, or all rows of the table if All is set. Restored is set for the first rows after the store
// came back from a copy: they may be older than what was known before. Source is SourceStore or the node that sent them, and
// Transfer how long they took to arrive.
type TableChanged struct {
	Table    string
	Era      uint64
	Rows     []Row
	All      bool
	Restored bool
	Source   string
	Transfer time.Duration
}

func (ReadTable) mirrorAction()    {}
func (ReadChanges) mirrorAction()  {}
func (SendTable) mirrorAction()    {}
func (TableChanged) mirrorAction() {}

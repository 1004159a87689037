package platform

import (
	"cmp"
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// RemovalGrace is how long an entry may be missing from the list before its server counts as removed. Entries that expired during
	// an outage of the store are back about two seconds after its end.
	RemovalGrace = 2500 * time.Millisecond
	// RestoredGrace is how long a server stays as it was known before a restore of the store whose copy holds an older entry. A server
	// that lives writes again in that time, and the entry of one that is gone expires.
	RestoredGrace = 6 * time.Second
	// removedTTL is how long the entry of a removed server is remembered. It is longer than the span that a restore may lose.
	removedTTL = time.Minute
)

// Entry is a server's entry in the platform's list of servers. It is also the row of the Directory.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	Leaving bool
	// Incarnation distinguishes successive servers with the same ID.
	Incarnation int64
	// Seq is the server's own number of the entry, which rises with each that it writes.
	Seq int64
	// Slots is the number of statements that the server can run at the same time.
	Slots int
	// MissingSince is when the entry disappeared from the list, zero while it is listed.
	MissingSince time.Duration
}

// before reports whether the server wrote an entry before another one.
func (e Entry) before(o Entry) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, o.Incarnation), cmp.Compare(e.Seq, o.Seq)) < 0
}

// WithSeq returns the row with another number.
func (e Entry) WithSeq(seq int64) Entry {
	e.Seq = seq
	return e
}

// WithMissingSince returns the row of an entry that has been missing since the given time, or is listed if it is zero.
func (e Entry) WithMissingSince(since time.Duration) Entry {
	e.MissingSince = since
	return e
}

// DirectoryEvent is an input of a Directory: a change of the platform's list of servers.
type DirectoryEvent interface{ directoryEvent() }

// EntryWritten reports that an entry was added or updated.
type EntryWritten struct {
	Entry Entry
}

// EntryRemoved reports that an entry was removed from the list.
type EntryRemoved struct {
	ID string
}

// ListRead reports a snapshot of the whole list. Entries that are not in it have been removed. Restored is set for the first list
// after the store came back from a copy, whose entries may be older than what is known.
type ListRead struct {
	Entries  []Entry
	Restored bool
}

func (EntryWritten) directoryEvent() {}
func (EntryRemoved) directoryEvent() {}
func (ListRead) directoryEvent()     {}

// ServerChange reports that a server was added, changed or removed. A missing server is removed after RemovalGrace, or when
// another server takes its address.
type ServerChange struct {
	Entry   Entry
	Removed bool
}

// Directory holds the table of the servers that the platform lists. An entry counts as missing only after an event that reports it,
// so no server is removed because the store does not answer.
type Directory struct {
	entries *table.Table[string, Entry]
	// removed holds the last entries of servers that were removed.
	removed *table.Table[string, Entry]
	// held holds the entries of a restored list that are older than what is known of their servers. An entry counts when it is due,
	// unless its server writes again or it disappears before.
	held    *table.Table[string, Entry]
	changes []ServerChange
}

// NewDirectory returns a directory without entries.
func NewDirectory() *Directory {
	return &Directory{
		entries: table.New[string, Entry](), removed: table.New[string, Entry](), held: table.New[string, Entry](),
	}
}

// Step applies events about the list. It returns the changes of servers, and the time by which Step must be called again.
func (d *Directory) Step(now time.Duration, es []DirectoryEvent) ([]ServerChange, time.Duration) {
	d.changes = nil
	for _, e := range es {
		switch e := e.(type) {
		case EntryWritten:
			d.update(now, e.Entry)
		case EntryRemoved:
			d.markMissing(now, e.ID)
		case ListRead:
			d.readList(now, e)
		}
	}
	for _, k := range d.held.TakeDue(now) {
		e, _ := d.held.Get(k)
		d.update(now, e)
	}
	for _, k := range d.entries.TakeDue(now) {
		if e, _ := d.entries.Get(k); e.MissingSince != 0 {
			d.remove(now, e)
		}
	}
	for _, k := range d.removed.TakeDue(now) {
		d.removed.Delete(k)
	}
	d.entries.TakeDirty()
	d.removed.TakeDirty()
	d.held.TakeDirty()
	return d.changes, min(d.entries.NextDue(), d.removed.NextDue(), d.held.NextDue())
}

// Len returns the number of servers that are not removed, missing ones included.
func (d *Directory) Len() int {
	return d.entries.Len()
}

func (d *Directory) update(now time.Duration, e Entry) {
	old, known := d.entries.Get(e.ID)
	d.held.Delete(e.ID)
	d.removed.Delete(e.ID)
	d.entries.Put(e.ID, e)
	d.entries.SetDue(e.ID, table.Never)
	if known && old.WithMissingSince(0).WithSeq(e.Seq) == e {
		return
	}
	d.removeReplaced(now, e)
	d.changes = append(d.changes, ServerChange{Entry: e})
}

// removeReplaced removes missing servers whose address another server now has. It does not wait for RemovalGrace, because such a
// server is lost together with its data.
func (d *Directory) removeReplaced(now time.Duration, e Entry) {
	for _, k := range d.entries.Keys() {
		if o, _ := d.entries.Get(k); o.ID != e.ID && o.Address == e.Address && o.MissingSince != 0 {
			d.remove(now, o)
		}
	}
}

func (d *Directory) markMissing(now time.Duration, id string) {
	d.held.Delete(id)
	if e, ok := d.entries.Get(id); ok && e.MissingSince == 0 {
		d.entries.Put(id, e.WithMissingSince(max(now, 1)))
		d.entries.SetDue(id, now+RemovalGrace)
	}
}

func (d *Directory) readList(now time.Duration, l ListRead) {
	listed := map[string]bool{}
	for _, e := range l.Entries {
		listed[e.ID] = true
		if l.Restored && d.isOutdated(e) {
			d.held.Put(e.ID, e)
			d.held.SetDue(e.ID, now+RestoredGrace)
		} else if h, waits := d.held.Get(e.ID); !waits || h != e {
			d.update(now, e)
		}
	}
	for _, k := range d.entries.Keys() {
		if !listed[k] {
			d.markMissing(now, k)
		}
	}
}

// isOutdated reports whether an entry of a restored list is older than what is known of its server: a later entry, or its removal.
func (d *Directory) isOutdated(e Entry) bool {
	if old, known := d.entries.Get(e.ID); known {
		return e.before(old)
	}
	old, removed := d.removed.Get(e.ID)
	return removed && !old.before(e)
}

func (d *Directory) remove(now time.Duration, e Entry) {
	d.entries.Delete(e.ID)
	d.removed.Put(e.ID, e)
	d.removed.SetDue(e.ID, now+removedTTL)
	d.changes = append(d.changes, ServerChange{Entry: e, Removed: true})
}

package platform

import (
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// RemovalGrace is how long an entry may be missing from the list before its server counts as removed. Entries that expired during
	// an outage of the store are back about two seconds after its end.
	RemovalGrace = 2500 * time.Millisecond
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
	// Slots is the number of statements that the server can run at the same time.
	Slots int
	// MissingSince is when the entry disappeared from the list, zero while it is listed.
	MissingSince time.Duration
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

// ListRead reports a snapshot of the whole list. Entries that are not in it have been removed.
type ListRead struct {
	Entries []Entry
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
	changes []ServerChange
}

// NewDirectory returns a directory without entries.
func NewDirectory() *Directory {
	return &Directory{entries: table.New[string, Entry]()}
}

// Step applies events about the list. It returns the changes of servers, and the time by which Step must be called again.
func (d *Directory) Step(now time.Duration, es []DirectoryEvent) ([]ServerChange, time.Duration) {
	d.changes = nil
	for _, e := range es {
		switch e := e.(type) {
		case EntryWritten:
			d.update(e.Entry)
		case EntryRemoved:
			d.markMissing(now, e.ID)
		case ListRead:
			d.readList(now, e.Entries)
		}
	}
	d.entries.TakeDirty()
	for _, k := range d.entries.TakeDue(now) {
		if e, _ := d.entries.Get(k); e.MissingSince != 0 {
			d.remove(e)
		}
	}
	return d.changes, d.entries.NextDue()
}

// Len returns the number of servers that are not removed, missing ones included.
func (d *Directory) Len() int {
	return d.entries.Len()
}

func (d *Directory) update(e Entry) {
	old, known := d.entries.Get(e.ID)
	d.entries.Put(e.ID, e)
	d.entries.SetDue(e.ID, table.Never)
	if known && old.WithMissingSince(0) == e {
		return
	}
	d.removeReplaced(e)
	d.changes = append(d.changes, ServerChange{Entry: e})
}

// removeReplaced removes missing servers whose address another server now has. It does not wait for RemovalGrace, because such a
// server is lost together with its data.
func (d *Directory) removeReplaced(e Entry) {
	for _, k := range d.entries.Keys() {
		if o, _ := d.entries.Get(k); o.ID != e.ID && o.Address == e.Address && o.MissingSince != 0 {
			d.remove(o)
		}
	}
}

func (d *Directory) markMissing(now time.Duration, id string) {
	if e, ok := d.entries.Get(id); ok && e.MissingSince == 0 {
		d.entries.Put(id, e.WithMissingSince(max(now, 1)))
		d.entries.SetDue(id, now+RemovalGrace)
	}
}

func (d *Directory) readList(now time.Duration, es []Entry) {
	listed := map[string]bool{}
	for _, e := range es {
		listed[e.ID] = true
		d.update(e)
	}
	for _, k := range d.entries.Keys() {
		if !listed[k] {
			d.markMissing(now, k)
		}
	}
}

func (d *Directory) remove(e Entry) {
	d.entries.Delete(e.ID)
	d.changes = append(d.changes, ServerChange{Entry: e, Removed: true})
}

package platform

import (
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// LapseGrace is how long an entry may be missing before its server counts as gone: entries that lapsed in an outage of the
	// store are back about two seconds after its end.
	LapseGrace = 2500 * time.Millisecond
)

// Entry is what the platform's list of servers says of one of them; it is the row of the Directory as well.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	Leaving bool
	// Born tells lives of a server apart that bear the same ID.
	Born int64
	// Slots is how many statements the server runs at once.
	Slots int
	// Missing is since when the list lacks the entry, zero while it is there.
	Missing time.Duration
}

// WithMissing returns the row of an entry that the list lacks since a moment, or has again.
func (e Entry) WithMissing(since time.Duration) Entry {
	e.Missing = since
	return e
}

// DirectoryEvent is news about the platform's list of servers.
type DirectoryEvent interface{ directoryEvent() }

// EntryWritten is an entry as it was written last.
type EntryWritten struct {
	Entry Entry
}

// EntryDropped is an entry that left the list.
type EntryDropped struct {
	ID string
}

// ListRead is the whole list as of one moment; entries that it lacks have left it.
type ListRead struct {
	Entries []Entry
}

func (EntryWritten) directoryEvent() {}
func (EntryDropped) directoryEvent() {}
func (ListRead) directoryEvent()     {}

// ServerChange tells that a server is there, has changed, or is gone for good.
type ServerChange struct {
	Entry Entry
	Gone  bool
}

// Directory holds the table of the servers that the platform lists. News comes only while the store answers, so nothing is
// taken for gone in an outage.
type Directory struct {
	entries *table.Table[string, Entry]
	out     []ServerChange
}

// NewDirectory returns a directory without entries.
func NewDirectory() *Directory {
	return &Directory{entries: table.New[string, Entry]()}
}

// Step takes news about the list and returns what changed, and when to be called again at the latest.
func (d *Directory) Step(now time.Duration, es []DirectoryEvent) ([]ServerChange, time.Duration) {
	d.out = nil
	for _, e := range es {
		switch e := e.(type) {
		case EntryWritten:
			d.write(e.Entry)
		case EntryDropped:
			d.drop(now, e.ID)
		case ListRead:
			d.read(now, e.Entries)
		}
	}
	d.entries.TakeDirty()
	for _, k := range d.entries.TakeDue(now) {
		if e, _ := d.entries.Get(k); e.Missing != 0 {
			d.gone(e)
		}
	}
	return d.out, d.entries.NextDue()
}

// Len returns the number of servers that are not gone.
func (d *Directory) Len() int {
	return d.entries.Len()
}

func (d *Directory) write(e Entry) {
	old, known := d.entries.Get(e.ID)
	d.entries.Put(e.ID, e)
	d.entries.SetDue(e.ID, table.Never)
	if known && old.WithMissing(0) == e {
		return
	}
	d.replace(e)
	d.out = append(d.out, ServerChange{Entry: e})
}

// replace drops servers whose address another one has now: what they had is gone with them.
func (d *Directory) replace(e Entry) {
	for _, k := range d.entries.Keys() {
		if o, _ := d.entries.Get(k); o.ID != e.ID && o.Address == e.Address && o.Missing != 0 {
			d.gone(o)
		}
	}
}

func (d *Directory) drop(now time.Duration, id string) {
	if e, ok := d.entries.Get(id); ok && e.Missing == 0 {
		d.entries.Put(id, e.WithMissing(max(now, 1)))
		d.entries.SetDue(id, now+LapseGrace)
	}
}

func (d *Directory) read(now time.Duration, es []Entry) {
	listed := map[string]bool{}
	for _, e := range es {
		listed[e.ID] = true
		d.write(e)
	}
	for _, k := range d.entries.Keys() {
		if !listed[k] {
			d.drop(now, k)
		}
	}
}

func (d *Directory) gone(e Entry) {
	d.entries.Delete(e.ID)
	d.out = append(d.out, ServerChange{Entry: e, Gone: true})
}

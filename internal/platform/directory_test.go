package platform_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/platform"
)

// list is a directory driven by hand; it keeps what the directory told.
type list struct {
	c   *qt.C
	d   *platform.Directory
	now time.Duration
}

func newList(t *testing.T) *list {
	l := &list{c: qt.New(t), d: platform.NewDirectory(), now: time.Second}
	assertTold(l, l.step(platform.ListRead{Entries: []platform.Entry{server("a"), server("b")}}), "a", "b")
	return l
}

func server(id string) platform.Entry {
	return platform.Entry{ID: id, Service: "s", Address: id + ":1", Zone: "z"}
}

func (l *list) step(es ...platform.DirectoryEvent) []platform.ServerChange {
	cs, _ := l.d.Step(l.now, es)
	return cs
}

func assertTold(l *list, cs []platform.ServerChange, want ...string) {
	l.c.Helper()
	got := []string{}
	for _, c := range cs {
		id := c.Entry.ID
		if c.Removed {
			id += " gone"
		}
		got = append(got, id)
	}
	l.c.Assert(got, qt.DeepEquals, append([]string{}, want...))
}

func TestDirectory(t *testing.T) {
	t.Run("tells a change once", func(t *testing.T) {
		l := newList(t)
		e := server("a")
		e.Leaving = true
		assertTold(l, l.step(platform.EntryWritten{Entry: e}), "a")
		assertTold(l, l.step(platform.EntryWritten{Entry: e}))
	})
	t.Run("an entry that lapsed and came back changes nothing", func(t *testing.T) {
		l := newList(t)
		assertTold(l, l.step(platform.EntryRemoved{ID: "a"}))
		l.now += platform.RemovalGrace - time.Millisecond
		assertTold(l, l.step(platform.EntryWritten{Entry: server("a")}))
		l.now += time.Minute
		assertTold(l, l.step())
	})
	t.Run("an entry that stays away is gone", func(t *testing.T) {
		l := newList(t)
		l.step(platform.ListRead{Entries: []platform.Entry{server("b")}})
		l.now += platform.RemovalGrace
		assertTold(l, l.step(), "a gone")
	})
	t.Run("no news takes nobody for gone", func(t *testing.T) {
		l := newList(t)
		l.now += time.Hour
		assertTold(l, l.step())
	})
	t.Run("another server at the address ends the wait", func(t *testing.T) {
		l := newList(t)
		l.step(platform.EntryRemoved{ID: "a"})
		e := server("c")
		e.Address = "a:1"
		assertTold(l, l.step(platform.EntryWritten{Entry: e}), "a gone", "c")
	})
	t.Run("another life of a server is told", func(t *testing.T) {
		l := newList(t)
		e := server("a")
		e.Incarnation = 7
		assertTold(l, l.step(platform.EntryWritten{Entry: e}), "a")
	})
}

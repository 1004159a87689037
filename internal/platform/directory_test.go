package platform_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/platform"
)

// harness drives a directory on a virtual clock.
type harness struct {
	c   *qt.C
	d   *platform.Directory
	now time.Duration
}

func newHarness(t *testing.T) *harness {
	l := &harness{c: qt.New(t), d: platform.NewDirectory(), now: time.Second}
	assertChanges(l, l.step(platform.ListRead{Entries: []platform.Entry{server("a"), server("b")}}), "a", "b")
	return l
}

func server(id string) platform.Entry {
	return platform.Entry{ID: id, Service: "s", Address: id + ":1", Zone: "z"}
}

func (l *harness) step(es ...platform.DirectoryEvent) []platform.ServerChange {
	cs, _ := l.d.Step(l.now, es)
	return cs
}

func assertChanges(l *harness, cs []platform.ServerChange, want ...string) {
	l.c.Helper()
	got := []string{}
	for _, c := range cs {
		id := c.Entry.ID
		if c.Removed {
			id += " removed"
		}
		got = append(got, id)
	}
	l.c.Assert(got, qt.DeepEquals, append([]string{}, want...))
}

func TestDirectory(t *testing.T) {
	t.Run("a change is reported once", func(t *testing.T) {
		l := newHarness(t)
		e := server("a")
		e.Leaving = true
		assertChanges(l, l.step(platform.EntryWritten{Entry: e}), "a")
		assertChanges(l, l.step(platform.EntryWritten{Entry: e}))
	})
	t.Run("an entry that reappears within the grace time is not a change", func(t *testing.T) {
		l := newHarness(t)
		assertChanges(l, l.step(platform.EntryRemoved{ID: "a"}))
		l.now += platform.RemovalGrace - time.Millisecond
		assertChanges(l, l.step(platform.EntryWritten{Entry: server("a")}))
		l.now += time.Minute
		assertChanges(l, l.step())
	})
	t.Run("an entry that stays missing is removed", func(t *testing.T) {
		l := newHarness(t)
		l.step(platform.ListRead{Entries: []platform.Entry{server("b")}})
		l.now += platform.RemovalGrace
		assertChanges(l, l.step(), "a removed")
	})
	t.Run("no server is removed without events", func(t *testing.T) {
		l := newHarness(t)
		l.now += time.Hour
		assertChanges(l, l.step())
	})
	t.Run("another server at the address of a missing one removes it at once", func(t *testing.T) {
		l := newHarness(t)
		l.step(platform.EntryRemoved{ID: "a"})
		e := server("c")
		e.Address = "a:1"
		assertChanges(l, l.step(platform.EntryWritten{Entry: e}), "a removed", "c")
	})
	t.Run("a new incarnation of a server is reported", func(t *testing.T) {
		l := newHarness(t)
		e := server("a")
		e.Incarnation = 7
		assertChanges(l, l.step(platform.EntryWritten{Entry: e}), "a")
	})
}

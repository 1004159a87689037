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
	h := &harness{c: qt.New(t), d: platform.NewDirectory(), now: time.Second}
	assertChanges(h, h.step(platform.ListRead{Entries: []platform.Entry{server("a"), server("b")}}), "a", "b")
	return h
}

func server(id string) platform.Entry {
	return platform.Entry{ID: id, Service: "s", Address: id + ":1", Zone: "z"}
}

func (h *harness) step(es ...platform.DirectoryEvent) []platform.ServerChange {
	cs, _ := h.d.Step(h.now, es)
	return cs
}

func assertChanges(h *harness, cs []platform.ServerChange, want ...string) {
	h.c.Helper()
	got := []string{}
	for _, c := range cs {
		id := c.Entry.ID
		if c.Removed {
			id += " removed"
		}
		got = append(got, id)
	}
	h.c.Assert(got, qt.DeepEquals, append([]string{}, want...))
}

func TestDirectory(t *testing.T) {
	t.Run("a change is reported once", func(t *testing.T) {
		h := newHarness(t)
		e := server("a")
		e.Leaving = true
		assertChanges(h, h.step(platform.EntryWritten{Entry: e}), "a")
		assertChanges(h, h.step(platform.EntryWritten{Entry: e}))
	})
	t.Run("an entry that reappears within the grace time is not a change", func(t *testing.T) {
		h := newHarness(t)
		assertChanges(h, h.step(platform.EntryRemoved{ID: "a"}))
		h.now += platform.RemovalGrace - time.Millisecond
		assertChanges(h, h.step(platform.EntryWritten{Entry: server("a")}))
		h.now += time.Minute
		assertChanges(h, h.step())
	})
	t.Run("an entry that stays missing is removed", func(t *testing.T) {
		h := newHarness(t)
		h.step(platform.ListRead{Entries: []platform.Entry{server("b")}})
		h.now += platform.RemovalGrace
		assertChanges(h, h.step(), "a removed")
	})
	t.Run("no server is removed without events", func(t *testing.T) {
		h := newHarness(t)
		h.now += time.Hour
		assertChanges(h, h.step())
	})
	t.Run("another server at the address of a missing one removes it at once", func(t *testing.T) {
		h := newHarness(t)
		h.step(platform.EntryRemoved{ID: "a"})
		e := server("c")
		e.Address = "a:1"
		assertChanges(h, h.step(platform.EntryWritten{Entry: e}), "a removed", "c")
	})
	t.Run("a new incarnation of a server is reported", func(t *testing.T) {
		h := newHarness(t)
		e := server("a")
		e.Incarnation = 7
		assertChanges(h, h.step(platform.EntryWritten{Entry: e}), "a")
	})
	for _, k := range []struct {
		name   string
		before func(h *harness)
	}{
		{"an older entry of a restored list", func(h *harness) {
			e := server("a").WithSeq(9)
			e.Leaving = true
			assertChanges(h, h.step(platform.EntryWritten{Entry: e}), "a")
		}},
		{"the entry of a removed server in a restored list", func(h *harness) {
			h.step(platform.EntryRemoved{ID: "a"})
			h.now += platform.RemovalGrace
			assertChanges(h, h.step(), "a removed")
		}},
	} {
		restore := func(t *testing.T) *harness {
			h := newHarness(t)
			k.before(h)
			assertChanges(h, h.step(platform.ListRead{Entries: []platform.Entry{server("a"), server("b")}, Restored: true}))
			h.now += platform.RestoredGrace - time.Millisecond
			assertChanges(h, h.step(platform.ListRead{Entries: []platform.Entry{server("a"), server("b")}}))
			return h
		}
		t.Run(k.name+" waits, and counts if it is not written again", func(t *testing.T) {
			h := restore(t)
			h.now += time.Millisecond
			assertChanges(h, h.step(), "a")
		})
		t.Run(k.name+" waits, and does not count if it disappears", func(t *testing.T) {
			h := restore(t)
			h.step(platform.EntryRemoved{ID: "a"})
			h.now += time.Millisecond
			assertChanges(h, h.step())
		})
		t.Run(k.name+" waits, and an entry that is written meanwhile counts at once", func(t *testing.T) {
			h := restore(t)
			e := server("a").WithSeq(3)
			e.Slots = 4
			assertChanges(h, h.step(platform.EntryWritten{Entry: e}), "a")
			h.now += platform.RestoredGrace
			assertChanges(h, h.step())
		})
	}
}

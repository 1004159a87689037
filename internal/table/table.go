package table

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Never is a due time that no tick reaches: the row is not due.
const Never = time.Duration(1<<63 - 1)

// Table maps keys to immutable rows. Put replaces a row as a whole.
type Table[K cmp.Ordered, R any] struct {
	rows  map[K]*slot[K, R]
	dirty []K
	due   dueHeap[K]
}

type slot[K cmp.Ordered, R any] struct {
	row   R
	dirty bool
	due   time.Duration
}

// New returns an empty table.
func New[K cmp.Ordered, R any]() *Table[K, R] {
	return &Table[K, R]{rows: map[K]*slot[K, R]{}}
}

// Get returns the row under k and whether it exists.
func (t *Table[K, R]) Get(k K) (R, bool) {
	if s, ok := t.rows[k]; ok {
		return s.row, true
	}
	var zero R
	return zero, false
}

// Put stores r under k and marks the row dirty.
func (t *Table[K, R]) Put(k K, r R) {
	s, ok := t.rows[k]
	if !ok {
		s = &slot[K, R]{due: Never}
		t.rows[k] = s
	}
	s.row = r
	if !s.dirty {
		s.dirty = true
		t.dirty = append(t.dirty, k)
	}
}

// Delete removes the row under k, its dirty mark and its due time.
func (t *Table[K, R]) Delete(k K) {
	delete(t.rows, k)
}

// Len returns the number of rows.
func (t *Table[K, R]) Len() int {
	return len(t.rows)
}

// TakeDirty returns the keys put since the last call, in the order of their first change, and clears their dirty marks.
func (t *Table[K, R]) TakeDirty() []K {
	ks := t.dirty[:0:0]
	for _, k := range t.dirty {
		if s, ok := t.rows[k]; ok && s.dirty {
			s.dirty = false
			ks = append(ks, k)
		}
	}
	t.dirty = t.dirty[:0]
	return ks
}

// SetDue makes the row under k due at the given time, in place of its earlier due time. It does nothing if there is no such row.
func (t *Table[K, R]) SetDue(k K, at time.Duration) {
	s, ok := t.rows[k]
	if !ok || s.due == at {
		return
	}
	s.due = at
	if at != Never {
		heap.Push(&t.due, dueItem[K]{key: k, at: at})
	}
}

// TakeDue returns the keys that are due at now, earliest first, and clears their due times.
func (t *Table[K, R]) TakeDue(now time.Duration) []K {
	var ks []K
	for len(t.due) > 0 && t.due[0].at <= now {
		i := heap.Pop(&t.due).(dueItem[K])
		if s, ok := t.rows[i.key]; ok && s.due == i.at {
			s.due = Never
			ks = append(ks, i.key)
		}
	}
	return ks
}

// NextDue returns the earliest due time, or Never.
func (t *Table[K, R]) NextDue() time.Duration {
	for len(t.due) > 0 {
		if s, ok := t.rows[t.due[0].key]; ok && s.due == t.due[0].at {
			return t.due[0].at
		}
		heap.Pop(&t.due)
	}
	return Never
}

// Keys returns all keys in ascending order. It sorts the whole table and is meant for small tables and tests.
func (t *Table[K, R]) Keys() []K {
	ks := make([]K, 0, len(t.rows))
	for k := range t.rows {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

type dueItem[K cmp.Ordered] struct {
	key K
	at  time.Duration
}

type dueHeap[K cmp.Ordered] []dueItem[K]

func (h dueHeap[K]) Len() int { return len(h) }

func (h dueHeap[K]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].key < h[j].key
}

func (h dueHeap[K]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap[K]) Push(x any) { *h = append(*h, x.(dueItem[K])) }

// Pop implements heap.Interface.
func (h *dueHeap[K]) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

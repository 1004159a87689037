package platform_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/table"
)

// The default seed is fixed, so that each run draws the same values. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// store is a fake object store. It keeps the names in the order in which they were first written.
type store struct {
	objects map[string][]operator.Record
	names   []string
}

func (s *store) put(p platform.PutRecords) {
	if _, ok := s.objects[p.Name]; !ok {
		s.names = append(s.names, p.Name)
	}
	s.objects[p.Name] = p.Records
}

// drive passes n records through an outbox, one per step. For each write, answer decides whether the write reaches the store and
// whether its answer reaches the outbox. drive returns the store and the counts of the outbox.
func drive(n int, interval time.Duration, answer func(i int) (reached, answered bool)) (*store, platform.Counts) {
	o, err := platform.NewOutbox("n0", 7)
	if err != nil {
		panic(err)
	}
	s := &store{objects: map[string][]operator.Record{}}
	now := time.Duration(0)
	var es []platform.Event
	calls := 0
	for i := 0; i < n || o.Counts().Waiting > 0; i++ {
		if i < n {
			es = append(es, platform.RecordAdded{Record: operator.Record{Seq: uint64(i + 1)}})
		}
		puts, wake := o.Step(now, es)
		es = nil
		for _, p := range puts {
			reached, answered := answer(calls)
			calls++
			if reached {
				s.put(p)
			}
			if reached && answered {
				es = append(es, platform.ObjectStored{Name: p.Name})
			} else {
				es = append(es, platform.ObjectUnconfirmed{Name: p.Name})
			}
		}
		if i >= n && wake != table.Never && len(es) == 0 {
			now = max(now, wake)
		} else {
			now += interval
		}
	}
	return s, o.Counts()
}

// assertInOrder checks that the store has each record once and in order, except those that a gap record counts as dropped.
func assertInOrder(t interface {
	Fatalf(format string, args ...any)
}, s *store, n int, c platform.Counts,
) {
	next, gaps := uint64(1), uint64(0)
	for _, name := range s.names {
		for _, r := range s.objects[name] {
			if r.Kind == operator.KindGap {
				var k uint64
				_, _ = fmt.Sscan(r.Evidence[0].Value, &k)
				gaps += k
				next += k
				continue
			}
			if r.Seq != next {
				t.Fatalf("object %s has record %d, want %d", name, r.Seq, next)
			}
			next++
		}
	}
	if next != uint64(n+1) || gaps != c.Dropped {
		t.Fatalf("got %d records of %d, %d of them in gap records, want %d dropped", next-1, n, gaps, c.Dropped)
	}
}

func TestOutbox(t *testing.T) {
	t.Run("all records are written in a few objects", func(t *testing.T) {
		c := qt.New(t)
		s, k := drive(1000, 10*time.Millisecond, func(int) (bool, bool) { return true, true })
		assertInOrder(c, s, 1000, k)
		c.Assert(len(s.objects) <= 8, qt.IsTrue, qt.Commentf("got %d objects, want at most 8", len(s.objects)))
	})
	t.Run("gap records count the records dropped in a long outage", func(t *testing.T) {
		c := qt.New(t)
		s, k := drive(12_000, 10*time.Millisecond, func(i int) (bool, bool) { return i > 12, i > 12 })
		c.Assert(k.Dropped > 0, qt.IsTrue)
		assertInOrder(c, s, 12_000, k)
	})
	t.Run("no record is lost without a gap record under random store failures", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			n := rapid.IntRange(1, 3000).Draw(t, "records")
			fails := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 30).Draw(t, "answers")
			s, k := drive(n, time.Duration(rapid.IntRange(1, 50).Draw(t, "ms"))*time.Millisecond, func(i int) (bool, bool) {
				return i >= len(fails) || fails[i] > 1, i >= len(fails) || fails[i] > 2
			})
			assertInOrder(t, s, n, k)
		})
	})
}

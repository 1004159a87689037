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

// The same draws every time, unless the command line says otherwise.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// store is a fake object store that can be down or lose its answers.
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

// drive feeds n records through an outbox while the store behaves as told, and returns the store.
func drive(n int, each time.Duration, answer func(i int) (reached, answered bool)) (*store, platform.Counts) {
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
			now += each
		}
	}
	return s, o.Counts()
}

// assertInOrder checks that every record is there once and in order, but for those that a gap accounts for.
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
				t.Fatalf("record %d where %d was due", r.Seq, next)
			}
			next++
		}
	}
	if next != uint64(n+1) || gaps != c.Dropped {
		t.Fatalf("%d records accounted for, %d in gaps, %d dropped", next-1, gaps, c.Dropped)
	}
}

func TestOutbox(t *testing.T) {
	t.Run("writes all in a few objects", func(t *testing.T) {
		c := qt.New(t)
		s, k := drive(1000, 10*time.Millisecond, func(int) (bool, bool) { return true, true })
		assertInOrder(c, s, 1000, k)
		c.Assert(len(s.objects) <= 8, qt.IsTrue, qt.Commentf("%d objects", len(s.objects)))
	})
	t.Run("says what a long outage made it drop", func(t *testing.T) {
		c := qt.New(t)
		s, k := drive(12_000, 10*time.Millisecond, func(i int) (bool, bool) { return i > 12, i > 12 })
		c.Assert(k.Dropped > 0, qt.IsTrue)
		assertInOrder(c, s, 12_000, k)
	})
	t.Run("store failures of any kind lose nothing silently", func(t *testing.T) {
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

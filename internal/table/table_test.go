package table_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/table"
)

// The property test draws the same values on every run, unless the command line sets another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestTable(t *testing.T) {
	t.Run("dirty rows come once, in the order of their first change", func(t *testing.T) {
		c := qt.New(t)
		x := table.New[string, int]()
		for _, k := range []string{"b", "a", "b"} {
			x.Put(k, 1)
		}
		c.Assert(x.TakeDirty(), qt.DeepEquals, []string{"b", "a"})
		c.Assert(x.TakeDirty(), qt.HasLen, 0)
	})
	t.Run("a deleted row is neither dirty nor due", func(t *testing.T) {
		c := qt.New(t)
		x := table.New[string, int]()
		x.Put("a", 1)
		x.SetDue("a", 5)
		x.Delete("a")
		c.Assert(x.TakeDirty(), qt.HasLen, 0)
		c.Assert(x.NextDue(), qt.Equals, table.Never)
	})
	t.Run("a later due time replaces an earlier one", func(t *testing.T) {
		c := qt.New(t)
		x := table.New[string, int]()
		x.Put("a", 1)
		x.SetDue("a", 5)
		x.SetDue("a", 9)
		c.Assert(x.TakeDue(8), qt.HasLen, 0)
		c.Assert(x.TakeDue(9), qt.DeepEquals, []string{"a"})
	})
}

// TestDueAgainstModel compares the due list with a plain map.
func TestDueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := table.New[int, int]()
		model := map[int]time.Duration{}
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"wake": func(t *rapid.T) {
				k := rapid.IntRange(0, 5).Draw(t, "key")
				at := now + time.Duration(rapid.IntRange(0, 9).Draw(t, "in"))
				x.Put(k, 0)
				x.SetDue(k, at)
				model[k] = at
			},
			"delete": func(t *rapid.T) {
				k := rapid.IntRange(0, 5).Draw(t, "key")
				x.Delete(k)
				delete(model, k)
			},
			"pass": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 9).Draw(t, "by"))
				got := x.TakeDue(now)
				var want []int
				for k, at := range model {
					if at <= now {
						want = append(want, k)
						delete(model, k)
					}
				}
				slices.Sort(got)
				slices.Sort(want)
				if !slices.Equal(got, want) {
					t.Fatalf("due keys %v, want %v", got, want)
				}
			},
		})
	})
}

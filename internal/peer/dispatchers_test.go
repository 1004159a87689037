package peer

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// countScores makes a table count the hashes that it takes.
func countScores(d *Dispatchers) *int {
	n := new(int)
	inner := d.score
	d.score = func(u Update, group string) float64 {
		*n++
		return inner(u, group)
	}
	return n
}

func zonedMembers(n int, zones ...string) []Update {
	var us []Update
	for i := range n {
		us = append(us, Update{Name: fmt.Sprintf("n%04d", i), Zone: zones[i%len(zones)], Weight: 192})
	}
	return us
}

func groupNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("g%d", i))
	}
	return names
}

// assertSameChoice checks that a table chooses the dispatchers that a new table of the same members chooses.
func assertSameChoice(t interface {
	Fatalf(format string, args ...any)
}, d *Dispatchers, members []Update, groups []string,
) {
	fresh := NewDispatchers()
	fresh.Update(members, groups)
	for _, g := range groups {
		if got, want := d.Nodes(g), fresh.Nodes(g); !slices.Equal(got, want) {
			t.Fatalf("dispatchers of %s: got %v, want %v", g, got, want)
		}
	}
}

// TestDispatchersAtScale guards against membership changes that cost a hash per pair of member and group.
func TestDispatchersAtScale(t *testing.T) {
	const nodes, groupCount = 295, 20
	zones := []string{"a", "b", "c", "d", "e", "f"}
	groups := groupNames(groupCount)
	fill := func() (*Dispatchers, []Update, *int) {
		d := NewDispatchers()
		members := zonedMembers(nodes, zones...)
		d.Update(members, groups)
		return d, members, countScores(d)
	}
	t.Run("an unchanged fleet takes no hash", func(t *testing.T) {
		d, members, scores := fill()
		d.Update(members, groups)
		qt.Assert(t, *scores, qt.Equals, 0)
	})
	t.Run("a member that joins takes one hash a group", func(t *testing.T) {
		d, members, scores := fill()
		d.Update(append(members, Update{Name: "new", Zone: "a", Weight: 192}), groups)
		qt.Assert(t, *scores, qt.Equals, groupCount)
	})
	t.Run("a member that leaves takes the hashes of its zone for the groups that it served", func(t *testing.T) {
		d, members, scores := fill()
		d.Update(members[1:], groups)
		served := 0
		for _, g := range groups {
			if !slices.Equal(d.Nodes(g), freshNodes(members, groups, g)) {
				served++
			}
		}
		qt.Assert(t, *scores, qt.Equals, served*(nodes/len(zones)))
	})
	t.Run("each zone has one dispatcher of each group", func(t *testing.T) {
		d, _, _ := fill()
		for _, g := range groups {
			qt.Assert(t, d.Nodes(g), qt.HasLen, len(zones))
		}
	})
}

func freshNodes(members []Update, groups []string, group string) []string {
	d := NewDispatchers()
	d.Update(members, groups)
	return d.Nodes(group)
}

func TestDispatchers(t *testing.T) {
	t.Run("large members take most groups", func(t *testing.T) {
		members := zonedMembers(50, "a")
		members[7].Weight = 1600
		d := NewDispatchers()
		groups := groupNames(100)
		d.Update(members, groups)
		large := 0
		for _, g := range groups {
			if slices.Contains(d.Nodes(g), members[7].Name) {
				large++
			}
		}
		qt.Assert(t, large > 50, qt.IsTrue, qt.Commentf("%d of 100", large))
	})
	t.Run("members without a zone serve nothing", func(t *testing.T) {
		d := NewDispatchers()
		d.Update([]Update{{Name: "n"}}, []string{"g"})
		qt.Assert(t, d.Nodes("g"), qt.HasLen, 0)
	})
	t.Run("successive changes lead to the same choice as a fresh table", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			d := NewDispatchers()
			groups := groupNames(5)
			for range rapid.IntRange(1, 12).Draw(t, "changes") {
				var members []Update
				for i := range 12 {
					zone := rapid.SampledFrom([]string{"a", "b", "", "gone"}).Draw(t, "zone")
					weight := rapid.SampledFrom([]uint32{0, 192, 800}).Draw(t, "weight")
					if zone != "gone" {
						members = append(members, Update{Name: fmt.Sprint("n", i), Zone: zone, Weight: weight})
					}
				}
				known := groups[:rapid.IntRange(0, len(groups)).Draw(t, "groups")]
				d.Update(members, known)
				assertSameChoice(t, d, members, known)
			}
		})
	})
}

// TestServing guards against callers that are refused at a node which reaches a group's servers, but none of its dispatchers.
func TestServing(t *testing.T) {
	const group = "g"
	d := NewDispatchers()
	members := zonedMembers(9, "a", "b", "c")
	d.Update(members, []string{group})
	dispatchers := d.Nodes(group)
	suspects := func(names ...string) func(string) bool {
		return func(name string) bool { return slices.Contains(names, name) }
	}
	assertServing := func(t *testing.T, suspect func(string) bool, wantStandIns []string) {
		t.Helper()
		got, standIns := d.Serving(group, suspect)
		qt.Check(t, got, qt.DeepEquals, dispatchers)
		qt.Check(t, standIns, qt.DeepEquals, wantStandIns)
	}
	t.Run("dispatchers alone serve while one of them is trusted", func(t *testing.T) {
		assertServing(t, suspects(dispatchers[1:]...), nil)
	})
	t.Run("others serve too while none is", func(t *testing.T) {
		others := NewDispatchers()
		others.Update(slices.DeleteFunc(slices.Clone(members), func(u Update) bool { return slices.Contains(dispatchers, u.Name) }),
			[]string{group})
		assertServing(t, suspects(dispatchers...), others.Nodes(group))
	})
	t.Run("a node that trusts itself alone serves", func(t *testing.T) {
		self := members[4].Name
		if slices.Contains(dispatchers, self) {
			self = members[5].Name
		}
		assertServing(t, func(name string) bool { return name != self }, []string{self})
	})
	t.Run("and no longer once a dispatcher is trusted", func(t *testing.T) {
		assertServing(t, suspects(), nil)
	})
}

// TestRegionalDispatchers guards against requests that are declined while nodes disagree on whether one node of each zone or of
// each region serves a group: a region's dispatcher has to be one of its zones', too.
func TestRegionalDispatchers(t *testing.T) {
	regions := map[string]string{"a": "r", "b": "r", "c": "q", "d": "q"}
	rapid.Check(t, func(t *rapid.T) {
		members := zonedMembers(rapid.IntRange(1, 40).Draw(t, "members"), "a", "b", "c", "d")
		zonal, regional := NewDispatchers(), NewDispatchers(WithAreas(func(z string) string { return regions[z] }))
		groups := groupNames(5)
		zonal.Update(members, groups)
		regional.Update(members, groups)
		for _, g := range groups {
			if n := len(regional.Nodes(g)); n != min(2, (len(members)+1)/2) {
				t.Fatalf("%d nodes serve %s", n, g)
			}
			for _, name := range regional.Nodes(g) {
				if !slices.Contains(zonal.Nodes(g), name) {
					t.Fatalf("%s serves %s for its region, and not for its zone", name, g)
				}
			}
		}
	})
}

package peer_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/peer"
)

func membersInZones(n int, zones ...string) []peer.Update {
	var us []peer.Update
	for i := range n {
		us = append(us, peer.Update{Name: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Zone: zones[i%len(zones)], Weight: 200})
	}
	return us
}

// assertAllReached checks that a change at the first member that is not lost reaches all others within the given number of steps.
func assertAllReached(c *qt.C, us []peer.Update, lost []string, steps int) {
	c.Helper()
	first := slices.IndexFunc(us, func(u peer.Update) bool { return !slices.Contains(lost, u.Name) })
	reached := map[string]bool{us[first].Name: true}
	last := []string{us[first].Name}
	for range steps {
		var next []string
		for _, n := range last {
			for _, o := range peer.Successors(n, us) {
				if !reached[o] && !slices.Contains(lost, o) {
					reached[o] = true
					next = append(next, o)
				}
			}
		}
		last = next
	}
	c.Assert(len(reached), qt.Equals, len(us)-len(lost), qt.Commentf("%d members, lost %v", len(us), lost))
}

func TestSuccessors(t *testing.T) {
	for _, k := range []struct{ members, steps int }{{2, 1}, {4, 1}, {7, 1}, {9, 2}, {27, 3}, {40, 4}, {243, 5}, {1133, 7}} {
		t.Run(fmt.Sprintf("all of %d members are reached", k.members), func(t *testing.T) {
			assertAllReached(qt.New(t), membersInZones(k.members, "a", "b"), nil, k.steps)
		})
	}
	t.Run("all are reached without any two members", func(t *testing.T) {
		c := qt.New(t)
		for n := 5; n <= 30; n++ {
			us := membersInZones(n, "a", "b")
			for i := range us {
				for j := range i {
					assertAllReached(c, us, []string{us[i].Name, us[j].Name}, n)
				}
			}
		}
	})
}

func TestStoreReaders(t *testing.T) {
	c := qt.New(t)
	us := membersInZones(12, "a", "b", "c")
	zone := func(name string) string {
		return us[slices.IndexFunc(us, func(u peer.Update) bool { return u.Name == name })].Zone
	}
	readers, substitutes := peer.StoreReaders(us)
	c.Assert(readers, qt.HasLen, 2)
	c.Assert(substitutes, qt.HasLen, 2)
	c.Assert(zone(readers[0]), qt.Not(qt.Equals), zone(readers[1]))
	c.Assert(zone(substitutes[0]), qt.Not(qt.Equals), zone(readers[0]))
	c.Assert(zone(substitutes[0]), qt.Not(qt.Equals), zone(readers[1]))
	readers, substitutes = peer.StoreReaders(us[:1])
	c.Assert(readers, qt.DeepEquals, []string{us[0].Name})
	c.Assert(substitutes, qt.HasLen, 0)
	readers, substitutes = peer.StoreReaders(membersInZones(5, "a"))
	c.Assert(readers, qt.HasLen, 2)
	c.Assert(substitutes, qt.HasLen, 2)
}

func TestSortByRank(t *testing.T) {
	c := qt.New(t)
	var names []string
	for _, u := range membersInZones(20, "a") {
		names = append(names, u.Name)
	}
	distance := func(node string) int { return slices.Index(names, node) % 3 }
	got := peer.SortByRank(names, "key", distance)
	c.Assert(slices.IsSortedFunc(got, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(peer.Rank(a, "key", names), peer.Rank(b, "key", names)))
	}), qt.IsTrue)
	c.Assert(got, qt.HasLen, len(names))
}

// TestLimitWitnesses guards against a zone whose loss takes most of the witnesses, and against witnesses that change with every
// member.
func TestLimitWitnesses(t *testing.T) {
	c := qt.New(t)
	us := membersInZones(67, "a", "b", "c", "d", "e", "f")
	names := peer.LimitWitnesses(us)
	zones := map[string]bool{}
	for _, u := range us {
		if slices.Contains(names, u.Name) {
			zones[u.Zone] = true
		}
	}
	c.Assert(names, qt.HasLen, 5)
	c.Assert(zones, qt.HasLen, 5)
	slices.Reverse(us)
	c.Assert(peer.LimitWitnesses(us), qt.DeepEquals, names)
	us = slices.DeleteFunc(us, func(u peer.Update) bool { return u.Name == names[0] })
	kept := 0
	for _, name := range peer.LimitWitnesses(us) {
		if slices.Contains(names, name) {
			kept++
		}
	}
	c.Assert(kept, qt.Equals, 4)
	c.Assert(peer.LimitWitnesses(membersInZones(3, "a")), qt.HasLen, 3)
}

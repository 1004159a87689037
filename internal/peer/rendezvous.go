package peer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the zero-based rank of a node among the given nodes for a key, by rendezvous hash. When a node joins or leaves,
// only its own keys move.
func Rank(node, key string, nodes []string) int {
	own := rendezvousHash(node, key)
	n := 0
	for _, p := range nodes {
		if o := rendezvousHash(p, key); p != node && (o > own || o == own && p < node) {
			n++
		}
	}
	return n
}

func rendezvousHash(node, key string) uint64 {
	return xxhash.Sum64String(node + "\x00" + key)
}

// dispatchersPerZone is the number of nodes in each availability zone that serve a database group for the other nodes of the zone.
const dispatchersPerZone = 1

// Dispatchers returns the names of the nodes that serve a database group for the others: in each availability zone, the first ones
// by weighted rendezvous hash. The weight is the square of the processor share, so that a few large nodes take most of the groups
// even among many small ones. Members without a zone are left out.
func Dispatchers(group string, members []Update) []string {
	zones := map[string][]Update{}
	for _, u := range members {
		if u.Zone != "" {
			zones[u.Zone] = append(zones[u.Zone], u)
		}
	}
	var names []string
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		us := zones[z]
		slices.SortFunc(us, func(a, b Update) int {
			return cmp.Or(cmp.Compare(score(b, group), score(a, group)), cmp.Compare(a.Name, b.Name))
		})
		for _, u := range us[:min(dispatchersPerZone, len(us))] {
			names = append(names, u.Name)
		}
	}
	return names
}

// score returns the weighted rendezvous hash of a member for a key.
func score(u Update, key string) float64 {
	share := float64(max(1, u.Weight))
	return -share * share / math.Log((float64(rendezvousHash(u.Name, key)>>11)+0.5)/(1<<53))
}

// Share returns the part of a total for the member with the given rank among n. The remainder goes to the lowest ranks, one each.
func Share(total, n, rank int) int {
	s := total / n
	if rank < total%n {
		s++
	}
	return s
}

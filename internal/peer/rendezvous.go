package peer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the place of a node in the order in which nodes take up a duty, by rendezvous hash: a node that joins or
// leaves moves only its own duties.
func Rank(node, duty string, nodes []string) int {
	mine := weight(node, duty)
	n := 0
	for _, p := range nodes {
		if o := weight(p, duty); p != node && (o > mine || o == mine && p < node) {
			n++
		}
	}
	return n
}

func weight(node, duty string) uint64 {
	return xxhash.Sum64String(node + "\x00" + duty)
}

// dispatchersPerZone is how many nodes of each availability zone serve a database group for all others of the zone.
const dispatchersPerZone = 1

// Dispatchers names the nodes that serve a database group for the others: in each availability zone those that come first by
// rendezvous hash. Where processor shares differ the hash favours the larger ones by their square, so that the few large nodes
// of a fleet take most groups before its many small ones take any. Members of unknown zones are left out.
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

// score is the weighted rendezvous hash of a member for a duty.
func score(u Update, duty string) float64 {
	share := float64(max(1, u.Weight))
	return -share * share / math.Log((float64(weight(u.Name, duty)>>11)+0.5)/(1<<53))
}

// Share splits a total among n members, the first ones getting what does not divide.
func Share(total, n, rank int) int {
	s := total / n
	if rank < total%n {
		s++
	}
	return s
}

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

// SortByRank sorts nodes by distance, and those at the same distance by their rank for a key.
func SortByRank(nodes []string, key string, distance func(node string) int) []string {
	hashes := make(map[string]uint64, len(nodes))
	for _, p := range nodes {
		hashes[p] = rendezvousHash(p, key)
	}
	return slices.SortedFunc(slices.Values(nodes), func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a, b))
	})
}

func rendezvousHash(node, key string) uint64 {
	return xxhash.Sum64String(node + "\x00" + key)
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

const (
	// limitHomes is the number of members that keep the limits of tenants for all others.
	limitHomes = 12
	// limitWitnesses is the number of members that confirm who keeps a tenant's limit.
	limitWitnesses = 5
)

// LimitHomes returns the names of the members that keep the limits of tenants, chosen by weighted rendezvous hash, best first.
func LimitHomes(members []Update) []string {
	names := make([]string, 0, limitHomes)
	for _, u := range sortByScore(members, "limits")[:min(limitHomes, len(members))] {
		names = append(names, u.Name)
	}
	return names
}

// LimitWitnesses returns the names of the members that confirm who keeps a tenant's limit, chosen by weighted rendezvous hash. They
// are spread evenly over the zones as far as possible.
func LimitWitnesses(members []Update) []string {
	var names []string
	inZone := map[string]int{}
	candidates := sortByScore(members, "witnesses")
	for most := 1; len(names) < min(limitWitnesses, len(members)); most++ {
		for _, u := range candidates {
			if len(names) < limitWitnesses && inZone[u.Zone] < most && !slices.Contains(names, u.Name) {
				names = append(names, u.Name)
				inZone[u.Zone]++
			}
		}
	}
	return names
}

// sortByScore returns the members sorted by their weighted rendezvous hashes for a key, best first.
func sortByScore(members []Update, key string) []Update {
	type scored struct {
		Update
		score float64
	}
	all := make([]scored, 0, len(members))
	for _, u := range members {
		all = append(all, scored{Update: u, score: score(u, key)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name)) })
	us := make([]Update, 0, len(all))
	for _, v := range all {
		us = append(us, v.Update)
	}
	return us
}

const (
	// storeReaders is the number of nodes of each region that read the platform's store for the other nodes of the region.
	storeReaders = 2
	// storeSubstitutes is the number of nodes of each region that read the store first when the readers are lost.
	storeSubstitutes = 2
)

// StoreReaders returns the names of the nodes that read the platform's store for the others, and of their substitutes, chosen by
// weighted rendezvous hash among the members of one region. They are in different availability zones as far as possible.
func StoreReaders(members []Update) (readers, substitutes []string) {
	names := rankStoreReaders(members, storeReaders+storeSubstitutes)
	n := min(storeReaders, len(names))
	return names[:n], names[n:]
}

// rankStoreReaders returns the names of the first count members in the order in which they read the store.
func rankStoreReaders(members []Update, count int) []string {
	ranked := make([]candidate, 0, len(members))
	for _, u := range members {
		ranked = append(ranked, candidate{zone: u.Zone, name: u.Name, score: score(u, "store")})
	}
	var names []string
	zones := map[string]bool{}
	for len(names) < min(count, len(members)) {
		best := -1
		for i, a := range ranked {
			if a.name != "" && (best < 0 || a.readsBefore(ranked[best], zones)) {
				best = i
			}
		}
		names = append(names, ranked[best].name)
		zones[ranked[best].zone] = true
		ranked[best].name = ""
	}
	return names
}

// readsBefore reports whether a candidate reads the store rather than another one: one of a zone without a reader goes first.
func (a candidate) readsBefore(o candidate, zones map[string]bool) bool {
	if zones[a.zone] != zones[o.zone] {
		return !zones[a.zone]
	}
	return a.precedes(o)
}

const (
	// kautzDegree is the number of successors of a node in the Kautz graph.
	kautzDegree = 3
	// maxMeshMembers is the largest number of members that pass changes on to all others.
	maxMeshMembers = 7
)

// Successors returns the names of the members to which a node passes changes on, among the members of one region. In a large region
// they are its successors in a generalized Kautz graph and the next member: a change reaches all members in a number of steps that
// grows with the logarithm of their number, also when any two of them are lost. Members that would be their own successors pass
// changes on to each other in a circle instead.
func Successors(node string, members []Update) []string {
	hashes := make(map[string]uint64, len(members))
	for _, u := range members {
		hashes[u.Name] = rendezvousHash(u.Name, "successors")
	}
	// The order by hash mixes the zones.
	names := slices.SortedFunc(maps.Keys(hashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
	i, n := slices.Index(names, node), len(names)
	if i < 0 || n <= maxMeshMembers {
		return slices.DeleteFunc(names, func(o string) bool { return o == node })
	}
	out := []string{names[(i+1)%n]}
	for j := 1; j <= kautzDegree; j++ {
		o := kautzSuccessor(i, j, n)
		if o == i {
			for o = (i + 1) % n; !hasLoop(o, n); {
				o = (o + 1) % n
			}
		}
		if !slices.Contains(out, names[o]) && o != i {
			out = append(out, names[o])
		}
	}
	return out
}

// kautzSuccessor returns the successor number j, from 1 to kautzDegree, of node i in a generalized Kautz graph of n nodes.
func kautzSuccessor(i, j, n int) int {
	return (n - (kautzDegree*i+j)%n) % n
}

// hasLoop reports whether a node is its own successor.
func hasLoop(i, n int) bool {
	for j := 1; j <= kautzDegree; j++ {
		if kautzSuccessor(i, j, n) == i {
			return true
		}
	}
	return false
}

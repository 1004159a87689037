package peer

import "github.com/cespare/xxhash/v2"

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

// Share splits a total among n members, the first ones getting what does not divide.
func Share(total, n, rank int) int {
	s := total / n
	if rank < total%n {
		s++
	}
	return s
}

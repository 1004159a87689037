package session

import "fmt"

// Position is a place in a database group's log: the term that wrote the entry and its offset, which grows across terms.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Compare orders positions by term and then offset, and returns -1, 0 or 1.
func (p Position) Compare(o Position) int {
	switch {
	case p == o:
		return 0
	case p.Term < o.Term, p.Term == o.Term && p.Offset < o.Offset:
		return -1
	default:
		return 1
	}
}

// Covers reports whether a log that ends at p holds everything that a log of the same lineage ending at o holds.
func (p Position) Covers(o Position) bool {
	return p.Compare(o) >= 0
}

// Max returns the later of two positions.
func (p Position) Max(o Position) Position {
	if o.Compare(p) > 0 {
		return o
	}
	return p
}

// IsZero reports whether the position names no entry at all.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String prints the position as term/offset, the form in which servers report it.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

// ParsePosition reads the form that String prints.
func ParsePosition(s string) (Position, error) {
	var p Position
	if n, err := fmt.Sscanf(s, "%d/%d", &p.Term, &p.Offset); err != nil || n != 2 {
		return Position{}, &TokenError{Part: "position", Reason: "want term/offset, two decimal numbers"}
	}
	return p, nil
}

// Fork says where a term began: entries up to Start were taken over from earlier terms, and no others were.
type Fork struct {
	Term  uint64 `json:"term"`
	Start uint64 `json:"start"`
}

// DroppedBy returns the fork that dropped the entry at p, if the lineage that the forks describe has another in its place.
func DroppedBy(p Position, fs []Fork) (Fork, bool) {
	var governs Fork
	for _, f := range fs {
		if f.Start < p.Offset {
			governs = f
		}
	}
	if governs.Term == p.Term || governs.Term == 0 || p.Term > fs[len(fs)-1].Term {
		return Fork{}, false
	}
	for _, f := range fs {
		if f.Term > p.Term {
			return f, true
		}
	}
	return governs, true
}

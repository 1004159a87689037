package session

import "fmt"

// Position identifies an entry of a database group's log by the term in which it was written and by its offset. Offsets keep
// increasing across terms.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Compare orders positions by term and then by offset. It returns -1, 0 or 1.
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

// Covers reports whether a log that ends at p contains every entry of a log that ends at o, provided that both have the same
// history.
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

// IsZero reports whether p is the zero position, which identifies no entry.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns the position as TERM/OFFSET, the format in which servers report it.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

// ParsePosition parses the format that String returns. Its error is a *TokenError.
func ParsePosition(s string) (Position, error) {
	var p Position
	if n, err := fmt.Sscanf(s, "%d/%d", &p.Term, &p.Offset); err != nil || n != 2 {
		return Position{}, &TokenError{Part: "position", Reason: fmt.Sprintf("%q is not TERM/OFFSET in decimal", s)}
	}
	return p, nil
}

// Fork is the start of a term in a group's log. The term continues the log of earlier terms up to the offset Start and drops
// the rest.
type Fork struct {
	Term  uint64 `json:"term"`
	Start uint64 `json:"start"`
}

// DroppedBy returns the fork that dropped the entry at p. It returns false if the history that the forks describe contains the
// entry. It also returns false if the forks cannot tell, because p is in a later term than all of them or none starts before p.
// The forks must be in ascending order.
func DroppedBy(p Position, fs []Fork) (Fork, bool) {
	var owner Fork
	for _, f := range fs {
		if f.Start < p.Offset {
			owner = f
		}
	}
	if owner.Term == p.Term || owner.Term == 0 || p.Term > fs[len(fs)-1].Term {
		return Fork{}, false
	}
	for _, f := range fs {
		if f.Term > p.Term {
			return f, true
		}
	}
	return owner, true
}

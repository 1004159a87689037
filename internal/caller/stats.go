package caller

import "time"

// Bounds are the upper ends of the latency buckets in ms; a last bucket holds what took longer.
var Bounds = [...]int{5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200}

// ClassKind says what the reads of a class accept, in place of class names, whose number grows with the routes.
type ClassKind uint8

// The kinds of classes.
const (
	ClassFresh ClassKind = iota
	ClassAged
	ClassSession
	classKinds
)

// String names the kind.
func (k ClassKind) String() string {
	return [...]string{"fresh", "aged", "session"}[k]
}

func classKind(r Request) ClassKind {
	switch c := r.Statement.Class; {
	case c.MaxAgeMS == 0:
		return ClassFresh
	case c.SessionBound:
		return ClassSession
	default:
		return ClassAged
	}
}

// Latency counts the answers of one kind of class by how long they took from the request's arrival.
type Latency struct {
	Buckets [len(Bounds) + 1]uint64 `json:"buckets"`
	Sum     time.Duration           `json:"sum_ns"`
	Count   uint64                  `json:"count"`
}

// count takes note of an answer.
func (s *Stats) count(r Request, now time.Duration) {
	l := &s.Latency[classKind(r)]
	d := now - r.Arrived
	i := 0
	for i < len(Bounds) && d > time.Duration(Bounds[i])*time.Millisecond {
		i++
	}
	l.Buckets[i]++
	l.Sum += d
	l.Count++
}

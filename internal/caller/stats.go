package caller

import "time"

// ClassKind groups classes by what their reads accept. Metrics use it instead of class names, whose number grows with the
// routes.
type ClassKind uint8

// The kinds of classes.
const (
	ClassFresh ClassKind = iota
	ClassAged
	ClassSession
	classKindCount
)

// String returns the kind's name in metrics.
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

// countSent counts a request that is about to be sent. confirmedAt is the time that the newest leadership evidence refers
// to, zero for none.
func (s *Stats) countSent(now time.Duration, r Request, confirmedAt time.Duration) {
	if k := classKind(r); r.Attempts == 0 {
		s.Waits[k] = s.Waits[k].WithSample(now - r.Arrived)
	}
	if confirmedAt != 0 {
		s.EvidenceAge = s.EvidenceAge.WithSample(now - confirmedAt)
	}
}

// countAnswer counts an answer.
func (s *Stats) countAnswer(now time.Duration, r Request) {
	k := classKind(r)
	s.Latency[k] = s.Latency[k].WithSample(now - r.Arrived)
	s.Service[k] = s.Service[k].WithSample(now - r.Started)
}

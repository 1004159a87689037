package caller

import (
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	// sampleEvery is the least time between two samples of a primary's position.
	sampleEvery = 20 * time.Millisecond
	// sampleFor is how long samples are kept: no class accepts reads of a greater age without a younger sample doing as well.
	sampleFor = 5 * time.Second
	// behindFor is how long reads of a stated age keep away from a replica that lacked the position they need.
	behindFor = 100 * time.Millisecond
	// declinedFor is how long requests keep away from a server that declined one.
	declinedFor = 25 * time.Millisecond
)

// GroupKind is what differs between the kinds of database groups for a lane, as one concrete set of functions.
type GroupKind struct {
	Name string
	// Holds reports whether the answer to a request waits for evidence that is gathered after it.
	Holds func(s Session, r Request) bool
	// Leads reports whether a request may run at the primary only on evidence that it led when the request arrived.
	Leads func(r Request) bool
	// Serves reports whether a server other than the primary may run a read, and the position that its answer must show.
	Serves func(q Query, s Server) (session.Position, bool)
	// Cancels says that servers can be asked to give up a request that runs; elsewhere its connection is closed.
	Cancels bool
	// Settles says that the outcome of a lost answer can be found out by its key.
	Settles bool
}

// Quorum is the kind of group that proves its commits and its replicas' age by questions to its primary.
func Quorum() GroupKind {
	return GroupKind{
		Name:    "quorum",
		Holds:   needsProof,
		Leads:   func(Request) bool { return false },
		Serves:  provenYoung,
		Cancels: true,
		Settles: true,
	}
}

// Appointed is the kind of group whose primary acknowledges only what a replica has received. Its answers wait for nothing,
// but a read at the primary needs evidence that no promotion had begun when the read arrived, and a replica is told the
// position that it has to show.
func Appointed() GroupKind {
	return GroupKind{
		Name:   "appointed",
		Holds:  func(Session, Request) bool { return false },
		Leads:  func(r Request) bool { return r.Statement.Kind == KindRead || r.Statement.Kind == KindBegin },
		Serves: coversSample,
	}
}

// provenYoung wants a replica whose applied log is proven young enough, and long enough for the session.
func provenYoung(q Query, s Server) (session.Position, bool) {
	v := s.View
	ok := v.Proven && v.Applied.Covers(q.Session.Need()) && q.Now-v.ProvenAt <= q.Request.Statement.Class.MaxAge()
	return q.Session.Floor, ok
}

// coversSample wants a replica that is not known to lack the oldest position that proves the read's age.
func coversSample(q Query, s Server) (session.Position, bool) {
	at := q.Request.Arrived - q.Request.Statement.Class.MaxAge()
	for _, m := range q.Samples {
		if m.At >= at && q.Led(m.At) {
			need := m.Position.Max(q.Session.Floor)
			return need, s.View.Applied.Covers(need) || q.Now >= s.Behind
		}
	}
	return session.Position{}, false
}

// sample keeps a primary's position as that of the moment at which it was asked for.
func (l *Lane) sample(m upstream.Sample) {
	if m.At == 0 || m.Position.Term != l.view.Term {
		return
	}
	if n := len(l.samples); n > 0 && m.At < l.samples[n-1].At+sampleEvery {
		return
	}
	l.samples = append(l.samples, m)
	old := 0
	for old < len(l.samples) && l.samples[old].At < m.At-sampleFor {
		old++
	}
	l.samples = l.samples[old:]
}

// led reports whether a request that must find its primary leading may run there.
func (l *Lane) led(r Request) bool {
	return r.Joined != 0 || !l.kind.Leads(r) || l.view.Led(r.Arrived)
}

package caller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// lose reports that the connection of a sent request was lost before its answer.
func (l *appointedLane) lose(s caller.Send) []caller.Action {
	return l.openConns(l.step(caller.RequestInterrupted{Conn: s.Conn, Request: s.Request}))
}

// decline reports that a server did not run a request.
func (l *appointedLane) decline(s caller.Send, why caller.DeclineReason) []caller.Action {
	return l.openConns(l.step(caller.Declined{Conn: s.Conn, Request: s.Request, Reason: why}))
}

// declineAll declines each attempt of a request that the actions begin, and returns the actions that refuse it.
func (l *appointedLane) declineAll(as []caller.Action) []caller.Action {
	for !has[caller.Refuse](as) {
		if has[caller.Send](as) {
			as = l.decline(only[caller.Send](l.c, as), caller.DeclineBusy)
		} else {
			as = l.wait(100 * time.Millisecond)
		}
	}
	return as
}

func assertRefusedAs(l *appointedLane, as []caller.Action, reason caller.Reason) {
	l.c.Helper()
	l.c.Assert(only[caller.Refuse](l.c, as).Refusal.Reason, qt.Equals, reason)
}

// TestRefusalOfSentRead guards against a read that is refused as not run although an earlier attempt of it may have run.
func TestRefusalOfSentRead(t *testing.T) {
	read := agedRead
	read.Class = bundle.Class{Name: "board", DeadlineMS: 4000, ObjectiveMS: 1000, MaxAgeMS: 1500}
	t.Run("whose next attempt finds no free slot within the queue timeout", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		s := only[caller.Send](l.c, l.request(2, read))
		for _, n := range []string{"p", "r0", "r1"} {
			l.step(caller.LimitsUpdated{Server: n})
		}
		l.lose(s)
		assertRefusedAs(l, l.wait(caller.QueueTimeout(read.Class)+time.Millisecond), caller.ReasonInterrupted)
	})
	t.Run("whose next attempts are declined", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		as := l.lose(only[caller.Send](l.c, l.request(2, read)))
		assertRefusedAs(l, l.declineAll(as), caller.ReasonInterrupted)
	})
	t.Run("but one that was only declined is refused as not run", func(t *testing.T) {
		l := newAppointedLane(qt.New(t))
		l.connectReplica()
		as := l.request(2, read)
		assertRefusedAs(l, l.declineAll(as), caller.ReasonOverload)
	})
}

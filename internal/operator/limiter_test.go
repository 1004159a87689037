package operator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/operator"
)

func TestLimiter(t *testing.T) {
	refused := operator.Record{Kind: operator.KindRequest, Cause: "refused"}
	term := operator.Record{Kind: operator.KindTerm, Cause: "seen"}
	flood := func(l *operator.Limiter, at time.Duration) (admitted int) {
		for range 1000 {
			if l.Admit(at, refused) {
				admitted++
			}
		}
		return admitted
	}
	t.Run("records beyond the rate are suppressed", func(t *testing.T) {
		c := qt.New(t)
		l := operator.NewLimiter()
		c.Assert(flood(l, time.Second), qt.Equals, 20)
		c.Assert(flood(l, 3*time.Second), qt.Equals, 20)
		c.Assert(l.TotalSuppressed(), qt.Equals, uint64(1960))
	})
	t.Run("other causes are not affected", func(t *testing.T) {
		c := qt.New(t)
		l := operator.NewLimiter()
		flood(l, time.Second)
		c.Assert(l.Admit(time.Second, term), qt.IsTrue)
	})
	t.Run("suppressed records are summarised", func(t *testing.T) {
		c := qt.New(t)
		l := operator.NewLimiter()
		flood(l, time.Second)
		r, ok := l.SuppressedSummary(10 * time.Second)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Evidence[0].Value, qt.Equals, "request/refused=980")
		_, ok = l.SuppressedSummary(20 * time.Second)
		c.Assert(ok, qt.IsFalse)
	})
}

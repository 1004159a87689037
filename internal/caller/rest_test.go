package caller_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/bundle"
)

var (
	restingClass = bundle.Class{Name: "ledger", DeadlineMS: 8000, ObjectiveMS: 8000, IdleTransactionMS: 5000}
	singleClass  = bundle.Class{Name: "tickets", DeadlineMS: 2500, ObjectiveMS: 400}
	slowClass    = bundle.Class{Name: "slow", DeadlineMS: 2500, ObjectiveMS: 400}
)

// playRest has 120 callers of one zone begin a transaction within a second, write and rest for 3 s, while others send single
// writes.
func playRest(c *qt.C, p caller.Policy, conns int) *loadLane {
	f := newLoadLane(c, p, loadSpec{serverSlots: 4, slots: 3, conns: conns})
	transaction := loadCaller{
		class: restingClass, kinds: []caller.Kind{caller.KindBegin, caller.KindWrite, caller.KindCommit}, rest: 3 * time.Second,
	}
	f.offer(1, loadCaller{class: singleClass, kinds: []caller.Kind{caller.KindWrite}}, 60, loadBaseTime, 12*time.Second)
	f.offer(2, transaction, 120, 3*time.Second, 4*time.Second)
	f.Run(25 * time.Second)
	singles, transactions := f.tenants[singleClass.Name], f.tenants[restingClass.Name]
	c.Logf("%s, %d connections: none sent for %v, %d of %d singles and %d of %d transactions in time, %d open at once", p.Name, conns,
		f.longestGap, singles.inTime, singles.offered, transactions.inTime, transactions.offered, f.maxTransactions)
	return f
}

// TestRestingTransactions guards against transactions that wait for their callers on all of a lane's connections to a server,
// so that nothing is sent to it until one of them ends.
func TestRestingTransactions(t *testing.T) {
	const maxGap = 100 * time.Millisecond
	quickest := caller.Quickest(func(string) int { return 0 })
	before := quickest
	before.Name, before.TxLimit = "before", func(int, int) int { return math.MaxInt }
	for _, conns := range []int{7, 22, 40} {
		c := qt.New(t)
		ours, was, fifo := playRest(c, quickest, conns), playRest(c, before, conns), playRest(c, caller.FIFO(), conns)
		c.Check(ours.longestGap <= maxGap, qt.IsTrue)
		c.Check(ours.maxTransactions <= conns/2, qt.IsTrue)
		c.Check(ours.tenants[singleClass.Name].share() >= 0.98, qt.IsTrue)
		c.Check(ours.tenants[restingClass.Name].inTime >= conns/2, qt.IsTrue)
		for _, f := range []*loadLane{was, fifo} {
			c.Check(f.longestGap <= maxGap, qt.IsFalse)
			c.Check(f.tenants[singleClass.Name].share() >= 0.98, qt.IsFalse)
		}
	}
}

// TestTransactionsTakeTurns guards against a tenant whose transactions wait behind all those that another one began earlier.
func TestTransactionsTakeTurns(t *testing.T) {
	c := qt.New(t)
	quickest := caller.Quickest(func(string) int { return 0 })
	today := quickest
	today.Name, today.Share = "today's order", func(caller.Request) string { return "" }
	begun := map[string]int{}
	for _, p := range []caller.Policy{quickest, today} {
		f := newLoadLane(c, p, loadSpec{serverSlots: 4, slots: 3, conns: 22})
		k := loadCaller{
			tenant: "many", class: restingClass, rest: time.Second,
			kinds: []caller.Kind{caller.KindBegin, caller.KindWrite, caller.KindCommit},
		}
		f.offer(1, k, 120, 2*time.Second, 3*time.Second)
		k.tenant = "few"
		f.offer(2, k, 20, 3*time.Second, 4*time.Second)
		f.Run(25 * time.Second)
		few, many := f.tenants["few"], f.tenants["many"]
		begun[p.Name] = few.inTime
		c.Logf("%s: %d of %d of few, %d of %d of many", p.Name, few.inTime, few.offered, many.inTime, many.offered)
	}
	c.Check(begun[quickest.Name] >= 20, qt.IsTrue)
	c.Check(begun[today.Name] >= 20, qt.IsFalse)
}

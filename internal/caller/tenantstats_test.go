package caller

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTenantCounters guards against metrics that grow with the number of tenants, and counters that fall.
func TestTenantCounters(t *testing.T) {
	c := qt.New(t)
	counters := newTenantCounters()
	request := func(i int) Request { return Request{Statement: Statement{Tenant: fmt.Sprintf("t%d", i)}} }
	last := map[string]uint64{}
	total := uint64(0)
	for round := range 200 {
		for i := range 76 {
			// The tenants with higher numbers send more.
			if round*i%76 < i {
				counters.countRequest(request(i))
				total++
			}
		}
		rows := counters.rows()
		c.Assert(len(rows) <= maxNamedTenants+1, qt.IsTrue)
		c.Assert(counters.others.Requests >= last[otherTenants], qt.IsTrue)
		last[otherTenants] = counters.others.Requests
	}
	_, small := counters.named["t1"]
	_, large := counters.named["t75"]
	c.Check(small, qt.IsFalse)
	c.Check(large, qt.IsTrue)
	counters.countRequest(Request{})
	sum := uint64(0)
	for _, s := range counters.rows() {
		sum += s.Requests
	}
	c.Check(sum <= total, qt.IsTrue)
}

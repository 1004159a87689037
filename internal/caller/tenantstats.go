package caller

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxNamedTenants is how many tenants have counters of their own. The others are counted as one.
	maxNamedTenants = 20
	// maxRankedTenants bounds the memory for finding the tenants with the most requests. Further ones are never among them.
	maxRankedTenants = 4096
	// namingLead is how many more requests, in tenths, a tenant must have sent to take the place of another one. It keeps tenants of
	// similar size from taking turns, since the counters of each begin anew.
	namingLead = 12
	// otherTenants is the name of the counters for all tenants without their own.
	otherTenants = "(others)"
)

// TenantStats counts the requests of a tenant in a lane.
type TenantStats struct {
	Tenant   string `json:"tenant"`
	Requests uint64 `json:"requests"`
	Served   uint64 `json:"served"`
	Refused  uint64 `json:"refused"`
	// Sent counts the requests that were sent, and Waited is the time that they waited before in all.
	Sent   uint64        `json:"sent"`
	Waited time.Duration `json:"waited_ns"`
}

// tenantCounters holds the counters of the tenants with the most requests, and of all others together. The counters of a tenant
// that is no longer among them are dropped; its further requests are counted with the others.
type tenantCounters struct {
	requests map[string]uint64
	named    map[string]TenantStats
	others   TenantStats
}

func newTenantCounters() tenantCounters {
	return tenantCounters{requests: map[string]uint64{}, named: map[string]TenantStats{}}
}

// rank counts a request of a tenant, and gives it counters of its own once it is among the tenants with the most requests.
func (t tenantCounters) rank(tenant string) {
	if _, ok := t.requests[tenant]; !ok && len(t.requests) >= maxRankedTenants {
		return
	}
	t.requests[tenant]++
	if _, ok := t.named[tenant]; ok {
		return
	}
	if len(t.named) >= maxNamedTenants {
		last := t.lastNamed()
		if t.requests[tenant]*10 <= t.requests[last]*namingLead {
			return
		}
		delete(t.named, last)
	}
	t.named[tenant] = TenantStats{Tenant: tenant}
}

// lastNamed returns the tenant with the fewest requests among those that have counters.
func (t tenantCounters) lastNamed() string {
	last := ""
	for name := range t.named {
		if last == "" || cmp.Or(cmp.Compare(t.requests[name], t.requests[last]), cmp.Compare(name, last)) < 0 {
			last = name
		}
	}
	return last
}

// add changes the counters of a tenant. Requests without a tenant are not counted.
func (t *tenantCounters) add(tenant string, change func(s *TenantStats)) {
	if tenant == "" {
		return
	}
	if s, ok := t.named[tenant]; ok {
		change(&s)
		t.named[tenant] = s
		return
	}
	t.others.Tenant = otherTenants
	change(&t.others)
}

// countRequest counts a request that arrived.
func (t *tenantCounters) countRequest(r Request) {
	if r.Statement.Tenant != "" {
		t.rank(r.Statement.Tenant)
		t.add(r.Statement.Tenant, func(s *TenantStats) { s.Requests++ })
	}
}

func (t *tenantCounters) countServed(r Request) {
	t.add(r.Statement.Tenant, func(s *TenantStats) { s.Served++ })
}

func (t *tenantCounters) countRefused(r Request) {
	t.add(r.Statement.Tenant, func(s *TenantStats) { s.Refused++ })
}

// countSent counts a request that is about to be sent for the first time.
func (t *tenantCounters) countSent(now time.Duration, r Request) {
	if r.Attempts == 0 {
		t.add(r.Statement.Tenant, func(s *TenantStats) {
			s.Sent++
			s.Waited += now - r.Arrived
		})
	}
}

// rows returns the counters, those with the most requests first and those of the others last.
func (t tenantCounters) rows() []TenantStats {
	var rows []TenantStats
	for _, s := range t.named {
		rows = append(rows, s)
	}
	slices.SortFunc(rows, func(a, b TenantStats) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Tenant, b.Tenant))
	})
	if t.others.Tenant != "" {
		rows = append(rows, t.others)
	}
	return rows
}

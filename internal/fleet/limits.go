package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/tenant"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

// tenantLimits is the loop that decides about the operations of tenants with limits.
type tenantLimits struct {
	loop      *tick.Loop[tenant.Event, tenant.Action]
	admission *platform.Admission
	// mu guards limiter, which the loop and readers of its counters share.
	mu      sync.Mutex
	limiter *tenant.Limiter
}

func (l *tenantLimits) step(now time.Duration, es []tenant.Event) ([]tenant.Action, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Step(now, es)
}

func (l *tenantLimits) stats() tenant.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Stats()
}

// limitsOf returns the limits of the tenants that have one, nil if there are none.
func limitsOf(b bundle.Bundle) map[string]tenant.Limit {
	var limits map[string]tenant.Limit
	for _, t := range b.Tenants {
		if t.Limited() {
			if limits == nil {
				limits = map[string]tenant.Limit{}
			}
			limits[t.Name] = tenant.Limit{Rate: t.Rate, Burst: t.Burst}
		}
	}
	return limits
}

// rateBounds returns the tolerance around limits by the settings.
func rateBounds(s settings.FleetNode) tenant.Bounds {
	d := tenant.DefaultBounds()
	return tenant.Bounds{
		Window:    cmp.Or(time.Duration(s.RateWindowMS*float64(time.Millisecond)), d.Window),
		Tolerance: cmp.Or(s.RateTolerance, d.Tolerance),
		Slack:     cmp.Or(s.RateSlack, d.Slack),
	}
}

// updateTenantLimits passes the limits of a configuration on. The first configuration with a limit starts the loop.
func (n *Node) updateTenantLimits(version uint64, limits map[string]tenant.Limit) {
	l := n.tenantLimits.Load()
	if l == nil && len(limits) == 0 {
		return
	}
	if l == nil {
		l = n.newTenantLimits()
		n.tenantLimits.Store(l)
		n.replaceLimitMembers()
		go func() { _ = l.loop.Run(n.ctx) }()
	}
	l.loop.Post(tenant.LimitsChanged{Version: version, Limits: limits})
}

func (n *Node) newTenantLimits() *tenantLimits {
	l := &tenantLimits{limiter: tenant.New(n.settings.Peer, tenant.WithBounds(rateBounds(n.settings)),
		tenant.WithIncarnation(uint64(n.start.UnixNano())))}
	l.loop = tick.NewLoop(n.clock, l.step, n.performLimitAction)
	l.admission = &platform.Admission{
		Request: func(id caller.SessionID, seq uint64, name string, patience time.Duration) {
			l.loop.Post(tenant.Requested{Session: id, Seq: seq, Tenant: name, Deadline: n.clock() + patience})
		},
		Cancel: func(id caller.SessionID) { l.loop.Post(tenant.Cancelled{Session: id}) },
	}
	return l
}

// admissionFor returns what decides about the operations of a tenant, or nil if the tenant has no limit.
func (n *Node) admissionFor(r *routeTable, name string) *platform.Admission {
	if _, limited := r.limits[name]; !limited {
		return nil
	}
	return n.tenantLimits.Load().admission
}

// postLimitEvent hands an event to the loop, if it runs.
func (n *Node) postLimitEvent(e tenant.Event) {
	if l := n.tenantLimits.Load(); l != nil {
		l.loop.Post(e)
	}
}

func (n *Node) receiveLimit(from string, m tenant.Message) {
	n.postLimitEvent(tenant.Received{From: from, Message: m})
}

// noteUnreachable reports a node that refused a connection. One that does not answer in time may only be slow.
func (n *Node) noteUnreachable(address string, err error) {
	if traffic.IsConnectionRefused(err) {
		n.postLimitEvent(tenant.Unreachable{Node: address})
	}
}

// replaceLimitMembers chooses the homes and witnesses among the members and passes them on. A draining node is none of them.
func (n *Node) replaceLimitMembers() {
	if n.tenantLimits.Load() == nil {
		return
	}
	n.mu.Lock()
	members := slices.DeleteFunc(slices.Clone(n.members), func(u peer.Update) bool {
		return u.Name == n.settings.Peer && n.draining.Load()
	})
	all := slices.Concat(members, n.lostMembers)
	n.limitMembers = tenant.MembersChanged{
		Homes: peer.LimitHomes(members), Witnesses: peer.LimitWitnesses(all), Known: len(all), Complete: n.membersListed,
	}
	n.mu.Unlock()
	n.updateLimitMembers()
}

// updateLimitMembers passes on which members answer.
func (n *Node) updateLimitMembers() {
	if n.tenantLimits.Load() == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.limitMembers
	for _, u := range n.members {
		if u.Name == n.settings.Peer && n.draining.Load() {
			continue
		}
		if n.isSuspect(u.Name) {
			e.Suspects = append(e.Suspects, u.Name)
		} else {
			e.Alive++
		}
	}
	for _, u := range n.lostMembers {
		e.Suspects = append(e.Suspects, u.Name)
	}
	n.postLimitEvent(e)
}

// performLimitAction performs an action of the loop.
func (n *Node) performLimitAction(a tenant.Action) {
	switch a := a.(type) {
	case tenant.Admit:
		n.listener.Admit(a.Session, a.Seq, a.Waited)
	case tenant.Refuse:
		n.refuseOperation(a)
	case tenant.Send:
		n.link.SendLimit(n.settings.Peer, a.To, n.memberZone(a.To), a.Message)
	}
}

// The causes of audit records about operations of tenants with limits.
const (
	causeOverLimit     = "over_limit"
	causeNoLimitAnswer = "limit_unanswered"
)

// refuseOperation answers an operation that its tenant's limit does not admit.
func (n *Node) refuseOperation(a tenant.Refuse) {
	r, cause := caller.Refusal{Reason: caller.ReasonOverLimit, Retry: a.RetryAfter}, causeOverLimit
	switch a.Cause {
	case tenant.CauseNoAnswer:
		r = caller.Refusal{Reason: caller.ReasonTimeout, Detail: "no answer about the tenant's limit"}
		cause = causeNoLimitAnswer
	case tenant.CauseDraining:
		r, cause = caller.Refusal{Reason: caller.ReasonDraining}, ""
	}
	n.listener.Callers().Refuse(caller.Refuse{Session: a.Session, Seq: a.Seq, Refusal: r})
	if cause != "" {
		n.writeAuditRecord(operator.Record{Kind: operator.KindRefusal, Cause: cause}.
			WithEvidence("tenant", a.Tenant).WithEvidence("retry", a.RetryAfter.String()))
	}
}

const (
	// maxNamedTenants bounds the tenants with metrics of their own: those with the most operations.
	maxNamedTenants = 20
	// otherTenants stands for all other tenants in metrics.
	otherTenants = "(other)"
)

// writeLimitMetrics writes the counters about the limits of tenants, if there are any.
func (n *Node) writeLimitMetrics(t metrics.TextWriter) {
	l := n.tenantLimits.Load()
	if l == nil {
		return
	}
	s := l.stats()
	names := slices.SortedFunc(maps.Keys(s.Tenants), func(a, b string) int {
		x, y := s.Tenants[a], s.Tenants[b]
		return cmp.Or(cmp.Compare(y.Admitted+y.Refused, x.Admitted+x.Refused), cmp.Compare(a, b))
	})
	var other tenant.Counts
	for i, name := range names {
		c := s.Tenants[name]
		if i < maxNamedTenants {
			writeTenantCounts(t, name, c)
			continue
		}
		other.Admitted, other.Refused, other.Waited = other.Admitted+c.Admitted, other.Refused+c.Refused, other.Waited+c.Waited
	}
	if len(names) > maxNamedTenants {
		writeTenantCounts(t, otherTenants, other)
	}
	t.Line("limit_credit_total", s.CreditAsked, "step", "asked")
	t.Line("limit_credit_total", s.CreditReceived, "step", "granted")
	t.Line("limit_credit_total", s.CreditLent, "step", "lent")
	t.Line("limit_operations_without_answer_total", s.Alone)
	t.Line("limit_messages_total", s.MessagesSent)
}

func writeTenantCounts(t metrics.TextWriter, name string, c tenant.Counts) {
	t.Line("tenant_operations_total", c.Admitted, "tenant", name, "outcome", "admitted")
	t.Line("tenant_operations_total", c.Refused, "tenant", name, "outcome", "refused")
	t.Line("tenant_operations_total", c.Waited, "tenant", name, "outcome", "waited")
}

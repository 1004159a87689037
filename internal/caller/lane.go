package caller

import (
	"fmt"
	"time"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/table"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// Lane holds the tables of one database group's traffic on one node, and the systems that run over them each tick.
type Lane struct {
	group   string
	zone    string
	policy  Policy
	kind    GroupKind
	samples []upstream.Sample
	// leaderConfirmedAt is the latest time for which the lane's own evidence shows that the primary led.
	leaderConfirmedAt time.Duration
	// replicatedTo is the highest position of this term's log that a replica is known to hold.
	replicatedTo session.Position
	// acknowledgedTo is the highest position of a commit that was acknowledged, and reportedTo the one that control knows of.
	// reportAcknowledgedAt is the earliest time of the next report.
	acknowledgedTo       session.Position
	reportedTo           session.Position
	reportAcknowledgedAt time.Duration
	// replicaPausedAt is when a replica was last known to be paused, following no primary. Zero means never in this term.
	replicaPausedAt time.Duration
	// evidenceAttempts counts failed confirmations. It selects the server to ask next.
	evidenceAttempts int
	sessions         *table.Table[SessionID, Session]
	requests         *table.Table[RequestID, Request]
	conns            *table.Table[ConnID, Conn]
	servers          *table.Table[string, Server]
	// opening counts the connections that are being opened.
	opening map[connKey]int
	// connUses holds what is known about the use of each tenant's connections.
	connUses      map[connKey]connUse
	confirmations *table.Table[uint64, confirmation]
	departures    *table.Table[int, departureStats]
	answerTimes   *table.Table[string, classAnswerTime]
	workTimes     *table.Table[workKey, WorkTime]
	now           time.Duration
	// replicaWaitUntil is the earliest time at which a read that waits for a replica may use the primary. Zero means that
	// none waits.
	replicaWaitUntil time.Duration
	leases           *table.Table[string, lease]
	// slotDemand counts, per server, the requests that wait for a slot in this tick.
	slotDemand map[string]demand
	// leaseSlots is set if the lane leases slots from servers. lastSlotSeq numbers its requests for them.
	leaseSlots  bool
	lastSlotSeq uint64
	view        upstream.GroupView
	queues      [queueCount]fairQueue
	// awaitingConfirmation lists requests whose answers wait for evidence, awaitingFloor sessions without a known floor.
	awaitingConfirmation []RequestID
	awaitingFloor        []SessionID
	lastRequest          RequestID
	lastConn             ConnID
	lastConfirmation     uint64
	// confirmAt is the earliest time of the next confirmation.
	confirmAt time.Duration
	// retryBudget is how many reads may be sent again.
	retryBudget float64
	rotation    int
	// draining is set on a node that is leaving, transactionsDrained once open transactions may not go on either.
	draining            bool
	transactionsDrained bool
	jitter              func(limit time.Duration) time.Duration
	onViolation         func(invariant, detail string)
	trace               func(id string) bool
	stats               Stats
	tenants             tenantCounters
	actions             []Action
	systems             []system
}

type system struct {
	name string
	run  func(l *Lane, now time.Duration)
}

// QueueID identifies one of a lane's queues. Lower values are served first.
type QueueID int

// The queues of a lane, in the order in which they are served.
const (
	// QueueTransaction holds requests of open transactions, which have a connection already.
	QueueTransaction QueueID = iota
	// QueueResolve holds lookups of the outcomes of lost answers.
	QueueResolve
	QueueShort
	// QueueAged holds reads that accept an age.
	QueueAged
	QueueLong
	queueCount
)

// Stats counts what a lane did since its start.
type Stats struct {
	Requests       uint64 `json:"requests"`
	Reads          uint64 `json:"reads"`
	EligibleReads  uint64 `json:"eligible_reads"`
	ReplicaReads   uint64 `json:"replica_reads"`
	Refused        uint64 `json:"refused"`
	Unknown        uint64 `json:"unknown"`
	Retried        uint64 `json:"retried"`
	Declined       uint64 `json:"declined"`
	Resolutions    uint64 `json:"settled"`
	StrayMessages  uint64 `json:"stray_messages"`
	Confirmations  uint64 `json:"proofs"`
	Violations     uint64 `json:"violations"`
	LostWork       uint64 `json:"lost_work"`
	SessionsOpened uint64 `json:"sessions_opened"`
	// Latency is the time from a request's arrival to its answer, Waits from its arrival to its first send, and Service from
	// its last send to its answer.
	Latency [classKindCount]metrics.Histogram `json:"latency"`
	Waits   [classKindCount]metrics.Histogram `json:"waits"`
	Service [classKindCount]metrics.Histogram `json:"service"`
	// EvidenceAge is the age of the newest leadership evidence at the time when each request was sent.
	EvidenceAge metrics.Histogram `json:"evidence_age"`
	// Tenants counts the requests of the tenants with the most of them, and of all others together in the last element.
	Tenants []TenantStats `json:"tenants,omitempty"`
}

// Option configures a Lane.
type Option func(*Lane) error

// WithPolicy sets the policy. The default is DefaultPolicy.
func WithPolicy(p Policy) Option {
	return func(l *Lane) error {
		l.policy = p
		return nil
	}
}

// WithGroupKind sets the kind of the lane's group. The default is Quorum.
func WithGroupKind(k GroupKind) Option {
	return func(l *Lane) error {
		l.kind = k
		return nil
	}
}

// WithJitter sets the source of random delays. The default returns half the limit.
func WithJitter(f func(limit time.Duration) time.Duration) Option {
	return func(l *Lane) error {
		l.jitter = f
		return nil
	}
}

// WithViolationHandler sets the function that is called when an invariant does not hold.
func WithViolationHandler(f func(invariant, detail string)) Option {
	return func(l *Lane) error {
		l.onViolation = f
		return nil
	}
}

// NewLane returns the lane of a database group on a node in the given zone.
func NewLane(group, zone string, opts ...Option) (*Lane, error) {
	l := &Lane{
		group:         group,
		zone:          zone,
		policy:        DefaultPolicy(),
		kind:          Quorum(),
		sessions:      table.New[SessionID, Session](),
		requests:      table.New[RequestID, Request](),
		conns:         table.New[ConnID, Conn](),
		servers:       table.New[string, Server](),
		confirmations: table.New[uint64, confirmation](),
		departures:    table.New[int, departureStats](),
		answerTimes:   table.New[string, classAnswerTime](),
		workTimes:     table.New[workKey, WorkTime](),
		leases:        table.New[string, lease](),
		slotDemand:    map[string]demand{},
		opening:       map[connKey]int{},
		connUses:      map[connKey]connUse{},
		tenants:       newTenantCounters(),
		retryBudget:   maxRetryBudget,
		jitter:        func(limit time.Duration) time.Duration { return limit / 2 },
		onViolation:   func(string, string) {},
		trace:         func(string) bool { return false },
	}
	for q := range l.queues {
		l.queues[q] = newFairQueue()
	}
	l.systems = []system{
		{"deadlines", expireRequests},
		{"lease timeouts", expireLeases},
		{"sessions", endSessions},
		{"dispatch", dispatchQueues},
		{"confirmations", sendConfirmations},
		{"leases", maintainLeases},
		{"pool", closeIdleConns},
		{"acknowledged commits", reportAcknowledged},
	}
	for _, o := range opts {
		if err := o(l); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Step applies the events since the last step and runs the systems. It returns the actions to take, and the latest time of
// the next step.
func (l *Lane) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	l.actions = nil
	l.now = now
	for _, e := range es {
		l.apply(now, e)
	}
	for _, s := range l.systems {
		s.run(l, now)
	}
	l.checkLimits()
	return l.actions, l.nextWake(now)
}

func (l *Lane) nextWake(now time.Duration) time.Duration {
	wake := min(l.requests.NextDue(), l.sessions.NextDue(), l.conns.NextDue(), l.confirmations.NextDue(), l.servers.NextDue(),
		l.leases.NextDue())
	if l.replicaWaitUntil != 0 {
		wake = min(wake, max(now, l.replicaWaitUntil))
	}
	if l.acknowledgedUnreported() {
		wake = min(wake, max(now, l.reportAcknowledgedAt))
	}
	if l.confirmationNeeded() {
		wake = min(wake, max(now, l.confirmAt))
	}
	return wake
}

// Stats returns the counters since the lane's start.
func (l *Lane) Stats() Stats {
	s := l.stats
	s.Tenants = l.tenants.rows()
	return s
}

// InFlight returns the number of unanswered requests and the number of open sessions.
func (l *Lane) InFlight() (requests, sessions int) {
	return l.requests.Len(), l.sessions.Len()
}

// Session returns the row of a session, and whether it exists.
func (l *Lane) Session(id SessionID) (Session, bool) {
	return l.sessions.Get(id)
}

// Servers returns the rows of all servers, sorted by name.
func (l *Lane) Servers() []Server {
	ss := make([]Server, 0, l.servers.Len())
	for _, k := range l.servers.Keys() {
		s, _ := l.servers.Get(k)
		ss = append(ss, s)
	}
	return ss
}

func (l *Lane) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case SessionOpened:
		l.openSession(now, e)
	case SessionClosed:
		l.closeSession(now, e.Session)
	case TokenReceived:
		l.receiveToken(now, e)
	case RequestReceived:
		l.receiveRequest(now, e)
	case CancelRequested:
		l.cancel(now, e.Session)
	case ViewUpdated:
		l.updateView(now, e.View)
	case LimitsUpdated:
		l.updateLimits(now, e)
	case DrainStarted:
		l.drain()
	case DrainTransactions:
		l.drainTransactions()
	case DrainDeadline:
		l.answerAll(now)
	case RouteQuestion:
		l.explainRoute(now, e)
	default:
		l.applyUpstream(now, e)
	}
}

func (l *Lane) applyUpstream(now time.Duration, e Event) {
	switch e := e.(type) {
	case ConnOpened:
		l.connOpened(now, e.Conn)
	case ConnFailed:
		l.connFailed(now, e)
	case ConnLost:
		l.connLost(now, e.Conn)
	case CancelDone:
		l.cancelDone(now, e.Conn)
	case Replied:
		l.replied(now, e)
	case RequestInterrupted:
		l.requestInterrupted(now, e)
	case Declined:
		l.declined(now, e)
	case LeadershipConfirmed:
		l.leadershipConfirmed(now, e)
	case LeadershipUnconfirmed:
		l.leadershipUnconfirmed(now, e.Confirmation)
	case SlotsGranted:
		l.slotsGranted(now, e)
	case SlotsFailed:
		l.slotsFailed(now, e)
	case OutcomeLookedUp:
		l.outcomeLookedUp(now, e)
	case TombstoneWritten:
		l.tombstoneWritten(now, e)
	}
}

// updateLimits sets this node's share of connections to a server, and its share of slots unless slots are leased.
func (l *Lane) updateLimits(now time.Duration, e LimitsUpdated) {
	s, _ := l.servers.Get(e.Server)
	s = s.WithRetired(e.Retired)
	if l.leaseSlots {
		s = s.WithLimits(s.Slots, s.LongSlots, e.Conns)
	} else {
		s = s.WithLimits(e.Slots, l.policy.LongLimit(e.Slots), e.Conns)
	}
	if l.policy.Capacity.Answered != nil {
		s.Capacity = s.Capacity.WithBounds(e.Slots, e.MaxSlots)
	}
	if l.learns(s) {
		s.LongSlots = l.policy.LongLimit(s.Capacity.Allowed())
	}
	l.servers.Put(e.Server, s)
	l.releaseConns(now, e.Server)
}

// updateView adopts a newer snapshot of the group. If the primary was replaced, it closes the connections to the old one.
func (l *Lane) updateView(now time.Duration, v upstream.GroupView) {
	if v.Term < l.view.Term {
		return
	}
	replaced := v.Term > l.view.Term && v.Primary != l.view.Primary
	old := l.view.Primary
	if v.Term > l.view.Term {
		l.samples = nil
		l.leaderConfirmedAt = 0
		l.replicatedTo = session.Position{}
		l.replicaPausedAt = 0
		l.retryUnconfirmed()
	}
	if v.LogLostAt != 0 && v.LogLostAt != l.view.LogLostAt {
		// The replica that held the log up to there may be the one whose log was lost.
		l.replicatedTo = session.Position{}
	}
	l.view = v
	l.replicaPausedAt = max(l.replicaPausedAt, v.LastPausedAt)
	l.sample(v.LatestSample)
	l.releaseConfirmed(now)
	l.removeServers(now, v)
	for _, s := range v.Servers {
		row, _ := l.servers.Get(s.Name)
		l.servers.Put(s.Name, row.WithView(s))
		if !s.Alive && s.Name != v.Primary {
			l.closeServerConns(now, s.Name)
		}
	}
	if replaced {
		l.confirmAt = now
		l.closeServerConns(now, old)
	}
}

// removeServers deletes the rows of servers that are no longer in the group.
func (l *Lane) removeServers(now time.Duration, v upstream.GroupView) {
	for _, k := range l.servers.Keys() {
		if row, _ := l.servers.Get(k); row.View.Name == "" {
			continue
		}
		if _, ok := v.Server(k); !ok {
			l.closeServerConns(now, k)
			l.servers.Delete(k)
			l.forgetWork(k)
		}
	}
}

// closeServerConns closes the established connections to a server that was removed, replaced or lost, and handles the
// requests that ran on them as interrupted.
func (l *Lane) closeServerConns(now time.Duration, server string) {
	for _, k := range l.conns.Keys() {
		c, _ := l.conns.Get(k)
		if c.Server != server || c.Phase == ConnOpening {
			continue
		}
		l.actions = append(l.actions, Close{Conn: k})
		if c.Request != 0 {
			l.requestInterrupted(now, RequestInterrupted{Conn: k, Request: c.Request, GivenUp: true})
		} else {
			l.connLost(now, k)
		}
	}
}

func (l *Lane) writeAuditRecord(r operator.Record) {
	r.Group = l.group
	l.actions = append(l.actions, WriteAuditRecord{Record: r})
}

// ensure counts and reports a violation if an invariant does not hold.
func (l *Lane) ensure(ok bool, invariant string, detail func() string) {
	if ok {
		return
	}
	l.stats.Violations++
	l.onViolation(invariant, detail())
}

// checkLimits asserts that the connection and slot counts of changed servers are consistent.
func (l *Lane) checkLimits() {
	for _, k := range l.servers.TakeDirty() {
		s, _ := l.servers.Get(k)
		l.ensure(s.Running >= 0 && s.OpenConns >= 0 && s.OpeningConns >= 0, "counts_not_negative", func() string {
			return fmt.Sprintf("server %s: running %d open %d opening %d", k, s.Running, s.OpenConns, s.OpeningConns)
		})
		l.ensure(len(s.IdleConns) <= s.OpenConns, "idle_within_open", func() string {
			return fmt.Sprintf("server %s: idle %d open %d", k, len(s.IdleConns), s.OpenConns)
		})
	}
}

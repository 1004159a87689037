package peer

import (
	"cmp"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// PingInterval is the time between the pings of a node. Each ping goes to one member.
	PingInterval = 500 * time.Millisecond
	// AckTimeout is how long a ping may stay unanswered before other members are asked to ping the same member.
	AckTimeout = 200 * time.Millisecond
	// SuspectAfter is how long a ping may stay unanswered, also through other members, before the member becomes suspect.
	SuspectAfter = 450 * time.Millisecond
	// DeadAfter is how long a member stays suspect before it is considered dead.
	DeadAfter = 3 * time.Second
	// ForgetAfter is how long the row of a dead member is kept, so that outdated gossip cannot add the member again.
	ForgetAfter = 10 * time.Minute

	// gossipFanout is how many members get a gossip message at once, or are asked for an indirect ping.
	gossipFanout            = 3
	maxBroadcastsPerMessage = 12
	// maxRoutes bounds the routes in one message, and the pings that are relayed for other nodes at the same time.
	maxRoutes        = 200
	retransmitFactor = 3

	// maxMembersPerMessage bounds the member updates that a node sends to one with another member digest.
	maxMembersPerMessage = 24

	// deadPingEvery is the interval, in pings, at which a ping may go to a dead member, since a partition may have healed.
	deadPingEvery = 4
)

// Membership holds one node's tables of the other nodes and of the routes.
type Membership struct {
	self       Update
	members    *table.Table[string, Member]
	routes     *table.Table[string, Route]
	broadcasts []broadcast
	pingOrder  []string
	// recent holds the members of which other nodes have told this one last.
	recent     []string
	nextIndex  int
	pingCount  int
	seq        uint64
	nextPingAt time.Duration
	// nextPublishAt is the earliest time of the next list of members.
	nextPublishAt time.Duration
	// large is set while the fleet has more than maxSmallFleet live members. Its neighbors then get most of the pings, and
	// neighborIndex is the next of them. remoteChanges are the last times at which a member of another region changed its state,
	// and remoteLost counts the members of other regions that are dead or leaving.
	large         bool
	neighbors     []string
	neighborIndex int
	remoteChanges [remoteAlertChanges]time.Duration
	remoteLost    int
	region        func(zone string) string
	// roundTrip is the smoothed time between a ping and its ack.
	roundTrip time.Duration
	// now is the time of the current step.
	now time.Duration
	// wakeAt is the time by which Step is called next, and judgeFrom that from which on members may become suspect or dead.
	wakeAt      time.Duration
	judgeFrom   time.Duration
	routeDigest uint64
	// othersDigest is the digest of all members except this node.
	othersDigest   uint64
	bundleVersion  uint64
	bundle         []byte
	membersChanged bool
	// vmsListed reports whether the platform's VM list has been received.
	vmsListed bool
	// gossipNow requests a gossip message in this step, without waiting for the next ping. memberNews requests one because a
	// member is dead, refuted because this node was reported as suspect or dead.
	gossipNow  bool
	memberNews bool
	refuted    bool
	// These bound the messages that a large fleet exchanges about members that do not answer.
	newsAllowance, refuteAllowance, indirectAllowance, sampleAllowance allowance
	relayedPings                                                       map[uint64]relayedPing
	random                                                             func(n int) int
	actions                                                            []Action
}

// Option configures a Membership.
type Option func(*Membership) error

// WithRandom sets the source of random numbers below n. By default the number is zero.
func WithRandom(f func(n int) int) Option {
	return func(m *Membership) error {
		m.random = f
		return nil
	}
}

// WithMember adds a node from the settings.
func WithMember(name, zone, address string) Option {
	return func(m *Membership) error {
		m.applyUpdate(0, Update{Name: name, Zone: zone, Address: address})
		return nil
	}
}

// WithWeight sets the node's processor share in thousandths, which weights the choice of dispatchers.
func WithWeight(weight uint32) Option {
	return func(m *Membership) error {
		m.self.Weight = weight
		return nil
	}
}

// NewMembership returns the membership of the named node. The incarnation must be higher than at any earlier start of that node.
// The error is that of an option.
func NewMembership(name, zone, address string, incarnation uint64, opts ...Option) (*Membership, error) {
	m := &Membership{
		self:           Update{Name: name, Zone: zone, Address: address, Incarnation: incarnation},
		members:        table.New[string, Member](),
		routes:         table.New[string, Route](),
		relayedPings:   map[uint64]relayedPing{},
		random:         func(int) int { return 0 },
		region:         func(string) string { return "" },
		membersChanged: true,
		roundTrip:      firstRoundTrip,
	}
	for _, o := range opts {
		if err := o(m); err != nil {
			return nil, err
		}
	}
	m.queueBroadcast(broadcast{update: m.self})
	return m, nil
}

// Step applies the events since the last step. It returns the resulting actions, and the time by which Step must be called again.
func (m *Membership) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	m.actions, m.now = nil, now
	m.detectOwnDelay(now)
	for _, e := range es {
		m.apply(now, e)
	}
	m.expireMembers(now)
	m.ping(now)
	m.gossip(now)
	m.publishMembers(now)
	m.wakeAt = m.nextStepAt()
	return m.actions, m.wakeAt
}

// nextStepAt returns the time by which Step must be called again.
func (m *Membership) nextStepAt() time.Duration {
	at := min(m.nextPingAt, m.members.NextDue())
	if m.memberNews {
		at = min(at, m.newsAllowance.next)
	}
	if m.refuted {
		at = min(at, m.refuteAllowance.next)
	}
	if m.membersChanged {
		at = min(at, m.nextPublishAt)
	}
	return at
}

// Alive returns this node and all members that are alive or suspect, sorted by name.
func (m *Membership) Alive() []Update {
	us := make([]Update, 0, m.members.Len()+1)
	for _, k := range m.members.Keys() {
		if r, _ := m.members.Get(k); r.State.present() {
			us = append(us, r.update())
		}
	}
	i, _ := slices.BinarySearchFunc(us, m.self.Name, func(u Update, name string) int { return cmp.Compare(u.Name, name) })
	return slices.Insert(us, i, m.self)
}

// lost returns the members that are considered dead.
func (m *Membership) lost() []Update {
	var us []Update
	for _, k := range m.members.Keys() {
		if r, _ := m.members.Get(k); r.State == StateDead {
			us = append(us, r.update())
		}
	}
	return us
}

// Version returns the version of the bundle that this node passes on.
func (m *Membership) Version() uint64 {
	return m.bundleVersion
}

func (m *Membership) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case MessageReceived:
		m.receiveMessage(now, e.Message)
	case VMsListed:
		if !m.vmsListed {
			m.vmsListed, m.membersChanged, m.nextPublishAt = true, true, now
			m.dropListed(e.Updates)
		}
		for _, u := range e.Updates {
			m.applyListedVM(now, u)
		}
	case RouteDiscovered:
		m.learnRoute(e.Route, false)
	case BundleAccepted:
		if e.Version > m.bundleVersion {
			m.bundleVersion = e.Version
			m.bundle = e.Bundle
			m.gossipNow = true
		}
	case DrainStarted:
		m.self.State = StateLeaving
		m.queueBroadcast(broadcast{update: m.self})
		m.gossipNow = true
	}
}

// applyListedVM applies an entry of the platform's VM list. As the list lags, it only adds unknown members that are alive,
// completes those from the settings and marks known members as leaving. Other nodes read the same list, so its entries are not
// broadcast.
func (m *Membership) applyListedVM(now time.Duration, u Update) {
	r, known := m.members.Get(u.Name)
	switch {
	case u.Name == m.self.Name:
	case !known && u.State == StateAlive:
		m.add(now, u)
	case known && r.Zone == "" && u.Zone != "":
		next := r
		next.Zone, next.Weight = u.Zone, cmp.Or(u.Weight, r.Weight)
		m.store(r, next)
	case known && u.State == StateLeaving && r.State < StateLeaving:
		u.Incarnation = r.Incarnation
		m.applyUpdate(now, u)
	}
}

func (m *Membership) receiveMessage(now time.Duration, g Message) {
	if r, ok := m.members.Get(g.From); ok && g.From != m.self.Name {
		m.measureRoundTrip(now, r, g)
		m.clearSuspicion(now, r)
	}
	for _, u := range g.Updates {
		m.applyUpdate(now, u)
	}
	for _, r := range g.Routes {
		m.learnRoute(r, true)
	}
	if g.Version > m.bundleVersion {
		m.fetchBundle(g)
	}
	switch g.Kind {
	case KindGossip:
		m.sendBundle(g)
	case KindPing:
		m.acknowledgePing(g)
	case KindAck:
		m.receiveAck(now, g)
	case KindPingRequest:
		m.relayPing(g)
	}
}

// fetchBundle offers the newer bundle of a message to this node. If a gossip message names only the newer version, fetchBundle
// answers with this node's version, so that the sender sends the bundle.
func (m *Membership) fetchBundle(g Message) {
	if len(g.Bundle) > 0 {
		m.actions = append(m.actions, OfferBundle{Bundle: g.Bundle})
		return
	}
	if g.Kind == KindGossip {
		m.send(g.From, m.message(KindGossip, 0))
	}
}

// sendBundle sends the bundle to a node with an older version.
func (m *Membership) sendBundle(g Message) {
	if g.Version < m.bundleVersion {
		n := m.message(KindGossip, 0)
		n.Bundle = m.bundle
		m.send(g.From, n)
	}
}

// acknowledgePing answers a ping with an ack, and adds the data that the sender lacks.
func (m *Membership) acknowledgePing(g Message) {
	a := m.message(KindAck, g.Seq)
	a.Target = m.self.Name
	m.addMissing(&a, g)
	m.send(g.From, a)
}

// addMissing adds the bundle, a sample of the members or all routes to a, the answer to g, where the version or the digests in g
// differ from this node's.
func (m *Membership) addMissing(a *Message, g Message) {
	if g.Version < m.bundleVersion {
		a.Bundle = m.bundle
	}
	if g.Members != m.membersDigest() && (!m.large || m.sampleAllowance.take(m.now, sampleInterval)) {
		a.Updates = append(a.Updates, m.sampleMembers()...)
	}
	if g.Digest != m.routeDigest && !g.All {
		a.Routes = nil
		for _, k := range m.routes.Keys() {
			r, _ := m.routes.Get(k)
			a.Routes = append(a.Routes, r)
			if len(a.Routes) == maxRoutes {
				break
			}
		}
		a.All = true
	}
}

// membersDigest returns the digest of all members, this node included.
func (m *Membership) membersDigest() uint64 {
	return m.othersDigest ^ m.self.hash()
}

// receiveAck applies an ack, forwards it if the ping was relayed for another node, and sends the data that the sender lacks.
func (m *Membership) receiveAck(now time.Duration, g Message) {
	if r, ok := m.members.Get(g.Target); ok && r.PendingPing == g.Seq {
		m.members.Put(g.Target, r.WithAck())
		m.members.SetDue(g.Target, table.Never)
		m.clearSuspicion(now, r)
	}
	if w, ok := m.relayedPings[g.Seq]; ok {
		delete(m.relayedPings, g.Seq)
		a := m.message(KindAck, w.seq)
		a.Target = g.Target
		m.send(w.to, a)
	}
	if g.Version < m.bundleVersion || g.Digest != m.routeDigest && !g.All || g.Members != m.membersDigest() {
		n := m.message(KindGossip, 0)
		m.addMissing(&n, g)
		m.send(g.From, n)
	}
}

// relayPing pings a member on behalf of a node that cannot reach it.
func (m *Membership) relayPing(g Message) {
	if _, ok := m.members.Get(g.Target); !ok {
		return
	}
	m.seq++
	m.relayedPings[m.seq] = relayedPing{to: g.From, seq: g.Seq}
	if len(m.relayedPings) > maxRoutes {
		m.relayedPings = map[uint64]relayedPing{m.seq: m.relayedPings[m.seq]}
	}
	m.send(g.Target, m.message(KindPing, m.seq))
}

// clearSuspicion makes a suspect member alive again after a message from it.
func (m *Membership) clearSuspicion(now time.Duration, r Member) {
	if r.State == StateSuspect {
		m.change(r, r.WithAck().WithState(now, StateAlive, r.Incarnation))
	}
}

// applyUpdate applies an update about a member. An update that reports this node in a later state than its own is refuted with a
// higher incarnation.
func (m *Membership) applyUpdate(now time.Duration, u Update) {
	if u.Name == m.self.Name {
		if u.State > m.self.State && u.Incarnation >= m.self.Incarnation {
			m.self.Incarnation = u.Incarnation + 1
			m.queueBroadcast(broadcast{update: m.self})
			m.refuted = true
		}
		return
	}
	r, known := m.members.Get(u.Name)
	switch {
	case !known:
		m.recent = append(m.recent[max(0, len(m.recent)+1-maxRecentMembers):], u.Name)
		m.queueBroadcast(broadcast{update: m.add(now, u).update(), joined: u.State == StateAlive})
	case overrides(u, r):
		next := r.WithState(now, u.State, u.Incarnation)
		next.Zone, next.Address = u.Zone, u.Address
		next.Weight = cmp.Or(u.Weight, r.Weight)
		m.change(r, next)
	}
}

// add stores an unknown member, and returns its row.
func (m *Membership) add(now time.Duration, u Update) Member {
	m.pingOrder = append(m.pingOrder, u.Name)
	j := m.random(len(m.pingOrder))
	m.pingOrder[j], m.pingOrder[len(m.pingOrder)-1] = m.pingOrder[len(m.pingOrder)-1], m.pingOrder[j]
	r := Member{Name: u.Name, Zone: u.Zone, Address: u.Address, Weight: u.Weight, StateSince: now}
	r = r.WithState(now, u.State, u.Incarnation)
	m.store(Member{Name: u.Name}, r)
	m.othersDigest ^= r.update().hash()
	m.membersChanged = true
	return r
}

// change stores the changed row of a member and broadcasts it, unless every node learns the change from the member itself.
func (m *Membership) change(before, after Member) {
	m.store(before, after)
	m.othersDigest ^= before.update().hash() ^ after.update().hash()
	if !after.completes(before) {
		m.queueBroadcast(broadcast{update: after.update()})
	}
}

// store stores a member's row, reports a change of its state, and schedules the next one.
func (m *Membership) store(before, after Member) {
	m.members.Put(after.Name, after)
	m.membersChanged = m.membersChanged || before.Zone != after.Zone || before.Weight != after.Weight ||
		before.State.present() != after.State.present()
	if before.State != after.State {
		m.recordRemoteChange(before, after)
		m.actions = append(m.actions, MemberChanged{Name: after.Name, State: after.State, Previous: before.State})
	}
	switch after.State {
	case StateSuspect:
		m.members.SetDue(after.Name, after.StateSince+DeadAfter)
	case StateDead:
		m.members.SetDue(after.Name, after.StateSince+ForgetAfter)
	}
}

// learnRoute stores and broadcasts a route with a higher term or floor. With fromPeer set, it also reports the route to this
// node's watch.
func (m *Membership) learnRoute(r Route, fromPeer bool) {
	old, _ := m.routes.Get(r.Group)
	if r = old.merged(r); r == old {
		return
	}
	m.routes.Put(r.Group, r)
	m.routes.TakeDirty()
	m.routeDigest ^= old.hash() ^ r.hash()
	m.queueBroadcast(broadcast{route: r})
	m.gossipNow = true
	if fromPeer {
		m.actions = append(m.actions, LearnRoute{Route: r})
	}
}

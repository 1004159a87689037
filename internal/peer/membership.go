package peer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornport.example/buckthornport/internal/table"
)

const (
	// PingEvery is the time between a node's pings, each to one other node.
	PingEvery = 500 * time.Millisecond
	// AckTimeout is how long a direct answer may take before others are asked.
	AckTimeout = 200 * time.Millisecond
	// SuspectAfter is how long a ping may stay unanswered altogether.
	SuspectAfter = 450 * time.Millisecond
	// DeadAfter is how long a suspect has to prove itself alive.
	DeadAfter = 3 * time.Second
	// ForgetAfter is how long a dead member's row is kept, so that old news cannot bring it back.
	ForgetAfter = 10 * time.Minute

	fanout      = 3
	maxNews     = 12
	maxRoutes   = 200
	retransmits = 3

	// chunk is how many members a node tells another whose list differs.
	chunk = 24

	// deadPingEvery is how many pings pass before one may go to a member that is thought dead: a partition may have healed.
	deadPingEvery = 4
)

// Membership holds the tables of the fleet as one node sees it.
type Membership struct {
	self    Update
	members *table.Table[string, Member]
	routes  *table.Table[string, Route]
	news    []rumour
	order   []string
	turn    int
	pings   int
	seq     uint64
	nextAt  time.Duration
	digest  uint64
	known   uint64
	version uint64
	bundle  []byte
	changed bool
	// listed says that the platform's list has been read.
	listed bool
	urgent bool
	relays map[uint64]relay
	random func(n int) int
	out    []Action
}

// rumour is news that is still to be told a number of times.
type rumour struct {
	update Update
	route  Route
	left   int
}

type relay struct {
	to  string
	seq uint64
}

// Option sets up a Membership.
type Option func(*Membership) error

// WithRandom replaces the choice of a number below n, which is zero unless set.
func WithRandom(f func(n int) int) Option {
	return func(m *Membership) error {
		m.random = f
		return nil
	}
}

// WithMember adds a node that is known from the settings.
func WithMember(name, zone, address string) Option {
	return func(m *Membership) error {
		m.learn(0, Update{Name: name, Zone: zone, Address: address})
		return nil
	}
}

// WithWeight sets the node's share of a processor in thousandths, by which nodes that serve others are chosen.
func WithWeight(weight uint32) Option {
	return func(m *Membership) error {
		m.self.Weight = weight
		return nil
	}
}

// NewMembership returns the fleet as seen by the named node; incarnation must be higher than in the node's earlier lives.
func NewMembership(name, zone, address string, incarnation uint64, opts ...Option) (*Membership, error) {
	m := &Membership{
		self:    Update{Name: name, Zone: zone, Address: address, Incarnation: incarnation},
		members: table.New[string, Member](),
		routes:  table.New[string, Route](),
		relays:  map[uint64]relay{},
		random:  func(int) int { return 0 },
		changed: true,
	}
	for _, o := range opts {
		if err := o(m); err != nil {
			return nil, err
		}
	}
	m.spread(rumour{update: m.self})
	return m, nil
}

// Step takes what was learned since the last step and returns what to do, and when to be called again at the latest.
func (m *Membership) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	m.out = nil
	for _, e := range es {
		m.apply(now, e)
	}
	m.expire(now)
	m.ping(now)
	m.push()
	m.publish()
	return m.out, min(m.nextAt, m.members.NextDue())
}

// Alive returns all nodes that are there, this one included, in the order of their names.
func (m *Membership) Alive() []Update {
	us := []Update{m.self}
	for _, k := range m.members.Keys() {
		if r, _ := m.members.Get(k); r.State == StateAlive || r.State == StateSuspect {
			us = append(us, r.update())
		}
	}
	slices.SortFunc(us, func(a, b Update) int { return cmp.Compare(a.Name, b.Name) })
	return us
}

// Version is that of the bundle that this node spreads.
func (m *Membership) Version() uint64 {
	return m.version
}

func (m *Membership) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Received:
		m.receive(now, e.Message)
	case Listed:
		m.changed = m.changed || !m.listed
		m.listed = true
		for _, u := range e.Updates {
			m.list(now, u)
		}
	case RouteKnown:
		m.learnRoute(e.Route, false)
	case BundleKnown:
		if e.Version > m.version {
			m.version = e.Version
			m.bundle = e.Bundle
			m.urgent = true
		}
	case LeaveBegun:
		m.self.State = StateLeaving
		m.spread(rumour{update: m.self})
		m.urgent = true
	}
}

// list takes an entry of the lagging list: it makes unknown nodes known, and takes leaving for true.
func (m *Membership) list(now time.Duration, u Update) {
	r, known := m.members.Get(u.Name)
	switch {
	case u.Name == m.self.Name:
	case !known && u.State == StateAlive:
		m.learn(now, u)
	case known && u.State == StateLeaving && r.State < StateLeaving:
		u.Incarnation = r.Incarnation
		m.learn(now, u)
	}
}

func (m *Membership) receive(now time.Duration, g Message) {
	if r, ok := m.members.Get(g.From); ok && g.From != m.self.Name {
		m.heardFrom(now, r)
	}
	for _, u := range g.Updates {
		m.learn(now, u)
	}
	for _, r := range g.Routes {
		m.learnRoute(r, true)
	}
	if g.Version > m.version {
		m.fetchBundle(g)
	}
	switch g.Kind {
	case KindNews:
		m.supplyBundle(g)
	case KindPing:
		m.answer(g)
	case KindAck:
		m.acknowledged(now, g)
	case KindPingRequest:
		m.relay(g)
	}
}

// fetchBundle takes a newer bundle, or asks for it by telling how old this node's is.
func (m *Membership) fetchBundle(g Message) {
	if len(g.Bundle) > 0 {
		m.out = append(m.out, OfferBundle{Bundle: g.Bundle})
		return
	}
	if g.Kind == KindNews {
		m.send(g.From, m.message(KindNews, 0))
	}
}

// supplyBundle gives the bundle to a node that has an older one.
func (m *Membership) supplyBundle(g Message) {
	if g.Version < m.version {
		n := m.message(KindNews, 0)
		n.Bundle = m.bundle
		m.send(g.From, n)
	}
}

// answer acknowledges a ping, and hands over what the asker seems to lack.
func (m *Membership) answer(g Message) {
	a := m.message(KindAck, g.Seq)
	a.Target = m.self.Name
	m.complete(&a, g)
	m.send(g.From, a)
}

// complete adds the bundle or all routes to a message for a node whose summary differs.
func (m *Membership) complete(a *Message, g Message) {
	if g.Version < m.version {
		a.Bundle = m.bundle
	}
	if g.Members != m.memberDigest() {
		a.Updates = append(a.Updates, m.someMembers()...)
	}
	if g.Digest != m.digest && !g.All {
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

// memberDigest sums up all members that this node knows, itself included.
func (m *Membership) memberDigest() uint64 {
	return m.known ^ m.self.hash()
}

// someMembers returns a random stretch of the members, for a node that knows others than this one.
func (m *Membership) someMembers() []Update {
	var us []Update
	if len(m.order) == 0 {
		return nil
	}
	start := m.random(len(m.order))
	for i := range min(chunk, len(m.order)) {
		if r, ok := m.members.Get(m.order[(start+i)%len(m.order)]); ok && r.State != StateDead {
			us = append(us, r.update())
		}
	}
	return us
}

// acknowledged takes an answer, and passes it on if this node asked for another.
func (m *Membership) acknowledged(now time.Duration, g Message) {
	if r, ok := m.members.Get(g.Target); ok && r.Waiting == g.Seq {
		m.members.Put(g.Target, r.WithAnswer())
		m.members.SetDue(g.Target, table.Never)
		m.heardFrom(now, r)
	}
	if w, ok := m.relays[g.Seq]; ok {
		delete(m.relays, g.Seq)
		a := m.message(KindAck, w.seq)
		a.Target = g.Target
		m.send(w.to, a)
	}
	if g.Version < m.version || g.Digest != m.digest && !g.All || g.Members != m.memberDigest() {
		n := m.message(KindNews, 0)
		m.complete(&n, g)
		m.send(g.From, n)
	}
}

// relay pings a node on behalf of another, which cannot reach it.
func (m *Membership) relay(g Message) {
	if _, ok := m.members.Get(g.Target); !ok {
		return
	}
	m.seq++
	m.relays[m.seq] = relay{to: g.From, seq: g.Seq}
	if len(m.relays) > maxRoutes {
		m.relays = map[uint64]relay{m.seq: m.relays[m.seq]}
	}
	m.send(g.Target, m.message(KindPing, m.seq))
}

// heardFrom clears a suspicion that a message from the node itself disproves.
func (m *Membership) heardFrom(now time.Duration, r Member) {
	if r.State == StateSuspect {
		m.change(r, r.WithAnswer().WithState(now, StateAlive, r.Incarnation))
	}
}

// learn takes news about a member; what it says of this node itself is contradicted by a higher incarnation.
func (m *Membership) learn(now time.Duration, u Update) {
	if u.Name == m.self.Name {
		if u.State > m.self.State && u.Incarnation >= m.self.Incarnation {
			m.self.Incarnation = u.Incarnation + 1
			m.spread(rumour{update: m.self})
			m.urgent = true
		}
		return
	}
	r, known := m.members.Get(u.Name)
	if known && !overrides(u, r) {
		return
	}
	if !known {
		r = Member{Name: u.Name, Since: now}
		m.known ^= r.update().hash()
		m.order = append(m.order, u.Name)
		j := m.random(len(m.order))
		m.order[j], m.order[len(m.order)-1] = m.order[len(m.order)-1], m.order[j]
		m.changed = true
	}
	next := r.WithState(now, u.State, u.Incarnation)
	next.Zone, next.Address = u.Zone, u.Address
	next.Weight = cmp.Or(u.Weight, r.Weight)
	m.change(r, next)
}

// change puts a member's row back and spreads what is new about it.
func (m *Membership) change(before, after Member) {
	m.members.Put(after.Name, after)
	m.known ^= before.update().hash() ^ after.update().hash()
	m.changed = m.changed || before.Zone != after.Zone || before.Weight != after.Weight
	if before.State != after.State {
		m.changed = true
		m.out = append(m.out, MemberChanged{Name: after.Name, State: after.State, Before: before.State})
	}
	switch after.State {
	case StateSuspect:
		m.members.SetDue(after.Name, after.Since+DeadAfter)
	case StateDead:
		m.members.SetDue(after.Name, after.Since+ForgetAfter)
	}
	m.spread(rumour{update: after.update()})
}

// learnRoute adopts a route of a higher term; told says that the watch does not know it yet.
func (m *Membership) learnRoute(r Route, told bool) {
	old, _ := m.routes.Get(r.Group)
	if r.Term <= old.Term {
		return
	}
	m.routes.Put(r.Group, r)
	m.routes.TakeDirty()
	m.digest ^= old.hash() ^ r.hash()
	m.spread(rumour{route: r})
	m.urgent = true
	if told {
		m.out = append(m.out, LearnRoute{Route: r})
	}
}

// hash sums up a route, so that the digest of all routes can be kept by exclusive or.
func (r Route) hash() uint64 {
	if r.Term == 0 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(r.Group + "\x00" + r.Primary)
	return h.Sum64() ^ bits.RotateLeft64(r.Term*0x9e3779b97f4a7c15, int(r.Term%63))
}

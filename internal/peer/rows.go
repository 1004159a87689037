package peer

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornport.example/buckthornport/pkg/session"
)

// State is the state of a member as another node sees it.
type State uint8

// The states of a member. Within one incarnation, a later state overrides an earlier one.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// present reports whether a member in this state takes part in the deployment.
func (s State) present() bool {
	return s == StateAlive || s == StateSuspect
}

// Member is the row of one other node.
type Member struct {
	Name        string
	Zone        string
	Address     string
	Weight      uint32
	Incarnation uint64
	State       State
	StateSince  time.Duration
	PingSentAt  time.Duration
	// PendingPing is the sequence number of the unanswered ping, zero if there is none.
	PendingPing  uint64
	IndirectPing bool
}

// WithState returns the row with the given state and incarnation. A new state begins now.
func (m Member) WithState(now time.Duration, s State, incarnation uint64) Member {
	if m.State != s {
		m.StateSince = now
	}
	m.State = s
	m.Incarnation = incarnation
	return m
}

// WithPing returns the row after a ping was sent to the member.
func (m Member) WithPing(now time.Duration, seq uint64) Member {
	m.PingSentAt = now
	m.PendingPing = seq
	m.IndirectPing = false
	return m
}

// WithIndirectPing returns the row after other members were asked to ping the member.
func (m Member) WithIndirectPing() Member {
	m.IndirectPing = true
	return m
}

// WithAck returns the row after the member answered a ping.
func (m Member) WithAck() Member {
	m.PendingPing = 0
	m.IndirectPing = false
	return m
}

// completes reports whether the row only adds the incarnation to the row of a member that the platform has listed.
func (m Member) completes(listed Member) bool {
	return listed.Name != "" && listed.Incarnation == 0 && listed.State == StateAlive && m.State == StateAlive && m.Zone == listed.Zone
}

// update returns the row as an Update for gossip.
func (m Member) update() Update {
	return Update{
		Name: m.Name, Zone: m.Zone, Address: m.Address, Weight: m.Weight, Incarnation: m.Incarnation, State: m.State,
	}
}

// hash returns the hash of a member, zero for a dead one. The XOR of the hashes of all members is the member digest. It leaves out
// the incarnation, which a member tells with each message: nodes that have read the same list agree before all have met.
func (u Update) hash() uint64 {
	if u.Name == "" || u.State == StateDead {
		return 0
	}
	return xxhash.Sum64String(u.Name)
}

// overrides reports whether an update about a member is newer than its row.
func overrides(u Update, m Member) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, m.Incarnation), cmp.Compare(u.State, m.State)) > 0
}

// Update is a gossip update about one member.
type Update struct {
	Name    string
	Zone    string
	Address string
	// Weight is the member's processor share in thousandths, zero if unknown.
	Weight      uint32
	Incarnation uint64
	State       State
}

// Route names the primary of a group and its term. Floor is the position that the next primary must hold, zero if none is known.
type Route struct {
	Group   string
	Term    uint64
	Primary string
	Floor   session.Position `json:",omitzero"`
}

// merged returns the route of a group that follows from two reports: the primary of the higher term and the higher floor.
func (r Route) merged(o Route) Route {
	floor := r.Floor.Max(o.Floor)
	if o.Term > r.Term {
		r = o
	}
	r.Group, r.Floor = o.Group, floor
	return r
}

// hash returns the hash of a route. The XOR of the hashes of all routes is the route digest.
func (r Route) hash() uint64 {
	if r.Term == 0 && r.Floor.IsZero() {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(r.Group + "\x00" + r.Primary)
	return h.Sum64() ^ hashNumber(r.Term) ^ hashNumber(r.Floor.Term)*3 ^ hashNumber(r.Floor.Offset)*5
}

// hashNumber spreads a number over 64 bits. It returns zero for zero.
func hashNumber(n uint64) uint64 {
	return bits.RotateLeft64(n*0x9e3779b97f4a7c15, int(n%63))
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindPing Kind = iota
	KindAck
	KindPingRequest
	KindGossip
)

// Message is a message between two nodes. Messages of every kind carry gossip.
type Message struct {
	Kind    Kind
	From    string
	Seq     uint64
	Target  string
	Updates []Update
	Routes  []Route
	// Digest is the digest of all routes that the sender knows.
	Digest uint64
	// Members is the digest of all members that the sender knows, itself included.
	Members uint64
	// Version is the version of the sender's bundle. Bundle is the signed bundle, set only for a receiver that lacks it.
	Version uint64
	Bundle  []byte
	// All marks a message whose Routes hold all routes of the sender, up to the limit per message.
	All bool
}

// Event is an input of a Membership.
type Event interface{ peerEvent() }

// MessageReceived reports a message from another node.
type MessageReceived struct {
	Message Message
}

// VMsListed reports the platform's VM list, which lags behind the real state.
type VMsListed struct {
	Updates []Update
}

// RouteDiscovered reports a route that this node discovered itself.
type RouteDiscovered struct {
	Route Route
}

// BundleAccepted reports a bundle that this node has accepted.
type BundleAccepted struct {
	Version uint64
	Bundle  []byte
}

// DrainStarted reports that this node is draining, which makes its state StateLeaving.
type DrainStarted struct{}

func (MessageReceived) peerEvent() {}
func (VMsListed) peerEvent()       {}
func (RouteDiscovered) peerEvent() {}
func (BundleAccepted) peerEvent()  {}
func (DrainStarted) peerEvent()    {}

// Action is an output of a Membership.
type Action interface{ peerAction() }

// Send sends a message to another node. Delivery is not guaranteed.
type Send struct {
	To      string
	Zone    string
	Address string
	Message Message
}

// LearnRoute reports a route from another node to this node's watch.
type LearnRoute struct {
	Route Route
}

// OfferBundle offers this node a signed bundle, which it accepts or refuses.
type OfferBundle struct {
	Bundle []byte
}

// MembersChanged reports a change of the members. Members holds this node and all members that are alive or suspect, sorted by
// name.
type MembersChanged struct {
	Members []Update
	// Known counts all nodes, also leaving and dead ones, and KnownZones their zones.
	Known      int
	KnownZones int
	// Lost holds the members that are considered dead.
	Lost []Update
	// VMsListed reports whether the platform's VM list has been received. Members then includes nodes that were never contacted.
	VMsListed bool
}

// Names returns the names of the members in order.
func (a MembersChanged) Names() []string {
	names := make([]string, 0, len(a.Members))
	for _, u := range a.Members {
		names = append(names, u.Name)
	}
	return names
}

// MemberChanged reports that a member's state changed.
type MemberChanged struct {
	Name     string
	State    State
	Previous State
}

func (Send) peerAction()           {}
func (LearnRoute) peerAction()     {}
func (OfferBundle) peerAction()    {}
func (MembersChanged) peerAction() {}
func (MemberChanged) peerAction()  {}

// broadcast is an update or a route that is still to be sent in the given number of messages.
type broadcast struct {
	update    Update
	route     Route
	remaining int
	// joined is set if the update is the first about a member.
	joined bool
}

// relayedPing names the node that requested a ping, and the sequence number of its request.
type relayedPing struct {
	to  string
	seq uint64
}

package peer

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a node believes about another.
type State uint8

// The states of a member, in the order in which they override each other within one incarnation.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// String names the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Member is the row of one node.
type Member struct {
	Name         string
	Zone         string
	Address      string
	Weight       uint32
	Incarnation  uint64
	State        State
	StateSince   time.Duration
	PingSentAt   time.Duration
	PendingPing  uint64
	IndirectPing bool
}

// WithState returns the row in another state since now.
func (m Member) WithState(now time.Duration, s State, incarnation uint64) Member {
	if m.State != s {
		m.StateSince = now
	}
	m.State = s
	m.Incarnation = incarnation
	return m
}

// WithPing returns the row of a member that was asked for a sign of life.
func (m Member) WithPing(now time.Duration, seq uint64) Member {
	m.PingSentAt = now
	m.PendingPing = seq
	m.IndirectPing = false
	return m
}

// WithIndirectPing returns the row of a member that others were asked to reach.
func (m Member) WithIndirectPing() Member {
	m.IndirectPing = true
	return m
}

// WithAck returns the row of a member that answered.
func (m Member) WithAck() Member {
	m.PendingPing = 0
	m.IndirectPing = false
	return m
}

// update is the row as news.
func (m Member) update() Update {
	return Update{
		Name: m.Name, Zone: m.Zone, Address: m.Address, Weight: m.Weight, Incarnation: m.Incarnation, State: m.State,
	}
}

// hash sums up a member's row, so that the digest of all rows can be kept by exclusive or; the dead do not count.
func (u Update) hash() uint64 {
	if u.Name == "" || u.State == StateDead {
		return 0
	}
	h := xxhash.Sum64String(u.Name)
	return h ^ bits.RotateLeft64(u.Incarnation*0x9e3779b97f4a7c15, int(h%63))
}

// overrides reports whether news about a member replaces what is known.
func overrides(u Update, m Member) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, m.Incarnation), cmp.Compare(u.State, m.State)) > 0
}

// Update is news about one member.
type Update struct {
	Name    string
	Zone    string
	Address string
	// Weight is the member's share of a processor in thousandths, zero if it is not known.
	Weight      uint32
	Incarnation uint64
	State       State
}

// Route is news about who leads a group.
type Route struct {
	Group   string
	Term    uint64
	Primary string
}

// Kind says what a message is for.
type Kind uint8

// The kinds of messages.
const (
	KindPing Kind = iota
	KindAck
	KindPingRequest
	KindGossip
)

// Message is what nodes tell each other; every kind carries news.
type Message struct {
	Kind    Kind
	From    string
	Seq     uint64
	Target  string
	Updates []Update
	Routes  []Route
	// Digest sums up all routes that the sender knows.
	Digest uint64
	// Members sums up the members that the sender knows, itself included.
	Members uint64
	// Version is that of the sender's bundle; Bundle holds the signed bundle itself when the receiver lacks it.
	Version uint64
	Bundle  []byte
	// All says that Routes holds everything the sender knows.
	All bool
}

// Event is something that a node learned about its peers.
type Event interface{ peerEvent() }

// MessageReceived is a message from a peer.
type MessageReceived struct {
	Message Message
}

// VMsListed is the platform's list of VMs, which lags.
type VMsListed struct {
	Updates []Update
}

// RouteDiscovered is a route that this node learned by itself.
type RouteDiscovered struct {
	Route Route
}

// BundleAccepted is a bundle that this node has accepted.
type BundleAccepted struct {
	Version uint64
	Bundle  []byte
}

// DrainStarted says that this node is leaving.
type DrainStarted struct{}

func (MessageReceived) peerEvent() {}
func (VMsListed) peerEvent()       {}
func (RouteDiscovered) peerEvent() {}
func (BundleAccepted) peerEvent()  {}
func (DrainStarted) peerEvent()    {}

// Action is something that a node is to do about its peers.
type Action interface{ peerAction() }

// Send sends a message to a peer; it may get lost.
type Send struct {
	To      string
	Zone    string
	Address string
	Message Message
}

// LearnRoute tells this node's watch about a route.
type LearnRoute struct {
	Route Route
}

// OfferBundle gives this node a signed bundle to accept or refuse.
type OfferBundle struct {
	Bundle []byte
}

// MembersChanged gives all nodes that are there, in the order of their names.
type MembersChanged struct {
	Members []Update
	// Known counts those that are thought dead as well.
	Known int
	// VMsListed says that the platform's list has been read, so that nodes which nobody has met are among them.
	VMsListed bool
}

// Names returns the names of the nodes.
func (a MembersChanged) Names() []string {
	names := make([]string, 0, len(a.Members))
	for _, u := range a.Members {
		names = append(names, u.Name)
	}
	return names
}

// MemberChanged says that what is believed of one node changed.
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

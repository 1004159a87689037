package control

import (
	"errors"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/table"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// Event is an event of the upstream, peer or platform package, or one of this package.
type Event any

// Action is an action of the upstream, peer or platform package, or one of this package.
type Action any

// BundleOffered is an event: an encoded, signed bundle arrived from Source. Transfer is how long it took to arrive, if known.
type BundleOffered struct {
	Encoded  []byte
	Source   string
	Transfer time.Duration
}

// BundleAdopted is an action: the node works under this bundle from now on.
type BundleAdopted struct {
	Bundle  bundle.Bundle
	Encoded []byte
}

// ErrBundleActive reports that an offered bundle is already active.
var ErrBundleActive = errors.New("bundle is already active")

// maxRounds bounds how often the packages exchange events within one step.
const maxRounds = 4

// Node makes all control decisions of one node. Each step runs the mirror, peers, bundles, upstreams and audit in this
// order.
type Node struct {
	// WallTime converts the time since the node's start to a date. Only audit records use it.
	WallTime func(elapsed time.Duration) time.Time
	// AcceptBundle returns the bundle that replaces the current one, or an error that gives the reason for the refusal.
	AcceptBundle func(current bundle.Bundle, encoded []byte) (bundle.Bundle, error)
	// GossipBundles makes peers pass accepted bundles on. It is off where all nodes read bundles from one store, because
	// gossip would then cost more than it gains.
	GossipBundles bool
	// Mirror, if not nil, holds the node's copies of tables of the platform's store.
	Mirror *platform.Mirror

	watch       *upstream.Watch
	members     *peer.Membership
	outbox      *platform.Outbox
	directory   *platform.Directory
	bundle      bundle.Bundle
	lastRefused uint64
	recordSeq   uint64
	name        string
	actions     []Action
}

// NewNode returns the control decisions of the named node. Bundle b is active until a newer one is accepted.
func NewNode(name string, b bundle.Bundle, w *upstream.Watch, m *peer.Membership, o *platform.Outbox) *Node {
	return &Node{
		name: name, bundle: b, watch: w, members: m, outbox: o, directory: platform.NewDirectory(),
		WallTime:     func(time.Duration) time.Time { return time.Time{} },
		AcceptBundle: acceptSigned, GossipBundles: true,
	}
}

// acceptSigned accepts a bundle that is signed by enough keys of the current bundle.
func acceptSigned(current bundle.Bundle, encoded []byte) (bundle.Bundle, error) {
	s, err := bundle.DecodeSigned(encoded)
	if err != nil {
		return bundle.Bundle{}, err
	}
	return bundle.Accept(current, s)
}

// Step handles the events since the last step. It returns the actions to perform and the time by which it must run again.
func (n *Node) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	n.actions = nil
	es, wakeMirror := n.runMirror(now, es)
	es, wakeList := n.runDirectory(now, es)
	return n.actions, min(n.runRounds(now, es, true), wakeList, wakeMirror)
}

// runMirror passes the mirror its events and returns the others.
func (n *Node) runMirror(now time.Duration, es []Event) ([]Event, time.Duration) {
	if n.Mirror == nil {
		return es, table.Never
	}
	var own []platform.MirrorEvent
	var rest []Event
	for _, e := range es {
		if m, ok := e.(platform.MirrorEvent); ok {
			own = append(own, m)
		} else {
			rest = append(rest, e)
		}
	}
	as, wake := n.Mirror.Step(now, own)
	for _, a := range as {
		n.actions = append(n.actions, a)
	}
	return rest, wake
}

// runDirectory converts events about the platform's server list to events for the watch.
func (n *Node) runDirectory(now time.Duration, es []Event) ([]Event, time.Duration) {
	var listed []platform.DirectoryEvent
	var rest []Event
	for _, e := range es {
		if d, ok := e.(platform.DirectoryEvent); ok {
			listed = append(listed, d)
		} else {
			rest = append(rest, e)
		}
	}
	changes, wake := n.directory.Step(now, listed)
	for _, c := range changes {
		e := c.Entry
		if c.Removed {
			rest = append(rest, upstream.ServerRemoved{Server: e.ID})
		} else {
			rest = append(rest, upstream.ServerConfigured{
				Server: e.ID, Group: e.Service, Zone: e.Zone, Address: e.Address, Leaving: e.Leaving, Incarnation: e.Incarnation,
			})
		}
		n.actions = append(n.actions, c)
	}
	return rest, wake
}

// inbox groups events by the package that handles them.
type inbox struct {
	upstream []upstream.Event
	peer     []peer.Event
	platform []platform.Event
	bundles  []BundleOffered
	reports  []RecordReported
}

func (b *inbox) add(e Event) {
	switch e := e.(type) {
	case upstream.Event:
		b.upstream = append(b.upstream, e)
	case peer.Event:
		b.peer = append(b.peer, e)
	case platform.Event:
		b.platform = append(b.platform, e)
	case BundleOffered:
		b.bundles = append(b.bundles, e)
	case RecordReported:
		b.reports = append(b.reports, e)
	}
}

func (b *inbox) empty() bool {
	return len(b.upstream)+len(b.peer)+len(b.bundles)+len(b.reports) == 0
}

// runRounds runs the packages until none has events for another. If events remain after maxRounds, it returns now as the time of
// the next step.
func (n *Node) runRounds(now time.Duration, es []Event, first bool) time.Duration {
	var in inbox
	for _, e := range es {
		in.add(e)
	}
	var wakePeers, wakeWatch time.Duration
	for range maxRounds {
		if in.empty() && !first {
			break
		}
		first = false
		var next inbox
		next.platform = in.platform
		for _, r := range in.reports {
			n.writeAuditRecord(now, &next, r.Record)
		}
		wakePeers = n.runPeers(now, in, &next)
		n.runBundles(now, in, &next)
		wakeWatch = n.runWatch(now, in, &next)
		in = next
	}
	puts, wakeOutbox := n.outbox.Step(now, in.platform)
	for _, p := range puts {
		n.actions = append(n.actions, p)
	}
	if !in.empty() {
		return now
	}
	return min(wakePeers, wakeWatch, wakeOutbox)
}

func (n *Node) runPeers(now time.Duration, in inbox, next *inbox) time.Duration {
	as, wake := n.members.Step(now, in.peer)
	for _, a := range as {
		switch a := a.(type) {
		case peer.LearnRoute:
			next.add(upstream.RouteLearned{
				Group: a.Route.Group, Term: a.Route.Term, Primary: a.Route.Primary, Floor: a.Route.Floor,
			})
		case peer.OfferBundle:
			next.add(BundleOffered{Encoded: a.Bundle, Source: "peer"})
		case peer.MembersChanged:
			next.add(upstream.PeersUpdated{Nodes: a.Names()})
			next.add(platform.FleetSizeChanged{Nodes: len(a.Members)})
			n.actions = append(n.actions, a)
		case peer.MemberChanged:
			n.writeAuditRecord(now, next, operator.Record{Kind: operator.KindMember, Server: a.Name, Cause: a.State.String()}.
				WithEvidence("before", a.Previous.String()))
			n.actions = append(n.actions, a)
		default:
			n.actions = append(n.actions, a)
		}
	}
	return wake
}

func (n *Node) runWatch(now time.Duration, in inbox, next *inbox) time.Duration {
	as, wake := n.watch.Step(now, in.upstream)
	for _, a := range as {
		switch a := a.(type) {
		case upstream.AnnounceFloor:
			next.add(peer.RouteDiscovered{Route: peer.Route{Group: a.Group, Floor: a.Floor}})
		case upstream.AnnouncePrimary:
			next.add(peer.RouteDiscovered{Route: peer.Route{Group: a.Group, Term: a.Term, Primary: a.Primary}})
			n.actions = append(n.actions, a)
		case upstream.WriteAuditRecord:
			n.writeAuditRecord(now, next, a.Record)
		default:
			n.actions = append(n.actions, a)
		}
	}
	return wake
}

// runBundles accepts or refuses the offered bundles. Refusing the same version again writes no further audit record.
func (n *Node) runBundles(now time.Duration, in inbox, next *inbox) {
	for _, o := range in.bundles {
		b, err := n.AcceptBundle(n.bundle, o.Encoded)
		if errors.Is(err, ErrBundleActive) {
			continue
		}
		if err != nil {
			n.refuseBundle(now, next, o, err)
			continue
		}
		n.bundle = b
		n.actions = append(n.actions, BundleAdopted{Bundle: b, Encoded: o.Encoded})
		if n.GossipBundles {
			next.add(peer.BundleAccepted{Version: b.Version, Bundle: o.Encoded})
		}
		n.writeAuditRecord(now, next, operator.Record{Kind: operator.KindBundle, Cause: "in_force"}.WithEvidence("source", o.Source).
			WithEvidence("bytes", strconv.Itoa(len(o.Encoded))).WithEvidence("transfer", o.Transfer.String()))
	}
}

func (n *Node) refuseBundle(now time.Duration, next *inbox, o BundleOffered, reason error) {
	var r *bundle.RefusedError
	ok := errors.As(reason, &r)
	if ok && r.Version == n.lastRefused && r.Version != 0 {
		return
	}
	if ok {
		n.lastRefused = r.Version
	}
	n.writeAuditRecord(now, next, operator.Record{Kind: operator.KindBundle, Cause: "refused"}.
		WithEvidence("reason", reason.Error()).WithEvidence("source", o.Source))
}

// writeAuditRecord numbers an audit record and passes it to the node's log and to the outbox.
func (n *Node) writeAuditRecord(now time.Duration, next *inbox, r operator.Record) {
	n.recordSeq++
	r = r.WithSeq(n.recordSeq).WithVersion(n.bundle.Version).WithOrigin(n.name, now, n.WallTime(now))
	next.platform = append(next.platform, platform.RecordAdded{Record: r})
	n.actions = append(n.actions, LogAuditRecord{Record: r})
}

// LogAuditRecord is an action: write a record to the node's own log.
type LogAuditRecord struct {
	Record operator.Record
}

// RecordReported is an event: an audit record from outside the control decisions, such as from a traffic lane.
type RecordReported struct {
	Record operator.Record
}

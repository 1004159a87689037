package control

import (
	"errors"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// Event is an event of the upstream, peer or platform package, or one of this package.
type Event any

// Action is an action of the upstream, peer or platform package, or one of this package.
type Action any

// BundleOffered is a signed bundle in its encoded form, wherever it came from.
type BundleOffered struct {
	Encoded []byte
	Source  string
}

// BundleAdopted has the node work under another bundle from now on.
type BundleAdopted struct {
	Bundle  bundle.Bundle
	Encoded []byte
}

// ErrBundleInForce says that an offered bundle is the one in force.
var ErrBundleInForce = errors.New("the bundle is in force already")

// maxRounds bounds how often the packages hand each other news within one step.
const maxRounds = 4

// Node runs all control decisions of one node in a fixed order: peers, bundles, upstreams, audit.
type Node struct {
	// WallTime turns the time since the node's start into a date, for the audit trail alone.
	WallTime func(elapsed time.Duration) time.Time
	// AcceptBundle returns the bundle that follows the current one, or why the offered one does not come into force.
	AcceptBundle func(current bundle.Bundle, encoded []byte) (bundle.Bundle, error)
	// GossipBundles says that peers hand bundles on; where all read them from one store, that costs more than it gives.
	GossipBundles bool

	watch   *upstream.Watch
	members *peer.Membership
	outbox  *platform.Outbox
	listed  *platform.Directory
	bundle  bundle.Bundle
	refused uint64
	number  uint64
	name    string
	out     []Action
}

// NewNode returns the control decisions of the named node, working under b until a newer bundle is accepted.
func NewNode(name string, b bundle.Bundle, w *upstream.Watch, m *peer.Membership, o *platform.Outbox) *Node {
	return &Node{
		name: name, bundle: b, watch: w, members: m, outbox: o, listed: platform.NewDirectory(),
		WallTime:     func(time.Duration) time.Time { return time.Time{} },
		AcceptBundle: acceptSigned, GossipBundles: true,
	}
}

// acceptSigned takes a bundle that enough of the current one's keys have signed.
func acceptSigned(current bundle.Bundle, encoded []byte) (bundle.Bundle, error) {
	s, err := bundle.DecodeSigned(encoded)
	if err != nil {
		return bundle.Bundle{}, err
	}
	return bundle.Accept(current, s)
}

// Step takes what was learned since the last step and returns what to do, and when to be called again at the latest.
func (n *Node) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	n.out = nil
	es, wakeList := n.runDirectory(now, es)
	return n.out, min(n.round(now, es, true), wakeList)
}

// runDirectory turns news about the platform's list of servers into what the watch has to know.
func (n *Node) runDirectory(now time.Duration, es []Event) ([]Event, time.Duration) {
	var news []platform.DirectoryEvent
	var rest []Event
	for _, e := range es {
		if d, ok := e.(platform.DirectoryEvent); ok {
			news = append(news, d)
		} else {
			rest = append(rest, e)
		}
	}
	changes, wake := n.listed.Step(now, news)
	for _, c := range changes {
		e := c.Entry
		if c.Gone {
			rest = append(rest, upstream.Removed{Server: e.ID})
		} else {
			rest = append(rest, upstream.Configured{
				Server: e.ID, Group: e.Service, Zone: e.Zone, Address: e.Address, Leaving: e.Leaving, Born: e.Born,
			})
		}
		n.out = append(n.out, c)
	}
	return rest, wake
}

// inbox sorts events by the package that they are for.
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

// round runs the packages until none has news for another.
func (n *Node) round(now time.Duration, es []Event, first bool) time.Duration {
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
			n.record(now, &next, r.Record)
		}
		wakePeers = n.runPeers(now, in, &next)
		n.runBundles(now, in, &next)
		wakeWatch = n.runWatch(now, in, &next)
		in = next
	}
	puts, wakeOutbox := n.outbox.Step(now, in.platform)
	for _, p := range puts {
		n.out = append(n.out, p)
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
			next.add(upstream.Learned{Group: a.Route.Group, Term: a.Route.Term, Primary: a.Route.Primary})
		case peer.OfferBundle:
			next.add(BundleOffered{Encoded: a.Bundle, Source: "peer"})
		case peer.MembersChanged:
			next.add(upstream.Peers{Nodes: a.Names()})
			next.add(platform.FleetSized{Nodes: len(a.Members)})
			n.out = append(n.out, a)
		case peer.MemberChanged:
			n.record(now, next, operator.Record{Kind: operator.KindMember, Server: a.Name, Cause: a.State.String()}.
				WithEvidence("before", a.Before.String()))
		default:
			n.out = append(n.out, a)
		}
	}
	return wake
}

func (n *Node) runWatch(now time.Duration, in inbox, next *inbox) time.Duration {
	as, wake := n.watch.Step(now, in.upstream)
	for _, a := range as {
		switch a := a.(type) {
		case upstream.Announce:
			next.add(peer.RouteKnown{Route: peer.Route{Group: a.Group, Term: a.Term, Primary: a.Primary}})
			n.out = append(n.out, a)
		case upstream.Note:
			n.record(now, next, a.Record)
		default:
			n.out = append(n.out, a)
		}
	}
	return wake
}

// runBundles accepts or refuses the bundles that were offered; a version is refused in the audit trail only once.
func (n *Node) runBundles(now time.Duration, in inbox, next *inbox) {
	for _, o := range in.bundles {
		b, err := n.AcceptBundle(n.bundle, o.Encoded)
		if errors.Is(err, ErrBundleInForce) {
			continue
		}
		if err != nil {
			n.refuse(now, next, o, err)
			continue
		}
		n.bundle = b
		n.out = append(n.out, BundleAdopted{Bundle: b, Encoded: o.Encoded})
		if n.GossipBundles {
			next.add(peer.BundleKnown{Version: b.Version, Bundle: o.Encoded})
		}
		n.record(now, next, operator.Record{Kind: operator.KindBundle, Cause: "in_force"}.WithEvidence("source", o.Source))
	}
}

func (n *Node) refuse(now time.Duration, next *inbox, o BundleOffered, why error) {
	var r *bundle.RefusedError
	ok := errors.As(why, &r)
	if ok && r.Version == n.refused && r.Version != 0 {
		return
	}
	if ok {
		n.refused = r.Version
	}
	n.record(now, next, operator.Record{Kind: operator.KindBundle, Cause: "refused"}.
		WithEvidence("reason", why.Error()).WithEvidence("source", o.Source))
}

// record numbers an audit record, and hands it to the log and to the outbox.
func (n *Node) record(now time.Duration, next *inbox, r operator.Record) {
	n.number++
	r = r.WithSeq(n.number).WithVersion(n.bundle.Version).WithOrigin(n.name, now, n.WallTime(now))
	next.platform = append(next.platform, platform.Recorded{Record: r})
	n.out = append(n.out, LogAuditRecord{Record: r})
}

// LogAuditRecord puts a record into the node's own log.
type LogAuditRecord struct {
	Record operator.Record
}

// RecordReported is a record from outside the control decisions, such as a traffic lane.
type RecordReported struct {
	Record operator.Record
}

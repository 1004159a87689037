package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/peerlink"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

// connsPerNode is how many connections to each server a node needs to serve a group by itself: for its statements, for a
// transaction that rests, and for control. Where a server has fewer for each node, a few nodes serve the group for all.
const connsPerNode = 4

// makeRelay makes what hands requests to the nodes that serve a group.
func (n *Node) makeRelay() error {
	d, err := dispatcher.NewRelay(dispatcher.WithJitter(tick.Jitter), dispatcher.WithTrace(operator.TraceSampled))
	if err != nil {
		return err
	}
	n.relay = traffic.NewRelay(n.ctx, n.clock, d)
	n.relay.Callers = n.front.Callers()
	n.relay.Work = n.front.Work
	n.relay.Hold = func(o dispatcher.Outcome) bool {
		return n.front.Hold(o.Session, o.Seq, platform.Answer{Out: o.Answer, State: o.State, Position: o.Position, Floor: o.Floor})
	}
	n.relay.Dial = func(ctx context.Context, address string, in traffic.Inbound) (traffic.Link, error) {
		return n.link.DialDispatcher(ctx, n.settings.Peer, address, n.memberZone(address), in)
	}
	n.relay.Failed = func(address string, err error) { n.depend("dispatcher/"+address, "connection_refused", err) }
	n.relay.Note = n.keep
	return nil
}

// memberZone returns the zone of a node that is there, or "".
func (n *Node) memberZone(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := slices.IndexFunc(n.members, func(u peer.Update) bool { return u.Address == address }); i >= 0 {
		return n.members[i].Zone
	}
	return ""
}

// serversOf names the nodes that serve a group: all, as long as its servers have connections enough, and otherwise a few of each
// zone. The lock is held.
func (n *Node) serversOf(g bundle.Group) []string {
	if len(n.members)*connsPerNode > g.ConnectionsPerServer {
		if names := peer.Dispatchers(g.Name, n.members); len(names) > 0 {
			return names
		}
	}
	names := make([]string, 0, len(n.members))
	for _, u := range n.members {
		names = append(names, u.Name)
	}
	return names
}

// nearestFirst orders the nodes that serve a group as this node prefers them; nodes as near as each other are preferred by
// different nodes in turn. The lock is held.
func (n *Node) nearestFirst(names []string) []string {
	distance := map[string]int{}
	for _, u := range n.members {
		distance[u.Name] = n.settings.DistanceRank(u.Zone)
	}
	return slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(distance[a], distance[b]),
			cmp.Compare(peer.Rank(a, n.settings.Peer, names), peer.Rank(b, n.settings.Peer, names)))
	})
}

// meetWithin is how long a node that starts waits for the list of the fleet before it decides by the nodes that it knows.
const meetWithin = 2 * time.Second

// meet ends that wait.
func (n *Node) meet() {
	n.mu.Lock()
	n.met = true
	n.mu.Unlock()
	n.shareOut()
}

// assignAll decides for each group which nodes serve it, and whether this is one of them.
func (n *Node) assignAll(b bundle.Bundle) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.met {
		return
	}
	for _, g := range b.Groups {
		names := n.serversOf(g)
		if slices.Equal(names, n.serving[g.Name].nodes) {
			continue
		}
		here := slices.Contains(names, n.settings.Peer)
		n.serving[g.Name] = serving{nodes: names, here: here}
		n.thread.Post(upstream.Served{Group: g.Name, On: here, Nodes: names})
		n.relay.Post(dispatcher.Assigned{Group: g.Name, Peers: n.nearestFirst(slices.DeleteFunc(slices.Clone(names),
			func(name string) bool { return name == n.settings.Peer }))})
	}
}

// serveJobs takes the requests that another node hands to this one, on one stream.
func (n *Node) serveJobs(a peerlink.Answers) peerlink.Jobs {
	r := &remoteSessions{node: n, answers: a, sessions: map[caller.SessionID]*platform.Session{}}
	n.mu.Lock()
	n.remotes[r] = true
	n.mu.Unlock()
	if n.draining.Load() {
		a.Leaving()
	}
	return peerlink.Jobs{Job: r.run, Abandoned: r.abandon, Ended: r.end}
}

// remoteSessions are the sessions that another node has with this one, by that node's ids.
type remoteSessions struct {
	node     *Node
	answers  peerlink.Answers
	mu       sync.Mutex
	sessions map[caller.SessionID]*platform.Session
}

// run hands a job to the lane of its group, or declines it.
func (r *remoteSessions) run(j dispatcher.Job) {
	r.mu.Lock()
	s, ok := r.sessions[j.Session]
	r.mu.Unlock()
	if !ok {
		l, serves := r.node.laneFor(j.Group)
		if j.Joined || !serves || r.node.draining.Load() {
			r.answers.Outcome(dispatcher.Outcome{Session: j.Session, Seq: j.Seq, Declined: true})
			return
		}
		s = r.node.front.OpenRemote(platform.Route{Group: j.Group, Post: l.Post}, j.Floor,
			func(seq uint64, a platform.Answer) { r.deliver(j.Session, s, seq, a) })
		r.mu.Lock()
		r.sessions[j.Session] = s
		r.mu.Unlock()
	}
	if err := s.Run(j); err != nil {
		r.node.depend("job/"+j.Group, "call_failed", err)
		r.abandon(j.Session)
		r.answers.Outcome(dispatcher.Outcome{Session: j.Session, Seq: j.Seq, Declined: true})
	}
}

// deliver sends an answer back, unless its session was abandoned meanwhile; a session ends with its transaction.
func (r *remoteSessions) deliver(id caller.SessionID, s *platform.Session, seq uint64, a platform.Answer) {
	r.mu.Lock()
	current := r.sessions[id] == s
	r.mu.Unlock()
	if !current {
		return
	}
	if !a.Open() {
		r.abandon(id)
	}
	r.answers.Outcome(dispatcher.Outcome{
		Session: id, Seq: seq, Answer: a.Out, State: a.State, Open: a.Open(), Position: a.Position, Floor: a.Floor,
	})
}

// abandon ends a session with what is left of its transaction.
func (r *remoteSessions) abandon(id caller.SessionID) {
	r.mu.Lock()
	s, ok := r.sessions[id]
	delete(r.sessions, id)
	r.mu.Unlock()
	if ok {
		s.Leave()
	}
}

// end ends all sessions of a stream that is gone.
func (r *remoteSessions) end() {
	r.node.mu.Lock()
	delete(r.node.remotes, r)
	r.node.mu.Unlock()
	r.mu.Lock()
	ss := r.sessions
	r.sessions = map[caller.SessionID]*platform.Session{}
	r.mu.Unlock()
	for _, s := range ss {
		s.Leave()
	}
}

// tellLeaving tells all nodes that hand requests to this one that it takes no new transactions.
func (n *Node) tellLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.remotes {
		r.answers.Leaving()
	}
}

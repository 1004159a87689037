package control_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/standin/group"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const (
	ms                = time.Millisecond
	serviceTime       = 2 * ms
	heartbeatInterval = 50 * ms
	recoveryTime      = 12 * time.Second
	faultPeriod       = 20 * time.Second

	slotsPerServer = 5
	slotsReserved  = 2
)

// process is a simulated process in a zone. It can be dead or paused.
type process struct {
	name        string
	zone        string
	alive       bool
	pausedUntil time.Duration
	incarnation int
}

// world simulates the servers of one group, the proxies and their callers on one virtual clock.
type world struct {
	*tick.VirtualClock
	seed         int64
	rng          *rand.Rand
	servers      []*fakeServer
	nodes        []*fakeNode
	callers      []*fakeCaller
	blockedZones map[[2]string]bool
	// blockedServers holds directed pairs of servers between which replication is blocked, while proxies still reach both.
	blockedServers map[[2]string]bool
	lossRate       float64
	repeatRate     float64
	lag            time.Duration
	lastConn       int
	steps          int
	violations     []string
	history        history
	opts           worldOptions
	records        []string
}

// worldOptions configure a run. The zero value of an option is the product's default.
type worldOptions struct {
	nodes           int
	callers         int
	thinkTime       time.Duration
	ack             bundle.Ack
	watchOptions    []upstream.Option
	laneOptions     []caller.Option
	keyedWritesOnly bool
	deadlineMS      uint64
	// readPercent is the percentage of requests that are reads in any case; the usual mix applies to the others.
	readPercent int
	// Each of these options disables one guard, so that a test can show that the guard is needed.
	primaryOnly bool
	noTombstone bool
	noKeys      bool
	noFence     bool
}

func newWorld(seed int64, o worldOptions) *world {
	w := &world{
		VirtualClock: &tick.VirtualClock{}, seed: seed, rng: rand.New(rand.NewSource(seed)), blockedZones: map[[2]string]bool{},
		blockedServers: map[[2]string]bool{}, lag: 20 * ms, opts: o, history: newHistory(),
	}
	zones := []string{"nairobi-a", "nairobi-b", "mombasa"}
	names := []string{"s0", "s1", "s2"}
	for i, n := range names {
		w.servers = append(w.servers, newFakeServer(w, n, zones[i], names))
	}
	for i := range o.nodes {
		w.nodes = append(w.nodes, newFakeNode(w, fmt.Sprintf("n%d", i), zones[i%3]))
	}
	for _, n := range w.nodes {
		n.start()
	}
	for i := range o.callers {
		c := &fakeCaller{w: w, id: i}
		w.callers = append(w.callers, c)
		w.After(500*ms+time.Duration(w.rng.Intn(100))*ms, c.openSession)
	}
	return w
}

func (w *world) reportViolation(who, invariant, detail string) {
	w.violations = append(w.violations, fmt.Sprintf("%v %s: %s: %s", w.Now(), who, invariant, detail))
}

func (w *world) latency(a, b string) time.Duration {
	base := 1 * ms
	if strings.HasPrefix(a, "mombasa") != strings.HasPrefix(b, "mombasa") {
		base = 8 * ms
	}
	if a == b {
		base = 200 * time.Microsecond
	}
	return base + time.Duration(w.rng.Int63n(int64(base)/2))
}

// send delivers a message one way. A paused receiver gets it when it resumes. The message is lost if the zones are partitioned or
// the sender is dead, and at random with the loss rate.
func (w *world) send(from, to *process, f func()) {
	if w.blockedZones[[2]string{from.zone, to.zone}] || w.rng.Float64() < w.lossRate || !from.alive {
		return
	}
	incarnation := to.incarnation
	w.After(w.latency(from.zone, to.zone), func() { w.deliver(to, incarnation, f) })
}

func (w *world) deliver(to *process, incarnation int, f func()) {
	if !to.alive || to.incarnation != incarnation {
		return
	}
	if to.pausedUntil > w.Now() {
		w.After(to.pausedUntil-w.Now(), func() { w.deliver(to, incarnation, f) })
		return
	}
	f()
}

// rpc delivers a request and its answer. A dead process refuses the connection, which the sender learns after a round trip.
func (w *world) rpc(from, to *process, f func() (answer func()), refused func()) {
	if !to.alive && !w.blockedZones[[2]string{from.zone, to.zone}] && !w.blockedZones[[2]string{to.zone, from.zone}] {
		w.After(2*w.latency(from.zone, to.zone), func() { w.deliver(from, from.incarnation, refused) })
		return
	}
	w.send(from, to, func() {
		answer := f()
		w.send(to, from, answer)
	})
}

func (w *world) serverAt(address string) *fakeServer {
	for _, s := range w.servers {
		if s.name == address {
			return s
		}
	}
	return nil
}

// leader returns the server that leads the highest term.
func (w *world) leader() *fakeServer {
	best := w.servers[0]
	for _, s := range w.servers {
		if s.core.Leads() && (!best.core.Leads() || s.core.Term() > best.core.Term()) {
			best = s
		}
	}
	return best
}

// fakeServer is a database server whose data are the payloads of its log.
type fakeServer struct {
	process
	w     *world
	core  *group.Core
	conns map[int]*fakeConn
	// index maps a payload to its offset in the log. It covers the first indexed entries.
	index      map[string]uint64
	indexed    uint64
	slots      *upstream.SlotTable
	running    int
	maxRunning int
}

// beginRequest counts a running request and checks the count against the server's slots. The check is suspended until a second
// after a pause, because a server may then run requests of connections that were closed meanwhile, which no proxy can observe.
func (s *fakeServer) beginRequest() {
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	if s.running > slotsPerServer && s.w.Now()-s.pausedUntil > time.Second {
		s.w.reportViolation(s.name, "slots_exceeded", fmt.Sprint(s.running))
	}
}

// serviceDuration returns a random time around d for which a request holds its slot.
func (w *world) serviceDuration(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.rng.Int63n(int64(d)))
}

type fakeConn struct {
	id            int
	server        *fakeServer
	node          *fakeNode
	laneID        caller.ConnID
	blackholed    bool
	stalledUntil  time.Duration
	closed        bool
	pendingWrites []string
	inTransaction bool
}

func newFakeServer(w *world, name, zone string, all []string) *fakeServer {
	s := &fakeServer{
		process: process{name: name, zone: zone, alive: true}, w: w, conns: map[int]*fakeConn{}, index: map[string]uint64{},
	}
	var peers []string
	for _, n := range all {
		if n != name {
			peers = append(peers, n)
		}
	}
	s.core = group.NewCore(name, peers, name == "s0")
	s.core.OnTruncate(s.dropIndex)
	s.slots = upstream.NewSlotTable(slotsPerServer, slotsReserved, -upstream.SlotTTL)
	w.After(heartbeatInterval, s.sendHeartbeats)
	return s
}

func (s *fakeServer) sendHeartbeats() {
	if s.alive && s.pausedUntil <= s.w.Now() {
		s.replicate()
	}
	s.w.After(heartbeatInterval, s.sendHeartbeats)
}

func (s *fakeServer) replicate() {
	for _, p := range s.w.servers {
		if p != s {
			s.sendEntries(p)
		}
	}
}

func (s *fakeServer) sendEntries(p *fakeServer) {
	a, ok := s.core.NextAppend(s.w.Now(), p.name, 64)
	if !ok || s.w.blockedServers[[2]string{s.name, p.name}] {
		return
	}
	s.w.send(&s.process, &p.process, func() {
		r := p.core.HandleAppend(p.w.Now(), a)
		p.w.After(p.w.lag, p.apply)
		if p.w.blockedServers[[2]string{p.name, s.name}] {
			return
		}
		p.w.send(&p.process, &s.process, func() {
			s.core.HandleResponse(r)
			if !r.OK || r.Offset < s.core.Position().Offset {
				s.sendMoreEntries(p, r)
			}
		})
	})
}

// sendMoreEntries continues with a replica that is behind, unless the replica is in another term.
func (s *fakeServer) sendMoreEntries(p *fakeServer, r group.AppendResponse) {
	if r.Term == s.core.Term() {
		s.w.After(ms, func() { s.sendEntries(p) })
	}
}

func (s *fakeServer) apply() {
	if s.core.Leads() {
		return
	}
	for {
		if _, _, ok := s.core.ApplyNext(); !ok {
			return
		}
	}
}

// kill ends the process; its log remains. Servers that can reach its zone see their link to it close.
func (s *fakeServer) kill() {
	s.alive = false
	s.incarnation++
	s.running = 0
	for _, p := range s.w.servers {
		if p != s && !s.w.blockedZones[[2]string{s.zone, p.zone}] {
			s.w.After(s.w.latency(s.zone, p.zone), func() {
				if !s.alive && !p.core.Leads() {
					p.core.MarkLinkClosed()
				}
			})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(s.conns)) {
		s.conns[k].reset()
	}
	s.conns = map[int]*fakeConn{}
}

func (s *fakeServer) restart() {
	if !s.alive {
		s.slots = upstream.NewSlotTable(slotsPerServer, slotsReserved, s.w.Now()+upstream.SlotUseTime)
	}
	s.alive = true
}

// reset closes the connection and notifies the proxy, unless the zones are partitioned.
func (c *fakeConn) reset() {
	c.closed = true
	w := c.server.w
	if w.blockedZones[[2]string{c.server.zone, c.node.zone}] {
		return
	}
	incarnation := c.node.incarnation
	w.After(w.latency(c.server.zone, c.node.zone), func() {
		w.deliver(&c.node.process, incarnation, func() { c.node.connReset(c) })
	})
}

// offsetOf returns the offset of a payload in the server's log, or zero.
func (s *fakeServer) offsetOf(payload string) uint64 {
	for end := s.core.Position().Offset; s.indexed < end; s.indexed++ {
		e := s.core.Entry(s.indexed + 1)
		if e.Payload != "" {
			s.index[e.Payload] = s.indexed + 1
		}
	}
	return s.index[payload]
}

// dropIndex removes the truncated part of the log from the index.
func (s *fakeServer) dropIndex(from uint64) {
	s.indexed = min(s.indexed, from-1)
	maps.DeleteFunc(s.index, func(_ string, at uint64) bool { return at >= from })
}

// has reports whether a payload is in the server's log.
func (s *fakeServer) has(payload string) bool {
	return s.offsetOf(payload) > 0
}

// hasApplied reports whether reads on the server see a payload.
func (s *fakeServer) hasApplied(payload string) bool {
	at := s.offsetOf(payload)
	return at > 0 && at <= s.core.AppliedPosition().Offset
}

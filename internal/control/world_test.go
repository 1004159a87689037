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
	ms          = time.Millisecond
	serviceTime = 2 * ms
	heartbeat   = 50 * ms
	settleTime  = 12 * time.Second
	stormLength = 20 * time.Second

	slotsPerServer = 5
	slotsReserved  = 2
)

// place is a process in a zone, which can be dead or paused.
type place struct {
	name   string
	zone   string
	alive  bool
	wakes  time.Duration
	starts int
}

// world holds small fakes of one group's servers, the proxies and their callers on one virtual clock.
type world struct {
	*tick.VirtualClock
	seed    int64
	rnd     *rand.Rand
	servers []*fakeServer
	nodes   []*fakeNode
	clients []*fakeClient
	cuts    map[[2]string]bool
	// links are the cuts between servers alone, which proxies do not notice themselves.
	links   map[[2]string]bool
	loss    float64
	repeats float64
	lag     time.Duration
	conns   int
	steps   int
	broken  []string
	ledger  ledger
	opts    worldOptions
	records []string
}

// worldOptions vary a run; the zero value is the design as it ships.
type worldOptions struct {
	nodes      int
	clients    int
	think      time.Duration
	ack        bundle.Ack
	watch      []upstream.Option
	lane       []caller.Option
	calm       bool
	deadlineMS uint64
	// reads is the share of reads in per cent, where it differs from the usual mix.
	reads int
	// The guards that a run may do without, to see that they are what keeps its promises.
	primaryOnly bool
	noTombstone bool
	noKeys      bool
	noFence     bool
}

func newWorld(seed int64, o worldOptions) *world {
	w := &world{
		VirtualClock: &tick.VirtualClock{}, seed: seed, rnd: rand.New(rand.NewSource(seed)), cuts: map[[2]string]bool{},
		links: map[[2]string]bool{}, lag: 20 * ms, opts: o, ledger: newLedger(),
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
	for i := range o.clients {
		c := &fakeClient{w: w, id: i}
		w.clients = append(w.clients, c)
		w.After(500*ms+time.Duration(w.rnd.Intn(100))*ms, c.begin)
	}
	return w
}

func (w *world) violated(who, invariant, detail string) {
	w.broken = append(w.broken, fmt.Sprintf("%v %s: %s: %s", w.Now(), who, invariant, detail))
}

func (w *world) latency(a, b string) time.Duration {
	base := 1 * ms
	if strings.HasPrefix(a, "mombasa") != strings.HasPrefix(b, "mombasa") {
		base = 8 * ms
	}
	if a == b {
		base = 200 * time.Microsecond
	}
	return base + time.Duration(w.rnd.Int63n(int64(base)/2))
}

// send carries a message one way; it waits for a paused receiver, and is lost in a cut or by chance.
func (w *world) send(from, to *place, f func()) {
	if w.cuts[[2]string{from.zone, to.zone}] || w.rnd.Float64() < w.loss || !from.alive {
		return
	}
	started := to.starts
	w.After(w.latency(from.zone, to.zone), func() { w.deliver(to, started, f) })
}

func (w *world) deliver(to *place, started int, f func()) {
	if !to.alive || to.starts != started {
		return
	}
	if to.wakes > w.Now() {
		w.After(to.wakes-w.Now(), func() { w.deliver(to, started, f) })
		return
	}
	f()
}

// rpc carries a question and its answer; a dead process refuses, which is learned after a round trip.
func (w *world) rpc(from, to *place, f func() (answer func()), refused func()) {
	if !to.alive && !w.cuts[[2]string{from.zone, to.zone}] && !w.cuts[[2]string{to.zone, from.zone}] {
		w.After(2*w.latency(from.zone, to.zone), func() { w.deliver(from, from.starts, refused) })
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
	place
	w     *world
	core  *group.Core
	conns map[int]*fakeConn
	// index is where each payload stands among the first indexed entries of the log.
	index   map[string]uint64
	indexed uint64
	slots   *upstream.SlotTable
	running int
	peak    int
}

// begin counts a request that starts to run, and holds the count against the server's limit. A server that was frozen may
// have work of connections that were given up meanwhile, which no proxy can know of.
func (s *fakeServer) begin() {
	s.running++
	s.peak = max(s.peak, s.running)
	if s.running > slotsPerServer && s.w.Now()-s.wakes > time.Second {
		s.w.violated(s.name, "slots_exceeded", fmt.Sprint(s.running))
	}
}

// service is the time that a request holds its slot.
func (w *world) service(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.rnd.Int63n(int64(d)))
}

type fakeConn struct {
	id     int
	server *fakeServer
	node   *fakeNode
	laneID caller.ConnID
	silent bool
	stuck  time.Duration
	closed bool
	wrote  []string
	open   bool
}

func newFakeServer(w *world, name, zone string, all []string) *fakeServer {
	s := &fakeServer{place: place{name: name, zone: zone, alive: true}, w: w, conns: map[int]*fakeConn{}, index: map[string]uint64{}}
	var peers []string
	for _, n := range all {
		if n != name {
			peers = append(peers, n)
		}
	}
	s.core = group.NewCore(name, peers, name == "s0")
	s.core.OnTruncate(s.truncated)
	s.slots = upstream.NewSlotTable(slotsPerServer, slotsReserved, -upstream.SlotTTL)
	w.After(heartbeat, s.beat)
	return s
}

func (s *fakeServer) beat() {
	if s.alive && s.wakes <= s.w.Now() {
		s.replicate()
	}
	s.w.After(heartbeat, s.beat)
}

func (s *fakeServer) replicate() {
	for _, p := range s.w.servers {
		if p != s {
			s.feed(p)
		}
	}
}

func (s *fakeServer) feed(p *fakeServer) {
	a, ok := s.core.Next(s.w.Now(), p.name, 64)
	if !ok || s.w.links[[2]string{s.name, p.name}] {
		return
	}
	s.w.send(&s.place, &p.place, func() {
		r := p.core.Receive(p.w.Now(), a)
		p.w.After(p.w.lag, p.apply)
		if p.w.links[[2]string{p.name, s.name}] {
			return
		}
		p.w.send(&p.place, &s.place, func() {
			s.core.Acknowledge(r)
			if !r.OK || r.Offset < s.core.Position().Offset {
				s.feedLater(p, r)
			}
		})
	})
}

// feedLater goes on with a replica that is behind, unless it refused for good.
func (s *fakeServer) feedLater(p *fakeServer, r group.Appended) {
	if r.Term == s.core.Term() {
		s.w.After(ms, func() { s.feed(p) })
	}
}

func (s *fakeServer) apply() {
	if s.core.Leads() {
		return
	}
	for {
		if _, _, ok := s.core.Apply(); !ok {
			return
		}
	}
}

// kill ends the process; its log stays, and the paths to it close at once for those that can reach it.
func (s *fakeServer) kill() {
	s.alive = false
	s.starts++
	s.running = 0
	for _, p := range s.w.servers {
		if p != s && !s.w.cuts[[2]string{s.zone, p.zone}] {
			s.w.After(s.w.latency(s.zone, p.zone), func() {
				if !s.alive && !p.core.Leads() {
					p.core.CloseLink()
				}
			})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(s.conns)) {
		s.conns[k].breakNow()
	}
	s.conns = map[int]*fakeConn{}
}

func (s *fakeServer) revive() {
	if !s.alive {
		s.slots = upstream.NewSlotTable(slotsPerServer, slotsReserved, s.w.Now()+upstream.SlotUse)
	}
	s.alive = true
}

// breakNow tells the proxy that the connection was reset, if word can reach it.
func (c *fakeConn) breakNow() {
	c.closed = true
	w := c.server.w
	if w.cuts[[2]string{c.server.zone, c.node.zone}] {
		return
	}
	started := c.node.starts
	w.After(w.latency(c.server.zone, c.node.zone), func() {
		w.deliver(&c.node.place, started, func() { c.node.connBroke(c) })
	})
}

// find returns where a payload stands in the server's log, or zero.
func (s *fakeServer) find(payload string) uint64 {
	for end := s.core.Position().Offset; s.indexed < end; s.indexed++ {
		e := s.core.Entry(s.indexed + 1)
		if e.Payload != "" {
			s.index[e.Payload] = s.indexed + 1
		}
	}
	return s.index[payload]
}

// truncated drops what the index knows of a part of the log that is gone.
func (s *fakeServer) truncated(from uint64) {
	s.indexed = min(s.indexed, from-1)
	maps.DeleteFunc(s.index, func(_ string, at uint64) bool { return at >= from })
}

// has reports whether a payload is in the server's log.
func (s *fakeServer) has(payload string) bool {
	return s.find(payload) > 0
}

// shows reports whether reads on the server see a payload.
func (s *fakeServer) shows(payload string) bool {
	at := s.find(payload)
	return at > 0 && at <= s.core.AppliedPosition().Offset
}

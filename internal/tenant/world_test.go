package tenant_test

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/table"
	"buckthornport.example/buckthornport/internal/tenant"
	"buckthornport.example/buckthornport/internal/tick"
)

// The default seed is fixed, so that each run draws the same values. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	ms         = time.Millisecond
	viewPeriod = 100 * ms
	lifetime   = 300 * ms
)

// world drives the limiters of many nodes on one virtual clock, with a network and a membership between them.
type world struct {
	tick.VirtualClock
	tb      rapid.TB
	random  *rand.Rand
	nodes   []*node
	limits  map[string]tenant.Limit
	version uint64
	// history holds the limits of each tenant that were in force at any node.
	history []inForce
	// cut reports whether messages between two nodes are lost, delay is how long they take.
	cut   func(a, b *node) bool
	delay func(a, b *node) time.Duration
	// refuses is set if a stopped node refuses connections, so that senders notice at once.
	refuses bool
	// atNode picks the node at which an operation arrives, a random one by default.
	atNode    func() *node
	sessions  caller.SessionID
	operation map[caller.SessionID]operation
	admitted  map[string][]time.Duration
	refused   map[string]int
	waits     []time.Duration
	messages  int
}

type operation struct {
	tenant string
	at     time.Duration
}

// inForce is a limit from when a node may have known it until none lends by it any more.
type inForce struct {
	tenant      string
	limit       tenant.Limit
	from, until time.Duration
}

// node is one node. lostAt holds since when it has had no contact with others, detection after what time it notices.
type node struct {
	world     *world
	name      string
	index     int
	limiter   *tenant.Limiter
	alive     bool
	life      uint64
	wake      time.Duration
	lostAt    map[*node]time.Duration
	detection time.Duration
	view      string
}

func newWorld(tb rapid.TB, seed int64, nodes int, limits map[string]tenant.Limit) *world {
	w := &world{
		tb: tb, random: rand.New(rand.NewSource(seed)), limits: limits, version: 1, operation: map[caller.SessionID]operation{},
		admitted: map[string][]time.Duration{}, refused: map[string]int{}, cut: func(_, _ *node) bool { return false }, refuses: true,
	}
	w.delay = func(a, b *node) time.Duration {
		if a.index%2 != b.index%2 {
			return 8 * ms
		}
		return 800 * time.Microsecond
	}
	w.atNode = func() *node { return w.nodes[w.random.Intn(len(w.nodes))] }
	for name, l := range limits {
		w.history = append(w.history, inForce{tenant: name, limit: l, until: table.Never})
	}
	for i := range nodes {
		n := &node{world: w, name: fmt.Sprintf("10.0.0.%d:7000", i+1), index: i}
		n.detection = 500*ms + time.Duration(w.random.Intn(1000))*ms
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// start begins a life of a node.
func (n *node) start() {
	n.life++
	n.alive, n.lostAt, n.wake, n.view = true, map[*node]time.Duration{}, table.Never, ""
	n.limiter = tenant.New(n.name, tenant.WithIncarnation(n.life<<32))
	n.post(tenant.LimitsChanged{Version: n.world.version, Limits: n.world.limits})
	n.watch(n.life)
}

// watch updates the node's view of the fleet at intervals during one life.
func (n *node) watch(life uint64) {
	if !n.alive || n.life != life {
		return
	}
	n.look()
	n.world.After(viewPeriod, func() { n.watch(life) })
}

// look suspects members without contact after the detection time, and removes them after twice that time.
func (n *node) look() {
	w := n.world
	var members, all []peer.Update
	e := tenant.MembersChanged{Known: len(w.nodes), Complete: true}
	for _, o := range w.nodes {
		if o == n || o.alive && !w.cut(n, o) {
			delete(n.lostAt, o)
		} else if _, lost := n.lostAt[o]; !lost {
			n.lostAt[o] = w.Now()
		}
		at, lost := n.lostAt[o]
		switch {
		case lost && w.Now()-at > 2*n.detection:
			e.Suspects = append(e.Suspects, o.name)
			all = append(all, peer.Update{Name: o.name, Weight: 1000})
			continue
		case lost && w.Now()-at > n.detection:
			e.Suspects = append(e.Suspects, o.name)
		default:
			e.Alive++
		}
		members = append(members, peer.Update{Name: o.name, Weight: 1000})
		all = append(all, peer.Update{Name: o.name, Weight: 1000})
	}
	e.Homes, e.Witnesses = peer.LimitHomes(members), peer.LimitWitnesses(all)
	if v := fmt.Sprint(e); v != n.view {
		n.view = v
		n.post(e)
	}
}

func (n *node) kill() {
	n.alive = false
}

// post hands events to the node's limiter and performs its actions.
func (n *node) post(es ...tenant.Event) {
	w := n.world
	as, next := n.limiter.Step(w.Now(), es)
	for _, a := range as {
		switch a := a.(type) {
		case tenant.Admit:
			o := w.operation[a.Session]
			w.admitted[o.tenant] = append(w.admitted[o.tenant], w.Now())
			w.waits = append(w.waits, w.Now()-o.at)
		case tenant.Refuse:
			w.refused[a.Tenant]++
		case tenant.Send:
			w.messages++
			n.send(a)
		}
	}
	if next == n.wake || next == table.Never {
		n.wake = next
		return
	}
	if next <= w.Now() {
		w.tb.Fatalf("the limiter wants to run again at once: %v at %v", next, w.Now())
	}
	n.wake = next
	life := n.life
	w.After(next-w.Now(), func() {
		if n.alive && n.life == life && n.wake == next {
			n.wake = table.Never
			n.post()
		}
	})
}

func (n *node) send(a tenant.Send) {
	w := n.world
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.name == a.To })
	to := w.nodes[i]
	life := n.life
	w.After(w.delay(n, to), func() {
		switch {
		case to.alive && !w.cut(n, to):
			to.post(tenant.Received{From: n.name, Message: a.Message})
		case !to.alive && w.refuses && n.alive && n.life == life:
			n.post(tenant.Unreachable{Node: a.To})
		}
	})
}

// request has an operation arrive at a node.
func (w *world) request(n *node, name string) {
	if !n.alive {
		return
	}
	w.sessions++
	w.operation[w.sessions] = operation{tenant: name, at: w.Now()}
	n.post(tenant.Requested{Session: w.sessions, Seq: 1, Tenant: name, Deadline: w.Now() + 2*time.Second})
}

// load has operations of a tenant arrive at the nodes that atNode picks, at a rate that may change over time.
func (w *world) load(name string, rate func(now time.Duration) float64) {
	w.After(time.Duration(w.random.ExpFloat64()/rate(w.Now())*1e9), func() {
		w.request(w.atNode(), name)
		w.load(name, rate)
	})
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// change changes the limit of tenant t. The nodes learn it within the given time.
func (w *world) change(l tenant.Limit, within time.Duration) {
	const name = "t"
	limits := map[string]tenant.Limit{}
	for k, v := range w.limits {
		limits[k] = v
	}
	limits[name] = l
	w.limits = limits
	w.version++
	for i, h := range w.history {
		if h.tenant == name && h.until == table.Never {
			w.history[i].until = w.Now() + within + lifetime
		}
	}
	w.history = append(w.history, inForce{tenant: name, limit: l, from: w.Now(), until: table.Never})
	e := tenant.LimitsChanged{Version: w.version, Limits: limits}
	for _, n := range w.nodes {
		life := n.life
		w.After(time.Duration(w.random.Int63n(int64(within)+1)), func() {
			if n.alive && n.life == life {
				n.post(e)
			}
		})
	}
}

// allowed returns how many operations of a tenant may run in a window of 5 s by the limits in force.
func (w *world) allowed(name string, from, to time.Duration) float64 {
	const slice = 50 * ms
	operations, burst := 0.0, 0.0
	for at := from; at < to; at += slice {
		rate := 0.0
		for _, h := range w.history {
			if h.tenant == name && h.from <= at+slice && at <= h.until {
				rate, burst = max(rate, h.limit.Rate), max(burst, h.limit.Burst)
			}
		}
		operations += rate * slice.Seconds()
	}
	return operations + burst
}

// excess returns by how much the operations of a tenant exceed what is allowed in the worst window of 5 s: tolerance times that and
// the slack are added to what is allowed.
func (w *world) excess(name string, tolerance, slack float64) float64 {
	const window = 5 * time.Second
	ts := w.admitted[name]
	worst := math.Inf(-1)
	first := 0
	for i, t := range ts {
		for ts[first] <= t-window {
			first++
		}
		n := float64(i - first + 1)
		if n > slack {
			worst = max(worst, n-w.allowed(name, t-window, t)*(1+tolerance)-slack)
		}
	}
	return worst
}

// assertBounded checks the bound of all tenants over every sliding window.
func (w *world) assertBounded() {
	w.tb.Helper()
	for name := range w.limits {
		if e := w.excess(name, 0.1, 20); e > 0 {
			w.tb.Errorf("tenant %s exceeds the bound by %.1f operations", name, e)
		}
	}
}

func (w *world) assertServed(c *qt.C, name string, atLeast int) {
	c.Helper()
	n := len(w.admitted[name])
	c.Assert(n >= atLeast, qt.IsTrue, qt.Commentf("%s: %d admitted, want %d", name, n, atLeast))
}

// home returns the home of tenant t that the nodes agree on while they see each other.
func (w *world) home() *node {
	var alive []peer.Update
	for _, n := range w.nodes {
		if n.alive {
			alive = append(alive, peer.Update{Name: n.name, Weight: 1000})
		}
	}
	if len(alive) == 0 {
		return nil
	}
	first := peer.SortByRank(peer.LimitHomes(alive), "t", func(string) int { return 0 })[0]
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == first })]
}

// tenants returns the names of the tenants in order, so that a seed always draws the same arrivals.
func (w *world) tenants() []string {
	return slices.Sorted(maps.Keys(w.limits))
}

func (w *world) longestWait() time.Duration {
	return slices.Max(w.waits)
}

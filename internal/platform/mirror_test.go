package platform_test

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/tick"
)

const (
	// inForceTarget is the time within which a change must be known to every node.
	inForceTarget = 3 * time.Second
	// controlBytesTarget is the number of bytes per second that a node may spend on control.
	controlBytesTarget = 8192

	storeDelay      = 5 * time.Millisecond
	peerDelay       = 2 * time.Millisecond
	messageOverhead = 60
)

// mirrorFleet is a store and the mirrors of the nodes of several regions, on one virtual clock.
type mirrorFleet struct {
	*tick.VirtualClock
	random *rand.Rand
	nodes  []*mirrorNode
	byName map[string]*mirrorNode
	// rows are the rows of the only table, and version is that of the store.
	rows    map[string]platform.Row
	version uint64
	era     uint64
	// saved holds the rows at each version, for restores.
	saved map[uint64]map[string]platform.Row
	// storeDown makes reads hang until they fail, storeRefuses makes them fail at once. storeBytes counts the bytes that each region
	// read from the store.
	storeDown    bool
	storeRefuses bool
	storeBytes   map[string]int
	batchDelay   time.Duration
}

type mirrorNode struct {
	f      *mirrorFleet
	name   string
	region string
	mirror *platform.Mirror
	rows   map[string]platform.Row
	alive  bool
	// cutOff makes reads of the store hang until they fail.
	cutOff bool
	steps  int
	sent   int
	reads  int
	// changedAt is when the node last learned of a change.
	changedAt time.Duration
}

// fataler is the part of a test that shared assertions need. Property tests have no testing.TB.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newMirrorFleet(seed int64, regions, perRegion int) *mirrorFleet {
	return newBatchedMirrorFleet(seed, regions, perRegion, 200*time.Millisecond)
}

func newBatchedMirrorFleet(seed int64, regions, perRegion int, batchDelay time.Duration) *mirrorFleet {
	f := &mirrorFleet{
		VirtualClock: &tick.VirtualClock{}, random: rand.New(rand.NewSource(seed)), byName: map[string]*mirrorNode{},
		rows: map[string]platform.Row{}, storeBytes: map[string]int{}, era: 1, saved: map[uint64]map[string]platform.Row{0: {}},
		batchDelay: batchDelay,
	}
	for r := range regions {
		for i := range perRegion {
			x := &mirrorNode{f: f, name: fmt.Sprintf("r%d-n%04d", r, i), region: fmt.Sprintf("r%d", r), alive: true}
			f.nodes = append(f.nodes, x)
			f.byName[x.name] = x
			x.start()
		}
	}
	f.assignSources()
	return f
}

func (x *mirrorNode) start() {
	x.rows = map[string]platform.Row{}
	var err error
	x.mirror, err = platform.NewMirror(
		platform.WithMirrorJitter(func(d time.Duration) time.Duration { return time.Duration(x.f.random.Int63n(int64(d) + 1)) }),
		platform.WithTable(platform.TableRules{
			Name: "t", ReadWait: time.Second, ConfirmTimeout: 1500 * time.Millisecond, BatchDelay: x.f.batchDelay,
			CompareAge: bytes.Compare,
		}))
	if err != nil {
		panic(err)
	}
}

// assignSources gives each node that is alive its sources among the living nodes of its region.
func (f *mirrorFleet) assignSources() {
	members := map[string][]peer.Update{}
	for _, x := range f.nodes {
		if x.alive {
			members[x.region] = append(members[x.region], peer.Update{Name: x.name, Zone: x.region})
		}
	}
	readers, substitutes := map[string][]string{}, map[string][]string{}
	for region, us := range members {
		readers[region], substitutes[region] = peer.StoreReaders(us)
	}
	for _, x := range f.nodes {
		if x.alive {
			x.step(platform.SourcesAssigned{
				Reader: slices.Contains(readers[x.region], x.name), Substitute: slices.Contains(substitutes[x.region], x.name),
				Successors: peer.Successors(x.name, members[x.region]), Nodes: len(members[x.region]),
			})
		}
	}
}

func (x *mirrorNode) step(es ...platform.MirrorEvent) {
	if !x.alive {
		return
	}
	x.steps++
	step := x.steps
	as, wake := x.mirror.Step(x.f.Now(), es)
	for _, a := range as {
		x.perform(a)
	}
	if wake < time.Hour {
		x.f.After(max(0, wake-x.f.Now()), func() {
			if x.steps == step {
				x.step()
			}
		})
	}
}

func (x *mirrorNode) perform(a platform.MirrorAction) {
	switch a := a.(type) {
	case platform.SendTable:
		n := messageOverhead
		for _, r := range a.Message.Rows {
			n += len(r.Value) + len(r.Key)
		}
		x.sent += n
		o := x.f.byName[a.To]
		x.f.After(peerDelay, func() { o.step(platform.MessageReceived{From: x.name, Message: a.Message}) })
	case platform.ReadTable:
		x.f.After(storeDelay, func() { x.answer(0, true, x.f.Now()) })
	case platform.ReadChanges:
		x.f.After(storeDelay, func() { x.waitForChanges(a.After, x.f.Now()+a.Wait) })
	case platform.TableChanged:
		x.changedAt = x.f.Now()
		if a.All {
			x.rows = map[string]platform.Row{}
		}
		for _, r := range a.Rows {
			x.rows[r.Key] = r
		}
	}
}

func (x *mirrorNode) waitForChanges(after uint64, until time.Duration) {
	if x.f.newest() > after || x.f.version < after || x.f.Now() >= until || x.f.storeDown || x.cutOff {
		x.answer(after, false, x.f.Now())
		return
	}
	x.f.After(min(until-x.f.Now(), 5*time.Millisecond), func() { x.waitForChanges(after, until) })
}

// newest returns the version of the latest change.
func (f *mirrorFleet) newest() uint64 {
	v := uint64(0)
	for _, r := range f.rows {
		v = max(v, r.Version)
	}
	return v
}

func (x *mirrorNode) answer(after uint64, all bool, sentAt time.Duration) {
	x.reads++
	if x.f.storeRefuses {
		x.step(platform.ReadFailed{Table: "t"})
		return
	}
	if x.f.storeDown || x.cutOff {
		x.f.After(time.Second, func() { x.step(platform.ReadFailed{Table: "t"}) })
		return
	}
	if !all && x.f.version < after {
		x.step(platform.ReadFailed{Table: "t", HistoryGone: true})
		return
	}
	e := platform.RowsRead{Table: "t", Era: x.f.era, Version: x.f.version, All: all, SentAt: sentAt}
	for _, r := range x.f.rows {
		if r.Version > after && (!all || !r.Deleted) {
			e.Rows = append(e.Rows, r)
			x.f.storeBytes[x.region] += len(r.Value)
		}
	}
	x.step(e)
}

func (f *mirrorFleet) put(key string, value []byte) {
	f.version++
	f.rows[key] = platform.Row{Key: key, Value: value, Version: f.version, Deleted: value == nil}
	f.saved[f.version] = maps.Clone(f.rows)
}

// restore replaces the table by its state at an earlier version.
func (f *mirrorFleet) restore(version uint64) {
	f.era++
	f.version, f.rows = version, maps.Clone(f.saved[version])
}

// assertCopies checks that the copies of all living nodes equal the table.
func (f *mirrorFleet) assertCopies(t fataler) {
	t.Helper()
	for _, x := range f.nodes {
		for k, r := range f.rows {
			if o := x.rows[k]; x.alive && (o.Deleted != r.Deleted || !bytes.Equal(o.Value, r.Value)) {
				t.Fatalf("%s: row %s of version %d differs from version %d of the store", x.name, k, o.Version, r.Version)
			}
		}
	}
}

// routeValue returns a value like a configuration with a number of routes, in which each version changes one route.
func routeValue(routes, version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Version":%d,"Routes":[`, version)
	for i := range routes {
		timeout := 8000
		if i == version%routes {
			timeout += version
		}
		fmt.Fprintf(&b, `{"Name":"r-%x","Host":"h%x","Kind":"primary","TimeoutMs":%d,"Service":"db%d"},`, i*7919, i*104729, timeout, i%97)
	}
	return b.Bytes()
}

// TestMirrorAtTargetSize guards against tables that each node reads from the store: at the size of two years from now, one
// configuration would occupy the links between regions for minutes.
func TestMirrorAtTargetSize(t *testing.T) {
	c := qt.New(t)
	const regions, perRegion, routes = 3, 1133, 200
	f := newMirrorFleet(1, regions, perRegion)
	f.put("config", routeValue(routes, 1))
	f.Run(5 * time.Second)
	f.assertCopies(c)
	clear(f.storeBytes)
	for _, x := range f.nodes {
		x.sent = 0
	}
	const changes, interval = 4, 7200 * time.Millisecond
	for v := range changes {
		at := f.Now()
		value := routeValue(routes, v+2)
		f.put("config", value)
		f.Run(at + inForceTarget)
		f.assertCopies(c)
		f.Run(at + interval)
	}
	for region, n := range f.storeBytes {
		c.Check(n <= changes*3*len(routeValue(routes, 9)), qt.IsTrue, qt.Commentf("region %s read %d bytes from the store", region, n))
	}
	most, total := 0, 0
	for _, x := range f.nodes {
		most, total = max(most, x.sent), total+x.sent
	}
	seconds := changes * interval.Seconds()
	c.Logf("%.0f bytes per second and node on average, %.0f at most", float64(total)/seconds/float64(len(f.nodes)),
		float64(most)/seconds)
	c.Check(float64(most)/seconds <= controlBytesTarget, qt.IsTrue)
}

// TestMirrorStart guards against nodes of a small region that are back from a loss of power and wait for a reader that is not: they
// refuse their callers meanwhile.
func TestMirrorStart(t *testing.T) {
	const target = 440 * time.Millisecond
	for _, perRegion := range []int{2, 3, 4, 7} {
		t.Run(fmt.Sprintf("%d nodes of a region", perRegion), func(t *testing.T) {
			c := qt.New(t)
			f := newMirrorFleet(1, 1, perRegion)
			f.put("config", routeValue(20, 1))
			f.Run(time.Second)
			for _, x := range f.nodes {
				x.start()
			}
			f.assignSources()
			f.stopReaders()
			f.Run(f.Now() + target)
			f.assertCopies(c)
		})
	}
	t.Run("a large region reads the store few times", func(t *testing.T) {
		c := qt.New(t)
		const perRegion = 300
		f := newMirrorFleet(1, 1, perRegion)
		f.put("config", routeValue(20, 1))
		f.Run(time.Second)
		reads := 0
		for _, x := range f.nodes {
			reads += x.reads
		}
		f.assertCopies(c)
		c.Assert(reads <= perRegion/10, qt.IsTrue, qt.Commentf("%d reads", reads))
	})
}

// TestMirrorInABurst guards against nodes that learn of servers a second late because their readers had just read the table, as
// when servers register again after a loss of the store's leases, and against readers that read each change of a burst by itself.
func TestMirrorInABurst(t *testing.T) {
	const batchDelay, interval, burst = time.Second, 50 * time.Millisecond, 10 * time.Second
	newFleet := func() *mirrorFleet {
		f := newBatchedMirrorFleet(1, 1, 3, batchDelay)
		f.put("server 0", []byte("1"))
		return f
	}
	for _, tc := range []struct {
		name   string
		delays []time.Duration // before each server registers
	}{
		{"a server registers 50 ms after the start", []time.Duration{50 * time.Millisecond}},
		{"180 ms after it", []time.Duration{180 * time.Millisecond}},
		{"400 ms after it", []time.Duration{400 * time.Millisecond}},
		{"two servers register soon after each other", []time.Duration{3 * time.Second, interval}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet()
			for i, d := range tc.delays {
				f.Run(f.Now() + d)
				f.put(fmt.Sprintf("server %d", i+1), []byte("1"))
			}
			f.Run(f.Now() + batchDelay/2)
			f.assertCopies(t)
		})
	}
	t.Run("a long burst is read in batches", func(t *testing.T) {
		f := newFleet()
		readers := f.readers()
		for i := range int(burst / interval) {
			f.Run(f.Now() + interval)
			f.put(fmt.Sprintf("server %d", i+1), []byte("1"))
		}
		for _, x := range readers {
			t.Logf("%s: %d reads", x.name, x.reads)
			qt.Check(t, x.reads <= 2*int(burst/batchDelay), qt.IsTrue, qt.Commentf("%s: %d reads", x.name, x.reads))
		}
		f.Run(f.Now() + batchDelay + interval)
		f.assertCopies(t)
	})
}

// TestMirrorFailures guards against nodes that miss a change when the nodes that they hear from are lost.
func TestMirrorFailures(t *testing.T) {
	for _, k := range []struct {
		name string
		fail func(f *mirrorFleet)
	}{
		{"all readers are lost", func(f *mirrorFleet) { f.stopReaders() }},
		{"the readers are cut off from the store", func(f *mirrorFleet) {
			for _, x := range f.readers() {
				x.cutOff = true
			}
		}},
		{"a third of all nodes is lost", func(f *mirrorFleet) {
			for i := 0; i < len(f.nodes); i += 3 {
				f.nodes[i].alive = false
			}
		}},
		{"nine of ten nodes are lost", func(f *mirrorFleet) {
			for i := range f.nodes {
				f.nodes[i].alive = i%10 == 0
			}
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			f := newMirrorFleet(2, 2, 40)
			f.put("config", routeValue(50, 1))
			f.Run(10 * time.Second)
			k.fail(f)
			f.put("config", routeValue(50, 2))
			f.put("gone", nil)
			f.Run(10*time.Second + inForceTarget)
			for _, x := range f.nodes {
				x.alive = x.alive && !x.cutOff
			}
			f.assertCopies(c)
		})
	}
	t.Run("a node that is added gets a copy without reading the store", func(t *testing.T) {
		c := qt.New(t)
		f := newMirrorFleet(3, 1, 40)
		f.put("config", routeValue(50, 1))
		f.Run(5 * time.Second)
		x := f.nodes[17]
		for slices.Contains(f.readers(), x) {
			x = f.nodes[slices.Index(f.nodes, x)+1]
		}
		x.reads = 0
		x.start()
		f.assignSources()
		f.Run(f.Now() + 400*time.Millisecond)
		f.assertCopies(c)
		c.Assert(x.reads, qt.Equals, 0)
	})
	t.Run("the store is away", func(t *testing.T) {
		c := qt.New(t)
		f := newMirrorFleet(4, 2, 20)
		f.put("config", routeValue(50, 1))
		f.Run(5 * time.Second)
		f.storeDown = true
		f.put("config", routeValue(50, 2))
		f.Run(20 * time.Second)
		f.storeDown = false
		f.Run(20*time.Second + inForceTarget)
		f.assertCopies(c)
	})
}

func (f *mirrorFleet) readers() []*mirrorNode {
	var members []peer.Update
	regions := map[string][]peer.Update{}
	for _, x := range f.nodes {
		regions[x.region] = append(regions[x.region], peer.Update{Name: x.name, Zone: x.region})
	}
	var out []*mirrorNode
	for _, members = range regions {
		readers, _ := peer.StoreReaders(members)
		for _, n := range readers {
			out = append(out, f.byName[n])
		}
	}
	return out
}

func (f *mirrorFleet) stopReaders() {
	for _, x := range f.readers() {
		x.alive = false
	}
}

// numbered returns a value that bytes.Compare orders by n.
func numbered(n int) []byte {
	return fmt.Appendf(nil, "%06d", n)
}

// TestMirrorOverRestores guards against copies that miss a change, or go back to a value that its writer has replaced, when the
// store comes back from a copy again and again.
func TestMirrorOverRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newMirrorFleet(int64(rapid.IntRange(1, 1<<30).Draw(t, "seed")), 2, rapid.IntRange(2, 12).Draw(t, "nodes"))
		keys := []string{"a", "b", "c"}
		written := map[string]int{}
		write := func(n int) {
			k := keys[n%len(keys)]
			written[k] = n
			f.put(k, numbered(n))
		}
		for n := range rapid.IntRange(1, 25).Draw(t, "writes") {
			switch rapid.SampledFrom([]string{"", "", "", "restore", "down", "restart"}).Draw(t, "fault") {
			case "restore":
				f.restore(uint64(rapid.IntRange(0, int(f.version)).Draw(t, "version")))
			case "down":
				f.storeDown = !f.storeDown
			case "restart":
				f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")].start()
				f.assignSources()
			}
			before := f.remembered()
			write(n)
			f.Run(f.Now() + time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait_ms"))*time.Millisecond)
			f.assertNotReverted(t, before)
		}
		f.storeDown = false
		for k, n := range written {
			f.put(k, numbered(n))
		}
		f.Run(f.Now() + 2*inForceTarget)
		f.assertCopies(t)
	})
}

// remembered returns the values that each node knows.
func (f *mirrorFleet) remembered() map[string]map[string]platform.Row {
	all := map[string]map[string]platform.Row{}
	for _, x := range f.nodes {
		all[x.name] = maps.Clone(x.rows)
	}
	return all
}

// assertNotReverted checks that no node went back to a value that is older than one that it knew.
func (f *mirrorFleet) assertNotReverted(t fataler, before map[string]map[string]platform.Row) {
	t.Helper()
	for _, x := range f.nodes {
		for k, r := range before[x.name] {
			if o, ok := x.rows[k]; ok && !o.Deleted && bytes.Compare(o.Value, r.Value) < 0 {
				t.Fatalf("%s: %s went back from %s to %s", x.name, k, r.Value, o.Value)
			}
		}
	}
}

// follower drives the mirror of one node that hears of its table from another one.
type follower struct {
	c     *qt.C
	m     *platform.Mirror
	now   time.Duration
	wake  time.Duration
	reads int
}

func newFollower(c *qt.C, substitute bool) *follower {
	m, err := platform.NewMirror(platform.WithTable(platform.TableRules{Name: "t", ConfirmTimeout: 1500 * time.Millisecond}))
	c.Assert(err, qt.IsNil)
	f := &follower{c: c, m: m, now: time.Second}
	f.step(platform.SourcesAssigned{Substitute: substitute, Successors: []string{"n1"}, Nodes: 100})
	if f.reads > 0 {
		f.step(platform.RowsRead{Table: "t", All: true, Version: 5, SentAt: f.now})
		f.reads = 0
	}
	f.hear(platform.TableMessage{Kind: platform.TableSent, All: true, Version: 5, LastChange: 5})
	return f
}

func (f *follower) step(es ...platform.MirrorEvent) {
	var as []platform.MirrorAction
	as, f.wake = f.m.Step(f.now, es)
	for _, a := range as {
		switch a.(type) {
		case platform.ReadChanges, platform.ReadTable:
			f.reads++
		}
	}
}

func (f *follower) hear(t platform.TableMessage) {
	t.Table = "t"
	f.step(platform.MessageReceived{From: "n1", Message: t})
}

// run advances the time by d. The node hears each half second that a change is on its way, if arriving is set.
func (f *follower) run(d time.Duration, arriving bool) {
	for end := f.now + d; f.now < end; {
		f.now += 500 * time.Millisecond
		if arriving {
			f.hear(platform.TableMessage{Kind: platform.TableArriving})
		} else {
			f.step()
		}
	}
}

// TestMirrorWhileAChangeArrives guards against a slow link that each node makes slower by a copy of its own, and against a node
// that waits for others without end.
func TestMirrorWhileAChangeArrives(t *testing.T) {
	t.Run("a node waits while the change is on its way to a reader", func(t *testing.T) {
		f := newFollower(qt.New(t), false)
		f.run(8*time.Second, true)
		f.c.Assert(f.reads, qt.Equals, 0)
	})
	t.Run("but no longer once it no longer arrives", func(t *testing.T) {
		f := newFollower(qt.New(t), false)
		f.run(4*time.Second, true)
		f.run(inForceTarget, false)
		f.c.Assert(f.reads, qt.Equals, 1)
	})
	t.Run("nor if it takes too long", func(t *testing.T) {
		f := newFollower(qt.New(t), false)
		f.run(11*time.Second, true)
		f.c.Assert(f.reads, qt.Equals, 1)
	})
	t.Run("and a substitute does not wait as long", func(t *testing.T) {
		f := newFollower(qt.New(t), true)
		f.run(inForceTarget, true)
		f.c.Assert(f.reads, qt.Equals, 1)
	})
	t.Run("and old confirmations do not postpone the read", func(t *testing.T) {
		f := newFollower(qt.New(t), false)
		for range 30 {
			f.now += 100 * time.Millisecond
			f.hear(platform.TableMessage{Kind: platform.TableAnnounced, Version: 5, LastChange: 5, Age: time.Minute})
		}
		f.c.Assert(f.reads, qt.Equals, 1)
	})
}

// TestMirrorWhileStoreRefuses guards against a fleet that calls a store which refuses all calls again and again from each node, and
// against nodes that learn late that it is back.
func TestMirrorWhileStoreRefuses(t *testing.T) {
	const perRegion, outage = 150, 5 * time.Second
	c := qt.New(t)
	f := newMirrorFleet(1, 2, perRegion)
	f.put("config", routeValue(20, 1))
	f.Run(5 * time.Second)
	for _, x := range f.nodes {
		x.reads = 0
	}
	f.storeRefuses = true
	f.Run(f.Now() + outage)
	calls := 0
	for _, x := range f.nodes {
		calls += x.reads
	}
	// Each node may find out for itself, and once more; the readers and substitutes keep trying.
	c.Logf("%d calls", calls)
	c.Check(calls <= 2*len(f.nodes)+8*20, qt.IsTrue, qt.Commentf("%d calls", calls))
	f.storeRefuses = false
	f.put("config", routeValue(20, 2))
	f.Run(f.Now() + inForceTarget)
	f.assertCopies(c)
}

// TestMirrorWhileHistoryIsLost guards against readers that call the store without a pause, and read whole tables, while it loses
// its history again and again.
func TestMirrorWhileHistoryIsLost(t *testing.T) {
	const lost, maxCallsPerSecond = 15 * time.Second, 5
	c := qt.New(t)
	clock := &tick.VirtualClock{}
	m, err := platform.NewMirror(platform.WithTable(platform.TableRules{
		Name: "t", ReadWait: time.Second, ConfirmTimeout: 1500 * time.Millisecond, BatchDelay: 200 * time.Millisecond,
	}))
	c.Assert(err, qt.IsNil)
	calls, steps := 0, 0
	var lastWhole, longest time.Duration
	var step func(es ...platform.MirrorEvent)
	step = func(es ...platform.MirrorEvent) {
		steps++
		current := steps
		as, wake := m.Step(clock.Now(), es)
		for _, a := range as {
			switch a.(type) {
			case platform.ReadTable:
				calls++
				longest, lastWhole = max(longest, clock.Now()-lastWhole), clock.Now()
				clock.After(storeDelay, func() { step(platform.RowsRead{Table: "t", All: true, Version: 5, SentAt: clock.Now()}) })
			case platform.ReadChanges:
				calls++
				clock.After(storeDelay, func() { step(platform.ReadFailed{Table: "t", HistoryGone: true}) })
			}
		}
		clock.After(max(0, wake-clock.Now()), func() {
			if steps == current {
				step()
			}
		})
	}
	step(platform.SourcesAssigned{Reader: true})
	clock.Run(lost)
	c.Logf("%d calls, at most %v without a read of the table", calls, longest)
	c.Assert(calls <= maxCallsPerSecond*int(lost.Seconds()), qt.IsTrue, qt.Commentf("%d calls", calls))
	c.Assert(longest <= inForceTarget/2, qt.IsTrue, qt.Commentf("%v without a read of the table", longest))
}

package tenant_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/tenant"
)

// fleetLimits are the limits of 76 tenants, three of them large, whose usual rates add up to about 700 operations a second.
func fleetLimits() map[string]tenant.Limit {
	limits := map[string]tenant.Limit{}
	for i := range 3 {
		limits[fmt.Sprintf("large%d", i)] = tenant.Limit{Rate: 262, Burst: 262}
	}
	for i := range 73 {
		r := []float64{1.4, 2.8, 5, 10}[i%4]
		limits[fmt.Sprintf("small%d", i)] = tenant.Limit{Rate: r, Burst: r}
	}
	return limits
}

// usual is the rate of a tenant in ordinary times.
func usual(l tenant.Limit) float64 {
	return l.Rate / 1.6
}

// TestUsualLoad guards against operations within the limits that are refused or delayed, and against many messages, while 67 nodes
// get the usual load of 76 tenants.
func TestUsualLoad(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 67, fleetLimits())
	w.Run(5 * time.Second)
	for _, name := range w.tenants() {
		w.load(name, steady(usual(w.limits[name])))
	}
	before := w.messages
	w.Run(25 * time.Second)
	w.assertBounded()
	refused := 0
	for name, l := range w.limits {
		refused += w.refused[name]
		// The operations of a tenant with a small burst exceed its limit now and then, as they arrive at random.
		c.Check(w.refused[name] == 0 || l.Burst < 5, qt.IsTrue, qt.Commentf("%s %v: %d refused", name, l, w.refused[name]))
	}
	c.Check(2000*refused <= len(w.waits), qt.IsTrue, qt.Commentf("%d refused", refused))
	perNode := float64(w.messages-before) / 20 / 67
	c.Logf("%d operations, %d refused, %.1f messages a second and node, longest wait %v",
		len(w.waits), refused, perNode, w.longestWait())
	c.Check(perNode < 20, qt.IsTrue)
	c.Check(w.longestWait() < 40*ms, qt.IsTrue)
}

// TestHotTenants guards against a tenant that gets more than its limit, or that takes from others, when three tenants send six
// times their usual load for 8 s at 67 nodes.
func TestHotTenants(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 67, fleetLimits())
	w.Run(5 * time.Second)
	hot := map[string]bool{"large0": true, "large1": true, "small3": true}
	for _, name := range w.tenants() {
		l := w.limits[name]
		w.load(name, func(now time.Duration) float64 {
			if hot[name] && now > 8*time.Second && now < 16*time.Second {
				return 6 * usual(l)
			}
			return usual(l)
		})
	}
	w.Run(20 * time.Second)
	w.assertBounded()
	for name := range hot {
		// Without faults, the limit is exceeded by no more than a part of the slack and what is gained during the lifetime of credit.
		excess := w.excess(name, 0, w.limits[name].Rate*lifetime.Seconds()+5)
		c.Check(excess <= 0, qt.IsTrue, qt.Commentf("%s exceeds by %.1f", name, excess))
		c.Check(w.refused[name] > 0, qt.IsTrue)
		c.Logf("%s: %d admitted, %d refused, over its plain limit by %.1f",
			name, len(w.admitted[name]), w.refused[name], w.excess(name, 0, 0))
		w.assertServed(c, name, int(0.9*(8+4/1.6)*w.limits[name].Rate))
	}
	c.Check(w.refused["large2"], qt.Equals, 0)
	c.Logf("%.1f messages a second and node", float64(w.messages)/15/67)
}

// TestOneNode guards against a message for each operation of a hot tenant whose callers are all connected to one node, and against
// credit that does not reach that node in time.
func TestOneNode(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 5, 67, map[string]tenant.Limit{"t": {Rate: 262, Burst: 262}})
	w.Run(5 * time.Second)
	hot := w.nodes[0]
	w.atNode = func() *node { return hot }
	w.load("t", func(now time.Duration) float64 {
		if now > 10*time.Second {
			return 6 * 164
		}
		return 164
	})
	w.Run(10 * time.Second)
	c.Check(w.refused["t"], qt.Equals, 0)
	before := w.messages
	w.Run(20 * time.Second)
	w.assertBounded()
	w.assertServed(c, "t", 164*5+262*10)
	perSecond := float64(w.messages-before) / 10
	c.Logf("%d admitted, %d refused, %.0f messages a second", len(w.admitted["t"]), w.refused["t"], perSecond)
	c.Check(perSecond < 500, qt.IsTrue)
}

// TestSingleFailures guards against a fleet that exceeds the bound, or stops serving, after one failure.
func TestSingleFailures(t *testing.T) {
	limits := map[string]tenant.Limit{"t": {Rate: 100, Burst: 100}}
	for _, k := range []struct {
		name string
		fail func(w *world, home *node)
		// served is the least number of operations that run in 10 s after the failure.
		served int
	}{
		{"the home refuses connections", func(_ *world, home *node) { home.kill() }, 800},
		{"the home is silent", func(w *world, home *node) { w.refuses = false; home.kill() }, 700},
		{"the home restarts", func(w *world, home *node) { home.kill(); w.After(200*ms, home.start) }, 800},
		{"the home is cut off", func(w *world, home *node) {
			w.cut = func(a, b *node) bool { return (a == home) != (b == home) }
		}, 650},
		{"a third is cut off", func(w *world, _ *node) { w.cut = func(a, b *node) bool { return (a.index < 6) != (b.index < 6) } }, 400},
		{"half is cut off", func(w *world, _ *node) { w.cut = func(a, b *node) bool { return (a.index < 9) != (b.index < 9) } }, 600},
		{"half is lost", func(w *world, _ *node) {
			for _, n := range w.nodes[:9] {
				n.kill()
			}
		}, 300},
		{"the home is cut off from a third", func(w *world, home *node) {
			w.cut = func(a, b *node) bool { return a == home && b.index < 6 || b == home && a.index < 6 }
		}, 600},
		{"all messages take 100 ms longer", func(w *world, _ *node) {
			d := w.delay
			w.delay = func(a, b *node) time.Duration { return d(a, b) + 100*ms }
		}, 500},
		{"the limit is lowered", func(w *world, _ *node) { w.change(tenant.Limit{Rate: 10, Burst: 10}, 3*time.Second) }, 80},
		{"the limit is raised", func(w *world, _ *node) { w.change(tenant.Limit{Rate: 300, Burst: 300}, 3*time.Second) }, 1500},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, 3, 18, limits)
			w.load("t", steady(300))
			w.Run(10 * time.Second)
			before := len(w.admitted["t"])
			k.fail(w, w.home())
			w.Run(20 * time.Second)
			w.assertBounded()
			c.Logf("%d operations in 10 s", len(w.admitted["t"])-before)
			w.assertServed(c, "t", before+k.served)
		})
	}
}

// lend returns the credit that a home lends to another node for the given need.
func lend(c *qt.C, home *tenant.Limiter, now time.Duration, seq uint64, k tenant.Ask) int {
	c.Helper()
	as, _ := home.Step(now, []tenant.Event{tenant.Received{From: "b", Message: tenant.Message{
		Kind: tenant.KindAskCredit, Seq: seq, Version: 1, Asks: []tenant.Ask{k},
	}}})
	for _, a := range as {
		if s, ok := a.(tenant.Send); ok && s.Message.Kind == tenant.KindGrantCredit && s.Message.Seq == seq {
			return s.Message.Grants[0].Credit
		}
	}
	c.Fatal("the home has not answered")
	return 0
}

// TestHomeLostAtUsualLoad guards against a new home that refuses a tenant at its usual rate because its bucket begins nearly empty:
// what waits for the new home is admitted.
func TestHomeLostAtUsualLoad(t *testing.T) {
	for _, k := range []struct {
		name    string
		refuses bool
		// refused is how many operations may be refused: those that reach their deadline of 2 s while the home is missed.
		refused int
	}{
		{"the home refuses connections", true, 5},
		{"the home is silent", false, 60},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, 6, 67, map[string]tenant.Limit{"t": {Rate: 262, Burst: 262}})
			w.refuses = k.refuses
			w.Run(5 * time.Second)
			w.load("t", steady(164))
			w.Run(10 * time.Second)
			c.Assert(w.refused["t"], qt.Equals, 0)
			w.home().kill()
			w.Run(20 * time.Second)
			w.assertBounded()
			c.Logf("%d refused, longest wait %v", w.refused["t"], w.longestWait())
			c.Check(w.refused["t"] <= k.refused, qt.IsTrue)
		})
	}
}

// TestLoweredLimit guards against a bucket, credit or a home that keeps a higher limit after the configuration has lowered it.
func TestLoweredLimit(t *testing.T) {
	high, low := tenant.Limit{Rate: 262, Burst: 262}, tenant.Limit{Rate: 10, Burst: 10}
	t.Run("no more runs than the new limit allows", func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 4, 18, map[string]tenant.Limit{"t": high})
		w.load("t", steady(200))
		w.Run(10 * time.Second)
		w.change(low, 0)
		w.Run(10*time.Second + lifetime)
		before := len(w.admitted["t"])
		w.Run(12*time.Second + lifetime)
		c.Assert(len(w.admitted["t"])-before <= 30, qt.IsTrue, qt.Commentf("%d operations", len(w.admitted["t"])-before))
	})
	for _, k := range []struct {
		name string
		// lent is the credit that is out when the limit is lowered, more is how much of the new bucket it leaves.
		lent, more int
	}{
		{"a full bucket is cut", 0, 15},
		{"credit that is out counts", 9, 6},
		{"credit that is out may exceed the new limit", 60, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			home := tenant.New("a")
			limits := func(version uint64, l tenant.Limit) tenant.Event {
				return tenant.LimitsChanged{Version: version, Limits: map[string]tenant.Limit{"t": l}}
			}
			es := []tenant.Event{
				limits(1, high), tenant.MembersChanged{Homes: []string{"a"}, Witnesses: []string{"a"}, Alive: 1, Known: 1, Complete: true},
			}
			for now := time.Duration(0); now < 5*time.Second; now += 100 * ms {
				home.Step(now, es)
				es = nil
			}
			c.Assert(lend(c, home, 5*time.Second, 1, tenant.Ask{Tenant: "t", Need: k.lent}), qt.Equals, k.lent)
			home.Step(5*time.Second, []tenant.Event{limits(2, low)})
			c.Assert(lend(c, home, 5*time.Second, 2, tenant.Ask{Tenant: "t", Need: 99}), qt.Equals, k.more)
		})
	}
}

// TestBound checks the bound over every sliding window while nodes are killed and restarted, the network is divided, messages are
// late and limits change.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1.4, 10, 60, 262}).Draw(t, "rate")
		w := newWorld(t, rapid.Int64Range(0, 1<<30).Draw(t, "seed"), rapid.IntRange(1, 20).Draw(t, "nodes"),
			map[string]tenant.Limit{"t": {Rate: rate, Burst: rate}})
		w.refuses = rapid.Bool().Draw(t, "refuses")
		w.load("t", steady(3*rate+2))
		faults := rapid.IntRange(1, 6).Draw(t, "faults")
		for range faults {
			w.Run(w.Now() + time.Duration(rapid.IntRange(200, 4000).Draw(t, "pause ms"))*ms)
			w.fault(t, rate)
		}
		w.Run(w.Now() + 6*time.Second)
		w.assertBounded()
	})
}

// fault draws one fault or one recovery.
func (w *world) fault(t *rapid.T, rate float64) {
	pick := func() *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
	faults := []string{"kill", "kill home", "restart", "divide", "cut home", "heal", "late", "limit"}
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case "kill":
		pick().kill()
	case "kill home":
		if n := w.home(); n != nil {
			n.kill()
		}
	case "restart":
		n := pick()
		n.kill()
		w.After(time.Duration(rapid.IntRange(0, 1500).Draw(t, "down ms"))*ms, func() {
			if !n.alive {
				n.start()
			}
		})
	case "divide":
		at := rapid.IntRange(0, len(w.nodes)).Draw(t, "size")
		w.cut = func(a, b *node) bool { return (a.index < at) != (b.index < at) }
	case "cut home":
		home, k := w.home(), rapid.IntRange(1, 4).Draw(t, "every")
		w.cut = func(a, b *node) bool { return a == home && b.index%k == 0 || b == home && a.index%k == 0 }
	case "heal":
		w.cut = func(_, _ *node) bool { return false }
	case "late":
		d := time.Duration(rapid.IntRange(1, 1500).Draw(t, "delay ms")) * ms
		w.delay = func(_, _ *node) time.Duration { return time.Duration(w.random.Int63n(int64(d))) }
	case "limit":
		l := tenant.Limit{Rate: rate * rapid.SampledFrom([]float64{0.05, 0.5, 1, 2}).Draw(t, "factor")}
		l.Burst = l.Rate
		w.change(l, time.Duration(rapid.IntRange(0, 4000).Draw(t, "known after ms"))*ms)
	}
}

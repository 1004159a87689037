package control_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runs returns the number of seeds that a randomised test tries. BUCKTHORNPORT_RUNS overrides it.
func runs(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("BUCKTHORNPORT_RUNS")); err == nil {
		return n
	}
	return defaultCount
}

// firstSeed returns the seed to begin with. BUCKTHORNPORT_SEED overrides it, to repeat a single failing seed.
func firstSeed() int64 {
	if n, err := strconv.ParseInt(os.Getenv("BUCKTHORNPORT_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// heal ends all faults and starts dead processes again.
func (w *world) heal() {
	w.blockedZones = map[[2]string]bool{}
	w.blockedServers = map[[2]string]bool{}
	w.lossRate = 0
	w.repeatRate = 0
	for _, s := range w.servers {
		s.pausedUntil = 0
		s.restart()
		for _, c := range s.conns {
			c.blackholed = false
		}
	}
	for _, n := range w.nodes {
		n.pausedUntil = 0
		if !n.alive {
			n.start()
		}
	}
}

// recoverAndStop ends all faults, lets the group recover, stops the callers, and waits for their last requests.
func (w *world) recoverAndStop() {
	w.heal()
	w.Run(w.Now() + recoveryTime)
	for _, c := range w.callers {
		c.stopped = true
	}
	w.Run(w.Now() + 30*time.Second)
}

func assertNoViolations(c *qt.C, w *world) {
	c.Helper()
	for i, b := range w.violations {
		if i == 3 {
			c.Errorf("seed %d: %d more violations", w.seed, len(w.violations)-i)
			break
		}
		c.Errorf("seed %d: %s", w.seed, b)
	}
}

// assertHistory compares the answers that callers received with the log of the group's primary.
func assertHistory(c *qt.C, w *world) {
	c.Helper()
	for _, p := range w.inconsistencies() {
		c.Errorf("seed %d: %s", w.seed, p)
	}
}

func (w *world) inconsistencies() []string {
	var fs []string
	n := map[string]int{}
	for _, e := range w.leader().core.Log() {
		n[e.Payload]++
	}
	for p := range w.history.acked {
		if n[p] != 1 {
			fs = append(fs, fmt.Sprintf("acknowledged write %s is in the log %d times", p, n[p]))
		}
	}
	for p := range w.history.notRun {
		if n[p] != 0 {
			fs = append(fs, fmt.Sprintf("write %s was reported as not run and is in the log", p))
		}
	}
	for p, k := range n {
		if strings.HasPrefix(p, "key:") && k > 1 {
			fs = append(fs, fmt.Sprintf("write %s was committed %d times", p, k))
		}
	}
	return fs
}

// assertConverged checks that all servers follow one primary and hold one log.
func assertConverged(c *qt.C, w *world) {
	c.Helper()
	l := w.leader()
	for _, s := range w.servers {
		c.Check(s.core.Term(), qt.Equals, l.core.Term(), qt.Commentf("seed %d server %s", w.seed, s.name))
		c.Check(s.core.Position(), qt.Equals, l.core.Position(), qt.Commentf("seed %d server %s", w.seed, s.name))
	}
	for _, n := range w.nodes {
		r, _ := n.lane.InFlight()
		c.Check(r, qt.Equals, 0, qt.Commentf("seed %d node %s", w.seed, n.name))
	}
}

// fault is a kind of temporary fault.
type fault struct {
	name   string
	inject func(w *world)
}

func (w *world) randomServer() *fakeServer {
	if w.rng.Intn(3) > 0 {
		return w.leader()
	}
	return w.servers[w.rng.Intn(len(w.servers))]
}

func (w *world) randomZones() (string, string) {
	a := w.rng.Intn(3)
	return w.servers[a].zone, w.servers[(a+1+w.rng.Intn(2))%3].zone
}

// setBlocked blocks or unblocks messages from zone a to zone b.
func (w *world) setBlocked(a, b string, blocked bool) {
	w.blockedZones[[2]string{a, b}] = blocked
}

func (w *world) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int63n(int64(hi-lo)))
}

var faults = []fault{
	{"kill_server", func(w *world) {
		s := w.randomServer()
		s.kill()
		w.After(w.randomDuration(200*ms, 6*time.Second), s.restart)
	}},
	{"pause_server", func(w *world) {
		s := w.randomServer()
		s.pausedUntil = w.Now() + w.randomDuration(50*ms, 3*time.Second)
	}},
	{"pause_node", func(w *world) {
		n := w.nodes[w.rng.Intn(len(w.nodes))]
		n.pausedUntil = w.Now() + w.randomDuration(50*ms, 4*time.Second)
	}},
	{"kill_node", func(w *world) {
		n := w.nodes[w.rng.Intn(len(w.nodes))]
		if !n.alive {
			return
		}
		n.kill()
		w.After(w.randomDuration(100*ms, 4*time.Second), func() {
			if !n.alive {
				n.start()
			}
		})
	}},
	{"cut_zones", func(w *world) {
		a, b := w.randomZones()
		w.setBlocked(a, b, true)
		w.setBlocked(b, a, true)
		w.After(w.randomDuration(200*ms, 5*time.Second), func() { w.setBlocked(a, b, false); w.setBlocked(b, a, false) })
	}},
	{"cut_one_way", func(w *world) {
		a, b := w.randomZones()
		w.setBlocked(a, b, true)
		w.After(w.randomDuration(200*ms, 5*time.Second), func() { w.setBlocked(a, b, false) })
	}},
	{"isolate_zone", func(w *world) {
		z := w.leader().zone
		for _, s := range w.servers {
			if s.zone != z {
				w.setBlocked(z, s.zone, true)
				w.setBlocked(s.zone, z, true)
			}
		}
		w.After(w.randomDuration(500*ms, 6*time.Second), func() {
			for _, s := range w.servers {
				w.setBlocked(z, s.zone, false)
				w.setBlocked(s.zone, z, false)
			}
		})
	}},
	{"cut_links", func(w *world) {
		l := w.leader()
		oneWay := w.rng.Intn(2) == 0
		for _, s := range w.servers {
			w.blockedServers[[2]string{s.name, l.name}] = true
			w.blockedServers[[2]string{l.name, s.name}] = !oneWay
		}
		w.After(w.randomDuration(500*ms, 6*time.Second), func() { w.blockedServers = map[[2]string]bool{} })
	}},
	{"lossy", func(w *world) {
		w.lossRate = 0.03
		w.After(w.randomDuration(200*ms, 2*time.Second), func() { w.lossRate = 0 })
	}},
	{"lag", func(w *world) {
		w.lag = w.randomDuration(20*ms, 3*time.Second)
		w.After(w.randomDuration(500*ms, 3*time.Second), func() { w.lag = 20 * ms })
	}},
	{"repeated_answers", func(w *world) {
		w.repeatRate = 0.2
		w.After(w.randomDuration(500*ms, 3*time.Second), func() { w.repeatRate = 0 })
	}},
	{"stuck_connections", func(w *world) {
		for _, n := range w.nodes {
			for _, k := range slices.Sorted(maps.Keys(n.conns)) {
				if w.rng.Intn(3) == 0 {
					n.conns[k].stalledUntil = w.Now() + w.randomDuration(500*ms, 8*time.Second)
				}
			}
		}
	}},
	{"silent_connections", func(w *world) {
		for _, n := range w.nodes {
			for _, k := range slices.Sorted(maps.Keys(n.conns)) {
				if w.rng.Intn(3) == 0 {
					n.conns[k].blackholed = true
				}
			}
		}
	}},
}

// injectFaults starts faults at random times, often several at once.
func (w *world) injectFaults() {
	end := w.Now() + faultPeriod
	for w.Now() < end {
		w.Run(w.Now() + w.randomDuration(100*ms, 2500*ms))
		for range 1 + w.rng.Intn(3) {
			faults[w.rng.Intn(len(faults))].inject(w)
		}
	}
}

// assertConsistent runs one seed with random faults and compares the answers that callers received with the logs.
func assertConsistent(c *qt.C, seed int64) *world {
	c.Helper()
	w := newWorld(seed, worldOptions{nodes: 3, callers: 8, deadlineMS: 2000})
	w.Run(2 * time.Second)
	w.injectFaults()
	w.recoverAndStop()
	assertNoViolations(c, w)
	assertHistory(c, w)
	assertConverged(c, w)
	return w
}

func TestConsistencyUnderFaults(t *testing.T) {
	steps, acked, unknown, promoted, reads := 0, 0, 0, 0, 0
	for i := range runs(25) {
		seed := firstSeed() + int64(i)
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			c := qt.New(t)
			w := assertConsistent(c, seed)
			steps += w.steps
			acked += len(w.history.acked)
			unknown += w.history.unknown
			promoted += len(w.history.promotions)
			reads += w.history.reads
		})
	}
	t.Logf("steps %d acknowledged %d reads %d unknown %d promotions %d", steps, acked, reads, unknown, promoted)
}

// TestKnownSeeds repeats seeds in which longer runs found faults that the first 25 seeds do not show.
func TestKnownSeeds(t *testing.T) {
	for _, seed := range []int64{117} {
		assertConsistent(qt.New(t), seed)
	}
}

// TestCutLinks blocks replication between the primary and the other servers while every proxy still reaches it. Another server must
// be promoted and stay primary.
func TestCutLinks(t *testing.T) {
	c := qt.New(t)
	w := newWorld(firstSeed(), worldOptions{nodes: 3, callers: 8})
	w.Run(2 * time.Second)
	old := w.leader()
	for _, s := range w.servers {
		w.blockedServers[[2]string{s.name, old.name}] = true
		w.blockedServers[[2]string{old.name, s.name}] = true
	}
	w.Run(8 * time.Second)
	c.Assert(w.leader().name, qt.Not(qt.Equals), old.name)
	c.Assert(w.leader().core.Term() <= 4, qt.IsTrue, qt.Commentf("term %d", w.leader().core.Term()))
	before := len(w.history.acked)
	w.Run(10 * time.Second)
	c.Assert(len(w.history.acked) > before, qt.IsTrue, qt.Commentf("no write is acknowledged after the failover"))
	w.recoverAndStop()
	assertNoViolations(c, w)
	assertHistory(c, w)
	assertConverged(c, w)
}

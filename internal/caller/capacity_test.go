package caller_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
)

func sameZone(string) int { return 0 }

// before is the policy before learned limits: fixed shares, and routes by mean answer time and running requests.
func before() caller.Policy { return caller.Quickest(sameZone) }

// adaptive is the policy with learned limits.
func adaptive() caller.Policy { return caller.Adaptive(sameZone) }

// withRule is the adaptive policy with another rule for the limit, as an alternative to compare.
func withRule(name string, answered func(c caller.Capacity, a caller.WorkAnswer) caller.Capacity) caller.Policy {
	p := adaptive()
	p.Name, p.Capacity.Answered = name, answered
	return p
}

// gradient follows the ratio of the baseline to the present time, and leaves a queue of the root of the limit.
func gradient() caller.Policy {
	return withRule("gradient", func(c caller.Capacity, _ caller.WorkAnswer) caller.Capacity {
		g := min(1, max(0.5, 1.5/c.Slowdown))
		return c.WithLimit(c.Limit + 0.2*(c.Limit*g+math.Sqrt(c.Limit)-c.Limit))
	})
}

// additive raises the limit by one for as many quick answers, and cuts it by a tenth for each slow one.
func additive() caller.Policy {
	return withRule("aimd", func(c caller.Capacity, a caller.WorkAnswer) caller.Capacity {
		switch {
		case a.Slowdown > 4:
			return c.WithLimit(c.Limit * 0.9)
		case float64(a.InFlight) >= c.Limit-1:
			return c.WithLimit(c.Limit + 1/c.Limit)
		}
		return c
	})
}

// twoChoices routes to the better of two servers by load and latency, with fixed shares.
func twoChoices() caller.Policy {
	p := before()
	p.Name = "two choices"
	p.Route = func(q caller.RouteQuery) []caller.Server {
		ss := slices.Clone(q.Servers)
		if len(ss) < 2 {
			return ss
		}
		i := q.Rotation % len(ss)
		ss[0], ss[i] = ss[i], ss[0]
		cost := func(s caller.Server) time.Duration { return (s.MeanAnswerTime + 1) * time.Duration(1+s.Running) }
		slices.SortStableFunc(ss[:2], func(a, b caller.Server) int { return cmp.Compare(cost(a), cost(b)) })
		return ss
	}
	return p
}

// simPattern is a pattern of load and faults, with the bound that it must be served within.
type simPattern struct {
	name  string
	setUp func(f *capacitySim)
	// missed is the part of the requests that may be refused or late, and p95 the bound of the 95th percentile of answer times.
	missed float64
	p95    time.Duration
}

func (x simPattern) holds(r simResult) bool {
	return float64(r.offered-r.inTime) <= x.missed*float64(r.offered) && r.p95 <= x.p95
}

func (x simPattern) play(c *qt.C, p caller.Policy, lanes int) simResult {
	f := newCapacitySim(c, p, lanes, simSlots*3)
	x.setUp(f)
	r := f.finish()
	c.Logf("%s, %s: %d offered, %d missed, %d refused, p95 %v, lanes %v, sent %v, opened %d", x.name, p.Name, r.offered,
		r.offered-r.inTime, r.refused, r.p95.Round(time.Millisecond), r.perLane, r.sent, r.opened)
	return r
}

// between slows a server down by a factor for some time.
func between(from, until time.Duration, factor float64) func(time.Duration, int, int) float64 {
	return func(now time.Duration, _, _ int) float64 {
		if now >= from && now < until {
			return factor
		}
		return 1
	}
}

// patterns give two thirds of the load to one of six dispatchers.
var patterns = []simPattern{
	{"servers differ by 2 and 8 times in speed", func(f *capacitySim) {
		f.servers["r0"].slowdown = between(0, simEnd, 8)
		f.servers["p"].slowdown = between(0, simEnd, 2)
		f.offerUneven(simRead, simRate*1.1, 0, simEnd)
	}, 0.015, 200 * time.Millisecond},
	{"a server is 8 times slower for 6 s", func(f *capacitySim) {
		f.servers["r0"].slowdown = between(2*time.Second, 8*time.Second, 8)
		f.offerUneven(simRead, simRate*1.4, 0, simEnd)
		f.offerUneven(simWrite, simRate*0.3, 0, simEnd)
	}, 0.015, 180 * time.Millisecond},
	{"a server slows long before it is full", func(f *capacitySim) {
		f.servers["r0"].slowdown = func(_ time.Duration, n, _ int) float64 { return math.Pow(float64(n), 1.3) }
		f.offerUneven(simRead, simRate*1.6, 0, simEnd)
	}, 0.01, 160 * time.Millisecond},
	{"a server is slow for two lanes only", func(f *capacitySim) {
		f.servers["r0"].slowdown = func(_ time.Duration, _, lane int) float64 { return []float64{8, 8, 1, 1, 1, 1}[lane] }
		f.offerUneven(simRead, simRate*1.4, 0, simEnd)
	}, 0.01, 125 * time.Millisecond},
	{"a server with a good probe fails 40%", func(f *capacitySim) {
		f.servers["r0"].failing = 0.4
		f.offerUneven(simRead, simRate*1.2, 0, simEnd)
	}, 0.03, 150 * time.Millisecond},
	{"a server declines everything every other half second", func(f *capacitySim) {
		f.servers["r0"].declines = func(now time.Duration) bool { return now%time.Second < 500*time.Millisecond }
		f.offerUneven(simRead, simRate*1.6, 0, simEnd)
	}, 0.003, 150 * time.Millisecond},
	{"a server is 8 times slower every other second", func(f *capacitySim) {
		f.servers["r0"].slowdown = func(now time.Duration, _, _ int) float64 { return 1 + 7*float64(now/time.Second%2) }
		f.offerUneven(simRead, simRate*1.4, 0, simEnd)
	}, 0.015, 130 * time.Millisecond},
	{"a crest of 2.4 times of one class beside 1.7 times of another", func(f *capacitySim) {
		f.offerUneven(simRead, simRate*0.4, 0, simEnd)
		f.offerUneven(simRead, simRate*0.4*1.4, 4*time.Second, 8*time.Second)
		f.offerUneven(simTally, simRate*0.7, 0, simEnd)
		f.offerUneven(simTally, simRate*0.7*0.7, 4*time.Second, 8*time.Second)
	}, 0.01, 110 * time.Millisecond},
	{"one lane alone writes", func(f *capacitySim) {
		f.lanes[0].offer(simWrite, simRate*0.8, 0, simEnd)
	}, 0.02, 200 * time.Millisecond},
}

// TestLoadPatterns guards against requests that are refused or late at a busy dispatcher while servers have room, and against
// work for a server that is slow or fails. None of the alternatives answers clearly more requests in time.
func TestLoadPatterns(t *testing.T) {
	missed := map[string]int{}
	for _, x := range patterns {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			ours := x.play(c, adaptive(), 6)
			missed["adaptive"] += ours.offered - ours.inTime
			c.Check(x.holds(ours), qt.IsTrue)
			c.Check(x.holds(x.play(c, before(), 6)), qt.IsFalse)
			for _, p := range []caller.Policy{gradient(), additive(), twoChoices()} {
				r := x.play(c, p, 6)
				missed[p.Name] += r.offered - r.inTime
				c.Check(ours.inTime*100 >= r.inTime*99, qt.IsTrue, qt.Commentf(p.Name))
			}
		})
	}
	t.Logf("missed on all patterns: %v", missed)
}

// TestTenfoldLoad guards against goodput that is lost, or taken from other lanes, while lanes that share servers and exchange no
// messages have ten times the work that these can do.
func TestTenfoldLoad(t *testing.T) {
	x := simPattern{name: "tenfold load", setUp: func(f *capacitySim) {
		f.offerAll(simRead, simRate*1.2, 0, 4*time.Second)
		f.offerAll(simRead, 30*simRate, 4*time.Second, 5500*time.Millisecond)
		for _, l := range f.lanes {
			l.countFrom = 4 * time.Second
		}
	}}
	others := map[int][]caller.Policy{2: {before()}, 6: {before(), gradient(), additive(), twoChoices()}}
	for lanes, ps := range others {
		c := qt.New(t)
		ours, best := x.play(c, adaptive(), lanes), 0
		for _, p := range ps {
			best = max(best, x.play(c, p, lanes).inTime)
		}
		fifo := x.play(c, caller.FIFO(), lanes)
		c.Check(ours.inTime*100 >= best*95, qt.IsTrue)
		c.Check(fifo.inTime*100 >= best*95, qt.IsFalse)
		c.Check(slices.Min(ours.perLane)*10 >= slices.Max(ours.perLane)*6, qt.IsTrue)
	}
}

// TestLimitRecords guards against an audit record for each of the many changes of a limit: a server that flaps each second for 10
// s gives at most two records a lane and server, and the others as well.
func TestLimitRecords(t *testing.T) {
	c := qt.New(t)
	r := patterns[5].play(c, adaptive(), 6)
	c.Check(r.audits > 0 && r.audits <= 2*3*6, qt.IsTrue, qt.Commentf("%d audit records", r.audits))
}

// TestRecovery guards against a server that stays without reads after it has recovered: it has its part of them again within 2 s.
func TestRecovery(t *testing.T) {
	x := simPattern{name: "a server recovers after 6 s", setUp: func(f *capacitySim) {
		f.servers["r0"].slowdown = between(time.Second, 7*time.Second, 8)
		f.offerAll(simRead, simRate*1.2, 0, simEnd)
		for _, l := range f.lanes {
			l.countFrom = 9 * time.Second
		}
	}}
	recovered := func(r simResult) bool { return r.sent["r0"]*100 >= 35*(r.sent["r0"]+r.sent["r1"]) }
	c := qt.New(t)
	c.Check(recovered(x.play(c, adaptive(), 6)), qt.IsTrue)
	c.Check(recovered(x.play(c, before(), 6)), qt.IsFalse)
}

// TestFixedShares guards the decisions of lanes elsewhere: without a limit to learn, the policy decides as the one before.
func TestFixedShares(t *testing.T) {
	c := qt.New(t)
	play := func(p caller.Policy) string {
		f := newCapacitySim(c, p, 2, 0)
		patterns[1].setUp(f)
		return fmt.Sprint(f.finish())
	}
	c.Check(play(adaptive()), qt.Equals, play(before()))
}

// TestSlowOrFull guards against a slow server whose limit falls, which less load does not help, and against a full one whose limit
// stays.
func TestSlowOrFull(t *testing.T) {
	limitAfter := func(slowdown func(limit float64) float64, answers int) float64 {
		c, rule := caller.Capacity{}.WithBounds(4, 12), caller.LearnedCapacity()
		for i := range answers {
			now := time.Duration(i+1) * 10 * time.Millisecond
			s := slowdown(c.Limit)
			c = rule.Answered(c.WithSlowdown(s, time.Millisecond),
				caller.WorkAnswer{Now: now, SentAt: now, InFlight: c.Allowed(), Slowdown: s})
		}
		return c.Limit
	}
	c := qt.New(t)
	c.Check(limitAfter(func(float64) float64 { return 1 }, 100) > 11, qt.IsTrue)
	c.Check(limitAfter(func(limit float64) float64 { return 3 * limit }, 100) <= 2, qt.IsTrue)
	c.Check(limitAfter(func(float64) float64 { return 8 }, 100) >= 4, qt.IsTrue)
}

// newLearningLane returns a lane that may learn limits up to 12 at the primary, and up to the given one at replicas.
func newLearningLane(t *testing.T, replicaSlots int) *appointedLane {
	l := newAppointedLaneWith(qt.New(t), adaptive())
	l.step(caller.LimitsUpdated{Server: "p", Slots: 4, Conns: 8, MaxSlots: 12})
	for _, n := range []string{"r0", "r1"} {
		l.step(caller.LimitsUpdated{Server: n, Slots: 1, Conns: 8, MaxSlots: replicaSlots})
	}
	l.connectReplica()
	return l
}

// TestDeclines guards against a declined request that waits while another server has room, or until its deadline while none has.
func TestDeclines(t *testing.T) {
	t.Run("by all servers", func(t *testing.T) {
		l := newLearningLane(t, 12)
		as := l.request(2, agedRead)
		servers := map[string]bool{}
		for range 3 {
			s := only[caller.Send](l.c, as)
			servers[l.conns[s.Conn]] = true
			as = l.decline(s, caller.DeclineBusy)
		}
		l.c.Check(servers, qt.HasLen, 3)
		assertRefusedAs(l, as, caller.ReasonOverload)
		l.c.Check(only[caller.Refuse](l.c, as).Refusal.Retry > 0, qt.IsTrue)
		assertRefusedAs(l, l.request(3, agedRead), caller.ReasonOverload)
		l.wait(30 * time.Millisecond)
		only[caller.Send](l.c, l.request(4, agedRead))
	})
	t.Run("by one replica while the other is full", func(t *testing.T) {
		l := newLearningLane(t, 1)
		l.request(2, agedRead)
		s := only[caller.Send](l.c, l.decline(only[caller.Send](l.c, l.request(3, agedRead)), caller.DeclineBusy))
		l.c.Check(l.conns[s.Conn], qt.Equals, "p")
	})
}

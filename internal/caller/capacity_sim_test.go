package caller_test

import (
	"math/rand"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	simSlots       = 4
	simServiceTime = 20 * time.Millisecond
	// simOpenTime is how long a new connection occupies a slot.
	simOpenTime = 12 * time.Millisecond
	// simRate is how many requests a second one server can serve.
	simRate = simSlots / (float64(simServiceTime) / float64(time.Second))
	// simQueueLimit is the number of requests at a server above which it declines more. It is above simSlots times 3.
	simQueueLimit = 4 * simSlots
	simObjective  = 400 * time.Millisecond
	simEnd        = 10 * time.Second
	simWarmUp     = time.Second
)

var (
	simRead  = caller.Statement{Kind: caller.KindRead, Class: simClass("board", 1500)}
	simTally = caller.Statement{Kind: caller.KindRead, Class: simClass("tally", 1500)}
	simWrite = caller.Statement{Kind: caller.KindWrite, Class: simClass("ticket", 0)}
)

func simClass(name string, maxAgeMS uint64) bundle.Class {
	return bundle.Class{Name: name, DeadlineMS: 2500, ObjectiveMS: uint64(simObjective.Milliseconds()), MaxAgeMS: maxAgeMS}
}

// simServer is a server that runs requests in its slots, in order of arrival, for exponentially distributed times.
type simServer struct {
	running int
	queue   []func()
	// slowdown multiplies the service time, by the time, the number of running requests and the lane.
	slowdown func(now time.Duration, running, lane int) float64
	// failing is the part of the requests that are answered with an error, declines whether all are declined.
	failing  float64
	declines func(now time.Duration) bool
}

// run occupies a slot for some time as soon as there is one, and calls done a millisecond later.
func (s *simServer) run(f *capacitySim, work func(running int) time.Duration, done func()) {
	start := func() {
		s.running++
		f.After(work(s.running), func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			f.After(time.Millisecond, done)
		})
	}
	if s.running < simSlots {
		start()
		return
	}
	s.queue = append(s.queue, start)
}

// capacitySim is a group of three servers and the lanes that share it, on a virtual clock.
type capacitySim struct {
	*tick.VirtualClock
	c       *qt.C
	random  *rand.Rand
	servers map[string]*simServer
	lanes   []*simLane
	// maxSlots is the limit that the lanes may learn at most, 0 for fixed shares.
	maxSlots int
}

// simLane is one lane with its callers. The counters cover requests that arrived between countFrom and countUntil.
type simLane struct {
	sim        *capacitySim
	index      int
	lane       *caller.Lane
	steps      int
	sessions   int
	arrived    map[caller.SessionID]time.Duration
	failed     map[caller.SessionID]bool
	conns      map[caller.ConnID]string
	countFrom  time.Duration
	countUntil time.Duration
	inTime     int
	refused    int
	offered    int
	took       []time.Duration
	sent       map[string]int
	audits     int
	opened     int
}

func newCapacitySim(c *qt.C, p caller.Policy, lanes, maxSlots int) *capacitySim {
	f := &capacitySim{
		VirtualClock: &tick.VirtualClock{}, c: c, random: rand.New(rand.NewSource(1)), servers: map[string]*simServer{},
		maxSlots: maxSlots,
	}
	for _, n := range []string{"p", "r0", "r1"} {
		f.servers[n] = &simServer{
			slowdown: func(time.Duration, int, int) float64 { return 1 }, declines: func(time.Duration) bool { return false },
		}
	}
	for i := range lanes {
		d, err := caller.NewLane("g", "z0", caller.WithGroupKind(caller.Appointed(func(string) int { return 0 })), caller.WithPolicy(p),
			caller.WithViolationHandler(func(invariant, detail string) { c.Errorf("%s: %s", invariant, detail) }))
		c.Assert(err, qt.IsNil)
		l := &simLane{
			sim: f, index: i, lane: d, arrived: map[caller.SessionID]time.Duration{}, failed: map[caller.SessionID]bool{},
			conns: map[caller.ConnID]string{}, sent: map[string]int{}, countFrom: simWarmUp, countUntil: simEnd,
		}
		f.lanes = append(f.lanes, l)
		f.After(time.Millisecond, func() {
			for _, n := range []string{"p", "r0", "r1"} {
				l.step(caller.LimitsUpdated{Server: n, Slots: max(2, simSlots*3/lanes), Conns: 20, MaxSlots: f.maxSlots})
			}
			l.updateView()
		})
	}
	f.Run(time.Millisecond)
	return f
}

func (l *simLane) updateView() {
	now := l.sim.Now()
	v := upstream.GroupView{Name: "g", Term: 1, Primary: "p", EvidenceTTL: evidenceTTL, LeaderConfirmedAt: now}
	v.LatestSample = upstream.Sample{At: now, Position: session.Position{Term: 1, Offset: 1}}
	for _, n := range []string{"p", "r0", "r1"} {
		v.Servers = append(v.Servers, upstream.ServerView{Name: n, Alive: true, Term: 1, Applied: session.Position{Term: 1, Offset: 1}})
	}
	l.step(caller.ViewUpdated{View: v})
	l.sim.After(100*time.Millisecond, l.updateView)
}

func (l *simLane) step(es ...caller.Event) {
	l.steps++
	current := l.steps
	as, wake := l.lane.Step(l.sim.Now(), es)
	for _, a := range as {
		l.perform(a)
	}
	if wake < time.Hour {
		l.sim.After(max(0, wake-l.sim.Now()), func() {
			if l.steps == current {
				l.step()
			}
		})
	}
}

func (l *simLane) perform(a caller.Action) {
	switch a := a.(type) {
	case caller.Open:
		l.conns[a.Conn] = a.Server
		l.opened++
		l.sim.servers[a.Server].run(l.sim, func(int) time.Duration { return simOpenTime }, func() {
			l.step(caller.ConnOpened{Conn: a.Conn})
		})
	case caller.Send:
		l.send(a)
	case caller.ConfirmLeadership:
		l.sim.After(2*time.Millisecond, func() {
			l.step(caller.LeadershipConfirmed{Confirmation: a.Confirmation, Term: 1, End: session.Position{Term: 1, Offset: 1}})
		})
	case caller.Release:
		if took := l.sim.Now() - l.arrived[a.Session]; l.counts(a.Session) && !l.failed[a.Session] {
			l.took = append(l.took, took)
			if took <= simObjective {
				l.inTime++
			}
		}
	case caller.Refuse:
		if l.counts(a.Session) {
			l.refused++
		}
	case caller.WriteAuditRecord:
		if a.Record.Cause == caller.CauseLimitHalved || a.Record.Cause == caller.CauseLimitRecovered {
			l.audits++
		}
	}
}

func (l *simLane) counts(id caller.SessionID) bool {
	return l.arrived[id] >= l.countFrom && l.arrived[id] < l.countUntil
}

// send hands a request to its server, which answers or declines it.
func (l *simLane) send(a caller.Send) {
	f, name := l.sim, l.conns[a.Conn]
	s := f.servers[name]
	if f.Now() >= l.countFrom {
		l.sent[name]++
	}
	if s.declines(f.Now()) || s.running+len(s.queue) >= simQueueLimit {
		f.After(time.Millisecond, func() { l.step(caller.Declined{Conn: a.Conn, Request: a.Request}) })
		return
	}
	failed := f.random.Float64() < s.failing
	s.run(f, func(running int) time.Duration {
		return time.Duration(f.random.ExpFloat64() * float64(simServiceTime) * s.slowdown(f.Now(), running, l.index))
	}, func() {
		l.failed[a.Session] = failed
		l.step(caller.Replied{Conn: a.Conn, Request: a.Request, Position: session.Position{Term: 1, Offset: 1}, Failed: failed})
	})
}

// offer has callers arrive at random at a lane from one time until another.
func (l *simLane) offer(st caller.Statement, perSecond float64, from, until time.Duration) {
	for at := from; ; {
		at += time.Duration(l.sim.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		l.sim.After(at-l.sim.Now(), func() {
			l.sessions++
			id := caller.SessionID(l.sessions)
			l.arrived[id] = l.sim.Now()
			if l.counts(id) {
				l.offered++
			}
			l.step(caller.SessionOpened{Session: id, HasFloor: true}, caller.RequestReceived{Session: id, Seq: 1, Statement: st})
		})
	}
}

// offerAll splits the arrivals of a kind of request among all lanes.
func (f *capacitySim) offerAll(st caller.Statement, perSecond float64, from, until time.Duration) {
	for _, l := range f.lanes {
		l.offer(st, perSecond/float64(len(f.lanes)), from, until)
	}
}

// offerUneven gives two thirds of the arrivals to the first lane.
func (f *capacitySim) offerUneven(st caller.Statement, perSecond float64, from, until time.Duration) {
	f.lanes[0].offer(st, perSecond*2/3, from, until)
	for _, l := range f.lanes[1:] {
		l.offer(st, perSecond/3/float64(len(f.lanes)-1), from, until)
	}
}

// simResult sums up the counters of all lanes.
type simResult struct {
	offered, inTime, refused int
	// p95 is the answer time that 95% of the answers did not exceed.
	p95 time.Duration
	// perLane holds the number of requests answered in time at each lane.
	perLane []int
	sent    map[string]int
	audits  int
	opened  int
}

func (f *capacitySim) finish() simResult {
	f.Run(simEnd + 3*time.Second)
	r := simResult{sent: map[string]int{}}
	var took []time.Duration
	for _, l := range f.lanes {
		r.inTime += l.inTime
		r.offered += l.offered
		r.refused += l.refused
		r.audits += l.audits
		r.opened += l.opened
		r.perLane = append(r.perLane, l.inTime)
		took = append(took, l.took...)
		for n, k := range l.sent {
			r.sent[n] += k
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		r.p95 = took[len(took)*95/100]
	}
	return r
}

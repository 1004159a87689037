package caller_test

import (
	"cmp"
	"math/rand"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// loadLane plays callers with seeded arrivals and service times against a lane and three servers, on a virtual clock.
type loadLane struct {
	*tick.VirtualClock
	c        *qt.C
	lane     *caller.Lane
	random   *rand.Rand
	steps    int
	sessions int
	callers  map[caller.SessionID]*loadCaller
	servers  map[string]*loadServer
	conns    map[caller.ConnID]string
	opens    map[string]int
	tenants  map[string]*tenantResult
	// countFrom is the time before which arrivals are not counted.
	countFrom time.Duration
	// waiting counts the single statements that were not sent yet, and longestGap is the longest time in which none was sent while
	// some waited, since gapSince.
	waiting    int
	gapSince   time.Duration
	longestGap time.Duration
	// maxTransactions is the largest number of transactions that were open at one server.
	maxTransactions int
}

// loadCaller is a caller that sends one statement, or begins a transaction, writes, rests and commits.
type loadCaller struct {
	tenant  string
	arrived time.Duration
	class   bundle.Class
	// kinds are the statements still to be sent. rest is the pause before the last one.
	kinds []caller.Kind
	rest  time.Duration
	seq   uint64
	open  bool
	sent  bool
}

// loadServer runs statements, and opens connections, in its slots in order of arrival.
type loadServer struct {
	freeAt []time.Duration
}

// tenantResult counts the requests of a tenant, and those that were served within their class's objective.
type tenantResult struct {
	offered, inTime int
}

func (t tenantResult) share() float64 {
	return float64(t.inTime) / float64(max(1, t.offered))
}

// loadSpec describes the lane's servers: the slots of each, and the lane's shares of slots and connections.
type loadSpec struct {
	serverSlots, slots, conns int
}

const (
	openTime     = 12 * time.Millisecond
	roundTrip    = time.Millisecond
	loadSeed     = 7
	loadBaseTime = time.Second
)

func newLoadLane(c *qt.C, p caller.Policy, spec loadSpec) *loadLane {
	d, err := caller.NewLane("g", "z0", caller.WithGroupKind(caller.Appointed(func(string) int { return 0 })), caller.WithPolicy(p),
		caller.WithViolationHandler(func(invariant, detail string) { c.Errorf("%s: %s", invariant, detail) }))
	c.Assert(err, qt.IsNil)
	f := &loadLane{
		VirtualClock: &tick.VirtualClock{}, c: c, lane: d, random: rand.New(rand.NewSource(loadSeed)),
		callers: map[caller.SessionID]*loadCaller{}, servers: map[string]*loadServer{}, conns: map[caller.ConnID]string{},
		opens: map[string]int{}, tenants: map[string]*tenantResult{},
	}
	f.Run(loadBaseTime)
	v := upstream.GroupView{Name: "g", Term: 1, Primary: "p", EvidenceTTL: evidenceTTL}
	for _, n := range []string{"p", "r0", "r1"} {
		f.servers[n] = &loadServer{freeAt: make([]time.Duration, spec.serverSlots)}
		v.Servers = append(v.Servers, upstream.ServerView{
			Name: n, Alive: true, Term: 1, Applied: session.Position{Term: 1, Offset: 1},
		})
		f.step(caller.LimitsUpdated{Server: n, Slots: spec.slots, Conns: spec.conns})
	}
	f.updateView(v)
	return f
}

// viewInterval is how often control publishes a snapshot of the group.
const viewInterval = 100 * time.Millisecond

// updateView publishes snapshots of a group whose primary leads.
func (f *loadLane) updateView(v upstream.GroupView) {
	v.LeaderConfirmedAt = f.Now()
	v.LatestSample = upstream.Sample{At: f.Now(), Position: session.Position{Term: 1, Offset: 1}}
	f.step(caller.ViewUpdated{View: v})
	f.After(viewInterval, func() { f.updateView(v) })
}

func (f *loadLane) step(es ...caller.Event) {
	f.steps++
	current := f.steps
	as, wake := f.lane.Step(f.Now(), es)
	for _, s := range f.lane.Servers() {
		f.maxTransactions = max(f.maxTransactions, s.Transactions)
	}
	for _, a := range as {
		f.perform(a)
	}
	if wake < time.Hour {
		f.After(max(0, wake-f.Now()), func() {
			if f.steps == current {
				f.step()
			}
		})
	}
}

// run has a server work for some time in the first slot that is free, and then calls done.
func (f *loadLane) run(server string, d time.Duration, done func()) {
	s, first := f.servers[server], 0
	for i, at := range s.freeAt {
		if at < s.freeAt[first] {
			first = i
		}
	}
	s.freeAt[first] = max(s.freeAt[first], f.Now()) + d
	f.After(s.freeAt[first]-f.Now()+roundTrip, done)
}

func (f *loadLane) perform(a caller.Action) {
	switch a := a.(type) {
	case caller.Open:
		f.conns[a.Conn] = a.Server
		f.opens[a.Server]++
		f.run(a.Server, openTime, func() { f.step(caller.ConnOpened{Conn: a.Conn}) })
	case caller.Send:
		f.sent(a)
	case caller.ConfirmLeadership:
		f.After(2*time.Millisecond, func() {
			f.step(caller.LeadershipConfirmed{Confirmation: a.Confirmation, Term: 1, End: session.Position{Term: 1, Offset: 1}})
		})
	case caller.Release:
		f.answered(a.Session)
	case caller.Refuse:
		f.leaveQueue(f.callers[a.Session])
		delete(f.callers, a.Session)
	}
}

func (f *loadLane) sent(a caller.Send) {
	k, ok := f.callers[a.Session]
	if !ok {
		return
	}
	if f.leaveQueue(k) {
		f.gapSince = f.Now()
	}
	service := time.Duration(f.random.ExpFloat64() * float64(k.service()))
	open := k.open || len(k.kinds) > 0 && k.kinds[0] != caller.KindCommit
	if len(k.kinds) == 0 {
		open = false
	}
	k.open = open
	f.run(f.conns[a.Conn], service, func() {
		f.step(caller.Replied{
			Conn: a.Conn, Request: a.Request, Position: session.Position{Term: 1, Offset: 1}, TransactionOpen: open, Tag: "COMMIT",
		})
	})
}

// service returns the mean service time of a caller's statements.
func (k *loadCaller) service() time.Duration {
	if k.class.Name == slowClass.Name {
		return 40 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// leaveQueue records that a single statement no longer waits, and reports whether it is one.
func (f *loadLane) leaveQueue(k *loadCaller) bool {
	if k == nil || k.rest > 0 || k.sent {
		return false
	}
	k.sent = true
	if f.waiting--; f.gapSince > 0 {
		f.longestGap = max(f.longestGap, f.Now()-f.gapSince)
	}
	if f.waiting == 0 {
		f.gapSince = 0
	}
	return true
}

// answered has the caller go on after an answer.
func (f *loadLane) answered(id caller.SessionID) {
	k, ok := f.callers[id]
	switch {
	case !ok:
	case len(k.kinds) == 0:
		if t := f.tenants[k.name()]; k.arrived >= f.countFrom && f.Now()-k.arrived <= k.rest+k.objective() {
			t.inTime++
		}
		delete(f.callers, id)
	case len(k.kinds) == 1:
		f.After(k.rest, func() { f.send(id, k) })
	default:
		f.send(id, k)
	}
}

// name returns the name under which a caller's results are counted: its tenant, or its class if it has none.
func (k *loadCaller) name() string {
	return cmp.Or(k.tenant, k.class.Name)
}

func (k *loadCaller) objective() time.Duration {
	return time.Duration(k.class.ObjectiveMS) * time.Millisecond
}

// send sends a caller's next statement.
func (f *loadLane) send(id caller.SessionID, k *loadCaller) {
	kind := k.kinds[0]
	k.kinds = k.kinds[1:]
	k.seq++
	f.step(caller.RequestReceived{Session: id, Seq: k.seq, Statement: caller.Statement{Kind: kind, Class: k.class, Tenant: k.tenant}})
}

// arrive has a caller connect and send its first statement.
func (f *loadLane) arrive(k loadCaller) {
	f.sessions++
	id := caller.SessionID(f.sessions)
	k.arrived = f.Now()
	f.callers[id] = &k
	t, ok := f.tenants[k.name()]
	if !ok {
		t = &tenantResult{}
		f.tenants[k.name()] = t
	}
	if k.arrived >= f.countFrom {
		t.offered++
	}
	if k.rest == 0 {
		if f.waiting++; f.waiting == 1 {
			f.gapSince = f.Now()
		}
	}
	f.step(caller.SessionOpened{Session: id, HasFloor: true})
	f.send(id, &k)
}

// offer has callers arrive at random at the given rate between two times. Each stream of callers has arrivals of its own seed,
// so that they are the same in runs with and without other streams.
func (f *loadLane) offer(seed int64, k loadCaller, perSecond float64, from, until time.Duration) {
	random := rand.New(rand.NewSource(seed))
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		f.After(at-f.Now(), func() { f.arrive(k) })
	}
}

// opened returns how many connections were opened.
func (f *loadLane) opened() int {
	n := 0
	for _, k := range f.opens {
		n += k
	}
	return n
}

// inTime returns how many requests of all tenants were served in time.
func (f *loadLane) inTime() int {
	n := 0
	for _, t := range f.tenants {
		n += t.inTime
	}
	return n
}

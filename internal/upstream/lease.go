package upstream

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	// LeaseTerm is how long a lease may be used from the moment at which it was asked for.
	LeaseTerm = 2500 * time.Millisecond
	// LeaseSettle is how much longer others leave a lease alone: an order given at its end takes effect within this time.
	LeaseSettle = 1500 * time.Millisecond
	// LeaseMargin is the part of a lease's term that is not used, for the way to the platform.
	LeaseMargin = 500 * time.Millisecond
	// LeaseApart is the least time between the orders of two holders, from when the first gave its lease back. The platform takes
	// orders of different holders within 3 s for two nodes that act at once.
	LeaseApart = 3200 * time.Millisecond
	// noSuccessorPause is how long a group without anybody to promote is left alone, so that a replica can catch up.
	noSuccessorPause = 600 * time.Millisecond
	// leaseTimeout bounds the wait for one answer of the store about a lease.
	leaseTimeout = 1500 * time.Millisecond
)

// Lease is a node's right to order changes of primary in one group, under a fencing token that only grows. Version is that of
// the row in the store, zero for none, and an empty holder stands for a lease that was given back.
type Lease struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
	// Floor is the least position that the next primary must hold: the log that the last promotion chose ended there.
	Floor session.Position `json:"floor"`
	// Actor is the node that gave the last order, ActedMS when it gave its lease back, in milliseconds of the store's clock.
	Actor   string `json:"actor"`
	ActedMS int64  `json:"acted_ms"`
	Version uint64 `json:"-"`
	// StoreTime is what the store's clock showed at ReadAt of this node's own.
	StoreTime time.Duration `json:"-"`
	ReadAt    time.Duration `json:"-"`
	// Until is the end of the holder's right on its own clock, zero for a lease that is not held here.
	Until time.Duration `json:"-"`
}

// Valid reports whether the lease may be used now.
func (c Lease) Valid(now time.Duration) bool {
	return c.Until != 0 && now < c.Until
}

// WithHolder returns the lease that the named node takes next.
func (c Lease) WithHolder(node string) Lease {
	c.Token++
	c.Holder = node
	return c
}

// WithFloor returns the lease that records a position before the order to open.
func (c Lease) WithFloor(p session.Position) Lease {
	c.Floor = c.Floor.Max(p)
	return c
}

// WithActor returns the lease that records who gives the next order.
func (c Lease) WithActor(node string) Lease {
	c.Actor = node
	return c
}

// WithStoreTime returns the lease with what the store's clock showed at a moment of this node's own.
func (c Lease) WithStoreTime(store, at time.Duration) Lease {
	c.StoreTime, c.ReadAt = store, at
	return c
}

// WithoutHolder returns the lease given back now; if the node gave an order under it, other nodes wait from then on.
func (c Lease) WithoutHolder(now time.Duration) Lease {
	if c.Actor == c.Holder {
		c.ActedMS = (c.StoreTime + now - c.ReadAt).Milliseconds()
	}
	c.Holder = ""
	return c
}

// apart is how long a node other than the last actor has to leave alone a lease that was given back, from its reading on.
func (c Lease) apart(node string) time.Duration {
	if c.Actor == "" || c.Actor == node {
		return 0
	}
	return max(0, time.Duration(c.ActedMS)*time.Millisecond+LeaseApart-c.StoreTime)
}

// WithUntil returns the lease as held here until a moment.
func (c Lease) WithUntil(at time.Duration) Lease {
	c.Until = at
	return c
}

// seen is the row of a lease in the store as this node last read it.
type seen struct {
	lease Lease
	// since is when this version of it was first read, read when it was read last.
	since time.Duration
	read  time.Duration
}

// ReadLease asks the store who holds a group's lease.
type ReadLease struct {
	Group string
}

// TakeLease replaces a group's lease if its row still has the version that the lease names.
type TakeLease struct {
	Group string
	Lease Lease
	Sent  time.Duration
}

// FreeLease gives a lease back; nothing waits for the answer.
type FreeLease struct {
	Group string
	Lease Lease
}

// OrderResume has a server that made a promise follow its primary again.
type OrderResume struct {
	Group   string
	Server  string
	Address string
}

func (ReadLease) upstreamAction()   {}
func (TakeLease) upstreamAction()   {}
func (FreeLease) upstreamAction()   {}
func (OrderResume) upstreamAction() {}

// LeaseRead is the store's answer to ReadLease, and to a TakeLease that came too late.
type LeaseRead struct {
	Group string
	Lease Lease
}

// LeaseTaken is the store's word that the lease asked for at Sent is this node's.
type LeaseTaken struct {
	Group string
	Lease Lease
	Sent  time.Duration
}

// LeaseFailed is a question about a lease that the store did not answer; it may have taken effect.
type LeaseFailed struct {
	Group string
}

func (LeaseRead) upstreamEvent()   {}
func (LeaseTaken) upstreamEvent()  {}
func (LeaseFailed) upstreamEvent() {}

func (w *Watch) seekLease(now time.Duration, p Promotion) {
	w.schedule(p.WithStage(StageLeasing, now+leaseTimeout))
	w.out = append(w.out, ReadLease{Group: p.Group})
}

// leaseRead takes a lease that is free, this node's own or past its term, and else waits until it is. The term of another
// node's lease counts from when this node first saw it, so that no two clocks are compared.
func (w *Watch) leaseRead(now time.Duration, e LeaseRead) {
	s, known := w.leases.Get(e.Group)
	if !known || s.lease.Version != e.Lease.Version {
		s.since = now
	}
	s.lease, s.read = e.Lease, now
	w.leases.Put(e.Group, s)
	w.leases.TakeDirty()
	if g, ok := w.groups.Get(e.Group); ok {
		w.groups.Put(e.Group, g.WithFloor(e.Lease.Floor))
	}
	p, ok := w.promotions.Get(e.Group)
	if ok && p.Stage == StageRecording {
		w.recordAgain(now, p, e.Lease)
		return
	}
	if !ok || p.Stage != StageLeasing {
		return
	}
	if free := w.leaseFree(s); now < free {
		w.note(operator.Record{Kind: operator.KindLease, Group: e.Group, Cause: "lease_held"}.
			WithEvidence("holder", e.Lease.Holder).WithEvidence("free_in", (free - now).String()))
		w.schedule(p.WithStage(StageBackoff, min(free, now+leaseTimeout)))
		return
	}
	w.schedule(p.WithStage(StageLeasing, now+leaseTimeout))
	w.out = append(w.out, TakeLease{Group: e.Group, Lease: e.Lease.WithHolder(w.node), Sent: now})
}

// leaseFree returns when a lease may be taken: if nobody holds it, at once or some time after another node's last order; after its
// term and the orders given in it otherwise.
// What an earlier process of this node ordered has taken effect soon after this process began.
func (w *Watch) leaseFree(s seen) time.Duration {
	switch s.lease.Holder {
	case "":
		return s.read + s.lease.apart(w.node)
	case w.node:
		return w.began + LeaseSettle
	default:
		return s.since + LeaseTerm + LeaseSettle
	}
}

// recordAgain repeats a record that missed the row's version, while the lease is still this node's.
func (w *Watch) recordAgain(now time.Duration, p Promotion, l Lease) {
	best := slices.IndexFunc(p.Promises, func(v Promise) bool { return v.Server == p.Chosen })
	if l.Holder != w.node || l.Token != p.Lease.Token || best < 0 || !p.Lease.Valid(now) {
		w.retry(now, p)
		return
	}
	w.out = append(w.out, TakeLease{
		Group: p.Group, Lease: l.WithHolder(w.node).WithActor(w.node).WithFloor(p.Promises[best].Position), Sent: now,
	})
}

// leaseTaken goes on with a promotion, unless its reason has passed or most of the term was spent on the way.
func (w *Watch) leaseTaken(now time.Duration, e LeaseTaken) {
	c := e.Lease.WithUntil(e.Sent + LeaseTerm - LeaseMargin)
	p, ok := w.promotions.Get(e.Group)
	if ok && p.Stage == StageRecording && p.Chosen != "" && c.Valid(now) {
		p.Lease = c
		w.order(now, p)
		return
	}
	if !ok || p.Stage != StageLeasing || !c.Valid(now) {
		w.release(now, Promotion{Group: e.Group, Lease: c})
		return
	}
	w.note(operator.Record{Kind: operator.KindLease, Group: e.Group, Cause: "lease_taken"}.
		WithEvidence("token", fmt.Sprint(c.Token)).WithEvidence("took", (now - e.Sent).String()))
	p.Lease = c
	g, _ := w.groups.Get(e.Group)
	if w.resume(now, g, p) {
		return
	}
	w.schedule(p.WithStage(StageBackoff, now))
	w.begin(now, p)
}

// resume ends an unfinished promise of another node where the primary is well: under the lease no other order is pending.
func (w *Watch) resume(now time.Duration, g Group, p Promotion) bool {
	primary, ok := w.servers.Get(g.Primary)
	if g.Cause != CauseUnfinished || !ok || !primary.Fresh(now, w.kind.Times.FreshFor) ||
		primary.Status.Role != RolePrimary || primary.Leaves() {
		return false
	}
	w.promotions.Delete(g.Name)
	w.resumeAbove(now, g, 0)
	w.release(now, p)
	w.groups.Put(g.Name, g.WithoutSuspicion())
	return true
}

// resumeAbove has the replicas follow again whose promise is of a higher term.
func (w *Watch) resumeAbove(now time.Duration, g Group, term uint64) {
	for _, s := range w.rows(g) {
		if s.Status.Role == RoleReplica && s.Status.Promised > term {
			w.out = append(w.out, OrderResume{Group: g.Name, Server: s.Name, Address: s.Address})
			w.servers.Wake(s.Name, now+w.kind.Times.ProbeSoon)
		}
	}
}

func (w *Watch) leaseFailed(now time.Duration, e LeaseFailed) {
	if p, ok := w.promotions.Get(e.Group); ok && (p.Stage == StageLeasing || p.Stage == StageRecording) {
		w.retry(now, p)
	}
}

// giveUp ends a promotion that found nobody to promote: the replicas go on following, and the lease is free for others.
func (w *Watch) giveUp(now time.Duration, g Group, p Promotion) {
	w.note(operator.Record{Kind: operator.KindPromotion, Group: p.Group, Term: p.Term, Cause: "no_successor"}.
		WithEvidence("floor", g.Floor.String()).WithEvidence("promises", fmt.Sprint(p.Promises)))
	w.resumeAbove(now, g, 0)
	w.release(now, p)
	p = p.WithRetry(now + noSuccessorPause)
	p.Lease = Lease{}
	w.schedule(p)
}

// release gives a promotion's lease back, if it holds one.
func (w *Watch) release(now time.Duration, p Promotion) {
	if p.Lease.Until != 0 {
		w.out = append(w.out, FreeLease{Group: p.Group, Lease: p.Lease.WithoutHolder(now)})
	}
}

package upstream

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	// LeaseDuration is how long a lease is valid, counted from the time at which it was requested.
	LeaseDuration = 2500 * time.Millisecond
	// LeaseSettleTime is how long after its expiry other nodes do not acquire a lease. An order that was given just before the
	// expiry takes effect within this time.
	LeaseSettleTime = 1500 * time.Millisecond
	// LeaseSafetyMargin is the last part of a lease's duration, which the holder does not use. It covers the time until an order
	// reaches the platform.
	LeaseSafetyMargin = 500 * time.Millisecond
	// LeaseHandoverDelay is the minimum time between the release of a lease under which an order was given and its acquisition by
	// another node. The platform treats orders of different holders within 3 s as two nodes that act concurrently.
	LeaseHandoverDelay = 3200 * time.Millisecond
	// noSuccessorDelay is the delay before the next attempt in a group without a server to promote, so that a replica can catch
	// up.
	noSuccessorDelay = 600 * time.Millisecond
	// eraTokenBits is the number of low bits of a fencing token that count within one era of the store.
	eraTokenBits = 32
	// leaseStoreTimeout limits the wait for the store's answer to a request about a lease.
	leaseStoreTimeout = 1500 * time.Millisecond
)

// Lease is a node's right to give promotion orders in one group, under a monotonically increasing fencing token. Version is that
// of the row in the store, zero if there is no row. An empty holder stands for a released lease.
type Lease struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
	// Era is the era of the store in which the lease was acquired, zero if there is no row. StoreEra is the era in which the row was
	// read: a row of an earlier era may lack what the store has lost.
	Era      uint64 `json:"era,omitempty"`
	StoreEra uint64 `json:"-"`
	// Floor is the minimum position that the next primary must hold: the end of the log that the last promotion chose.
	Floor session.Position `json:"floor"`
	// Actor is the node that gave the last order. ReleasedMS is when it released its lease, in milliseconds of the store's clock.
	Actor      string `json:"actor"`
	ReleasedMS int64  `json:"acted_ms"`
	Version    uint64 `json:"-"`
	// StoreTime is the time on the store's clock when this node's clock showed ReadAt.
	StoreTime time.Duration `json:"-"`
	ReadAt    time.Duration `json:"-"`
	// ExpiresAt is when the holder must stop using the lease, on its own clock. It is zero for a lease that this node does not
	// hold.
	ExpiresAt time.Duration `json:"-"`
}

// Valid reports whether the lease may be used now.
func (l Lease) Valid(now time.Duration) bool {
	return l.ExpiresAt != 0 && now < l.ExpiresAt
}

// WithHolder returns the lease as the named node acquires it, with the next fencing token. Tokens of an era are higher than those
// of earlier eras, also than those that the store has lost.
func (l Lease) WithHolder(node string) Lease {
	l.Token = max(l.Token, l.TokenFloor()) + 1
	l.Holder = node
	l.Era = l.StoreEra
	return l
}

// TokenFloor returns a token that is lower than all of the store's current era, and higher than all of earlier ones.
func (l Lease) TokenFloor() uint64 {
	return l.StoreEra << eraTokenBits
}

// WithStoreEra returns the lease as read in the given era of the store.
func (l Lease) WithStoreEra(era uint64) Lease {
	l.StoreEra = era
	return l
}

// WithFloor returns the lease with a floor of at least the given position, which is recorded before the promotion order.
func (l Lease) WithFloor(p session.Position) Lease {
	l.Floor = l.Floor.Max(p)
	return l
}

// WithActor returns the lease with the node that gives the next order.
func (l Lease) WithActor(node string) Lease {
	l.Actor = node
	return l
}

// WithStoreTime returns the lease with the time on the store's clock when this node's clock showed at.
func (l Lease) WithStoreTime(store, at time.Duration) Lease {
	l.StoreTime, l.ReadAt = store, at
	return l
}

// WithoutHolder returns the lease released now. If the holder gave an order under it, other nodes wait for LeaseHandoverDelay
// from now on.
func (l Lease) WithoutHolder(now time.Duration) Lease {
	if l.Actor == l.Holder {
		l.ReleasedMS = (l.StoreTime + now - l.ReadAt).Milliseconds()
	}
	l.Holder = ""
	return l
}

// handoverDelay returns how long the named node must wait, from reading a released lease on, before it may acquire the lease. The
// node that gave the last order need not wait.
func (l Lease) handoverDelay(node string) time.Duration {
	if l.Actor == "" || l.Actor == node {
		return 0
	}
	return max(0, time.Duration(l.ReleasedMS)*time.Millisecond+LeaseHandoverDelay-l.StoreTime)
}

// WithExpiry returns the lease held by this node until the given time.
func (l Lease) WithExpiry(at time.Duration) Lease {
	l.ExpiresAt = at
	return l
}

// observedLease is the row of a lease in the store as this node last read it.
type observedLease struct {
	lease Lease
	// firstReadAt is when this version of the row was first read, lastReadAt when the row was last read.
	firstReadAt time.Duration
	lastReadAt  time.Duration
}

// ReadLease reads a group's lease from the store.
type ReadLease struct {
	Group string
}

// AcquireLease replaces a group's lease in the store if the row still has the lease's Version.
type AcquireLease struct {
	Group  string
	Lease  Lease
	SentAt time.Duration
}

// ReleaseLease releases a lease. The node does not wait for the answer.
type ReleaseLease struct {
	Group string
	Lease Lease
}

// OrderResume orders a server that has made a promise to follow its primary again.
type OrderResume struct {
	Group   string
	Server  string
	Address string
}

func (ReadLease) upstreamAction()    {}
func (AcquireLease) upstreamAction() {}
func (ReleaseLease) upstreamAction() {}
func (OrderResume) upstreamAction()  {}

// LeaseRead is the store's answer to ReadLease, and to an AcquireLease whose version no longer matches.
type LeaseRead struct {
	Group string
	Lease Lease
}

// LeaseAcquired is the store's confirmation that this node holds the lease that it requested at SentAt.
type LeaseAcquired struct {
	Group  string
	Lease  Lease
	SentAt time.Duration
}

// StoreEraObserved reports the era of the store that an answer has shown. It rises each time the store comes back from a copy that
// lacks its last changes.
type StoreEraObserved struct {
	Era uint64
}

// LeaseRequestFailed reports a request about a lease that the store did not answer. The request may have taken effect.
type LeaseRequestFailed struct {
	Group string
}

func (LeaseRead) upstreamEvent()          {}
func (LeaseAcquired) upstreamEvent()      {}
func (LeaseRequestFailed) upstreamEvent() {}
func (StoreEraObserved) upstreamEvent()   {}

func (w *Watch) requestLease(now time.Duration, p Promotion) {
	w.schedulePromotion(p.WithStage(StageLeasing, now+leaseStoreTimeout))
	w.actions = append(w.actions, ReadLease{Group: p.Group})
}

// applyLeaseRead acquires a lease that is available, or waits until it is. The duration of another node's lease counts from when
// this node first read it, so that the clocks of two nodes are never compared. An answer of an earlier era of the store is as good
// as none.
func (w *Watch) applyLeaseRead(now time.Duration, e LeaseRead) {
	w.applyStoreEra(now, StoreEraObserved{Era: e.Lease.StoreEra})
	if e.Lease.StoreEra < w.storeEra {
		w.applyLeaseRequestFailed(now, LeaseRequestFailed{Group: e.Group})
		return
	}
	s, known := w.leases.Get(e.Group)
	if !known || s.lease.Version != e.Lease.Version || s.lease.StoreEra != e.Lease.StoreEra {
		s.firstReadAt = now
	}
	s.lease, s.lastReadAt = e.Lease, now
	w.leases.Put(e.Group, s)
	w.leases.TakeDirty()
	if g, ok := w.groups.Get(e.Group); ok {
		w.groups.Put(e.Group, g.WithFloor(e.Lease.Floor))
	}
	p, ok := w.promotions.Get(e.Group)
	if ok && p.Stage == StageRecording {
		w.retryRecording(now, p, e.Lease)
		return
	}
	if !ok || p.Stage != StageLeasing {
		return
	}
	if availableAt := w.leaseAvailableAt(s); now < availableAt {
		w.writeAuditRecord(operator.Record{Kind: operator.KindLease, Group: e.Group, Cause: "lease_held"}.
			WithEvidence("holder", e.Lease.Holder).WithEvidence("free_in", (availableAt - now).String()))
		w.schedulePromotion(p.WithStage(StageBackoff, min(availableAt, now+leaseStoreTimeout)))
		return
	}
	w.schedulePromotion(p.WithStage(StageLeasing, now+leaseStoreTimeout))
	w.actions = append(w.actions, AcquireLease{Group: e.Group, Lease: e.Lease.WithHolder(w.node), SentAt: now})
}

// leaseAvailableAt returns when this node may acquire a lease. A released lease is available once its handover delay has passed.
// A lease that another node holds is available once it has expired and the orders given under it have taken effect. A lease that an
// earlier process of this node holds is available LeaseSettleTime after the start of this process: the earlier one gives no more
// orders, and those that it gave have taken effect by then. If the row is not of the current era, the store may have lost another
// lease: any lease of an earlier era has expired, and its orders have taken effect, once that time has passed in the current one.
func (w *Watch) leaseAvailableAt(s observedLease) time.Duration {
	at := time.Duration(0)
	if s.lease.Era != s.lease.StoreEra {
		at = w.storeEraSince + LeaseDuration + LeaseSettleTime
	}
	switch s.lease.Holder {
	case "":
		// After the store came back from a copy, its clock may be another one.
		return max(at, min(s.lastReadAt+s.lease.handoverDelay(w.node), s.firstReadAt+LeaseHandoverDelay))
	case w.node:
		return max(at, w.startedAt+LeaseSettleTime)
	default:
		return max(at, s.firstReadAt+LeaseDuration+LeaseSettleTime)
	}
}

// applyStoreEra applies a new era of the store. A promotion that has given no order yet begins anew, as the store may have lost the
// lease that it holds.
func (w *Watch) applyStoreEra(now time.Duration, e StoreEraObserved) {
	if e.Era <= w.storeEra {
		return
	}
	restored := w.storeEra != 0
	w.storeEra, w.storeEraSince = e.Era, now
	if !restored {
		return
	}
	for _, k := range w.groups.Keys() {
		w.scheduleFloor(now, k)
	}
	for _, k := range w.promotions.Keys() {
		p, _ := w.promotions.Get(k)
		if p.Lease.ExpiresAt == 0 || p.Lease.StoreEra == e.Era || p.Stage == StageOpening {
			continue
		}
		p.Lease = Lease{}
		w.retryAttempt(now, p)
	}
}

// retryRecording repeats the recording of the floor after a version mismatch, if this node still holds the lease.
func (w *Watch) retryRecording(now time.Duration, p Promotion, l Lease) {
	best := slices.IndexFunc(p.Promises, func(v Promise) bool { return v.Server == p.Chosen })
	if l.Holder != w.node || l.Token != p.Lease.Token || l.StoreEra != p.Lease.StoreEra || best < 0 || !p.Lease.Valid(now) {
		w.retryAttempt(now, p)
		return
	}
	w.actions = append(w.actions, AcquireLease{
		Group: p.Group, Lease: l.WithHolder(w.node).WithActor(w.node).WithFloor(p.Promises[best].Position), SentAt: now,
	})
}

// applyLeaseAcquired continues a promotion under its lease. It releases the lease if the promotion no longer needs it or the
// lease is no longer valid, and ignores a lease of an earlier era of the store.
func (w *Watch) applyLeaseAcquired(now time.Duration, e LeaseAcquired) {
	l := e.Lease.WithExpiry(e.SentAt + LeaseDuration - LeaseSafetyMargin)
	p, ok := w.promotions.Get(e.Group)
	if l.StoreEra != w.storeEra {
		return
	}
	if ok && p.Stage == StageRecording && p.Chosen != "" && l.Valid(now) {
		p.Lease = l
		w.orderPromotion(now, p)
		return
	}
	if !ok || p.Stage != StageLeasing || !l.Valid(now) {
		w.releaseLease(now, Promotion{Group: e.Group, Lease: l})
		return
	}
	w.writeAuditRecord(operator.Record{Kind: operator.KindLease, Group: e.Group, Cause: "lease_taken"}.
		WithEvidence("token", fmt.Sprint(l.Token)).WithEvidence("took", (now - e.SentAt).String()))
	p.Lease = l
	g, _ := w.groups.Get(e.Group)
	if w.resumeFollowing(now, g, p) {
		return
	}
	w.schedulePromotion(p.WithStage(StageBackoff, now))
	w.beginAttempt(now, p)
}

// resumeFollowing ends the pauses of another node's unfinished promotion if the primary is healthy, and reports whether it did.
// This is safe under the lease, as no other order is pending then.
func (w *Watch) resumeFollowing(now time.Duration, g Group, p Promotion) bool {
	primary, ok := w.servers.Get(g.Primary)
	if g.Cause != CauseUnfinishedPromise || !ok || !primary.Fresh(now, w.kind.Timing.FreshTTL) ||
		primary.Status.Role != RolePrimary || primary.IsLeaving() {
		return false
	}
	w.promotions.Delete(g.Name)
	w.resumeReplicas(now, g, 0)
	w.releaseLease(now, p)
	w.groups.Put(g.Name, g.WithoutSuspicion())
	return true
}

// resumeReplicas orders the replicas that have promised a term above the given one to follow their primary again.
func (w *Watch) resumeReplicas(now time.Duration, g Group, term uint64) {
	for _, s := range w.serversOf(g) {
		if s.Status.Role == RoleReplica && s.Status.Promised > term {
			w.actions = append(w.actions, OrderResume{Group: g.Name, Server: s.Name, Address: s.Address})
			w.servers.SetDue(s.Name, now+w.kind.Timing.ShortProbeInterval)
		}
	}
}

func (w *Watch) applyLeaseRequestFailed(now time.Duration, e LeaseRequestFailed) {
	if p, ok := w.promotions.Get(e.Group); ok && (p.Stage == StageLeasing || p.Stage == StageRecording) {
		w.retryAttempt(now, p)
	}
}

// endWithoutSuccessor ends an attempt that found no server to promote. The replicas follow again and the lease is released for
// other nodes. The next attempt starts after noSuccessorDelay.
func (w *Watch) endWithoutSuccessor(now time.Duration, g Group, p Promotion) {
	w.writeAuditRecord(operator.Record{Kind: operator.KindPromotion, Group: p.Group, Term: p.Term, Cause: "no_successor"}.
		WithEvidence("floor", g.Floor.String()).WithEvidence("promises", fmt.Sprint(p.Promises)))
	w.resumeReplicas(now, g, 0)
	w.releaseLease(now, p)
	p = p.WithRetry(now + noSuccessorDelay)
	p.Lease = Lease{}
	w.schedulePromotion(p)
}

// releaseLease releases the lease of a promotion, if it holds one.
func (w *Watch) releaseLease(now time.Duration, p Promotion) {
	if p.Lease.ExpiresAt != 0 {
		w.actions = append(w.actions, ReleaseLease{Group: p.Group, Lease: p.Lease.WithoutHolder(now)})
	}
}

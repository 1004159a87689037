package caller

import (
	"fmt"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
)

const (
	// slotRenewInterval is the time from a request to the renewal of its grant.
	slotRenewInterval = 100 * time.Millisecond
	// slotIdleTimeout is how long unused slots are kept before they are returned.
	slotIdleTimeout = 30 * time.Millisecond
	// slotRetryInterval is the minimum time between two requests to one server for more slots.
	slotRetryInterval = 15 * time.Millisecond
	// slotRequestTimeout is how long a request for slots may stay unanswered.
	slotRequestTimeout = 400 * time.Millisecond
)

// SlotsGranted is a server's answer to RequestSlots. Contended is set if other nodes also want slots.
type SlotsGranted struct {
	Seq       uint64
	Server    string
	Slots     int
	LongSlots int
	Contended bool
	// Restarted is set if the server has restarted, and lost its earlier grants and the work that used them.
	Restarted bool
}

// SlotsFailed reports that a server did not answer RequestSlots.
type SlotsFailed struct {
	Seq    uint64
	Server string
}

func (SlotsGranted) callerEvent() {}
func (SlotsFailed) callerEvent()  {}

// RequestSlots states how many of a server's slots this node wants. Retained and RetainedLong are the slots that the node may
// still use until the answer arrives, so the server must not reduce the grant below them.
type RequestSlots struct {
	Seq          uint64
	Server       string
	Address      string
	Short        int
	Long         int
	Retained     int
	RetainedLong int
}

func (RequestSlots) callerAction() {}

// lease is the row of this node's lease of one server's slots.
type lease struct {
	// Pending is the Seq of the unanswered request, zero for none.
	Pending    uint64
	SentAt     time.Duration
	ExpiresAt  time.Duration
	RequestAt  time.Duration
	LastUsedAt time.Duration
	Contended  bool
}

// withRequest returns the row with a request in flight.
func (s lease) withRequest(now time.Duration, id uint64) lease {
	s.Pending = id
	s.SentAt = now
	s.RequestAt = now + slotRequestTimeout
	return s
}

// withGrant returns the row after a grant, whose validity starts when it was requested.
func (s lease) withGrant(contended bool) lease {
	s.Pending = 0
	s.ExpiresAt = s.SentAt + upstream.SlotUseTime
	s.Contended = contended
	s.RequestAt = s.SentAt + slotRenewInterval
	return s
}

// withFailure returns the row after a request that was not answered.
func (s lease) withFailure(now time.Duration) lease {
	s.Pending = 0
	s.SentAt = now
	s.RequestAt = now + slotRetryInterval
	return s
}

// withUse returns the row with slots in use at the given time.
func (s lease) withUse(now time.Duration) lease {
	s.LastUsedAt = now
	return s
}

// WithSlotLeases has the lane lease its slots from each server instead of using a static share. first must exceed the Seq of
// every request that the node sent in its earlier runs.
func WithSlotLeases(first uint64) Option {
	return func(l *Lane) error {
		l.leaseSlots = true
		l.lastSlotSeq = first
		return nil
	}
}

// demand counts the requests that wait for one server in this tick.
type demand struct {
	short int
	long  int
}

// maintainLeases requests slots for waiting requests, renews slots in use and returns unused ones.
func maintainLeases(l *Lane, now time.Duration) {
	if !l.leaseSlots {
		return
	}
	for _, v := range l.view.Servers {
		if v.Alive {
			l.maintainLease(now, v)
		}
	}
	clear(l.slotDemand)
}

func (l *Lane) maintainLease(now time.Duration, v upstream.ServerView) {
	row, _ := l.servers.Get(v.Name)
	s, _ := l.leases.Get(v.Name)
	d := l.slotDemand[v.Name]
	if d.short+d.long > 0 || row.Running > 0 {
		s = s.withUse(now)
	}
	l.leases.Put(v.Name, s)
	if s.Pending != 0 {
		l.wakeLease(v.Name, s.RequestAt)
		return
	}
	a, due := l.slotRequest(now, row, s, d)
	if !due {
		l.wakeLease(v.Name, l.leaseDue(row, s))
		return
	}
	l.lastSlotSeq++
	a.Seq, a.Server, a.Address = l.lastSlotSeq, v.Name, v.Address
	l.setSlots(v.Name, a.Retained, a.RetainedLong)
	l.leases.Put(v.Name, s.withRequest(now, a.Seq))
	l.wakeLease(v.Name, now+slotRequestTimeout)
	l.actions = append(l.actions, a)
}

// slotRequest returns the request for a server's slots, and whether it is due now. A request may offer to give up slots, and
// the answer may then grant fewer. The node uses only the retained ones as soon as it sends such a request.
func (l *Lane) slotRequest(now time.Duration, row Server, s lease, d demand) (RequestSlots, bool) {
	a := RequestSlots{
		Short: d.short + row.Running - row.RunningLong, Long: d.long + row.RunningLong,
		Retained: row.Slots, RetainedLong: row.LongSlots,
	}
	unmet := d.short+d.long > 0 && a.Short+a.Long > row.Slots || d.long > 0 && a.Long > row.LongSlots
	idle := row.Slots > 0 && now-s.LastUsedAt >= slotIdleTimeout
	yield := s.Contended && now-s.SentAt >= upstream.SlotTimeSlice/2
	if idle || yield {
		a.Retained, a.RetainedLong = min(row.Running, row.Slots), min(row.RunningLong, row.LongSlots)
	}
	due := unmet && now >= s.SentAt+slotRetryInterval && now >= min(s.RequestAt, s.SentAt+slotRetryInterval)
	return a, due || idle || yield || row.Slots > 0 && now >= s.RequestAt
}

// leaseDue is when the row has to be examined again if no event arrives.
func (l *Lane) leaseDue(row Server, s lease) time.Duration {
	if row.Slots == 0 {
		if d := l.slotDemand[row.View.Name]; d.short+d.long > 0 {
			return s.SentAt + slotRetryInterval
		}
		return neverDue
	}
	due := min(s.RequestAt, s.ExpiresAt)
	if s.Contended {
		due = min(due, s.SentAt+upstream.SlotTimeSlice/2)
	}
	if row.Running == 0 {
		due = min(due, s.LastUsedAt+slotIdleTimeout)
	}
	return due
}

func (l *Lane) wakeLease(server string, at time.Duration) {
	l.leases.SetDue(server, at)
}

func (l *Lane) setSlots(server string, slots, long int) {
	row, _ := l.servers.Get(server)
	row.Slots = slots
	row.LongSlots = long
	l.servers.Put(server, row)
}

func (l *Lane) slotsGranted(_ time.Duration, e SlotsGranted) {
	s, ok := l.leases.Get(e.Server)
	if !ok || s.Pending != e.Seq {
		l.stats.StrayMessages++
		return
	}
	row, _ := l.servers.Get(e.Server)
	l.ensure(e.Restarted || e.Slots >= min(row.Running, row.Slots), "grant_covers_use", func() string {
		return fmt.Sprintf("server %s: granted %d, running %d", e.Server, e.Slots, row.Running)
	})
	l.setSlots(e.Server, e.Slots, e.LongSlots)
	l.leases.Put(e.Server, s.withGrant(e.Contended))
}

func (l *Lane) slotsFailed(now time.Duration, e SlotsFailed) {
	if s, ok := l.leases.Get(e.Server); ok && s.Pending == e.Seq {
		l.leases.Put(e.Server, s.withFailure(now))
	}
}

// expireLeases drops expired grants and unanswered requests. It runs before anything is sent, since a node whose process was
// suspended must not use slots from before the suspension.
func expireLeases(l *Lane, now time.Duration) {
	if !l.leaseSlots {
		return
	}
	for _, v := range l.view.Servers {
		if s, ok := l.leases.Get(v.Name); ok && now >= s.ExpiresAt {
			l.setSlots(v.Name, 0, 0)
		}
	}
	l.leases.TakeDirty()
	for _, k := range l.leases.TakeDue(now) {
		if s, _ := l.leases.Get(k); s.Pending != 0 && now-s.SentAt >= slotRequestTimeout {
			l.leases.Put(k, s.withFailure(now))
		}
	}
}

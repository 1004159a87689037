package caller

import (
	"fmt"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
)

const (
	slotRenew   = 100 * time.Millisecond
	slotIdle    = 30 * time.Millisecond
	slotRetry   = 15 * time.Millisecond
	slotTimeout = 400 * time.Millisecond
)

// SlotsGranted is a server's answer to AskSlots.
type SlotsGranted struct {
	Seq       uint64
	Server    string
	Slots     int
	LongSlots int
	Contended bool
	// Restarted says that the server has forgotten grants from before its start, and the work that used them.
	Restarted bool
}

// SlotsFailed says that a server gave no answer to AskSlots.
type SlotsFailed struct {
	Seq    uint64
	Server string
}

func (SlotsGranted) callerEvent() {}
func (SlotsFailed) callerEvent()  {}

// RequestSlots tells a server how many of its slots this node wants, and down to how many it can go at once.
type RequestSlots struct {
	Seq       uint64
	Server    string
	Address   string
	Short     int
	Long      int
	Retained     int
	RetainedLong int
}

func (RequestSlots) callerAction() {}

// lease is the row of this node's part of one server's slots.
type lease struct {
	Asking    uint64
	Sent      time.Duration
	Until     time.Duration
	Next      time.Duration
	LastUse   time.Duration
	Contended bool
}

// withAsk returns the row with a question on its way.
func (s lease) withAsk(now time.Duration, id uint64) lease {
	s.Asking = id
	s.Sent = now
	s.Next = now + slotTimeout
	return s
}

// withAnswer returns the row after an answer; the grant may be used for a while from the moment it was asked for.
func (s lease) withAnswer(contended bool) lease {
	s.Asking = 0
	s.Until = s.Sent + upstream.SlotUse
	s.Contended = contended
	s.Next = s.Sent + slotRenew
	return s
}

// withFailure returns the row after a question that was not answered.
func (s lease) withFailure(now time.Duration) lease {
	s.Asking = 0
	s.Sent = now
	s.Next = now + slotRetry
	return s
}

// withUse returns the row after a moment at which the slots were in use.
func (s lease) withUse(now time.Duration) lease {
	s.LastUse = now
	return s
}

// WithSlotLeases has the lane ask each server for its slots instead of using a static share. Questions are numbered from
// first on, which must be higher than any number of the node's earlier lives.
func WithSlotLeases(first uint64) Option {
	return func(l *Lane) error {
		l.leasing = true
		l.lastAsk = first
		return nil
	}
}

// demand is how many requests wait for one server in this tick.
type demand struct {
	short int
	long  int
}

// tendLeases asks servers for slots when requests wait, renews what is in use and gives back what is not.
func tendLeases(l *Lane, now time.Duration) {
	if !l.leasing {
		return
	}
	for _, v := range l.view.Servers {
		if v.Alive {
			l.tendLease(now, v)
		}
	}
	clear(l.wants)
}

func (l *Lane) tendLease(now time.Duration, v upstream.ServerView) {
	row, _ := l.servers.Get(v.Name)
	s, _ := l.leases.Get(v.Name)
	d := l.wants[v.Name]
	if d.short+d.long > 0 || row.Running > 0 {
		s = s.withUse(now)
	}
	l.leases.Put(v.Name, s)
	if s.Asking != 0 {
		l.wakeLease(v.Name, s.Next)
		return
	}
	a, due := l.leaseQuestion(now, row, s, d)
	if !due {
		l.wakeLease(v.Name, l.leaseDue(row, s))
		return
	}
	l.lastAsk++
	a.Seq, a.Server, a.Address = l.lastAsk, v.Name, v.Address
	l.setSlots(v.Name, a.Retained, a.RetainedLong)
	l.leases.Put(v.Name, s.withAsk(now, a.Seq))
	l.wakeLease(v.Name, now+slotTimeout)
	l.out = append(l.out, a)
}

// leaseQuestion decides whether a server has to be asked now. A question that gives up slots may be answered with fewer,
// so from then on only those in use count.
func (l *Lane) leaseQuestion(now time.Duration, row Server, s lease, d demand) (RequestSlots, bool) {
	a := RequestSlots{
		Short: d.short + row.Running - row.Long, Long: d.long + row.Long,
		Retained: row.Slots, RetainedLong: row.LongSlots,
	}
	unmet := d.short+d.long > 0 && a.Short+a.Long > row.Slots || d.long > 0 && a.Long > row.LongSlots
	idle := row.Slots > 0 && now-s.LastUse >= slotIdle
	turn := s.Contended && now-s.Sent >= upstream.SlotTurn/2
	if idle || turn {
		a.Retained, a.RetainedLong = min(row.Running, row.Slots), min(row.Long, row.LongSlots)
	}
	due := unmet && now >= s.Sent+slotRetry && now >= min(s.Next, s.Sent+slotRetry)
	return a, due || idle || turn || row.Slots > 0 && now >= s.Next
}

// leaseDue is when the row has to be looked at again without any event.
func (l *Lane) leaseDue(row Server, s lease) time.Duration {
	if row.Slots == 0 {
		if d := l.wants[row.View.Name]; d.short+d.long > 0 {
			return s.Sent + slotRetry
		}
		return neverDue
	}
	due := min(s.Next, s.Until)
	if s.Contended {
		due = min(due, s.Sent+upstream.SlotTurn/2)
	}
	if row.Running == 0 {
		due = min(due, s.LastUse+slotIdle)
	}
	return due
}

func (l *Lane) wakeLease(server string, at time.Duration) {
	l.leases.Wake(server, at)
}

func (l *Lane) setSlots(server string, slots, long int) {
	row, _ := l.servers.Get(server)
	row.Slots = slots
	row.LongSlots = long
	l.servers.Put(server, row)
}

func (l *Lane) slotsGranted(_ time.Duration, e SlotsGranted) {
	s, ok := l.leases.Get(e.Server)
	if !ok || s.Asking != e.Seq {
		l.stats.StrayMessages++
		return
	}
	row, _ := l.servers.Get(e.Server)
	l.ensure(e.Restarted || e.Slots >= min(row.Running, row.Slots), "grant_covers_use", func() string {
		return fmt.Sprintf("%s: granted %d, running %d", e.Server, e.Slots, row.Running)
	})
	l.setSlots(e.Server, e.Slots, e.LongSlots)
	l.leases.Put(e.Server, s.withAnswer(e.Contended))
}

func (l *Lane) slotsFailed(now time.Duration, e SlotsFailed) {
	if s, ok := l.leases.Get(e.Server); ok && s.Asking == e.Seq {
		l.leases.Put(e.Server, s.withFailure(now))
	}
}

// expireLeases gives up questions that stayed unanswered, and grants whose time is over: it runs before anything is sent, since
// a node that stood still must not use what it held before.
func expireLeases(l *Lane, now time.Duration) {
	if !l.leasing {
		return
	}
	for _, v := range l.view.Servers {
		if s, ok := l.leases.Get(v.Name); ok && now >= s.Until {
			l.setSlots(v.Name, 0, 0)
		}
	}
	l.leases.TakeDirty()
	for _, k := range l.leases.TakeDue(now) {
		if s, _ := l.leases.Get(k); s.Asking != 0 && now-s.Sent >= slotTimeout {
			l.leases.Put(k, s.withFailure(now))
		}
	}
}

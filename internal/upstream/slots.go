package upstream

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SlotTTL is how long a server keeps a grant without a request from its holder.
	SlotTTL = 3 * time.Second
	// SlotUseTime is how long a holder may use a grant after its request. The rest of SlotTTL covers pauses of the holder and clock
	// drift.
	SlotUseTime = 2 * time.Second
	// SlotTimeSlice is how long a holder keeps its slots while nodes without any are waiting.
	SlotTimeSlice = 40 * time.Millisecond
)

// Claim is one node's demand for a server's slots, and the slots that it holds. WantShort and WantLong are the slots that the node
// wants for short and long work.
type Claim struct {
	Node      string
	WantShort int
	WantLong  int
	// Slots is the number of slots that the node holds now, LongSlots how many of them may run long work.
	Slots     int
	LongSlots int
	// HoldingSince is when the node last went from no slot to some. LastRequestAt is when its last request was received.
	HoldingSince  time.Duration
	LastRequestAt time.Duration
	// RequestSeq is the sequence number of the node's latest request. A request that arrives late with a lower number is ignored.
	RequestSeq uint64
	// WaitingSince is when the node's first request was received, or when the node last went down to no slot.
	WaitingSince time.Duration
}

// WithDemand returns the claim with a new demand, received at now.
func (c Claim) WithDemand(now time.Duration, short, long int) Claim {
	c.WantShort = short
	c.WantLong = long
	c.LastRequestAt = now
	return c
}

// WithGrant returns the claim with the given numbers of slots held.
func (c Claim) WithGrant(now time.Duration, slots, long int) Claim {
	switch {
	case c.Slots == 0 && slots > 0:
		c.HoldingSince = now
	case c.Slots > 0 && slots == 0:
		c.WaitingSince = now
	}
	c.Slots = slots
	c.LongSlots = long
	return c
}

// SlotTable distributes one server's slots among nodes. It runs at the server that has the slots, so that their total is never
// exceeded, whatever the nodes assume about each other.
type SlotTable struct {
	total        int
	shortReserve int
	grantsFrom   time.Duration
	claims       map[string]Claim
}

// NewSlotTable returns a table of total slots, of which shortReserve are never granted to long work. It grants nothing before
// grantsFrom, as grants from before a restart may be in use until then.
func NewSlotTable(total, shortReserve int, grantsFrom time.Duration) *SlotTable {
	return &SlotTable{
		total: total, shortReserve: min(shortReserve, total-1), grantsFrom: grantsFrom, claims: map[string]Claim{},
	}
}

// Restarted reports whether nodes may still hold grants from before a restart, which the table does not contain.
func (t *SlotTable) Restarted(now time.Duration) bool {
	return now < t.grantsFrom+SlotTTL
}

// Request records a node's demand and grants it free slots. A node for which others are waiting is reduced to its fair share, but
// never below the retained slots that it has in use.
func (t *SlotTable) Request(now time.Duration, node string, seq uint64, short, long, retained, retainedLong int) Claim {
	t.expireClaims(now)
	c, known := t.claims[node]
	c.Node = node
	if !known {
		c.WaitingSince = now
	}
	if known && seq <= c.RequestSeq {
		return c
	}
	c.RequestSeq = seq
	c = c.WithDemand(now, short, long)
	t.claims[node] = c
	if now < t.grantsFrom {
		return c
	}
	fair := t.fairShare(now, c)
	slots := min(max(retained, min(short+long, fair)), c.Slots+max(0, t.freeSlots()-t.waitingLonger(now, c)))
	longSlots := min(max(retainedLong, min(long, maxLongSlots(slots, short))), c.LongSlots+t.freeLongSlots())
	c = c.WithGrant(now, max(slots, min(retained, c.Slots)), min(longSlots, slots))
	t.claims[node] = c
	return c
}

// maxLongSlots returns how many of a node's slots may run long work. One slot is kept for short work, which would otherwise wait
// until long work has finished.
func maxLongSlots(slots, short int) int {
	if slots == 1 && short == 0 {
		return 1
	}
	return max(0, slots-1)
}

// Contended reports whether other nodes are waiting for slots while this node holds some.
func (t *SlotTable) Contended(node string) bool {
	for k, o := range t.claims {
		if k != node && o.WantShort+o.WantLong > o.Slots {
			return t.claims[node].Slots > 0
		}
	}
	return false
}

// Remove deletes the claim of a node whose connection is closed.
func (t *SlotTable) Remove(node string) {
	delete(t.claims, node)
}

func (t *SlotTable) expireClaims(now time.Duration) {
	for k, c := range t.claims {
		if now-c.LastRequestAt > SlotTTL {
			delete(t.claims, k)
		}
	}
}

// Granted returns how many slots are granted, and how many of them to long work.
func (t *SlotTable) Granted() (slots, long int) {
	for _, c := range t.claims {
		slots += c.Slots
		long += c.LongSlots
	}
	return slots, long
}

func (t *SlotTable) freeSlots() int {
	n, _ := t.Granted()
	return t.total - n
}

func (t *SlotTable) freeLongSlots() int {
	_, n := t.Granted()
	return t.total - t.shortReserve - n
}

// fairShare returns how many slots a node may hold while others want some. That is an equal share, or none if its time
// slice is over and the free slots do not suffice for the waiting nodes.
func (t *SlotTable) fairShare(now time.Duration, c Claim) int {
	var wanting []Claim
	for _, o := range t.claims {
		if o.WantShort+o.WantLong > 0 {
			wanting = append(wanting, o)
		}
	}
	if len(wanting) <= 1 {
		return t.total
	}
	if c.Slots > 0 && now-c.HoldingSince > SlotTimeSlice && t.freeSlots() < t.waitingLonger(now, c) {
		return 0
	}
	return max(1, maxMinShare(t.total, wanting))
}

// waitingLonger counts the nodes without any slot that have waited longer than this node and still send requests. Free slots are
// kept for them, and a holder whose time slice is over yields its slots to them. For a holder, which does not wait itself, it
// counts the nodes that have waited for more than a quarter of a time slice.
func (t *SlotTable) waitingLonger(now time.Duration, c Claim) int {
	since := c.WaitingSince
	if c.Slots > 0 {
		since = now - SlotTimeSlice/4
	}
	n := 0
	for _, o := range t.claims {
		if o.Node != c.Node && o.Slots == 0 && o.WantShort+o.WantLong > 0 && o.WaitingSince < since &&
			now-o.LastRequestAt < SlotTimeSlice {
			n++
		}
	}
	return n
}

// maxMinShare returns the max-min fair share of a node: nodes that want less than an equal share leave the rest to the others.
func maxMinShare(total int, cs []Claim) int {
	slices.SortFunc(cs, func(a, b Claim) int { return cmp.Compare(a.WantShort+a.WantLong, b.WantShort+b.WantLong) })
	left := total
	for i, c := range cs {
		share := (left + len(cs) - i - 1) / (len(cs) - i)
		if c.WantShort+c.WantLong > share {
			return share
		}
		left -= c.WantShort + c.WantLong
	}
	return total
}

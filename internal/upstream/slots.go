package upstream

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SlotTTL is how long a server keeps a grant without hearing from its holder.
	SlotTTL = 3 * time.Second
	// SlotUseTime is how long a holder may use a grant after it asked for it; the rest of SlotTTL covers pauses and clocks.
	SlotUseTime = 2 * time.Second
	// SlotTimeSlice is how long a holder keeps its slots while others wait without any.
	SlotTimeSlice = 40 * time.Millisecond
)

// Claim is what one node wants of a server's slots, and what it has.
type Claim struct {
	Node      string
	WantShort int
	WantLong  int
	// Slots and LongSlots are what the node holds now.
	Slots     int
	LongSlots int
	// HoldingSince is when the node last went from no slot to some; Heard is when it last asked.
	HoldingSince  time.Duration
	LastRequestAt time.Duration
	// RequestSeq numbers the node's latest question; an older one that comes late changes nothing.
	RequestSeq uint64
	// WaitingSince is when the node first asked, or last went down to no slot.
	WaitingSince time.Duration
}

// WithDemand returns the claim with a new wish, heard at now.
func (c Claim) WithDemand(now time.Duration, short, long int) Claim {
	c.WantShort = short
	c.WantLong = long
	c.LastRequestAt = now
	return c
}

// WithGrant returns the claim with other slots.
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

// SlotTable shares out one server's slots among nodes. It lives where the slots are, so that their number holds whatever
// the nodes believe about each other.
type SlotTable struct {
	total   int
	reserve int
	opens   time.Duration
	claims  map[string]Claim
}

// NewSlotTable returns a table of total slots, of which long work never gets the last reserve ones. It gives nothing out
// before the time opens: grants from before a restart may be used until then.
func NewSlotTable(total, reserve int, opens time.Duration) *SlotTable {
	return &SlotTable{total: total, reserve: min(reserve, total-1), opens: opens, claims: map[string]Claim{}}
}

// Restarted reports whether nodes may still hold grants that this table does not know of.
func (t *SlotTable) Restarted(now time.Duration) bool {
	return now < t.opens+SlotTTL
}

// Request records what a node wants and gives it what is free. A node that others are waiting for gets less than it holds, as
// soon as it asks with fewer in use; holds is the least that it can go down to now.
func (t *SlotTable) Request(now time.Duration, node string, ask uint64, short, long, holds, holdsLong int) Claim {
	t.expire(now)
	c, known := t.claims[node]
	c.Node = node
	if !known {
		c.WaitingSince = now
	}
	if known && ask <= c.RequestSeq {
		return c
	}
	c.RequestSeq = ask
	c = c.WithDemand(now, short, long)
	t.claims[node] = c
	if now < t.opens {
		return c
	}
	fair := t.fair(now, c)
	slots := min(max(holds, min(short+long, fair)), c.Slots+max(0, t.free()-t.ahead(now, c)))
	longs := min(max(holdsLong, min(long, mostLong(slots, short))), c.LongSlots+t.freeLong())
	c = c.WithGrant(now, max(slots, min(holds, c.Slots)), min(longs, slots))
	t.claims[node] = c
	return c
}

// mostLong is how many of a node's slots long work may have: one stays free of it, or a node's short work would wait for as
// long as its long work takes.
func mostLong(slots, short int) int {
	if slots == 1 && short == 0 {
		return 1
	}
	return max(0, slots-1)
}

// Contended reports whether other nodes want slots while this one has some.
func (t *SlotTable) Contended(node string) bool {
	for k, o := range t.claims {
		if k != node && o.WantShort+o.WantLong > o.Slots {
			return t.claims[node].Slots > 0
		}
	}
	return false
}

// Remove forgets a node whose connection is gone.
func (t *SlotTable) Remove(node string) {
	delete(t.claims, node)
}

func (t *SlotTable) expire(now time.Duration) {
	for k, c := range t.claims {
		if now-c.LastRequestAt > SlotTTL {
			delete(t.claims, k)
		}
	}
}

// Granted returns how many slots are given out, and how many of them to long work.
func (t *SlotTable) Granted() (slots, long int) {
	for _, c := range t.claims {
		slots += c.Slots
		long += c.LongSlots
	}
	return slots, long
}

func (t *SlotTable) free() int {
	n, _ := t.Granted()
	return t.total - n
}

func (t *SlotTable) freeLong() int {
	_, n := t.Granted()
	return t.total - t.reserve - n
}

// fair is how many slots a node may have while others want some: an equal part, and none for a while if there are more
// nodes than slots and its turn is over.
func (t *SlotTable) fair(now time.Duration, c Claim) int {
	var wanting []Claim
	for _, o := range t.claims {
		if o.WantShort+o.WantLong > 0 {
			wanting = append(wanting, o)
		}
	}
	if len(wanting) <= 1 {
		return t.total
	}
	if c.Slots > 0 && now-c.HoldingSince > SlotTimeSlice && t.free() < t.ahead(now, c) {
		return 0
	}
	return max(1, waterLevel(t.total, wanting))
}

// ahead counts the nodes without any slot that have waited for longer than this one, which a holder does not, and that still
// ask. Free slots are kept for them, and a holder whose turn is over makes room for them.
func (t *SlotTable) ahead(now time.Duration, c Claim) int {
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

// waterLevel is the part that each node may have when those that want less leave the rest to the others.
func waterLevel(total int, cs []Claim) int {
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

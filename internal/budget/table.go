package budget

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

// ID identifies a connection. No ID is used twice.
type ID uint64

// detached is the id of all accounts that belong to no single connection. Nobody may claim what they hold.
const detached ID = 0

// Event is an input of a Table.
type Event any

// Opened reports a new connection, which is starting. Over is set if its class has more connections than it may have; it then waits
// for an answer.
type Opened struct {
	ID    ID
	Class Class
	Over  bool
}

// Started reports that a connection has finished its startup.
type Started struct {
	ID ID
}

// Closed reports a closed connection. What it still holds is released by further events.
type Closed struct {
	ID ID
}

// Changed reports that a connection has made progress, and how many bytes it reserved or, if negative, released meanwhile.
type Changed struct {
	ID    ID
	Bytes int64
	State int64
}

// Asked requests bytes for which there was no room. State is set for session state. The connection waits for an answer, unless
// NoWait is set: then it was refused already.
type Asked struct {
	ID     ID
	Bytes  int64
	State  bool
	NoWait bool
}

// Action is an output of a Table.
type Action any

// Grant answers a request, or a new connection, by yes. Bytes are to be reserved.
type Grant struct {
	ID    ID
	Bytes int64
	State bool
}

// Refuse answers a request, or a new connection, by no.
type Refuse struct {
	ID ID
}

// Reason is why a connection was refused or closed.
type Reason string

// The reasons, as they appear in metrics and logs.
const (
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
	ReasonState       Reason = "session_state"
	ReasonStartup     Reason = "startup"
	ReasonPace        Reason = "pace"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonConnections, ReasonMemory, ReasonState, ReasonStartup, ReasonPace}
}

// Close closes a connection.
type Close struct {
	ID     ID
	Reason Reason
	// Held is what the connection held.
	Held int64
}

// Usage is what all connections hold together.
type Usage struct {
	Bytes int64
	State int64
}

// row is a connection that is starting, or that holds more than it may without a reservation. Rows are immutable.
type row struct {
	class    Class
	starting bool
	closing  bool
	held     int64
	state    int64
	progress time.Duration
}

func (r row) withChange(now time.Duration, e Changed) row {
	r.held += e.Bytes + e.State
	r.state += e.State
	r.progress = now
	return r
}

func (r row) withStarted() row {
	r.starting = false
	return r
}

func (r row) withClosing() row {
	r.closing = true
	return r
}

// ask is a request that waits for an answer.
type ask struct {
	Asked
	since time.Duration
}

// Table decides which requests for memory are granted and which connections are closed to make room. Most connections have no row:
// they have started and hold little.
type Table struct {
	// Usage returns what all connections hold together.
	Usage  func() Usage
	limits Limits
	rows   map[ID]row
	// starting holds the connections of each class in the order in which they were opened. Those that have started or closed are
	// skipped.
	starting [Classes][]ID
	// cleanAt is the length of starting from which it is looked through, so that it does not grow behind a connection that stays
	// first.
	cleanAt [Classes]int
	asks    []ask
	// grantedAt is when the last request was granted.
	grantedAt time.Duration
	actions   []Action
}

// NewTable returns an empty table.
func NewTable(l Limits, usage func() Usage) *Table {
	return &Table{Usage: usage, limits: l, rows: map[ID]row{}}
}

// Step takes in events, and returns actions and the time of the next call if no event arrives before.
func (t *Table) Step(now time.Duration, es []Event) ([]Action, time.Duration) {
	t.actions = nil
	for _, e := range es {
		t.apply(now, e)
	}
	next := t.answer(now)
	return t.actions, next
}

func (t *Table) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Opened:
		t.open(now, e)
	case Started:
		t.put(e.ID, t.rows[e.ID].withStarted())
	case Closed:
		t.put(e.ID, t.rows[e.ID].withStarted().withClosing())
	case Changed:
		t.put(e.ID, t.rows[e.ID].withChange(now, e))
	case Asked:
		if e.NoWait {
			t.makeRoom(now, e)
			return
		}
		t.asks = append(t.asks, ask{Asked: e, since: now})
	}
}

// put stores a row, or deletes it if there is nothing to decide about the connection.
func (t *Table) put(id ID, r row) {
	if !r.starting && r.held == 0 {
		delete(t.rows, id)
		return
	}
	t.rows[id] = r
}

// open adds a connection. If its class is full, the connection that has been starting for the longest time is closed for it.
func (t *Table) open(now time.Duration, e Opened) {
	t.rows[e.ID] = row{class: e.Class, starting: true, progress: now}
	oldest, found := ID(0), false
	if e.Over {
		oldest, found = t.takeStarting(e.Class)
	}
	t.starting[e.Class] = append(t.starting[e.Class], e.ID)
	switch {
	case !e.Over:
		t.skipStarted(e.Class)
	case found:
		t.close(oldest, ReasonConnections)
		t.actions = append(t.actions, Grant{ID: e.ID})
	default:
		delete(t.rows, e.ID)
		t.actions = append(t.actions, Refuse{ID: e.ID})
	}
}

// skipStarted removes the first connections of a class as long as they have started or closed.
func (t *Table) skipStarted(class Class) {
	ids := t.starting[class]
	n := 0
	for n < len(ids) && (!t.rows[ids[n]].starting || t.rows[ids[n]].closing) {
		n++
	}
	if t.starting[class] = ids[n:]; n == len(ids) {
		t.starting[class] = nil
	}
	if ids = t.starting[class]; len(ids) >= max(minCleanAt, t.cleanAt[class]) {
		ids = slices.DeleteFunc(slices.Clone(ids), func(id ID) bool { return !t.rows[id].starting || t.rows[id].closing })
		t.starting[class], t.cleanAt[class] = ids, 2*len(ids)
	}
}

// minCleanAt keeps short lists from being looked through each time.
const minCleanAt = 64

// takeStarting removes and returns the connection of a class that has been starting for the longest time.
func (t *Table) takeStarting(class Class) (ID, bool) {
	t.skipStarted(class)
	ids := t.starting[class]
	if len(ids) == 0 {
		return 0, false
	}
	t.starting[class] = ids[1:]
	return ids[0], true
}

func (t *Table) close(id ID, reason Reason) {
	r := t.rows[id]
	t.rows[id] = r.withClosing()
	t.actions = append(t.actions, Close{ID: id, Reason: reason, Held: r.held})
	t.asks = slices.DeleteFunc(t.asks, func(a ask) bool {
		if a.ID == id {
			t.actions = append(t.actions, Refuse{ID: id})
		}
		return a.ID == id
	})
}

// answer answers the waiting requests in their order, and returns when the first that is left may be answered.
func (t *Table) answer(now time.Duration) time.Duration {
	var granted Usage
	for len(t.asks) > 0 {
		a := t.asks[0]
		u := t.Usage()
		u.Bytes, u.State = u.Bytes+granted.Bytes, u.State+granted.State
		if t.fits(u, a.Asked) {
			granted.Bytes += a.Bytes
			if a.State {
				granted.State += a.Bytes
			}
			t.grantedAt = now
			t.asks = t.asks[1:]
			t.actions = append(t.actions, Grant{ID: a.ID, Bytes: a.Bytes, State: a.State})
			continue
		}
		room := t.makeRoom(now, a.Asked)
		end := max(a.since, t.grantedAt) + t.limits.Wait
		if a.State && !room || now >= end {
			t.asks = t.asks[1:]
			t.actions = append(t.actions, Refuse{ID: a.ID})
			continue
		}
		return min(end, t.nextStall(now))
	}
	t.asks = nil
	return table.Never
}

func (t *Table) fits(u Usage, a Asked) bool {
	return u.Bytes+a.Bytes <= t.limits.Bytes && (!a.State || u.State+a.Bytes <= t.limits.State)
}

// makeRoom closes the connection that holds the most among those that others may claim, unless enough is being closed already. It
// reports whether room is being made.
func (t *Table) makeRoom(now time.Duration, a Asked) bool {
	u := t.Usage()
	var worst ID
	var most int64
	for id, r := range t.rows {
		if r.closing {
			u.Bytes -= r.held
			u.State -= r.state
			continue
		}
		if n := t.claim(now, a, id, r); n > most || n == most && n > 0 && id < worst {
			worst, most = id, n
		}
	}
	if t.fits(u, a) {
		return true
	}
	if most == 0 {
		return false
	}
	reason := ReasonMemory
	if a.State {
		reason = ReasonState
	}
	t.close(worst, reason)
	return true
}

// claim returns how many bytes a request may claim of a connection. Session state is claimed only from a session that keeps more
// than twice as much as the requester would. Other memory is claimed from a connection that makes no progress.
func (t *Table) claim(now time.Duration, a Asked, id ID, r row) int64 {
	switch {
	case id == a.ID || id == detached:
		return 0
	case a.State && r.state > 2*(t.rows[a.ID].state+a.Bytes):
		return r.state
	case !a.State && r.held > r.state && now-r.progress >= t.limits.Stall:
		return r.held
	}
	return 0
}

// nextStall returns when the next connection will have made no progress for too long.
func (t *Table) nextStall(now time.Duration) time.Duration {
	next := table.Never
	for id, r := range t.rows {
		if at := r.progress + t.limits.Stall; !r.closing && id != detached && r.held > r.state && at > now {
			next = min(next, at)
		}
	}
	return next
}

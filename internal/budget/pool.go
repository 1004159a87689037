package budget

import (
	"context"
	"sync"
	"sync/atomic"

	"buckthornport.example/buckthornport/internal/tick"
)

// Pool counts what the connections of a process hold. A reservation that fits takes two atomic additions and an event; only one
// that does not fit waits for the table.
type Pool struct {
	// Report is called for each connection that is refused or closed.
	Report func(c Class, a Close)

	limits  Limits
	ctx     context.Context
	loop    *tick.Loop[Event, Action]
	bytes   atomic.Int64
	state   atomic.Int64
	asking  atomic.Int64
	refused atomic.Int64
	lastID  atomic.Uint64
	conns   [Classes]atomic.Int64
	mu      sync.Mutex
	waiting map[ID]chan bool
	// closers holds the connections that are starting or have ever made a reservation. Others have no row in the table.
	closers map[ID]*Account
	closed  map[Reason]int64
}

// NewPool returns a pool whose table runs while Run does.
func NewPool(ctx context.Context, l Limits, clock tick.Clock) *Pool {
	p := &Pool{
		Report: func(Class, Close) {}, limits: l, ctx: ctx,
		waiting: map[ID]chan bool{}, closers: map[ID]*Account{}, closed: map[Reason]int64{},
	}
	p.loop = tick.NewLoop(clock, NewTable(l, p.Usage).Step, p.perform)
	return p
}

// Run runs the decisions until the context ends.
func (p *Pool) Run() error {
	return p.loop.Run(p.ctx)
}

// Limits returns the limits.
func (p *Pool) Limits() Limits {
	return p.limits
}

// Usage returns what all connections hold together.
func (p *Pool) Usage() Usage {
	return Usage{Bytes: p.bytes.Load(), State: p.state.Load()}
}

// Conns returns the number of open connections of a class.
func (p *Pool) Conns(c Class) int64 {
	return p.conns[c].Load()
}

// ClosedConns returns how many connections were refused or closed for a reason.
func (p *Pool) ClosedConns(r Reason) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed[r]
}

// Refusals returns how many requests for memory were refused.
func (p *Pool) Refusals() int64 {
	return p.refused.Load()
}

// Account is what one connection holds. A nil account has no limits.
type Account struct {
	pool  *Pool
	conn  Closer
	id    ID
	class Class
	ended atomic.Bool
}

// Closer closes a connection for the table.
type Closer interface {
	Close() error
}

// Open adds a connection to the account a, which is empty, or returns false if it must be refused. The connection is starting until
// Started is called.
func (p *Pool) Open(a *Account, c Class, conn Closer) bool {
	a.pool, a.conn, a.id, a.class = p, conn, ID(p.lastID.Add(1)), c
	over := p.conns[c].Add(1) > p.limits.Conns[c]
	if c == Caller {
		p.bytes.Add(SessionBytes)
	}
	p.mu.Lock()
	p.closers[a.id] = a
	p.mu.Unlock()
	if !over {
		p.loop.Post(Opened{ID: a.id, Class: c})
		return true
	}
	if !p.await(a, Opened{ID: a.id, Class: c, Over: true}) {
		a.Close()
		p.report(c, Close{ID: a.id, Reason: ReasonConnections})
		return false
	}
	return true
}

// Detached returns an account for memory that belongs to no single connection. It is never closed.
func (p *Pool) Detached(c Class) *Account {
	if p == nil {
		return nil
	}
	return &Account{pool: p, id: detached, class: c}
}

// await posts an event and waits for its answer.
func (p *Pool) await(a *Account, e Event) bool {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.waiting[a.id] = answer
	p.mu.Unlock()
	p.loop.Post(e)
	select {
	case ok := <-answer:
		return ok
	case <-p.ctx.Done():
		return false
	}
}

func (p *Pool) perform(a Action) {
	switch a := a.(type) {
	case Grant:
		p.bytes.Add(a.Bytes)
		if a.State {
			p.state.Add(a.Bytes)
		}
		p.reply(a.ID, true)
	case Refuse:
		p.reply(a.ID, false)
	case Close:
		p.mu.Lock()
		c := p.closers[a.ID]
		p.mu.Unlock()
		if c != nil {
			_ = c.conn.Close()
			p.report(c.class, a)
		}
	}
}

func (p *Pool) reply(id ID, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer := p.waiting[id]; answer != nil {
		delete(p.waiting, id)
		answer <- ok
	}
}

func (p *Pool) report(c Class, a Close) {
	p.mu.Lock()
	p.closed[a.Reason]++
	p.mu.Unlock()
	p.Report(c, a)
}

// Started reports that the connection has finished its startup.
func (a *Account) Started() {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	delete(a.pool.closers, a.id)
	a.pool.mu.Unlock()
	a.pool.loop.Post(Started{ID: a.id})
}

// Close removes the connection. What it holds is released by the holds.
func (a *Account) Close() {
	if a == nil {
		return
	}
	p := a.pool
	p.mu.Lock()
	ended := a.ended.Swap(true)
	delete(p.closers, a.id)
	p.mu.Unlock()
	if ended {
		return
	}
	p.conns[a.class].Add(-1)
	if a.class == Caller {
		p.bytes.Add(-SessionBytes)
	}
	p.loop.Post(Closed{ID: a.id})
}

// Reject counts and reports that the connection is closed for a reason that its own limits give.
func (a *Account) Reject(r Reason) {
	if a != nil {
		a.pool.report(a.class, Close{ID: a.id, Reason: r})
	}
}

// Limits returns the limits of the account's pool, and false if the account has none.
func (a *Account) Limits() (Limits, bool) {
	if a == nil {
		return Limits{}, false
	}
	return a.pool.limits, true
}

// Progress reports that the connection sends or takes what it has begun.
func (a *Account) Progress() {
	if a != nil {
		a.pool.loop.Post(Changed{ID: a.id})
	}
}

// reserve reserves bytes. If there is no room, it waits for an answer, or returns false at once if wait is not set.
func (a *Account) reserve(n int64, state, wait bool) bool {
	p := a.pool
	p.mu.Lock()
	if a.id != detached && !a.ended.Load() {
		p.closers[a.id] = a
	}
	p.mu.Unlock()
	if p.asking.Load() == 0 && p.add(n, state) {
		return a.changed(n, state)
	}
	if !wait {
		p.refused.Add(1)
		p.loop.Post(Asked{ID: a.id, Bytes: n, State: state, NoWait: true})
		return false
	}
	p.asking.Add(1)
	defer p.asking.Add(-1)
	if !p.await(a, Asked{ID: a.id, Bytes: n, State: state}) {
		p.refused.Add(1)
		return false
	}
	return a.changed(n, state)
}

func (a *Account) changed(n int64, state bool) bool {
	e := Changed{ID: a.id, Bytes: n}
	if state {
		e = Changed{ID: a.id, State: n}
	}
	a.pool.loop.Post(e)
	return true
}

// add adds to the counters if the sums stay within the limits.
func (p *Pool) add(n int64, state bool) bool {
	ok := p.bytes.Add(n) <= p.limits.Bytes
	if state {
		ok = p.state.Add(n) <= p.limits.State && ok
	}
	if !ok {
		p.sub(n, state)
	}
	return ok
}

func (p *Pool) sub(n int64, state bool) {
	p.bytes.Add(-n)
	if state {
		p.state.Add(-n)
	}
}

// Hold is a reservation of an account that can grow and is released as a whole. A nil hold has no limits.
type Hold struct {
	account *Account
	bytes   atomic.Int64
	state   bool
}

// NewHold returns an empty hold, which is nil without an account.
func (a *Account) NewHold() *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a}
}

// NewStateHold returns an empty hold for session state, which is nil without an account.
func (a *Account) NewStateHold() *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a, state: true}
}

// Grow raises the hold to at least n bytes, less FreeBytes. It waits while there is no room, and returns false if it is refused.
// The largest message is served also where it takes all there is.
func (h *Hold) Grow(n int64) bool {
	return h.resize(n, true)
}

// TryGrow is like Grow, but does not wait.
func (h *Hold) TryGrow(n int64) bool {
	return h.resize(n, false)
}

func (h *Hold) resize(n int64, wait bool) bool {
	if h == nil || n <= FreeBytes {
		return true
	}
	if wait {
		n = min(n, h.account.pool.limits.Bytes/2)
	}
	more := n - h.bytes.Load()
	if more <= 0 {
		return true
	}
	if !h.account.reserve(more, h.state, wait) {
		return false
	}
	h.bytes.Add(more)
	return true
}

// Shrink lowers the hold to at most n bytes.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	if n <= FreeBytes {
		n = 0
	}
	for {
		held := h.bytes.Load()
		if held <= n {
			return
		}
		if h.bytes.CompareAndSwap(held, n) {
			h.account.pool.sub(held-n, h.state)
			h.account.changed(n-held, h.state)
			return
		}
	}
}

// Release releases all of the hold. It may be called more than once.
func (h *Hold) Release() {
	h.Shrink(0)
}

// Progress reports progress of what the hold is for.
func (h *Hold) Progress() {
	if h != nil && h.bytes.Load() > 0 {
		h.account.Progress()
	}
}

package caller

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/table"
)

const neverDue = table.Never

// connKey identifies the connections to a server that serve the same requests.
type connKey struct {
	server string
	tenant string
}

// idleConn returns the idle connection to a server that was used last for a tenant.
func (l *Lane) idleConn(row Server, tenant string) (ConnID, bool) {
	for _, id := range slices.Backward(row.IdleConns) {
		if c, _ := l.conns.Get(id); c.Tenant == tenant {
			return id, true
		}
	}
	return 0, false
}

// openConn opens one more connection to a live server if more of a tenant's requests wait for it than connections are being opened
// for them, and if the node's share and the delay after a failed attempt permit. If the share is used up, an idle connection of
// another tenant makes room.
func (l *Lane) openConn(now time.Duration, k connKey, waiting int) {
	row, _ := l.servers.Get(k.server)
	if l.opening[k] >= waiting || now < row.RetryAt || !row.View.Alive || l.opensEnough(row) {
		return
	}
	// A share that has become smaller may be exceeded by more than one connection.
	if n := row.OpenConns + row.OpeningConns; n > row.ConnLimit || n == row.ConnLimit && !l.evictConn(now, row, k.tenant) {
		return
	}
	row, _ = l.servers.Get(k.server)
	l.lastConn++
	l.ensure(row.OpenConns+row.OpeningConns < row.ConnLimit, "connections_within_share", func() string {
		return fmt.Sprintf("server %s: open %d opening %d of %d", row.View.Name, row.OpenConns, row.OpeningConns, row.ConnLimit)
	})
	l.conns.Put(l.lastConn, Conn{
		ID: l.lastConn, Server: k.server, Tenant: k.tenant, Phase: ConnOpening, PhaseSince: now, OpenedAt: now,
	})
	l.servers.Put(k.server, row.WithOpeningConns(1))
	l.opening[k]++
	l.changeUse(k, func(u connUse) connUse { return u.withConns(1) })
	l.actions = append(l.actions, Open{Conn: l.lastConn, Server: k.server, Address: row.View.Address, Tenant: k.tenant})
}

// openingEnded counts a connection that is no longer being opened.
func (l *Lane) openingEnded(c Conn) {
	k := connKey{server: c.Server, tenant: c.Tenant}
	if l.opening[k]--; l.opening[k] <= 0 {
		delete(l.opening, k)
	}
}

func (l *Lane) connOpened(now time.Duration, id ConnID) {
	c, ok := l.conns.Get(id)
	if !ok || c.Phase != ConnOpening {
		l.stats.StrayMessages++
		return
	}
	row, _ := l.servers.Get(c.Server)
	l.servers.Put(c.Server, row.WithOpeningConns(-1).WithOpenConns(1).WithOpenTime(now-c.PhaseSince))
	l.openingEnded(c)
	c.OpenedAt = now
	l.returnToPool(now, c)
}

// returnToPool makes a connection idle, or closes it if the server has more connections than the node's share.
func (l *Lane) returnToPool(now time.Duration, c Conn) {
	row, _ := l.servers.Get(c.Server)
	if c.Transaction {
		row = row.WithTransactions(-1)
	}
	c = c.WithPhase(now, ConnIdle).WithRequest(0, false).WithSession(0).WithTransaction(false)
	l.conns.Put(c.ID, c)
	l.servers.Put(c.Server, row.WithIdleConn(c.ID))
	l.changeUse(c.key(), func(u connUse) connUse { return u.withIdle(1) })
	end := min(now+ConnIdleTimeout, c.OpenedAt+ConnLifetime+l.jitter(ConnLifetime/4))
	switch {
	case c.Tenant != "" && !row.Retired:
		end = min(end, now+l.tenantIdleTimeout(row))
	case l.policy.IdleTimeout > 0:
		end = min(end, now+l.policy.IdleTimeout)
	}
	l.conns.SetDue(c.ID, end)
	if row.OpenConns > row.ConnLimit {
		l.closeConn(c.ID)
	}
}

// connFailed handles a connection that could not be opened. A server without room for it is not suspect.
func (l *Lane) connFailed(now time.Duration, e ConnFailed) {
	id := e.Conn
	c, ok := l.conns.Get(id)
	if !ok || c.Phase != ConnOpening {
		l.stats.StrayMessages++
		return
	}
	if !e.Full {
		l.reportSuspect(now, c.Server, false)
	}
	row, _ := l.servers.Get(c.Server)
	row = row.WithOpeningConns(-1).WithRetryAt(now + ConnectBackoff/2 + l.jitter(ConnectBackoff/2))
	l.servers.Put(c.Server, row)
	l.servers.SetDue(c.Server, row.RetryAt)
	l.openingEnded(c)
	l.changeUse(c.key(), func(u connUse) connUse { return u.withConns(-1) })
	l.conns.Delete(id)
}

// connLost handles a connection that broke while no request ran on it.
func (l *Lane) connLost(now time.Duration, id ConnID) {
	c, ok := l.conns.Get(id)
	if !ok {
		return
	}
	if c.Request != 0 {
		l.requestInterrupted(now, RequestInterrupted{Conn: id, Request: c.Request})
		return
	}
	l.removeConn(id)
	s, ok := l.sessions.Get(c.Session)
	if !ok || s.TxConn != id {
		return
	}
	if r, active := l.requests.Get(s.Active); active {
		l.transactionInterrupted(now, s, r, RequestInterrupted{Unsent: true})
		return
	}
	l.sessions.Put(s.ID, s.WithFailedTransaction())
}

// removeConn deletes a connection and releases the slot that it held.
func (l *Lane) removeConn(id ConnID) {
	c, ok := l.conns.Get(id)
	if !ok {
		return
	}
	row, _ := l.servers.Get(c.Server)
	switch c.Phase {
	case ConnOpening:
		row = row.WithOpeningConns(-1)
		l.openingEnded(c)
	case ConnBusy:
		row = row.WithOpenConns(-1)
		if c.Request != 0 {
			row = row.WithRunning(-1, c.Long)
		}
	default:
		row = row.WithOpenConns(-1).WithoutIdleConn(id)
	}
	if c.Transaction {
		row = row.WithTransactions(-1)
	}
	l.servers.Put(c.Server, row)
	l.changeUse(c.key(), func(u connUse) connUse {
		if c.Phase == ConnIdle {
			u = u.withIdle(-1)
		}
		return u.withConns(-1)
	})
	l.conns.Delete(id)
}

func (l *Lane) closeConn(id ConnID) {
	l.actions = append(l.actions, Close{Conn: id})
	l.removeConn(id)
}

// closeIdleConns closes idle connections that reached their lifetime or idle timeout.
func closeIdleConns(l *Lane, now time.Duration) {
	for _, k := range l.conns.TakeDue(now) {
		c, _ := l.conns.Get(k)
		if c.Phase != ConnIdle {
			continue
		}
		row, _ := l.servers.Get(c.Server)
		if l.policy.IdleTimeout > 0 && !row.Retired && c.Tenant == "" && len(row.IdleConns) <= l.minIdle(row) &&
			now < min(c.PhaseSince+ConnIdleTimeout, c.OpenedAt+ConnLifetime) {
			l.conns.SetDue(k, min(c.PhaseSince+ConnIdleTimeout, c.OpenedAt+ConnLifetime))
			continue
		}
		l.closeConn(k)
	}
}

// startCancel cancels a running request upstream. Its connection serves no other request until the cancel request is
// finished.
func (l *Lane) startCancel(now time.Duration, r Request) {
	c, ok := l.conns.Get(r.Conn)
	if !ok || r.Cancelled || !l.kind.SupportsCancel {
		return
	}
	l.requests.Put(r.ID, r.WithCancelled())
	l.requests.SetDue(r.ID, now+CancelGrace)
	l.conns.Put(c.ID, c.WithCancelling(true))
	l.actions = append(l.actions, CancelUpstream{Conn: c.ID, Request: r.ID})
}

func (l *Lane) cancelDone(now time.Duration, id ConnID) {
	c, ok := l.conns.Get(id)
	if !ok {
		return
	}
	c = c.WithCancelling(false)
	l.conns.Put(id, c)
	if c.Request == 0 && c.Session == 0 && c.Phase == ConnBusy {
		l.returnToPool(now, c)
	}
}

// cancel cancels a session's request if its outcome stays certain: running requests upstream, unsent ones by a refusal.
func (l *Lane) cancel(now time.Duration, id SessionID) {
	s, ok := l.sessions.Get(id)
	if !ok {
		return
	}
	r, ok := l.requests.Get(s.Active)
	switch {
	case !ok:
	case r.Phase == PhaseRunning:
		l.startCancel(now, r)
	case (r.Phase == PhaseQueued || r.Phase == PhaseFloor) && !r.Sent:
		l.refuse(r, Refusal{Reason: ReasonCancelled})
	}
}

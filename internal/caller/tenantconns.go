package caller

import (
	"math"
	"time"
)

const (
	// maxTenantIdle is how long a tenant's connection may stay idle. It is long, as another costs the server time in a slot, and a
	// tenant that needs the place evicts it earlier.
	maxTenantIdle = 30 * time.Second
	// spareTenantIdle replaces maxTenantIdle while over half of a lane's share of a server's connections are idle. A server counts the
	// connections of nodes that lost power for seconds, and other nodes have only the rest meanwhile.
	spareTenantIdle = time.Second
	// initialOpenTime is the assumed time to open a connection to a server to which none was opened yet.
	initialOpenTime = 13 * time.Millisecond
	// minTenure is for how long a connection is kept after it was opened, in times to open one, although another tenant needs the
	// place. Tenants that compete for connections thus spend at most a fifth of the time opening them.
	minTenure = 4
	// slotsPerOpening is how many of the lane's slots at a server there are for each connection that may be opened at once.
	slotsPerOpening = 3
	// useMemory is the time constant of the average rate at which connections are used.
	useMemory = 5 * time.Second
)

// connUse is the row of one tenant's connections to a server: how many there are, with those that are being opened, how many of
// them are idle, and how often a request was sent on one.
type connUse struct {
	conns int
	idle  int
	// rate is the average number of requests per second as of at.
	rate float64
	at   time.Duration
}

// withConns returns the row with n more, or fewer, connections.
func (u connUse) withConns(n int) connUse {
	u.conns += n
	return u
}

// withIdle returns the row with n more, or fewer, idle connections.
func (u connUse) withIdle(n int) connUse {
	u.idle += n
	return u
}

// withRequest returns the row after a request was sent on a connection that was idle.
func (u connUse) withRequest(now time.Duration) connUse {
	u.rate = u.rateAt(now) + 1/useMemory.Seconds()
	u.at = now
	u.idle--
	return u
}

// rateAt returns the average number of requests per second.
func (u connUse) rateAt(now time.Duration) float64 {
	return u.rate * math.Exp(-float64(now-u.at)/float64(useMemory))
}

// expectedUses returns how many requests one of the idle connections is expected to serve within a time.
func (u connUse) expectedUses(now, within time.Duration) float64 {
	return u.rateAt(now) * within.Seconds() / float64(max(1, u.idle))
}

// key returns the key of the connections that serve the same requests.
func (c Conn) key() connKey {
	return connKey{server: c.Server, tenant: c.Tenant}
}

// changeUse replaces the row of a tenant's connections to a server. A row without connections is deleted.
func (l *Lane) changeUse(k connKey, change func(u connUse) connUse) {
	if u := change(l.connUses[k]); u.conns > 0 {
		l.connUses[k] = u
	} else {
		delete(l.connUses, k)
	}
}

// countUse counts a request that is sent on a connection. One of an open transaction is not counted, since its connection was
// not idle.
func (l *Lane) countUse(now time.Duration, c Conn) {
	if c.Phase == ConnIdle {
		l.changeUse(c.key(), func(u connUse) connUse { return u.withRequest(now) })
	}
}

// openTime returns the expected time to open a connection to a server.
func openTime(s Server) time.Duration {
	if s.OpenTime == 0 {
		return initialOpenTime
	}
	return s.OpenTime
}

// openCost returns the time until a tenant's request has a connection to a server: none if one is idle.
func (l *Lane) openCost(now time.Duration, s Server, tenant string) time.Duration {
	if l.connUses[connKey{server: s.View.Name, tenant: tenant}].idle > 0 {
		return 0
	}
	return openTime(s) + max(0, s.RetryAt-now)
}

// openTenantConn opens a connection for a tenant's request that may run on any of the given servers, unless as many are being
// opened to these as requests of the tenant wait. Opening one takes time in a slot of the server, so only a part of the slots
// is used for it.
func (l *Lane) openTenantConn(now time.Duration, k connKey, ss []Server, waiting map[connKey]int) {
	all, opening := connKey{tenant: k.tenant}, 0
	waiting[all]++
	for _, s := range ss {
		opening += l.opening[connKey{server: s.View.Name, tenant: k.tenant}]
	}
	row, _ := l.servers.Get(k.server)
	if opening < waiting[all] && row.OpeningConns < max(1, row.Slots/slotsPerOpening) {
		l.openConn(now, k, waiting[all])
	}
}

// evictConn closes an idle connection to a server in favor of a tenant, and reports whether there was one. It is one of another
// tenant that has been kept for long enough.
func (l *Lane) evictConn(now time.Duration, row Server, tenant string) bool {
	return l.closeLeastUsed(now, row, func(c Conn) bool {
		return c.Tenant != tenant && now >= c.OpenedAt+minTenure*openTime(row)
	})
}

// closeLeastUsed closes the idle connection to a server with the least expected use until it is open again, among those that may be
// closed; of several, the one that has been idle for the longest time. It reports whether there was one.
func (l *Lane) closeLeastUsed(now time.Duration, row Server, mayClose func(c Conn) bool) bool {
	victim, least := ConnID(0), math.Inf(1)
	for _, id := range row.IdleConns {
		c, _ := l.conns.Get(id)
		if !mayClose(c) {
			continue
		}
		if uses := l.connUses[c.key()].expectedUses(now, openTime(row)); uses < least {
			victim, least = id, uses
		}
	}
	if victim == 0 {
		return false
	}
	l.closeConn(victim)
	return true
}

// tenantIdleTimeout returns how long a tenant's connection to a server, which has just become idle, may stay so.
func (l *Lane) tenantIdleTimeout(row Server) time.Duration {
	if 2*(len(row.IdleConns)+1) > row.ConnLimit {
		return spareTenantIdle
	}
	return maxTenantIdle
}

// withTransactionRoom returns the servers at which another transaction may begin.
func (l *Lane) withTransactionRoom(ss []Server) []Server {
	room := make([]Server, 0, len(ss))
	for _, s := range ss {
		if s.Transactions < l.policy.TxLimit(s.ConnLimit, s.Slots) {
			room = append(room, s)
		}
	}
	return room
}

// countTransaction counts a transaction that is about to begin on a connection.
func (l *Lane) countTransaction(row Server, c Conn, r Request) (Server, Conn) {
	if r.Statement.Kind != KindBegin || c.Transaction || r.Phase == PhaseResolving {
		return row, c
	}
	return row.WithTransactions(1), c.WithTransaction(true)
}

// releaseConns closes idle connections to a server whose places other nodes need: those above this node's share and,
// soon, all if this node no longer serves the group.
func (l *Lane) releaseConns(now time.Duration, server string) {
	for {
		row, _ := l.servers.Get(server)
		if row.OpenConns+row.OpeningConns <= row.ConnLimit || !l.closeLeastUsed(now, row, func(Conn) bool { return true }) {
			break
		}
	}
	row, _ := l.servers.Get(server)
	if !row.Retired {
		return
	}
	for _, id := range row.IdleConns {
		l.conns.SetDue(id, now+l.policy.IdleTimeout)
	}
}

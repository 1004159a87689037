package metadata

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// group is one database service: a primary and its replicas. Replication copies entries directly under the platform's lock.
type group struct {
	name           string
	servers        []*server
	promotionDelay time.Duration
	term           uint64
	// acknowledged holds the entries that a replica has received.
	acknowledged []entry
	// connectionLimit is the limit of each server, zero for none. rejectedConnections counts the connections beyond it.
	connectionLimit     int
	rejectedConnections int
}

// entry is one committed write.
type entry struct {
	term   uint64
	number uint64
	writes map[string]string
}

// server is one database server.
type server struct {
	id       string
	group    *group
	zone     string
	listener net.Listener
	// address is the address that the platform lists. It may be that of another server.
	address string
	// state is the one that the server wrote last.
	state   string
	conns   map[net.Conn]bool
	primary bool
	term    uint64
	// pausedTerm is the term for which the server has stopped receiving entries, zero if it has not.
	pausedTerm uint64
	log        []entry
	// A server that is down closes new connections. An unresponsive one accepts them and answers nothing. One with notReceiving
	// gets no entries from its primary. applyLag delays when received entries become visible.
	down         bool
	unresponsive bool
	notReceiving bool
	applyLag     time.Duration
	receivedAt   []time.Time
	// born counts the starts of the server.
	born int
	// work is the time from the run of a statement of a caller to its answer.
	work  time.Duration
	reads int
}

// AddGroup starts a group on loopback addresses, with one server in each zone, and lists its servers. The first server is the
// primary. A promotion takes effect promotionDelay after its order.
func (p *Platform) AddGroup(name string, zones []string, promotionDelay time.Duration) error {
	g := &group{name: name, promotionDelay: promotionDelay, term: 1}
	for i, z := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &server{
			id: fmt.Sprintf("i-%s-%d", name, i+1), group: g, zone: z, listener: l, address: l.Addr().String(), conns: map[net.Conn]bool{},
			primary: i == 0, term: 1, born: 1,
		}
		g.servers = append(g.servers, s)
		go p.accept(s)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[name] = g
	for _, s := range g.servers {
		p.listServer(s, "ready")
	}
	return nil
}

// listServer writes a server's entry in the platform's list. p.mu must be held.
func (p *Platform) listServer(s *server, state string) {
	s.state = state
	p.entries++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	raw, err := json.Marshal(map[string]any{
		"Service": s.group.name, "Addr": s.address, "Zone": s.zone, "Version": "v1", "Capacity": 5,
		"State": state, "WarmupLeftMs": 0, "DbRole": role, "Seq": p.entries, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	p.put(row{rowKey: rowKey{"servers", s.id}, value: raw})
}

// ServerChange changes one server. It is called with the platform's lock held.
type ServerChange func(p *Platform, s *server)

// Down closes all connections of a server and makes it refuse new ones, or brings it back with its log.
func Down(on bool) ServerChange {
	return func(_ *Platform, s *server) {
		s.down = on
		s.closeConnections()
	}
}

// Restart brings a server back without its log, under the id that it had.
func Restart() ServerChange {
	return func(p *Platform, s *server) {
		s.closeConnections()
		s.down, s.primary, s.pausedTerm = false, false, 0
		s.log, s.receivedAt = nil, nil
		s.born++
		p.listServer(s, "ready")
	}
}

// Unresponsive makes a server accept connections but answer nothing.
func Unresponsive(on bool) ServerChange {
	return func(_ *Platform, s *server) { s.unresponsive = on }
}

// StopReceiving makes a replica receive no entries.
func StopReceiving(on bool) ServerChange {
	return func(_ *Platform, s *server) { s.notReceiving = on }
}

// CloseConnections closes all connections to a server.
func CloseConnections() ServerChange {
	return func(_ *Platform, s *server) { s.closeConnections() }
}

// Lag sets the delay after which a replica applies received entries.
func Lag(d time.Duration) ServerChange {
	return func(_ *Platform, s *server) { s.applyLag = d }
}

// Work sets the time from the run of a caller's statement to its answer.
func Work(d time.Duration) ServerChange {
	return func(_ *Platform, s *server) { s.work = d }
}

// Drain lists a server as draining.
func Drain() ServerChange {
	return func(p *Platform, s *server) { p.listServer(s, "draining") }
}

func (s *server) closeConnections() {
	for c := range s.conns {
		_ = c.Close()
		delete(s.conns, c)
	}
}

// ChangeServer applies a change to server n of a group, counted from zero.
func (p *Platform) ChangeServer(name string, n int, change ServerChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p, p.groups[name].servers[n])
}

// ListWrongAddress lists server n of a group under the address of server m of another group, and closes its connections.
func (p *Platform) ListWrongAddress(name string, n int, other string, m int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.groups[name].servers[n]
	s.address = p.groups[other].servers[m].address
	s.closeConnections()
	p.listServer(s, "ready")
}

// LimitConnections sets the number of connections beyond which each server of a group rejects new ones.
func (p *Platform) LimitConnections(name string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[name].connectionLimit = limit
}

// RejectedConnections returns how many connections the servers of a group have rejected because of their limit.
func (p *Platform) RejectedConnections(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[name].rejectedConnections
}

// MaxServerConnections returns the number of connections of the server that has the most in its group.
func (p *Platform) MaxServerConnections(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, s := range p.groups[name].servers {
		most = max(most, len(s.conns))
	}
	return most
}

// Reads returns how many reads the servers of a group have run.
func (p *Platform) Reads(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.groups[name].servers {
		n += s.reads
	}
	return n
}

// Primary returns the number of the server that leads the latest term, or -1, and the term.
func (p *Platform) Primary(name string) (int, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[name]
	return slices.IndexFunc(g.servers, func(s *server) bool { return s.primary && s.term == g.term }), g.term
}

// HasRun reports whether a server has run the statement with the given id.
func (p *Platform) HasRun(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasRun[id]
}

// Log returns the writes in the log of the group's primary, in order, as "item=data".
func (p *Platform) Log(name string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[name]
	var out []string
	for _, s := range g.servers {
		if !s.primary || s.term != g.term {
			continue
		}
		for _, e := range s.log {
			for _, k := range slices.Sorted(keysOf(e.writes)) {
				out = append(out, k+"="+e.writes[k])
			}
		}
	}
	return out
}

func keysOf(m map[string]string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// order is a promotion order as the platform got it.
type order struct {
	holder string
	token  uint64
	at     time.Time
}

// minHandover is the time within which orders of two holders for one service are a violation.
const minHandover = 3 * time.Second

// checkOrder reports violations by the order o after the order last.
func (p *Platform) checkOrder(service string, last, o order) {
	var violation string
	switch {
	case o.token < last.token:
		violation = "a lower token"
	case o.holder != last.holder && o.token == last.token:
		violation = "the same token"
	case o.holder != last.holder && o.at.Sub(last.at) < minHandover:
		violation = "orders in quick succession"
	default:
		return
	}
	p.violations = append(p.violations, fmt.Sprintf("%s for service %s: %s with token %d, then %s with token %d after %v", violation,
		service, last.holder, last.token, o.holder, o.token, o.at.Sub(last.at)))
}

// LastHolder returns the holder that gave the last promotion order for a service.
func (p *Platform) LastHolder(service string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastOrders[service].holder
}

// serveFailover handles a promotion order.
func (p *Platform) serveFailover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string } //nolint:revive // the platform's spelling
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := order{holder: r.Header.Get("X-Lease-Holder"), token: token, at: time.Now()}
	if last, ok := p.lastOrders[body.Service]; ok {
		p.checkOrder(body.Service, last, o)
	}
	p.lastOrders[body.Service] = o
	g := p.groups[body.Service]
	if g == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	for _, s := range g.servers {
		if s.id == body.Id && !s.down && !s.unresponsive {
			if !s.primary {
				time.AfterFunc(g.promotionDelay, func() { p.promote(s) })
			}
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// promote makes a server the primary of the next term with the entries that it has received. Its log replaces the logs of the
// other replicas, except those that are down, unresponsive or receive nothing, so replicas that were ahead are rolled back. It is
// a violation if an acknowledged entry is missing from the log.
func (p *Platform) promote(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := s.group
	for _, e := range g.acknowledged {
		if !slices.ContainsFunc(s.log, func(o entry) bool { return o.term == e.term && o.number == e.number }) {
			p.violations = append(p.violations, fmt.Sprintf("%s was promoted without acknowledged entry %d.%d", s.id, e.term, e.number))
		}
	}
	g.term++
	for _, o := range g.servers {
		if o.pausedTerm <= g.term || o == s {
			o.pausedTerm = 0
		}
		if o == s || o.down || o.unresponsive || o.notReceiving {
			continue
		}
		if !o.primary {
			o.term = g.term
			o.log, o.receivedAt = slices.Clone(s.log), slices.Clone(s.receivedAt)
		}
	}
	s.primary, s.term = true, g.term
	p.listServer(s, "ready")
}

// position returns the end of the log as TERM.NUMBER.
func (s *server) position() string {
	if len(s.log) == 0 {
		return fmt.Sprintf("%d.0", s.term)
	}
	e := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

// visibleEntries returns the number of entries that reads show.
func (s *server) visibleEntries() int {
	if s.primary || s.applyLag == 0 {
		return len(s.log)
	}
	n := 0
	for n < len(s.receivedAt) && time.Since(s.receivedAt[n]) >= s.applyLag {
		n++
	}
	return n
}

// read returns the visible value of an item, or "none".
func (s *server) read(item string) string {
	for i := s.visibleEntries() - 1; i >= 0; i-- {
		if v, ok := s.log[i].writes[item]; ok {
			return v
		}
	}
	return "none"
}

// commit appends writes to the log of a primary and copies the log to the replicas. It returns false if no replica received it.
func (s *server) commit(writes map[string]string) bool {
	number := uint64(1)
	if n := len(s.log); n > 0 {
		number = s.log[n-1].number + 1
	}
	e := entry{term: s.term, number: number, writes: writes}
	s.log, s.receivedAt = append(s.log, e), append(s.receivedAt, time.Now())
	received := false
	for _, o := range s.group.servers {
		if o == s || o.down || o.unresponsive || o.notReceiving || o.primary || o.pausedTerm != 0 || s.unresponsive || o.term > s.term {
			continue
		}
		o.log, o.receivedAt = slices.Clone(s.log), slices.Clone(s.receivedAt)
		received = true
	}
	if received {
		s.group.acknowledged = append(s.group.acknowledged, e)
	}
	return received
}

// hasApplied reports whether reads of the server show the log up to a position.
func (s *server) hasApplied(position string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(strings.Replace(position, ".", " ", 1), "%d %d", &term, &number); err != nil {
		return false
	}
	n := s.visibleEntries()
	if n == 0 {
		return number == 0
	}
	e := s.log[n-1]
	return e.term > term && e.number >= number || e.term == term && e.number >= number
}

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

// group is one database service: a primary and its replicas, which share entries through the platform's lock.
type group struct {
	name           string
	servers        []*server
	promotionDelay time.Duration
	term           uint64
	acknowledged   []entry
	// connectionLimit is how many connections each server takes, zero for any number, and turnedAway counts those beyond it.
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
	// address is what the platform lists, which may be another's.
	address    string
	conns      map[net.Conn]bool
	primary    bool
	term       uint64
	pausedTerm uint64
	log        []entry
	// down refuses connections, dark leaves them unanswered, deaf receives nothing, lag delays what is applied.
	down         bool
	unresponsive bool
	notReceiving bool
	applyLag     time.Duration
	receivedAt   []time.Time
	reads        int
}

// AddGroup starts a group of servers on loopback, one in each zone, and lists them; the first is its primary. An order to
// promote takes effect after the given time.
func (p *Platform) AddGroup(name string, zones []string, promote time.Duration) error {
	g := &group{name: name, promotionDelay: promote, term: 1}
	for i, z := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &server{
			id: fmt.Sprintf("i-%s-%d", name, i+1), group: g, zone: z, listener: l, address: l.Addr().String(), conns: map[net.Conn]bool{},
			primary: i == 0, term: 1,
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

// listServer writes a server's entry; the lock is held.
func (p *Platform) listServer(s *server, state string) {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	raw, err := json.Marshal(map[string]any{
		"Service": s.group.name, "Addr": s.address, "Zone": s.zone, "Version": "v1", "Capacity": 5,
		"State": state, "WarmupLeftMs": 0, "DbRole": role, "Seq": p.version, "born": 1,
	})
	if err != nil {
		panic(err)
	}
	p.put(row{rowKey: rowKey{"servers", s.id}, value: raw})
}

// ServerChange changes one server under the platform's lock.
type ServerChange func(p *Platform, s *server)

// Down has a server refuse and cut all connections, or come back with its log.
func Down(on bool) ServerChange {
	return func(_ *Platform, s *server) {
		s.down = on
		s.closeConnections()
	}
}

// Unresponsive has a server leave everything unanswered.
func Unresponsive(on bool) ServerChange {
	return func(_ *Platform, s *server) { s.unresponsive = on }
}

// StopReceiving has a replica receive nothing.
func StopReceiving(on bool) ServerChange {
	return func(_ *Platform, s *server) { s.notReceiving = on }
}

// CloseConnections cuts all connections to a server.
func CloseConnections() ServerChange {
	return func(_ *Platform, s *server) { s.closeConnections() }
}

// Lag has a replica apply entries later.
func Lag(d time.Duration) ServerChange {
	return func(_ *Platform, s *server) { s.applyLag = d }
}

// Drain has a server say that it is leaving.
func Drain() ServerChange {
	return func(p *Platform, s *server) { p.listServer(s, "draining") }
}

func (s *server) closeConnections() {
	for c := range s.conns {
		_ = c.Close()
		delete(s.conns, c)
	}
}

// ChangeServer applies a switch to the numbered server of a group, counted from zero.
func (p *Platform) ChangeServer(name string, n int, change ServerChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p, p.groups[name].servers[n])
}

// ListWrongAddress lists a server under the address of another group's.
func (p *Platform) ListWrongAddress(name string, n int, other string, m int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.groups[name].servers[n]
	s.address = p.groups[other].servers[m].address
	s.closeConnections()
	p.listServer(s, "ready")
}

// LimitConnections has each server of a group turn away connections beyond a number.
func (p *Platform) LimitConnections(name string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[name].connectionLimit = limit
}

// RejectedConnections returns how many connections the servers of a group turned away because of their limit.
func (p *Platform) RejectedConnections(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[name].rejectedConnections
}

// MaxServerConnections returns how many connections the server of a group has that has most.
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

// Primary returns the number of the server that leads the newest term, and the term.
func (p *Platform) Primary(name string) (int, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[name]
	return slices.IndexFunc(g.servers, func(s *server) bool { return s.primary && s.term == g.term }), g.term
}

// Log returns the writes in the log of the group's primary, as "item=data" in order.
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
			for _, k := range slices.Sorted(mapKeys(e.writes)) {
				out = append(out, k+"="+e.writes[k])
			}
		}
	}
	return out
}

func mapKeys(m map[string]string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// serveFailover takes an order to promote, and notes when its token is lower than one seen before.
func (p *Platform) serveFailover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string } //nolint:revive // the platform's spelling
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if token < p.lastTokens[body.Service] {
		p.violations = append(p.violations, fmt.Sprintf("token %d after %d for %s", token, p.lastTokens[body.Service], body.Service))
	}
	p.lastTokens[body.Service] = token
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

// promote makes a server lead the next term with what it has received; servers that were ahead are rolled back.
func (p *Platform) promote(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := s.group
	for _, e := range g.acknowledged {
		if !slices.ContainsFunc(s.log, func(o entry) bool { return o.term == e.term && o.number == e.number }) {
			p.violations = append(p.violations, fmt.Sprintf("%s promoted without %d.%d", s.id, e.term, e.number))
		}
	}
	g.term++
	for _, o := range g.servers {
		if o.pausedTerm <= g.term || o == s {
			o.pausedTerm = 0
		}
		if o == s || o.down || o.unresponsive {
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

// position is where a log ends.
func (s *server) position() string {
	if len(s.log) == 0 {
		return fmt.Sprintf("%d.0", s.term)
	}
	e := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

// visibleEntries is how many entries of the log reads show.
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

func (s *server) read(item string) string {
	for i := s.visibleEntries() - 1; i >= 0; i-- {
		if v, ok := s.log[i].writes[item]; ok {
			return v
		}
	}
	return "none"
}

// commit appends writes at a primary and hands them to the replicas; false means that none has received them.
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

// hasApplied reports whether reads of the server show a position.
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
